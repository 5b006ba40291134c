//! Simulated machines, each with its agent.
//!
//! A [`Machine`] owns its agent's lease, fencing token, epoch and tasks, and the faults
//! injected into it. The simulated cloud creates machines and spawns [`Machine::run`];
//! the simulated network passes the controllers' commands to [`Machine::handle`]. The rule
//! checkers receive an event whenever a task starts or ends on a machine.

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

/// Interval at which an agent advances its tasks and checks whether a heartbeat is due.
const AGENT_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a machine and its agent.
struct MachineState {
    epoch: u64,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// The highest fencing token seen.
    token: u64,
    /// When the last answered heartbeat was sent; the lease starts at that time.
    lease_renewed_at: Instant,
    last_heartbeat_at: Instant,
    next_heartbeat_at: Instant,
    /// Whether something has changed since the last heartbeat.
    has_unreported_change: bool,
    is_heartbeat_in_flight: bool,
    /// Index of the controller that gets the next heartbeat, modulo the number of controllers.
    target_controller: usize,
    tasks: BTreeMap<TaskAttempt, Stage>,
    /// Images already downloaded.
    images: BTreeSet<String>,
    hung_until: Option<Instant>,
    /// End of a one-way partition: heartbeats are sent, but nothing reaches the machine.
    inbound_lost_until: Option<Instant>,
    /// End of a one-way partition: commands reach the machine, but it can open no connection.
    outbound_lost_until: Option<Instant>,
    /// When the cloud reclaims the machine, if it has announced that.
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
            has_unreported_change: false,
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

/// Whether a fault that ends at `until` is still in effect.
fn is_ongoing(until: Option<Instant>) -> bool {
    until.is_some_and(|until| until > Instant::now())
}

/// Resources of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Number of CPUs.
    pub cpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

/// A simulated machine with its agent.
pub struct Machine {
    /// The machine's id in the cloud.
    pub id: String,
    /// The agent's socket address in loopback mode; unset while the network is simulated.
    pub address: OnceLock<String>,
    /// Machine type, zone and price class.
    pub kind: MachineKind,
    capacity: Capacity,
    /// Ratio of a task's run time on this machine to its job's estimate.
    run_time_factor: f64,
    /// Whether every task fails on this machine.
    is_faulty: bool,
    state: Mutex<MachineState>,
}

impl Machine {
    /// Creates a machine without tasks whose agent holds a lease in its first epoch.
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

    /// Returns the address under which controllers reach the agent: its socket address in
    /// loopback mode, otherwise the machine's id.
    pub fn address(&self) -> &str {
        self.address.get().unwrap_or(&self.id)
    }

    /// Returns the tags by which network partitions select the machine.
    pub fn tags(&self) -> Vec<String> {
        vec![self.id.clone(), "agents".into(), self.kind.zone.clone()]
    }

    fn lock(&self) -> MutexGuard<'_, MachineState> {
        self.state
            .lock()
            .expect("no thread panics while it holds a machine's state")
    }

    /// Hangs the machine for this long: it neither runs tasks nor communicates.
    pub fn hang(&self, time: Duration) {
        self.lock().hung_until = Some(Instant::now() + time);
    }

    /// Starts a one-way partition of this length: heartbeats are sent, but nothing reaches the
    /// machine.
    pub fn lose_inbound(&self, time: Duration) {
        self.lock().inbound_lost_until = Some(Instant::now() + time);
    }

    /// Starts a one-way partition of this length: commands reach the machine, but it can open no
    /// connection.
    pub fn lose_outbound(&self, time: Duration) {
        self.lock().outbound_lost_until = Some(Instant::now() + time);
    }

    /// Announces to the agent that the cloud will reclaim the machine after this time.
    pub fn announce_reclaim(&self, time: Duration) {
        let mut state = self.lock();
        state.reclaimed_at = Some(Instant::now() + time);
        state.has_unreported_change = true;
    }

    fn is_hung(&self) -> bool {
        is_ongoing(self.lock().hung_until)
    }

    fn is_inbound_lost(&self) -> bool {
        is_ongoing(self.lock().inbound_lost_until)
    }

    fn is_outbound_lost(&self) -> bool {
        is_ongoing(self.lock().outbound_lost_until)
    }

    /// Whether the machine has been terminated.
    pub fn is_terminated(&self) -> bool {
        self.lock().is_terminated
    }

    /// Returns the machine's free capacity, or `None` if the machine has a fault, is terminated or
    /// is about to be reclaimed.
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

    /// Returns the tasks that occupy capacity of the machine, including those that are still
    /// downloading their image.
    pub fn tasks(&self) -> Vec<TaskId> {
        let state = self.lock();
        let attempts = state.tasks.iter();
        attempts
            .filter(|(_, stage)| stage.takes_capacity())
            .map(|(key, _)| key.task.clone())
            .collect()
    }

    /// Terminates the machine and all tasks on it immediately.
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

    /// Records the end of attempts that were just removed from the table.
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

    /// Runs the machine from its boot until it is terminated.
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
