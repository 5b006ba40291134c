//! Tests of `coordination::owner::failing_jobs`.

use super::*;
use crate::storage::{AgentEpoch, Attempt, Revision, keys, records::RunRecord};

fn names() -> (JobId, MachineId, MachineId) {
    (
        JobId::new("job-1"),
        MachineId::new("vm-1"),
        MachineId::new("vm-2"),
    )
}

/// A cache with a job of which this many tasks have ended without a result, at their
/// first attempt, and this many are done.
fn cache_with(job: &JobId, failed: u32, done: u32) -> StateCache {
    let mut record = RunRecord::default();
    for task in 0..failed {
        record.place(task, MachineId::new("vm-1"), AgentEpoch(1), Attempt(1));
        record.unplace(task);
    }
    for task in failed..failed + done {
        record.complete(task);
    }
    let mut cache = StateCache::default();
    let value = serde_json::to_value(&record).expect("a record");
    cache.set(&keys::run(job, 0), value, Revision(1));
    cache
}

/// Guards against machines returned by the hundred because two jobs that were submitted
/// with a mistake had failed on each of them.
#[tokio::test(start_paused = true)]
async fn a_job_that_fails_everywhere_is_crash_looping() {
    let (job, one, two) = names();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    failing.failed(&job, &one, now);
    failing.judge(&cache_with(&job, 1, 0));
    assert!(!failing.is_crash_looping(&job), "one machine may be faulty");
    failing.failed(&job, &two, now);
    failing.judge(&cache_with(&job, 2, 0));
    assert!(failing.is_crash_looping(&job));
}

#[tokio::test(start_paused = true)]
async fn failures_at_other_owners_count() {
    let (job, one, _) = names();
    let mut failing = FailingJobs::default();
    failing.failed(&job, &one, Instant::now());
    failing.judge(&cache_with(&job, 3, 0));
    assert!(failing.is_crash_looping(&job));
}

#[tokio::test(start_paused = true)]
async fn a_job_that_runs_elsewhere_is_not() {
    let (job, one, two) = names();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    failing.failed(&job, &one, now);
    failing.failed(&job, &two, now);
    failing.judge(&cache_with(&job, 2, 1));
    assert!(!failing.is_crash_looping(&job));
}

/// Tasks that were tried together are one attempt; after the pause one is tried alone.
#[tokio::test(start_paused = true)]
async fn a_round_of_failures_is_one_attempt() {
    let (job, one, two) = names();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    for machine in [&one, &two, &one, &two] {
        failing.failed(&job, machine, now);
    }
    assert_eq!(
        failing.paused(now),
        vec![(job.clone(), Duration::from_secs(1))]
    );
    failing.judge(&cache_with(&job, 4, 0));
    let later = now + Duration::from_secs(2);
    assert!(failing.is_on_probation(&job, later));
    assert_eq!(failing.paused(later), vec![(job.clone(), Duration::ZERO)]);
    assert!(!failing.is_on_probation(&job, later + PROBATION_PERIOD));
}

/// A job that failed for a while and runs again does not go on pausing.
#[tokio::test(start_paused = true)]
async fn a_success_ends_the_pause() {
    let (job, one, two) = names();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    let mut now = now;
    for machine in [&one, &two, &one, &two, &one, &two, &one] {
        failing.failed(&job, machine, now);
        now += MAX_PAUSE;
    }
    now -= MAX_PAUSE;
    assert_eq!(failing.paused(now), vec![(job.clone(), MAX_PAUSE)]);
    failing.succeeded(&job);
    assert!(failing.paused(now).is_empty());
    assert!(!failing.is_crash_looping(&job));
}

#[tokio::test(start_paused = true)]
async fn jobs_remembered_are_bounded() {
    let (_, one, _) = names();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    for number in 0..MAX_JOBS * 2 {
        let job = JobId::new(format!("job-{number}"));
        failing.failed(&job, &one, now);
    }
    assert!(failing.0.len() <= MAX_JOBS);
}

#[test]
fn failures_wait_longer_each_time() {
    assert_eq!(failure_pause(1), Duration::from_secs(1));
    assert_eq!(failure_pause(4), Duration::from_secs(8));
    assert_eq!(failure_pause(40), Duration::from_secs(60));
}
