//! Which holder gets which waiting tasks: a trial placement over all blocks,
//! by the same rule that the holders use.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use super::super::{
    policy::{
        giveback, placement,
        zones::{ZoneConstraint, ZoneScope},
    },
    ports::Offer,
    zones,
};
use crate::storage::{book::Job, keys, records::MachineUse, *};

/// Machines that tasks can be routed to; a slot's group tells its holder.
#[derive(Clone, Debug, Default)]
pub struct Open {
    pub nodes: Vec<NodeName>,
    pub slots: Vec<placement::Slot>,
}

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
pub struct Tally {
    pub offered: usize,
    /// Under way to holders since an earlier pass.
    pub under_way: usize,
    /// Beyond their team's limit.
    pub limited: usize,
    /// With room somewhere, which a next pass gives them.
    pub covered: usize,
    pub unplaced: usize,
    /// Left for a next pass.
    pub left: usize,
}

#[derive(Debug, Default)]
pub struct Routed {
    pub tally: Tally,
    pub offers: BTreeMap<NodeName, Vec<Offer>>,
    pub unplaced: Vec<Unplaced>,
    pub short: BTreeMap<(NodeName, TeamName), Quota>,
    /// Quota that a holder is about to need, beside what it uses.
    pub kept: BTreeMap<(NodeName, TeamName), Quota>,
    /// Jobs whose zone is to be written, or to be taken back.
    pub homes: Vec<HomeChange>,
    /// Tasks of lower standing to stop for those of higher standing.
    pub preempt: BTreeMap<NodeName, Vec<TaskId>>,
    /// Replicas for which room was looked for.
    cleared: usize,
    /// Tasks in the offers.
    offered: usize,
    /// CPUs that are free and waited for.
    claimed: f64,
}

/// The zone that a job of many records is confined to from now on; none: its zone has
/// no room, and another is to be chosen once none of its tasks can be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeChange {
    pub job: JobId,
    pub zone: Option<ZoneName>,
}

/// A task under way to a holder, with the machine that the trial found for it.
#[derive(Clone, Debug)]
pub struct OfferedTo {
    pub node: NodeName,
    machine: MachineId,
    at: Instant,
}

/// Tasks under way to holders.
pub type Offered = BTreeMap<JobId, BTreeMap<u32, OfferedTo>>;

/// Waiting tasks for which others are being stopped, since when.
pub type Clearing = BTreeMap<TaskId, Instant>;

/// A stopped task's room shows within this time, or it is asked for again.
const CLEARING: Duration = Duration::from_millis(2500);

/// Tasks offered in one pass, about what holders write down until the next.
const TASKS_PER_PASS: usize = 600;
/// Tasks of one job looked at in one pass.
const TASKS_PER_JOB: usize = 4_000;
/// Jobs for which all free room is looked through in one pass.
const JOBS_PER_PASS: usize = 96;
/// Replicas for which other tasks are stopped in one pass.
const CLEARED_PER_PASS: usize = 12;

pub struct Routing<'a> {
    pub book: &'a Book,
    pub teams: &'a [Team],
    pub open: Open,
    pub offered: &'a mut Offered,
    pub clearing: &'a mut Clearing,
    pub bound: &'a mut Bound,
    pub gangs: &'a mut Gangs,
    pub failing: &'a BTreeMap<JobId, Instant>,
    /// Changes in a transaction, which decide what zone-bound placements depend on.
    pub changes_per_transaction: usize,
    pub start_target: Duration,
    pub offer_life: Duration,
    pub now: Instant,
    pub wall: SystemTime,
    pub factor: &'a dyn Fn(&ClassName) -> f64,
    /// What has found no room in this pass.
    pub full: BTreeSet<Shape>,
}

/// Records whose tasks wait for room at the holder that writes them, since when.
pub type Bound = BTreeMap<(JobId, u32), Instant>;

/// Gangs of which a part is there and a part is not, since when, and when that part
/// was last told to leave.
pub type Gangs = BTreeMap<JobId, (Instant, Option<Instant>)>;

/// A part of a gang keeps its place for this long while the rest finds none: two
/// gangs that are each half placed would block one another for good.
const JOINED_WITHIN: Duration = Duration::from_secs(8);

/// After this long such a record gets a second writer, if another has room.
const SHARED_AFTER: Duration = Duration::from_secs(4);

/// What decides whether a task has room somewhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
    size: [u64; 3],
    spot: bool,
    service: bool,
    bound: bool,
    zone: Option<ZoneName>,
    types: Option<Vec<TypeName>>,
}

impl Shape {
    fn of(spec: &JobSpec) -> Self {
        let size = &spec.per_task;
        Self {
            size: [size.cpus, size.gpus, size.memory].map(f64::to_bits),
            spot: spec.spot,
            // A marked machine takes an array's short tasks only.
            service: spec.kind == JobKind::Service,
            bound: spec.is_zone_bound() || spec.kind == JobKind::Gang,
            zone: spec.zone.clone(),
            types: spec.types.clone(),
        }
    }
}

/// How soon a job is to be served, the soonest first.
type Rank = (std::cmp::Reverse<Priority>, bool, u64);

/// A job of which no task has begun for this long is served before others of
/// its priority, and with each further such time as if its priority were one
/// higher; one that has begun but still has tasks waiting rises half as fast.
/// Early-first alone lets bursts of small or important jobs keep it waiting for
/// good (exception to section 4.4.1, see docs/DESIGN.md).
const AGES_AFTER: Duration = Duration::from_secs(75);

/// The standing of a job that has waited, with its team's borrowing.
fn aged(priority: Priority, borrows: bool, begun: bool, age: Duration) -> (Priority, bool) {
    let span = if begun { AGES_AFTER * 2 } else { AGES_AFTER };
    let steps = age.as_secs() / span.as_secs();
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

/// What is used of each team's limit, by all and by each holder.
#[derive(Clone, Debug, Default)]
struct Used {
    all: BTreeMap<TeamName, Quota>,
    by_node: Vec<BTreeMap<TeamName, Quota>>,
}

impl Used {
    fn add(&mut self, group: usize, team: &TeamName, quota: &Quota) {
        for map in [&mut self.all, &mut self.by_node[group]] {
            match map.get_mut(team) {
                Some(sum) => *sum = sum.plus(quota),
                None => {
                    map.insert(team.clone(), *quota);
                }
            }
        }
    }

    fn all(&self, team: &TeamName) -> Quota {
        self.all.get(team).copied().unwrap_or_default()
    }

    fn of(&self, group: usize, team: &TeamName) -> Quota {
        self.by_node[group].get(team).copied().unwrap_or_default()
    }
}

/// How many times `quota` fits between `used` and `limit`.
fn left(limit: &Quota, used: &Quota, quota: &Quota) -> usize {
    let free = limit.minus(used);
    let part = |free: f64, each: f64| {
        if each <= AMOUNT_SLACK {
            usize::MAX
        } else {
            ((free + AMOUNT_SLACK) / each).floor().max(0.0) as usize
        }
    };
    part(free.cpus, quota.cpus).min(part(free.gpus, quota.gpus))
}

/// Where a gang is tried.
#[derive(Clone, Copy)]
struct Within<'a> {
    group: Option<usize>,
    zone: Option<&'a ZoneName>,
    /// Only where the holder's budget allows it.
    budgets: bool,
}

struct Candidate<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    job: &'a Job,
    rank: Rank,
}

impl Routing<'_> {
    pub fn run(mut self) -> Routed {
        let mut routed = Routed::default();
        let mut used = Used {
            all: self.book.quota_used(self.book.on_machine.keys()),
            by_node: self
                .open
                .nodes
                .iter()
                .map(|node| self.book.quota_used(self.book.machines_of(node)))
                .collect(),
        };
        self.settle_offers(&mut used);
        let now = self.now;
        self.clearing
            .retain(|_, since| now.duration_since(*since) < CLEARING);
        let jobs = &self.book.jobs;
        self.gangs.retain(|id, _| jobs.contains_key(id));
        self.bound
            .retain(|_, since| now.duration_since(*since) < SHARED_AFTER * 3);
        let book = self.book;
        let candidates = self.candidates(book, &used);
        let mut jobs = 0;
        for candidate in candidates {
            let may_clear = candidate.spec.kind == JobKind::Service
                && candidate.spec.priority == Priority::Production
                && routed.cleared < CLEARED_PER_PASS;
            if self.full.contains(&Shape::of(candidate.spec)) && !may_clear {
                // Others just like it have found nothing. They all count, since
                // machines are rented by what waits.
                self.count_unplaced(&candidate, &mut used, &mut routed);
            } else if routed.offered < TASKS_PER_PASS && jobs < JOBS_PER_PASS {
                jobs += 1;
                self.route_job(&candidate, &mut used, &mut routed);
            } else {
                routed.tally.left += candidate.job.waiting() as usize;
            }
        }
        routed.tally.offered = routed.offered;
        routed.tally.unplaced = routed.unplaced.iter().map(|u| u.tasks as usize).sum();
        routed.tally.under_way =
            self.offered.values().map(BTreeMap::len).sum::<usize>() - routed.offered;
        routed
    }

    /// As [`Self::route_job`] for a job that has no room anywhere.
    fn count_unplaced(&self, candidate: &Candidate<'_>, used: &mut Used, routed: &mut Routed) {
        let Candidate { id, spec, job, .. } = candidate;
        let under_way = self.offered.get(*id).map_or(0, BTreeMap::len);
        let tasks = (job.waiting() as usize).saturating_sub(under_way);
        let quota = Quota::of(&spec.per_task);
        let within = left(&self.limit(spec), &used.all(&spec.team), &quota);
        self.note_unplaced(candidate, tasks.min(within) as u32, used, routed);
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
    fn settle_offers(&mut self, used: &mut Used) {
        let (book, now, life) = (self.book, self.now, self.offer_life);
        self.offered.retain(|id, tasks| {
            let Some(job) = book.jobs.get(id) else {
                return false;
            };
            tasks.retain(|task, offered| {
                now.duration_since(offered.at) < life
                    && job.placement(*task).is_none()
                    && !job.is_task_done(*task)
            });
            !tasks.is_empty()
        });
        if self.offered.is_empty() {
            return;
        }
        let at: BTreeMap<MachineId, usize> = self
            .open
            .slots
            .iter()
            .enumerate()
            .map(|(at, slot)| (slot.machine.clone(), at))
            .collect();
        for (id, tasks) in self.offered.iter() {
            let Some(spec) = book.jobs.get(id).and_then(Job::spec) else {
                continue;
            };
            let quota = Quota::of(&spec.per_task);
            for offered in tasks.values() {
                let group = self.open.nodes.iter().position(|n| *n == offered.node);
                if let Some(group) = group {
                    used.add(group, &spec.team, &quota);
                }
                // Which machine the holder takes is its own choice; it decides
                // by the same rule as the trial.
                if let Some(slot) = at.get(&offered.machine) {
                    self.open.slots[*slot].put(spec);
                }
            }
        }
    }

    fn candidates<'b>(&self, book: &'b Book, used: &Used) -> Vec<Candidate<'b>> {
        let mut candidates: Vec<Candidate<'b>> = book
            .waiting
            .iter()
            .filter(|id| self.failing.get(*id).is_none_or(|until| *until <= self.now))
            .filter_map(|id| {
                let job = book.jobs.get(id)?;
                let spec = job.spec()?;
                let borrows = self
                    .teams
                    .iter()
                    .find(|team| team.name == spec.team)
                    .is_some_and(|team| {
                        let after = used.all(&spec.team).plus(&Quota::of(&spec.per_task));
                        !team.guaranteed.covers(&after)
                    });
                let begun = job.placed + job.done > 0;
                let (priority, borrows) = aged(spec.priority, borrows, begun, spec.age(self.wall));
                let due = spec.accepted_ms + spec.deadline.map_or(0, |d| d.as_millis() as u64);
                Some(Candidate {
                    id,
                    spec,
                    job,
                    rank: (std::cmp::Reverse(priority), borrows, due),
                })
            })
            .collect();
        candidates.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.id.cmp(b.id)));
        candidates
    }

    /// How many more tasks the holder's budget for the job's team allows.
    fn budget_left(&self, group: usize, spec: &JobSpec, used: &Used) -> usize {
        let budget = self
            .book
            .seats
            .get(&self.open.nodes[group])
            .and_then(|kept| kept.value.budgets.get(&spec.team))
            .copied()
            .unwrap_or_default();
        let used = used.of(group, &spec.team);
        left(&budget, &used, &Quota::of(&spec.per_task))
    }

    /// Routes what it can of one job.
    fn route_job(&mut self, candidate: &Candidate<'_>, used: &mut Used, routed: &mut Routed) {
        let Candidate { id, spec, job, .. } = candidate;
        let gang = spec.kind == JobKind::Gang;
        if gang && self.offered.contains_key(*id) {
            return;
        }
        if gang && !self.may_join(candidate, routed) {
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
        let quota = Quota::of(&spec.per_task);
        let within = left(&self.limit(spec), &used.all(&spec.team), &quota);
        if within < tasks.len() {
            if gang {
                // More machines would not help it.
                routed.tally.limited += tasks.len();
                return;
            }
            // More machines would not help those beyond the limit.
            routed.tally.limited += tasks.len() - within;
            self.clear_quota(candidate, tasks[within], routed);
            tasks.truncate(within);
        }
        if self.awaits_home(candidate, tasks.len(), routed) {
            self.note_unplaced(candidate, tasks.len() as u32, used, routed);
            return;
        }
        if gang {
            self.route_gang(candidate, &tasks, used, routed);
            return;
        }
        let placed = if spec.is_zone_bound() {
            self.place_bound(candidate, &tasks, used)
        } else {
            self.place_by_record(candidate, &tasks, used)
        };
        let found: BTreeSet<u32> = placed.iter().map(|(task, _)| *task).collect();
        for (task, at) in placed {
            self.offer(id, task, at, routed);
        }
        let left_over: Vec<u32> = tasks
            .into_iter()
            .filter(|task| !found.contains(task))
            .collect();
        if !left_over.is_empty() {
            self.explain(candidate, &left_over, used, routed);
        }
    }

    /// Whether a gang's waiting tasks may be placed now. What is still there of an
    /// attempt that can't be completed is told to leave: its mates would do so only
    /// when they notice, and a part that waits for the rest not for `gang_wait_s`.
    fn may_join(&mut self, candidate: &Candidate<'_>, routed: &mut Routed) -> bool {
        let Candidate { id, job, .. } = candidate;
        let now = self.now;
        if job.present() == 0 {
            self.gangs.remove(*id);
            return true;
        }
        let (since, told) = self.gangs.entry((*id).clone()).or_insert((now, None));
        let joins = job.may_join();
        if joins && now.duration_since(*since) < JOINED_WITHIN {
            return true;
        }
        // Once told to leave, all of it does.
        if told.is_none_or(|at| now.duration_since(at) > CLEARING) {
            *told = Some(now);
            let tasks = job.present_placements();
            for (task, placement) in tasks {
                if let Some((_, kept)) = self.book.block_of(&placement.machine) {
                    let leaving = routed.preempt.entry(kept.value.node.clone()).or_default();
                    leaving.push(TaskId::new((*id).clone(), task));
                }
            }
            tracing::debug!(job = %id, joins, "a gang's part leaves");
        }
        false
    }

    /// All tasks of a gang at once, or none: at one holder if one has room for all of
    /// them, since two would write the same record, and where it is complete soonest.
    fn route_gang(
        &mut self,
        candidate: &Candidate<'_>,
        tasks: &[u32],
        used: &mut Used,
        routed: &mut Routed,
    ) {
        let spec = candidate.spec;
        let quota = Quota::of(&spec.per_task);
        let mut zones: Vec<Option<ZoneName>> = vec![None];
        if spec.one_zone {
            let slots = self.open.slots.iter();
            let all: BTreeSet<&ZoneName> = slots.map(|slot| &slot.zone).collect();
            zones = all.into_iter().cloned().map(Some).collect();
        }
        for budgets in [true, false] {
            let holders = (0..self.open.nodes.len()).map(Some);
            let found = holders
                .chain([None])
                .flat_map(|group| zones.iter().map(move |zone| (group, zone.as_ref())))
                .filter_map(|(group, zone)| {
                    let within = Within {
                        group,
                        zone,
                        budgets,
                    };
                    let (soonest, at) = self.try_gang(candidate, tasks.len(), used, within)?;
                    Some((group.is_none(), soonest, at))
                })
                .min_by_key(|(several, soonest, _)| (*several, *soonest));
            let Some((_, _, chosen)) = found else {
                continue;
            };
            for (task, at) in tasks.iter().zip(&chosen) {
                let group = self.open.slots[*at].group;
                self.open.slots[*at].put(spec);
                if budgets {
                    used.add(group, &spec.team, &quota);
                    self.offer(candidate.id, *task, *at, routed);
                }
            }
            if !budgets {
                // There is room: its holders are to get what they lack.
                self.note_short(spec, &chosen, used, routed);
                routed.tally.covered += tasks.len();
            }
            return;
        }
        self.note_unplaced(candidate, tasks.len() as u32, used, routed);
    }

    /// Slots for all of a gang's tasks, with the times in which the last of them would
    /// have its image and be complete.
    fn try_gang(
        &self,
        candidate: &Candidate<'_>,
        count: usize,
        used: &Used,
        within: Within<'_>,
    ) -> Option<((Duration, Duration), Vec<usize>)> {
        let spec = candidate.spec;
        let factor = (self.factor)(&spec.class);
        let (at, mut slots): (Vec<usize>, Vec<placement::Slot>) = self
            .open
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| {
                within.group.is_none_or(|group| slot.group == group)
                    && within.zone.is_none_or(|zone| slot.zone == *zone)
                    && spec.per_task.fits_in(&slot.room)
                    && placement::allowed(spec, slot)
            })
            .map(|(at, slot)| (at, slot.clone()))
            .unzip();
        let mut constraint = self.constraint(candidate);
        let mut budgets: Vec<usize> = (0..self.open.nodes.len())
            .map(|group| match within.budgets {
                true => self.budget_left(group, spec, used),
                false => usize::MAX,
            })
            .collect();
        let chosen = placement::fill(spec, &mut slots, factor, count, |slot| {
            let admitted = constraint.admits(&slot.zone) && budgets[slot.group] > 0;
            if admitted {
                budgets[slot.group] -= 1;
                constraint.add(&slot.zone);
            }
            admitted
        });
        if chosen.len() < count {
            return None;
        }
        let chosen: Vec<usize> = chosen.into_iter().map(|n| at[n]).collect();
        let estimates = || {
            let slots = chosen.iter().map(|at| &self.open.slots[*at]);
            slots.map(|slot| placement::estimate(spec, slot, factor))
        };
        let fetched = estimates().map(|e| e.fetch).max().unwrap_or_default();
        let complete = estimates().map(|e| e.completion()).max();
        Some(((fetched, complete.unwrap_or_default()), chosen))
    }

    /// Chooses the zone of a job of many records that must be in one zone, or has it
    /// chosen anew when its zone has no room while another has. True: nothing of it is
    /// placed in this pass.
    fn awaits_home(&self, candidate: &Candidate<'_>, tasks: usize, routed: &mut Routed) -> bool {
        let Candidate { id, spec, job, .. } = candidate;
        if !spec.one_zone || self.scope(spec) == ZoneScope::WholeJob {
            return false;
        }
        let needed = if spec.kind == JobKind::Gang { tasks } else { 1 };
        let room = self.room_by_zone(spec);
        let best = room.iter().max_by_key(|(_, room)| **room);
        let roomy = best
            .filter(|(_, room)| **room >= needed)
            .map(|(zone, _)| zone);
        let change = |zone| HomeChange {
            job: (*id).clone(),
            zone,
        };
        match &spec.home {
            None => {
                let settled = zones::of_job(self.book, job).settled_zone().cloned();
                if let Some(zone) = settled.or(roomy.cloned()) {
                    routed.homes.push(change(Some(zone)));
                }
                true
            }
            Some(home) => {
                let nowhere = job.present() == 0 && !self.offered.contains_key(*id);
                let has_room = room.get(home).is_some_and(|room| *room >= needed);
                let moves = nowhere && !has_room && roomy.is_some();
                if moves {
                    routed.homes.push(change(None));
                }
                moves
            }
        }
    }

    /// Tasks of the job that fit in each zone that it allows, wherever it is confined to.
    fn room_by_zone(&self, spec: &JobSpec) -> BTreeMap<ZoneName, usize> {
        let anywhere = JobSpec {
            home: None,
            ..spec.clone()
        };
        let mut room: BTreeMap<ZoneName, usize> = BTreeMap::new();
        for slot in &self.open.slots {
            if placement::allowed(&anywhere, slot) {
                let fit = spec.per_task.count_in(&slot.room) as usize;
                *room.entry(slot.zone.clone()).or_default() += fit;
            }
        }
        room
    }

    fn offer(&mut self, id: &JobId, task: u32, at: usize, routed: &mut Routed) {
        routed.offered += 1;
        let slot = &self.open.slots[at];
        let node = self.open.nodes[slot.group].clone();
        let offered = OfferedTo {
            node: node.clone(),
            machine: slot.machine.clone(),
            at: self.now,
        };
        self.offered
            .entry(id.clone())
            .or_default()
            .insert(task, offered);
        let offers = routed.offers.entry(node).or_default();
        match offers.iter_mut().find(|offer| offer.job == *id) {
            Some(offer) => offer.tasks.push(task),
            None => offers.push(Offer {
                job: id.clone(),
                tasks: vec![task],
            }),
        }
    }

    fn scope(&self, spec: &JobSpec) -> ZoneScope {
        ZoneScope::of(spec, self.changes_per_transaction)
    }

    /// The zone constraint for the next task of a job; those under way are as good as
    /// there.
    fn constraint(&self, candidate: &Candidate<'_>) -> ZoneConstraint {
        let mut constraint = zones::of_job(self.book, candidate.job);
        self.count_offered(candidate, &mut constraint, |_| true);
        constraint
    }

    /// The tasks in parts that share a zone constraint.
    fn constrained_parts<'t>(
        &self,
        candidate: &Candidate<'_>,
        tasks: &'t [u32],
    ) -> Vec<zones::ConstrainedPart<'t>> {
        let scope = self.scope(candidate.spec);
        let mut parts = zones::constrained_parts(self.book, candidate.job, scope, tasks);
        for (part, constraint) in &mut parts {
            let record = part.first().map_or(0, |task| task / keys::CHUNK);
            self.count_offered(candidate, constraint, |task| {
                scope == ZoneScope::WholeJob || task / keys::CHUNK == record
            });
        }
        parts
    }

    fn count_offered(
        &self,
        candidate: &Candidate<'_>,
        constraint: &mut ZoneConstraint,
        counts: impl Fn(u32) -> bool,
    ) {
        if !candidate.spec.is_zone_bound() {
            return;
        }
        let under_way = self.offered.get(candidate.id);
        for (task, offered) in under_way.into_iter().flatten() {
            if let Some(record) = self.book.machines.get(&offered.machine)
                && counts(*task)
            {
                constraint.add(&record.zone);
            }
        }
    }

    /// Tasks that are bound to zones, or to each other's: by least estimated
    /// completion over all holders.
    fn place_bound(
        &mut self,
        candidate: &Candidate<'_>,
        tasks: &[u32],
        used: &mut Used,
    ) -> Vec<(u32, usize)> {
        let spec = candidate.spec;
        let mut budgets: Vec<usize> = (0..self.open.nodes.len())
            .map(|group| self.budget_left(group, spec, used))
            .collect();
        let factor = (self.factor)(&spec.class);
        let quota = Quota::of(&spec.per_task);
        let mut placed = Vec::with_capacity(tasks.len());
        for (part, mut constraint) in self.constrained_parts(candidate, tasks) {
            let slots = &mut self.open.slots;
            let chosen = placement::fill(spec, slots, factor, part.len(), |slot| {
                let admitted = constraint.admits(&slot.zone) && budgets[slot.group] > 0;
                if admitted {
                    budgets[slot.group] -= 1;
                    constraint.add(&slot.zone);
                    used.add(slot.group, &spec.team, &quota);
                }
                admitted
            });
            placed.extend(part.iter().copied().zip(chosen));
        }
        placed
    }

    /// The holders that have tasks of this record, and so write it.
    fn writers(&self, id: &JobId, job: &Job, chunk: u32) -> Vec<usize> {
        let mut nodes: BTreeSet<&NodeName> = BTreeSet::new();
        if let Some(kept) = job.chunks.get(&chunk) {
            for placement in kept.value.placed.values() {
                if let Some((_, block)) = self.book.block_of(&placement.machine) {
                    nodes.insert(&block.value.node);
                }
            }
        }
        for (task, offered) in self.offered.get(id).into_iter().flatten() {
            if task / keys::CHUNK == chunk {
                nodes.insert(&offered.node);
            }
        }
        let position = |node| self.open.nodes.iter().position(|other| other == node);
        nodes.into_iter().filter_map(position).collect()
    }

    /// The tasks of each record go to one holder as far as it has room: each
    /// further holder would write the same record, and changes of the state
    /// service are scarce. Within a holder by least estimated completion.
    fn place_by_record(
        &mut self,
        candidate: &Candidate<'_>,
        tasks: &[u32],
        used: &mut Used,
    ) -> Vec<(u32, usize)> {
        let Candidate { id, spec, job, .. } = candidate;
        let factor = (self.factor)(&spec.class);
        let quota = Quota::of(&spec.per_task);
        let mut placed = Vec::with_capacity(tasks.len());
        // A second writer would cost two changes for each of its results, one of
        // them refused. A holder's room comes back all the time, as array tasks
        // end; replicas do not wait for that.
        let array = spec.kind == JobKind::Array;
        for record in tasks.chunk_by(|a, b| a / keys::CHUNK == b / keys::CHUNK) {
            let mut rest = record;
            let chunk = record[0] / keys::CHUNK;
            let mut writers = self.writers(id, job, chunk);
            let key = ((*id).clone(), chunk);
            let bound = array
                && self
                    .bound
                    .get(&key)
                    .is_none_or(|since| self.now.duration_since(*since) < SHARED_AFTER);
            let mut fits = placement::compare_groups(spec, &self.open.slots, factor, rest.len());
            while !rest.is_empty() {
                for (group, fit) in &mut fits {
                    fit.tasks = fit.tasks.min(self.budget_left(*group, spec, used));
                }
                let Some(group) = placement::best_group(&fits, &writers) else {
                    break;
                };
                if bound && !writers.is_empty() && !writers.contains(&group) {
                    let now = self.now;
                    self.bound.entry(key).or_insert(now);
                    break;
                }
                writers = vec![group];
                let most = fits
                    .remove(&group)
                    .map_or(0, |fit| fit.tasks)
                    .min(rest.len());
                let chosen = placement::fill(spec, &mut self.open.slots, factor, most, |slot| {
                    slot.group == group
                });
                for _ in &chosen {
                    used.add(group, &spec.team, &quota);
                }
                placed.extend(rest.iter().copied().zip(chosen.iter().copied()));
                rest = &rest[chosen.len()..];
            }
        }
        placed
    }

    /// Why tasks found no place: budget that lies with another holder, room that
    /// can be cleared, or no room.
    fn explain(
        &mut self,
        candidate: &Candidate<'_>,
        tasks: &[u32],
        used: &mut Used,
        routed: &mut Routed,
    ) {
        let spec = candidate.spec;
        let covered = if spec.is_zone_bound() {
            self.lacking_bound(candidate, tasks, used, routed)
        } else {
            self.lacking(candidate, tasks, used, routed)
        };
        routed.tally.covered += covered;
        let mut unplaced = 0;
        for task in tasks.iter().skip(covered) {
            if unplaced == 0 && self.clear_room(candidate, *task, routed) {
                continue;
            }
            unplaced += 1;
        }
        self.note_unplaced(candidate, unplaced, used, routed);
    }

    /// Room that tasks could not be given, as its holder lacks budget or another
    /// one writes their record. Returns for how many of them there is room.
    fn lacking(
        &mut self,
        candidate: &Candidate<'_>,
        tasks: &[u32],
        used: &mut Used,
        routed: &mut Routed,
    ) -> usize {
        let Candidate { id, spec, job, .. } = candidate;
        let factor = (self.factor)(&spec.class);
        let count = tasks.len();
        let mut fits = placement::compare_groups(spec, &self.open.slots, factor, count);
        let quota = Quota::of(&spec.per_task);
        let free: f64 = fits.values().map(|fit| fit.free).sum();
        let fit_in_all: usize = fits.values().map(|fit| fit.tasks).sum();
        if fit_in_all == 0 {
            self.full.insert(Shape::of(spec));
            return 0;
        }
        let writers = self.writers(id, job, tasks[0] / keys::CHUNK);
        let mut rest = count;
        while rest > 0
            && let Some(group) = placement::best_group(&fits, &writers)
        {
            let fit = fits.remove(&group).map_or(0, |fit| fit.tasks).min(rest);
            let missing = fit.saturating_sub(self.budget_left(group, spec, used));
            if missing > 0 {
                let quota = quota.times(missing as f64);
                used.add(group, &spec.team, &quota);
                let key = (self.open.nodes[group].clone(), spec.team.clone());
                let short = routed.short.entry(key).or_default();
                *short = short.plus(&quota);
            }
            rest -= fit;
        }
        // Earlier jobs wait for some of that room.
        let unclaimed = (free - routed.claimed).max(0.0) / spec.per_task.cpus.max(0.01);
        let covered = count.min(fit_in_all).min(unclaimed as usize);
        routed.claimed += spec.per_task.cpus * covered as f64;
        covered
    }

    /// As [`Self::lacking`] for tasks that are bound to zones.
    fn lacking_bound(
        &mut self,
        candidate: &Candidate<'_>,
        tasks: &[u32],
        used: &mut Used,
        routed: &mut Routed,
    ) -> usize {
        let spec = candidate.spec;
        let factor = (self.factor)(&spec.class);
        let quota = Quota::of(&spec.per_task);
        let mut roomy = Vec::new();
        for (part, mut constraint) in self.constrained_parts(candidate, tasks) {
            let slots = &mut self.open.slots;
            roomy.extend(placement::fill(spec, slots, factor, part.len(), |slot| {
                let admitted = constraint.admits(&slot.zone);
                if admitted {
                    constraint.add(&slot.zone);
                }
                admitted
            }));
        }
        self.note_short(spec, &roomy, used, routed);
        for at in &roomy {
            used.add(self.open.slots[*at].group, &spec.team, &quota);
        }
        roomy.len()
    }

    /// What the holders of these slots lack for a task in each. No more than that: a
    /// holder that lacks something gives nothing up, so that with all of them in want
    /// no budget would ever move.
    fn note_short(&self, spec: &JobSpec, chosen: &[usize], used: &Used, routed: &mut Routed) {
        let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
        for at in chosen {
            *counts.entry(self.open.slots[*at].group).or_default() += 1;
        }
        for (group, count) in counts {
            let key = (self.open.nodes[group].clone(), spec.team.clone());
            let kept = routed.kept.entry(key).or_default();
            *kept = kept.plus(&Quota::of(&spec.per_task).times(count as f64));
            let missing = count.saturating_sub(self.budget_left(group, spec, used));
            if missing > 0 {
                let key = (self.open.nodes[group].clone(), spec.team.clone());
                let short = routed.short.entry(key).or_default();
                *short = short.plus(&Quota::of(&spec.per_task).times(missing as f64));
            }
        }
    }

    fn note_unplaced(
        &self,
        candidate: &Candidate<'_>,
        tasks: u32,
        used: &mut Used,
        routed: &mut Routed,
    ) {
        if tasks == 0 {
            return;
        }
        let spec = candidate.spec;
        // Machines come for these, so that later ones of the team find that
        // much less of its limit.
        let quota = Quota::of(&spec.per_task).times(f64::from(tasks));
        let sum = used.all.entry(spec.team.clone()).or_default();
        *sum = sum.plus(&quota);
        let age = spec.age(self.wall);
        let overdue = match spec.deadline {
            Some(deadline) => age + spec.estimate > deadline,
            None => age > self.start_target,
        };
        routed.unplaced.push(Unplaced {
            job: candidate.id.clone(),
            tasks,
            overdue,
        });
    }
}

impl Routing<'_> {
    /// A replica of the highest priority whose team is at its limit: the team's
    /// own youngest array tasks of lower priority make way.
    fn clear_quota(&mut self, candidate: &Candidate<'_>, task: u32, routed: &mut Routed) {
        let Candidate { id, spec, .. } = candidate;
        let key = TaskId::new((*id).clone(), task);
        if spec.kind != JobKind::Service
            || spec.priority != Priority::Production
            || self.clearing.contains_key(&key)
            || routed.cleared >= CLEARED_PER_PASS
        {
            return;
        }
        routed.cleared += 1;
        let mut victims: Vec<(Priority, u64, &TaskId, &MachineId, f64)> = Vec::new();
        for (machine, load) in &self.book.on_machine {
            if !load.teams.iter().any(|(team, _)| *team == spec.team) {
                continue;
            }
            for (task, placed) in &load.tasks {
                let Some(other) = &placed.spec else { continue };
                if other.team == spec.team
                    && other.kind == JobKind::Array
                    && other.priority < spec.priority
                    && !self.book.ending.contains(&task.job)
                    && !self.clearing.contains_key(task)
                {
                    let age = u64::MAX - other.accepted_ms;
                    let cpus = other.per_task.cpus;
                    victims.push((other.priority, age, task, machine, cpus));
                }
            }
        }
        victims.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
        let mut missing = spec.per_task.cpus;
        let mut chosen = Vec::new();
        for (_, _, task, machine, cpus) in victims {
            if missing <= AMOUNT_SLACK {
                break;
            }
            missing -= cpus;
            if let Some((_, kept)) = self.book.block_of(machine) {
                chosen.push((kept.value.node.clone(), task.clone()));
            }
        }
        if missing > AMOUNT_SLACK {
            return;
        }
        tracing::debug!(job = %id, task, team = %spec.team, victims = chosen.len(),
            "quota is cleared");
        self.clearing.insert(key, self.now);
        for (node, victim) in chosen {
            self.clearing.insert(victim.clone(), self.now);
            routed.preempt.entry(node).or_default().push(victim);
        }
    }

    /// Finds array tasks to stop for a replica of the highest priority that has
    /// no room. One machine is cleared, with the fewest and youngest victims.
    /// True: room is on its way.
    fn clear_room(&mut self, candidate: &Candidate<'_>, task: u32, routed: &mut Routed) -> bool {
        let Candidate { id, spec, .. } = candidate;
        let key = TaskId::new((*id).clone(), task);
        if self.clearing.contains_key(&key) {
            return true;
        }
        if spec.kind != JobKind::Service
            || spec.priority != Priority::Production
            || routed.cleared >= CLEARED_PER_PASS
        {
            return false;
        }
        routed.cleared += 1;
        let parts = self.constrained_parts(candidate, std::slice::from_ref(&task));
        let constraint = parts.into_iter().map(|(_, constraint)| constraint).next();
        let constraint = constraint.unwrap_or_default();
        let mut best: Option<(usize, bool, u64, usize, Vec<TaskId>)> = None;
        for (at, slot) in self.open.slots.iter().enumerate() {
            if !placement::allowed(spec, slot)
                || slot.leaves_in.is_some()
                || !constraint.admits(&slot.zone)
                || best.as_ref().is_some_and(|b| b.0 == 1 && !b.1)
            {
                continue;
            }
            let mut victims: Vec<(Priority, u64, TaskId, Resources)> = self
                .book
                .on_machine
                .get(&slot.machine)
                .iter()
                .flat_map(|load| &load.tasks)
                .filter_map(|(task, placed)| {
                    let other = placed.spec.as_ref()?;
                    (other.kind == JobKind::Array
                        && !self.book.ending.contains(&task.job)
                        && other.priority < spec.priority
                        && !self.clearing.contains_key(task))
                    .then(|| {
                        let age = u64::MAX - other.accepted_ms;
                        (other.priority, age, task.clone(), other.per_task)
                    })
                })
                .collect();
            victims.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
            let mut room = slot.room;
            let mut chosen = Vec::new();
            let mut youngest = u64::MAX;
            for (_, age, victim, size) in victims {
                if spec.per_task.fits_in(&room) {
                    break;
                }
                room += size;
                youngest = youngest.min(age);
                chosen.push(victim);
            }
            if chosen.is_empty() || !spec.per_task.fits_in(&room) {
                continue;
            }
            let cold = !slot.images.contains(&spec.image);
            let better = best
                .as_ref()
                .is_none_or(|b| (chosen.len(), cold, youngest) < (b.0, b.1, b.2));
            if better {
                best = Some((chosen.len(), cold, youngest, at, chosen));
            }
        }
        let Some((_, _, _, at, chosen)) = best else {
            return false;
        };
        self.clearing.insert(key, self.now);
        for victim in &chosen {
            self.clearing.insert(victim.clone(), self.now);
        }
        let slot = &self.open.slots[at];
        // What is freed belongs to the waiting task; the rest is small.
        tracing::debug!(job = %id, task, machine = %slot.machine, victims = chosen.len(),
            "room is cleared");
        routed
            .preempt
            .entry(self.open.nodes[slot.group].clone())
            .or_default()
            .extend(chosen);
        true
    }
}

/// A holder's machine that takes tasks; none if it takes none now.
pub type Usable<'a> = &'a dyn Fn(&NodeName, &MachineId) -> Option<Usage>;

pub struct Usage {
    pub images: Arc<Vec<ImageName>>,
    pub speed: f64,
    /// Room of ended tasks that the book still counts.
    pub freed: Resources,
}

/// The machines that the leader may route tasks to. Full ones are among them,
/// since others may be stopped there.
pub fn open_machines(
    book: &Book,
    usable: Usable<'_>,
    now_ms: u64,
    paid: giveback::PaidPeriods,
) -> Open {
    let mut open = Open::default();
    for kept in book.blocks.values() {
        let block = &kept.value;
        if block.frozen || !book.is_seated(block) {
            continue;
        }
        let group = match open.nodes.iter().position(|node| *node == block.node) {
            Some(group) => group,
            None => {
                open.nodes.push(block.node.clone());
                open.nodes.len() - 1
            }
        };
        for (id, machine_use) in &block.machines {
            let Some(record) = book.machines.get(id) else {
                continue;
            };
            let Some(kind) = book.machine_type(&record.kind) else {
                continue;
            };
            if *machine_use == MachineUse::Frozen {
                continue;
            }
            let Some(usage) = usable(&block.node, id) else {
                continue;
            };
            let mut room = kind.size;
            room -= book.taken(id);
            // What a holder says is behind by up to a second: never more than
            // the book counts.
            if book.on_machine.contains_key(id) {
                room += usage.freed;
                room = room.at_most(&kind.size);
            }
            let age = Duration::from_millis(now_ms.saturating_sub(record.rented_ms));
            open.slots.push(placement::Slot {
                group,
                machine: id.clone(),
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                room,
                size: kind.size,
                fetch_gb_per_s: kind.fetch_gb_per_s,
                speed: usage.speed,
                images: usage.images,
                leaves_in: (*machine_use == MachineUse::Marked).then(|| paid.left(age)),
            });
        }
    }
    open
}

#[cfg(test)]
mod tests;
