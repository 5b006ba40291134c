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
//!
//! [`plan`] is a function of the replica and of its inputs; the leader commits what it returns
//! in one transaction (see `shard_leasing`).

mod changes;
mod inputs;
mod machine_assignment;
mod moves;
mod ownership;
mod quota_division;

use std::collections::{BTreeMap, BTreeSet};

pub use self::{changes::ShardPlanChanges, inputs::ShardPlanInputs, quota_division::Targets};
use crate::storage::{
    ControllerName, MachineId, ShardId, StateCache, Team, ZoneName,
    records::{AllocationRecord, ShardRecord},
    state_cache::Versioned,
};

/// Machines in a shard at most: about 1 KiB of a record, and few machines whose
/// token rises when one of them drains or joins.
pub const SHARD_SIZE: usize = 48;

/// A pass needs at least this many changes: a machine that moves between two shards
/// takes budget from one allocation to another.
const MIN_CHANGES: usize = 4;

/// The records as they are to be after this pass.
struct ShardPlan<'a> {
    cache: &'a StateCache,
    allocations: BTreeMap<ControllerName, AllocationRecord>,
    shards: BTreeMap<ShardId, ShardRecord>,
    alive: Vec<ControllerName>,
    avoided_owners: &'a BTreeSet<ControllerName>,
    /// Shards and allocations changed in this pass, together at most `max_changes`; what is
    /// left comes in the next. Allocations come after shards, so that a commit of five changes
    /// gets on with both.
    touched: BTreeSet<ShardId>,
    touched_allocations: BTreeSet<ControllerName>,
    max_changes: usize,
    /// Machines of each controller's shards.
    load: BTreeMap<ControllerName, usize>,
    targets: Targets,
}

/// What changes in this pass; empty when all is well.
pub fn plan(cache: &StateCache, teams: &[Team], inputs: &ShardPlanInputs) -> ShardPlanChanges {
    if !has_caught_up(cache) {
        return ShardPlanChanges::default();
    }
    let mut plan = ShardPlan::new(cache, inputs);
    plan.assign_allocations();
    plan.lease_unowned();
    plan.move_shards(inputs);
    plan.hand_off_unreachable(inputs);
    plan.set_machine_uses(inputs);
    plan.remove_terminated();
    plan.assign_new_machines();
    plan.divide_quota(teams, inputs);
    plan.into_changes()
}

/// Whether every record is one that the cache has fully caught up with.
fn has_caught_up(cache: &StateCache) -> bool {
    let mut allocations = cache.allocations.values();
    let mut shards = cache.shards.values();
    allocations.all(|entry| entry.revision <= cache.revision)
        && shards.all(|entry| entry.revision <= cache.revision)
}

/// The records' values, without the revisions at which they were written.
fn values<K: Clone + Ord, V: Clone>(records: &BTreeMap<K, Versioned<V>>) -> BTreeMap<K, V> {
    records
        .iter()
        .map(|(key, entry)| (key.clone(), entry.value.clone()))
        .collect()
}

impl<'a> ShardPlan<'a> {
    /// The records as they are.
    fn new(cache: &'a StateCache, inputs: &'a ShardPlanInputs) -> Self {
        let mut load = BTreeMap::new();
        for entry in cache.shards.values() {
            let shard = &entry.value;
            *load.entry(shard.controller.clone()).or_default() += shard.machines.len();
        }
        Self {
            cache,
            allocations: values(&cache.allocations),
            shards: values(&cache.shards),
            alive: cache.controllers.keys().cloned().collect(),
            avoided_owners: &inputs.avoided_owners,
            touched: BTreeSet::new(),
            touched_allocations: BTreeSet::new(),
            max_changes: inputs.max_changes.max(MIN_CHANGES),
            load,
            targets: Targets::default(),
        }
    }

    /// Whether these may be changed in this pass, all of them; they then count.
    fn touch_all(&mut self, shards: &[ShardId], allocations: &[&ControllerName]) -> bool {
        let mut new_shards = shards.to_vec();
        new_shards.retain(|id| !self.touched.contains(id));
        new_shards.dedup();
        let new_allocations = allocations
            .iter()
            .filter(|controller| !self.touched_allocations.contains(**controller));
        let count = self.touched.len()
            + self.touched_allocations.len()
            + new_shards.len()
            + new_allocations.count();
        if count > self.max_changes {
            return false;
        }
        self.touched.extend(new_shards);
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

    /// A shard's machines are of one zone, as far as their owners were.
    fn zone_of(&self, id: ShardId) -> Option<ZoneName> {
        let shard = self.shards.get(&id)?;
        let machine = shard
            .machines
            .keys()
            .find_map(|machine| self.cache.machines.get(machine))?;
        Some(machine.zone.clone())
    }

    fn machines_in(&self, id: ShardId) -> Vec<MachineId> {
        let shard = self.shards.get(&id);
        let machines = shard.into_iter().flat_map(|shard| shard.machines.keys());
        machines.cloned().collect()
    }

    /// The records that differ from those of the cache.
    fn into_changes(self) -> ShardPlanChanges {
        ShardPlanChanges {
            allocations: differing(self.allocations, &self.cache.allocations),
            shards: differing(self.shards, &self.cache.shards),
            targets: self.targets,
        }
    }
}

/// The planned records that are not as they stand in the cache.
fn differing<K: Ord, V: PartialEq>(
    mut planned: BTreeMap<K, V>,
    known: &BTreeMap<K, Versioned<V>>,
) -> BTreeMap<K, V> {
    planned.retain(|key, record| known.get(key).is_none_or(|entry| entry.value != *record));
    planned
}

#[cfg(test)]
mod tests;
