//! Tracks jobs whose tasks fail: how long they back off, and whether the job or its machines
//! cause the failures.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::agent_state::FAILURE_WINDOW,
    storage::{JobId, MachineId, StateCache},
};

/// Maximum number of failing jobs tracked. Beyond it the job whose backoff ends first is
/// forgotten, so that it is retried sooner.
const MAX_TRACKED_JOBS: usize = 1_024;
/// Maximum number of machines tracked for one failing job; more than
/// [`CRASH_LOOP_AFTER_MACHINES`].
const MAX_TRACKED_MACHINES: usize = 16;
/// Number of machines with failures from which a job counts as crash-looping, if none of its
/// tasks has ever completed.
const CRASH_LOOP_AFTER_MACHINES: usize = 2;
/// Maximum backoff between two attempts. It is well below 90 s, so that a job that can run
/// again does not wait that long although there are free resources for it.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// How long after its backoff a crash-looping job may have only one task placed.
const PROBATION_PERIOD: Duration = Duration::from_secs(15);

/// Backoff before a job is tried again after failed attempts: 1 s, 2 s, 4 s … 60 s.
fn failure_backoff(failed_attempts: u32) -> Duration {
    Duration::from_secs(1 << failed_attempts.saturating_sub(1).min(6)).min(MAX_BACKOFF)
}

/// A job with recent task failures on this owner's machines.
#[derive(Debug)]
struct FailingJob {
    /// Machines on which its tasks have failed.
    machines: BTreeSet<MachineId>,
    /// Number of task failures on this owner's machines.
    failures: u64,
    /// Number of failed attempts; failures of tasks that were tried together count once.
    failed_attempts: u32,
    /// The end of its backoff.
    backoff_until: Instant,
    /// Whether the job itself probably causes its failures, for example by a mistake in its
    /// specification, so that they do not count against the machines. This is remembered after
    /// the job is over, for as long as its failures count.
    is_crash_looping: bool,
}

/// The jobs with recent task failures on the machines of one owner.
#[derive(Debug, Default)]
pub(super) struct FailingJobs(BTreeMap<JobId, FailingJob>);

impl FailingJobs {
    /// Records that a task of the job has failed on this machine.
    pub(super) fn record_failure(&mut self, job: &JobId, machine: &MachineId, now: Instant) {
        self.evict_if_full(now);
        let failing = self.0.entry(job.clone()).or_insert(FailingJob {
            machines: BTreeSet::new(),
            failures: 0,
            failed_attempts: 0,
            backoff_until: now,
            is_crash_looping: false,
        });
        if failing.machines.len() < MAX_TRACKED_MACHINES {
            failing.machines.insert(machine.clone());
        }
        failing.failures += 1;
        if failing.backoff_until <= now {
            failing.failed_attempts += 1;
            failing.backoff_until = now + failure_backoff(failing.failed_attempts);
        }
    }

    /// Records that a task of the job has completed, which ends the job's backoff.
    pub(super) fn record_success(&mut self, job: &JobId) {
        self.0.remove(job);
    }

    /// Determines which jobs are crash-looping. Failures on other owners' machines are counted
    /// by the job's run records: there are some if, according to the records, more attempts have
    /// ended than tasks have failed on this owner's machines.
    pub(super) fn detect_crash_loops(&mut self, cache: &StateCache) {
        for (id, failing) in self
            .0
            .iter_mut()
            .filter(|(_, failing)| !failing.is_crash_looping)
        {
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            let records = job.run_records.values().map(|entry| &entry.value);
            let ended: u64 = records
                .flat_map(|record| record.last_attempts.values())
                .map(|attempt| attempt.0)
                .sum();
            let has_failed_elsewhere =
                failing.machines.len() >= CRASH_LOOP_AFTER_MACHINES || ended > failing.failures;
            failing.is_crash_looping = job.completed_tasks == 0 && has_failed_elsewhere;
        }
    }

    /// Whether the job itself probably causes its failures.
    pub(super) fn is_crash_looping(&self, job: &JobId) -> bool {
        self.0
            .get(job)
            .is_some_and(|failing| failing.is_crash_looping)
    }

    /// Whether only one task of the job may be placed at a time, since the others would most
    /// probably fail as well.
    pub(super) fn is_on_probation(&self, job: &JobId, now: Instant) -> bool {
        let failing = self.0.get(job);
        failing.is_some_and(|failing| {
            failing.is_crash_looping && now < failing.backoff_until + PROBATION_PERIOD
        })
    }

    /// Returns the jobs that fail on several machines, with the rest of their backoff. It is
    /// zero for a job on probation whose backoff is over.
    pub(super) fn backing_off(&self, now: Instant) -> Vec<(JobId, Duration)> {
        let affected = self.0.iter().filter(|(job, failing)| {
            let is_backing_off =
                failing.machines.len() >= CRASH_LOOP_AFTER_MACHINES && failing.backoff_until > now;
            is_backing_off || self.is_on_probation(job, now)
        });
        affected
            .map(|(job, failing)| {
                (
                    job.clone(),
                    failing.backoff_until.saturating_duration_since(now),
                )
            })
            .collect()
    }

    /// Forgets jobs if the maximum is reached, so that another one can be tracked.
    fn evict_if_full(&mut self, now: Instant) {
        if self.0.len() < MAX_TRACKED_JOBS {
            return;
        }
        self.0
            .retain(|_, failing| now < failing.backoff_until + FAILURE_WINDOW);
        if self.0.len() >= MAX_TRACKED_JOBS {
            let first = self
                .0
                .iter()
                .min_by_key(|(_, failing)| failing.backoff_until);
            if let Some(job) = first.map(|(job, _)| job.clone()) {
                self.0.remove(&job);
            }
        }
    }
}

#[cfg(test)]
mod tests;
