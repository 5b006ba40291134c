//! Parser of scenario texts.

use std::time::Duration;

use stallcove::{
    coordination::Tuning,
    storage::{Quota, Team, TeamName},
};

use super::{
    Scenario, TimedAction,
    words::{Words, parse},
};
use crate::{
    simulation::{ClusterSettings, MachineTypeSpec},
    state_service::{Limits, StateRates},
    versions::Version,
};

/// Default limits of the state service on requests and changes per second.
const DEFAULT_RPS: f64 = 400.0;
const DEFAULT_WRITE_RPS: f64 = 200.0;
/// Default size limits that the state service announces.
const DEFAULT_ANNOUNCED_OPS: f64 = 16.0;
const DEFAULT_ANNOUNCED_VALUE_BYTES: f64 = 8192.0;

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            cluster: ClusterSettings {
                zones: vec!["a".into()],
                controllers: 3,
                teams: Vec::new(),
                types: Vec::new(),
                state_rates: StateRates {
                    rps: DEFAULT_RPS,
                    write_rps: DEFAULT_WRITE_RPS,
                },
                announced_limits: Limits::default(),
                tuning: Tuning::default(),
            },
            actions: Vec::new(),
            until: Duration::from_secs(60),
            version: Version::Current,
        }
    }
}

impl Scenario {
    /// Parses a scenario. An invalid one is a mistake in the test, so this panics with the word
    /// that is wrong.
    pub fn parse(text: &str) -> Self {
        let mut scenario = Self::default();
        for line in text.lines() {
            let line = line.split('#').next().unwrap_or("").trim();
            let parts: Vec<&str> = line.split_whitespace().collect();
            if let Some((name, rest)) = parts.split_first() {
                scenario.read_statement(line, name, rest);
            }
        }
        scenario.actions.sort_by_key(|timed| timed.at);
        scenario
    }

    fn read_statement(&mut self, line: &str, name: &str, rest: &[&str]) {
        let words = Words::new(rest);
        match name {
            "seed" => self.seed = parse(rest[0], "a seed"),
            "zones" => self.cluster.zones = rest.iter().map(|zone| (*zone).to_owned()).collect(),
            "controllers" => self.cluster.controllers = parse(rest[0], "a number of controllers"),
            "until" => self.until = Duration::from_secs_f64(parse(rest[0], "a time")),
            "limits" => {
                self.cluster.state_rates = StateRates {
                    rps: words.number("rps", DEFAULT_RPS),
                    write_rps: words.number("writes", DEFAULT_WRITE_RPS),
                };
            }
            "announced-limits" => self.cluster.announced_limits = announced_limits(&words),
            "transfers" => self.cluster.tuning.quota_transfers = true,
            "version" => self.version = Version::named(rest[0]),
            "team" => self.cluster.teams.push(team(rest[0], &words)),
            "type" => self.cluster.types.push(machine_type(rest[0], &words)),
            "at" => self.actions.push(TimedAction {
                at: Duration::from_secs_f64(parse(rest[0], "a time")),
                words: rest[1..].iter().map(|word| (*word).to_owned()).collect(),
                line: line.to_owned(),
            }),
            other => panic!("unknown statement {other}"),
        }
    }
}

fn announced_limits(words: &Words<'_>) -> Limits {
    Limits {
        rps: words.number("rps", DEFAULT_RPS),
        write_rps: words.number("writes", DEFAULT_WRITE_RPS),
        txn_ops: words.number("ops", DEFAULT_ANNOUNCED_OPS) as usize,
        value_bytes: words.number("value", DEFAULT_ANNOUNCED_VALUE_BYTES) as usize,
    }
}

fn team(name: &str, words: &Words<'_>) -> Team {
    Team {
        name: TeamName::new(name),
        guaranteed: Quota {
            cpus: words.number("guaranteed", 0.0),
            gpus: 0.0,
        },
        limit: Quota::from_limit(words.number("limit", 0.0), 0.0),
    }
}

fn machine_type(name: &str, words: &Words<'_>) -> MachineTypeSpec {
    let zones = words.names("zones").unwrap_or(vec!["a"]);
    MachineTypeSpec {
        name: name.into(),
        cpus: words.number("cpus", 8.0),
        memory: words.number("memory", 64.0),
        price: words.number("price", 1.0),
        spot_price: words.number("spot_price", 0.4),
        boot_s: words.number("boot", 5.0),
        zones: zones.into_iter().map(str::to_owned).collect(),
        count: words.number("count", 8.0) as usize,
        spot_count: words.number("spot_count", 0.0) as usize,
    }
}
