//! The in-memory state that the fleet manager keeps between its passes.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::{
    draining::DrainingMachines,
    probes::IndirectProbe,
    provisioning_options::{CapacityRefusal, ProvisionTarget},
};
use crate::storage::{ControllerName, Incarnation, MachineId, ProvisionId};

/// The fleet manager's part of the leader's state, protected by the same lock. An election
/// resets all of it except [`provision_count`](Self::provision_count).
#[derive(Debug, Default)]
pub struct FleetState {
    /// Machines chosen for scale-in, each to be released at the end of its paid period.
    pub draining_machines: DrainingMachines,
    /// Machine types and zones in which the cloud has recently refused to provision machines.
    pub(super) refused_targets: BTreeMap<ProvisionTarget, CapacityRefusal>,
    /// Largest number of machines that the cloud refused in one request since the remedial
    /// rule was last evaluated. That rule requests them from other targets.
    pub(super) unfilled_machines: u32,
    /// Provision requests that await the cloud's response.
    pub(super) requests_in_flight: BTreeSet<ProvisionId>,
    /// Earliest time at which each failed provision request may be sent again.
    pub(super) next_attempt_at: BTreeMap<ProvisionId, Instant>,
    /// Number of names for machine groups that this process has generated.
    pub(in crate::coordination::leader) provision_count: u64,
    /// When the miss-rate band was last evaluated.
    pub(super) last_band_evaluation: Option<Instant>,
    /// When the remedial rule was last evaluated; `None` if an evaluation is due.
    pub(super) last_remedial_evaluation: Option<Instant>,
    /// When the cloud's catalog was last read.
    pub(super) last_catalog_poll: Option<Instant>,
    /// When the cloud's list of machines was last read.
    pub(super) last_inventory_poll: Option<Instant>,
    /// Machines that can take no tasks now, as found by the last inspection.
    pub(super) unusable_machines: BTreeSet<MachineId>,
    /// Machines on which several jobs have failed, with the time when this was first seen.
    pub(super) quarantined_since: BTreeMap<MachineId, Instant>,
    /// Unresponsive machines that all controllers are probing, or have recently found running,
    /// with the time until which no further verification is started.
    pub(super) verifying_until: BTreeMap<MachineId, Instant>,
    /// Probes of machines whose heartbeats reach another controller instead of their owner.
    pub(super) indirect_probes: BTreeMap<MachineId, IndirectProbe>,
    /// Controllers that have recently lost contact with the machines of a shard that they own,
    /// with the time of the last loss. They are given no further shards for a while.
    pub avoided_owners: BTreeMap<ControllerName, Instant>,
    /// Machines that the cloud lists but that have no record, with the time when this was
    /// first seen.
    pub(super) unknown_since: BTreeMap<MachineId, Instant>,
    /// Released machines, with the time of their release. The cloud never reuses a machine's
    /// name, so a message from one of these is a delayed duplicate.
    pub(super) released_at: BTreeMap<MachineId, Instant>,
    /// When agents' addresses were last written to the machine groups' records.
    pub(super) last_address_write: Option<Instant>,
}

impl FleetState {
    /// Returns a name for a machine group that has never been used before. It consists of the
    /// process's incarnation, which each process draws at random, and a counter.
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
