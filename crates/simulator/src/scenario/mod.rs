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

use stallcove::storage::{JobId, TeamName, jitter};
use tokio::{runtime::Runtime, time::Instant};

use crate::{
    event_trace::EventTrace,
    logging,
    simulation::{ClusterSettings, Simulation},
    user_choices,
    versions::Version,
};
use actions::{act, run_later};
use words::Words;

/// What happens at a time, since the start of the scenario.
#[derive(Clone, Debug)]
struct TimedAction {
    at: Duration,
    words: Vec<String>,
    line: String,
}

/// CPUs that teams used at one time.
#[derive(Clone, Debug)]
pub struct UsageSample {
    /// Since the start of the scenario.
    pub at: Duration,
    /// CPUs by team.
    pub used: BTreeMap<TeamName, f64>,
}

/// What was seen in a scenario.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Broken rules and expectations that failed.
    pub wrong: Vec<String>,
    /// By time of submission, how long each job took to start.
    pub waits: Vec<(Duration, Option<Duration>)>,
    /// What teams used over time.
    pub used: Vec<UsageSample>,
    /// How often a task was started.
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
            "failed={} starts={} provisioned={} changes={}",
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

/// A scenario, ready to be played once.
pub struct Scenario {
    /// The seed of all random draws.
    seed: u64,
    cluster: ClusterSettings,
    /// The version of all controllers at the start.
    version: Version,
    timed: Vec<TimedAction>,
    until: Duration,
}

/// What a scenario is played on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Surroundings {
    /// The simulated network, on a paused clock.
    Simulated,
    /// The same, with its events kept.
    Traced,
    /// Real sockets, in real time.
    Loopback,
}

/// Statements that are no faults. Those who submit late are faults of their own.
const FAULTLESS_STATEMENTS: [&str; 6] =
    ["submit", "stream", "resubmit", "cancel", "expect", "cloud"];
/// How long a fault lasts, in seconds, if nothing is said.
const DEFAULT_FAULT_S: f64 = 5.0;
/// How often the rule checkers look at the cluster.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Scenario {
    /// When the last fault is over: what users were refused until then is
    /// forgiven.
    fn faults_end_at(&self) -> Duration {
        let ends = self.timed.iter().filter_map(|timed| {
            let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
            let words = Words::new(&parts[1..]);
            let late = words.seconds("late", 0.0);
            (!FAULTLESS_STATEMENTS.contains(&parts[0]))
                .then(|| timed.at + words.seconds("for", DEFAULT_FAULT_S) + late)
        });
        ends.max().unwrap_or_default()
    }

    /// Plays the scenario on a clock of its own; returns what went wrong.
    pub fn play(self) -> Vec<String> {
        self.measure().wrong
    }

    /// The same scenario with another seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Makes all that is drawn on this thread repeatable.
    fn seed_draws(&self) {
        jitter::seed(self.seed);
        user_choices::seed(self.seed);
    }

    /// Plays the scenario as [`Self::play`] does; what was seen in it.
    pub fn measure(self) -> Measured {
        self.seed_draws();
        paused_runtime()
            .block_on(self.run(Surroundings::Simulated))
            .0
    }

    /// Plays the scenario as [`Self::measure`] does, and keeps its events.
    pub fn measure_traced(self) -> (Measured, EventTrace) {
        self.seed_draws();
        paused_runtime().block_on(self.run(Surroundings::Traced))
    }

    /// Plays the scenario in real time, on real sockets of the loopback range.
    pub fn play_on_loopback(self) -> Vec<String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime starts");
        runtime.block_on(self.run(Surroundings::Loopback)).0.wrong
    }

    async fn run(self, surroundings: Surroundings) -> (Measured, EventTrace) {
        logging::start_clock();
        let faults_end_at = self.faults_end_at();
        let mut simulation = Simulation::new(self.cluster);
        {
            let simulation = Arc::get_mut(&mut simulation).expect("nobody else has it yet");
            match surroundings {
                Surroundings::Simulated => {}
                Surroundings::Traced => simulation.keep_trace(),
                Surroundings::Loopback => simulation.use_loopback(),
            }
        }
        simulation.serve_services().await;
        for name in simulation.controller_names() {
            simulation.set_version(&name, self.version);
            simulation.boot_controller(&name);
        }
        let start = Instant::now();
        let usage_samples: Arc<Mutex<Vec<UsageSample>>> = Arc::default();
        let checks = tokio::spawn(check_often(simulation.clone(), usage_samples.clone()));
        {
            let simulation = simulation.clone();
            run_later(faults_end_at, move || simulation.note_faults_ended());
        }
        let mut violations = play_actions(&simulation, &self.timed, start).await;
        tokio::time::sleep_until(start + self.until).await;
        checks.abort();
        simulation.finish();
        violations.extend(simulation.violations());
        let used = std::mem::take(&mut *usage_samples.lock().expect("samples"));
        let trace = simulation.take_trace();
        (measure(&simulation, violations, used), trace)
    }
}

fn paused_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts")
}

/// Plays the timed actions; the expectations that failed.
async fn play_actions(
    simulation: &Arc<Simulation>,
    actions: &[TimedAction],
    start: Instant,
) -> Vec<String> {
    let mut failed = Vec::new();
    for timed in actions {
        tokio::time::sleep_until(start + timed.at).await;
        let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
        if let Err(failure) = act(simulation, &parts) {
            failed.push(format!("{}: {failure}", timed.line));
        }
    }
    failed
}

/// Lets the rule checkers look at the cluster, and samples what teams use, until aborted.
async fn check_often(simulation: Arc<Simulation>, samples: Arc<Mutex<Vec<UsageSample>>>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        simulation.check_rules();
        let sample = UsageSample {
            at: simulation.at(),
            used: simulation.used(),
        };
        samples.lock().expect("samples").push(sample);
    }
}

fn measure(simulation: &Simulation, violations: Vec<String>, used: Vec<UsageSample>) -> Measured {
    Measured {
        wrong: violations,
        waits: simulation.waits(),
        used,
        starts: simulation.starts(),
        changes: simulation.state.changes(),
        changes_by_kind: simulation.state.changes_by_kind(),
        provisioned: simulation.provisioned(),
        outcomes: simulation
            .reported_states
            .lock()
            .expect("reported states")
            .clone(),
    }
}
