//! The settings file that the platform hands over: its fields, as the file names them, and
//! their conversion to the coordination layer's [`Config`]. Unknown fields are ignored. The
//! program reads it once, when it starts.

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
        config::{Objective, machines_for},
    },
    protocol::seconds,
    storage::{
        ClassName, ControllerName, Incarnation, Quota, StateLimits, Team, TeamName, ZoneName,
    },
};

const BYTES_PER_KB: f64 = 1024.0;

/// The whole file.
#[derive(Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the cluster.
    pub node_name: String,
    /// Zone of this controller.
    pub area: String,
    /// Where users, agents and health checks connect, as IP:PORT.
    pub serve_on: String,
    /// Where the other controllers connect, as IP:PORT.
    pub peer_bind: String,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Where the services are.
    pub services: Services,
    /// What is the same for all controllers.
    pub settings: ClusterSettings,
}

/// Another controller.
#[derive(Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node_name: String,
    /// Its zone.
    pub area: String,
    /// Where it takes connections of controllers, as IP:PORT.
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

/// What is the same for all controllers.
#[derive(Debug, Deserialize)]
pub struct ClusterSettings {
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams; at least one.
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ObjectiveSettings>,
    /// Times of the agents.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    pub state: StateSettings,
    /// Limits of the cloud.
    pub cloud: CloudSettings,
    /// Limits of this process.
    pub limits: LimitSettings,
}

/// A team with its guarantee and its limit; a limit of zero is none.
#[derive(Debug, Deserialize)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Guaranteed cores.
    pub cpus: f64,
    /// Limit of cores.
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of accelerators.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Deserialize)]
pub struct ObjectiveSettings {
    /// The class of jobs that it is for; absent: all.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which tasks are to start, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Times of the agents, in seconds.
#[derive(Debug, Deserialize)]
pub struct WorkerSettings {
    /// Between two heartbeats.
    pub report_s: f64,
    /// How long an agent runs its tasks without an answer to its heartbeats.
    pub lease_s: f64,
    /// After a cancellation was confirmed: by then none of the job's tasks runs any more.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Deserialize)]
pub struct StateSettings {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: u32,
    /// Limits that it will have from some moment on, without notice. Read field by
    /// field: no mistake in them keeps a process from starting.
    #[serde(default)]
    pub next: Value,
}

/// Limits of the cloud.
#[derive(Debug, Deserialize)]
pub struct CloudSettings {
    /// Requests a second.
    pub rps: f64,
    /// By how much the inventory usually lags behind, in seconds.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Deserialize)]
pub struct LimitSettings {
    /// Sockets that may be open.
    pub max_connections: u32,
    /// Memory, in MiB; absent: no limit.
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

    /// What is wrong with these settings although a process can start with them: limits
    /// announced for later that are no limits, or too small to serve, and teams' limits
    /// that can't be kept together with their guarantees.
    pub fn warnings(&self) -> Vec<SettingsWarning> {
        let announced = AnnouncedLimits::read(&self.settings.state.next);
        let value_bytes = self.settings.state.value_bytes(&announced.limits);
        let mut warnings = announced.warnings;
        warnings.extend(teams::warnings(&self.settings, value_bytes));
        warnings
    }

    /// In domain terms. Call it on checked settings.
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
            cancel: checked_duration(cluster.workers.cancel_s),
            state: cluster.state.limits(&next),
            cloud_rps: cluster.cloud.rps,
            list_lag: checked_duration(cluster.cloud.list_lag_s),
            max_connections: cluster.limits.max_connections as usize,
            machines_tracked: machines_for(cluster.limits.mem_mb),
            protocol_version: tuning.protocol_version(),
            tuning,
            wall: Arc::new(std::time::SystemTime::now),
        }
    }
}

/// A duration that [`Settings::parse`] has accepted.
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
            within: objective.within_s.and_then(seconds),
        }
    }
}

impl StateSettings {
    /// The limits to keep to: what is too large one day is never written.
    fn limits(&self, next: &NextLimits) -> StateLimits {
        StateLimits {
            rps: self.rps,
            write_rps: self.write_rps,
            next_rps: lower(self.rps, next.rps),
            next_write_rps: lower(self.write_rps, next.write_rps),
            value_bytes: self.value_bytes(next),
            txn_ops: next
                .txn_ops
                .map_or(self.txn_ops, |ops| ops.min(self.txn_ops)) as usize,
        }
    }

    /// Size of a value that is never too large, in bytes.
    fn value_bytes(&self, next: &NextLimits) -> usize {
        (lower(self.value_kb, next.value_kb) * BYTES_PER_KB) as usize
    }
}

/// The lower of a limit of now and the one announced, if there is one.
fn lower(now: f64, next: Option<f64>) -> f64 {
    next.map_or(now, |next| next.min(now))
}
