//! Scenarios: small text files with one statement per line. `tests/scenarios/README` describes
//! the statements.

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
use actions::{run_action, run_later};
use words::Words;

/// An action and its time since the start of the scenario.
#[derive(Clone, Debug)]
struct TimedAction {
    at: Duration,
    words: Vec<String>,
    line: String,
}

/// The teams' CPU usage at one time.
#[derive(Clone, Debug)]
pub struct UsageSample {
    /// Time of the sample, since the start of the scenario.
    pub at: Duration,
    /// CPUs in use, by team.
    pub cpus_by_team: BTreeMap<TeamName, f64>,
}

/// Results of a scenario.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Rule violations and failed expectations, one line each.
    pub failures: Vec<String>,
    /// Submission time of each job, and its delay until the first task started; `None` if none
    /// has started.
    pub start_delays: Vec<(Duration, Option<Duration>)>,
    /// CPU usage of the teams over time.
    pub usage_samples: Vec<UsageSample>,
    /// Number of task starts.
    pub task_starts: usize,
    /// Changes requested from the state service, including those of failed transactions.
    pub requested_changes: usize,
    /// Changes that controllers made in the state service, by the kind of record: `+` written,
    /// `-` removed.
    pub changes_by_kind: BTreeMap<String, usize>,
    /// Number of machines ever provisioned.
    pub provisioned_machines: usize,
    /// The job state last reported to each job's user.
    pub reported_states: BTreeMap<JobId, String>,
}

impl fmt::Display for Measurements {
    /// Writes one line of figures. Two versions of the code that behave alike give the same line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "failed={} starts={} provisioned={} changes={}",
            self.failures.len(),
            self.task_starts,
            self.provisioned_machines,
            self.requested_changes
        )?;
        for (kind, count) in &self.changes_by_kind {
            write!(f, " {kind}={count}")?;
        }
        for (job, state) in &self.reported_states {
            write!(f, " {job}={state}")?;
        }
        Ok(())
    }
}

/// A parsed scenario, ready to run once.
pub struct Scenario {
    /// Seed of all random numbers.
    seed: u64,
    cluster: ClusterSettings,
    /// The version of all controllers at the start.
    version: Version,
    actions: Vec<TimedAction>,
    until: Duration,
}

/// Network and clock with which a scenario runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunMode {
    /// Simulated network, paused clock.
    Simulated,
    /// Simulated network, paused clock, events recorded.
    Traced,
    /// Real sockets, real time.
    Loopback,
}

/// Actions that do not count as faults and do not delay the end of all faults. Faults of the cloud
/// are among them. All other actions count as faults, including polls and invalid requests.
const NON_FAULT_ACTIONS: [&str; 6] = ["submit", "stream", "resubmit", "cancel", "expect", "cloud"];
/// Default duration of a fault, in seconds.
const DEFAULT_FAULT_S: f64 = 5.0;
/// Interval between checks of the rules.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Scenario {
    /// Returns the time at which the last fault is over. Jobs that wait or get no answer until
    /// then violate no rule.
    fn faults_end_at(&self) -> Duration {
        let ends = self.actions.iter().filter_map(|timed| {
            let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
            let words = Words::new(&parts[1..]);
            let late = words.seconds("late", 0.0);
            (!NON_FAULT_ACTIONS.contains(&parts[0]))
                .then(|| timed.at + words.seconds("for", DEFAULT_FAULT_S) + late)
        });
        ends.max().unwrap_or_default()
    }

    /// Runs the scenario on its own paused clock; returns rule violations and failed expectations.
    pub fn play(self) -> Vec<String> {
        self.measure().failures
    }

    /// Returns the scenario with another seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Seeds the random generators of this thread, to make the run repeatable.
    fn seed_draws(&self) {
        jitter::seed(self.seed);
        user_choices::seed(self.seed);
    }

    /// Runs the scenario like [`Self::play`]; returns all results.
    pub fn measure(self) -> Measurements {
        self.seed_draws();
        paused_runtime().block_on(self.run(RunMode::Simulated)).0
    }

    /// Runs the scenario like [`Self::measure`]; also returns its events.
    pub fn measure_traced(self) -> (Measurements, EventTrace) {
        self.seed_draws();
        paused_runtime().block_on(self.run(RunMode::Traced))
    }

    /// Runs the scenario in real time on real sockets of the loopback range; returns rule
    /// violations and failed expectations.
    pub fn play_on_loopback(self) -> Vec<String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime starts");
        runtime.block_on(self.run(RunMode::Loopback)).0.failures
    }

    async fn run(self, mode: RunMode) -> (Measurements, EventTrace) {
        logging::start_clock();
        let faults_end_at = self.faults_end_at();
        let mut simulation = Simulation::new(self.cluster);
        {
            let simulation =
                Arc::get_mut(&mut simulation).expect("the simulation is not shared yet");
            match mode {
                RunMode::Simulated => {}
                RunMode::Traced => simulation.keep_trace(),
                RunMode::Loopback => simulation.use_loopback(),
            }
        }
        simulation.serve_services().await;
        for name in simulation.controller_names() {
            simulation.set_version(&name, self.version);
            simulation.boot_controller(&name);
        }
        let start = Instant::now();
        let usage_samples: Arc<Mutex<Vec<UsageSample>>> = Arc::default();
        let checks = tokio::spawn(check_periodically(
            simulation.clone(),
            usage_samples.clone(),
        ));
        {
            let simulation = simulation.clone();
            run_later(faults_end_at, move || simulation.note_faults_ended());
        }
        let mut violations = play_actions(&simulation, &self.actions, start).await;
        tokio::time::sleep_until(start + self.until).await;
        checks.abort();
        simulation.finish();
        violations.extend(simulation.violations());
        let samples = std::mem::take(&mut *usage_samples.lock().expect("samples lock"));
        let trace = simulation.take_trace();
        (measure(&simulation, violations, samples), trace)
    }
}

fn paused_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts")
}

/// Executes the timed actions; returns the failed expectations.
async fn play_actions(
    simulation: &Arc<Simulation>,
    actions: &[TimedAction],
    start: Instant,
) -> Vec<String> {
    let mut failed = Vec::new();
    for timed in actions {
        tokio::time::sleep_until(start + timed.at).await;
        let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
        if let Err(failure) = run_action(simulation, &parts) {
            failed.push(format!("{}: {failure}", timed.line));
        }
    }
    failed
}

/// Periodically checks the rules and samples the teams' CPU usage, until aborted.
async fn check_periodically(simulation: Arc<Simulation>, samples: Arc<Mutex<Vec<UsageSample>>>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        simulation.check_rules();
        let sample = UsageSample {
            at: simulation.elapsed(),
            cpus_by_team: simulation.used_cpus(),
        };
        samples.lock().expect("samples lock").push(sample);
    }
}

fn measure(
    simulation: &Simulation,
    violations: Vec<String>,
    usage_samples: Vec<UsageSample>,
) -> Measurements {
    Measurements {
        failures: violations,
        start_delays: simulation.start_delays(),
        usage_samples,
        task_starts: simulation.task_starts(),
        requested_changes: simulation.state.requested_changes(),
        changes_by_kind: simulation.state.changes_by_kind(),
        provisioned_machines: simulation.provisioned_machines(),
        reported_states: simulation
            .reported_states
            .lock()
            .expect("reported states lock")
            .clone(),
    }
}
