//! Plans which controller owns which machines, and which part of each team's limit it may use.
//!
//! Machines are leased in shards of bounded size. A controller's allocation record has its
//! budgets: the parts of the teams' limits that it may use on all its shards together. A
//! placement is conditional on both the shard's record and the allocation record.
//!
//! Safety depends on one rule: quota is taken away by a commit, and is granted to others only
//! when the cache shows the state after that commit. Placements are conditional on the records
//! of their allocation and shard. Therefore, once the cache has passed the revisions of these
//! records, an allocation's use of a team's limit can only grow up to the allocation's budget.
//! At any time the sum over allocations of max(budget, use), plus the use on machines of no
//! allocation, stays within the limit.
//!
//! [`plan`] is a function of the state cache and its inputs; the leader commits the changes that it
//! returns in one transaction (see `shard_leasing`).

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

/// Maximum number of machines in a shard. It limits the record to about 1 KiB, and the number
/// of machines that get a new fencing token when one of them is drained or added.
pub const SHARD_SIZE: usize = 48;

/// Minimum number of records that a pass may change: moving a machine changes two shards, and
/// two allocations since its budget moves along.
const MIN_CHANGES: usize = 4;

/// The planned records after this pass.
struct ShardPlan<'a> {
    cache: &'a StateCache,
    allocations: BTreeMap<ControllerName, AllocationRecord>,
    shards: BTreeMap<ShardId, ShardRecord>,
    live_controllers: Vec<ControllerName>,
    avoided_owners: &'a BTreeSet<ControllerName>,
    /// Shards and allocations that change in this pass, together at most `max_changes`; other
    /// changes are left for the next pass. Quota is divided after shards have changed, so that
    /// a commit of five changes makes progress with both.
    changed_shards: BTreeSet<ShardId>,
    changed_allocations: BTreeSet<ControllerName>,
    max_changes: usize,
    /// Number of machines in each controller's shards.
    machine_counts: BTreeMap<ControllerName, usize>,
    targets: Targets,
}

/// Returns the changes of this pass, which are empty if nothing is to change.
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

/// Whether the cache has reached the revisions of all shard and allocation records in it.
fn has_caught_up(cache: &StateCache) -> bool {
    let mut allocations = cache.allocations.values();
    let mut shards = cache.shards.values();
    allocations.all(|entry| entry.revision <= cache.revision)
        && shards.all(|entry| entry.revision <= cache.revision)
}

/// Returns the values of records without their revisions.
fn record_values<K: Clone + Ord, V: Clone>(records: &BTreeMap<K, Versioned<V>>) -> BTreeMap<K, V> {
    records
        .iter()
        .map(|(key, entry)| (key.clone(), entry.value.clone()))
        .collect()
}

impl<'a> ShardPlan<'a> {
    /// Creates a plan without changes.
    fn new(cache: &'a StateCache, inputs: &'a ShardPlanInputs) -> Self {
        let mut machine_counts = BTreeMap::new();
        for entry in cache.shards.values() {
            let shard = &entry.value;
            *machine_counts.entry(shard.controller.clone()).or_default() += shard.machines.len();
        }
        Self {
            cache,
            allocations: record_values(&cache.allocations),
            shards: record_values(&cache.shards),
            live_controllers: cache.controllers.keys().cloned().collect(),
            avoided_owners: &inputs.avoided_owners,
            changed_shards: BTreeSet::new(),
            changed_allocations: BTreeSet::new(),
            max_changes: inputs.max_changes.max(MIN_CHANGES),
            machine_counts,
            targets: Targets::default(),
        }
    }

    /// Reserves changes of these shards and allocations, if all of them together fit into this
    /// pass's limit of changes. Returns whether they do. Records that already change in this
    /// pass do not count again.
    fn reserve_changes(&mut self, shards: &[ShardId], allocations: &[&ControllerName]) -> bool {
        let mut new_shards = shards.to_vec();
        new_shards.retain(|id| !self.changed_shards.contains(id));
        new_shards.dedup();
        let new_allocations = allocations
            .iter()
            .filter(|controller| !self.changed_allocations.contains(**controller));
        let count = self.changed_shards.len()
            + self.changed_allocations.len()
            + new_shards.len()
            + new_allocations.count();
        if count > self.max_changes {
            return false;
        }
        self.changed_shards.extend(new_shards);
        self.changed_allocations
            .extend(allocations.iter().map(|controller| (*controller).clone()));
        true
    }

    fn reserve_shard_change(&mut self, id: ShardId) -> bool {
        self.reserve_changes(&[id], &[])
    }

    fn reserve_allocation_change(&mut self, controller: &ControllerName) -> bool {
        self.reserve_changes(&[], &[controller])
    }

    /// Returns the zone of a shard's machines, which are only added to a shard of their own zone;
    /// `None` if no machine of the shard is known.
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

    /// Returns the records that differ from those in the cache.
    fn into_changes(self) -> ShardPlanChanges {
        ShardPlanChanges {
            allocations: changed_records(self.allocations, &self.cache.allocations),
            shards: changed_records(self.shards, &self.cache.shards),
            targets: self.targets,
        }
    }
}

/// Returns the planned records that differ from those in the cache.
fn changed_records<K: Ord, V: PartialEq>(
    mut planned: BTreeMap<K, V>,
    known: &BTreeMap<K, Versioned<V>>,
) -> BTreeMap<K, V> {
    planned.retain(|key, record| known.get(key).is_none_or(|entry| entry.value != *record));
    planned
}

#[cfg(test)]
mod tests;
