//! Jobs whose tasks fail: how long they pause, and whether they or their machines are to
//! blame.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::agent_state::FAILURE_WINDOW,
    storage::{JobId, MachineId, StateCache},
};

/// Failing jobs remembered; beyond this the one whose pause ends first is forgotten, and
/// is tried again sooner.
const MAX_JOBS: usize = 1_024;
/// Machines of one failing job remembered: more than it takes to blame it.
const MAX_MACHINES: usize = 16;
/// A job of which nothing has ever been done is to blame once it has failed on so many
/// machines.
const CRASH_LOOP_AFTER_MACHINES: usize = 2;
/// The longest pause between two attempts. Well below 90 s, so that a job that can run
/// again does not wait that long beside free room.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// A job that is to blame is tried with one task for this long after its pause.
const PROBATION_PERIOD: Duration = Duration::from_secs(15);

/// Pause before a job that failed is tried again: 1 s, 2 s, 4 s … 60 s.
fn failure_pause(rounds: u32) -> Duration {
    Duration::from_secs(1 << rounds.saturating_sub(1).min(6)).min(MAX_PAUSE)
}

/// A job whose tasks have failed here lately.
#[derive(Debug)]
struct FailingJob {
    /// Machines on which they have failed.
    machines: BTreeSet<MachineId>,
    /// Failures seen here.
    failures: u64,
    /// Attempts that failed; tasks that were tried together count once.
    rounds: u32,
    /// The end of its pause.
    paused_until: Instant,
    /// Its user submitted it with a mistake, as far as can be told: machines are not
    /// judged by it. Remembered when the job is over, as long as its failures count.
    is_crash_looping: bool,
}

/// The jobs that have failed lately on the machines of one owner.
#[derive(Debug, Default)]
pub(super) struct FailingJobs(BTreeMap<JobId, FailingJob>);

impl FailingJobs {
    /// A task of the job has failed on this machine.
    pub(super) fn failed(&mut self, job: &JobId, machine: &MachineId, now: Instant) {
        self.make_room(now);
        let failing = self.0.entry(job.clone()).or_insert(FailingJob {
            machines: BTreeSet::new(),
            failures: 0,
            rounds: 0,
            paused_until: now,
            is_crash_looping: false,
        });
        if failing.machines.len() < MAX_MACHINES {
            failing.machines.insert(machine.clone());
        }
        failing.failures += 1;
        if failing.paused_until <= now {
            failing.rounds += 1;
            failing.paused_until = now + failure_pause(failing.rounds);
        }
    }

    /// A task of the job has completed: it need not pause any more.
    pub(super) fn succeeded(&mut self, job: &JobId) {
        self.0.remove(job);
    }

    /// Finds the jobs that are to blame themselves. Other owners' failures show in the
    /// job's records: more attempts have ended there than failed here.
    pub(super) fn judge(&mut self, cache: &StateCache) {
        for (id, failing) in self
            .0
            .iter_mut()
            .filter(|(_, failing)| !failing.is_crash_looping)
        {
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            let records = job.chunks.values().map(|entry| &entry.value);
            let ended: u64 = records
                .flat_map(|record| record.last_attempts.values())
                .map(|attempt| attempt.0)
                .sum();
            let has_failed_elsewhere =
                failing.machines.len() >= CRASH_LOOP_AFTER_MACHINES || ended > failing.failures;
            failing.is_crash_looping = job.done == 0 && has_failed_elsewhere;
        }
    }

    /// Whether the job itself is to blame for its failures.
    pub(super) fn is_crash_looping(&self, job: &JobId) -> bool {
        self.0
            .get(job)
            .is_some_and(|failing| failing.is_crash_looping)
    }

    /// Whether only one task of the job may be there at a time: the others would most
    /// probably fail with it.
    pub(super) fn is_on_probation(&self, job: &JobId, now: Instant) -> bool {
        let failing = self.0.get(job);
        failing.is_some_and(|failing| {
            failing.is_crash_looping && now < failing.paused_until + PROBATION_PERIOD
        })
    }

    /// The jobs that fail on several machines, with what is left of their pauses; none is
    /// left while a job is on probation.
    pub(super) fn paused(&self, now: Instant) -> Vec<(JobId, Duration)> {
        let several = self.0.iter().filter(|(job, failing)| {
            let is_paused =
                failing.machines.len() >= CRASH_LOOP_AFTER_MACHINES && failing.paused_until > now;
            is_paused || self.is_on_probation(job, now)
        });
        several
            .map(|(job, failing)| {
                (
                    job.clone(),
                    failing.paused_until.saturating_duration_since(now),
                )
            })
            .collect()
    }

    /// Forgets jobs, so that another one can be remembered.
    fn make_room(&mut self, now: Instant) {
        if self.0.len() < MAX_JOBS {
            return;
        }
        self.0
            .retain(|_, failing| now < failing.paused_until + FAILURE_WINDOW);
        if self.0.len() >= MAX_JOBS {
            let first = self
                .0
                .iter()
                .min_by_key(|(_, failing)| failing.paused_until);
            if let Some(job) = first.map(|(job, _)| job.clone()) {
                self.0.remove(&job);
            }
        }
    }
}

#[cfg(test)]
mod tests;
