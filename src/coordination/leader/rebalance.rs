//! Decides which shards move to another controller.
//!
//! A move is kept in the leader's state until the shard plan has carried it out: the shard is first
//! cordoned, and leased to its new owner once the state cache shows it as cordoned. Runs in each
//! pass of the fleet manager, with the state locked.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::state::{LeaderState, STATUS_TTL, ShardMove};
use crate::storage::{
    ControllerName, MachineId, ShardId, StateCache, ZoneName, records::ShardRecord,
};

/// Rebalancing starts no further move while this many shards are being moved for any reason.
const MAX_CONCURRENT_MOVES: usize = 2;
/// Minimum uptime of a controller before shards are moved to it, so that a crash-looping
/// controller gets none.
const MIN_UPTIME: Duration = Duration::from_secs(5);
/// A shard moves for balance only if its owner has more than this many machines beyond what
/// the new owner would have after the move.
const BALANCE_TOLERANCE_MACHINES: usize = 8;
/// A shard is moved as a whole if its owner cannot reach at least this many of its machines,
/// and at least one in [`LOST_SHARD_DIVISOR`] of them.
const LOST_SHARD_MIN_MACHINES: usize = 3;
const LOST_SHARD_DIVISOR: usize = 6;
/// For this long after a controller lost a shard, no shards are moved to it for balance, and
/// other controllers are preferred as owners of machines.
const AVOID_OWNER_PERIOD: Duration = Duration::from_secs(30);

/// A move of a shard that would make the controllers' load more even, or give the shard an
/// owner in its own zone.
struct RebalancingMove {
    shard: ShardId,
    to: ControllerName,
    /// Number of machines that the new owner has before the move.
    target_load: usize,
}

/// A shard whose owner cannot reach a large part of its machines.
struct LostShard {
    /// Number of its machines that the owner cannot reach.
    lost_machines: usize,
    /// The controller that reaches the most of these machines.
    to: ControllerName,
}

/// Starts a move of a shard to a controller of its own zone, or to one with fewer machines. Running
/// tasks are not affected. New ones are not placed on the shard while it moves, so no move starts
/// while tasks wait for capacity.
pub(super) fn rebalance(cache: &StateCache, state: &mut LeaderState, now: Instant) {
    if state.shard_moves.len() >= MAX_CONCURRENT_MOVES || !state.unplaced.is_empty() {
        return;
    }
    if let Some(best) = best_move(cache, state) {
        tracing::info!(shard = %best.shard, to = %best.to, "shard rebalanced");
        let shard_move = ShardMove {
            to: best.to,
            since: now,
        };
        state.shard_moves.insert(best.shard, shard_move);
    }
}

/// Returns the improving move whose new owner has the fewest machines; of equal moves the
/// first.
fn best_move(cache: &StateCache, state: &LeaderState) -> Option<RebalancingMove> {
    let mut best: Option<RebalancingMove> = None;
    for (id, entry) in &cache.shards {
        let shard = &entry.value;
        if shard.machines.is_empty()
            || state.shard_moves.contains_key(id)
            || !cache.has_current_owner(shard)
        {
            continue;
        }
        let Some(zone) = zone_of(cache, shard) else {
            continue;
        };
        let owner_is_in_zone = is_in_zone(cache, &shard.controller, zone);
        let owner_load = machine_count(cache, &shard.controller);
        for other in cache.controllers.keys() {
            if *other == shard.controller || !may_receive_shards(cache, state, other) {
                continue;
            }
            let target_load = machine_count(cache, other);
            let target_is_in_zone = is_in_zone(cache, other, zone);
            let improves_balance =
                target_load + shard.machines.len() + BALANCE_TOLERANCE_MACHINES < owner_load;
            let is_improvement = (target_is_in_zone && !owner_is_in_zone)
                || (target_is_in_zone == owner_is_in_zone && improves_balance);
            if is_improvement
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

/// Whether a controller has been up for [`MIN_UPTIME`], and has not lost a shard recently.
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

/// Returns the number of machines that a controller owns.
fn machine_count(cache: &StateCache, controller: &ControllerName) -> usize {
    cache.machines_of(controller).count()
}

fn is_in_zone(cache: &StateCache, controller: &ControllerName, zone: &ZoneName) -> bool {
    let record = cache.controllers.get(controller);
    record.is_some_and(|entry| entry.value.zone == *zone)
}

/// Returns the zone of a shard's machines.
fn zone_of<'a>(cache: &'a StateCache, shard: &ShardRecord) -> Option<&'a ZoneName> {
    let mut machines = shard.machines.keys();
    let record = machines.find_map(|machine| cache.machines.get(machine))?;
    Some(&record.zone)
}

/// If an owner cannot reach a large part of a shard's machines, starts a move of the whole shard to
/// the controller that reaches the most of these machines. Moved one by one, each machine would
/// need two changes of its shard, and each change a new fencing token for all of the shard's
/// machines. Returns the machines that are to be moved individually.
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
        if !state.shard_moves.contains_key(id) {
            tracing::info!(shard = %id, from = %shard.controller, %to, lost = lost_machines,
                "shard owner cannot reach its machines; moving the shard");
            state.shard_moves.insert(*id, ShardMove { to, since: now });
        }
    }
    owner_unreachable
}

/// Returns the number of machines that the shard's owner cannot reach, with the controller that
/// the shard is to be moved to, or none if there are too few of them to move the whole shard.
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
        || lost_machines * LOST_SHARD_DIVISOR < shard.machines.len()
    {
        return None;
    }
    let (to, _) = reached_by.into_iter().max_by_key(|(_, count)| *count)?;
    Some(LostShard {
        lost_machines,
        to: to.clone(),
    })
}
