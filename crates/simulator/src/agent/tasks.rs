//! Progress of tasks on a machine, from the download of their image to their exit.

use std::{sync::Arc, time::Duration};

use stallcove::storage::{JobKind, JobSpec, MachineId};
use tokio::time::Instant;

use super::{
    Machine, MachineState,
    stage::{ExitCause, Stage, TaskAttempt},
};
use crate::{
    gangs::{GANG_START_TIMEOUT, GangStep},
    rules::Event,
    simulation::Simulation,
};

/// Run time of a service's replica: longer than any scenario, since it runs until stopped.
const SERVICE_RUN_TIME: Duration = Duration::from_secs(1_000_000);
/// Run time of a task that fails.
const FAILURE_RUN_TIME: Duration = Duration::from_secs(1);

impl Machine {
    /// Advances every task to its next stage if that is due. Terminates the machine instead if
    /// its announced reclaim is due.
    pub(super) fn advance_tasks(&self, simulation: &Arc<Simulation>) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.reclaimed_at.is_some_and(|at| at <= now) {
            drop(state);
            self.terminate(simulation);
            return;
        }
        if now > state.lease_renewed_at + simulation.agent_lease {
            self.expire_lease(simulation, &mut state, now);
        }
        let keys: Vec<TaskAttempt> = state.tasks.keys().cloned().collect();
        for key in keys {
            let Some(spec) = simulation.spec(&key.task.job) else {
                continue;
            };
            if let Some(next) = self.next_stage(simulation, &mut state, &key, &spec, now) {
                state.tasks.insert(key, next);
                state.has_unreported_change = true;
            }
        }
    }

    /// Handles the expiry of the lease: kills all tasks, clears the table and starts a new epoch.
    fn expire_lease(&self, simulation: &Simulation, state: &mut MachineState, now: Instant) {
        let tasks = std::mem::take(&mut state.tasks);
        self.end_tasks(simulation, tasks);
        state.epoch += 1;
        state.lease_renewed_at = now;
        state.has_unreported_change = true;
    }

    /// Returns the stage that an attempt enters now, or `None` if it remains in its current one.
    fn next_stage(
        &self,
        simulation: &Arc<Simulation>,
        state: &mut MachineState,
        key: &TaskAttempt,
        spec: &JobSpec,
        now: Instant,
    ) -> Option<Stage> {
        match state.tasks[key] {
            Stage::Fetching(until) if until <= now => {
                state.images.insert(spec.image.to_string());
                Some(self.begin_to_run(simulation, key, spec, now))
            }
            Stage::Running(until) if until <= now => {
                self.record_stop(simulation, &key.task);
                Some(Stage::Exited(self.finish_run(simulation, key)))
            }
            Stage::WaitingForGang(since) => {
                self.wait_for_gang(simulation, key, spec, now.duration_since(since))
            }
            Stage::RunningInGang => self.run_in_gang(simulation, key, spec, false),
            Stage::SavingInGang(until) => self.run_in_gang(simulation, key, spec, until <= now),
            Stage::Saving(until) if until <= now => {
                self.record_stop(simulation, &key.task);
                Some(Stage::Exited(ExitCause::Stopped))
            }
            _ => None,
        }
    }

    /// Starts the task's process once its image is downloaded; returns its new stage.
    fn begin_to_run(
        &self,
        simulation: &Simulation,
        key: &TaskAttempt,
        spec: &JobSpec,
        now: Instant,
    ) -> Stage {
        simulation.record(Event::TaskStarted(
            key.task.clone(),
            MachineId::new(self.id.as_str()),
            self.kind.clone(),
        ));
        let is_completed = simulation.is_completed(&key.task);
        let job_fails = simulation.job_fails(&key.task.job);
        if spec.kind == JobKind::Gang && !is_completed && !job_fails {
            simulation.join_gang(&key.task, key.attempt);
            return Stage::WaitingForGang(now);
        }
        let run_time = if is_completed {
            Duration::ZERO
        } else if self.is_faulty || job_fails {
            FAILURE_RUN_TIME
        } else {
            self.run_time(spec)
        };
        Stage::Running(now + run_time)
    }

    fn run_time(&self, spec: &JobSpec) -> Duration {
        match spec.kind {
            JobKind::Service => SERVICE_RUN_TIME,
            _ => spec.estimate.mul_f64(self.run_time_factor),
        }
    }

    /// Completes or fails a task, not part of a gang, at the end of its run time.
    fn finish_run(&self, simulation: &Arc<Simulation>, key: &TaskAttempt) -> ExitCause {
        let fails = self.is_faulty || simulation.job_fails(&key.task.job);
        if fails && !simulation.is_completed(&key.task) {
            return ExitCause::Error;
        }
        simulation.complete_task(&key.task);
        ExitCause::Done
    }

    fn wait_for_gang(
        &self,
        simulation: &Simulation,
        key: &TaskAttempt,
        spec: &JobSpec,
        waited: Duration,
    ) -> Option<Stage> {
        if simulation.wait_in_gang(&key.task, key.attempt, spec) == GangStep::Run {
            return Some(Stage::RunningInGang);
        }
        if waited <= GANG_START_TIMEOUT {
            return None;
        }
        simulation.leave_gang(&key.task, key.attempt);
        self.record_stop(simulation, &key.task);
        Some(Stage::Exited(ExitCause::GangIncomplete))
    }

    /// Returns the next stage of a task of a running gang. `has_saved` means that the task
    /// received a stop command and has saved its checkpoint.
    fn run_in_gang(
        &self,
        simulation: &Arc<Simulation>,
        key: &TaskAttempt,
        spec: &JobSpec,
        has_saved: bool,
    ) -> Option<Stage> {
        let cause = match simulation.run_in_gang(&key.task, key.attempt, spec, has_saved) {
            GangStep::Done => ExitCause::Done,
            GangStep::Saved => ExitCause::Stopped,
            GangStep::MemberLost => ExitCause::MemberLost,
            GangStep::Stay | GangStep::Run => return None,
        };
        self.record_stop(simulation, &key.task);
        if cause == ExitCause::Done {
            simulation.complete_task(&key.task);
        }
        Some(Stage::Exited(cause))
    }
}
