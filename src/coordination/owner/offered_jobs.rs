//! The jobs of which the leader has offered tasks, and the offered tasks that are not placed.

use super::{
    super::policy::zone_constraint::ZoneScope, OwnerState, planned_changes::PlannedChanges,
};
use crate::storage::{JobId, JobSpec, StateCache, keys, state_cache::Job};

/// A job of which the leader has offered tasks.
pub(super) struct OfferedJob<'a> {
    pub(super) id: &'a JobId,
    pub(super) spec: &'a JobSpec,
    pub(super) job: &'a Job,
}

impl OfferedJob<'_> {
    /// Returns the offered tasks that are neither placed nor done, except those whose state the
    /// present round already changes.
    pub(super) fn unplaced(&self, state: &OwnerState, changes: &PlannedChanges) -> Vec<u32> {
        let OfferedJob { id, spec, job } = *self;
        let is_changed = |task: u32| {
            let change = changes
                .0
                .get(&(id.clone(), task / keys::TASKS_PER_RUN_RECORD));
            change.is_some_and(|change| {
                let record = &change.record;
                record.is_done(task) || record.placed.get(&task) != job.recorded_placement(task)
            })
        };
        let offer = state.offers.get(id);
        let tasks = offer.into_iter().flat_map(|offer| &offer.tasks).copied();
        tasks
            .filter(|task| {
                *task < spec.tasks
                    && job.placement(*task).is_none()
                    && !job.is_task_done(*task)
                    && !is_changed(*task)
            })
            .collect()
    }
}

/// Returns the jobs with pending offers that are not over, ordered by priority and then by
/// deadline; without a deadline the time of submission counts.
pub(super) fn offered_jobs<'a>(state: &OwnerState, cache: &'a StateCache) -> Vec<OfferedJob<'a>> {
    let mut jobs: Vec<OfferedJob<'a>> = state
        .offers
        .keys()
        .filter_map(|id| {
            let (id, job) = cache.jobs.get_key_value(id)?;
            let spec = job.spec()?;
            job.cleanup_since
                .is_none()
                .then_some(OfferedJob { id, spec, job })
        })
        .collect();
    jobs.sort_by_key(|offered_job| {
        let spec = offered_job.spec;
        (
            std::cmp::Reverse(spec.priority),
            spec.accepted_ms
                + spec
                    .deadline
                    .map_or(0, |deadline| deadline.as_millis() as u64),
            offered_job.id.clone(),
        )
    });
    jobs
}

/// Whether a placement of the job is conditional on all of its run records.
pub(super) fn depends_on_all_records(spec: &JobSpec, changes_per_transaction: usize) -> bool {
    spec.is_zone_bound() && ZoneScope::of(spec, changes_per_transaction) == ZoneScope::WholeJob
}
