//! State that the leader keeps in memory between its passes.
//!
//! None of it is stored: a new leader starts with an empty state and obtains the rest from the
//! state cache and the statuses of its peers. The state is locked after the state cache, and never
//! across an await.

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
        ControllerName, Incarnation, JobId, MachineId, Quota, ShardId, StateCache, TaskId,
        TeamName, client::LeaseId,
    },
};

/// A status older than this is disregarded.
pub(super) const STATUS_TTL: Duration = Duration::from_secs(4);

/// The last status of a controller, which may be this one.
#[derive(Debug)]
pub(super) struct PeerStatus {
    /// When this status arrived.
    pub(super) received_at: Instant,
    /// When the first status of the same process arrived.
    pub(super) first_received_at: Instant,
    /// The process that sent the status.
    pub(super) incarnation: Incarnation,
    /// The machines that the controller owns.
    pub(super) owned: BTreeMap<MachineId, OwnedMachine>,
    /// Heartbeats that the controller received from machines that it does not own.
    pub(super) indirect_heartbeats: BTreeMap<MachineId, IndirectHeartbeat>,
    /// Crash-looping jobs, each with the remaining time of its backoff.
    pub(super) failing: Vec<(JobId, Duration)>,
}

impl PeerStatus {
    /// Returns how long ago the status arrived.
    pub(super) fn age(&self) -> Duration {
        self.received_at.elapsed()
    }
}

/// The state of a machine by its owner's current status.
#[derive(Debug)]
pub(super) struct OwnedMachineStatus<'a> {
    /// The machine's state as the owner reported it.
    pub(super) machine: &'a OwnedMachine,
    /// Time since the owner received the machine's last heartbeat.
    pub(super) since_heartbeat: Duration,
}

/// The newest heartbeat of a machine that arrived at a controller that does not own it.
#[derive(Debug)]
pub(super) struct IndirectContact {
    /// The controller that received it.
    pub(super) controller: ControllerName,
    /// Time since that controller received it.
    pub(super) age: Duration,
}

/// A shard that is being moved to another controller.
#[derive(Debug)]
pub(super) struct ShardMove {
    /// The new owner of the shard.
    pub(super) to: ControllerName,
    /// When the move was decided.
    pub(super) since: Instant,
}

/// The quota targets that were last sent to the controllers.
#[derive(Debug)]
pub(super) struct SentTargets {
    /// The targets of all controllers.
    pub(super) targets: shards::Targets,
    /// When they were sent.
    pub(super) at: Instant,
}

/// The leader's state since its election.
#[derive(Default)]
pub(super) struct LeaderState {
    /// The lease that this process's leader record is attached to.
    pub(super) lease: Option<LeaseId>,
    /// When this process was elected.
    pub(super) elected_at: Option<Instant>,
    /// The last status of each controller.
    pub(super) statuses: BTreeMap<ControllerName, PeerStatus>,
    /// Tasks offered to owners and not yet placed.
    pub(super) outstanding_offers: routing::OutstandingOffers,
    /// The jobs' turns to be routed.
    pub(super) job_turns: routing::Turns<JobId>,
    /// The turns of the replicas for which tasks may be preempted.
    pub(super) preemption_turns: routing::Turns<TaskId>,
    /// Waiting tasks for which others are being preempted, and the tasks being preempted.
    pub(super) pending_preemptions: routing::PendingPreemptions,
    /// Tasks of the lowest priority that are being stopped to free capacity.
    pub(super) reclaiming: routing::Reclaiming,
    /// Run records whose tasks wait for capacity at the owner that writes the record.
    pub(super) record_affinity: routing::RecordAffinity,
    /// Gangs that are only partly placed.
    pub(super) gangs: routing::PartialGangs,
    /// Offers that expired, by job.
    pub(super) expired_offers: routing::ExpiredOffersByJob,
    /// When the zone of each job was last assigned or removed.
    pub(super) zone_changed_at: BTreeMap<JobId, Instant>,
    /// Waiting tasks for which the last routing pass found no capacity.
    pub(super) unplaced: Vec<routing::UnplacedTasks>,
    /// Machines that were booting in that pass, so that no task was routed to them.
    pub(super) booting_when_routed: BTreeSet<MachineId>,
    /// Results of the last routing pass by number of tasks, for the log.
    pub(super) routing_counts: routing::RoutingCounts,
    /// Terminated machines on which tasks are still recorded, with the time at which the leader
    /// noticed.
    pub(super) terminated_since: BTreeMap<MachineId, Instant>,
    /// Quota that a controller lacks for tasks that it has capacity for.
    pub(super) deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Quota that a controller is about to need in addition to what it uses.
    pub(super) reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks for which there is capacity but no quota, the most urgent first.
    pub(super) demand: Vec<routing::QuotaDemand>,
    /// Free capacity on each controller's machines.
    pub(super) free_quota: BTreeMap<ControllerName, Quota>,
    /// The quota targets that were last sent.
    pub(super) sent_targets: Option<SentTargets>,
    /// Shards that are being moved to another controller.
    pub(super) shard_moves: BTreeMap<ShardId, ShardMove>,
    /// When non-urgent changes of shards were last written.
    pub(super) last_use_write: Option<Instant>,
    /// Machines that are to be released or are being released.
    pub(super) releasing: BTreeMap<MachineId, PendingRelease>,
    /// Machines that their owner cannot reach, each with the controller that can.
    pub(super) owner_unreachable: BTreeMap<MachineId, ControllerName>,
    /// The recent share of tasks that missed their targets.
    pub(super) miss_rate: MissRateWindow,
    /// State of scaling, repair and the requests to the cloud.
    pub(super) fleet: FleetState,
    /// Whether the outcome of a commit is unknown. The leader record is then rewritten before
    /// the next decision, so that the commit can no longer take effect.
    pub(super) has_commit_in_doubt: bool,
}

impl LeaderState {
    /// Resets the state after an election, except for the statuses of the peers and the number
    /// of provision requests.
    pub(super) fn reset(&mut self, lease: LeaseId) {
        let statuses = std::mem::take(&mut self.statuses);
        // A process may be elected again. Names of provision requests contain its incarnation and
        // this number and must never be reused: the cloud would respond with the machines of the
        // first request, and provision none.
        let provision_count = self.fleet.provision_count;
        *self = Self {
            lease: Some(lease),
            elected_at: Some(Instant::now()),
            statuses,
            ..Self::default()
        };
        self.fleet.provision_count = provision_count;
    }

    /// Records the lease of the leader record if the process found its election only in the cache,
    /// since the commit of that record got no response. Marks a commit as in doubt, so that the
    /// leader record is rewritten with this lease before the next decision. Without the lease, the
    /// process could never rewrite its record, and so could not act after its first commit that
    /// got no response.
    pub(super) fn adopt_lease(&mut self, lease: LeaseId) {
        if self.lease != Some(lease) {
            self.lease = Some(lease);
            self.elected_at.get_or_insert_with(Instant::now);
            self.has_commit_in_doubt = true;
        }
    }

    /// Stores a controller's status, unless a later one of the same process is known.
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

    /// Returns the state of a machine by its owner's status, or none if the owner did not
    /// report the machine or its status is older than [`STATUS_TTL`].
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

    /// Whether an owner has received a heartbeat of the machine's agent, so that the agent's
    /// address is known and the machine is up.
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

    /// Returns the controller other than the owner that most recently received a heartbeat of
    /// the machine. Only heartbeats newer than the owner's last one count, since delayed copies
    /// of older ones may still arrive.
    pub(super) fn indirect_contact(
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

    /// Returns crash-looping jobs, each with the time from which it may be attempted again.
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

    /// Returns the properties of a machine that matter for placement, or none if no task may be
    /// routed to it.
    ///
    /// No task is routed to a booting machine. Its owner counts the time since its last
    /// heartbeat from the lease of its shard, but places nothing on it before its first
    /// heartbeat.
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
        // A draining machine that is idle must remain idle until it is released.
        let awaits_release = self.fleet.draining_machines.contains(machine)
            && !cache.machine_loads.contains_key(machine);
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
            freed_resources: owned.freed_resources,
        })
    }

    /// Records the machines that are booting, to which a routing pass can route no tasks.
    pub(super) fn record_booting_machines(&mut self, cache: &StateCache) {
        let machines = cache.machines.keys();
        self.booting_when_routed = machines
            .filter(|id| !self.is_up(cache, id))
            .cloned()
            .collect();
    }

    /// Clears the results of the last routing pass, since no task is waiting.
    pub(super) fn clear_routing(&mut self) {
        self.outstanding_offers.clear();
        self.job_turns = routing::Turns::default();
        self.preemption_turns = routing::Turns::default();
        self.unplaced.clear();
        self.booting_when_routed.clear();
        self.routing_counts = Default::default();
        self.deficit.clear();
        self.reserved.clear();
        self.demand.clear();
    }

    /// Schedules the release of a machine, unless one is already pending for any reason.
    /// Returns whether the release was newly scheduled.
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

    /// Returns the machines that are emptied before they are released.
    pub(super) fn releasing_when_empty(&self) -> BTreeSet<MachineId> {
        self.releasing
            .iter()
            .filter(|(_, release)| release.drains_first())
            .map(|(machine, _)| machine.clone())
            .collect()
    }
}
