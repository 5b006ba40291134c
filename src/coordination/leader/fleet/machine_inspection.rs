//! What the owners' statuses, and heartbeats that reached others, say of each machine.
//!
//! A function of the configuration, the replica and the leader's state: nothing is changed or
//! sent here. The failure detector acts on the [`Findings`].

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{ReleaseReason, probes::IndirectProbeTarget};
use crate::{
    coordination::{
        Config,
        leader::state::{IndirectContact, LeaderState, OwnedMachineStatus},
    },
    storage::{ControllerName, MachineId, StateCache, ZoneName, records::MachineRecord},
};

/// A machine is quarantined for this long before it goes: what failed on it is tried
/// elsewhere meanwhile, which shows whether the jobs are to blame.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(8);

/// A draining machine that is idle goes back when less than this is left of its paid period.
const SCALE_IN_MARGIN: Duration = Duration::from_secs(3);

/// A machine whose agent has not been heard after this many times its type's boot time, and
/// the margin, does not come up.
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
const BOOT_TIMEOUT_MARGIN: Duration = Duration::from_secs(15);
/// Boot time of a machine type that the catalog does not list any more.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(60);

/// From this part of the threshold of unresponsive machines on, a controller that hears a
/// machine in its owner's place is asked whether it reaches it.
const INDIRECT_PROBE_FRACTION: f64 = 0.7;

/// A machine that is to be released.
pub(super) struct FoundRelease {
    /// The machine.
    pub(super) machine: MachineId,
    /// Why it is to be released.
    pub(super) reason: ReleaseReason,
}

/// A machine that neither sends heartbeats nor answers its owner.
pub(super) struct UnresponsiveMachine {
    /// The machine.
    pub(super) machine: MachineId,
    /// Where its agent listens.
    pub(super) address: String,
    /// Since its last heartbeat.
    pub(super) since_heartbeat: Duration,
    /// Whether it is a spot machine.
    pub(super) spot: bool,
}

/// The ordinary machines of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneReachability {
    /// All of them that are in shards.
    pub(super) ordinary: usize,
    /// Those that nobody reaches.
    pub(super) unreachable: usize,
}

/// What an inspection of all machines has found.
#[derive(Default)]
pub(super) struct Findings<'a> {
    /// Machines to be released, in the order in which they were found; the first reason counts.
    pub(super) releases: Vec<FoundRelease>,
    /// Machines whose heartbeats arrive while no command reaches them.
    pub(super) command_path_lost: Vec<MachineId>,
    /// Machines that may be terminated.
    pub(super) unresponsive: Vec<UnresponsiveMachine>,
    /// Machines heard by others than their owner, whom these are to probe.
    pub(super) to_probe: Vec<IndirectProbeTarget>,
    /// Machines that their owner has lost, each with the controller that reaches it.
    pub(super) owner_unreachable: BTreeMap<MachineId, ControllerName>,
    /// Machines that no task is to be routed to.
    pub(super) refusing: BTreeSet<MachineId>,
    /// Machines on which several jobs have failed, since when.
    pub(super) quarantined_since: BTreeMap<MachineId, Instant>,
    /// What was found in each zone.
    zones: BTreeMap<&'a ZoneName, ZoneReachability>,
}

impl Findings<'_> {
    /// Notes that a machine is to be released.
    pub(super) fn release(&mut self, machine: &MachineId, reason: ReleaseReason) {
        self.releases.push(FoundRelease {
            machine: machine.clone(),
            reason,
        });
    }

    /// Ordinary machines that nobody reaches, in all zones.
    pub(super) fn unreachable_machines(&self) -> usize {
        self.zones.values().map(|zone| zone.unreachable).sum()
    }

    /// What was found in a zone.
    pub(super) fn zone(&self, zone: Option<&ZoneName>) -> ZoneReachability {
        zone.and_then(|zone| self.zones.get(zone))
            .copied()
            .unwrap_or_default()
    }
}

/// Inspects all machines that are in shards.
pub(super) fn inspect_machines<'a>(
    config: &Config,
    cache: &'a StateCache,
    state: &LeaderState,
    now: Instant,
) -> Findings<'a> {
    let mut inspection = Inspection {
        config,
        cache,
        state,
        now,
        now_ms: config.now_ms(),
        unresponsive_after: config.unresponsive_after(),
        findings: Findings::default(),
    };
    for entry in cache.shards.values() {
        for id in entry.value.machines.keys() {
            if let Some(record) = cache.machines.get(id) {
                inspection.inspect(InspectedMachine {
                    id,
                    record,
                    owner: &entry.value.controller,
                });
            }
        }
    }
    inspection.findings
}

/// A machine with what the records say of it.
#[derive(Clone, Copy)]
struct InspectedMachine<'a> {
    id: &'a MachineId,
    record: &'a MachineRecord,
    owner: &'a ControllerName,
}

/// Who hears and reaches a machine that is up.
enum Contact {
    /// Its owner, or nobody for too short a time to act on.
    Normal,
    /// Hardly its owner, but another controller.
    Indirect(IndirectContact),
    /// Nobody hears it, and its owner's calls fail.
    Unreachable,
}

/// What the probes of a controller that hears a machine in its owner's place have shown.
enum IndirectVerdict {
    /// Nothing yet.
    Undecided,
    /// That controller reaches it.
    OwnerUnreachable,
    /// Nobody has reached it for a while.
    CommandPathLost,
}

/// An inspection under way.
struct Inspection<'a, 's> {
    config: &'s Config,
    cache: &'a StateCache,
    state: &'s LeaderState,
    now: Instant,
    now_ms: u64,
    unresponsive_after: Duration,
    findings: Findings<'a>,
}

impl<'a> Inspection<'a, '_> {
    fn inspect(&mut self, machine: InspectedMachine<'a>) {
        if !machine.record.spot {
            self.zone_of(machine).ordinary += 1;
        }
        if !self.state.is_up(self.cache, machine.id) {
            self.inspect_booting(machine);
            return;
        }
        if let Some(status) = self.state.owned_machine(machine.owner, machine.id) {
            self.inspect_contact(machine, &status);
            self.inspect_condition(machine, &status);
        }
        if self.is_scale_in_due(machine) {
            self.findings.release(machine.id, ReleaseReason::ScaledIn);
        }
    }

    fn zone_of(&mut self, machine: InspectedMachine<'a>) -> &mut ZoneReachability {
        self.findings.zones.entry(&machine.record.zone).or_default()
    }

    /// Since the machine was provisioned.
    fn age(&self, record: &MachineRecord) -> Duration {
        Duration::from_millis(self.now_ms.saturating_sub(record.provisioned_ms))
    }

    /// A machine whose agent has not been heard yet.
    fn inspect_booting(&mut self, machine: InspectedMachine<'a>) {
        let boot = self
            .cache
            .machine_type(&machine.record.kind)
            .map_or(DEFAULT_BOOT_TIME, |kind| kind.boot);
        let timeout = boot.mul_f64(BOOT_TIMEOUT_FACTOR) + BOOT_TIMEOUT_MARGIN;
        if self.age(machine.record) > timeout {
            self.findings
                .release(machine.id, ReleaseReason::BootTimeout);
        }
        self.findings.refusing.insert(machine.id.clone());
    }

    /// Whether the machine can be reached, and by whom.
    fn inspect_contact(&mut self, machine: InspectedMachine<'a>, status: &OwnedMachineStatus<'_>) {
        match self.contact(machine, status) {
            Contact::Normal => {}
            Contact::Indirect(contact) => self.note_indirect_contact(machine, contact),
            Contact::Unreachable => self.note_unreachable(machine, status),
        }
    }

    fn contact(&self, machine: InspectedMachine<'a>, status: &OwnedMachineStatus<'_>) -> Contact {
        // Only one that its owner has not heard lately is looked
        // for elsewhere: that is work for each machine.
        let is_late = status.since_heartbeat > self.config.heartbeat_interval;
        let indirect_contact = is_late
            .then(|| self.state.indirect_contact(machine.owner, machine.id))
            .flatten()
            .filter(|contact| contact.age < self.config.indirect_heartbeat_max_age());
        let probe_after = self.unresponsive_after.mul_f64(INDIRECT_PROBE_FRACTION);
        match indirect_contact {
            Some(contact) if status.since_heartbeat > probe_after => Contact::Indirect(contact),
            None if status.machine.unreachable => Contact::Unreachable,
            _ => Contact::Normal,
        }
    }

    fn note_indirect_contact(&mut self, machine: InspectedMachine<'a>, contact: IndirectContact) {
        match self.judge_indirect_contact(machine.id, &contact) {
            IndirectVerdict::Undecided => {}
            IndirectVerdict::OwnerUnreachable => {
                self.findings
                    .owner_unreachable
                    .insert(machine.id.clone(), contact.controller.clone());
            }
            IndirectVerdict::CommandPathLost => {
                self.findings.command_path_lost.push(machine.id.clone());
            }
        }
        if let Some(address) = &machine.record.address {
            self.findings.to_probe.push(IndirectProbeTarget {
                machine: machine.id.clone(),
                address: address.clone(),
                controller: contact.controller,
            });
        }
    }

    fn judge_indirect_contact(
        &self,
        machine: &MachineId,
        contact: &IndirectContact,
    ) -> IndirectVerdict {
        let Some(probe) = self.state.fleet.indirect_probes.get(machine) else {
            return IndirectVerdict::Undecided;
        };
        match &probe.reached_by {
            Some(controller) if *controller == contact.controller => {
                IndirectVerdict::OwnerUnreachable
            }
            // Its heartbeats get out, but nobody gets in.
            None if self.now.duration_since(probe.since) > self.config.command_path_timeout() => {
                IndirectVerdict::CommandPathLost
            }
            _ => IndirectVerdict::Undecided,
        }
    }

    fn note_unreachable(&mut self, machine: InspectedMachine<'a>, status: &OwnedMachineStatus<'_>) {
        if !machine.record.spot {
            self.zone_of(machine).unreachable += 1;
        }
        if status.since_heartbeat > self.unresponsive_after
            && let Some(address) = &machine.record.address
        {
            self.findings.unresponsive.push(UnresponsiveMachine {
                machine: machine.id.clone(),
                address: address.clone(),
                since_heartbeat: status.since_heartbeat,
                spot: machine.record.spot,
            });
        }
    }

    /// What the owner itself says against the machine.
    fn inspect_condition(
        &mut self,
        machine: InspectedMachine<'a>,
        status: &OwnedMachineStatus<'_>,
    ) {
        let owned = status.machine;
        if owned.unreachable
            || owned.quarantined
            || owned.leaving
            || owned.command_path_lost
            || status.since_heartbeat > self.unresponsive_after
        {
            self.findings.refusing.insert(machine.id.clone());
        }
        if owned.quarantined {
            self.inspect_quarantined(machine.id);
        }
        if owned.command_path_lost {
            self.findings.command_path_lost.push(machine.id.clone());
        }
    }

    fn inspect_quarantined(&mut self, machine: &MachineId) {
        let known = self.state.fleet.quarantined_since.get(machine);
        let since = known.copied().unwrap_or(self.now);
        self.findings
            .quarantined_since
            .insert(machine.clone(), since);
        if self.now.duration_since(since) > QUARANTINE_PERIOD {
            self.findings.release(machine, ReleaseReason::Quarantined);
        }
    }

    /// Whether a draining machine is idle and at the end of its paid period.
    fn is_scale_in_due(&self, machine: InspectedMachine<'a>) -> bool {
        let paid_left = self.config.tuning.paid.left(self.age(machine.record));
        self.state.fleet.draining_machines.contains(machine.id)
            && !self.cache.on_machine.contains_key(machine.id)
            && paid_left < SCALE_IN_MARGIN
    }
}
