//! Leases shards to controllers and grants them their parts of the teams' quota.
//!
//! What changes is decided by [`shards::plan`], a function of the replica and of its inputs;
//! this module gathers the inputs and commits the plan's changes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    Leader,
    routing::OutstandingOffers,
    shards::{self, ShardPlanChanges, ShardPlanInputs},
    state::LeaderState,
};
use crate::{
    coordination::context::lock,
    storage::{
        ControllerName, Quota, Revision, StateCache, TeamName, Transaction,
        rate_limiter::RequestPriority,
    },
};

/// Changes in one commit at most, for the service's 64 KiB.
pub(super) const OPS_PER_COMMIT: usize = 12;
/// Between two writes of changes of shards that nobody waits for.
const USE_WRITE_INTERVAL: Duration = Duration::from_millis(2_500);
/// A move of a shard that has not happened within this time is given up.
const SHARD_MOVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Changes of shards and allocations, with the transaction that carries them out.
struct PlannedLeases {
    changes: ShardPlanChanges,
    transaction: Transaction,
}

impl Leader {
    /// Plans the shards and budgets anew, and commits what has changed.
    pub(super) async fn lease_shards(self: &Arc<Self>) {
        let Some(PlannedLeases {
            changes,
            transaction,
        }) = self.plan_leases()
        else {
            return;
        };
        self.send_quota_targets(&changes.targets);
        if changes.is_empty() || self.is_deferred(&changes) {
            return;
        }
        match self
            .commit_as_leader(transaction, RequestPriority::Fencing)
            .await
        {
            Ok(revision) => {
                log_granted(&changes, revision);
                // The next pass wants the cache to have caught up.
                self.context.store.read_barrier().await;
                self.context.leader_wakeup.notify_one();
            }
            Err(_) => {
                self.context.store.read_barrier().await;
            }
        }
    }

    /// What is to change now; none while the cache may lack what an earlier leader wrote.
    fn plan_leases(&self) -> Option<PlannedLeases> {
        let controllers_transfer = self.controllers_transfer();
        let cache = self.context.store.cache();
        if !self.has_applied_election(&cache) {
            return None;
        }
        let inputs = self.shard_plan_inputs(&cache, controllers_transfer);
        let changes = shards::plan(&cache, &self.context.config.teams, &inputs);
        let transaction = changes.transaction(&cache);
        Some(PlannedLeases {
            changes,
            transaction,
        })
    }

    /// Whether the cache shows all that was written before we were elected. Our own claim
    /// is in it ahead of the watch: a leader that follows an earlier process of its controller
    /// could otherwise grant what a late commit of that one has granted already.
    fn has_applied_election(&self, cache: &StateCache) -> bool {
        let claim = cache.leader.as_ref().map(|entry| entry.revision);
        claim.is_some_and(|claim| cache.revision >= claim)
    }

    /// The inputs of this pass's plan; quota deficits are planned for once.
    fn shard_plan_inputs(&self, cache: &StateCache, controllers_transfer: bool) -> ShardPlanInputs {
        let mut state = lock(&self.state);
        forget_finished_moves(cache, &mut state);
        state.fleet.draining_machines.refresh(cache);
        ShardPlanInputs {
            moving: state
                .moving
                .iter()
                .map(|(id, shard_move)| (*id, shard_move.to.clone()))
                .collect(),
            releasing: state.machines_to_empty(),
            draining_machines: state.fleet.draining_machines.machine_ids(),
            owner_unreachable: state.owner_unreachable.clone(),
            avoided_owners: state.fleet.avoided_owners.keys().cloned().collect(),
            deficit: std::mem::take(&mut state.deficit),
            reserved: state.reserved.clone(),
            max_changes: self.context.config.state_limits.txn_ops.min(OPS_PER_COMMIT),
            controllers_transfer,
            free: state.free.clone(),
            in_flight: quota_in_flight(cache, &state.offered),
            demand: state.demand.clone(),
        }
    }

    /// Whether changes of shards that nobody waits for are put off, so that those of one
    /// shard come together. A shrinking fleet drains, cordons and loses a machine at a time:
    /// written one by one that took so much of the leader's part of the state service's
    /// changes that the machines it owned itself were not served.
    fn is_deferred(&self, changes: &ShardPlanChanges) -> bool {
        let can_wait = changes.can_wait(&self.context.store.cache());
        let mut state = lock(&self.state);
        let is_due = state
            .last_use_write
            .is_none_or(|at| at.elapsed() >= USE_WRITE_INTERVAL);
        if !can_wait {
            return false;
        }
        if is_due {
            state.last_use_write = Some(Instant::now());
        }
        !is_due
    }
}

/// Forgets moves of shards that have happened, or have taken too long.
fn forget_finished_moves(cache: &StateCache, state: &mut LeaderState) {
    state.moving.retain(|id, shard_move| {
        shard_move.since.elapsed() < SHARD_MOVE_TIMEOUT
            && cache
                .shards
                .get(id)
                .is_some_and(|entry| entry.value.controller != shard_move.to)
    });
}

/// Quota of the tasks that are offered to owners and not yet placed.
fn quota_in_flight(
    cache: &StateCache,
    offered: &OutstandingOffers,
) -> BTreeMap<(ControllerName, TeamName), Quota> {
    let mut in_flight: BTreeMap<(ControllerName, TeamName), Quota> = BTreeMap::new();
    for (id, tasks) in offered {
        let Some(job) = cache.jobs.get(id) else {
            continue;
        };
        let Some(spec) = job.spec() else { continue };
        for (task, offered) in tasks {
            if job.placement(*task).is_some() || job.is_task_done(*task) {
                continue;
            }
            let key = (offered.controller.clone(), spec.team.clone());
            let sum = in_flight.entry(key).or_default();
            *sum = sum.plus(&Quota::from(&spec.per_task));
        }
    }
    in_flight
}

fn log_granted(changes: &ShardPlanChanges, revision: Revision) {
    for (controller, allocation) in &changes.allocations {
        tracing::debug!(%controller, owner = ?allocation.owner.map(|i| i.0), "quota allocation granted");
    }
    for (id, shard) in &changes.shards {
        tracing::info!(
            shard = %id, controller = %shard.controller, token = %revision, owner = shard.owner.0,
            machines = shard.machines.len(), cordoned = shard.cordoned, "shard lease granted"
        );
    }
}
