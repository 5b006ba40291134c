//! Places offered tasks on the holder's machines, by least estimated completion.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    super::{
        policy::zones::{CONDITIONS_PER_CHANGE, ZoneConstraint, ZoneScope},
        zones,
    },
    HolderState,
    change::{Changes, JobChange},
};
use crate::{
    coordination::{
        node::{Node, lock},
        policy::placement,
        ports::Command,
        view::View,
    },
    storage::{
        AMOUNT_SLACK, BlockId, JobId, JobKind, JobSpec, MachineId, Quota, StateCache, TaskId,
        TeamName, ZoneName, keys,
        records::{MachineUse, SeatRecord},
        state_cache::{self, Versioned},
    },
};

/// What the holder's tasks use of a team's limit, and may use.
struct TeamUse {
    used: Quota,
    budget: Quota,
}

/// Room and quota that a round's placements have left.
#[derive(Clone)]
struct Free {
    slots: Vec<placement::Slot>,
    used: BTreeMap<TeamName, Quota>,
}

/// A job of which the leader has offered tasks.
struct OfferedJob<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    job: &'a state_cache::Job,
}

impl OfferedJob<'_> {
    /// The offered tasks that wait for a place, but for those that this very round
    /// writes about.
    fn unplaced(&self, state: &HolderState, changes: &Changes) -> Vec<u32> {
        let OfferedJob { id, spec, job } = *self;
        let written = |task: u32| {
            let change = changes.0.get(&(id.clone(), task / keys::CHUNK));
            change.is_some_and(|change| {
                let record = &change.record;
                record.is_done(task) || record.placed.get(&task) != job.recorded(task)
            })
        };
        let offer = state.offers.get(id);
        let tasks = offer.into_iter().flat_map(|offer| &offer.tasks).copied();
        tasks
            .filter(|task| {
                *task < spec.tasks
                    && job.placement(*task).is_none()
                    && !job.is_task_done(*task)
                    && !written(*task)
            })
            .collect()
    }
}

/// The jobs that were offered and still run, the most pressing first.
fn offered_jobs<'a>(state: &HolderState, cache: &'a StateCache) -> Vec<OfferedJob<'a>> {
    let mut jobs: Vec<OfferedJob<'a>> = state
        .offers
        .keys()
        .filter_map(|id| {
            let (id, job) = cache.jobs.get_key_value(id)?;
            let spec = job.spec()?;
            job.draining
                .is_none()
                .then_some(OfferedJob { id, spec, job })
        })
        .collect();
    jobs.sort_by_key(|offered| {
        let spec = offered.spec;
        (
            std::cmp::Reverse(spec.priority),
            spec.accepted_ms + spec.deadline.map_or(0, |d| d.as_millis() as u64),
            offered.id.clone(),
        )
    });
    jobs
}

/// Notes the quota that tasks without a place lack, if it is quota that they lack.
fn note_lacking(
    state: &mut HolderState,
    seat: &Versioned<SeatRecord>,
    spec: &JobSpec,
    tasks: usize,
    free: &Free,
) {
    let quota = Quota::from(&spec.per_task);
    let budget = seat
        .value
        .budgets
        .get(&spec.team)
        .copied()
        .unwrap_or_default();
    let used = free.used.get(&spec.team).copied().unwrap_or_default();
    let is_gang = spec.kind == JobKind::Gang;
    let next = if is_gang {
        quota.times(tasks as f64)
    } else {
        quota
    };
    if tasks == 0 || budget.covers(&used.plus(&next)) {
        return;
    }
    let wanted = used.plus(&quota.times(tasks as f64));
    let lacking = state.lacking.entry(spec.team.clone()).or_default();
    *lacking = lacking.max(&wanted.minus(&budget).at_least_zero());
}

/// Whether a placement of the job is conditional on all of its run records.
pub(super) fn depends_on_all_records(spec: &JobSpec, changes_per_transaction: usize) -> bool {
    spec.is_zone_bound() && ZoneScope::of(spec, changes_per_transaction) == ZoneScope::WholeJob
}

impl Node {
    /// Free room on our machines, as far as it may be used now.
    fn slots(&self, state: &HolderState, cache: &StateCache, now: Instant) -> Vec<placement::Slot> {
        let mut slots = Vec::new();
        let now_ms = self.config.now_ms();
        let quiet = self.config.worker_report.mul_f64(1.5);
        let patience = self.config.deaf_after();
        let blocks = self
            .own_blocks(cache)
            .filter(|(_, kept)| !kept.value.frozen);
        for (id, usage) in blocks.flat_map(|(_, kept)| &kept.value.machines) {
            let (Some(view), Some(record)) = (state.views.get(id), cache.machines.get(id)) else {
                continue;
            };
            let Some(kind) = cache.machine_type(&record.kind) else {
                continue;
            };
            if *usage == MachineUse::Frozen
                || !view.reported
                || view.silent(now) > quiet
                || view.unreachable
                || view.unsettled.is_some()
                || view.leaves_at.is_some()
                || state.is_suspect(view, now)
                || view.is_deaf(patience, now)
            {
                continue;
            }
            let mut room = kind.size;
            if let Some(load) = cache.on_machine.get(id) {
                room -= load.taken;
                room += view.freed(load);
            }
            if room.cpus < AMOUNT_SLACK {
                continue;
            }
            let age = Duration::from_millis(now_ms.saturating_sub(record.rented_ms));
            slots.push(placement::Slot {
                group: 0,
                machine: id.clone(),
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                room,
                size: kind.size,
                fetch_gb_per_s: kind.fetch_gb_per_s,
                speed: view.speed,
                images: view.images(),
                leaves_in: (*usage == MachineUse::Marked)
                    .then(|| self.config.tuning.paid.left(age)),
            });
        }
        slots
    }

    pub(super) fn place_offers(
        &self,
        state: &mut HolderState,
        cache: &StateCache,
        seat: &Versioned<SeatRecord>,
        now: Instant,
        changes: &mut Changes,
    ) {
        state.offers.retain(|_, offer| offer.until > now);
        state.lacking.clear();
        if state.offers.is_empty() {
            return;
        }
        // Also those that are still leased to the process before us: their tasks go on, and
        // our budgets count them. By our own blocks alone, a restarted process used what
        // was in use already.
        let machines = cache.machines_of(&self.config.node);
        let mut free = Free {
            slots: self.slots(state, cache, now),
            used: cache.quota_used(machines),
        };
        for offered in offered_jobs(state, cache) {
            let mut tasks = offered.unplaced(state, changes);
            if state.failing.is_probed(offered.id, now) {
                tasks.truncate(usize::from(offered.job.present() == 0));
            }
            if offered.spec.kind == JobKind::Gang && (tasks.is_empty() || !offered.job.may_join()) {
                continue;
            }
            let chosen = self.place_job(state, cache, seat, &offered, &tasks, &mut free);
            let unplaced = tasks.len() - chosen.len();
            note_lacking(state, seat, offered.spec, unplaced, &free);
            self.note_placements(state, cache, &offered, chosen, &free.slots, changes);
        }
    }

    /// Slots for the tasks of one job that was offered, as far as room and quota last;
    /// for those of a gang all or none.
    fn place_job(
        &self,
        state: &HolderState,
        cache: &StateCache,
        seat: &Versioned<SeatRecord>,
        offered: &OfferedJob<'_>,
        tasks: &[u32],
        free: &mut Free,
    ) -> Vec<(u32, usize)> {
        let OfferedJob { id, spec, job } = *offered;
        let scope = ZoneScope::of(spec, self.config.state.txn_ops);
        if zones::needs_home(spec, scope) {
            return Vec::new();
        }
        let gang = spec.kind == JobKind::Gang;
        let before = gang.then(|| free.clone());
        let budgets = &seat.value.budgets;
        let mut team = TeamUse {
            used: free.used.get(&spec.team).copied().unwrap_or_default(),
            budget: budgets.get(&spec.team).copied().unwrap_or_default(),
        };
        let mut chosen = Vec::with_capacity(tasks.len());
        for (tasks, constraint) in zones::constrained_parts(cache, job, scope, tasks) {
            let slots = &mut free.slots;
            let part = if gang && spec.one_zone && constraint.is_open() {
                self.choose_zone(&state.views, (id, job), tasks, slots, &mut team)
            } else {
                self.choose_slots(&state.views, (id, job), tasks, slots, &mut team, constraint)
            };
            chosen.extend(part);
        }
        free.used.insert(spec.team.clone(), team.used);
        if let Some(before) = before
            && chosen.len() < tasks.len()
        {
            // A gang's part is placed whole or not at all.
            *free = before;
            return Vec::new();
        }
        chosen
    }

    /// Notes in the round's changes that these tasks are placed, and the starts that
    /// follow once that is committed.
    fn note_placements(
        &self,
        state: &HolderState,
        cache: &StateCache,
        offered: &OfferedJob<'_>,
        chosen: Vec<(u32, usize)>,
        slots: &[placement::Slot],
        changes: &mut Changes,
    ) {
        let OfferedJob { id, spec, job } = *offered;
        for (task, at) in chosen {
            let machine = &slots[at].machine;
            let (Some(view), Some((block, kept))) =
                (state.views.get(machine), self.own_block_of(cache, machine))
            else {
                continue;
            };
            let session = view.session;
            let change = changes.of(id, job, task);
            if !self.has_condition_for(change, job, block) {
                continue;
            }
            let attempt = match spec.kind {
                JobKind::Gang => job.gang_attempt(),
                JobKind::Array | JobKind::Service => change.record.next_attempt(task),
            };
            change.record.place(task, machine.clone(), session, attempt);
            change.places = true;
            change.fenced = true;
            change.blocks.insert(block, kept.revision);
            let task = TaskId::new(id.clone(), task);
            let start = Command::Start { task, attempt };
            change.starts.push((machine.clone(), session, start));
        }
    }

    /// As [`Self::choose_slots`] for a gang that is bound to one zone and has no task
    /// anywhere yet: the first zone that has room for all of them.
    fn choose_zone(
        &self,
        views: &BTreeMap<MachineId, View>,
        (id, job): (&JobId, &state_cache::Job),
        tasks: &[u32],
        slots: &mut Vec<placement::Slot>,
        team: &mut TeamUse,
    ) -> Vec<(u32, usize)> {
        let Some(spec) = job.spec() else {
            return Vec::new();
        };
        let found: BTreeSet<ZoneName> = slots.iter().map(|slot| slot.zone.clone()).collect();
        for zone in found {
            let before = (slots.clone(), team.used);
            let mut only = ZoneConstraint::of_job(spec);
            only.confine(zone);
            let chosen = self.choose_slots(views, (id, job), tasks, slots, team, only);
            if chosen.len() == tasks.len() {
                return chosen;
            }
            (*slots, team.used) = before;
        }
        Vec::new()
    }

    /// Whether a transaction that writes this record can be conditional on one more
    /// block, beside its seat, spec, fate and the job's records.
    pub(super) fn has_condition_for(
        &self,
        change: &JobChange,
        job: &state_cache::Job,
        block: BlockId,
    ) -> bool {
        let changes = self.config.state.txn_ops;
        let records = match job.spec() {
            Some(spec) if depends_on_all_records(spec, changes) => spec.records() as usize,
            _ => 1,
        };
        let most = (CONDITIONS_PER_CHANGE * changes).saturating_sub(3 + records);
        change.blocks.contains_key(&block) || change.blocks.len() < most.max(1)
    }

    /// A slot for each of the tasks, as far as room and budget last.
    fn choose_slots(
        &self,
        views: &BTreeMap<MachineId, View>,
        (id, job): (&JobId, &state_cache::Job),
        tasks: &[u32],
        slots: &mut [placement::Slot],
        team: &mut TeamUse,
        mut constraint: ZoneConstraint,
    ) -> Vec<(u32, usize)> {
        let Some(spec) = job.spec() else {
            return Vec::new();
        };
        let now = Instant::now();
        let factor = lock(&self.learning).factor(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut admits = |slot: &placement::Slot| {
            let after = team.used.plus(&quota);
            let admitted = team.budget.covers(&after)
                && constraint.admits(&slot.zone)
                && views
                    .get(&slot.machine)
                    .is_some_and(|view| !view.refuses(id, now));
            if admitted {
                team.used = after;
                constraint.add(&slot.zone);
            }
            admitted
        };
        // A task that was placed before may still be listed by a machine, which
        // would refuse it: such tasks look at each machine by themselves.
        let (again, fresh): (Vec<u32>, Vec<u32>) = tasks.iter().partition(|task| {
            job.chunks.get(&(**task / keys::CHUNK)).is_some_and(|kept| {
                kept.value.before.contains_key(task) || kept.value.placed.contains_key(task)
            })
        });
        let mut chosen = Vec::with_capacity(tasks.len());
        for task in again {
            let task_id = TaskId::new(id.clone(), task);
            let at = placement::choose(spec, slots, factor, |slot| {
                let listed = views
                    .get(&slot.machine)
                    .is_some_and(|view| view.tasks.contains_key(&task_id));
                !listed
                    && views
                        .get(&slot.machine)
                        .is_some_and(|view| !view.refuses(id, now))
            });
            if let Some(at) = at
                && admits(&slots[at])
            {
                slots[at].put(spec);
                chosen.push((task, at));
            }
        }
        let filled = placement::fill(spec, slots, factor, fresh.len(), admits);
        chosen.extend(fresh.into_iter().zip(filled));
        chosen
    }
}
