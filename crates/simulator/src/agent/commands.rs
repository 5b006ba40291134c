//! Handling of commands: an agent starts, stops and clears tasks for its machine's shard owner.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use stallcove::{
    protocol::agents::{CommandAction, CommandMessage, CommandRequest},
    storage::TaskId,
};
use tokio::time::Instant;

use super::{
    AGENT_INTERVAL, Machine, MachineState,
    stage::{ExitCause, Stage, TaskAttempt},
};
use crate::simulation::Simulation;

/// Image download rate of a machine.
const FETCH_GB_PER_S: f64 = 0.5;
/// Demand may exceed the capacity by this much, to allow for rounding of sums.
const CAPACITY_TOLERANCE: f64 = 1e-6;

impl Machine {
    /// Answers a controller's request to the agent; returns HTTP status and body.
    pub async fn handle(
        &self,
        simulation: &Arc<Simulation>,
        path: &str,
        body: &[u8],
    ) -> (u16, Value) {
        self.wait_until_responsive().await;
        let mut state = self.lock();
        match path {
            "/inspect" => (200, self.heartbeat(&mut state)),
            "/orders" => {
                let request: CommandRequest =
                    serde_json::from_slice(body).expect("a controller sends valid commands");
                if request.token < state.token || request.epoch != state.epoch {
                    return (409, self.heartbeat(&mut state));
                }
                self.execute(simulation, &mut state, request.token, &request.commands);
                (200, self.heartbeat(&mut state))
            }
            _ => (404, json!({})),
        }
    }

    /// Waits while a fault keeps requests from reaching the agent; never returns once the machine
    /// is terminated.
    async fn wait_until_responsive(&self) {
        while self.is_terminated() || self.is_hung() || self.is_inbound_lost() {
            tokio::time::sleep(AGENT_INTERVAL).await;
        }
    }

    /// Executes commands. The caller has checked that `token`, the fencing token sent with them,
    /// is not lower than the highest one seen.
    pub(super) fn execute(
        &self,
        simulation: &Simulation,
        state: &mut MachineState,
        token: u64,
        commands: &[CommandMessage],
    ) {
        let now = Instant::now();
        if token > state.token {
            state.token = token;
            state.has_unreported_change = true;
        }
        for command in commands {
            let key = TaskAttempt {
                task: TaskId::parse(&command.task).expect("commands contain valid task ids"),
                attempt: command.attempt,
            };
            match command.action {
                CommandAction::Start => self.start(simulation, state, key, now),
                CommandAction::Stop => {
                    let grace = command.grace_seconds.unwrap_or(0.0);
                    self.stop(simulation, state, &key, grace, now);
                }
                CommandAction::Clear => clear(state, &key),
            }
        }
    }

    /// Starts an attempt; one that cannot start is recorded as exited. Does nothing if the attempt
    /// is already in the table.
    fn start(
        &self,
        simulation: &Simulation,
        state: &mut MachineState,
        key: TaskAttempt,
        now: Instant,
    ) {
        if state.tasks.contains_key(&key) {
            return;
        }
        let stage = match self.admit(simulation, state, &key.task) {
            Ok(fetch_time) => Stage::Fetching(now + fetch_time),
            Err(cause) => Stage::Exited(cause),
        };
        state.tasks.insert(key, stage);
        state.has_unreported_change = true;
    }

    /// Returns the image download time of a new task, or why it cannot be started on this
    /// machine.
    fn admit(
        &self,
        simulation: &Simulation,
        state: &MachineState,
        task: &TaskId,
    ) -> Result<Duration, ExitCause> {
        let Some(spec) = simulation.spec(&task.job) else {
            return Err(ExitCause::Unknown);
        };
        if state.tasks.keys().any(|other| other.task == *task) {
            return Err(ExitCause::Busy);
        }
        let mut cpus = spec.per_task.cpus;
        let mut memory = spec.per_task.memory;
        for (other, stage) in &state.tasks {
            if stage.takes_capacity()
                && let Some(other) = simulation.spec(&other.task.job)
            {
                cpus += other.per_task.cpus;
                memory += other.per_task.memory;
            }
        }
        if cpus > self.capacity.cpus + CAPACITY_TOLERANCE
            || memory > self.capacity.memory + CAPACITY_TOLERANCE
        {
            return Err(ExitCause::Full);
        }
        if state.images.contains(spec.image.as_str()) {
            return Ok(Duration::ZERO);
        }
        Ok(Duration::from_secs_f64(spec.image_gb / FETCH_GB_PER_S))
    }

    /// Stops an attempt. A running one saves a checkpoint first if its job has checkpoints and
    /// the grace period suffices.
    fn stop(
        &self,
        simulation: &Simulation,
        state: &mut MachineState,
        key: &TaskAttempt,
        grace_seconds: f64,
        now: Instant,
    ) {
        let Some(stage) = state.tasks.get_mut(key) else {
            return;
        };
        let spec = simulation.spec(&key.task.job);
        let saves = spec.as_ref().is_some_and(|spec| {
            !spec.checkpoint.is_zero() && grace_seconds >= spec.save.as_secs_f64()
        });
        let saved_at = now + spec.map_or(Duration::ZERO, |spec| spec.save);
        match *stage {
            Stage::Running(_) if saves => *stage = Stage::Saving(saved_at),
            Stage::Running(_) | Stage::Saving(_) => {
                *stage = Stage::Exited(ExitCause::Stopped);
                self.record_stop(simulation, &key.task);
            }
            Stage::RunningInGang if saves => {
                simulation.stop_gang(&key.task, key.attempt);
                *stage = Stage::SavingInGang(saved_at);
            }
            Stage::SavingInGang(_) if saves => return,
            Stage::WaitingForGang(_) | Stage::RunningInGang | Stage::SavingInGang(_) => {
                *stage = Stage::Exited(ExitCause::Stopped);
                simulation.leave_gang(&key.task, key.attempt);
                self.record_stop(simulation, &key.task);
            }
            Stage::Fetching(_) => *stage = Stage::Exited(ExitCause::Stopped),
            Stage::Exited(_) => return,
        }
        state.has_unreported_change = true;
    }
}

/// Removes an exited attempt from the table.
fn clear(state: &mut MachineState, key: &TaskAttempt) {
    if matches!(state.tasks.get(key), Some(Stage::Exited(_))) {
        state.tasks.remove(key);
        state.has_unreported_change = true;
    }
}
