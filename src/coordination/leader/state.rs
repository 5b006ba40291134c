//! What the leader keeps in memory between its passes.
//!
//! Nothing here is stored: a new leader starts with an empty state and learns the rest from
//! the replica and from the statuses of its peers. The state is locked after the replica,
//! and never across an await.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    fleet::{FleetState, PendingRelease, ReleaseReason},
    miss_rate::MissRateWindow,
    routing, shards,
};
use crate::{
    coordination::clients::{IndirectHeartbeat, OwnedMachine, StatusMessage},
    storage::{
        ControllerName, Incarnation, JobId, MachineId, Quota, ShardId, StateCache, TeamName,
        client::LeaseId,
    },
};

/// A status older than this says nothing about now.
pub(super) const STATUS_TTL: Duration = Duration::from_secs(4);

/// The last status of a peer controller, or of this one.
#[derive(Debug)]
pub(super) struct PeerStatus {
    /// When it arrived.
    pub(super) received_at: Instant,
    /// When the first status of this process arrived.
    pub(super) first_received_at: Instant,
    /// The process that sent it.
    pub(super) incarnation: Incarnation,
    /// The machines that it owns.
    pub(super) owned: BTreeMap<MachineId, OwnedMachine>,
    /// Heartbeats that it received from machines that it does not own.
    pub(super) indirect_heartbeats: BTreeMap<MachineId, IndirectHeartbeat>,
    /// Crash-looping jobs, each with the pause before its next attempt.
    pub(super) failing: Vec<(JobId, Duration)>,
}

impl PeerStatus {
    /// How long ago it arrived.
    pub(super) fn age(&self) -> Duration {
        self.received_at.elapsed()
    }
}

/// What the current status of an owner says of one of its machines.
#[derive(Debug)]
pub(super) struct OwnedMachineStatus<'a> {
    /// The machine as the owner sees it.
    pub(super) machine: &'a OwnedMachine,
    /// Since the owner received the machine's last heartbeat.
    pub(super) since_heartbeat: Duration,
}

/// The newest heartbeat of a machine that reached a controller other than its owner.
#[derive(Debug)]
pub(super) struct IndirectContact {
    /// The controller that received it.
    pub(super) controller: ControllerName,
    /// Since that controller received it.
    pub(super) age: Duration,
}

/// A shard on its way to another controller.
#[derive(Debug)]
pub(super) struct ShardMove {
    /// The controller that is to own it.
    pub(super) to: ControllerName,
    /// When the move was decided.
    pub(super) since: Instant,
}

/// The quota targets that the controllers were sent last.
#[derive(Debug)]
pub(super) struct SentTargets {
    /// What was sent.
    pub(super) targets: shards::Targets,
    /// When it was sent.
    pub(super) at: Instant,
}

/// The leader's state, from its election on.
#[derive(Default)]
pub(super) struct LeaderState {
    /// The lease that our claim is attached to.
    pub(super) lease: Option<LeaseId>,
    /// When this process was elected.
    pub(super) elected_at: Option<Instant>,
    /// The last status of each controller.
    pub(super) statuses: BTreeMap<ControllerName, PeerStatus>,
    /// Tasks offered to owners and not yet placed.
    pub(super) offered: routing::OutstandingOffers,
    /// Waiting tasks for which others are being preempted.
    pub(super) pending_preemptions: routing::PendingPreemptions,
    /// Room that idle work is being asked to leave.
    pub(super) reclaiming: routing::Reclaiming,
    /// Which owner writes which run record.
    pub(super) record_affinity: routing::RecordAffinity,
    /// Gangs that have room for a part of their tasks.
    pub(super) gangs: routing::PartialGangs,
    /// Offers that expired, by job.
    pub(super) expired_offers: routing::ExpiredOffersByJob,
    /// When the zone of a job was last written or taken back.
    pub(super) zone_assignments: BTreeMap<JobId, Instant>,
    /// Waiting tasks that found no room in the last routing pass.
    pub(super) unplaced: Vec<routing::Unplaced>,
    /// Machines that were booting in that pass, so that it gave them nothing.
    pub(super) booting_when_routed: BTreeSet<MachineId>,
    /// What became of the waiting tasks in the last routing pass, for the log.
    pub(super) routing_counts: routing::RoutingCounts,
    /// Machines that are terminated with tasks on them, since when.
    pub(super) lost_since: BTreeMap<MachineId, Instant>,
    /// Quota that a controller lacks for tasks that it has room for.
    pub(super) deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Quota that a controller is about to need beside what it uses.
    pub(super) reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks with room that lack quota, the most pressing first.
    pub(super) demand: Vec<routing::QuotaDemand>,
    /// What is free on each controller's machines.
    pub(super) free: BTreeMap<ControllerName, Quota>,
    /// The quota targets sent last.
    pub(super) sent_targets: Option<SentTargets>,
    /// Shards on their way to another controller.
    pub(super) moving: BTreeMap<ShardId, ShardMove>,
    /// When changes of machines' use within their shards were last written.
    pub(super) last_use_write: Option<Instant>,
    /// Machines to be released, or under release.
    pub(super) releasing: BTreeMap<MachineId, PendingRelease>,
    /// Machines that their owner has lost, each with the controller that reaches it.
    pub(super) owner_unreachable: BTreeMap<MachineId, ControllerName>,
    /// The share of tasks that lately missed their targets.
    pub(super) miss_rate: MissRateWindow,
    /// What scaling, repair and the calls to the cloud keep.
    pub(super) fleet: FleetState,
    /// The outcome of a commit is unknown: our record is written anew, which
    /// voids it, before anything else is decided.
    pub(super) has_commit_in_doubt: bool,
}

impl LeaderState {
    /// Starts anew after an election; only the peers' statuses are kept.
    pub(super) fn reset(&mut self, lease: LeaseId) {
        let statuses = std::mem::take(&mut self.statuses);
        // A process may lead a second time. Names of provision requests contain its incarnation
        // and this number, and must never be used again: the cloud would answer
        // with the machines of the first time, and provision none.
        let provision_count = self.fleet.provision_count;
        *self = Self {
            lease: Some(lease),
            elected_at: Some(Instant::now()),
            statuses,
            ..Self::default()
        };
        self.fleet.provision_count = provision_count;
    }

    /// The lease that our claim is attached to once it is next written anew. Without
    /// it a leader that was elected unawares could never write its record anew,
    /// and so could not act after its first commit without an answer.
    pub(super) fn adopt_lease(&mut self, lease: LeaseId) {
        if self.lease != Some(lease) {
            self.lease = Some(lease);
            self.elected_at.get_or_insert_with(Instant::now);
            self.has_commit_in_doubt = true;
        }
    }

    /// Keeps a controller's status, unless a later one of the same process is known.
    pub(super) fn record_status(&mut self, status: StatusMessage, received_at: Instant) {
        let known = self
            .statuses
            .get(&status.controller)
            .filter(|peer| peer.incarnation == status.incarnation);
        if known.is_some_and(|peer| peer.received_at > received_at) {
            return;
        }
        let first_received_at = known.map_or(received_at, |peer| peer.first_received_at);
        let owned = status.owned.into_iter();
        let indirect_heartbeats = status.indirect_heartbeats.into_iter();
        let peer = PeerStatus {
            received_at,
            first_received_at,
            incarnation: status.incarnation,
            owned: owned.map(|owned| (owned.machine.clone(), owned)).collect(),
            indirect_heartbeats: indirect_heartbeats
                .map(|heartbeat| (heartbeat.machine.clone(), heartbeat))
                .collect(),
            failing: status.failing,
        };
        self.statuses.insert(status.controller, peer);
    }

    /// What an owner says of a machine of its; none if it has said nothing lately.
    pub(super) fn owned_machine(
        &self,
        controller: &ControllerName,
        machine: &MachineId,
    ) -> Option<OwnedMachineStatus<'_>> {
        let peer = self.statuses.get(controller)?;
        let machine = peer.owned.get(machine)?;
        let age = peer.age();
        (age < STATUS_TTL).then(|| OwnedMachineStatus {
            machine,
            since_heartbeat: machine.since_heartbeat + age,
        })
    }

    /// Whether an owner has heard this machine's agent, so that it is up.
    pub(super) fn is_up(&self, cache: &StateCache, machine: &MachineId) -> bool {
        cache
            .machines
            .get(machine)
            .is_some_and(|record| record.address.is_some())
            || cache.shard_of(machine).is_some_and(|(_, entry)| {
                self.owned_machine(&entry.value.controller, machine)
                    .is_some_and(|status| status.machine.address.is_some())
            })
    }

    /// Another controller that hears the machine's agent, by a newer heartbeat
    /// than the owner has: copies of old ones arrive late.
    pub(super) fn indirectly_heard_by(
        &self,
        owner: &ControllerName,
        machine: &MachineId,
    ) -> Option<IndirectContact> {
        let known = self
            .statuses
            .get(owner)
            .and_then(|peer| peer.owned.get(machine))
            .map(|owned| (owned.epoch, owned.sequence));
        self.statuses
            .iter()
            .filter(|(controller, peer)| *controller != owner && peer.age() < STATUS_TTL)
            .filter_map(|(controller, peer)| {
                let heartbeat = peer.indirect_heartbeats.get(machine)?;
                let newer = known.is_none_or(|known| (heartbeat.epoch, heartbeat.sequence) > known);
                newer.then(|| IndirectContact {
                    controller: controller.clone(),
                    age: heartbeat.age + peer.age(),
                })
            })
            .min_by_key(|contact| contact.age)
    }

    /// Crash-looping jobs, each with the end of the pause before its next attempt.
    pub(super) fn failing_jobs(&self) -> BTreeMap<JobId, Instant> {
        let mut failing = BTreeMap::new();
        for peer in self.statuses.values() {
            if peer.age() <= STATUS_TTL {
                for (job, pause) in &peer.failing {
                    failing.insert(job.clone(), peer.received_at + *pause);
                }
            }
        }
        failing
    }

    /// What a machine offers to waiting tasks; none if no task may be routed to it.
    ///
    /// A booting machine offers nothing: its owner takes it for one that sent a heartbeat when
    /// its shard was leased, but places nothing there before the first one.
    pub(super) fn usable_machine(
        &self,
        cache: &StateCache,
        owner: &ControllerName,
        machine: &MachineId,
        unresponsive_after: Duration,
    ) -> Option<routing::UsableMachine> {
        let peer = self.statuses.get(owner)?;
        let owned = peer.owned.get(machine)?;
        let age = peer.age();
        // Draining and idle: it is to stay so.
        let awaits_release = self.fleet.draining_machines.contains(machine)
            && !cache.on_machine.contains_key(machine);
        let is_usable = age <= STATUS_TTL
            && self.is_up(cache, machine)
            && !awaits_release
            && owned.since_heartbeat + age < unresponsive_after
            && !owned.unreachable
            && !owned.quarantined
            && !owned.reclaim_announced
            && !owned.command_path_lost;
        is_usable.then(|| routing::UsableMachine {
            images: owned.images.clone(),
            speed: owned.speed,
            freed: owned.freed,
        })
    }

    /// Remembers which machines a routing pass could give nothing, as they were booting.
    pub(super) fn note_booting(&mut self, cache: &StateCache) {
        let machines = cache.machines.keys();
        self.booting_when_routed = machines
            .filter(|id| !self.is_up(cache, id))
            .cloned()
            .collect();
    }

    /// Nothing waits for a place: what the last routing pass found no longer holds.
    pub(super) fn clear_routing(&mut self) {
        self.offered.clear();
        self.unplaced.clear();
        self.booting_when_routed.clear();
        self.routing_counts = Default::default();
        self.deficit.clear();
        self.reserved.clear();
        self.demand.clear();
    }

    /// Releases a machine unless its release is pending already, for whatever reason.
    /// Returns whether it was not.
    pub(super) fn schedule_release(
        &mut self,
        machine: &MachineId,
        reason: ReleaseReason,
        now: Instant,
    ) -> bool {
        if self.releasing.contains_key(machine) {
            return false;
        }
        self.releasing
            .insert(machine.clone(), PendingRelease::new(reason, now));
        true
    }

    /// The machines that are emptied before they are released.
    pub(super) fn machines_to_empty(&self) -> BTreeSet<MachineId> {
        self.releasing
            .iter()
            .filter(|(_, release)| release.drains_first())
            .map(|(machine, _)| machine.clone())
            .collect()
    }
}
