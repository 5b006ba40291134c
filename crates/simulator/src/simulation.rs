//! The simulated cluster: controllers, network, cloud and users, on tokio's paused clock.
//!
//! [`Simulation`] owns what all of them share: the state service, the cloud's machines, the
//! controllers' processes, the injected faults and the rule checkers. Scenarios create it and
//! act on it. Its locks are held for moments only, never across an await.

mod cloud;
mod controllers;
mod network;
mod network_faults;
mod requests;
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
pub struct TypeSpec {
    /// Its name.
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// Memory of a machine in GB.
    pub memory: f64,
    /// Price of an hour.
    pub price: f64,
    /// Price of an hour of a spot machine.
    pub spot_price: f64,
    /// Usual boot time in seconds.
    pub boot: f64,
    /// Zones that have it.
    pub zones: Vec<String>,
    /// Machines in each zone.
    pub count: usize,
    /// Spot machines in each zone.
    pub spot_count: usize,
}

/// A process of a controller.
struct ControllerProcess {
    controller: Arc<Controller>,
    router: Router,
    stop: CancellationToken,
    background_tasks: JoinSet<&'static str>,
    incarnation: u64,
    /// With real sockets: its thread.
    process: Option<Process>,
}

/// A controller, running or not.
struct ControllerSlot {
    zone: String,
    running: Option<ControllerProcess>,
    /// With real sockets: the thread of the process that ended last.
    ended: Option<JoinHandle<()>>,
}

/// The state of the simulated cloud.
#[derive(Default)]
struct Cloud {
    /// The machines that each request got, by its name.
    provision_requests: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, ProvisionedMachine>,
    /// Machines ever provisioned.
    next: usize,
    down: bool,
    no_capacity: bool,
}

/// A machine with its times.
struct ProvisionedMachine {
    machine: Arc<Machine>,
    created: Instant,
    up_at: Option<Instant>,
    terminated_at: Option<Instant>,
}

/// The simulated cluster. Scenarios, users, machines and the network share it.
pub struct Simulation {
    /// When the scenario began.
    pub start: Instant,
    /// How long an agent's lease lasts.
    pub lease: Duration,
    /// How often agents send heartbeats, on average.
    pub heartbeat: Duration,
    /// How long tasks may stay once their user was told that the job is cancelled.
    pub cancel: Duration,
    /// The state service.
    pub state: StateService,
    state_rates: StateRates,
    teams: Vec<Team>,
    types: Vec<TypeSpec>,
    rules: Mutex<Rules>,
    specs: Mutex<BTreeMap<JobId, JobSpec>>,
    /// Jobs whose tasks fail wherever they run.
    failing: Mutex<BTreeSet<JobId>>,
    completed: Mutex<BTreeSet<TaskId>>,
    controllers: Mutex<BTreeMap<String, ControllerSlot>>,
    partitions: Mutex<Vec<Partition>>,
    /// Share of the state service's answers that are lost after execution.
    response_loss: Mutex<f64>,
    /// Share of the transactions that are applied late, unanswered, and how late.
    commit_delay: Mutex<Delay>,
    /// Controllers that stand still, until when. Their clocks run on.
    paused: Mutex<BTreeMap<String, Instant>>,
    cloud: Mutex<Cloud>,
    /// Numbers of the machines on which everything fails.
    faulty: Mutex<BTreeSet<usize>>,
    /// The state that each job's user was told last.
    pub reported_states: Mutex<BTreeMap<JobId, String>>,
    /// The HTTP status that each job's last submission got.
    pub submission_statuses: Mutex<BTreeMap<JobId, u16>>,
    /// Share of the heartbeats that are delivered twice, and how late.
    duplicates: Mutex<Delay>,
    /// Share of the jobs that are cancelled as their last task completes.
    cancel_at_end: Mutex<f64>,
    gangs: Mutex<Gangs>,
    versions: Mutex<BTreeMap<String, Version>>,
    /// Faults that have a state of their own.
    pub faults: FaultInjection,
    announced_limits: Limits,
    /// The state service takes up to this much longer for an answer.
    latency: Mutex<Duration>,
    tuning: Tuning,
    /// Real sockets, in place of the simulated network.
    pub loopback: Option<Loopback>,
    /// The events so far; none: nobody asked for them.
    trace: Option<Mutex<EventTrace>>,
}

const AGENT_LEASE: Duration = Duration::from_secs(15);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// How long tasks may stay once their user was told that the job is cancelled.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(40);
/// The cloud lists its machines as they were this long ago.
const LIST_LAG: Duration = Duration::from_secs(6);

/// What a scenario says of the cluster before anything happens in it.
pub struct ClusterSettings {
    /// The zones; controllers are spread over them.
    pub zones: Vec<String>,
    /// How many controllers there are.
    pub controllers: usize,
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The cloud's catalog.
    pub types: Vec<TypeSpec>,
    /// The state service's limits at the start.
    pub state_rates: StateRates,
    /// The limits that it announces.
    pub announced_limits: Limits,
    /// The operator's settings, as far as the current version knows them.
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
    /// A cluster whose controllers are not yet started.
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
            lease: AGENT_LEASE,
            heartbeat: HEARTBEAT_INTERVAL,
            cancel: MAX_CANCEL_TIME,
            state,
            state_rates: settings.state_rates,
            teams: settings.teams,
            types: settings.types,
            rules: Mutex::new(Rules::new(limits, MAX_CANCEL_TIME)),
            specs: Mutex::default(),
            failing: Mutex::default(),
            completed: Mutex::default(),
            controllers: Mutex::new(controller_slots(&settings.zones, settings.controllers)),
            partitions: Mutex::default(),
            response_loss: Mutex::new(0.0),
            commit_delay: Mutex::default(),
            paused: Mutex::default(),
            cloud: Mutex::default(),
            faulty: Mutex::default(),
            reported_states: Mutex::default(),
            submission_statuses: Mutex::default(),
            duplicates: Mutex::default(),
            cancel_at_end: Mutex::new(0.0),
            gangs: Mutex::default(),
            versions: Mutex::default(),
            faults: FaultInjection::default(),
            announced_limits: settings.announced_limits,
            latency: Mutex::default(),
            tuning: settings.tuning,
            loopback: None,
            trace: None,
        })
    }

    /// The time since the start of the scenario.
    pub fn at(&self) -> Duration {
        self.start.elapsed()
    }

    /// Keeps the ordered events from now on, for [`Self::take_trace`].
    pub fn keep_trace(&mut self) {
        self.trace = Some(Mutex::default());
    }

    /// The events since [`Self::keep_trace`].
    pub fn take_trace(&self) -> EventTrace {
        let trace = self.trace.as_ref();
        trace.map_or_else(EventTrace::default, |trace| {
            std::mem::take(&mut *trace.lock().expect("trace"))
        })
    }

    /// Adds an event to the trace, if one is kept.
    pub(crate) fn trace(&self, describe: impl FnOnce() -> String) {
        if let Some(trace) = &self.trace {
            let event = describe();
            trace.lock().expect("trace").record(self.at(), &event);
        }
    }

    /// Passes an event to the rule checkers.
    pub fn record(&self, event: Event) {
        self.trace(|| format!("{event:?}"));
        self.rules.lock().expect("rules").record(self.at(), event);
    }

    /// All injected faults are over.
    pub fn note_faults_ended(&self) {
        self.rules
            .lock()
            .expect("rules")
            .note_faults_ended(self.at());
    }

    /// The scenario is over: lets the rule checkers look at it as a whole.
    pub fn finish(&self) {
        self.rules.lock().expect("rules").finish(self.at());
    }

    /// Lets the rule checkers look at what becomes wrong with time; called often.
    pub fn check_rules(self: &Arc<Self>) {
        self.deliver_kept_duplicates();
        self.rules.lock().expect("rules").check_deadlines(self.at());
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
        let mut rules = self.rules.lock().expect("rules");
        rules.check_waiting(self.at(), &free, &placed);
    }

    /// The rules that were broken, one line each.
    pub fn violations(&self) -> Vec<String> {
        let mut broken = self.rules.lock().expect("rules").violations.clone();
        broken.extend(self.state.too_large());
        broken
    }

    /// How many tasks of the job are on machines.
    pub fn running(&self, job: &JobId) -> usize {
        self.rules.lock().expect("rules").running(job)
    }

    /// See [`Rules::waits`].
    pub fn waits(&self) -> Vec<(Duration, Option<Duration>)> {
        self.rules.lock().expect("rules").waits()
    }

    /// See [`Rules::used`].
    pub fn used(&self) -> BTreeMap<TeamName, f64> {
        self.rules.lock().expect("rules").used()
    }

    /// How often a task was started.
    pub fn starts(&self) -> usize {
        self.rules.lock().expect("rules").starts
    }
}
