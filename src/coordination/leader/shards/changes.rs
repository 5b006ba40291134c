//! The changes of a shard plan, and the transaction that applies them.

use std::collections::BTreeMap;

use super::Targets;
use crate::storage::{
    ControllerName, Revision, ShardId, StateCache,
    client::Transaction,
    keys,
    records::{AllocationRecord, ShardRecord},
};

/// The records that change in one pass, all in one commit.
#[derive(Debug, Default)]
pub struct ShardPlanChanges {
    /// Quota allocations by their controller.
    pub allocations: BTreeMap<ControllerName, AllocationRecord>,
    /// Shard records by the shard's id.
    pub shards: BTreeMap<ShardId, ShardRecord>,
    /// Target budgets of the controllers, for teams with a quota deficit. They are sent to the
    /// controllers and not stored.
    pub targets: Targets,
}

impl ShardPlanChanges {
    /// Whether no record changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.allocations.is_empty() && self.shards.is_empty()
    }

    /// Whether the changes are not urgent: they only change the use of machines within their
    /// shards, or remove terminated machines.
    #[must_use]
    pub fn is_deferrable(&self, cache: &StateCache) -> bool {
        let changes_use_only = |(id, shard): (&ShardId, &ShardRecord)| {
            let known = cache.shards.get(id);
            known.is_some_and(|entry| has_same_lease(cache, &entry.value, shard))
        };
        self.allocations.is_empty() && self.shards.iter().all(changes_use_only)
    }

    /// Returns the transaction that applies the changes, on condition that the records are
    /// unchanged since the cache's revisions of them.
    #[must_use]
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

/// Whether a shard keeps its owner and its cordoned state, gets no machines and loses only
/// terminated ones.
fn has_same_lease(cache: &StateCache, old: &ShardRecord, new: &ShardRecord) -> bool {
    let has_same_owner = old.controller == new.controller && old.owner == new.owner;
    let mut added = new
        .machines
        .keys()
        .filter(|machine| !old.machines.contains_key(*machine));
    let mut removed = old
        .machines
        .keys()
        .filter(|machine| !new.machines.contains_key(*machine));
    has_same_owner
        && old.cordoned == new.cordoned
        && added.next().is_none()
        && removed.all(|machine| !cache.machines.contains_key(machine))
}
