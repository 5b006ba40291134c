//! Finds machines that must go back or elsewhere for a reason of their own.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::{PeerRequest, PeerResponse},
        context::lock,
        leader::{
            Leader,
            fleet::{PendingRelease, ReleaseReason},
            state::{LeaderState, OwnedMachineStatus, STATUS_TTL, ShardMove},
        },
    },
    storage::{ControllerName, MachineId, ShardId, StateCache, TaskId, ZoneName},
};

/// A machine that seems to be gone.
pub(super) struct UnresponsiveMachine {
    pub(super) machine: MachineId,
    pub(super) address: String,
    pub(super) neighbours: Vec<String>,
}

/// An unresponsive machine that another controller reaches is left alone this long.
pub(super) const VERIFIED_TTL: Duration = Duration::from_secs(3);

/// A machine is quarantined for this long before it goes: what failed on it is tried
/// elsewhere meanwhile, which shows whether the jobs are to blame.
pub(super) const QUARANTINE_PERIOD: Duration = Duration::from_secs(8);

/// A quarantined machine's tasks are left this long to end by themselves.
pub(super) const QUARANTINE_EVICTION_DELAY: Duration = Duration::from_secs(15);

/// Neighbours probed beside an unresponsive machine, to tell a hang from a network partition.
pub(super) const NEIGHBOURS: usize = 6;

/// Shards on their way to another controller at a time.
pub(super) const MAX_MOVES: usize = 2;

/// A controller has lived this long before shards are moved to it: one that
/// keeps ending gets none.
const MIN_UPTIME: Duration = Duration::from_secs(5);

/// Machines by which two controllers of a zone may differ beside a whole shard.
const BALANCE_TOLERANCE: usize = 8;

/// A probe of a machine by a controller that hears it, while its owner does not.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    /// Who reached it.
    by: Option<ControllerName>,
    since: Instant,
    asked: Instant,
}

/// Between two probes of the same machine, and how many begin in one pass.
const INDIRECT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
const MAX_INDIRECT_PROBES_PER_PASS: usize = 64;
/// Probes are forgotten after this time without another.
const INDIRECT_PROBE_TTL: Duration = Duration::from_secs(12);

/// An owner that has lost this many machines of a shard, and one of so many of all
/// in it, has lost the shard.
const LOST_SHARD_MIN_MACHINES: usize = 3;
const LOST_SHARD_FRACTION: usize = 6;
/// A controller that lost a shard gets no others for this long.
const AVOID_OWNER_PERIOD: Duration = Duration::from_secs(30);

/// From so many unreachable machines of a zone on, what their owners say tells a
/// hang from a network partition, without further probes.
const PARTITION_EVIDENCE: usize = 2 * NEIGHBOURS;

impl Leader {
    /// Every controller probes a machine that is unresponsive to its owner: only
    /// one that nobody reaches is returned. If most of its neighbours do not
    /// answer either, that is a network partition which the others have not shown yet, since
    /// heartbeats come at different times.
    pub(super) async fn verify_unresponsive(&self, quarantined: UnresponsiveMachine) {
        let UnresponsiveMachine {
            machine,
            address,
            neighbours,
        } = quarantined;
        let probes = neighbours
            .iter()
            .map(|address| self.context.agent_client.inspect(address));
        let others = self.context.config.peers.iter().map(|(peer, _)| {
            let call = PeerRequest::Probe(address.clone());
            async move {
                matches!(
                    self.context.peers.call(peer, call).await,
                    Ok(PeerResponse::ProbeResult(true))
                )
            }
        });
        let (own, others, probes) = futures::future::join3(
            self.context.agent_client.inspect(&address),
            futures::future::join_all(others),
            futures::future::join_all(probes),
        )
        .await;
        let unreachable_count = probes.iter().filter(|probe| probe.is_err()).count();
        let is_partition = unreachable_count * 2 > neighbours.len();
        let now = Instant::now();
        let mut state = lock(&self.state);
        if own.is_ok() || others.contains(&true) || is_partition {
            tracing::debug!(%machine, is_partition, "unresponsive to its owner, but not terminated");
            state.fleet.verifying.insert(machine, now + VERIFIED_TTL);
            return;
        }
        state.fleet.verifying.remove(&machine);
        tracing::info!(%machine, reason = ?ReleaseReason::Unresponsive, "release scheduled");
        state.releasing.insert(
            machine,
            PendingRelease::new(ReleaseReason::Unresponsive, now),
        );
    }

    /// Finds machines that must go back for a reason of their own, and the
    /// marked ones whose time has come. Returns those that seem to be gone.
    pub(super) fn detect_failures(
        self: &Arc<Self>,
        cache: &StateCache,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<UnresponsiveMachine> {
        let paid = self.context.config.tuning.paid;
        let limit = self.context.config.unresponsive_after();
        let now_ms = self.context.config.now_ms();
        let mut unresponsive = Vec::new();
        let mut command_path_lost = Vec::new();
        let mut refusing = BTreeSet::new();
        let mut quarantined_since = BTreeMap::new();
        let mut unreachable = 0;
        // Ordinary machines of each zone, and how many of them nobody reaches.
        let mut zones: BTreeMap<&ZoneName, (usize, usize)> = BTreeMap::new();
        let mut to_reach = Vec::new();
        let mut owner_unreachable = BTreeMap::new();
        let mut found: Vec<(MachineId, ReleaseReason)> = Vec::new();
        state
            .releasing
            .retain(|id, _| cache.machines.contains_key(id));
        for entry in cache.shards.values() {
            let controller = &entry.value.controller;
            for id in entry.value.machines.keys() {
                let Some(record) = cache.machines.get(id) else {
                    continue;
                };
                let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
                if !record.spot {
                    zones.entry(&record.zone).or_default().0 += 1;
                }
                if !state.is_up(cache, id) {
                    let boot = cache
                        .machine_type(&record.kind)
                        .map_or(Duration::from_secs(60), |kind| kind.boot);
                    if age > boot.mul_f64(2.5) + Duration::from_secs(15) {
                        found.push((id.clone(), ReleaseReason::BootTimeout));
                    }
                    refusing.insert(id.clone());
                    continue;
                }
                if let Some(OwnedMachineStatus {
                    machine: held,
                    since_heartbeat,
                }) = state.owned_machine(controller, id)
                {
                    // Only one that its owner has not heard lately is looked
                    // for elsewhere: that is work for each machine.
                    let indirectly_heard = (since_heartbeat
                        > self.context.config.heartbeat_interval)
                        .then(|| state.indirectly_heard_by(controller, id))
                        .flatten()
                        .filter(|contact| {
                            contact.age < self.context.config.indirect_heartbeat_max_age()
                        })
                        .map(|contact| (contact.controller, contact.age));
                    match indirectly_heard {
                        Some((other, _)) if since_heartbeat > limit.mul_f64(0.7) => {
                            match state.fleet.indirect_probes.get(id) {
                                Some(probe) if probe.by.as_ref() == Some(&other) => {
                                    owner_unreachable.insert(id.clone(), other.clone());
                                }
                                // Its heartbeats get out, but nobody gets in.
                                Some(probe)
                                    if probe.by.is_none()
                                        && now.duration_since(probe.since)
                                            > self.context.config.command_path_timeout() =>
                                {
                                    command_path_lost.push(id.clone());
                                }
                                _ => {}
                            }
                            if let Some(address) = &record.address {
                                to_reach.push((id.clone(), address.clone(), other));
                            }
                        }
                        Some(_) => {}
                        None if held.unreachable => {
                            unreachable += usize::from(!record.spot);
                            if !record.spot {
                                zones.entry(&record.zone).or_default().1 += 1;
                            }
                            if since_heartbeat > limit
                                && let Some(address) = &record.address
                            {
                                unresponsive.push((
                                    id.clone(),
                                    address.clone(),
                                    since_heartbeat,
                                    record.spot,
                                ));
                            }
                        }
                        None => {}
                    }
                    if held.unreachable
                        || held.quarantined
                        || held.leaving
                        || held.command_path_lost
                        || since_heartbeat > limit
                    {
                        refusing.insert(id.clone());
                    }
                    if held.quarantined {
                        let since = state
                            .fleet
                            .quarantined_since
                            .get(id)
                            .copied()
                            .unwrap_or(now);
                        quarantined_since.insert(id.clone(), since);
                        if now.duration_since(since) > QUARANTINE_PERIOD {
                            found.push((id.clone(), ReleaseReason::Quarantined));
                        }
                    }
                    if held.command_path_lost {
                        command_path_lost.push(id.clone());
                    }
                }
                let idle = !cache.on_machine.contains_key(id);
                if state.fleet.draining_machines.contains(id)
                    && idle
                    && paid.left(age) < Duration::from_secs(3)
                {
                    found.push((id.clone(), ReleaseReason::ScaledIn));
                }
            }
        }
        // One unresponsive machine is a hang, and returning it is the quick proof
        // that its tasks are gone. Many at once are rather a network partition, in which they
        // go on working until their leases end; only spot machines are taken in
        // numbers. They cross the threshold one after the other, so all that
        // cannot be reached count.
        let ordinary = cache.machines.values().filter(|record| !record.spot);
        let threshold = 2.max(ordinary.count() / 4);
        let many = unreachable > threshold;
        // The same holds for machines that hear nothing of us.
        if command_path_lost.len() <= 2.max(cache.machines.len() / 10) {
            found.extend(
                command_path_lost
                    .into_iter()
                    .map(|id| (id, ReleaseReason::CommandPathLost)),
            );
        }
        let patience = self.context.config.agent_lease + self.context.config.heartbeat_interval;
        state.fleet.verifying.retain(|_, until| *until > now);
        let mut to_verify = Vec::new();
        for (id, address, since_heartbeat, spot) in unresponsive {
            let known = state
                .releasing
                .get(&id)
                .is_some_and(|item| item.reason == ReleaseReason::Unresponsive);
            if (spot || !many || since_heartbeat > patience)
                && !known
                && !state.fleet.verifying.contains_key(&id)
                && state.fleet.verifying.len() < self.context.config.max_concurrent_probes()
            {
                state.fleet.verifying.insert(id.clone(), now + VERIFIED_TTL);
                let zone = cache.machines.get(&id).map(|record| &record.zone);
                let (all, unreachable_count) = zone
                    .and_then(|zone| zones.get(zone))
                    .copied()
                    .unwrap_or_default();
                let neighbours = if spot || since_heartbeat > patience {
                    Vec::new()
                } else if unreachable_count >= PARTITION_EVIDENCE {
                    if unreachable_count * 2 > all {
                        // Most of the zone: rather a network partition.
                        continue;
                    }
                    Vec::new()
                } else {
                    self.neighbours(cache, state, &id, zone)
                };
                to_verify.push(UnresponsiveMachine {
                    machine: id,
                    address,
                    neighbours,
                });
            }
        }
        state.fleet.quarantined_since = quarantined_since;
        self.probe_indirectly(state, to_reach, now);
        state.owner_unreachable = Self::move_lost_shards(cache, state, owner_unreachable, now);
        state.fleet.refusing = refusing;
        for (id, reason) in found {
            if state.schedule_release(&id, reason, now) {
                tracing::info!(machine = %id, ?reason, "release scheduled");
            }
            state.fleet.draining_machines.remove(&id);
        }
        state
            .fleet
            .draining_machines
            .retain(|id| cache.machines.contains_key(id));
        to_verify
    }

    /// Shards of which their owner has lost a good part go as a whole to the
    /// controller that has most of these: one by one, each machine would cost two
    /// changes of its shard, and each of these a new token for all of its machines.
    /// Returns the machines that are to move by themselves.
    fn move_lost_shards(
        cache: &StateCache,
        state: &mut LeaderState,
        mut owner_unreachable: BTreeMap<MachineId, ControllerName>,
        now: Instant,
    ) -> BTreeMap<MachineId, ControllerName> {
        state
            .fleet
            .avoided_owners
            .retain(|_, at| now.duration_since(*at) < AVOID_OWNER_PERIOD);
        if owner_unreachable.is_empty() {
            return owner_unreachable;
        }
        for (id, entry) in &cache.shards {
            let shard = &entry.value;
            let mut targets: BTreeMap<&ControllerName, usize> = BTreeMap::new();
            for machine in shard.machines.keys() {
                if let Some(target) = owner_unreachable.get(machine) {
                    *targets.entry(target).or_default() += 1;
                }
            }
            let lost: usize = targets.values().sum();
            if lost < LOST_SHARD_MIN_MACHINES || lost * LOST_SHARD_FRACTION < shard.machines.len() {
                continue;
            }
            let Some((target, _)) = targets.into_iter().max_by_key(|(_, count)| *count) else {
                continue;
            };
            let target = target.clone();
            state
                .fleet
                .avoided_owners
                .insert(shard.controller.clone(), now);
            owner_unreachable.retain(|machine, _| !shard.machines.contains_key(machine));
            if !state.moving.contains_key(id) {
                tracing::info!(shard = %id, from = %shard.controller, to = %target, lost,
                    "shard owner lost its agents");
                state.moving.insert(
                    *id,
                    ShardMove {
                        to: target,
                        since: now,
                    },
                );
            }
        }
        owner_unreachable
    }

    /// Asks controllers that hear a machine, which its owner does not, whether
    /// they reach it too. Its heartbeats may arrive while nothing reaches it: moved to
    /// whom it sends heartbeats, it would go round all controllers and answer to none.
    fn probe_indirectly(
        self: &Arc<Self>,
        state: &mut LeaderState,
        machines: Vec<(MachineId, String, ControllerName)>,
        now: Instant,
    ) {
        let fleet = &mut state.fleet;
        fleet
            .indirect_probes
            .retain(|_, probe| now.duration_since(probe.asked) < INDIRECT_PROBE_TTL);
        let mut asked = 0;
        for (machine, address, other) in machines {
            let probe = fleet
                .indirect_probes
                .entry(machine.clone())
                .or_insert(IndirectProbe {
                    by: None,
                    since: now,
                    asked: now - INDIRECT_PROBE_INTERVAL,
                });
            if now.duration_since(probe.asked) < INDIRECT_PROBE_INTERVAL
                || asked >= MAX_INDIRECT_PROBES_PER_PASS
            {
                continue;
            }
            probe.asked = now;
            asked += 1;
            let leader = self.clone();
            tokio::spawn(async move {
                let reached = if other == leader.context.config.name {
                    leader.context.agent_client.inspect(&address).await.is_ok()
                } else {
                    matches!(
                        leader
                            .context
                            .peers
                            .call(&other, PeerRequest::Probe(address))
                            .await,
                        Ok(PeerResponse::ProbeResult(true))
                    )
                };
                let mut state = lock(&leader.state);
                if let Some(probe) = state.fleet.indirect_probes.get_mut(&machine)
                    && (reached || probe.by.is_none())
                {
                    probe.by = reached.then_some(other);
                }
            });
        }
    }

    /// Some ordinary machines of the zone. Those already found unreachable are
    /// not among them: several may hang at once, which would look like a network partition.
    fn neighbours(
        &self,
        cache: &StateCache,
        state: &LeaderState,
        machine: &MachineId,
        zone: Option<&ZoneName>,
    ) -> Vec<String> {
        cache
            .machines
            .iter()
            .filter(|(other, record)| {
                *other != machine && !record.spot && Some(&record.zone) == zone
            })
            .filter(|(other, _)| !state.fleet.verifying.contains_key(*other))
            .filter_map(|(_, record)| record.address.clone())
            .take(NEIGHBOURS)
            .collect()
    }

    /// Shards go to a controller of their own zone, and evenly. Their tasks do
    /// not notice; new ones wait for a moment.
    pub(super) fn rebalance(&self, cache: &StateCache, state: &mut LeaderState, now: Instant) {
        if state.moving.len() >= MAX_MOVES || !state.unplaced.is_empty() {
            return;
        }
        let is_stable = |controller: &ControllerName| {
            state.statuses.get(controller).is_some_and(|peer| {
                peer.age() < STATUS_TTL
                    && peer.first_received_at.elapsed() > MIN_UPTIME
                    && Some(peer.incarnation)
                        == cache
                            .controllers
                            .get(controller)
                            .map(|entry| entry.value.incarnation)
            })
        };
        let load = |controller: &ControllerName| cache.machines_of(controller).count();
        let mut best: Option<(usize, ShardId, ControllerName)> = None;
        for (id, entry) in &cache.shards {
            let shard = &entry.value;
            let size = shard.machines.len();
            if size == 0 || state.moving.contains_key(id) || !cache.has_current_owner(shard) {
                continue;
            }
            let Some(zone) = shard
                .machines
                .keys()
                .find_map(|machine| cache.machines.get(machine))
                .map(|record| &record.zone)
            else {
                continue;
            };
            let near = cache
                .controllers
                .get(&shard.controller)
                .map(|entry| &entry.value.zone)
                == Some(zone);
            let count = load(&shard.controller);
            for (other, record) in &cache.controllers {
                if *other == shard.controller
                    || !is_stable(other)
                    || state.fleet.avoided_owners.contains_key(other)
                {
                    continue;
                }
                let theirs = load(other);
                let nearer = record.value.zone == *zone;
                let better = (nearer && !near)
                    || (nearer == near && theirs + size + BALANCE_TOLERANCE < count);
                if better && best.as_ref().is_none_or(|(least, _, _)| theirs < *least) {
                    best = Some((theirs, *id, other.clone()));
                }
            }
        }
        if let Some((_, id, other)) = best {
            tracing::info!(shard = %id, to = %other, "shard rebalanced");
            state.moving.insert(
                id,
                ShardMove {
                    to: other,
                    since: now,
                },
            );
        }
    }

    /// Quarantined machines that do not empty by themselves are cleared.
    pub(super) async fn evict_quarantined(&self) {
        let mut preemptions: BTreeMap<ControllerName, Vec<TaskId>> = BTreeMap::new();
        {
            let cache = self.context.store.cache();
            let state = lock(&self.state);
            for (id, item) in &state.releasing {
                if item.reason != ReleaseReason::Quarantined
                    || item.since.elapsed() < QUARANTINE_EVICTION_DELAY
                {
                    continue;
                }
                if let (Some(load), Some((_, entry))) =
                    (cache.on_machine.get(id), cache.shard_of(id))
                {
                    preemptions
                        .entry(entry.value.controller.clone())
                        .or_default()
                        .extend(load.tasks.keys().cloned());
                }
            }
        }
        self.send_preemptions(preemptions).await;
    }
}
