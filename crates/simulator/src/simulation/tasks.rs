//! Jobs and tasks as users and agents know them: submissions, gangs and completions.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use stallcove::storage::{JobId, JobSpec, TaskId, jitter};

use super::Simulation;
use crate::{gangs::GangStep, rules::Event, users};

/// Machines that hang at the moment of a cancellation, at most.
const MAX_HUNG_AT_CANCELLATION: usize = 8;
/// A cancellation at a job's end comes up to this many milliseconds after its last task has
/// completed: about the time at which its outcome is written.
const MAX_CANCEL_AFTER_END_MS: u64 = 800;

impl Simulation {
    /// The submission of a job.
    pub fn spec(&self, job: &JobId) -> Option<JobSpec> {
        self.specs.lock().expect("specs").get(job).cloned()
    }

    /// A user is about to submit a job. `fails`: its tasks fail wherever they run.
    pub fn upload(&self, job: &JobId, spec: JobSpec, fails: bool) {
        self.specs
            .lock()
            .expect("specs")
            .insert(job.clone(), spec.clone());
        self.record(Event::Submitted(job.clone(), Box::new(spec)));
        if fails {
            self.failing.lock().expect("failing").insert(job.clone());
            self.record(Event::FailsWhenRun(job.clone()));
        }
    }

    /// Whether the tasks of the job fail wherever they run.
    pub fn fails(&self, job: &JobId) -> bool {
        self.failing.lock().expect("failing").contains(job)
    }

    /// See [`crate::gangs::Gangs::join`].
    pub fn join_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs");
        if !gangs.join(&task.job, attempt, task.index) {
            self.record(Event::AttemptReused(task.clone(), attempt));
        }
    }

    /// See [`crate::gangs::Gangs::leave`].
    pub fn leave_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs");
        gangs.leave(&task.job, attempt, task.index);
    }

    /// See [`crate::gangs::Gangs::stop`].
    pub fn stop_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs");
        gangs.stop(&task.job, attempt);
    }

    /// See [`crate::gangs::Gangs::wait`].
    pub fn wait_in_gang(&self, task: &TaskId, attempt: u64, spec: &JobSpec) -> GangStep {
        let mut gangs = self.gangs.lock().expect("gangs");
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
        let mut gangs = self.gangs.lock().expect("gangs");
        gangs.run(&task.job, attempt, task.index, spec, has_saved)
    }

    /// Whether the task has completed, in whichever attempt.
    pub fn is_completed(&self, task: &TaskId) -> bool {
        self.completed.lock().expect("completed").contains(task)
    }

    /// A task has completed. Its user may cancel the job as the last one does.
    pub fn complete(self: &Arc<Self>, task: &TaskId) {
        let is_new = self
            .completed
            .lock()
            .expect("completed")
            .insert(task.clone());
        self.record(Event::TaskCompleted(task.clone()));
        let share = *self.cancel_at_end.lock().expect("share");
        let is_over = self.rules.lock().expect("rules").is_complete(&task.job);
        if is_new && is_over && share > 0.0 && jitter::uniform(0.0, 1.0) < share {
            let pause = jitter::millis(0, MAX_CANCEL_AFTER_END_MS);
            let (simulation, job) = (self.clone(), task.job.clone());
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                users::cancel(simulation, job).await;
            });
        }
    }

    /// Users cancel this many of the jobs that run, at the same moment; the
    /// machines of these may hang then.
    pub fn cancel_running(self: &Arc<Self>, count: usize, hang: Duration) {
        let running = self.rules.lock().expect("rules").running_jobs();
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

    /// From now on that share of jobs is cancelled as their last task completes.
    pub fn set_cancel_at_end(&self, share: f64) {
        *self.cancel_at_end.lock().expect("share") = share;
    }
}
