//! Simulated machines, each with its agent.
//!
//! A [`Machine`] owns its agent's lease, fencing token, epoch and tasks, and the faults that
//! are injected into it. The simulated cloud creates machines and spawns [`Machine::run`];
//! the simulated network passes the controllers' commands to [`Machine::handle`]. Whenever a
//! task appears on a machine or leaves it, the rule checkers get an event.

mod commands;
mod heartbeat;
mod stage;
mod tasks;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};

use stallcove::storage::{MachineId, TaskId, jitter};
use tokio::time::Instant;

use crate::{
    rules::{Event, FreeCapacity, MachineKind},
    simulation::Simulation,
};
use stage::{Stage, TaskAttempt};

/// How often an agent looks at its tasks, and whether a heartbeat is due.
const AGENT_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a machine and its agent.
struct MachineState {
    epoch: u64,
    /// Number of the last heartbeat.
    sequence: u64,
    /// The highest fencing token seen.
    token: u64,
    /// When the last heartbeat that was answered was sent: the lease counts from then.
    lease_renewed_at: Instant,
    last_heartbeat_at: Instant,
    next_heartbeat_at: Instant,
    /// Something has changed since the last heartbeat.
    has_news: bool,
    is_heartbeat_in_flight: bool,
    /// Which controller gets the next heartbeat, modulo their number.
    target_controller: usize,
    tasks: BTreeMap<TaskAttempt, Stage>,
    /// Images that have been fetched.
    images: BTreeSet<String>,
    hung_until: Option<Instant>,
    /// Until then its heartbeats get out, but nothing gets in.
    inbound_lost_until: Option<Instant>,
    /// Until then it can open no connection, while commands reach it.
    outbound_lost_until: Option<Instant>,
    /// When the cloud takes the machine back, as it has announced.
    reclaimed_at: Option<Instant>,
    is_terminated: bool,
}

impl MachineState {
    fn new(now: Instant) -> Self {
        Self {
            epoch: 1,
            sequence: 0,
            token: 0,
            lease_renewed_at: now,
            last_heartbeat_at: now,
            next_heartbeat_at: now,
            has_news: false,
            is_heartbeat_in_flight: false,
            target_controller: jitter::uniform(0.0, 100.0) as usize,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            hung_until: None,
            inbound_lost_until: None,
            outbound_lost_until: None,
            reclaimed_at: None,
            is_terminated: false,
        }
    }
}

/// Whether a fault with this end still lasts.
fn lasts(until: Option<Instant>) -> bool {
    until.is_some_and(|until| until > Instant::now())
}

/// What a machine offers to tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// CPUs.
    pub cpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

/// A simulated machine with its agent.
pub struct Machine {
    /// The cloud's name for the machine.
    pub id: String,
    /// Where its agent listens, if it has an address of its own.
    pub address: OnceLock<String>,
    /// Machine type, zone and price class.
    pub kind: MachineKind,
    capacity: Capacity,
    /// Times the estimate of a task, how long it runs here.
    run_time_factor: f64,
    /// All that runs here fails.
    is_faulty: bool,
    state: Mutex<MachineState>,
}

impl Machine {
    /// A machine without tasks, whose agent has the lease of a first epoch.
    pub fn new(id: String, kind: MachineKind, capacity: Capacity, is_faulty: bool) -> Self {
        let now = Instant::now();
        Self {
            id,
            address: OnceLock::new(),
            kind,
            capacity,
            run_time_factor: jitter::uniform(0.9, 1.1),
            is_faulty,
            state: Mutex::new(MachineState::new(now)),
        }
    }

    /// Where controllers reach the agent.
    pub fn address(&self) -> &str {
        self.address.get().unwrap_or(&self.id)
    }

    /// The sides of a network partition that the machine is on.
    pub fn tags(&self) -> Vec<String> {
        vec![self.id.clone(), "agents".into(), self.kind.zone.clone()]
    }

    fn lock(&self) -> MutexGuard<'_, MachineState> {
        self.state
            .lock()
            .expect("no thread panics while it holds a machine's state")
    }

    /// The machine stands still for this long.
    pub fn hang(&self, time: Duration) {
        self.lock().hung_until = Some(Instant::now() + time);
    }

    /// For this long nothing reaches the machine, while its heartbeats get out.
    pub fn lose_inbound(&self, time: Duration) {
        self.lock().inbound_lost_until = Some(Instant::now() + time);
    }

    /// For this long the machine can open no connection, while commands reach it.
    pub fn lose_outbound(&self, time: Duration) {
        self.lock().outbound_lost_until = Some(Instant::now() + time);
    }

    /// The cloud announces that it takes the machine back after this time.
    pub fn announce_reclaim(&self, time: Duration) {
        let mut state = self.lock();
        state.reclaimed_at = Some(Instant::now() + time);
        state.has_news = true;
    }

    fn is_hung(&self) -> bool {
        lasts(self.lock().hung_until)
    }

    fn is_inbound_lost(&self) -> bool {
        lasts(self.lock().inbound_lost_until)
    }

    fn is_outbound_lost(&self) -> bool {
        lasts(self.lock().outbound_lost_until)
    }

    /// Whether the cloud has taken the machine away.
    pub fn is_terminated(&self) -> bool {
        self.lock().is_terminated
    }

    /// The machine's free capacity, if it works as it should and is not to be reclaimed.
    pub fn free_capacity(&self, simulation: &Simulation) -> Option<FreeCapacity> {
        if self.is_faulty
            || self.is_hung()
            || self.is_inbound_lost()
            || self.is_outbound_lost()
            || self.is_terminated()
        {
            return None;
        }
        let state = self.lock();
        if state.reclaimed_at.is_some() {
            return None;
        }
        let mut free = FreeCapacity {
            kind: self.kind.clone(),
            cpus: self.capacity.cpus,
            memory: self.capacity.memory,
        };
        for (key, stage) in &state.tasks {
            if stage.takes_capacity()
                && let Some(spec) = simulation.spec(&key.task.job)
            {
                free.cpus -= spec.per_task.cpus;
                free.memory -= spec.per_task.memory;
            }
        }
        Some(free)
    }

    /// Tasks that take capacity here, those that fetch their image too.
    pub fn tasks(&self) -> Vec<TaskId> {
        let state = self.lock();
        let attempts = state.tasks.iter();
        attempts
            .filter(|(_, stage)| stage.takes_capacity())
            .map(|(key, _)| key.task.clone())
            .collect()
    }

    /// The machine and all tasks on it end at once.
    pub fn terminate(&self, simulation: &Simulation) {
        let mut state = self.lock();
        if state.is_terminated {
            return;
        }
        state.is_terminated = true;
        let tasks = std::mem::take(&mut state.tasks);
        drop(state);
        self.end_tasks(simulation, tasks);
    }

    /// Reports that these attempts, just dropped from the table, are no longer here.
    fn end_tasks(&self, simulation: &Simulation, tasks: BTreeMap<TaskAttempt, Stage>) {
        for (key, stage) in tasks {
            if stage.is_on_machine() {
                simulation.leave_gang(&key.task, key.attempt);
                self.record_stop(simulation, &key.task);
            }
        }
    }

    fn record_stop(&self, simulation: &Simulation, task: &TaskId) {
        simulation.record(Event::TaskStopped(
            task.clone(),
            MachineId::new(self.id.as_str()),
        ));
    }

    /// The machine's operation from its boot until it is terminated.
    pub async fn run(self: Arc<Self>, simulation: Arc<Simulation>) {
        while !self.is_terminated() {
            tokio::time::sleep(AGENT_INTERVAL).await;
            if self.is_hung() {
                continue;
            }
            self.advance_tasks(&simulation);
            self.send_heartbeat_if_due(&simulation);
        }
    }
}
