//! Inspects each machine by its owner's last status and by the heartbeats that reached other
//! controllers.
//!
//! The inspection depends only on the configuration, the state cache and the leader's state. It
//! changes nothing and sends nothing. The failure detector acts on the resulting [`Findings`].

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

/// Time for which a machine is quarantined before its release is scheduled. The jobs that failed
/// on it are retried on other machines meanwhile, which shows whether the jobs are at fault.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(8);

/// A draining machine that is idle is released when less than this is left of its paid period.
const SCALE_IN_MARGIN: Duration = Duration::from_secs(3);

/// A machine is released if its agent has sent no heartbeat within this many times the boot time
/// of its type plus [`BOOT_TIMEOUT_MARGIN`].
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Constant part of the boot timeout, see [`BOOT_TIMEOUT_FACTOR`].
const BOOT_TIMEOUT_MARGIN: Duration = Duration::from_secs(15);
/// Boot time assumed for a machine type that the catalog no longer lists.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(60);

/// Fraction of [`Config::unresponsive_after`] without a heartbeat at a machine's owner after which
/// another controller that receives its heartbeats is asked to probe it.
const INDIRECT_PROBE_FRACTION: f64 = 0.7;

/// A machine that is to be released.
pub(super) struct ReleaseFinding {
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
    /// Time since its last heartbeat.
    pub(super) since_heartbeat: Duration,
    /// Whether it is a spot machine.
    pub(super) spot: bool,
}

/// Counts of the on-demand machines of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneReachability {
    /// Number of machines that are in shards.
    pub(super) on_demand: usize,
    /// Number of these that no controller reaches.
    pub(super) unreachable: usize,
}

/// The result of an inspection of all machines.
#[derive(Default)]
pub(super) struct Findings<'a> {
    /// Machines to be released, in the order in which they were found. If a machine occurs more
    /// than once, the first reason applies.
    pub(super) releases: Vec<ReleaseFinding>,
    /// Machines whose heartbeats arrive but that no command reaches.
    pub(super) command_path_lost: Vec<MachineId>,
    /// Machines that seem to be terminated, to be verified.
    pub(super) unresponsive: Vec<UnresponsiveMachine>,
    /// Machines whose heartbeats reach another controller in place of their owner, to be probed
    /// by that controller.
    pub(super) indirect_probe_targets: Vec<IndirectProbeTarget>,
    /// Machines that their owner cannot reach, each with a controller that reaches it.
    pub(super) owner_unreachable: BTreeMap<MachineId, ControllerName>,
    /// Machines that can take no tasks now.
    pub(super) unusable_machines: BTreeSet<MachineId>,
    /// Machines on which several jobs have failed, with the time when this was first seen.
    pub(super) quarantined_since: BTreeMap<MachineId, Instant>,
    /// Reachability of the on-demand machines of each zone.
    zones: BTreeMap<&'a ZoneName, ZoneReachability>,
}

impl Findings<'_> {
    /// Adds a machine that is to be released.
    pub(super) fn add_release(&mut self, machine: &MachineId, reason: ReleaseReason) {
        self.releases.push(ReleaseFinding {
            machine: machine.clone(),
            reason,
        });
    }

    /// Returns the number of on-demand machines in all zones that no controller reaches.
    pub(super) fn unreachable_count(&self) -> usize {
        self.zones.values().map(|zone| zone.unreachable).sum()
    }

    /// Returns the reachability of a zone's on-demand machines.
    pub(super) fn zone_reachability(&self, zone: Option<&ZoneName>) -> ZoneReachability {
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

/// A machine under inspection, with its record and its shard's owner.
#[derive(Clone, Copy)]
struct InspectedMachine<'a> {
    id: &'a MachineId,
    record: &'a MachineRecord,
    owner: &'a ControllerName,
}

/// The contact between the controllers and a machine that is up.
enum Contact {
    /// Its owner receives its heartbeats, or contact was lost too recently to act on.
    Normal,
    /// Its heartbeats reach another controller, and have not reached its owner for some time.
    Indirect(IndirectContact),
    /// No controller receives its heartbeats, and its owner's calls to it fail.
    Unreachable,
}

/// The result of the indirect probes of a machine.
enum IndirectVerdict {
    /// The probes have not led to a decision yet.
    Undecided,
    /// The controller that receives its heartbeats reaches it, but its owner does not.
    OwnerUnreachable,
    /// No controller has reached it for longer than [`Config::command_path_timeout`].
    CommandPathLost,
}

/// The inputs and intermediate findings of an inspection.
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
    /// Adds the findings about one machine.
    fn inspect(&mut self, machine: InspectedMachine<'a>) {
        if !machine.record.spot {
            self.zone_of(machine).on_demand += 1;
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
            self.findings
                .add_release(machine.id, ReleaseReason::ScaledIn);
        }
    }

    fn zone_of(&mut self, machine: InspectedMachine<'a>) -> &mut ZoneReachability {
        self.findings.zones.entry(&machine.record.zone).or_default()
    }

    /// Returns the time since the machine was provisioned.
    fn age(&self, record: &MachineRecord) -> Duration {
        Duration::from_millis(self.now_ms.saturating_sub(record.provisioned_ms))
    }

    /// Inspects a machine whose agent has not sent a heartbeat yet.
    fn inspect_booting(&mut self, machine: InspectedMachine<'a>) {
        let boot = self
            .cache
            .machine_type(&machine.record.machine_type)
            .map_or(DEFAULT_BOOT_TIME, |machine_type| machine_type.boot);
        let timeout = boot.mul_f64(BOOT_TIMEOUT_FACTOR) + BOOT_TIMEOUT_MARGIN;
        if self.age(machine.record) > timeout {
            self.findings
                .add_release(machine.id, ReleaseReason::BootTimeout);
        }
        self.findings.unusable_machines.insert(machine.id.clone());
    }

    /// Determines whether the machine can be reached, and by which controller.
    fn inspect_contact(&mut self, machine: InspectedMachine<'a>, status: &OwnedMachineStatus<'_>) {
        match self.contact(machine, status) {
            Contact::Normal => {}
            Contact::Indirect(contact) => self.record_indirect_contact(machine, contact),
            Contact::Unreachable => self.record_unreachable(machine, status),
        }
    }

    fn contact(&self, machine: InspectedMachine<'a>, status: &OwnedMachineStatus<'_>) -> Contact {
        // The other controllers' statuses are searched only for machines whose owner has not
        // received a heartbeat recently, to save the cost of a search for each machine.
        let is_heartbeat_late = status.since_heartbeat > self.config.heartbeat_interval;
        let indirect_contact = is_heartbeat_late
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

    fn record_indirect_contact(&mut self, machine: InspectedMachine<'a>, contact: IndirectContact) {
        match self.evaluate_indirect_contact(machine.id, &contact) {
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
            self.findings
                .indirect_probe_targets
                .push(IndirectProbeTarget {
                    machine: machine.id.clone(),
                    address: address.clone(),
                    controller: contact.controller,
                });
        }
    }

    fn evaluate_indirect_contact(
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
            // Heartbeats from the machine arrive, but no controller can reach it.
            None if self.now.duration_since(probe.first_due)
                > self.config.command_path_timeout() =>
            {
                IndirectVerdict::CommandPathLost
            }
            _ => IndirectVerdict::Undecided,
        }
    }

    fn record_unreachable(
        &mut self,
        machine: InspectedMachine<'a>,
        status: &OwnedMachineStatus<'_>,
    ) {
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

    /// Inspects the problems that the owner reports about the machine.
    fn inspect_condition(
        &mut self,
        machine: InspectedMachine<'a>,
        status: &OwnedMachineStatus<'_>,
    ) {
        let owned = status.machine;
        if owned.unreachable
            || owned.quarantined
            || owned.reclaim_announced
            || owned.command_path_lost
            || status.since_heartbeat > self.unresponsive_after
        {
            self.findings.unusable_machines.insert(machine.id.clone());
        }
        if owned.quarantined {
            self.inspect_quarantined(machine.id);
        }
        if owned.command_path_lost {
            self.findings.command_path_lost.push(machine.id.clone());
        }
    }

    fn inspect_quarantined(&mut self, machine: &MachineId) {
        let known_since = self.state.fleet.quarantined_since.get(machine);
        let since = known_since.copied().unwrap_or(self.now);
        self.findings
            .quarantined_since
            .insert(machine.clone(), since);
        if self.now.duration_since(since) > QUARANTINE_PERIOD {
            self.findings
                .add_release(machine, ReleaseReason::Quarantined);
        }
    }

    /// Returns whether the machine is draining, idle and near the end of its paid period.
    fn is_scale_in_due(&self, machine: InspectedMachine<'a>) -> bool {
        let paid_left = self
            .config
            .tuning
            .paid_periods
            .time_left(self.age(machine.record));
        self.state.fleet.draining_machines.contains(machine.id)
            && !self.cache.machine_loads.contains_key(machine.id)
            && paid_left < SCALE_IN_MARGIN
    }
}
