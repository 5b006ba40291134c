//! Decides which shards move to another controller.
//!
//! A decided move is kept in the leader's state until the shard plan has carried it out:
//! the shard is cordoned first, and leased to its new owner once the replica shows it so.
//! Called in each pass of the fleet manager, with the state locked.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::state::{LeaderState, STATUS_TTL, ShardMove};
use crate::storage::{
    ControllerName, MachineId, ShardId, StateCache, ZoneName, records::ShardRecord,
};

/// Shards on their way to another controller at a time.
const MAX_MOVES: usize = 2;
/// A controller has lived this long before shards are moved to it: one that
/// keeps ending gets none.
const MIN_UPTIME: Duration = Duration::from_secs(5);
/// Machines by which two controllers of a zone may differ beside a whole shard.
const BALANCE_TOLERANCE: usize = 8;
/// An owner that has lost this many machines of a shard, and one of so many of all
/// in it, has lost the shard.
const LOST_SHARD_MIN_MACHINES: usize = 3;
const LOST_SHARD_FRACTION: usize = 6;
/// A controller that lost a shard gets no others for this long.
const AVOID_OWNER_PERIOD: Duration = Duration::from_secs(30);

/// A move of a shard that would make the controllers' load more even, or bring the shard to
/// its own zone.
struct RebalancingMove {
    shard: ShardId,
    to: ControllerName,
    /// Machines that the new owner has now.
    target_load: usize,
}

/// A shard of which the owner has lost a good part.
struct LostShard {
    /// Machines in it that the owner has lost.
    lost_machines: usize,
    /// The controller that reaches most of these.
    to: ControllerName,
}

/// Shards go to a controller of their own zone, and evenly. Their tasks do
/// not notice; new ones wait for a moment.
pub(super) fn rebalance(cache: &StateCache, state: &mut LeaderState, now: Instant) {
    if state.moving.len() >= MAX_MOVES || !state.unplaced.is_empty() {
        return;
    }
    if let Some(best) = best_move(cache, state) {
        tracing::info!(shard = %best.shard, to = %best.to, "shard rebalanced");
        let shard_move = ShardMove {
            to: best.to,
            since: now,
        };
        state.moving.insert(best.shard, shard_move);
    }
}

/// Of all moves that help, the first to the controller with the fewest machines.
fn best_move(cache: &StateCache, state: &LeaderState) -> Option<RebalancingMove> {
    let mut best: Option<RebalancingMove> = None;
    for (id, entry) in &cache.shards {
        let shard = &entry.value;
        if shard.machines.is_empty()
            || state.moving.contains_key(id)
            || !cache.has_current_owner(shard)
        {
            continue;
        }
        let Some(zone) = zone_of(cache, shard) else {
            continue;
        };
        let owner_is_near = is_in_zone(cache, &shard.controller, zone);
        let owner_load = load_of(cache, &shard.controller);
        for other in cache.controllers.keys() {
            if *other == shard.controller || !may_receive_shards(cache, state, other) {
                continue;
            }
            let target_load = load_of(cache, other);
            let target_is_near = is_in_zone(cache, other, zone);
            let evens_load = target_load + shard.machines.len() + BALANCE_TOLERANCE < owner_load;
            let helps = (target_is_near && !owner_is_near)
                || (target_is_near == owner_is_near && evens_load);
            if helps
                && best
                    .as_ref()
                    .is_none_or(|best| target_load < best.target_load)
            {
                best = Some(RebalancingMove {
                    shard: *id,
                    to: other.clone(),
                    target_load,
                });
            }
        }
    }
    best
}

/// Whether a controller has been up for a while, and has lost no shard lately.
fn may_receive_shards(
    cache: &StateCache,
    state: &LeaderState,
    controller: &ControllerName,
) -> bool {
    let incarnation = cache
        .controllers
        .get(controller)
        .map(|entry| entry.value.incarnation);
    let is_stable = state.statuses.get(controller).is_some_and(|peer| {
        peer.age() < STATUS_TTL
            && peer.first_received_at.elapsed() > MIN_UPTIME
            && Some(peer.incarnation) == incarnation
    });
    is_stable && !state.fleet.avoided_owners.contains_key(controller)
}

/// Machines that a controller owns.
fn load_of(cache: &StateCache, controller: &ControllerName) -> usize {
    cache.machines_of(controller).count()
}

fn is_in_zone(cache: &StateCache, controller: &ControllerName, zone: &ZoneName) -> bool {
    let record = cache.controllers.get(controller);
    record.is_some_and(|entry| entry.value.zone == *zone)
}

/// The zone of a shard's machines.
fn zone_of<'a>(cache: &'a StateCache, shard: &ShardRecord) -> Option<&'a ZoneName> {
    let mut machines = shard.machines.keys();
    let record = machines.find_map(|machine| cache.machines.get(machine))?;
    Some(&record.zone)
}

/// Shards of which their owner has lost a good part go as a whole to the
/// controller that has most of these: one by one, each machine would cost two
/// changes of its shard, and each of these a new token for all of its machines.
/// Returns the machines that are to move by themselves.
pub(super) fn move_lost_shards(
    cache: &StateCache,
    state: &mut LeaderState,
    mut owner_unreachable: BTreeMap<MachineId, ControllerName>,
    now: Instant,
) -> BTreeMap<MachineId, ControllerName> {
    state
        .fleet
        .avoided_owners
        .retain(|_, since| now.duration_since(*since) < AVOID_OWNER_PERIOD);
    if owner_unreachable.is_empty() {
        return owner_unreachable;
    }
    for (id, entry) in &cache.shards {
        let shard = &entry.value;
        let Some(LostShard { lost_machines, to }) = lost_shard(shard, &owner_unreachable) else {
            continue;
        };
        state
            .fleet
            .avoided_owners
            .insert(shard.controller.clone(), now);
        owner_unreachable.retain(|machine, _| !shard.machines.contains_key(machine));
        if !state.moving.contains_key(id) {
            tracing::info!(shard = %id, from = %shard.controller, %to, lost = lost_machines,
                "shard owner lost its agents");
            state.moving.insert(*id, ShardMove { to, since: now });
        }
    }
    owner_unreachable
}

/// Whether a shard's owner has lost so many of its machines that all of it is to move.
fn lost_shard(
    shard: &ShardRecord,
    owner_unreachable: &BTreeMap<MachineId, ControllerName>,
) -> Option<LostShard> {
    let mut reached_by: BTreeMap<&ControllerName, usize> = BTreeMap::new();
    for machine in shard.machines.keys() {
        if let Some(controller) = owner_unreachable.get(machine) {
            *reached_by.entry(controller).or_default() += 1;
        }
    }
    let lost_machines: usize = reached_by.values().sum();
    if lost_machines < LOST_SHARD_MIN_MACHINES
        || lost_machines * LOST_SHARD_FRACTION < shard.machines.len()
    {
        return None;
    }
    let (to, _) = reached_by.into_iter().max_by_key(|(_, count)| *count)?;
    Some(LostShard {
        lost_machines,
        to: to.clone(),
    })
}
