//! Which holder gets which waiting tasks: a trial placement over all blocks,
//! by the same rule that the holders use.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use super::super::{
    holder::{zone_admits, zone_counts},
    policy::{giveback, placement},
    ports::Offer,
};
use crate::storage::{book::Job, records::MachineUse, *};

/// A machine that tasks can be routed to.
#[derive(Clone, Debug)]
pub struct Open {
    pub slot: placement::Slot,
    pub node: NodeName,
}

/// Tasks that found no room.
#[derive(Clone, Debug)]
pub struct Unplaced {
    pub job: JobId,
    pub tasks: u32,
    /// They wait longer than the start target, or will miss their deadline.
    pub overdue: bool,
}

#[derive(Debug, Default)]
pub struct Routed {
    pub offers: BTreeMap<NodeName, Vec<Offer>>,
    pub unplaced: Vec<Unplaced>,
    pub short: BTreeMap<(NodeName, TeamName), Quota>,
    /// Tasks of lower standing to stop for those of higher standing.
    pub preempt: BTreeMap<NodeName, Vec<TaskId>>,
}

/// Tasks under way to a holder.
pub type Offered = HashMap<JobId, HashMap<u32, (NodeName, Instant)>>;

/// Waiting tasks for which others are being stopped, since when.
pub type Clearing = HashMap<TaskId, Instant>;

/// A stopped task's room shows within this time, or it is asked for again.
const CLEARING: Duration = Duration::from_millis(2500);

/// Tasks looked at in one pass.
const TASKS_PER_PASS: usize = 600;

pub struct Routing<'a> {
    pub book: &'a Book,
    pub teams: &'a [Team],
    pub open: Vec<Open>,
    pub offered: &'a mut Offered,
    pub clearing: &'a mut Clearing,
    pub failing: &'a HashMap<JobId, Instant>,
    pub start_target: Duration,
    pub offer_life: Duration,
    pub now: Instant,
    pub wall: SystemTime,
    pub factor: &'a dyn Fn(&ClassName) -> f64,
}

/// How soon a job is to be served, the soonest first.
type Rank = (std::cmp::Reverse<Priority>, bool, u64);

struct Candidate<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    job: &'a Job,
    rank: Rank,
}

impl Routing<'_> {
    pub fn run(mut self) -> Routed {
        let mut routed = Routed::default();
        let mut used = self.book.quota_used(self.book.on_machine.keys());
        let mut by_node: HashMap<(NodeName, TeamName), Quota> = HashMap::new();
        for (node, kept) in &self.book.blocks {
            for (team, quota) in self.book.quota_used(kept.value.machines.keys()) {
                by_node.insert((node.clone(), team), quota);
            }
        }
        self.settle_offers(&mut used, &mut by_node);
        let now = self.now;
        self.clearing
            .retain(|_, since| now.duration_since(*since) < CLEARING);
        let book = self.book;
        let candidates = self.candidates(book, &used);
        let mut looked_at = 0;
        for candidate in candidates {
            if looked_at > TASKS_PER_PASS {
                break;
            }
            looked_at += self.route_job(&candidate, &mut used, &mut by_node, &mut routed);
        }
        routed
    }

    /// Offers that were taken up, or not in time, are forgotten; the room and
    /// quota of the others is set aside.
    fn settle_offers(
        &mut self,
        used: &mut BTreeMap<TeamName, Quota>,
        by_node: &mut HashMap<(NodeName, TeamName), Quota>,
    ) {
        let (book, now, life) = (self.book, self.now, self.offer_life);
        self.offered.retain(|id, tasks| {
            let Some(job) = book.jobs.get(id) else {
                return false;
            };
            tasks.retain(|task, (_, at)| {
                now.duration_since(*at) < life
                    && job.placement(*task).is_none()
                    && !job.is_task_done(*task)
            });
            !tasks.is_empty()
        });
        for (id, tasks) in self.offered.iter() {
            let Some(spec) = book.jobs.get(id).and_then(Job::spec) else {
                continue;
            };
            for (node, _) in tasks.values() {
                let quota = Quota::of(&spec.per_task);
                let entry = used.entry(spec.team.clone()).or_default();
                *entry = entry.plus(&quota);
                let entry = by_node
                    .entry((node.clone(), spec.team.clone()))
                    .or_default();
                *entry = entry.plus(&quota);
                // Which machine the holder takes is its own choice; the trial
                // takes the likeliest.
                let slots: Vec<placement::Slot> =
                    self.open.iter().map(|open| open.slot.clone()).collect();
                let open = &self.open;
                let factor = (self.factor)(&spec.class);
                let at = placement::choose(spec, &slots, factor, |slot| {
                    open.iter()
                        .any(|o| o.slot.machine == slot.machine && o.node == *node)
                });
                if let Some(open) = at.and_then(|at| self.open.get_mut(at)) {
                    open.slot.room -= spec.per_task;
                }
            }
        }
    }

    fn candidates<'b>(
        &self,
        book: &'b Book,
        used: &BTreeMap<TeamName, Quota>,
    ) -> Vec<Candidate<'b>> {
        let mut candidates: Vec<Candidate<'b>> = book
            .jobs
            .iter()
            .filter(|(id, job)| {
                job.waiting() > 0 && self.failing.get(*id).is_none_or(|until| *until <= self.now)
            })
            .filter_map(|(id, job)| {
                let spec = job.spec()?;
                let borrows = self
                    .teams
                    .iter()
                    .find(|team| team.name == spec.team)
                    .is_some_and(|team| {
                        let used = used.get(&team.name).copied().unwrap_or_default();
                        !team
                            .guaranteed
                            .covers(&used.plus(&Quota::of(&spec.per_task)))
                    });
                let due = spec.accepted_ms + spec.deadline.map_or(0, |d| d.as_millis() as u64);
                Some(Candidate {
                    id,
                    spec,
                    job,
                    rank: (std::cmp::Reverse(spec.priority), borrows, due),
                })
            })
            .collect();
        candidates.sort_by(|a, b| a.rank.cmp(&b.rank).then_with(|| a.id.cmp(b.id)));
        candidates
    }

    /// The block in which that many tasks fit, the one with the most room.
    fn block_with_room(&self, spec: &JobSpec, tasks: usize) -> Option<NodeName> {
        let mut room: BTreeMap<&NodeName, u64> = BTreeMap::new();
        for open in &self.open {
            if placement::allowed(spec, &open.slot) && open.slot.leaves_in.is_none() {
                *room.entry(&open.node).or_default() +=
                    u64::from(spec.per_task.count_in(&open.slot.room));
            }
        }
        room.into_iter()
            .filter(|(_, fit)| *fit >= tasks as u64)
            .max_by_key(|(_, fit)| *fit)
            .map(|(node, _)| node.clone())
    }

    /// Routes what it can of one job; returns how many tasks were looked at.
    fn route_job(
        &mut self,
        candidate: &Candidate<'_>,
        used: &mut BTreeMap<TeamName, Quota>,
        by_node: &mut HashMap<(NodeName, TeamName), Quota>,
        routed: &mut Routed,
    ) -> usize {
        let Candidate { id, spec, job, .. } = candidate;
        let quota = Quota::of(&spec.per_task);
        let limit = self
            .teams
            .iter()
            .find(|team| team.name == spec.team)
            .map(|team| team.limit)
            .unwrap_or_default();
        let gang = spec.kind == JobKind::Gang;
        if gang && job.placed > 0 {
            // Its tasks start together: what is still there leaves first.
            return 1;
        }
        let most = if gang {
            spec.tasks as usize
        } else {
            TASKS_PER_PASS
        };
        let waiting = job.waiting_tasks(most);
        let gang_size = waiting.len();
        if gang && self.offered.contains_key(*id) {
            return 1;
        }
        // One holder commits its part at once, so one block is best.
        let gang_node = gang
            .then(|| self.block_with_room(spec, gang_size))
            .flatten();
        let before = gang.then(|| (self.open.clone(), by_node.clone(), used.clone()));
        let factor = (self.factor)(&spec.class);
        let mut zones = zone_counts(self.book, job);
        let mut unplaced = 0;
        let mut looked_at = 0;
        let mut full = false;
        let mut slots: Vec<placement::Slot> =
            self.open.iter().map(|open| open.slot.clone()).collect();
        for task in waiting {
            if self
                .offered
                .get(*id)
                .is_some_and(|tasks| tasks.contains_key(&task))
            {
                continue;
            }
            looked_at += 1;
            let total = used.entry(spec.team.clone()).or_default();
            let after = total.plus(&quota);
            if !limit.covers(&after) {
                // More machines would not help these.
                self.clear_quota(candidate, task, routed);
                break;
            }
            if full {
                *total = after;
                unplaced += 1;
                continue;
            }
            let (book, open) = (self.book, &self.open);
            let node_of = |slot: &placement::Slot| {
                open.iter()
                    .find(|o| o.slot.machine == slot.machine)
                    .map(|o| &o.node)
            };
            let fits_budget = |node: &NodeName| {
                let budget = book
                    .blocks
                    .get(node)
                    .and_then(|kept| kept.value.budgets.get(&spec.team))
                    .copied()
                    .unwrap_or_default();
                let used = by_node
                    .get(&(node.clone(), spec.team.clone()))
                    .copied()
                    .unwrap_or_default();
                budget.covers(&used.plus(&quota))
            };
            let within = placement::choose(spec, &slots, factor, |slot| {
                zone_admits(spec, &zones, &slot.zone)
                    && node_of(slot).is_some_and(|node| {
                        gang_node.as_ref().is_none_or(|only| only == node) && fits_budget(node)
                    })
            });
            let Some(at) = within else {
                let anywhere = placement::choose(spec, &slots, factor, |slot| {
                    zone_admits(spec, &zones, &slot.zone)
                        && gang_node
                            .as_ref()
                            .is_none_or(|only| node_of(slot) == Some(only))
                });
                *total = after;
                let roomy = anywhere.and_then(|at| node_of(&slots[at])).cloned();
                match roomy {
                    // There is room, but the quota lies with another block.
                    Some(node) => {
                        let key = (node, spec.team.clone());
                        let short = routed.short.entry(key).or_default();
                        *short = short.plus(&quota);
                    }
                    None if self.clear_room(candidate, task, routed) => {}
                    None => {
                        full = true;
                        unplaced += 1;
                    }
                }
                continue;
            };
            let Some(node) = node_of(&slots[at]).cloned() else {
                continue;
            };
            *total = after;
            let entry = by_node
                .entry((node.clone(), spec.team.clone()))
                .or_default();
            *entry = entry.plus(&quota);
            *zones.entry(slots[at].zone.clone()).or_default() += 1;
            slots[at].room -= spec.per_task;
            if !slots[at].images.contains(&spec.image) {
                slots[at].images.push(spec.image.clone());
            }
            self.open[at].slot = slots[at].clone();
            self.offered
                .entry((*id).clone())
                .or_default()
                .insert(task, (node.clone(), self.now));
            let offers = routed.offers.entry(node).or_default();
            match offers.iter_mut().find(|offer| offer.job == **id) {
                Some(offer) => offer.tasks.push(task),
                None => offers.push(Offer {
                    job: (*id).clone(),
                    tasks: vec![task],
                }),
            }
        }
        if let Some((open, nodes, all)) = before
            && self.offered.get(*id).map_or(0, HashMap::len) < gang_size
        {
            // Whole or not at all.
            self.open = open;
            *by_node = nodes;
            *used = all;
            self.offered.remove(*id);
            for offers in routed.offers.values_mut() {
                offers.retain(|offer| offer.job != **id);
            }
            if unplaced > 0 {
                unplaced = gang_size as u32;
            }
        }
        if unplaced > 0 {
            let age = spec.age(self.wall);
            let overdue = match spec.deadline {
                Some(deadline) => age + spec.estimate > deadline,
                None => age > self.start_target,
            };
            routed.unplaced.push(Unplaced {
                job: (*id).clone(),
                tasks: unplaced,
                overdue,
            });
        }
        looked_at
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
        {
            return;
        }
        let mut victims: Vec<(Priority, u64, &TaskId, &MachineId, f64)> = Vec::new();
        for (machine, tasks) in &self.book.on_machine {
            for task in tasks.keys() {
                let Some(job) = self.book.jobs.get(&task.job) else {
                    continue;
                };
                let Some(other) = job.spec() else { continue };
                if other.team == spec.team
                    && other.kind == JobKind::Array
                    && other.priority < spec.priority
                    && job.draining.is_none()
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
            if let Some((node, _)) = self.book.block_of(machine) {
                chosen.push((node.clone(), task.clone()));
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
        if spec.kind != JobKind::Service || spec.priority != Priority::Production {
            return false;
        }
        let mut best: Option<(usize, bool, u64, usize, Vec<TaskId>)> = None;
        for (at, open) in self.open.iter().enumerate() {
            if !placement::allowed(spec, &open.slot) || open.slot.leaves_in.is_some() {
                continue;
            }
            let mut victims: Vec<(Priority, u64, TaskId, Resources)> = self
                .book
                .on_machine
                .get(&open.slot.machine)
                .into_iter()
                .flatten()
                .filter_map(|(task, _)| {
                    let job = self.book.jobs.get(&task.job)?;
                    let other = job.spec()?;
                    (other.kind == JobKind::Array
                        && job.draining.is_none()
                        && other.priority < spec.priority
                        && !self.clearing.contains_key(task))
                    .then(|| {
                        let age = u64::MAX - other.accepted_ms;
                        (other.priority, age, task.clone(), other.per_task)
                    })
                })
                .collect();
            victims.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
            let mut room = open.slot.room;
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
            let cold = !open.slot.images.contains(&spec.image);
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
        let open = &mut self.open[at];
        // What is freed belongs to the waiting task; the rest is small.
        tracing::debug!(job = %id, task, machine = %open.slot.machine, victims = chosen.len(),
            "room is cleared");
        routed
            .preempt
            .entry(open.node.clone())
            .or_default()
            .extend(chosen);
        true
    }
}

/// A holder's machine that takes tasks: its cached images and learned speed.
pub type Usable<'a> = &'a dyn Fn(&NodeName, &MachineId) -> Option<(Vec<ImageName>, f64)>;

/// The machines that the leader may route tasks to.
pub fn open_machines(
    book: &Book,
    usable: Usable<'_>,
    now_ms: u64,
    paid: giveback::PaidPeriods,
) -> Vec<Open> {
    let mut open = Vec::new();
    for (node, kept) in &book.blocks {
        if kept.value.holder.is_none() {
            continue;
        }
        for (id, usage) in &kept.value.machines {
            let Some(record) = book.machines.get(id).map(|kept| &kept.value) else {
                continue;
            };
            let Some(kind) = book.machine_type(&record.kind) else {
                continue;
            };
            if *usage == MachineUse::Frozen || record.address.is_none() {
                continue;
            }
            let Some((images, speed)) = usable(node, id) else {
                continue;
            };
            let mut room = kind.size;
            room -= book.taken(id);
            let age = Duration::from_millis(now_ms.saturating_sub(record.rented_ms));
            open.push(Open {
                node: node.clone(),
                slot: placement::Slot {
                    machine: id.clone(),
                    kind: record.kind.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                    room,
                    size: kind.size,
                    fetch_gb_per_s: kind.fetch_gb_per_s,
                    speed,
                    images,
                    leaves_in: (*usage == MachineUse::Marked).then(|| paid.left(age)),
                },
            });
        }
    }
    open
}
