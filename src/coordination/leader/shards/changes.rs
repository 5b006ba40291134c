//! What a shard plan changes, and the transaction that carries it out.

use std::collections::BTreeMap;

use super::Targets;
use crate::storage::{
    ControllerName, Revision, ShardId, StateCache,
    client::Transaction,
    keys,
    records::{AllocationRecord, ShardRecord},
};

/// The records that change in one pass, all of them in one commit.
#[derive(Debug, Default)]
pub struct ShardPlanChanges {
    /// Quota allocations by their controller.
    pub allocations: BTreeMap<ControllerName, AllocationRecord>,
    /// Shards with their owners and machines.
    pub shards: BTreeMap<ShardId, ShardRecord>,
    /// What the controllers' budgets should be, of teams of which some lacks quota. They
    /// are sent, not written.
    pub targets: Targets,
}

impl ShardPlanChanges {
    /// Whether no record changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.allocations.is_empty() && self.shards.is_empty()
    }

    /// Whether nobody waits for it: machines change their use within their shards, or
    /// are out of them since they are terminated.
    #[must_use]
    pub fn can_wait(&self, cache: &StateCache) -> bool {
        let changes_use_only = |(id, shard): (&ShardId, &ShardRecord)| {
            let known = cache.shards.get(id);
            known.is_some_and(|entry| has_same_lease(cache, &entry.value, shard))
        };
        self.allocations.is_empty() && self.shards.iter().all(changes_use_only)
    }

    /// The commit that carries it out, on condition that the records are still
    /// those of the cache.
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

/// Whether a shard keeps its owner, gets no machines and loses only terminated ones.
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
