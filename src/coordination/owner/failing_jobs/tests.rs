//! Tests of `coordination::owner::failing_jobs`.

use super::*;
use crate::storage::{AgentEpoch, Attempt, Revision, keys, records::RunRecord};

fn job_and_machine_ids() -> (JobId, MachineId, MachineId) {
    (
        JobId::new("job-1"),
        MachineId::new("vm-1"),
        MachineId::new("vm-2"),
    )
}

/// Returns a cache with a job of which `failed` tasks have ended without completing, at their
/// first attempt, and `done` tasks have completed.
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
    let value = serde_json::to_value(&record).expect("run record serializes");
    cache.set(&keys::run(job, 0), value, Revision(1));
    cache
}

/// Guards against hundreds of machines being released to the cloud because two jobs that were
/// submitted with a mistake had failed on each of them.
#[tokio::test(start_paused = true)]
async fn a_job_that_fails_everywhere_is_crash_looping() {
    let (job, one, two) = job_and_machine_ids();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    failing.record_failure(&job, &one, now);
    failing.detect_crash_loops(&cache_with(&job, 1, 0));
    assert!(!failing.is_crash_looping(&job), "one machine may be faulty");
    failing.record_failure(&job, &two, now);
    failing.detect_crash_loops(&cache_with(&job, 2, 0));
    assert!(failing.is_crash_looping(&job));
}

#[tokio::test(start_paused = true)]
async fn failures_on_other_owners_machines_count() {
    let (job, one, _) = job_and_machine_ids();
    let mut failing = FailingJobs::default();
    failing.record_failure(&job, &one, Instant::now());
    failing.detect_crash_loops(&cache_with(&job, 3, 0));
    assert!(failing.is_crash_looping(&job));
}

#[tokio::test(start_paused = true)]
async fn a_job_with_a_completed_task_is_not_crash_looping() {
    let (job, one, two) = job_and_machine_ids();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    failing.record_failure(&job, &one, now);
    failing.record_failure(&job, &two, now);
    failing.detect_crash_loops(&cache_with(&job, 2, 1));
    assert!(!failing.is_crash_looping(&job));
}

/// Tasks that were tried together count as one attempt; after the backoff a single task is
/// tried.
#[tokio::test(start_paused = true)]
async fn failures_of_tasks_tried_together_are_one_attempt() {
    let (job, one, two) = job_and_machine_ids();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    for machine in [&one, &two, &one, &two] {
        failing.record_failure(&job, machine, now);
    }
    assert_eq!(
        failing.backing_off(now),
        vec![(job.clone(), Duration::from_secs(1))]
    );
    failing.detect_crash_loops(&cache_with(&job, 4, 0));
    let later = now + Duration::from_secs(2);
    assert!(failing.is_on_probation(&job, later));
    assert_eq!(
        failing.backing_off(later),
        vec![(job.clone(), Duration::ZERO)]
    );
    assert!(!failing.is_on_probation(&job, later + PROBATION_PERIOD));
}

/// Guards against a job that still backs off after it can run again.
#[tokio::test(start_paused = true)]
async fn a_success_ends_the_backoff() {
    let (job, one, two) = job_and_machine_ids();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    let mut now = now;
    for machine in [&one, &two, &one, &two, &one, &two, &one] {
        failing.record_failure(&job, machine, now);
        now += MAX_BACKOFF;
    }
    now -= MAX_BACKOFF;
    assert_eq!(failing.backing_off(now), vec![(job.clone(), MAX_BACKOFF)]);
    failing.record_success(&job);
    assert!(failing.backing_off(now).is_empty());
    assert!(!failing.is_crash_looping(&job));
}

#[tokio::test(start_paused = true)]
async fn the_number_of_tracked_jobs_is_bounded() {
    let (_, one, _) = job_and_machine_ids();
    let now = Instant::now();
    let mut failing = FailingJobs::default();
    for number in 0..MAX_TRACKED_JOBS * 2 {
        let job = JobId::new(format!("job-{number}"));
        failing.record_failure(&job, &one, now);
    }
    assert!(failing.0.len() <= MAX_TRACKED_JOBS);
}

#[test]
fn the_backoff_grows_with_each_failed_attempt() {
    assert_eq!(failure_backoff(1), Duration::from_secs(1));
    assert_eq!(failure_backoff(4), Duration::from_secs(8));
    assert_eq!(failure_backoff(40), Duration::from_secs(60));
}
