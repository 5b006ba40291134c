//! Finds machines that must go back or elsewhere for a reason of their own.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::{
        leader::{
            LeaderState,
            fleet::{Reason, Return},
        },
        node::{Node, lock},
        ports::{PeerAnswer, PeerCall},
    },
    storage::{BlockId, MachineId, NodeName, StateCache, TaskId, ZoneName},
};

/// A machine that seems to be gone.
pub(super) struct Suspect {
    pub(super) machine: MachineId,
    pub(super) address: String,
    pub(super) neighbours: Vec<String>,
}

/// A silent machine that another controller reaches is left alone this long.
pub(super) const FOUND_UP: Duration = Duration::from_secs(3);

/// A machine is suspect for this long before it goes: what failed on it is tried
/// elsewhere meanwhile, which shows whether the jobs are to blame.
pub(super) const SUSPECT_FOR: Duration = Duration::from_secs(8);

/// A suspect machine's tasks are left this long to end by themselves.
pub(super) const EMPTY_AFTER: Duration = Duration::from_secs(15);

/// Machines looked at beside a silent one, to tell a hang from a cut.
pub(super) const NEIGHBOURS: usize = 6;

/// Blocks on their way to another controller at a time.
pub(super) const MOVES: usize = 2;

/// A controller has lived this long before blocks are moved to it: one that
/// keeps ending gets none.
const LIVED: Duration = Duration::from_secs(5);

/// Machines by which two controllers of a zone may differ beside a whole block.
const EVEN_ENOUGH: usize = 8;

/// A look at a machine by a controller that hears it, which its holder does not.
#[derive(Clone, Debug)]
pub struct Look {
    /// Who reached it.
    by: Option<NodeName>,
    since: Instant,
    asked: Instant,
}

/// Between two looks at the same machine, and how many begin in one pass.
const LOOK_AGAIN: Duration = Duration::from_secs(2);
const LOOKS_AT_ONCE: usize = 64;
/// Looks are forgotten after this time without another.
const REACHED_LIFE: Duration = Duration::from_secs(12);

/// A holder that has lost this many machines of a block, and one of so many of all
/// in it, has lost the block.
const LOST_LEAST: usize = 3;
const LOST_PART: usize = 6;
/// A controller that lost a block gets no others for this long.
const SHUNNED: Duration = Duration::from_secs(30);

/// From so many unreachable machines of a zone on, what their holders say tells a
/// hang from a cut, without further looks.
const ENOUGH: usize = 2 * NEIGHBOURS;

impl Node {
    /// Every controller looks at a machine that is silent to its holder: only
    /// one that nobody reaches is returned. If most of its neighbours do not
    /// answer either, that is a cut which the others have not shown yet, since
    /// reports come at different times.
    pub(super) async fn verify_silent(&self, suspect: Suspect) {
        let Suspect {
            machine,
            address,
            neighbours,
        } = suspect;
        let looks = neighbours
            .iter()
            .map(|address| self.workers.inspect(address));
        let others = self.config.peers.iter().map(|(peer, _)| {
            let call = PeerCall::Probe(address.clone());
            async move {
                matches!(
                    self.peers.call(peer, call).await,
                    Ok(PeerAnswer::Probed(true))
                )
            }
        });
        let (own, others, looks) = futures::future::join3(
            self.workers.inspect(&address),
            futures::future::join_all(others),
            futures::future::join_all(looks),
        )
        .await;
        let dark = looks.iter().filter(|look| look.is_err()).count();
        let is_cut = dark * 2 > neighbours.len();
        let now = Instant::now();
        let mut state = lock(&self.leader);
        if own.is_ok() || others.contains(&true) || is_cut {
            tracing::debug!(%machine, is_cut, "silent to its holder, but not gone");
            state.fleet.verifying.insert(machine, now + FOUND_UP);
            return;
        }
        state.fleet.verifying.remove(&machine);
        tracing::info!(%machine, reason = ?Reason::Silent, "to be returned");
        state.returning.insert(
            machine,
            Return {
                reason: Reason::Silent,
                since: now,
                in_flight: false,
            },
        );
    }

    /// Finds machines that must go back for a reason of their own, and the
    /// marked ones whose time has come. Returns those that seem to be gone.
    pub(super) fn find_faulty(
        self: &Arc<Self>,
        cache: &StateCache,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<Suspect> {
        let paid = self.config.tuning.paid;
        let limit = self.config.silent();
        let now_ms = self.config.now_ms();
        let mut silent = Vec::new();
        let mut deaf = Vec::new();
        let mut refusing = BTreeSet::new();
        let mut suspects = BTreeMap::new();
        let mut unreachable = 0;
        // Ordinary machines of each zone, and how many of them nobody reaches.
        let mut zones: BTreeMap<&ZoneName, (usize, usize)> = BTreeMap::new();
        let mut to_reach = Vec::new();
        let mut stranded = BTreeMap::new();
        let mut found: Vec<(MachineId, Reason)> = Vec::new();
        state
            .returning
            .retain(|id, _| cache.machines.contains_key(id));
        for kept in cache.blocks.values() {
            let node = &kept.value.node;
            for id in kept.value.machines.keys() {
                let Some(record) = cache.machines.get(id) else {
                    continue;
                };
                let age = Duration::from_millis(now_ms.saturating_sub(record.rented_ms));
                if !record.spot {
                    zones.entry(&record.zone).or_default().0 += 1;
                }
                if !state.is_up(cache, id) {
                    let boot = cache
                        .machine_type(&record.kind)
                        .map_or(Duration::from_secs(60), |kind| kind.boot);
                    if age > boot.mul_f64(2.5) + Duration::from_secs(15) {
                        found.push((id.clone(), Reason::Stuck));
                    }
                    refusing.insert(id.clone());
                    continue;
                }
                if let Some((held, quiet)) = state.held(node, id) {
                    // Only one that its holder has not heard lately is looked
                    // for elsewhere: that is work for each machine.
                    let sighted = (quiet > self.config.worker_report)
                        .then(|| state.sighted_by(node, id))
                        .flatten()
                        .filter(|(_, age)| *age < self.config.sighted());
                    match sighted {
                        Some((other, _)) if quiet > limit.mul_f64(0.7) => {
                            match state.fleet.reached.get(id) {
                                Some(look) if look.by.as_ref() == Some(&other) => {
                                    stranded.insert(id.clone(), other.clone());
                                }
                                // Its reports get out, but nobody gets in.
                                Some(look)
                                    if look.by.is_none()
                                        && now.duration_since(look.since)
                                            > self.config.deaf_after() =>
                                {
                                    deaf.push(id.clone());
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
                            if quiet > limit
                                && let Some(address) = &record.address
                            {
                                silent.push((id.clone(), address.clone(), quiet, record.spot));
                            }
                        }
                        None => {}
                    }
                    if held.unreachable
                        || held.suspect
                        || held.leaving
                        || held.deaf
                        || quiet > limit
                    {
                        refusing.insert(id.clone());
                    }
                    if held.suspect {
                        let since = state.fleet.suspects.get(id).copied().unwrap_or(now);
                        suspects.insert(id.clone(), since);
                        if now.duration_since(since) > SUSPECT_FOR {
                            found.push((id.clone(), Reason::Suspect));
                        }
                    }
                    if held.deaf {
                        deaf.push(id.clone());
                    }
                }
                let idle = !cache.on_machine.contains_key(id);
                if state.fleet.marked.contains(id)
                    && idle
                    && paid.left(age) < Duration::from_secs(3)
                {
                    found.push((id.clone(), Reason::Unneeded));
                }
            }
        }
        // One silent machine is a hang, and returning it is the quick proof
        // that its tasks are gone. Many at once are rather a cut, in which they
        // go on working until their leases end; only spot machines are taken in
        // numbers. They cross the threshold one after the other, so all that
        // cannot be reached count.
        let ordinary = cache.machines.values().filter(|record| !record.spot);
        let threshold = 2.max(ordinary.count() / 4);
        let many = unreachable > threshold;
        // The same holds for machines that hear nothing of us.
        if deaf.len() <= 2.max(cache.machines.len() / 10) {
            found.extend(deaf.into_iter().map(|id| (id, Reason::Deaf)));
        }
        let patience = self.config.worker_lease + self.config.worker_report;
        state.fleet.verifying.retain(|_, until| *until > now);
        let mut to_verify = Vec::new();
        for (id, address, quiet, spot) in silent {
            let known = state
                .returning
                .get(&id)
                .is_some_and(|item| item.reason == Reason::Silent);
            if (spot || !many || quiet > patience)
                && !known
                && !state.fleet.verifying.contains_key(&id)
                && state.fleet.verifying.len() < self.config.looks_at_once()
            {
                state.fleet.verifying.insert(id.clone(), now + FOUND_UP);
                let zone = cache.machines.get(&id).map(|record| &record.zone);
                let (all, dark) = zone
                    .and_then(|zone| zones.get(zone))
                    .copied()
                    .unwrap_or_default();
                let neighbours = if spot || quiet > patience {
                    Vec::new()
                } else if dark >= ENOUGH {
                    if dark * 2 > all {
                        // Most of the zone: rather a cut.
                        continue;
                    }
                    Vec::new()
                } else {
                    self.neighbours(cache, state, &id, zone)
                };
                to_verify.push(Suspect {
                    machine: id,
                    address,
                    neighbours,
                });
            }
        }
        state.fleet.suspects = suspects;
        self.look_from_others(state, to_reach, now);
        state.stranded = Self::move_lost_blocks(cache, state, stranded, now);
        state.fleet.refusing = refusing;
        for (id, reason) in found {
            if !state.returning.contains_key(&id) {
                tracing::info!(machine = %id, ?reason, "to be returned");
                state.returning.insert(
                    id.clone(),
                    Return {
                        reason,
                        since: now,
                        in_flight: false,
                    },
                );
            }
            state.fleet.marked.remove(&id);
        }
        state
            .fleet
            .marked
            .retain(|id| cache.machines.contains_key(id));
        to_verify
    }

    /// Blocks of which their holder has lost a good part go as a whole to the
    /// controller that has most of these: one by one, each machine would cost two
    /// changes of its block, and each of these a new token for all of its machines.
    /// Returns the machines that are to move by themselves.
    fn move_lost_blocks(
        cache: &StateCache,
        state: &mut LeaderState,
        mut stranded: BTreeMap<MachineId, NodeName>,
        now: Instant,
    ) -> BTreeMap<MachineId, NodeName> {
        state
            .fleet
            .shunned
            .retain(|_, at| now.duration_since(*at) < SHUNNED);
        if stranded.is_empty() {
            return stranded;
        }
        for (id, kept) in &cache.blocks {
            let block = &kept.value;
            let mut targets: BTreeMap<&NodeName, usize> = BTreeMap::new();
            for machine in block.machines.keys() {
                if let Some(target) = stranded.get(machine) {
                    *targets.entry(target).or_default() += 1;
                }
            }
            let lost: usize = targets.values().sum();
            if lost < LOST_LEAST || lost * LOST_PART < block.machines.len() {
                continue;
            }
            let Some((target, _)) = targets.into_iter().max_by_key(|(_, count)| *count) else {
                continue;
            };
            let target = target.clone();
            state.fleet.shunned.insert(block.node.clone(), now);
            stranded.retain(|machine, _| !block.machines.contains_key(machine));
            if !state.moving.contains_key(id) {
                tracing::info!(block = %id, from = %block.node, to = %target, lost,
                    "its holder has lost it");
                state.moving.insert(*id, (target, now));
            }
        }
        stranded
    }

    /// Asks controllers that hear a machine, which its holder does not, whether
    /// they reach it too. Its reports may arrive while nothing reaches it: moved to
    /// whom it reports, it would go round all controllers and answer to none.
    fn look_from_others(
        self: &Arc<Self>,
        state: &mut LeaderState,
        machines: Vec<(MachineId, String, NodeName)>,
        now: Instant,
    ) {
        let fleet = &mut state.fleet;
        fleet
            .reached
            .retain(|_, look| now.duration_since(look.asked) < REACHED_LIFE);
        let mut asked = 0;
        for (machine, address, other) in machines {
            let look = fleet.reached.entry(machine.clone()).or_insert(Look {
                by: None,
                since: now,
                asked: now - LOOK_AGAIN,
            });
            if now.duration_since(look.asked) < LOOK_AGAIN || asked >= LOOKS_AT_ONCE {
                continue;
            }
            look.asked = now;
            asked += 1;
            let node = self.clone();
            tokio::spawn(async move {
                let reached = if other == node.config.node {
                    node.workers.inspect(&address).await.is_ok()
                } else {
                    matches!(
                        node.peers.call(&other, PeerCall::Probe(address)).await,
                        Ok(PeerAnswer::Probed(true))
                    )
                };
                let mut state = lock(&node.leader);
                if let Some(look) = state.fleet.reached.get_mut(&machine)
                    && (reached || look.by.is_none())
                {
                    look.by = reached.then_some(other);
                }
            });
        }
    }

    /// Some ordinary machines of the zone. Those already found unreachable are
    /// not among them: several may hang at once, which would look like a cut.
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

    /// Blocks go to a controller of their own zone, and evenly. Their tasks do
    /// not notice; new ones wait for a moment.
    pub(super) fn rebalance(&self, cache: &StateCache, state: &mut LeaderState, now: Instant) {
        if state.moving.len() >= MOVES || !state.unplaced.is_empty() {
            return;
        }
        let settled = |node: &NodeName| {
            state.statuses.get(node).is_some_and(|told| {
                told.at.elapsed() < super::super::STATUS_LIFE
                    && told.since.elapsed() > LIVED
                    && Some(told.incarnation)
                        == cache.nodes.get(node).map(|kept| kept.value.incarnation)
            })
        };
        let load = |node: &NodeName| cache.machines_of(node).count();
        let mut best: Option<(usize, BlockId, NodeName)> = None;
        for (id, kept) in &cache.blocks {
            let block = &kept.value;
            let size = block.machines.len();
            if size == 0 || state.moving.contains_key(id) || !cache.is_seated(block) {
                continue;
            }
            let Some(zone) = block
                .machines
                .keys()
                .find_map(|machine| cache.machines.get(machine))
                .map(|record| &record.zone)
            else {
                continue;
            };
            let near = cache.nodes.get(&block.node).map(|kept| &kept.value.zone) == Some(zone);
            let count = load(&block.node);
            for (other, record) in &cache.nodes {
                if *other == block.node
                    || !settled(other)
                    || state.fleet.shunned.contains_key(other)
                {
                    continue;
                }
                let theirs = load(other);
                let nearer = record.value.zone == *zone;
                let better =
                    (nearer && !near) || (nearer == near && theirs + size + EVEN_ENOUGH < count);
                if better && best.as_ref().is_none_or(|(least, _, _)| theirs < *least) {
                    best = Some((theirs, *id, other.clone()));
                }
            }
        }
        if let Some((_, id, other)) = best {
            tracing::info!(block = %id, to = %other, "moves");
            state.moving.insert(id, (other, now));
        }
    }

    /// Suspect machines that do not empty by themselves are cleared.
    pub(super) async fn empty_suspects(&self) {
        let mut orders: BTreeMap<NodeName, Vec<TaskId>> = BTreeMap::new();
        {
            let cache = self.store.cache();
            let state = lock(&self.leader);
            for (id, item) in &state.returning {
                if item.reason != Reason::Suspect || item.since.elapsed() < EMPTY_AFTER {
                    continue;
                }
                if let (Some(load), Some((_, kept))) =
                    (cache.on_machine.get(id), cache.block_of(id))
                {
                    orders
                        .entry(kept.value.node.clone())
                        .or_default()
                        .extend(load.tasks.keys().cloned());
                }
            }
        }
        self.send_preemptions(orders).await;
    }
}
