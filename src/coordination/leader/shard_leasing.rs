//! Leases shards to controllers and grants them their parts of the teams' quota.
//!
//! [`shards::plan`] decides what changes; it is a function of the state cache and its inputs. This
//! module gathers the inputs and commits the planned changes.

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

/// Maximum number of operations in one commit, for the state service's limit of 64 KiB.
pub(super) const MAX_OPS_PER_COMMIT: usize = 12;
/// Minimum interval between two commits of shard changes that are not urgent.
const USE_WRITE_INTERVAL: Duration = Duration::from_millis(2_500);
/// A shard move that has not happened within this time is abandoned.
const SHARD_MOVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Planned changes of shards and allocations, with the transaction that applies them.
struct PlannedLeases {
    changes: ShardPlanChanges,
    transaction: Transaction,
}

impl Leader {
    /// Plans the shard leases and budgets, and commits the changes.
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
                // The next pass needs a cache that includes this commit.
                self.context.store.read_barrier().await;
                self.context.leader_wakeup.notify_one();
            }
            Err(_) => {
                self.context.store.read_barrier().await;
            }
        }
    }

    /// Returns the changes that are due, or none while the cache may lack commits of an earlier
    /// leader.
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

    /// Whether the cache includes all commits from before this process was elected. Its own leader
    /// record is in the cache before the watch has reached the record's revision. Without this
    /// check, a leader elected after an earlier process of the same controller could grant quota
    /// that a late commit of that process has already granted.
    fn has_applied_election(&self, cache: &StateCache) -> bool {
        let leader_revision = cache.leader.as_ref().map(|entry| entry.revision);
        leader_revision.is_some_and(|revision| cache.revision >= revision)
    }

    /// Returns the inputs of this pass's plan. Takes the quota deficits out of the state, so
    /// that each is planned for only once.
    fn shard_plan_inputs(&self, cache: &StateCache, controllers_transfer: bool) -> ShardPlanInputs {
        let mut state = lock(&self.state);
        drop_finished_moves(cache, &mut state);
        state.fleet.draining_machines.refresh(cache);
        ShardPlanInputs {
            shard_moves: state
                .shard_moves
                .iter()
                .map(|(id, shard_move)| (*id, shard_move.to.clone()))
                .collect(),
            releasing: state.releasing_when_empty(),
            draining_machines: state.fleet.draining_machines.machine_ids(),
            owner_unreachable: state.owner_unreachable.clone(),
            avoided_owners: state.fleet.avoided_owners.keys().cloned().collect(),
            deficit: std::mem::take(&mut state.deficit),
            reserved: state.reserved.clone(),
            max_changes: self
                .context
                .config
                .state_limits
                .txn_ops
                .min(MAX_OPS_PER_COMMIT),
            controllers_transfer,
            free_quota: state.free_quota.clone(),
            in_flight: quota_in_flight(cache, &state.outstanding_offers),
            demand: state.demand.clone(),
        }
    }

    /// Whether these changes are not urgent and are left for a later pass, so that several
    /// changes of one shard are written together. A shrinking fleet drains, cordons and
    /// releases one machine at a time: written one by one, these changes used so much of the
    /// leader's share of the state service's rate limit that the machines that the leader
    /// owned itself were not served.
    fn is_deferred(&self, changes: &ShardPlanChanges) -> bool {
        let is_deferrable = changes.is_deferrable(&self.context.store.cache());
        let mut state = lock(&self.state);
        let is_due = state
            .last_use_write
            .is_none_or(|at| at.elapsed() >= USE_WRITE_INTERVAL);
        if !is_deferrable {
            return false;
        }
        if is_due {
            state.last_use_write = Some(Instant::now());
        }
        !is_due
    }
}

/// Drops shard moves that have happened, or have exceeded [`SHARD_MOVE_TIMEOUT`].
fn drop_finished_moves(cache: &StateCache, state: &mut LeaderState) {
    state.shard_moves.retain(|id, shard_move| {
        shard_move.since.elapsed() < SHARD_MOVE_TIMEOUT
            && cache
                .shards
                .get(id)
                .is_some_and(|entry| entry.value.controller != shard_move.to)
    });
}

/// Returns the quota of tasks that are offered to owners and not yet placed.
fn quota_in_flight(
    cache: &StateCache,
    outstanding_offers: &OutstandingOffers,
) -> BTreeMap<(ControllerName, TeamName), Quota> {
    let mut in_flight: BTreeMap<(ControllerName, TeamName), Quota> = BTreeMap::new();
    for (id, tasks) in outstanding_offers {
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
