//! The queue of jobs with waiting tasks, and the order in which it is served.

use std::{cmp::Reverse, time::Duration};

use super::{RoutingPass, quota_use::QuotaUse};
use crate::storage::{JobId, JobSpec, Priority, Quota, StateCache, state_cache::Job};

/// A job with waiting tasks.
pub(super) struct QueuedJob<'a> {
    pub(super) id: &'a JobId,
    pub(super) spec: &'a JobSpec,
    pub(super) job: &'a Job,
    pub(super) rank: QueueRank,
}

/// How soon a job is to be served, the soonest first. The fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// The job's priority, raised by its age.
    pub(super) priority: Reverse<Priority>,
    /// Its team uses more than its guarantee.
    pub(super) borrows: bool,
    /// Milliseconds of the time of day at which it was accepted, or is due.
    pub(super) due_ms: u64,
}

/// A job of which no task has begun for this long is served before others of
/// its priority, and with each further such time as if its priority were one
/// higher; one that has begun but still has tasks waiting rises half as fast.
/// Early-first alone lets bursts of small or important jobs keep it waiting for
/// good (exception to section 4.4.1, see docs/DESIGN.md).
const AGING_INTERVAL: Duration = Duration::from_secs(75);

/// The priority of a job that has waited, and whether it still counts as borrowing.
pub(super) fn raised_by_age(
    priority: Priority,
    borrows: bool,
    begun: bool,
    age: Duration,
) -> (Priority, bool) {
    let interval = if begun {
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
    /// The jobs with waiting tasks that may be tried now, in the order of the queue.
    pub(super) fn queued_jobs<'b>(
        &self,
        cache: &'b StateCache,
        used: &QuotaUse,
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
        used: &QuotaUse,
    ) -> Option<QueuedJob<'b>> {
        let job = cache.jobs.get(id)?;
        let spec = job.spec()?;
        if self.is_on_probation(id) && (job.present() > 0 || self.offered.contains_key(id)) {
            return None;
        }
        let begun = job.placed + job.done > 0;
        let borrows = self.borrows(spec, used);
        let (priority, borrows) = raised_by_age(spec.priority, borrows, begun, spec.age(self.wall));
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

    /// Whether one more task of the job would be beyond its team's guarantee.
    fn borrows(&self, spec: &JobSpec, used: &QuotaUse) -> bool {
        let team = self.teams.iter().find(|team| team.name == spec.team);
        team.is_some_and(|team| {
            let after = used.all(&spec.team).plus(&Quota::from(&spec.per_task));
            !team.guaranteed.covers(&after)
        })
    }

    /// Whether the job fails wherever it is tried, so that one task of it is tried at a
    /// time: offers of all of them, which no owner takes, would keep room from others.
    pub(super) fn is_on_probation(&self, id: &JobId) -> bool {
        self.failing.contains_key(id)
    }

    /// The limit of the job's team.
    pub(super) fn limit(&self, spec: &JobSpec) -> Quota {
        let team = self.teams.iter().find(|team| team.name == spec.team);
        team.map(|team| team.limit).unwrap_or_default()
    }
}
