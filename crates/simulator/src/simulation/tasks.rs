//! Jobs and tasks as seen by users and agents: submissions, gangs and completions.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use stallcove::storage::{JobId, JobSpec, TaskId, jitter};

use super::Simulation;
use crate::{gangs::GangStep, rules::Event, users};

/// Maximum number of machines that hang when running jobs are cancelled.
const MAX_HUNG_AT_CANCELLATION: usize = 8;
/// Maximum delay of a cancellation at a job's end, after its last task has completed. The
/// cancellation thus arrives at about the time at which the outcome is written.
const MAX_CANCEL_AFTER_END_MS: u64 = 800;

impl Simulation {
    /// Returns the submitted spec of a job.
    pub fn spec(&self, job: &JobId) -> Option<JobSpec> {
        self.specs.lock().expect("specs lock").get(job).cloned()
    }

    /// Registers a job that a user is about to submit. `fails` means that its tasks fail on any
    /// machine.
    pub fn register_job(&self, job: &JobId, spec: JobSpec, fails: bool) {
        self.specs
            .lock()
            .expect("specs lock")
            .insert(job.clone(), spec.clone());
        self.record(Event::Submitted(job.clone(), Box::new(spec)));
        if fails {
            self.failing_jobs
                .lock()
                .expect("failing jobs lock")
                .insert(job.clone());
            self.record(Event::FailsWhenRun(job.clone()));
        }
    }

    /// Whether the tasks of the job fail on any machine.
    pub fn job_fails(&self, job: &JobId) -> bool {
        self.failing_jobs
            .lock()
            .expect("failing jobs lock")
            .contains(job)
    }

    /// See [`crate::gangs::Gangs::join`].
    pub fn join_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs lock");
        if !gangs.join(&task.job, attempt, task.index) {
            self.record(Event::AttemptReused(task.clone(), attempt));
        }
    }

    /// See [`crate::gangs::Gangs::leave`].
    pub fn leave_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs lock");
        gangs.leave(&task.job, attempt, task.index);
    }

    /// See [`crate::gangs::Gangs::stop`].
    pub fn stop_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs lock");
        gangs.stop(&task.job, attempt);
    }

    /// See [`crate::gangs::Gangs::wait`].
    pub fn wait_in_gang(&self, task: &TaskId, attempt: u64, spec: &JobSpec) -> GangStep {
        let mut gangs = self.gangs.lock().expect("gangs lock");
        gangs.wait(&task.job, attempt, task.index, spec)
    }

    /// See [`crate::gangs::Gangs::run`].
    pub fn run_in_gang(
        &self,
        task: &TaskId,
        attempt: u64,
        spec: &JobSpec,
        has_saved: bool,
    ) -> GangStep {
        let mut gangs = self.gangs.lock().expect("gangs lock");
        gangs.run(&task.job, attempt, task.index, spec, has_saved)
    }

    /// Whether the task has completed in any attempt.
    pub fn is_completed(&self, task: &TaskId) -> bool {
        self.completed_tasks
            .lock()
            .expect("completed tasks lock")
            .contains(task)
    }

    /// Records that a task has completed. If it is the job's last one, the user may cancel the job,
    /// as set by [`Self::set_cancel_at_end`].
    pub fn complete_task(self: &Arc<Self>, task: &TaskId) {
        let is_new = self
            .completed_tasks
            .lock()
            .expect("completed tasks lock")
            .insert(task.clone());
        self.record(Event::TaskCompleted(task.clone()));
        let share = *self
            .cancel_at_end_share
            .lock()
            .expect("cancellation share lock");
        let is_over = self
            .rules
            .lock()
            .expect("rules lock")
            .is_complete(&task.job);
        if is_new && is_over && share > 0.0 && jitter::uniform(0.0, 1.0) < share {
            let pause = jitter::millis(0, MAX_CANCEL_AFTER_END_MS);
            let (simulation, job) = (self.clone(), task.job.clone());
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                users::cancel(simulation, job).await;
            });
        }
    }

    /// Cancels up to `count` running jobs at the same time. If `hang` is not zero, some of their
    /// machines hang for that long.
    pub fn cancel_running(self: &Arc<Self>, count: usize, hang: Duration) {
        let running = self.rules.lock().expect("rules lock").running_jobs();
        let mut hung = BTreeSet::new();
        for (job, machines) in running.into_iter().take(count) {
            hung.extend(machines);
            tokio::spawn(users::cancel(self.clone(), job));
        }
        if !hang.is_zero() {
            for machine in hung.into_iter().take(MAX_HUNG_AT_CANCELLATION) {
                if let Some(machine) = self.machine(machine.as_str()) {
                    machine.hang(hang);
                }
            }
        }
    }

    /// Sets the share of the jobs whose users cancel them when the last task completes.
    pub fn set_cancel_at_end(&self, share: f64) {
        *self
            .cancel_at_end_share
            .lock()
            .expect("cancellation share lock") = share;
    }
}
