//! Which owner gets which waiting tasks.
//!
//! The leader makes a trial placement over all shards, by the same rule that the owners use,
//! and offers each task to the owner of the machine that it found. A pass reads the cache and
//! what the owners said last; it changes only what routing remembers between passes
//! ([`state`]) and returns its effects ([`RoutingResult`]), which the leader carries out.
//!
//! A pass goes through the queue ([`queue_order`]) job by job: quota of the team, zone,
//! machine; what finds no room is explained ([`unplaced`]), so that quota moves, other tasks
//! are preempted or machines are provisioned.

mod candidates;
mod gangs;
mod offers;
mod preemption;
mod queue_order;
mod quota_use;
mod reclaim;
mod records;
mod requirements;
mod result;
mod state;
mod unplaced;
mod zone_bound;

pub use candidates::{FreeCapacity, UsableMachine, candidate_machines};
pub use reclaim::Reclaiming;
pub use requirements::PlacementRequirements;
pub use result::{QuotaDemand, RoutingCounts, RoutingResult, Unplaced, ZoneAssignment};
pub use state::{
    ExpiredOffersByJob, OutstandingOffers, PartialGangs, PendingPreemptions, RecordAffinity,
};

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use queue_order::QueuedJob;
use quota_use::{QuotaUse, tasks_left};
use state::{PREEMPTION_TIMEOUT, RECORD_AFFINITY_TIMEOUT};
use tokio::time::Instant;

use crate::storage::{ClassName, JobId, JobKind, JobSpec, Quota, StateCache, Team};

/// Tasks offered in one pass, about what owners write down until the next.
const TASKS_PER_PASS: usize = 600;
/// Tasks of one job looked at in one pass.
const TASKS_PER_JOB: usize = 4_000;
/// Jobs for which all free room is looked through in one pass.
const JOBS_PER_PASS: usize = 96;
/// A record is forgotten once its affinity has been over for this many timeouts.
const RECORD_AFFINITY_KEPT: u32 = 3;

/// One pass over the queue: what it reads, and what it remembers for the next.
pub struct RoutingPass<'a> {
    /// The live set as the leader knows it.
    pub cache: &'a StateCache,
    /// All teams with their guarantees and limits.
    pub teams: &'a [Team],
    /// The machines that tasks can be routed to; the pass fills them up.
    pub free_capacity: FreeCapacity,
    /// Tasks offered in earlier passes.
    pub offered: &'a mut OutstandingOffers,
    /// Preemptions asked for in earlier passes.
    pub pending_preemptions: &'a mut PendingPreemptions,
    /// Idle work that is being stopped.
    pub reclaiming: &'a mut Reclaiming,
    /// Records that wait for their writer.
    pub record_affinity: &'a mut RecordAffinity,
    /// Gangs that are placed in part.
    pub gangs: &'a mut PartialGangs,
    /// Owners that let offers expire.
    pub expired_offers: &'a mut ExpiredOffersByJob,
    /// Jobs that fail wherever they are tried, and until when they pause.
    pub failing: &'a BTreeMap<JobId, Instant>,
    /// Changes in a transaction, which decide what zone-bound placements depend on.
    pub changes_per_transaction: usize,
    /// A task without a deadline that waits longer is overdue.
    pub start_target: Duration,
    /// An offer that was not taken up for this long has expired.
    pub offer_ttl: Duration,
    /// The steady clock.
    pub now: Instant,
    /// The time of day, by which jobs age.
    pub wall: SystemTime,
    /// Measured run time against the owner's estimate, by class of jobs.
    pub factor: &'a dyn Fn(&ClassName) -> f64,
    /// Requirements that have found no room in this pass.
    pub full: BTreeSet<PlacementRequirements>,
}

impl RoutingPass<'_> {
    /// Routes what it can of the queue.
    pub fn run(mut self) -> RoutingResult {
        let mut result = RoutingResult::default();
        let mut used = QuotaUse::of(self.cache, &self.free_capacity.controllers);
        self.expire_offers(&mut used);
        self.forget_past_passes();
        let cache = self.cache;
        let mut routed_jobs = 0;
        for queued in self.queued_jobs(cache, &used) {
            let requirements = PlacementRequirements::of(queued.spec);
            let may_preempt = self.may_preempt(queued.spec, &result);
            if self.full.contains(&requirements) && !may_preempt {
                // Others just like it have found nothing. They all count, since
                // machines are provisioned by what waits.
                self.count_unplaced(&queued, &mut used, &mut result);
            } else if result.offered < TASKS_PER_PASS && routed_jobs < JOBS_PER_PASS {
                routed_jobs += 1;
                self.route_job(&queued, &mut used, &mut result);
            } else {
                result.counts.left += queued.job.waiting() as usize;
            }
        }
        let unplaced = result.unplaced.iter().map(|unplaced| unplaced.tasks);
        let outstanding: usize = self.offered.values().map(BTreeMap::len).sum();
        result.counts.unplaced = unplaced.map(|tasks| tasks as usize).sum();
        result.counts.offered = result.offered;
        result.counts.under_way = outstanding - result.offered;
        result
    }

    /// Forgets what earlier passes remembered and what no longer holds.
    fn forget_past_passes(&mut self) {
        let now = self.now;
        let jobs = &self.cache.jobs;
        self.pending_preemptions
            .retain(|_, since| now.duration_since(*since) < PREEMPTION_TIMEOUT);
        self.gangs.retain(|id, _| jobs.contains_key(id));
        self.reclaiming.begin_pass(now);
        let affinity_ttl = RECORD_AFFINITY_TIMEOUT * RECORD_AFFINITY_KEPT;
        self.record_affinity
            .retain(|_, since| now.duration_since(*since) < affinity_ttl);
    }

    /// As [`Self::route_job`] for a job that has no room anywhere.
    fn count_unplaced(
        &mut self,
        queued: &QueuedJob<'_>,
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, job, .. } = queued;
        let under_way = self.offered.get(*id).map_or(0, BTreeMap::len);
        let waiting = (job.waiting() as usize).saturating_sub(under_way);
        let within_limit = self.tasks_within_limit(spec, used);
        let tried = if self.is_on_probation(id) { 1 } else { waiting };
        let tasks = waiting.min(within_limit).min(tried);
        let reclaimed = self.reclaim_room(queued, tasks, result);
        self.note_unplaced(queued, (tasks - reclaimed) as u32, used, result);
    }

    /// How many more tasks of the job its team's limit allows.
    fn tasks_within_limit(&self, spec: &JobSpec, used: &QuotaUse) -> usize {
        let quota = Quota::from(&spec.per_task);
        tasks_left(&self.limit(spec), &used.all(&spec.team), &quota)
    }

    /// How many more tasks the owner's budget for the job's team allows.
    fn budget_left(&self, owner: usize, spec: &JobSpec, used: &QuotaUse) -> usize {
        let budget = self
            .cache
            .allocations
            .get(&self.free_capacity.controllers[owner])
            .and_then(|entry| entry.value.budgets.get(&spec.team))
            .copied()
            .unwrap_or_default();
        let used = used.by(owner, &spec.team);
        tasks_left(&budget, &used, &Quota::from(&spec.per_task))
    }

    /// Routes what it can of one job.
    fn route_job(
        &mut self,
        queued: &QueuedJob<'_>,
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, .. } = queued;
        let is_gang = spec.kind == JobKind::Gang;
        if is_gang && (self.offered.contains_key(*id) || !self.may_join(queued, result)) {
            return;
        }
        let mut tasks = self.tasks_to_route(queued);
        if tasks.is_empty() || !self.keep_within_limit(queued, &mut tasks, used, result) {
            return;
        }
        if self.awaits_zone_assignment(queued, tasks.len(), result) {
            self.note_unplaced(queued, tasks.len() as u32, used, result);
        } else if is_gang {
            self.route_gang(queued, &tasks, used, result);
        } else {
            self.route_tasks(queued, tasks, used, result);
        }
    }

    /// The job's waiting tasks that are not under way yet, as many as are tried now.
    fn tasks_to_route(&self, queued: &QueuedJob<'_>) -> Vec<u32> {
        let QueuedJob { id, spec, job, .. } = queued;
        let is_gang = spec.kind == JobKind::Gang;
        let max_tasks = if is_gang {
            spec.tasks as usize
        } else {
            TASKS_PER_JOB
        };
        let under_way = self.offered.get(*id);
        let waiting = job.waiting_tasks(max_tasks).into_iter();
        let mut tasks: Vec<u32> = waiting
            .filter(|task| under_way.is_none_or(|tasks| !tasks.contains_key(task)))
            .collect();
        if self.is_on_probation(id) && !is_gang {
            tasks.truncate(1);
        }
        tasks
    }

    /// Leaves out the tasks beyond the team's limit: more machines would not help them.
    /// False: nothing of the job is routed, since a gang is placed whole.
    fn keep_within_limit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &mut Vec<u32>,
        used: &QuotaUse,
        result: &mut RoutingResult,
    ) -> bool {
        let spec = queued.spec;
        let within_limit = self.tasks_within_limit(spec, used);
        if within_limit >= tasks.len() {
            return true;
        }
        if spec.kind == JobKind::Gang {
            result.counts.limited += tasks.len();
            return false;
        }
        result.counts.limited += tasks.len() - within_limit;
        self.preempt_for_quota(queued, tasks[within_limit], result);
        tasks.truncate(within_limit);
        true
    }

    /// Offers the tasks of an array or a service that have room, and explains the others.
    fn route_tasks(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: Vec<u32>,
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        let placed = if queued.spec.is_zone_bound() {
            self.place_zone_bound(queued, &tasks, used)
        } else {
            self.place_by_record(queued, &tasks, used)
        };
        let found: BTreeSet<u32> = placed.iter().map(|trial| trial.task).collect();
        for trial in placed {
            self.offer(queued.id, trial.task, trial.candidate, result);
        }
        let left_over: Vec<u32> = tasks
            .into_iter()
            .filter(|task| !found.contains(task))
            .collect();
        if !left_over.is_empty() {
            self.explain_unplaced(queued, &left_over, used, result);
        }
    }
}

/// A task with the machine that the trial placement found for it.
#[derive(Clone, Copy, Debug)]
struct TrialPlacement {
    task: u32,
    /// Index of the candidate machine.
    candidate: usize,
}

#[cfg(test)]
mod tests;
