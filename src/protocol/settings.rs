//! The settings file that the platform hands over.

mod teams;

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::Value;

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

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("cannot read {path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("{path} is not valid: {reason}")]
    Invalid { path: String, reason: String },
}

#[derive(Debug, Deserialize)]
pub struct Settings {
    pub node_name: String,
    pub area: String,
    pub serve_on: String,
    pub peer_bind: String,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub services: Services,
    pub settings: ClusterSettings,
}

#[derive(Debug, Deserialize)]
pub struct Peer {
    pub node_name: String,
    pub area: String,
    pub address: String,
}

#[derive(Debug, Deserialize)]
pub struct Services {
    pub cloud: String,
    pub state: String,
}

#[derive(Debug, Deserialize)]
pub struct ClusterSettings {
    #[serde(default)]
    pub zones: Vec<String>,
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<ObjectiveSettings>,
    pub workers: WorkerSettings,
    pub state: StateSettings,
    pub cloud: CloudSettings,
    pub limits: LimitSettings,
}

#[derive(Debug, Deserialize)]
pub struct TeamSettings {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Deserialize)]
pub struct ObjectiveSettings {
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
pub struct WorkerSettings {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct StateSettings {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
    /// Limits that it will have from some moment on, without notice. Read field by
    /// field: no mistake in them keeps a process from starting.
    #[serde(default)]
    pub next: Value,
}

/// The announced limits that can be used; what is not announced stays as it is.
#[derive(Debug, Default, PartialEq)]
pub struct NextLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<u32>,
}

/// What [`StateSettings::next`] says, and what of it cannot be used.
struct Announced {
    limits: NextLimits,
    problems: Vec<String>,
}

impl Announced {
    fn read(next: &Value) -> Self {
        let mut announced = Self {
            limits: NextLimits::default(),
            problems: Vec::new(),
        };
        if !next.is_null() && !next.is_object() {
            announced.problem("must be an object");
        }
        announced.limits = NextLimits {
            rps: announced.rate(next, "rps"),
            write_rps: announced.rate(next, "write_rps"),
            value_kb: announced.at_least(next, "value_kb", LEAST_VALUE_KB),
            txn_ops: announced
                .at_least(next, "txn_ops", f64::from(LEAST_TXN_OPS))
                .map(|ops| ops as u32),
        };
        announced
    }

    fn problem(&mut self, what: impl std::fmt::Display) {
        self.problems.push(format!("settings.state.next {what}"));
    }

    /// A field's number; none if it is absent or no number.
    fn number(&mut self, next: &Value, field: &str) -> Option<f64> {
        let value = next.get(field).filter(|value| !value.is_null())?;
        let number = value.as_f64();
        if number.is_none() {
            self.problem(format_args!("{field} must be a number"));
        }
        number
    }

    fn rate(&mut self, next: &Value, field: &str) -> Option<f64> {
        let rate = self.number(next, field)?;
        if rate > 0.0 {
            return Some(rate);
        }
        self.problem(format_args!("{field} must be a positive number"));
        None
    }

    /// A size that is too small to serve counts as the smallest that is not.
    fn at_least(&mut self, next: &Value, field: &str, least: f64) -> Option<f64> {
        let size = self.number(next, field)?;
        if size < least {
            self.problem(format_args!("{field} must be at least {least}"));
        }
        Some(size.max(least))
    }
}

/// Our largest records (36 tasks, 48 or 50 machines) keep within this.
const LEAST_VALUE_KB: f64 = 2.0;
/// A machine that moves between two shards takes budget along, and the end of a job
/// takes its keys with it.
const LEAST_TXN_OPS: u32 = 4;

#[derive(Debug, Deserialize)]
pub struct CloudSettings {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct LimitSettings {
    pub max_connections: u32,
    #[serde(default)]
    pub mem_mb: Option<f64>,
}

fn positive(name: &str, value: f64) -> Result<f64, String> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        Err(format!("{name} must be a positive number"))
    }
}

fn span(name: &str, value: f64) -> Result<Duration, String> {
    seconds(value)
        .filter(|span| !span.is_zero())
        .ok_or_else(|| format!("{name} must be a positive number of seconds"))
}

fn amount(name: &str, value: f64) -> Result<f64, String> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(format!("{name} must not be negative"))
    }
}

fn address(name: &str, value: &str) -> Result<(), String> {
    value
        .parse::<std::net::SocketAddr>()
        .map(drop)
        .map_err(|_| format!("{name} must be IP:PORT, not {value:?}"))
}

impl Settings {
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

    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Settings = serde_json::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        address("serve_on", &self.serve_on)?;
        address("peer_bind", &self.peer_bind)?;
        address("services.cloud", &self.services.cloud)?;
        address("services.state", &self.services.state)?;
        for peer in &self.peers {
            address("peers.address", &peer.address)?;
            if peer.node_name == self.node_name {
                return Err("peers must not name this node".into());
            }
        }
        let ok = |name: &str| {
            !name.is_empty() && name.len() <= 100 && !name.contains(|c: char| c.is_whitespace())
        };
        if !ok(&self.node_name) {
            return Err("node_name must be a name without spaces".into());
        }
        if self.settings.teams.is_empty() {
            return Err("settings.teams must not be empty".into());
        }
        for team in &self.settings.teams {
            let name = |field: &str| format!("settings.teams {}: {field}", team.name);
            amount(&name("cpus"), team.cpus)?;
            amount(&name("cpus_max"), team.cpus_max)?;
            amount(&name("gpus"), team.gpus)?;
            amount(&name("gpus_max"), team.gpus_max)?;
        }
        let workers = &self.settings.workers;
        let lease = span("settings.workers.lease_s", workers.lease_s)?;
        let cancel = span("settings.workers.cancel_s", workers.cancel_s)?;
        span("settings.workers.report_s", workers.report_s)?;
        if cancel < lease + Duration::from_secs(6) {
            // A controller cut off from all news could not keep any agent.
            return Err("settings.workers.cancel_s must exceed lease_s by 6 s or more".into());
        }
        let state = &self.settings.state;
        positive("settings.state.rps", state.rps)?;
        positive("settings.state.write_rps", state.write_rps)?;
        if !state.value_kb.is_finite() || state.value_kb < LEAST_VALUE_KB {
            return Err(format!(
                "settings.state.value_kb must be at least {LEAST_VALUE_KB}"
            ));
        }
        if state.txn_ops < LEAST_TXN_OPS {
            return Err(format!(
                "settings.state.txn_ops must be at least {LEAST_TXN_OPS}"
            ));
        }
        positive("settings.cloud.rps", self.settings.cloud.rps)?;
        span("settings.cloud.list_lag_s", self.settings.cloud.list_lag_s)?;
        if self.settings.limits.max_connections < 64 {
            return Err("settings.limits.max_connections must be at least 64".into());
        }
        Ok(())
    }

    /// What is wrong with these settings although a process can start with them: limits
    /// announced for later that are no limits, or too small to serve, and teams' limits
    /// that can't be kept together with their guarantees.
    pub fn warnings(&self) -> Vec<String> {
        let announced = Announced::read(&self.settings.state.next);
        let now = self.settings.state.value_kb;
        let value_kb = announced.limits.value_kb.map_or(now, |kb| kb.min(now));
        let mut warnings = announced.problems;
        warnings.extend(teams::problems(
            &self.settings,
            (value_kb * 1024.0) as usize,
        ));
        warnings
    }

    /// In domain terms. Call it on checked settings.
    pub fn config(&self, incarnation: Incarnation, tuning: Tuning) -> Config {
        let span = |value| seconds(value).unwrap_or_default();
        let cluster = &self.settings;
        let now = &cluster.state;
        let next = Announced::read(&now.next).limits;
        Config {
            name: ControllerName::new(self.node_name.as_str()),
            zone: ZoneName::new(self.area.as_str()),
            incarnation,
            peers: self
                .peers
                .iter()
                .map(|peer| {
                    (
                        ControllerName::new(peer.node_name.as_str()),
                        ZoneName::new(peer.area.as_str()),
                    )
                })
                .collect(),
            teams: cluster
                .teams
                .iter()
                .map(|team| Team {
                    name: TeamName::new(team.name.as_str()),
                    guaranteed: Quota {
                        cpus: team.cpus,
                        gpus: team.gpus,
                    },
                    limit: Quota::of_limit(team.cpus_max, team.gpus_max),
                })
                .collect(),
            objectives: cluster
                .objectives
                .iter()
                .map(|objective| Objective {
                    class: objective.class.as_deref().map(ClassName::new),
                    within: objective.within_s.and_then(seconds),
                })
                .collect(),
            heartbeat_interval: span(cluster.workers.report_s),
            agent_lease: span(cluster.workers.lease_s),
            cancel: span(cluster.workers.cancel_s),
            state: StateLimits {
                rps: now.rps,
                write_rps: now.write_rps,
                next_rps: next.rps.map_or(now.rps, |rps| rps.min(now.rps)),
                next_write_rps: next
                    .write_rps
                    .map_or(now.write_rps, |rps| rps.min(now.write_rps)),
                value_bytes: (next
                    .value_kb
                    .map_or(now.value_kb, |kb| kb.min(now.value_kb))
                    * 1024.0) as usize,
                txn_ops: next.txn_ops.map_or(now.txn_ops, |ops| ops.min(now.txn_ops)) as usize,
            },
            cloud_rps: cluster.cloud.rps,
            list_lag: span(cluster.cloud.list_lag_s),
            max_connections: cluster.limits.max_connections as usize,
            machines_tracked: machines_for(cluster.limits.mem_mb),
            protocol_version: tuning.protocol_version(),
            tuning,
            wall: Arc::new(std::time::SystemTime::now),
        }
    }
}
