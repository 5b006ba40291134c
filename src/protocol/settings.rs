//! The settings file that the platform provides: its fields, under their names in the file,
//! and their conversion to the coordination layer's [`Config`]. Unknown fields are ignored. The
//! program reads the file once, when it starts.

mod announced_limits;
mod error;
mod teams;
pub(super) mod validation;

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::Value;

use self::announced_limits::{AnnouncedLimits, NextLimits};
pub use self::error::{FieldError, InvalidSettings, Requirement, SettingsError, SettingsWarning};
use crate::{
    coordination::{
        Config, Tuning,
        config::{Objective, max_tracked_machines},
    },
    protocol::seconds,
    storage::{
        ClassName, ControllerName, Incarnation, Quota, StateLimits, Team, TeamName, ZoneName,
    },
};

const BYTES_PER_KB: f64 = 1024.0;

/// The whole settings file.
#[derive(Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the cluster.
    pub node_name: String,
    /// Zone of this controller.
    pub area: String,
    /// Address at which the server for users, agents and health checks listens, as IP:PORT.
    pub serve_on: String,
    /// Address at which the server for the other controllers listens, as IP:PORT.
    pub peer_bind: String,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services.
    pub services: Services,
    /// Settings that are the same for all controllers.
    pub settings: ClusterSettings,
}

/// Another controller.
#[derive(Debug, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub node_name: String,
    /// Zone of the controller.
    pub area: String,
    /// Address at which it accepts connections of other controllers, as IP:PORT.
    pub address: String,
}

/// Addresses of the services, as IP:PORT.
#[derive(Debug, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: String,
    /// The key-value store.
    pub state: String,
}

/// Settings that are the same for all controllers.
#[derive(Debug, Deserialize)]
pub struct ClusterSettings {
    /// All zones of the cluster.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams, of which there must be at least one.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ObjectiveSettings>,
    /// Intervals and timeouts of the agents.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    pub state: StateSettings,
    /// Limits of the cloud.
    pub cloud: CloudSettings,
    /// Limits of this process.
    pub limits: LimitSettings,
}

/// A team with its guarantee and its limit. A limit of zero means that there is no limit.
#[derive(Debug, Deserialize)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of CPUs.
    pub cpus: f64,
    /// Maximum number of CPUs.
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Deserialize)]
pub struct ObjectiveSettings {
    /// Class of the jobs to which the objective applies; absent for all jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which tasks should start, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Intervals and timeouts of the agents, in seconds.
#[derive(Debug, Deserialize)]
pub struct WorkerSettings {
    /// Interval between two heartbeats of an agent.
    pub report_s: f64,
    /// Duration of an agent's lease: how long the agent keeps its tasks running without a
    /// response to its heartbeats.
    pub lease_s: f64,
    /// Time after the confirmation of a cancellation within which all of the job's tasks must
    /// have stopped.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Deserialize)]
pub struct StateSettings {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: u32,
    /// Limits that the store will have from a later time that is not announced. Parsed field by
    /// field, so that a mistake in them does not prevent a process from starting.
    #[serde(default)]
    pub next: Value,
}

/// Limits of the cloud.
#[derive(Debug, Deserialize)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// Usual delay after which a change appears in the inventory, in seconds.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Deserialize)]
pub struct LimitSettings {
    /// Maximum number of open sockets.
    pub max_connections: u32,
    /// Maximum memory, in MiB; absent if there is no limit.
    #[serde(default)]
    pub mem_mb: Option<f64>,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.into(),
            source,
        })?;
        Self::parse(&text).map_err(|reason| SettingsError::Invalid {
            path: path.into(),
            reason,
        })
    }

    /// Reads and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, InvalidSettings> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the mistakes that do not prevent a process from starting: announced limits of the
    /// key-value store that are invalid or too low to run with, guarantees of teams that exceed
    /// their limits, repeated team names, and too many teams.
    pub fn warnings(&self) -> Vec<SettingsWarning> {
        let announced = AnnouncedLimits::read(&self.settings.state.next);
        let value_bytes = self.settings.state.value_bytes(&announced.limits);
        let mut warnings = announced.warnings;
        warnings.extend(teams::warnings(&self.settings, value_bytes));
        warnings
    }

    /// Converts validated settings to the coordination layer's configuration.
    pub fn config(&self, incarnation: Incarnation, tuning: Tuning) -> Config {
        let cluster = &self.settings;
        let next = AnnouncedLimits::read(&cluster.state.next).limits;
        Config {
            name: ControllerName::new(self.node_name.as_str()),
            zone: ZoneName::new(self.area.as_str()),
            incarnation,
            peers: self.peers.iter().map(Peer::name_and_zone).collect(),
            teams: cluster.teams.iter().map(Team::from).collect(),
            objectives: cluster.objectives.iter().map(Objective::from).collect(),
            heartbeat_interval: checked_duration(cluster.workers.report_s),
            agent_lease: checked_duration(cluster.workers.lease_s),
            cancellation_deadline: checked_duration(cluster.workers.cancel_s),
            state_limits: cluster.state.limits(&next),
            cloud_rps: cluster.cloud.rps,
            max_inventory_lag: checked_duration(cluster.cloud.list_lag_s),
            max_connections: cluster.limits.max_connections as usize,
            max_tracked_machines: max_tracked_machines(cluster.limits.mem_mb),
            protocol_version: tuning.protocol_version(),
            tuning,
            wall_clock: Arc::new(std::time::SystemTime::now),
        }
    }
}

/// Converts a duration that [`Settings::parse`] has validated.
fn checked_duration(value: f64) -> Duration {
    seconds(value).unwrap_or_default()
}

impl Peer {
    fn name_and_zone(&self) -> (ControllerName, ZoneName) {
        (
            ControllerName::new(self.node_name.as_str()),
            ZoneName::new(self.area.as_str()),
        )
    }
}

impl From<&TeamSettings> for Team {
    fn from(team: &TeamSettings) -> Self {
        Team {
            name: TeamName::new(team.name.as_str()),
            guaranteed: Quota {
                cpus: team.cpus,
                gpus: team.gpus,
            },
            limit: Quota::from_limit(team.cpus_max, team.gpus_max),
        }
    }
}

impl From<&ObjectiveSettings> for Objective {
    fn from(objective: &ObjectiveSettings) -> Self {
        Objective {
            class: objective.class.as_deref().map(ClassName::new),
            start_within: objective.within_s.and_then(seconds),
        }
    }
}

impl StateSettings {
    /// Returns the limits to apply. Sizes are bounded by the lower of the present and the announced
    /// limit from the start, as the time of the change is not known.
    fn limits(&self, next: &NextLimits) -> StateLimits {
        StateLimits {
            rps: self.rps,
            write_rps: self.write_rps,
            next_rps: lower_limit(self.rps, next.rps),
            next_write_rps: lower_limit(self.write_rps, next.write_rps),
            value_bytes: self.value_bytes(next),
            txn_ops: next
                .txn_ops
                .map_or(self.txn_ops, |ops| ops.min(self.txn_ops)) as usize,
        }
    }

    /// Maximum size of a value under both the present and the announced limit, in bytes.
    fn value_bytes(&self, next: &NextLimits) -> usize {
        (lower_limit(self.value_kb, next.value_kb) * BYTES_PER_KB) as usize
    }
}

/// Returns the lower of the present limit and the announced one, if there is one.
fn lower_limit(present: f64, next: Option<f64>) -> f64 {
    next.map_or(present, |next| next.min(present))
}
