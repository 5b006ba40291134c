//! Failures of tasks on one machine: whether they quarantine it, and which jobs they exclude.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::storage::JobId;

/// A machine is quarantined once tasks of this many different jobs have failed on it.
const QUARANTINE_AFTER_JOBS: usize = 2;
/// Maximum number of failures remembered for one machine.
const MAX_FAILURES: usize = 16;
/// Maximum number of jobs excluded from one machine at a time.
const MAX_EXCLUDED_JOBS: usize = 256;
/// How long a failure counts against a machine or a job.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(180);

/// The failure of a task on the machine.
#[derive(Clone, Debug)]
struct TaskFailure {
    job: JobId,
    at: Instant,
}

/// Recent failures of tasks on one machine, and the jobs excluded from it.
#[derive(Debug, Default)]
pub struct MachineFailures {
    /// The failures, the oldest first.
    failures: VecDeque<TaskFailure>,
    /// Jobs whose tasks are not to be placed on this machine, and until when.
    excluded_jobs: BTreeMap<JobId, Instant>,
}

impl MachineFailures {
    /// Notes that a task of the job has failed on this machine.
    pub fn note(&mut self, job: &JobId, now: Instant) {
        let job = job.clone();
        self.failures.push_back(TaskFailure { job, at: now });
        if self.failures.len() > MAX_FAILURES {
            self.failures.pop_front();
        }
    }

    /// Whether tasks of so many jobs have failed on this machine that it is probably faulty.
    /// Crash-looping jobs do not count, since they fail on every machine.
    pub fn requires_quarantine(
        &self,
        now: Instant,
        is_crash_looping: impl Fn(&JobId) -> bool,
    ) -> bool {
        let mut jobs: Vec<&JobId> = self
            .failures
            .iter()
            .filter(|failure| now.duration_since(failure.at) < FAILURE_WINDOW)
            .map(|failure| &failure.job)
            .filter(|job| !is_crash_looping(job))
            .collect();
        jobs.sort();
        jobs.dedup();
        jobs.len() >= QUARANTINE_AFTER_JOBS
    }

    /// Excludes the job from this machine until a given time.
    pub fn exclude_job(&mut self, job: &JobId, until: Instant, now: Instant) {
        if self.excluded_jobs.len() >= MAX_EXCLUDED_JOBS {
            self.excluded_jobs.retain(|_, until| *until > now);
        }
        if self.excluded_jobs.len() < MAX_EXCLUDED_JOBS {
            self.excluded_jobs.insert(job.clone(), until);
        }
    }

    /// Whether the job is excluded from this machine now.
    pub fn excludes_job(&self, job: &JobId, now: Instant) -> bool {
        self.excluded_jobs
            .get(job)
            .is_some_and(|until| *until > now)
    }
}
