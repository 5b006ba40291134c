//! What scaling, repair and the calls to the cloud keep between passes of the fleet manager.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::{
    draining::DrainingMachines,
    market::{CapacityRefusal, ProvisionTarget},
    probes::IndirectProbe,
};
use crate::storage::{ControllerName, Incarnation, MachineId, ProvisionId};

/// A part of the leader's state, under the same lock; empty after an election but for
/// [`provision_count`](Self::provision_count).
#[derive(Debug, Default)]
pub struct FleetState {
    /// To be released, each at the end of its paid period.
    pub draining_machines: DrainingMachines,
    /// What the cloud has lately refused to provision.
    pub(super) refused: BTreeMap<ProvisionTarget, CapacityRefusal>,
    /// Machines that a round asked for and no place had: asked for elsewhere.
    pub(super) unfilled: u32,
    /// Provision requests that await the cloud's answer.
    pub(super) in_flight: BTreeSet<ProvisionId>,
    /// When provision requests that failed may be sent again.
    pub(super) next_try: BTreeMap<ProvisionId, Instant>,
    /// Names of provision requests that this process has used.
    pub(in crate::coordination::leader) provision_count: u64,
    /// When the miss-rate band was evaluated last.
    pub(super) last_round: Option<Instant>,
    /// When the remedial rule was evaluated last; none: it is due.
    pub(super) last_remedial: Option<Instant>,
    /// When the cloud's catalog was read last.
    pub(super) last_catalog: Option<Instant>,
    /// When the cloud's list of machines was read last.
    pub(super) last_inventory: Option<Instant>,
    /// Machines that no task is routed to now.
    pub(super) refusing: BTreeSet<MachineId>,
    /// Machines on which several jobs have failed, since when.
    pub(super) quarantined_since: BTreeMap<MachineId, Instant>,
    /// Unresponsive machines being probed by all controllers, or lately found up; until when
    /// they are left alone.
    pub(super) verifying: BTreeMap<MachineId, Instant>,
    /// Machines heard by others than their owner, and who reaches them.
    pub(super) indirect_probes: BTreeMap<MachineId, IndirectProbe>,
    /// Controllers that have lost shards of theirs, since when.
    pub avoided_owners: BTreeMap<ControllerName, Instant>,
    /// Machines that the cloud lists and no record names, since when.
    pub(super) unknown: BTreeMap<MachineId, Instant>,
    /// When machines were released. Names are never used again: what speaks under one of
    /// these is a copy.
    pub(super) released: BTreeMap<MachineId, Instant>,
    /// When agents' addresses were written last.
    pub(super) last_addresses: Option<Instant>,
}

impl FleetState {
    /// A name for a machine group that has never been used: the incarnation is drawn at
    /// random for each process.
    pub(super) fn next_provision_id(
        &mut self,
        prefix: &str,
        incarnation: Incarnation,
    ) -> ProvisionId {
        self.provision_count += 1;
        ProvisionId::new(format!(
            "{prefix}-{:016x}-{}",
            incarnation.0, self.provision_count
        ))
    }
}
