//! Finds machines that must be released or move to another owner for a reason of their own.
//!
//! In each pass of the fleet manager every machine of every shard is inspected, by its owner's
//! last status and by the heartbeats that reached other controllers (see
//! [`machine_inspection`](super::machine_inspection)). What was found is then judged as a
//! whole: one unresponsive machine hangs, many at once are rather cut off by a partition.

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

/// Neighbours probed beside an unresponsive machine, to tell a hang from a network partition.
const NEIGHBOURS: usize = 6;

/// From so many unreachable machines of a zone on, what their owners say tells a
/// hang from a network partition, without further probes.
const PARTITION_EVIDENCE: usize = 2 * NEIGHBOURS;

/// Up to so many unreachable machines are not many, whatever the size of the fleet.
const MIN_MASS_OUTAGE: usize = 2;
/// One of so many ordinary machines unreachable at once is a mass outage.
const MASS_OUTAGE_FRACTION: usize = 4;
/// One of so many machines without a command path at once is a mass outage.
const COMMAND_PATH_OUTAGE_FRACTION: usize = 10;

/// What a zone's other machines tell of an unresponsive one.
enum PartitionEvidence {
    /// Most of the zone cannot be reached: rather a partition than a hang.
    LikelyPartition,
    /// Neighbours need not be asked.
    Irrelevant,
    /// Neighbours at these addresses tell which it is.
    Ask(Vec<String>),
}

impl Leader {
    /// Finds machines that must be released for a reason of their own, and the
    /// draining ones whose time has come. Returns those that seem to be terminated, to be
    /// verified by [`verify_unresponsive`](Self::verify_unresponsive).
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
        self.probe_indirectly(state, findings.to_probe, now);
        state.owner_unreachable = move_lost_shards(cache, state, findings.owner_unreachable, now);
        state.fleet.refusing = findings.refusing;
        for found in findings.releases {
            if state.schedule_release(&found.machine, found.reason, now) {
                tracing::info!(machine = %found.machine, reason = ?found.reason, "release scheduled");
            }
            state.fleet.draining_machines.remove(&found.machine);
        }
        state.fleet.draining_machines.observe(cache);
        verifications
    }

    /// Chooses the unresponsive machines that all controllers are to probe now.
    fn begin_verifications(
        &self,
        cache: &StateCache,
        state: &mut LeaderState,
        findings: &Findings<'_>,
        now: Instant,
    ) -> Vec<Verification> {
        let is_mass_outage = is_mass_outage(cache, findings);
        state.fleet.verifying.retain(|_, until| *until > now);
        let mut verifications = Vec::new();
        for unresponsive in &findings.unresponsive {
            let is_lease_over = self.is_lease_over(unresponsive);
            if (is_mass_outage && !unresponsive.spot && !is_lease_over)
                || !self.may_verify(state, &unresponsive.machine)
            {
                continue;
            }
            state.fleet.begin_verification(&unresponsive.machine, now);
            let evidence = if unresponsive.spot || is_lease_over {
                PartitionEvidence::Irrelevant
            } else {
                partition_evidence(cache, state, findings, &unresponsive.machine)
            };
            let neighbours = match evidence {
                PartitionEvidence::LikelyPartition => continue,
                PartitionEvidence::Irrelevant => Vec::new(),
                PartitionEvidence::Ask(neighbours) => neighbours,
            };
            verifications.push(Verification {
                machine: unresponsive.machine.clone(),
                address: unresponsive.address.clone(),
                neighbours,
            });
        }
        verifications
    }

    /// Whether an agent that has received no answer since its last heartbeat has lost its
    /// lease, and has stopped its tasks.
    fn is_lease_over(&self, unresponsive: &UnresponsiveMachine) -> bool {
        let config = &self.context.config;
        unresponsive.since_heartbeat > config.agent_lease + config.heartbeat_interval
    }

    /// Whether a machine is neither being verified nor released, and a probe is to be had.
    fn may_verify(&self, state: &LeaderState, machine: &MachineId) -> bool {
        let is_releasing = state
            .releasing
            .get(machine)
            .is_some_and(|release| release.reason() == ReleaseReason::Unresponsive);
        !is_releasing
            && !state.fleet.verifying.contains_key(machine)
            && state.fleet.verifying.len() < self.context.config.max_concurrent_probes()
    }
}

/// One unresponsive machine is a hang, and releasing it is the quick proof
/// that its tasks are terminated. Many at once are rather a network partition, in which they
/// go on working until their leases end; only spot machines are taken in
/// numbers. They cross the threshold one after the other, so all that
/// cannot be reached count.
fn is_mass_outage(cache: &StateCache, findings: &Findings<'_>) -> bool {
    let ordinary = cache.machines.values().filter(|record| !record.spot);
    let threshold = MIN_MASS_OUTAGE.max(ordinary.count() / MASS_OUTAGE_FRACTION);
    findings.unreachable_machines() > threshold
}

/// Machines whose agents hear nothing of us are released as well, unless there are many: then they
/// are rather cut off by a partition.
fn release_without_command_path(cache: &StateCache, findings: &mut Findings<'_>) {
    let lost = std::mem::take(&mut findings.command_path_lost);
    let threshold = MIN_MASS_OUTAGE.max(cache.machines.len() / COMMAND_PATH_OUTAGE_FRACTION);
    if lost.len() <= threshold {
        for machine in lost {
            findings.release(&machine, ReleaseReason::CommandPathLost);
        }
    }
}

/// Whether the zone of an unresponsive ordinary machine seems to be cut off.
fn partition_evidence(
    cache: &StateCache,
    state: &LeaderState,
    findings: &Findings<'_>,
    machine: &MachineId,
) -> PartitionEvidence {
    let zone = cache.machines.get(machine).map(|record| &record.zone);
    let known = findings.zone(zone);
    if known.unreachable < PARTITION_EVIDENCE {
        return PartitionEvidence::Ask(neighbours(cache, state, machine, zone));
    }
    if known.unreachable * 2 > known.ordinary {
        return PartitionEvidence::LikelyPartition;
    }
    PartitionEvidence::Irrelevant
}

/// Addresses of some ordinary machines of the zone. Those already found unreachable are
/// not among them: several may hang at once, which would look like a network partition.
fn neighbours(
    cache: &StateCache,
    state: &LeaderState,
    machine: &MachineId,
    zone: Option<&ZoneName>,
) -> Vec<String> {
    cache
        .machines
        .iter()
        .filter(|(other, record)| *other != machine && !record.spot && Some(&record.zone) == zone)
        .filter(|(other, _)| !state.fleet.verifying.contains_key(*other))
        .filter_map(|(_, record)| record.address.clone())
        .take(NEIGHBOURS)
        .collect()
}
