//! The replica of the state service's live set that every controller keeps.
//!
//! Changes arrive from the watch, and from the controller's own commits ahead
//! of it. Each key remembers its revision, so that the two sources may come in
//! any order and twice. `Store` applies the changes; all duties read.

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

/// A map whose order is the same in every run: plans depend on it, and verdicts of
/// tests are to repeat.
type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The change that set the value.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// Who leases a machine.
#[derive(Clone, Debug)]
struct ShardLease {
    shard: ShardId,
    controller: ControllerName,
    owner: Incarnation,
    /// The change with which it came to this owner.
    since: Revision,
}

/// The live set, with indexes over it.
#[derive(Debug, Default)]
pub struct StateCache {
    /// The watch has delivered every change up to here.
    pub revision: Revision,
    /// Jobs of which any key is left.
    pub jobs: HashMap<JobId, Job>,
    /// The controllers' quota allocations.
    pub allocations: BTreeMap<ControllerName, Versioned<AllocationRecord>>,
    /// The shards, each with its owner.
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    /// The machine groups, by the provision request they came with.
    pub machine_groups: BTreeMap<ProvisionId, Versioned<MachineGroupRecord>>,
    /// The machines of all machine groups.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Provision requests that are not concluded.
    pub provision_requests: BTreeMap<ProvisionId, Versioned<ProvisionRecord>>,
    /// The controllers that live.
    pub controllers: BTreeMap<ControllerName, Versioned<ControllerRecord>>,
    /// The leader, while its lease lasts.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The machine types that the cloud offers.
    pub catalog: Option<Versioned<CatalogRecord>>,
    /// What all controllers can read; none: nobody has said yet.
    pub common_version: Option<Versioned<CommonVersionRecord>>,
    /// Placements by machine, with running sums.
    pub on_machine: HashMap<MachineId, MachineLoad>,
    /// Jobs with tasks that are neither placed nor done.
    pub waiting: BTreeSet<JobId>,
    /// Jobs that are cancelled, or done with keys still to be removed.
    pub pending_cleanup: BTreeSet<JobId>,
    /// The lease of each machine that is in a shard.
    leases: HashMap<MachineId, ShardLease>,
    /// Jobs that are cancelled by the word of a peer which has seen this revision;
    /// the watch has not brought it yet.
    peer_cancelled: BTreeMap<JobId, Revision>,
    /// Outcomes that were seen or looked up.
    outcomes: HashMap<JobId, OutcomeRecord>,
    /// The same jobs, the oldest first.
    outcome_order: VecDeque<JobId>,
    /// Keys that we have deleted at a revision which the watch has not passed yet.
    own_deletions: HashMap<String, Revision>,
}

#[cfg(test)]
mod tests;
