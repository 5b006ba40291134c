//! Detects machines that must be released or moved to another owner because they, or the
//! connections to them, have failed, and draining machines that are due for release.
//!
//! In each pass of the fleet manager every machine of every shard is inspected, by its owner's
//! last status and by the heartbeats that reached other controllers (see
//! [`machine_inspection`](super::machine_inspection)). The findings are then evaluated together: a
//! single unresponsive machine has probably hung, while many at once are more likely cut off
//! by a network partition.

use std::sync::Arc;

use tokio::time::Instant;

use super::{
    ReleaseReason,
    machine_inspection::{Findings, UnresponsiveMachine, inspect_machines},
    probes::Verification,
};
use crate::{
    coordination::leader::{Leader, rebalance::move_lost_shards, state::LeaderState},
    storage::{MachineId, StateCache, ZoneName},
};

/// Maximum number of neighbours that are probed with an unresponsive machine, to distinguish a
/// hang from a network partition.
const MAX_NEIGHBOUR_PROBES: usize = 6;

/// Number of unreachable machines in a zone from which on their owners' statuses suffice to
/// distinguish a hang from a network partition, so that no neighbours are probed.
const MIN_UNREACHABLE_AS_EVIDENCE: usize = 2 * MAX_NEIGHBOUR_PROBES;

/// Up to this many machines lost at once are not a mass outage, whatever the size of the fleet.
const MIN_MASS_OUTAGE_THRESHOLD: usize = 2;
/// A mass outage is more than one in this many on-demand machines being unreachable at once.
const MASS_OUTAGE_DIVISOR: usize = 4;
/// A mass outage is also more than one in this many machines being without a command path at once.
const COMMAND_PATH_OUTAGE_DIVISOR: usize = 10;

/// What is known about a zone's other machines when one of its machines is unresponsive.
enum PartitionEvidence {
    /// Most of the zone's machines are unreachable, which indicates a partition, not a hang.
    LikelyPartition,
    /// The machine is verified without probing neighbours.
    NotNeeded,
    /// The neighbours at these addresses are to be probed.
    ProbeNeighbours(Vec<String>),
}

impl Leader {
    /// Inspects all machines, schedules the release of those that have failed and of draining
    /// ones that are due, and decides which shards and machines move to another owner. Returns
    /// machines that seem to be terminated, to be verified by
    /// [`verify_unresponsive`](Self::verify_unresponsive).
    pub(super) fn detect_failures(
        self: &Arc<Self>,
        cache: &StateCache,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<Verification> {
        state
            .releasing
            .retain(|id, _| cache.machines.contains_key(id));
        let mut findings = inspect_machines(&self.context.config, cache, state, now);
        release_without_command_path(cache, &mut findings);
        let verifications = self.begin_verifications(cache, state, &findings, now);
        state.fleet.quarantined_since = findings.quarantined_since;
        self.probe_indirectly(state, findings.indirect_probe_targets, now);
        state.owner_unreachable = move_lost_shards(cache, state, findings.owner_unreachable, now);
        state.fleet.unusable_machines = findings.unusable_machines;
        for finding in findings.releases {
            if state.schedule_release(&finding.machine, finding.reason, now) {
                tracing::info!(machine = %finding.machine, reason = ?finding.reason, "release scheduled");
            }
            state.fleet.draining_machines.remove(&finding.machine);
        }
        state.fleet.draining_machines.refresh(cache);
        verifications
    }

    /// Selects the unresponsive machines that all controllers are to probe now.
    fn begin_verifications(
        &self,
        cache: &StateCache,
        state: &mut LeaderState,
        findings: &Findings<'_>,
        now: Instant,
    ) -> Vec<Verification> {
        let is_mass_outage = is_mass_outage(cache, findings);
        state.fleet.verifying_until.retain(|_, until| *until > now);
        let mut verifications = Vec::new();
        for unresponsive in &findings.unresponsive {
            let is_lease_expired = self.is_agent_lease_expired(unresponsive);
            if (is_mass_outage && !unresponsive.spot && !is_lease_expired)
                || !self.may_verify(state, &unresponsive.machine)
            {
                continue;
            }
            state.fleet.suspend_verification(&unresponsive.machine, now);
            let evidence = if unresponsive.spot || is_lease_expired {
                PartitionEvidence::NotNeeded
            } else {
                partition_evidence(cache, state, findings, &unresponsive.machine)
            };
            let neighbours = match evidence {
                PartitionEvidence::LikelyPartition => continue,
                PartitionEvidence::NotNeeded => Vec::new(),
                PartitionEvidence::ProbeNeighbours(neighbours) => neighbours,
            };
            verifications.push(Verification {
                machine: unresponsive.machine.clone(),
                address: unresponsive.address.clone(),
                neighbours,
            });
        }
        verifications
    }

    /// Returns whether the machine's agent, if it has received no response since its last
    /// heartbeat, has lost its lease and therefore stopped its tasks.
    fn is_agent_lease_expired(&self, unresponsive: &UnresponsiveMachine) -> bool {
        let config = &self.context.config;
        unresponsive.since_heartbeat > config.agent_lease + config.heartbeat_interval
    }

    /// Returns whether the machine may be verified: it is neither being verified nor already
    /// to be released as unresponsive, and the limit on concurrent probes is not reached.
    fn may_verify(&self, state: &LeaderState, machine: &MachineId) -> bool {
        let is_releasing = state
            .releasing
            .get(machine)
            .is_some_and(|release| release.reason() == ReleaseReason::Unresponsive);
        !is_releasing
            && !state.fleet.verifying_until.contains_key(machine)
            && state.fleet.verifying_until.len() < self.context.config.max_concurrent_probes()
    }
}

/// Returns whether many on-demand machines are unreachable at once, which indicates a network
/// partition.
///
/// A single unresponsive machine has probably hung, and releasing it is the quickest way to prove
/// that its tasks are terminated. Machines that are cut off by a partition keep running their tasks
/// until their leases expire, and should not be released before.
/// Spot machines are not counted, and are verified in any case, since the cloud may reclaim many
/// of them at once. Machines reach the threshold for being unresponsive one after the other, so
/// all unreachable machines are counted.
fn is_mass_outage(cache: &StateCache, findings: &Findings<'_>) -> bool {
    let on_demand = cache.machines.values().filter(|record| !record.spot);
    let threshold = MIN_MASS_OUTAGE_THRESHOLD.max(on_demand.count() / MASS_OUTAGE_DIVISOR);
    findings.unreachable_count() > threshold
}

/// Adds the release of machines that no command reaches, unless there are many of them, in which
/// case they are more likely cut off by a network partition.
fn release_without_command_path(cache: &StateCache, findings: &mut Findings<'_>) {
    let lost = std::mem::take(&mut findings.command_path_lost);
    let threshold =
        MIN_MASS_OUTAGE_THRESHOLD.max(cache.machines.len() / COMMAND_PATH_OUTAGE_DIVISOR);
    if lost.len() <= threshold {
        for machine in lost {
            findings.add_release(&machine, ReleaseReason::CommandPathLost);
        }
    }
}

/// Determines whether the zone of an unresponsive on-demand machine seems to be cut off by a
/// partition, or which neighbours to probe to find out.
fn partition_evidence(
    cache: &StateCache,
    state: &LeaderState,
    findings: &Findings<'_>,
    machine: &MachineId,
) -> PartitionEvidence {
    let zone = cache.machines.get(machine).map(|record| &record.zone);
    let known = findings.zone_reachability(zone);
    if known.unreachable < MIN_UNREACHABLE_AS_EVIDENCE {
        return PartitionEvidence::ProbeNeighbours(neighbour_addresses(
            cache, state, machine, zone,
        ));
    }
    if known.unreachable * 2 > known.on_demand {
        return PartitionEvidence::LikelyPartition;
    }
    PartitionEvidence::NotNeeded
}

/// Returns the addresses of some other on-demand machines of the zone. Machines that are being
/// verified themselves are left out: several may hang at once, which would look like a network
/// partition.
fn neighbour_addresses(
    cache: &StateCache,
    state: &LeaderState,
    machine: &MachineId,
    zone: Option<&ZoneName>,
) -> Vec<String> {
    cache
        .machines
        .iter()
        .filter(|(other, record)| *other != machine && !record.spot && Some(&record.zone) == zone)
        .filter(|(other, _)| !state.fleet.verifying_until.contains_key(*other))
        .filter_map(|(_, record)| record.address.clone())
        .take(MAX_NEIGHBOUR_PROBES)
        .collect()
}
