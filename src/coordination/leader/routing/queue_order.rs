//! The queue of jobs with waiting tasks and its order.

use std::{cmp::Reverse, time::Duration};

use super::{RoutingPass, quota_use::QuotaUsage};
use crate::storage::{JobId, JobSpec, Priority, Quota, StateCache, state_cache::Job};

/// A job with waiting tasks.
pub(super) struct QueuedJob<'a> {
    pub(super) id: &'a JobId,
    pub(super) spec: &'a JobSpec,
    pub(super) job: &'a Job,
    pub(super) rank: QueueRank,
}

/// Position of a job in the queue; lower ranks are served first. The fields are compared in
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// Priority of the job, raised by its age.
    pub(super) priority: Reverse<Priority>,
    /// Whether one more task of the job would exceed the guarantee of its team. False once the
    /// job has aged for one interval, see [`AGING_INTERVAL`].
    pub(super) borrows: bool,
    /// Time of day at which the job was accepted plus its deadline, if any, in milliseconds.
    pub(super) due_ms: u64,
}

/// Interval of priority aging. A job of which no task has started for one interval no longer
/// counts as borrowing quota, which puts it before the borrowing jobs of its priority; each
/// further interval raises its priority by one level. A job that has started but still has
/// waiting tasks ages half as fast. With the order by arrival and deadline alone, bursts of
/// small or important jobs would starve it (exception to section 4.4.1, see docs/DESIGN.md).
const AGING_INTERVAL: Duration = Duration::from_secs(75);

/// Returns the priority of a job of this age, and whether it still counts as borrowing.
pub(super) fn aged_priority(
    priority: Priority,
    borrows: bool,
    started: bool,
    age: Duration,
) -> (Priority, bool) {
    let interval = if started {
        AGING_INTERVAL * 2
    } else {
        AGING_INTERVAL
    };
    let steps = age.as_secs() / interval.as_secs();
    let mut raised = priority;
    for _ in 1..steps {
        raised = match raised {
            Priority::BestEffort => Priority::Normal,
            Priority::Normal | Priority::Urgent => Priority::Urgent,
            Priority::Production => Priority::Production,
        };
    }
    (raised, borrows && steps == 0)
}

impl RoutingPass<'_> {
    /// Returns the jobs with waiting tasks that may be tried now, in queue order.
    pub(super) fn queued_jobs<'b>(
        &self,
        cache: &'b StateCache,
        used: &QuotaUsage,
    ) -> Vec<QueuedJob<'b>> {
        let waiting = cache.waiting.iter();
        let mut queued_jobs: Vec<QueuedJob<'b>> = waiting
            .filter(|id| self.failing.get(*id).is_none_or(|until| *until <= self.now))
            .filter_map(|id| self.queued_job(cache, id, used))
            .collect();
        queued_jobs.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.id.cmp(b.id)));
        queued_jobs
    }

    fn queued_job<'b>(
        &self,
        cache: &'b StateCache,
        id: &'b JobId,
        used: &QuotaUsage,
    ) -> Option<QueuedJob<'b>> {
        let job = cache.jobs.get(id)?;
        let spec = job.spec()?;
        if self.is_on_probation(id)
            && (job.present_tasks() > 0 || self.outstanding_offers.contains_key(id))
        {
            return None;
        }
        let started = job.placed_tasks + job.completed_tasks > 0;
        let borrows = self.borrows(spec, used);
        let (priority, borrows) =
            aged_priority(spec.priority, borrows, started, spec.age(self.wall_time));
        let deadline_ms = spec.deadline.map_or(0, |d| d.as_millis() as u64);
        let rank = QueueRank {
            priority: Reverse(priority),
            borrows,
            due_ms: spec.accepted_ms + deadline_ms,
        };
        Some(QueuedJob {
            id,
            spec,
            job,
            rank,
        })
    }

    /// Whether one more task of the job would exceed its team's guarantee.
    fn borrows(&self, spec: &JobSpec, used: &QuotaUsage) -> bool {
        let team = self.teams.iter().find(|team| team.name == spec.team);
        team.is_some_and(|team| {
            let after = used.total(&spec.team).plus(&Quota::from(&spec.per_task));
            !team.guaranteed.covers(&after)
        })
    }

    /// Whether the job is crash-looping, so that only one of its tasks is tried at a time.
    /// Offers of all its tasks, which no owner accepts, would reserve resources that other jobs
    /// need.
    pub(super) fn is_on_probation(&self, id: &JobId) -> bool {
        self.failing.contains_key(id)
    }

    /// Returns the limit of the job's team.
    pub(super) fn limit(&self, spec: &JobSpec) -> Quota {
        let team = self.teams.iter().find(|team| team.name == spec.team);
        team.map(|team| team.limit).unwrap_or_default()
    }
}
