//! Scenarios: small text files, one line a statement. `tests/scenarios/README`
//! describes them.

mod actions;
mod expectations;
mod parser;
mod words;

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex},
    time::Duration,
};

use stallcove::{coordination::Tuning, storage::*};
use tokio::time::Instant;

use crate::{
    simulation::{Simulation, TypeSpec},
    state_service::Limits,
    versions::Version,
};
use actions::{act, later};
use words::Words;

#[derive(Clone, Debug)]
struct TimedAction {
    at: Duration,
    words: Vec<String>,
    line: String,
}

/// CPUs that teams used at one time.
#[derive(Clone, Debug)]
pub struct UsageSample {
    pub at: Duration,
    pub used: BTreeMap<TeamName, f64>,
}

/// What was seen in a scenario.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Broken rules and expectations that failed.
    pub wrong: Vec<String>,
    /// By time of submission, how long each job took to start.
    pub waits: Vec<(Duration, Option<Duration>)>,
    pub used: Vec<UsageSample>,
    pub starts: usize,
    /// Changes asked of the state service.
    pub changes: usize,
    /// Changes made there, by the kind of record: `+` written, `-` removed.
    pub changes_by_kind: BTreeMap<String, usize>,
    /// Machines ever provisioned.
    pub provisioned: usize,
    /// What each job's user was told last.
    pub outcomes: BTreeMap<JobId, String>,
}

impl fmt::Display for Measured {
    /// One line of figures: two versions of the code that act alike give the same.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "failed={} starts={} rented={} changes={}",
            self.wrong.len(),
            self.starts,
            self.provisioned,
            self.changes
        )?;
        for (kind, count) in &self.changes_by_kind {
            write!(f, " {kind}={count}")?;
        }
        for (job, outcome) in &self.outcomes {
            write!(f, " {job}={outcome}")?;
        }
        Ok(())
    }
}

pub struct Scenario {
    seed: u64,
    zones: Vec<String>,
    controllers: usize,
    teams: Vec<Team>,
    types: Vec<TypeSpec>,
    timed: Vec<TimedAction>,
    until: Duration,
    /// The state service's requests and changes a second.
    limits: (f64, f64),
    /// What it lowers its limits to, as the settings announce it.
    next: Limits,
    /// The version of all controllers at the start.
    version: Version,
    /// The operator's settings, as far as the current version knows them.
    tuning: Tuning,
}

impl Scenario {
    /// When the last trouble is over: what users were refused until then is
    /// forgiven. Those who submit late are troubles of their own.
    fn calm_at(&self) -> Duration {
        let quiet = ["submit", "stream", "resubmit", "cancel", "expect", "cloud"];
        let ends = self.timed.iter().filter_map(|timed| {
            let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
            let words = Words::new(&parts[1..]);
            let late = words.seconds("late", 0.0);
            (!quiet.contains(&parts[0])).then(|| timed.at + words.seconds("for", 5.0) + late)
        });
        ends.max().unwrap_or_default()
    }

    /// Plays the scenario on a clock of its own; returns what went wrong.
    pub fn play(self) -> Vec<String> {
        self.measure().wrong
    }

    /// Plays the scenario as [`Self::play`] does; what was seen in it.
    pub fn measure(self) -> Measured {
        jitter::seed(self.seed);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(self.run_measured(false))
    }

    /// Plays the scenario in real time, on real sockets of the loopback range.
    pub fn play_on_loopback(self) -> Vec<String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(self.run(true))
    }

    async fn run(self, loopback: bool) -> Vec<String> {
        self.run_measured(loopback).await.wrong
    }

    async fn run_measured(self, loopback: bool) -> Measured {
        let calm_at = self.calm_at();
        let Self {
            zones,
            controllers,
            teams,
            types,
            limits,
            next,
            version,
            tuning,
            timed,
            until,
            ..
        } = self;
        let mut simulation =
            Simulation::new(zones, controllers, teams, types, limits, next, tuning);
        if loopback {
            let simulation = Arc::get_mut(&mut simulation).expect("nobody else has it yet");
            simulation.use_loopback();
        }
        simulation.serve_services().await;
        for name in simulation.controller_names() {
            simulation.set_version(&name, version);
            simulation.boot_controller(&name);
        }
        let start = Instant::now();
        let mut wrong = Vec::new();
        let usage_samples: Arc<Mutex<Vec<UsageSample>>> = Arc::default();
        let ticker = {
            let (simulation, samples) = (simulation.clone(), usage_samples.clone());
            tokio::spawn(async move {
                loop {
                    tokio::time::sleep(Duration::from_millis(250)).await;
                    simulation.tick();
                    let sample = UsageSample {
                        at: simulation.at(),
                        used: simulation.used(),
                    };
                    samples.lock().expect("samples").push(sample);
                }
            })
        };
        {
            let simulation = simulation.clone();
            later(calm_at, move || simulation.calm());
        }
        for timed in &timed {
            tokio::time::sleep_until(start + timed.at).await;
            let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
            if let Err(what) = act(&simulation, &parts) {
                wrong.push(format!("{}: {what}", timed.line));
            }
        }
        tokio::time::sleep_until(start + until).await;
        ticker.abort();
        simulation.finish();
        wrong.extend(simulation.broken());
        let used = std::mem::take(&mut *usage_samples.lock().expect("samples"));
        Measured {
            wrong,
            waits: simulation.waits(),
            used,
            starts: simulation.starts(),
            changes: simulation.state.changes(),
            changes_by_kind: simulation.state.changes_by_kind(),
            provisioned: simulation.provisioned(),
            outcomes: simulation.told.lock().expect("told").clone(),
        }
    }
}
