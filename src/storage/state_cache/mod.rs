//! The state cache: the replica of the state service's live set (see
//! [`LIVE_PREFIXES`](crate::storage::keys::LIVE_PREFIXES)) that every controller keeps.
//!
//! Changes arrive from the reads of changes, and earlier from the controller's own commits. They
//! may arrive in any order and more than once: each entry keeps its revision, and a change that
//! the cache has passed sets nothing, since its key may have been removed meanwhile. `Store`
//! applies the changes; all background tasks read the cache.

mod cancellations;
mod changes;
mod job;
mod machine_load;
mod machines;
mod outcomes;
mod queries;
mod runs;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    hash::{BuildHasherDefault, DefaultHasher},
};

pub use job::Job;
pub use machine_load::{MachineLoad, PlacedTask};

use crate::storage::{
    ids::{ControllerName, Incarnation, JobId, MachineId, ProvisionId, Revision, ShardId},
    records::{
        AllocationRecord, CatalogRecord, CommonVersionRecord, ControllerRecord, LeaderRecord,
        MachineGroupRecord, MachineRecord, OutcomeRecord, ProvisionRecord, ShardRecord,
    },
};

/// A map whose iteration order is the same in every run. Plans depend on the order, so a
/// randomly seeded map would make test results irreproducible.
type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The revision of the change that set the value.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// The shard that a machine is in, with its owner.
#[derive(Clone, Debug)]
struct ShardLease {
    shard: ShardId,
    controller: ControllerName,
    owner: Incarnation,
    /// The revision of the change that gave the machine to this owner.
    since: Revision,
}

/// The replica of the live set, with indexes over it.
#[derive(Debug, Default)]
pub struct StateCache {
    /// The revision up to which the watch has delivered every change.
    pub revision: Revision,
    /// Jobs that have any key in the live set.
    pub jobs: HashMap<JobId, Job>,
    /// The controllers' quota allocations.
    pub allocations: BTreeMap<ControllerName, Versioned<AllocationRecord>>,
    /// The shards, each with its owner.
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    /// The machine groups, by the name of their record.
    pub machine_groups: BTreeMap<ProvisionId, Versioned<MachineGroupRecord>>,
    /// The machines of all machine groups.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Provision requests whose result is not recorded yet.
    pub provision_requests: BTreeMap<ProvisionId, Versioned<ProvisionRecord>>,
    /// The live controllers.
    pub controllers: BTreeMap<ControllerName, Versioned<ControllerRecord>>,
    /// The leader, while its lease lasts.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The machine types that the cloud offers.
    pub catalog: Option<Versioned<CatalogRecord>>,
    /// The protocol version that all controllers support; `None` if none has been written yet.
    pub common_version: Option<Versioned<CommonVersionRecord>>,
    /// Placed tasks by machine, with the sums of their resources.
    pub machine_loads: HashMap<MachineId, MachineLoad>,
    /// Jobs with tasks that are neither present nor done.
    pub waiting: BTreeSet<JobId>,
    /// Jobs that are cancelled, or done, and whose keys are still to be removed.
    pub pending_cleanup: BTreeSet<JobId>,
    /// The shard and owner of each machine that is in a shard.
    leases: HashMap<MachineId, ShardLease>,
    /// Jobs that a peer has reported as cancelled, with the revision that the peer had seen.
    /// Kept until the watch has delivered that revision.
    peer_cancelled: BTreeMap<JobId, Revision>,
    /// Outcomes that were delivered or looked up.
    outcomes: HashMap<JobId, OutcomeRecord>,
    /// The jobs in `outcomes`, oldest entry first.
    outcome_order: VecDeque<JobId>,
    /// Keys that this controller has deleted, with the revision of the deletion. Kept until the
    /// watch has passed that revision.
    own_deletions: HashMap<String, Revision>,
}

#[cfg(test)]
mod tests;
