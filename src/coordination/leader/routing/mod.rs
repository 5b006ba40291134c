//! Which owner gets which waiting tasks: a trial placement over all shards,
//! by the same rule that the owners use.

mod candidates;
mod gangs;
mod preemption;
mod queue_order;
mod quota_use;
mod reclaim;
mod records;
mod unplaced;
mod zone_bound;
pub use candidates::{FreeCapacity, UsableMachine, candidate_machines};
pub use reclaim::Reclaiming;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::Offer,
        leader::routing::{
            queue_order::{QueueRank, raised_by_age},
            quota_use::{QuotaUse, left},
        },
    },
    storage::{
        ClassName, ControllerName, JobId, JobKind, JobSpec, MachineId, Priority, Quota, StateCache,
        TaskId, Team, TeamName, TypeName, ZoneName, state_cache::Job,
    },
};

/// Tasks that found no room.
#[derive(Clone, Debug)]
pub struct Unplaced {
    pub job: JobId,
    pub tasks: u32,
    /// They wait longer than the start target, or will miss their deadline.
    pub overdue: bool,
}

/// What became of the waiting tasks in one pass, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoutingCounts {
    pub offered: usize,
    /// Under way to owners since an earlier pass.
    pub under_way: usize,
    /// Beyond their team's limit.
    pub limited: usize,
    /// With room somewhere, which a next pass gives them.
    pub covered: usize,
    pub unplaced: usize,
    /// Left for a next pass.
    pub left: usize,
}

/// Tasks of a team for which owners have room, some of them without the quota for it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaDemand {
    pub team: TeamName,
    pub tasks: ::quota::TaskDemand<ControllerName>,
}

#[derive(Debug, Default)]
pub struct RoutingResult {
    pub counts: RoutingCounts,
    pub offers: BTreeMap<ControllerName, Vec<Offer>>,
    pub unplaced: Vec<Unplaced>,
    pub deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks with room that lack quota somewhere, the most pressing first.
    pub demand: Vec<QuotaDemand>,
    /// Quota that an owner is about to need, beside what it uses.
    pub reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Jobs whose zone is to be written, or to be taken back.
    pub zone_assignments: Vec<ZoneAssignment>,
    /// Tasks of lower standing to stop for those of higher standing.
    pub preempt: BTreeMap<ControllerName, Vec<TaskId>>,
    /// Replicas for which room was looked for.
    preempting_replicas: usize,
    /// Tasks of the lowest priority that are told to stop.
    reclaimed: usize,
    /// Tasks in the offers.
    offered: usize,
    /// CPUs that are free and waited for.
    claimed: f64,
}

/// The zone that a job of many records is confined to from now on; none: its zone has
/// no room, and another is to be chosen once none of its tasks can be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneAssignment {
    pub job: JobId,
    pub zone: Option<ZoneName>,
}

/// A task under way to an owner, with the machine that the trial found for it.
#[derive(Clone, Debug)]
pub struct OutstandingOffer {
    pub controller: ControllerName,
    machine: MachineId,
    at: Instant,
}

/// Tasks under way to owners.
pub type OutstandingOffers = BTreeMap<JobId, BTreeMap<u32, OutstandingOffer>>;

/// Waiting tasks for which others are being stopped, since when.
pub type PendingPreemptions = BTreeMap<TaskId, Instant>;

/// A stopped task's room shows within this time, or it is asked for again.
const PREEMPTION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Tasks offered in one pass, about what owners write down until the next.
const TASKS_PER_PASS: usize = 600;
/// Tasks of one job looked at in one pass.
const TASKS_PER_JOB: usize = 4_000;
/// Jobs for which all free room is looked through in one pass.
const JOBS_PER_PASS: usize = 96;
/// Replicas for which other tasks are stopped in one pass.
const PREEMPTING_REPLICAS_PER_PASS: usize = 12;

pub struct RoutingPass<'a> {
    pub cache: &'a StateCache,
    pub teams: &'a [Team],
    pub free_capacity: FreeCapacity,
    pub offered: &'a mut OutstandingOffers,
    pub pending_preemptions: &'a mut PendingPreemptions,
    pub reclaiming: &'a mut Reclaiming,
    pub record_affinity: &'a mut RecordAffinity,
    pub gangs: &'a mut PartialGangs,
    pub expired_offers: &'a mut ExpiredOffersByJob,
    /// Jobs that fail wherever they are tried, and until when they pause.
    pub failing: &'a BTreeMap<JobId, Instant>,
    /// Changes in a transaction, which decide what zone-bound placements depend on.
    pub changes_per_transaction: usize,
    pub start_target: Duration,
    pub offer_ttl: Duration,
    pub now: Instant,
    pub wall: SystemTime,
    pub factor: &'a dyn Fn(&ClassName) -> f64,
    /// What has found no room in this pass.
    pub full: BTreeSet<PlacementRequirements>,
}

/// Records whose tasks wait for room at the owner that writes them, since when.
pub type RecordAffinity = BTreeMap<(JobId, u32), Instant>;

/// Gangs of which a part is there and a part is not, since when, and when that part
/// was last told to leave.
pub type PartialGangs = BTreeMap<JobId, (Instant, Option<Instant>)>;

/// Offers of a job that one owner let expire one after the other. Its machines may refuse
/// the job after a failure, which the leader does not know.
#[derive(Clone, Debug)]
pub struct ExpiredOffers {
    controller: ControllerName,
    last: Instant,
    count: u32,
}

/// The owners that let offers expire.
pub type ExpiredOffersByJob = BTreeMap<JobId, ExpiredOffers>;

/// An owner that may not write yet lets offers expire as well, and is quicker than another
/// one that begins anew: only so many in a row say that it refuses the job.
const EXPIRED_OFFERS_LIMIT: u32 = 4;

/// A expired offer says nothing any more after this long.
const EXPIRED_OFFERS_TTL: Duration = Duration::from_secs(30);

/// After this long such a record gets a second writer, if another has room.
const RECORD_AFFINITY_TIMEOUT: Duration = Duration::from_secs(4);

/// What decides whether a task has room somewhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementRequirements {
    size: [u64; 3],
    spot: bool,
    service: bool,
    bound: bool,
    zone: Option<ZoneName>,
    types: Option<Vec<TypeName>>,
}

impl PlacementRequirements {
    fn of(spec: &JobSpec) -> Self {
        let size = &spec.per_task;
        Self {
            size: [size.cpus, size.gpus, size.memory].map(f64::to_bits),
            spot: spec.spot,
            // A draining machine takes an array's short tasks only.
            service: spec.kind == JobKind::Service,
            bound: spec.is_zone_bound() || spec.kind == JobKind::Gang,
            zone: spec.zone.clone(),
            types: spec.types.clone(),
        }
    }
}

struct QueuedJob<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    job: &'a Job,
    rank: QueueRank,
}

impl RoutingPass<'_> {
    pub fn run(mut self) -> RoutingResult {
        let mut result = RoutingResult::default();
        let mut used = QuotaUse {
            all: self.cache.quota_used(self.cache.on_machine.keys()),
            by_controller: self
                .free_capacity
                .controllers
                .iter()
                .map(|controller| self.cache.quota_used(self.cache.machines_of(controller)))
                .collect(),
        };
        self.expire_offers(&mut used);
        let now = self.now;
        self.pending_preemptions
            .retain(|_, since| now.duration_since(*since) < PREEMPTION_TIMEOUT);
        let jobs = &self.cache.jobs;
        self.gangs.retain(|id, _| jobs.contains_key(id));
        self.reclaiming.begin_pass(now);
        self.record_affinity
            .retain(|_, since| now.duration_since(*since) < RECORD_AFFINITY_TIMEOUT * 3);
        let cache = self.cache;
        let queued_jobs = self.queued_jobs(cache, &used);
        let mut jobs = 0;
        for queued in queued_jobs {
            let may_clear = queued.spec.kind == JobKind::Service
                && queued.spec.priority == Priority::Production
                && result.preempting_replicas < PREEMPTING_REPLICAS_PER_PASS;
            if self.full.contains(&PlacementRequirements::of(queued.spec)) && !may_clear {
                // Others just like it have found nothing. They all count, since
                // machines are provisioned by what waits.
                self.count_unplaced(&queued, &mut used, &mut result);
            } else if result.offered < TASKS_PER_PASS && jobs < JOBS_PER_PASS {
                jobs += 1;
                self.route_job(&queued, &mut used, &mut result);
            } else {
                result.counts.left += queued.job.waiting() as usize;
            }
        }
        result.counts.offered = result.offered;
        result.counts.unplaced = result.unplaced.iter().map(|u| u.tasks as usize).sum();
        result.counts.under_way =
            self.offered.values().map(BTreeMap::len).sum::<usize>() - result.offered;
        result
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
        let tasks = (job.waiting() as usize).saturating_sub(under_way);
        let quota = Quota::from(&spec.per_task);
        let within = left(&self.limit(spec), &used.all(&spec.team), &quota);
        let most = if self.is_on_probation(id) { 1 } else { tasks };
        let tasks = tasks.min(within).min(most);
        let reclaimed = self.reclaim_room(queued, tasks, result);
        self.note_unplaced(queued, (tasks - reclaimed) as u32, used, result);
    }

    fn limit(&self, spec: &JobSpec) -> Quota {
        self.teams
            .iter()
            .find(|team| team.name == spec.team)
            .map(|team| team.limit)
            .unwrap_or_default()
    }

    /// Offers that were taken up, or not in time, are forgotten; the room and
    /// quota of the others is set aside.
    fn expire_offers(&mut self, used: &mut QuotaUse) {
        let (cache, now, life) = (self.cache, self.now, self.offer_ttl);
        let expired_offers = &mut *self.expired_offers;
        expired_offers.retain(|_, known| now.duration_since(known.last) < EXPIRED_OFFERS_TTL);
        self.offered.retain(|id, tasks| {
            let Some(job) = cache.jobs.get(id) else {
                return false;
            };
            let mut owner_with_expired_offers = None;
            tasks.retain(|task, offered| {
                let waits = job.placement(*task).is_none() && !job.is_task_done(*task);
                let is_open = now.duration_since(offered.at) < life;
                if waits && !is_open {
                    owner_with_expired_offers = Some(offered.controller.clone());
                }
                waits && is_open
            });
            if let Some(controller) = owner_with_expired_offers {
                let known = expired_offers
                    .get(id)
                    .filter(|known| known.controller == controller);
                let count = known.map_or(1, |known| known.count + 1);
                let last = now;
                expired_offers.insert(
                    id.clone(),
                    ExpiredOffers {
                        controller,
                        last,
                        count,
                    },
                );
            }
            !tasks.is_empty()
        });
        if self.offered.is_empty() {
            return;
        }
        let at: BTreeMap<MachineId, usize> = self
            .free_capacity
            .candidates
            .iter()
            .enumerate()
            .map(|(at, candidate)| (candidate.machine.clone(), at))
            .collect();
        for (id, tasks) in self.offered.iter() {
            let Some(spec) = cache.jobs.get(id).and_then(Job::spec) else {
                continue;
            };
            let quota = Quota::from(&spec.per_task);
            for offered in tasks.values() {
                let owner = self
                    .free_capacity
                    .controllers
                    .iter()
                    .position(|n| *n == offered.controller);
                if let Some(owner) = owner {
                    used.add(owner, &spec.team, &quota);
                }
                // Which machine the owner takes is its own choice; it decides
                // by the same rule as the trial.
                if let Some(candidate) = at.get(&offered.machine) {
                    self.free_capacity.candidates[*candidate].put(spec);
                }
            }
        }
    }

    fn queued_jobs<'b>(&self, cache: &'b StateCache, used: &QuotaUse) -> Vec<QueuedJob<'b>> {
        let mut queued_jobs: Vec<QueuedJob<'b>> = cache
            .waiting
            .iter()
            .filter(|id| self.failing.get(*id).is_none_or(|until| *until <= self.now))
            .filter_map(|id| {
                let job = cache.jobs.get(id)?;
                let spec = job.spec()?;
                if self.is_on_probation(id) && (job.present() > 0 || self.offered.contains_key(id))
                {
                    return None;
                }
                let borrows = self
                    .teams
                    .iter()
                    .find(|team| team.name == spec.team)
                    .is_some_and(|team| {
                        let after = used.all(&spec.team).plus(&Quota::from(&spec.per_task));
                        !team.guaranteed.covers(&after)
                    });
                let begun = job.placed + job.done > 0;
                let (priority, borrows) =
                    raised_by_age(spec.priority, borrows, begun, spec.age(self.wall));
                let due = spec.accepted_ms + spec.deadline.map_or(0, |d| d.as_millis() as u64);
                Some(QueuedJob {
                    id,
                    spec,
                    job,
                    rank: (std::cmp::Reverse(priority), borrows, due),
                })
            })
            .collect();
        queued_jobs.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.id.cmp(b.id)));
        queued_jobs
    }

    /// Whether the job fails wherever it is tried, so that one task of it is tried at a
    /// time: offers of all of them, which no owner takes, would keep room from others.
    fn is_on_probation(&self, id: &JobId) -> bool {
        self.failing.contains_key(id)
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
        let used = used.of(owner, &spec.team);
        left(&budget, &used, &Quota::from(&spec.per_task))
    }

    /// Routes what it can of one job.
    fn route_job(
        &mut self,
        queued: &QueuedJob<'_>,
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, job, .. } = queued;
        let gang = spec.kind == JobKind::Gang;
        if gang && self.offered.contains_key(*id) {
            return;
        }
        if gang && !self.may_join(queued, result) {
            return;
        }
        let most = if gang {
            spec.tasks as usize
        } else {
            TASKS_PER_JOB
        };
        let under_way = self.offered.get(*id);
        let mut tasks: Vec<u32> = job
            .waiting_tasks(most)
            .into_iter()
            .filter(|task| under_way.is_none_or(|tasks| !tasks.contains_key(task)))
            .collect();
        if tasks.is_empty() {
            return;
        }
        if self.is_on_probation(id) && !gang {
            tasks.truncate(1);
        }
        let quota = Quota::from(&spec.per_task);
        let within = left(&self.limit(spec), &used.all(&spec.team), &quota);
        if within < tasks.len() {
            if gang {
                // More machines would not help it.
                result.counts.limited += tasks.len();
                return;
            }
            // More machines would not help those beyond the limit.
            result.counts.limited += tasks.len() - within;
            self.preempt_for_quota(queued, tasks[within], result);
            tasks.truncate(within);
        }
        if self.awaits_zone_assignment(queued, tasks.len(), result) {
            self.note_unplaced(queued, tasks.len() as u32, used, result);
            return;
        }
        if gang {
            self.route_gang(queued, &tasks, used, result);
            return;
        }
        let placed = if spec.is_zone_bound() {
            self.place_zone_bound(queued, &tasks, used)
        } else {
            self.place_by_record(queued, &tasks, used)
        };
        let found: BTreeSet<u32> = placed.iter().map(|(task, _)| *task).collect();
        for (task, at) in placed {
            self.offer(id, task, at, result);
        }
        let left_over: Vec<u32> = tasks
            .into_iter()
            .filter(|task| !found.contains(task))
            .collect();
        if !left_over.is_empty() {
            self.explain_unplaced(queued, &left_over, used, result);
        }
    }

    fn offer(&mut self, id: &JobId, task: u32, at: usize, result: &mut RoutingResult) {
        result.offered += 1;
        let candidate = &self.free_capacity.candidates[at];
        let controller = self.free_capacity.controllers[candidate.owner].clone();
        let offered = OutstandingOffer {
            controller: controller.clone(),
            machine: candidate.machine.clone(),
            at: self.now,
        };
        self.offered
            .entry(id.clone())
            .or_default()
            .insert(task, offered);
        let offers = result.offers.entry(controller).or_default();
        match offers.iter_mut().find(|offer| offer.job == *id) {
            Some(offer) => offer.tasks.push(task),
            None => offers.push(Offer {
                job: id.clone(),
                tasks: vec![task],
            }),
        }
    }
}

#[cfg(test)]
mod tests;
