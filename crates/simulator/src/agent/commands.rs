//! Commands: an agent starts, stops and clears tasks for the owner of its machine.

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

/// How fast a machine fetches images.
const FETCH_GB_PER_S: f64 = 0.5;
/// Capacity and demand within this much of each other are equal.
const CAPACITY_TOLERANCE: f64 = 1e-6;

impl Machine {
    /// Answers a controller's request to the agent: status and body.
    pub async fn handle(
        &self,
        simulation: &Arc<Simulation>,
        path: &str,
        body: &[u8],
    ) -> (u16, Value) {
        self.until_responsive().await;
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

    /// Waits as long as nothing reaches the agent: for ever once the machine is terminated.
    async fn until_responsive(&self) {
        while self.is_terminated() || self.is_hung() || self.is_inbound_lost() {
            tokio::time::sleep(AGENT_INTERVAL).await;
        }
    }

    /// Carries out commands that came with a fencing token which is not an older one.
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
            state.has_news = true;
        }
        for command in commands {
            let key = TaskAttempt {
                task: TaskId::parse(&command.task).expect("a controller names tasks by their ids"),
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

    /// Starts an attempt, or refuses it by an exit. An attempt that is known is left alone.
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
        state.has_news = true;
    }

    /// How long a new task fetches its image, or why it cannot be started here.
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

    /// Stops an attempt: one that runs and has time enough saves a checkpoint first.
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
        state.has_news = true;
    }
}

/// Forgets an attempt that is over.
fn clear(state: &mut MachineState, key: &TaskAttempt) {
    if matches!(state.tasks.get(key), Some(Stage::Exited(_))) {
        state.tasks.remove(key);
        state.has_news = true;
    }
}
