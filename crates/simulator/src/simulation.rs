//! The simulated cluster: controllers, network, cloud and users, on tokio's paused clock.
//!
//! [`Simulation`] owns the state they share: the state service, the cloud's machines, the
//! controllers' processes, the injected faults and the rule checkers. Scenarios create it and
//! run their actions on it. Its locks are held briefly and never across an await.

mod cloud;
mod controllers;
mod network;
mod network_faults;
mod requests;
mod state_caches;
mod tasks;

pub use network::SimNet;
pub use network_faults::Partition;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    thread::JoinHandle,
    time::Duration,
};

use axum::Router;
use stallcove::{
    coordination::{Controller, Tuning},
    storage::*,
};
use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    agent::Machine,
    event_trace::EventTrace,
    faults::{Delay, FaultInjection},
    gangs::Gangs,
    loopback::{Loopback, Process},
    rules::{Event, FreeCapacity, MachineKind, Rules},
    state_service::{Limits, StateRates, StateService},
    versions::Version,
};

/// A machine type of the cloud's catalog.
#[derive(Clone, Debug)]
pub struct MachineTypeSpec {
    /// Name of the machine type.
    pub name: String,
    /// CPUs per machine.
    pub cpus: f64,
    /// Memory per machine, in GB.
    pub memory: f64,
    /// On-demand price per hour.
    pub price: f64,
    /// Spot price per hour.
    pub spot_price: f64,
    /// Typical boot time, in seconds.
    pub boot_s: f64,
    /// Zones that offer this type.
    pub zones: Vec<String>,
    /// On-demand machines that exist in each zone.
    pub count: usize,
    /// Spot machines that exist in each zone.
    pub spot_count: usize,
}

/// A running process of a controller.
struct ControllerProcess {
    controller: Arc<Controller>,
    router: Router,
    stop: CancellationToken,
    background_tasks: JoinSet<&'static str>,
    incarnation: u64,
    /// The thread that runs the controller in loopback mode (real sockets); `None` otherwise.
    process: Option<Process>,
}

/// A controller of the cluster, whether or not its process is running.
struct ControllerSlot {
    zone: String,
    running: Option<ControllerProcess>,
    /// In loopback mode, the thread of the last killed process, which may still hold the
    /// controller's addresses.
    ended: Option<JoinHandle<()>>,
}

/// The state of the simulated cloud.
#[derive(Default)]
struct Cloud {
    /// Ids of the machines provisioned for each request, by request name.
    provision_requests: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, ProvisionedMachine>,
    /// Number of the next machine, counted from 0.
    next_number: usize,
    is_down: bool,
    no_capacity: bool,
}

/// A provisioned machine with the times of its lifecycle.
struct ProvisionedMachine {
    machine: Arc<Machine>,
    created_at: Instant,
    booted_at: Option<Instant>,
    terminated_at: Option<Instant>,
}

/// The simulated cluster, shared by scenarios, users, machines and the network.
pub struct Simulation {
    /// When the scenario began.
    pub start: Instant,
    /// Duration of an agent's lease.
    pub agent_lease: Duration,
    /// Average interval between an agent's heartbeats.
    pub heartbeat_interval: Duration,
    /// Maximum time that tasks may stay on machines after their user was informed that the
    /// job is cancelled.
    pub max_cancel_time: Duration,
    /// The state service.
    pub state: StateService,
    state_rates: StateRates,
    teams: Vec<Team>,
    types: Vec<MachineTypeSpec>,
    rules: Mutex<Rules>,
    specs: Mutex<BTreeMap<JobId, JobSpec>>,
    /// Jobs whose tasks fail on any machine.
    failing_jobs: Mutex<BTreeSet<JobId>>,
    completed_tasks: Mutex<BTreeSet<TaskId>>,
    controllers: Mutex<BTreeMap<String, ControllerSlot>>,
    partitions: Mutex<Vec<Partition>>,
    /// Share of the state service's answers that are lost after the request was executed.
    response_loss: Mutex<f64>,
    /// Share of the state service's responses that arrive late, and the maximum delay.
    response_delay: Mutex<Delay>,
    /// Share of the transactions that are applied late and never answered, and the maximum
    /// delay.
    commit_delay: Mutex<Delay>,
    /// End of the pause of each paused controller. The clocks of a paused process keep running.
    paused_until: Mutex<BTreeMap<String, Instant>>,
    /// When the controllers' state caches were last compared with the state service.
    caches_compared_at: Mutex<Instant>,
    cloud: Mutex<Cloud>,
    /// Numbers of the machines on which every task fails.
    faulty_machines: Mutex<BTreeSet<usize>>,
    /// The job state last reported to each job's user.
    pub reported_states: Mutex<BTreeMap<JobId, String>>,
    /// The HTTP status of the last answer to each job's submission.
    pub submission_statuses: Mutex<BTreeMap<JobId, u16>>,
    /// Share of the heartbeats that are delivered twice, and the maximum delay of the copy.
    heartbeat_duplicates: Mutex<Delay>,
    /// Share of the jobs whose users cancel them when the last task completes.
    cancel_at_end_share: Mutex<f64>,
    gangs: Mutex<Gangs>,
    versions: Mutex<BTreeMap<String, Version>>,
    /// Faults whose state is kept separately.
    pub faults: FaultInjection,
    announced_limits: Limits,
    /// Maximum additional latency of the state service's answers.
    max_latency: Mutex<Duration>,
    tuning: Tuning,
    /// Real sockets that replace the simulated network; `None` if the network is simulated.
    pub loopback: Option<Loopback>,
    /// The events recorded so far; `None` if tracing is off.
    trace: Option<Mutex<EventTrace>>,
}

const AGENT_LEASE: Duration = Duration::from_secs(15);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum time that tasks may stay on machines after their user was informed that the job is
/// cancelled.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(40);
/// Age of the data in the cloud's list of machines.
const LIST_LAG: Duration = Duration::from_secs(6);

/// Initial configuration of the simulated cluster, as stated by a scenario.
pub struct ClusterSettings {
    /// The zones; controllers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// Number of controllers.
    pub controllers: usize,
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The cloud's catalog.
    pub types: Vec<MachineTypeSpec>,
    /// The state service's rate limits at the start.
    pub state_rates: StateRates,
    /// The limits that the state service announces and enforces after `state lower-limits`.
    pub announced_limits: Limits,
    /// The operator's settings for controllers of the current version.
    pub tuning: Tuning,
}

fn controller_slots(zones: &[String], controllers: usize) -> BTreeMap<String, ControllerSlot> {
    (0..controllers)
        .map(|n| {
            let slot = ControllerSlot {
                zone: zones[n % zones.len()].clone(),
                running: None,
                ended: None,
            };
            (format!("n{n}"), slot)
        })
        .collect()
}

impl Simulation {
    /// Creates a cluster whose controllers are not yet started.
    pub fn new(settings: ClusterSettings) -> Arc<Self> {
        let state = StateService::default();
        state.set_limits(settings.state_rates);
        let limits = settings
            .teams
            .iter()
            .map(|team| (team.name.clone(), team.limit.cpus))
            .collect();
        Arc::new(Self {
            start: Instant::now(),
            agent_lease: AGENT_LEASE,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            max_cancel_time: MAX_CANCEL_TIME,
            state,
            state_rates: settings.state_rates,
            teams: settings.teams,
            types: settings.types,
            rules: Mutex::new(Rules::new(limits, MAX_CANCEL_TIME)),
            specs: Mutex::default(),
            failing_jobs: Mutex::default(),
            completed_tasks: Mutex::default(),
            controllers: Mutex::new(controller_slots(&settings.zones, settings.controllers)),
            partitions: Mutex::default(),
            response_loss: Mutex::new(0.0),
            response_delay: Mutex::default(),
            commit_delay: Mutex::default(),
            paused_until: Mutex::default(),
            caches_compared_at: Mutex::new(Instant::now()),
            cloud: Mutex::default(),
            faulty_machines: Mutex::default(),
            reported_states: Mutex::default(),
            submission_statuses: Mutex::default(),
            heartbeat_duplicates: Mutex::default(),
            cancel_at_end_share: Mutex::new(0.0),
            gangs: Mutex::default(),
            versions: Mutex::default(),
            faults: FaultInjection::default(),
            announced_limits: settings.announced_limits,
            max_latency: Mutex::default(),
            tuning: settings.tuning,
            loopback: None,
            trace: None,
        })
    }

    /// Returns the time since the start of the scenario.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Starts recording events, to be read by [`Self::take_trace`].
    pub fn keep_trace(&mut self) {
        self.trace = Some(Mutex::default());
    }

    /// Returns and clears the events recorded since [`Self::keep_trace`].
    pub fn take_trace(&self) -> EventTrace {
        let trace = self.trace.as_ref();
        trace.map_or_else(EventTrace::default, |trace| {
            std::mem::take(&mut *trace.lock().expect("trace lock"))
        })
    }

    /// Adds an event to the trace if tracing is on.
    pub(crate) fn trace(&self, describe: impl FnOnce() -> String) {
        if let Some(trace) = &self.trace {
            let event = describe();
            trace
                .lock()
                .expect("trace lock")
                .record(self.elapsed(), &event);
        }
    }

    /// Passes an event to the rule checkers.
    pub fn record(&self, event: Event) {
        self.trace(|| format!("{event:?}"));
        self.rules
            .lock()
            .expect("rules lock")
            .record(self.elapsed(), event);
    }

    /// Informs the rule checkers that all injected faults are over.
    pub fn note_faults_ended(&self) {
        self.rules
            .lock()
            .expect("rules lock")
            .note_faults_ended(self.elapsed());
    }

    /// Checks the rules that apply to the scenario as a whole, at its end.
    pub fn finish(&self) {
        self.rules
            .lock()
            .expect("rules lock")
            .finish(self.elapsed());
    }

    /// Checks the rules that can be violated by the passing of time. Must be called periodically.
    /// Also delivers kept heartbeat duplicates if a new leader has started.
    pub fn check_rules(self: &Arc<Self>) {
        self.deliver_kept_duplicates();
        self.check_state_caches();
        self.rules
            .lock()
            .expect("rules lock")
            .check_deadlines(self.elapsed());
        let machines = self.machines();
        let free: Vec<FreeCapacity> = machines
            .iter()
            .filter_map(|machine| machine.free_capacity(self))
            .collect();
        let placed: Vec<(TaskId, MachineKind)> = machines
            .iter()
            .flat_map(|machine| {
                let tasks = machine.tasks().into_iter();
                tasks.map(|task| (task, machine.kind.clone()))
            })
            .collect();
        let mut rules = self.rules.lock().expect("rules lock");
        rules.check_waiting(self.elapsed(), &free, &placed);
    }

    /// Returns the rule violations found so far, one line each.
    pub fn violations(&self) -> Vec<String> {
        let mut broken = self.rules.lock().expect("rules lock").violations.clone();
        broken.extend(self.state.oversized_transactions());
        broken.extend(self.state.repeated_transactions());
        broken
    }

    /// Returns the number of the job's tasks that are on machines.
    pub fn running_tasks(&self, job: &JobId) -> usize {
        self.rules.lock().expect("rules lock").running_tasks(job)
    }

    /// See [`Rules::start_delays`].
    pub fn start_delays(&self) -> Vec<(Duration, Option<Duration>)> {
        self.rules.lock().expect("rules lock").start_delays()
    }

    /// See [`Rules::used_cpus`].
    pub fn used_cpus(&self) -> BTreeMap<TeamName, f64> {
        self.rules.lock().expect("rules lock").used_cpus()
    }

    /// Returns the number of task starts.
    pub fn task_starts(&self) -> usize {
        self.rules.lock().expect("rules lock").task_starts
    }
}
