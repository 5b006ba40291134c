//! Routes waiting tasks to shard owners.
//!
//! The leader makes a trial placement over all shards, by the same rule as the owners, and
//! offers each task to the owner of the machine that the trial placement chose. A pass reads
//! the state cache and the last statuses of the owners. It changes only the state that routing
//! keeps between passes ([`state`]) and returns its decisions ([`RoutingResult`]), which the
//! leader carries out.
//!
//! A pass processes the queue ([`queue_order`]) job by job and checks the team's quota, the
//! zones and the machines. Tasks without a placement are classified by what they lack
//! ([`unplaced`]): quota is then moved, other tasks are preempted or machines are provisioned.

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
mod turns;
mod unplaced;
mod zone_bound;

pub use candidates::{FreeCapacity, UsableMachine, candidate_machines};
pub use reclaim::Reclaiming;
pub use requirements::PlacementRequirements;
pub use result::{QuotaDemand, RoutingCounts, RoutingResult, UnplacedTasks, ZoneAssignment};
pub use state::{
    ExpiredOffersByJob, OutstandingOffers, PartialGangs, PendingPreemptions, RecordAffinity,
};
pub use turns::Turns;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use preemption::MAX_PREEMPTING_REPLICAS_PER_PASS;
use queue_order::QueuedJob;
use quota_use::{QuotaUsage, tasks_left};
use state::{PREEMPTION_TIMEOUT, RECORD_AFFINITY_TIMEOUT};
use tokio::time::Instant;

use crate::storage::{ClassName, JobId, JobKind, JobSpec, Quota, StateCache, TaskId, Team};

/// Maximum number of tasks offered in one pass, about as many as the owners commit before the
/// next one.
const MAX_OFFERED_TASKS_PER_PASS: usize = 600;
/// Maximum number of tasks of one job considered in one pass.
const MAX_TASKS_PER_JOB_PER_PASS: usize = 4_000;
/// Maximum number of jobs for which one pass searches all free capacity.
const MAX_ROUTED_JOBS_PER_PASS: usize = 96;
/// The affinity of a run record is kept for this many timeouts in total, so that a record whose
/// affinity has expired does not start to wait again at once.
const RECORD_AFFINITY_RETENTION_TIMEOUTS: u32 = 3;

/// One pass over the queue: its inputs and the state kept between passes.
pub struct RoutingPass<'a> {
    /// The leader's state cache.
    pub cache: &'a StateCache,
    /// All teams with their guarantees and limits.
    pub teams: &'a [Team],
    /// The machines that tasks can be routed to; the pass deducts what it places.
    pub free_capacity: FreeCapacity,
    /// Outstanding offers of earlier passes.
    pub outstanding_offers: &'a mut OutstandingOffers,
    /// Preemptions requested in earlier passes.
    pub pending_preemptions: &'a mut PendingPreemptions,
    /// Tasks of the lowest priority that are being preempted, see [`reclaim`].
    pub reclaiming: &'a mut Reclaiming,
    /// Run records whose tasks wait for capacity at the owner that writes them.
    pub record_affinity: &'a mut RecordAffinity,
    /// Partially placed gangs.
    pub gangs: &'a mut PartialGangs,
    /// Owners that let offers expire, by job.
    pub expired_offers: &'a mut ExpiredOffersByJob,
    /// The jobs' turns to be routed.
    pub job_turns: &'a mut Turns<JobId>,
    /// The turns of the replicas for which tasks may be preempted.
    pub preemption_turns: &'a mut Turns<TaskId>,
    /// Crash-looping jobs, each with the end of its backoff.
    pub failing: &'a BTreeMap<JobId, Instant>,
    /// Maximum number of changes per transaction, which determines the scope of zone constraints
    /// (`ZoneScope`).
    pub changes_per_transaction: usize,
    /// Waiting time after which a task without a deadline is overdue.
    pub start_target: Duration,
    /// Time after which an offer expires that has not led to a placement.
    pub offer_ttl: Duration,
    /// Monotonic time of the pass.
    pub now: Instant,
    /// Time of day, from which the age of jobs is calculated.
    pub wall_time: SystemTime,
    /// Ratio of measured run time to the submitter's estimate, by job class.
    pub run_time_factor: &'a dyn Fn(&ClassName) -> f64,
    /// Requirements for which this pass has found no machine with enough free resources.
    pub unplaceable: BTreeSet<PlacementRequirements>,
}

impl RoutingPass<'_> {
    /// Routes the queued tasks and returns the decisions.
    pub fn run(mut self) -> RoutingResult {
        let mut result = RoutingResult::default();
        let mut used = QuotaUsage::of(self.cache, &self.free_capacity.controllers);
        self.expire_offers(&mut used);
        self.prune_state();
        let cache = self.cache;
        self.job_turns.begin_pass(MAX_ROUTED_JOBS_PER_PASS);
        self.preemption_turns
            .begin_pass(MAX_PREEMPTING_REPLICAS_PER_PASS);
        for queued in self.queued_jobs(cache, &used) {
            // Nothing is searched for these jobs, so that they do not count as routed: any number of
            // them may be ahead of other teams' jobs for a long time.
            if self.is_offered(&queued) {
                continue;
            }
            if self.is_at_limit(&queued, &used) {
                self.count_limited(&queued, &mut result);
                continue;
            }
            let requirements = PlacementRequirements::of(queued.spec);
            let may_preempt = self.may_preempt(queued.spec);
            if self.unplaceable.contains(&requirements) && !may_preempt {
                // Tasks with the same requirements have found no free capacity in this pass.
                // They are still counted, since machines are provisioned for the waiting tasks.
                self.leave_out_preemption(&queued);
                self.count_job_unplaced(&queued, &mut used, &mut result);
            } else if result.offered < MAX_OFFERED_TASKS_PER_PASS
                && self.job_turns.may_try(queued.id)
            {
                let offered = result.offered;
                self.route_job(&queued, &mut used, &mut result);
                if result.offered == offered {
                    self.job_turns.note_in_vain(queued.id.clone());
                }
            } else {
                result.counts.left += queued.job.waiting() as usize;
            }
        }
        let unplaced = result.unplaced.iter().map(|unplaced| unplaced.tasks);
        let outstanding: usize = self.outstanding_offers.values().map(BTreeMap::len).sum();
        result.counts.unplaced = unplaced.map(|tasks| tasks as usize).sum();
        result.counts.offered = result.offered;
        result.counts.under_way = outstanding - result.offered;
        result
    }

    /// Removes expired and obsolete entries from the state that is kept between passes.
    fn prune_state(&mut self) {
        let now = self.now;
        let jobs = &self.cache.jobs;
        self.pending_preemptions
            .retain(|_, since| now.duration_since(*since) < PREEMPTION_TIMEOUT);
        self.gangs.retain(|id, _| jobs.contains_key(id));
        self.reclaiming.begin_pass(now);
        let affinity_ttl = RECORD_AFFINITY_TIMEOUT * RECORD_AFFINITY_RETENTION_TIMEOUTS;
        self.record_affinity
            .retain(|_, since| now.duration_since(*since) < affinity_ttl);
    }

    /// Handles a job like [`Self::route_job`], but without a search, since its requirements are
    /// known to find no free capacity. Its tasks may still reclaim capacity.
    fn count_job_unplaced(
        &mut self,
        queued: &QueuedJob<'_>,
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, job, .. } = queued;
        let outstanding = self.outstanding_offers.get(*id).map_or(0, BTreeMap::len);
        let waiting = (job.waiting() as usize).saturating_sub(outstanding);
        let within_limit = self.tasks_within_limit(spec, used);
        let tried = if self.is_on_probation(id) { 1 } else { waiting };
        let tasks = waiting.min(within_limit).min(tried);
        let reclaimed = self.reclaim_capacity(queued, tasks, result);
        self.add_unplaced(queued, (tasks - reclaimed) as u32, used, result);
    }

    /// Whether all waiting tasks of the job have outstanding offers.
    fn is_offered(&self, queued: &QueuedJob<'_>) -> bool {
        let outstanding = self.outstanding_offers.get(queued.id);
        queued.job.waiting() as usize <= outstanding.map_or(0, BTreeMap::len)
    }

    /// Whether not one more task of the job fits within its team's limit. Gangs are routed even
    /// then, since a part of them that cannot be completed has to be stopped.
    fn is_at_limit(&self, queued: &QueuedJob<'_>, used: &QuotaUsage) -> bool {
        queued.spec.kind != JobKind::Gang && self.tasks_within_limit(queued.spec, used) == 0
    }

    /// Counts the tasks of a job whose team is at its limit, for which more machines would not
    /// help. Tasks of its team may be preempted for them.
    fn count_limited(&mut self, queued: &QueuedJob<'_>, result: &mut RoutingResult) {
        let outstanding = self.outstanding_offers.get(queued.id);
        let offered = outstanding.map_or(0, BTreeMap::len);
        result.counts.limited += queued.job.waiting() as usize - offered;
        if let Some(task) = self.first_task_to_route(queued) {
            self.preempt_for_quota(queued, task, result);
        }
    }

    /// Returns the first of the job's waiting tasks without an outstanding offer.
    fn first_task_to_route(&self, queued: &QueuedJob<'_>) -> Option<u32> {
        let outstanding = self.outstanding_offers.get(queued.id);
        let offered = outstanding.map_or(0, BTreeMap::len);
        let mut waiting = queued.job.waiting_tasks(offered + 1).into_iter();
        waiting.find(|task| outstanding.is_none_or(|tasks| !tasks.contains_key(task)))
    }

    /// Returns how many more tasks of the job fit within its team's limit.
    fn tasks_within_limit(&self, spec: &JobSpec, used: &QuotaUsage) -> usize {
        let quota = Quota::from(&spec.per_task);
        tasks_left(&self.limit(spec), &used.total(&spec.team), &quota)
    }

    /// Returns how many more tasks of the job fit within the owner's budget for its team.
    fn budget_left(&self, owner: usize, spec: &JobSpec, used: &QuotaUsage) -> usize {
        let budget = self
            .cache
            .allocations
            .get(&self.free_capacity.controllers[owner])
            .and_then(|entry| entry.value.budgets.get(&spec.team))
            .copied()
            .unwrap_or_default();
        let used = used.by_owner(owner, &spec.team);
        tasks_left(&budget, &used, &Quota::from(&spec.per_task))
    }

    /// Offers the tasks of one job that can be placed and classifies the others.
    fn route_job(
        &mut self,
        queued: &QueuedJob<'_>,
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, .. } = queued;
        let is_gang = spec.kind == JobKind::Gang;
        if is_gang
            && (self.outstanding_offers.contains_key(*id) || !self.may_route_gang(queued, result))
        {
            return;
        }
        let mut tasks = self.tasks_to_route(queued);
        if tasks.is_empty() || !self.truncate_to_limit(queued, &mut tasks, used, result) {
            return;
        }
        if self.awaits_zone_assignment(queued, tasks.len(), result) {
            self.add_unplaced(queued, tasks.len() as u32, used, result);
        } else if is_gang {
            self.route_gang(queued, &tasks, used, result);
        } else {
            self.route_tasks(queued, tasks, used, result);
        }
    }

    /// Returns the job's waiting tasks without an outstanding offer, up to the number to be
    /// tried in this pass.
    fn tasks_to_route(&self, queued: &QueuedJob<'_>) -> Vec<u32> {
        let QueuedJob { id, spec, job, .. } = queued;
        let is_gang = spec.kind == JobKind::Gang;
        let max_tasks = if is_gang {
            spec.tasks as usize
        } else {
            MAX_TASKS_PER_JOB_PER_PASS
        };
        let outstanding = self.outstanding_offers.get(*id);
        let waiting = job.waiting_tasks(max_tasks).into_iter();
        let mut tasks: Vec<u32> = waiting
            .filter(|task| outstanding.is_none_or(|tasks| !tasks.contains_key(task)))
            .collect();
        if self.is_on_probation(id) && !is_gang {
            tasks.truncate(1);
        }
        tasks
    }

    /// Removes the tasks beyond the team's limit, for which more machines would not help.
    /// Returns false if nothing of the job is to be routed: a gang that exceeds the limit,
    /// since gangs are placed as a whole.
    fn truncate_to_limit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &mut Vec<u32>,
        used: &QuotaUsage,
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

    /// Offers the tasks of an array or service that can be placed and classifies the others.
    fn route_tasks(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: Vec<u32>,
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        let placed = if queued.spec.is_zone_bound() {
            self.place_zone_bound(queued, &tasks, used)
        } else {
            self.place_by_record(queued, &tasks, used)
        };
        let placed_tasks: BTreeSet<u32> = placed.iter().map(|trial| trial.task).collect();
        for trial in placed {
            self.offer(queued.id, trial.task, trial.candidate, result);
        }
        let unplaced_tasks: Vec<u32> = tasks
            .into_iter()
            .filter(|task| !placed_tasks.contains(task))
            .collect();
        if !unplaced_tasks.is_empty() {
            self.classify_unplaced(queued, &unplaced_tasks, used, result);
        }
    }
}

/// A task and the machine that the trial placement chose for it.
#[derive(Clone, Copy, Debug)]
struct TrialPlacement {
    task: u32,
    /// Index of the candidate machine.
    candidate: usize,
}

#[cfg(test)]
mod tests;
