//! Which controller holds which machines, with what part of each team's limit.
//!
//! Machines are leased in shards of bounded size; what a controller may use of
//! the teams' limits stands in its allocation, over all its shards. A placement is
//! conditional on both records.
//!
//! Safety rests on one rule: what is taken away takes effect by a commit, and
//! only what the cache shows after that commit is given to others. Placements
//! are conditional on their allocation's and shard's records, so once the cache has
//! passed these records' revisions, an allocation's use of a team's limit can only grow
//! up to the budget in it. At any time the sum over allocations of max(budget, use),
//! plus the use on machines of no allocation, stays within the limit.

mod quota_division;

use std::collections::{BTreeMap, BTreeSet};

pub use quota_division::Targets;

use super::routing::QuotaDemand;
use crate::storage::{
    ControllerName, Incarnation, MachineId, Quota, Revision, ShardId, StateCache, Team, TeamName,
    ZoneName,
    client::Transaction,
    keys,
    records::{AllocationRecord, MachineUse, ShardRecord},
};

/// Machines in a shard at most: about 1 KiB of a record, and few machines whose
/// token rises when one of them is marked or joins.
pub const SHARD_SIZE: usize = 48;

/// What the plan takes into account beside the cache.
#[derive(Debug, Default)]
pub struct ShardPlanInputs {
    /// Shards to be leased to another controller, which are cordoned first.
    pub moving: BTreeMap<ShardId, ControllerName>,
    /// Machines that stay cordoned.
    pub releasing: BTreeSet<MachineId>,
    /// The machines that are draining.
    pub draining_machines: BTreeSet<MachineId>,
    /// Machines whose owner has lost them while this controller hears them.
    pub owner_unreachable: BTreeMap<MachineId, ControllerName>,
    /// Controllers that have lately lost machines of theirs: they get no new ones
    /// as long as there are others.
    pub avoided_owners: BTreeSet<ControllerName>,
    /// Quota that a controller lacks for tasks that it has room for.
    pub deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Quota that a controller is about to need beside what it uses, for tasks that
    /// begin together at several of them. Taken away, it would be lacking next, and
    /// budgets would go to and fro.
    pub reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Records that one commit may change.
    pub max_changes: usize,
    /// Controllers transfer budgets to each other: the plan names targets in place of
    /// taking unused budget away.
    pub controllers_transfer: bool,
    /// What is free on each controller's machines.
    pub free: BTreeMap<ControllerName, Quota>,
    /// Quota of tasks that are under way to controllers.
    pub in_flight: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks with room that lack quota, the most pressing first.
    pub demand: Vec<QuotaDemand>,
}

/// A pass needs at least this many changes: a machine that moves between two shards
/// takes budget from one allocation to another.
const MIN_CHANGES: usize = 4;

struct ShardPlan<'a> {
    cache: &'a StateCache,
    allocations: BTreeMap<ControllerName, AllocationRecord>,
    shards: BTreeMap<ShardId, ShardRecord>,
    alive: Vec<ControllerName>,
    avoided_owners: &'a BTreeSet<ControllerName>,
    /// Shards and allocations changed in this pass, together at most `most`; what is left
    /// comes in the next. Allocations come after shards, so that a commit of five changes
    /// gets on with both.
    touched: BTreeSet<ShardId>,
    touched_allocations: BTreeSet<ControllerName>,
    max_changes: usize,
    load: BTreeMap<ControllerName, usize>,
    targets: Targets,
}

/// The records that change in one pass, all of them in one commit.
#[derive(Debug, Default)]
pub struct ShardPlanChanges {
    pub allocations: BTreeMap<ControllerName, AllocationRecord>,
    pub shards: BTreeMap<ShardId, ShardRecord>,
    /// What the controllers' budgets should be, of teams of which some lacks quota. They
    /// are told, not written.
    pub targets: Targets,
}

impl ShardPlanChanges {
    pub fn is_empty(&self) -> bool {
        self.allocations.is_empty() && self.shards.is_empty()
    }

    /// Whether nobody waits for it: machines change their use within their shards, or
    /// are out of them since they are gone.
    pub fn can_wait(&self, cache: &StateCache) -> bool {
        let is_same_lease = |id: &ShardId, shard: &ShardRecord| {
            cache.shards.get(id).is_some_and(|entry| {
                let old = &entry.value;
                let has_new = shard.machines.keys().any(|m| !old.machines.contains_key(m));
                let is_gone = |m: &MachineId| {
                    shard.machines.contains_key(m) || !cache.machines.contains_key(m)
                };
                (&old.controller, old.owner, old.cordoned)
                    == (&shard.controller, shard.owner, shard.cordoned)
                    && !has_new
                    && old.machines.keys().all(is_gone)
            })
        };
        self.allocations.is_empty()
            && self
                .shards
                .iter()
                .all(|(id, shard)| is_same_lease(id, shard))
    }

    /// The commit that carries it out, on condition that the records are still
    /// those of the cache.
    pub fn transaction(&self, cache: &StateCache) -> Transaction {
        let mut transaction = Transaction::default();
        for (controller, allocation) in &self.allocations {
            let revision = cache
                .allocations
                .get(controller)
                .map_or(Revision(0), |entry| entry.revision);
            transaction = transaction
                .require(keys::allocation(controller), revision)
                .set(keys::allocation(controller), allocation);
        }
        for (id, shard) in &self.shards {
            let revision = cache
                .shards
                .get(id)
                .map_or(Revision(0), |entry| entry.revision);
            transaction = transaction
                .require(keys::shard(*id), revision)
                .set(keys::shard(*id), shard);
        }
        transaction
    }
}

/// What changes in this pass; empty when all is well.
pub fn plan(cache: &StateCache, teams: &[Team], inputs: &ShardPlanInputs) -> ShardPlanChanges {
    // Every record must be one that the cache has fully caught up with.
    if cache
        .allocations
        .values()
        .any(|entry| entry.revision > cache.revision)
        || cache
            .shards
            .values()
            .any(|entry| entry.revision > cache.revision)
    {
        return ShardPlanChanges::default();
    }
    let mut load = BTreeMap::new();
    for entry in cache.shards.values() {
        *load.entry(entry.value.controller.clone()).or_default() += entry.value.machines.len();
    }
    let allocations = cache
        .allocations
        .iter()
        .map(|(controller, entry)| (controller.clone(), entry.value.clone()));
    let shards = cache
        .shards
        .iter()
        .map(|(id, entry)| (*id, entry.value.clone()));
    let mut plan = ShardPlan {
        cache,
        allocations: allocations.collect(),
        shards: shards.collect(),
        alive: cache.controllers.keys().cloned().collect(),
        avoided_owners: &inputs.avoided_owners,
        touched: BTreeSet::new(),
        touched_allocations: BTreeSet::new(),
        max_changes: inputs.max_changes.max(MIN_CHANGES),
        load,
        targets: Targets::default(),
    };
    plan.assign_allocations();
    plan.lease_unowned();
    plan.move_shards(inputs);
    plan.hand_off_unreachable(inputs);
    plan.set_machine_uses(inputs);
    plan.remove_terminated();
    plan.assign_new_machines();
    plan.divide_quota(teams, inputs);
    plan.changed()
}

impl ShardPlan<'_> {
    /// Whether these may be changed in this pass, all of them; they then count.
    fn touch_all(&mut self, shards: &[ShardId], allocations: &[&ControllerName]) -> bool {
        let mut new = shards.to_vec();
        new.retain(|id| !self.touched.contains(id));
        new.dedup();
        let touched_allocations = allocations
            .iter()
            .filter(|controller| !self.touched_allocations.contains(**controller));
        let count = self.touched.len()
            + self.touched_allocations.len()
            + new.len()
            + touched_allocations.count();
        if count > self.max_changes {
            return false;
        }
        self.touched.extend(new);
        self.touched_allocations
            .extend(allocations.iter().map(|controller| (*controller).clone()));
        true
    }

    fn touch(&mut self, id: ShardId) -> bool {
        self.touch_all(&[id], &[])
    }

    fn touch_allocation(&mut self, controller: &ControllerName) -> bool {
        self.touch_all(&[], &[controller])
    }

    fn incarnation(&self, controller: &ControllerName) -> Option<Incarnation> {
        Some(self.cache.controllers.get(controller)?.value.incarnation)
    }

    /// Each living process holds its controller's allocation; a dead one holds nothing, and
    /// its budgets are void. This alone fences all placements of the old process.
    fn assign_allocations(&mut self) {
        for (controller, entry) in &self.cache.controllers {
            let owner = Some(entry.value.incarnation);
            let known = self.allocations.get(controller);
            if known.is_none_or(|allocation| allocation.owner != owner)
                && self.touch_allocation(controller)
            {
                self.allocations
                    .entry(controller.clone())
                    .or_default()
                    .owner = owner;
            }
        }
        let dead = self.allocations.iter().filter(|(controller, allocation)| {
            !self.cache.controllers.contains_key(*controller) && allocation.owner.is_some()
        });
        let dead: Vec<ControllerName> = dead.map(|(controller, _)| controller.clone()).collect();
        for controller in dead {
            if self.touch_allocation(&controller)
                && let Some(allocation) = self.allocations.get_mut(&controller)
            {
                allocation.owner = None;
                allocation.budgets.clear();
            }
        }
    }

    /// The living controller for machines of this zone: one of the zone, else
    /// the one with the fewest machines.
    fn owner_for_zone(&self, zone: &ZoneName) -> Option<ControllerName> {
        self.alive
            .iter()
            .filter_map(|controller| {
                let near = self.cache.controllers.get(controller)?.value.zone == *zone;
                let load = self.load.get(controller).copied().unwrap_or(0);
                Some((
                    self.avoided_owners.contains(controller),
                    !near,
                    load,
                    controller,
                ))
            })
            .min()
            .map(|(_, _, _, controller)| controller.clone())
    }

    fn hand_over(&mut self, id: ShardId, to: &ControllerName) {
        let Some(owner) = self.incarnation(to) else {
            return;
        };
        if let Some(shard) = self.shards.get_mut(&id) {
            let count = shard.machines.len();
            if let Some(load) = self.load.get_mut(&shard.controller) {
                *load = load.saturating_sub(count);
            }
            *self.load.entry(to.clone()).or_default() += count;
            shard.controller = to.clone();
            shard.owner = owner;
            shard.cordoned = false;
        }
    }

    /// Whether machines that move to a controller raise its budgets, as they bring tasks
    /// along. It may not have read yet what came to it, and places within the budgets
    /// that it knows: only a change of its allocation voids that. By the larger of budget and
    /// use alone, what it places then would be granted to others as well.
    fn raises_budgets(&self, machines: &[MachineId]) -> bool {
        !self.cache.quota_used(machines.iter()).is_empty()
    }

    /// Whether the controller's allocation may be changed at all: the living process holds it.
    fn has_current_allocation(&self, controller: &ControllerName) -> bool {
        let owner = self.incarnation(controller);
        let allocation = self.allocations.get(controller);
        owner.is_some() && allocation.is_some_and(|allocation| allocation.owner == owner)
    }

    /// Raises a controller's budgets by what is used on machines that come to it. What is
    /// used there can only shrink meanwhile: nobody places on them.
    fn raise_budgets(&mut self, to: &ControllerName, machines: &[MachineId]) {
        let moved = self.cache.quota_used(machines.iter());
        if let Some(allocation) = self.allocations.get_mut(to) {
            for (team, used) in moved {
                let budget = allocation.budgets.entry(team).or_default();
                *budget = budget.plus(&used);
            }
        }
    }

    /// Whether a shard and its machines may move to a controller in this pass, with the
    /// allocations that change for it; they then count.
    fn touch_move(
        &mut self,
        shards: &[ShardId],
        from: Option<&ControllerName>,
        to: &ControllerName,
        machines: &[MachineId],
    ) -> bool {
        let raises = self.raises_budgets(machines);
        if raises && !self.has_current_allocation(to) {
            return false;
        }
        let mut allocations: Vec<&ControllerName> = from.into_iter().collect();
        if raises {
            allocations.push(to);
        }
        self.touch_all(shards, &allocations)
    }

    fn machines_in(&self, id: ShardId) -> Vec<MachineId> {
        let shard = self.shards.get(&id);
        let machines = shard.into_iter().flat_map(|shard| shard.machines.keys());
        machines.cloned().collect()
    }

    /// Shards whose owner's allocation is fenced, as the cache shows: a restarted
    /// process gets its controller's shards with new tokens, those of a dead one go to
    /// living controllers.
    fn lease_unowned(&mut self) {
        let unowned: Vec<(ShardId, ControllerName)> = self
            .cache
            .shards
            .iter()
            .filter(|(_, entry)| !self.cache.has_current_owner(&entry.value))
            .map(|(id, entry)| (*id, entry.value.controller.clone()))
            .collect();
        for (id, controller) in unowned {
            let allocated_to = self
                .cache
                .allocations
                .get(&controller)
                .and_then(|allocation| allocation.value.owner);
            let own = allocated_to.is_some() && allocated_to == self.incarnation(&controller);
            let target = if own {
                Some(controller)
            } else if allocated_to.is_none() {
                let zone = self.zone_of(id);
                zone.and_then(|zone| self.owner_for_zone(&zone))
                    .or_else(|| self.alive.first().cloned())
            } else {
                // Its allocation passes to another process in this pass.
                None
            };
            let Some(target) = target else { continue };
            if own {
                // Its allocation has kept the budgets for what is on them.
                if self.touch(id) {
                    self.hand_over(id, &target);
                }
                continue;
            }
            let machines = self.machines_in(id);
            if self.touch_move(&[id], None, &target, &machines) {
                self.raise_budgets(&target, &machines);
                self.hand_over(id, &target);
            }
        }
    }

    /// A shard's machines are of one zone, as far as their owners were.
    fn zone_of(&self, id: ShardId) -> Option<ZoneName> {
        let shard = self.shards.get(&id)?;
        let machine = shard
            .machines
            .keys()
            .find_map(|machine| self.cache.machines.get(machine))?;
        Some(machine.zone.clone())
    }

    /// Machines that stand in no machine group have been returned. They do no harm in a
    /// shard, while each change of it voids placements that are under way: they
    /// go when there are several, or when the shard changes anyway.
    fn remove_terminated(&mut self) {
        let mut gone: Vec<ShardId> = Vec::new();
        for (id, shard) in &self.shards {
            let known = |machine| self.cache.machines.contains_key(machine);
            let count = shard.machines.keys().filter(|m| !known(*m)).count();
            let changes = self.touched.contains(id);
            if count > shard.machines.len() / 4 || (count > 0 && changes) {
                gone.push(*id);
            }
        }
        for id in gone {
            if self.touch(id)
                && let Some(shard) = self.shards.get_mut(&id)
            {
                shard
                    .machines
                    .retain(|machine, _| self.cache.machines.contains_key(machine));
            }
        }
    }

    /// Shards leased to another living controller: cordoned first, and moved when
    /// the cache shows them so, since only then what is on them is known for good.
    fn move_shards(&mut self, inputs: &ShardPlanInputs) {
        for (id, entry) in &self.cache.shards {
            let target = inputs.moving.get(id).filter(|target| {
                **target != entry.value.controller
                    && self.alive.contains(target)
                    && self.cache.has_current_owner(&entry.value)
            });
            match target {
                Some(target) if entry.value.cordoned => {
                    let machines: Vec<MachineId> = entry.value.machines.keys().cloned().collect();
                    if !self.touch_move(&[*id], Some(&entry.value.controller), target, &machines) {
                        continue;
                    }
                    self.move_use(&entry.value.controller, &machines);
                    self.raise_budgets(target, &machines);
                    self.hand_over(*id, target);
                }
                wanted => {
                    let cordoned = wanted.is_some();
                    let differs = self.shards.get(id).is_some_and(|b| b.cordoned != cordoned);
                    if differs
                        && self.touch(*id)
                        && let Some(shard) = self.shards.get_mut(id)
                    {
                        shard.cordoned = cordoned;
                    }
                }
            }
        }
    }

    /// The use leaves with machines, so must the budget for it: the old owner
    /// could use it a second time.
    fn move_use(&mut self, from: &ControllerName, machines: &[MachineId]) {
        let moved = self.cache.quota_used(machines.iter());
        if let Some(allocation) = self.allocations.get_mut(from) {
            for (team, used) in moved {
                if let Some(budget) = allocation.budgets.get_mut(&team) {
                    *budget = budget.minus(&used).at_least_zero();
                }
            }
        }
    }

    /// Single machines that their owner has lost go to the one that hears them,
    /// once the cache shows them cordoned.
    fn hand_off_unreachable(&mut self, inputs: &ShardPlanInputs) {
        for (machine, target) in &inputs.owner_unreachable {
            let Some((id, entry)) = self.cache.shard_of(machine) else {
                continue;
            };
            let cordoned = entry.value.machines.get(machine) == Some(&MachineUse::Cordoned);
            if !cordoned
                || entry.value.controller == *target
                || !self.alive.contains(target)
                || !self.cache.has_current_owner(&entry.value)
                || !self.cache.machines.contains_key(machine)
            {
                continue;
            }
            let Some(zone) = self.cache.machines.get(machine).map(|m| m.zone.clone()) else {
                continue;
            };
            let Some(new) = self.shard_with_space(target, &zone) else {
                continue;
            };
            let moved = std::slice::from_ref(machine);
            if !self.touch_move(&[id, new], Some(&entry.value.controller), target, moved) {
                continue;
            }
            self.move_use(&entry.value.controller, moved);
            self.raise_budgets(target, moved);
            if let Some(shard) = self.shards.get_mut(&id) {
                shard.machines.remove(machine);
            }
            self.put_machine(new, target, machine);
        }
    }

    /// A shard of this controller for one more machine of the zone; a new one if
    /// need be.
    fn shard_with_space(&self, controller: &ControllerName, zone: &ZoneName) -> Option<ShardId> {
        let owner = self.incarnation(controller)?;
        let open = self.shards.iter().filter(|(_, shard)| {
            shard.controller == *controller
                && shard.owner == owner
                && !shard.cordoned
                && shard.machines.len() < SHARD_SIZE
        });
        let fitting = open
            .map(|(id, shard)| (*id, shard.machines.len()))
            .filter(|(id, _)| self.zone_of(*id).is_none_or(|other| other == *zone));
        // One that changes in this pass anyway, else the fullest, so that few
        // machines are disturbed.
        fitting
            .max_by_key(|(id, count)| (self.touched.contains(id), *count))
            .map(|(id, _)| id)
            .or_else(|| {
                let last = self.shards.keys().next_back();
                Some(last.map_or(ShardId(1), |id| ShardId(id.0 + 1)))
            })
    }

    fn put_machine(&mut self, id: ShardId, controller: &ControllerName, machine: &MachineId) {
        let Some(owner) = self.incarnation(controller) else {
            return;
        };
        let shard = self.shards.entry(id).or_insert_with(|| ShardRecord {
            controller: controller.clone(),
            owner,
            cordoned: false,
            machines: BTreeMap::new(),
        });
        shard
            .machines
            .insert(machine.clone(), MachineUse::Available);
        *self.load.entry(controller.clone()).or_default() += 1;
    }

    fn assign_new_machines(&mut self) {
        for (machine, record) in &self.cache.machines {
            if self.cache.shard_of(machine).is_some() {
                continue;
            }
            let Some(owner) = self.owner_for_zone(&record.zone) else {
                return;
            };
            let new = std::slice::from_ref(machine);
            if let Some(id) = self.shard_with_space(&owner, &record.zone)
                && self.touch_move(&[id], None, &owner, new)
            {
                self.raise_budgets(&owner, new);
                self.put_machine(id, &owner, machine);
            }
        }
    }

    /// Marks, cordons and uncordons machines.
    fn set_machine_uses(&mut self, inputs: &ShardPlanInputs) {
        let mut changes: Vec<(ShardId, MachineId, MachineUse)> = Vec::new();
        for (id, shard) in &self.shards {
            for (machine, usage) in &shard.machines {
                let owner_unreachable =
                    inputs.owner_unreachable.get(machine).is_some_and(|target| {
                        *target != shard.controller && self.alive.contains(target)
                    });
                let wanted = if owner_unreachable || inputs.releasing.contains(machine) {
                    MachineUse::Cordoned
                } else if inputs.draining_machines.contains(machine)
                    && self.cache.on_machine.contains_key(machine)
                {
                    // One that is idle gets no more offers, which costs no change.
                    MachineUse::Draining
                } else {
                    MachineUse::Available
                };
                if wanted != *usage {
                    changes.push((*id, machine.clone(), wanted));
                }
            }
        }
        for (id, machine, wanted) in changes {
            if self.touch(id)
                && let Some(shard) = self.shards.get_mut(&id)
            {
                shard.machines.insert(machine, wanted);
            }
        }
    }

    fn changed(self) -> ShardPlanChanges {
        let cache = self.cache;
        ShardPlanChanges {
            allocations: self
                .allocations
                .into_iter()
                .filter(|(controller, allocation)| {
                    cache
                        .allocations
                        .get(controller)
                        .is_none_or(|entry| entry.value != *allocation)
                })
                .collect(),
            shards: self
                .shards
                .into_iter()
                .filter(|(id, shard)| {
                    cache
                        .shards
                        .get(id)
                        .is_none_or(|entry| entry.value != *shard)
                })
                .collect(),
            targets: self.targets,
        }
    }
}

#[cfg(test)]
mod tests;
