//! The owner's loop. All commits of the owner are made by this one loop, so that no two
//! commits spend the same quota budget.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{OwnerState, ShardOwner, planned_changes::PlannedChanges, stops::PlannedStops};
use crate::{
    coordination::{agent_state::AgentState, clients::PeerRequest, context::lock},
    storage::{
        ControllerName, FencingToken, Revision, ShardId, StateCache, TaskId,
        rate_limiter::RequestPriority, records::AllocationRecord, state_cache::Versioned,
    },
};

/// Minimum pause between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum pause between two rounds while there is work.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// A round runs at least this often, even if nothing has changed.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The changes and stops that a round has planned.
struct RoundPlan {
    changes: PlannedChanges,
    stops: PlannedStops,
}

impl ShardOwner {
    /// Runs the owner's loop until the controller stops.
    pub(in crate::coordination) async fn run(self: &Arc<Self>) {
        let context = &self.context;
        let mut changes = context.store.changes();
        while context
            .wait_for_work(&mut changes, &context.owner_wakeup, IDLE_ROUND_INTERVAL)
            .await
        {
            let started = Instant::now();
            if self.context.store.is_loaded() {
                self.run_round().await;
            }
            // Many changes arrive close together, and the pause lets one round handle them
            // all. It grows with the duration of the round, so that a controller that is
            // short of CPU time runs fewer rounds.
            let pause = started
                .elapsed()
                .clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
            tokio::time::sleep(pause).await;
        }
    }

    /// Runs one round: resolves commits and starts in doubt and lets clears proceed, serves and makes quota requests,
    /// plans results, placements and stops on one view of the cache, and executes the plan.
    async fn run_round(self: &Arc<Self>) {
        let Some(allocation) = self.reconcile_with_cache() else {
            return;
        };
        let has_commit_in_doubt = lock(&self.state).has_commit_in_doubt;
        if has_commit_in_doubt && !self.resolve_commit_in_doubt(&allocation).await {
            return;
        }
        self.raise_fencing_tokens().await;
        if !self.exchange_quota().await {
            return;
        }
        // The state service limits the rate of changes. Changes are planned only when a commit
        // can be made at once, so that they are not outdated when they are committed.
        let commit_wait = self.context.store.commit_wait(RequestPriority::Placement);
        let Some(plan) = self.plan_round(commit_wait.is_none()) else {
            return;
        };
        self.forward_stops(plan.stops.remote_gang_members);
        for (machine, commands) in plan.stops.commands {
            self.send_commands(machine, None, commands);
        }
        if let Some(wait) = commit_wait {
            self.context.sleep_unless_stopped(wait).await;
            self.context.owner_wakeup.notify_one();
            return;
        }
        self.commit_changes(plan.changes).await;
    }

    /// Reconciles the agent states with this owner's shards, and returns its quota allocation.
    /// A process without an allocation owns nothing, so that its agent states, offers and
    /// preemptions are dropped.
    fn reconcile_with_cache(&self) -> Option<Versioned<AllocationRecord>> {
        let cache = self.context.store.cache();
        let allocation = self.context.own_allocation(&cache).cloned();
        let mut state = lock(&self.state);
        if allocation.is_some() {
            self.reconcile_agents(&mut state, &cache);
        } else {
            *state = OwnerState {
                failing: std::mem::take(&mut state.failing),
                has_commit_in_doubt: state.has_commit_in_doubt,
                ..OwnerState::default()
            };
        }
        allocation
    }

    /// Decides other controllers' requests for quota, and requests the quota that is missing
    /// here. Returns false if a commit is in doubt, in which case the round must end.
    async fn exchange_quota(&self) -> bool {
        if self
            .quota
            .serve_requests(|cache| lock(&self.state).offered_quota(cache))
            .await
        {
            lock(&self.state).has_commit_in_doubt = true;
        }
        if lock(&self.state).has_commit_in_doubt {
            self.context.owner_wakeup.notify_one();
            return false;
        }
        let deficit = lock(&self.state).deficit.clone();
        self.quota.request_missing_quota(&deficit);
        true
    }

    /// Plans a round on one view of the cache. Returns `None` if this process has lost its
    /// quota allocation.
    fn plan_round(&self, may_commit: bool) -> Option<RoundPlan> {
        let cache = self.context.store.cache();
        let allocation = self.context.own_allocation(&cache)?;
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.failing.detect_crash_loops(&cache);
        let mut changes = PlannedChanges::default();
        if may_commit {
            self.collect_results(&mut state, &cache, now, &mut changes);
            if self.context.store.is_reachable() {
                self.place_offers(&mut state, &cache, allocation, now, &mut changes);
            }
        }
        let stops = self.collect_stops(&mut state, &cache, now);
        Some(RoundPlan { changes, stops })
    }

    /// Asks other controllers to stop the members on their machines of gangs that this owner
    /// stops.
    fn forward_stops(self: &Arc<Self>, remote_gang_members: BTreeMap<ControllerName, Vec<TaskId>>) {
        for (controller, tasks) in remote_gang_members {
            let this = self.clone();
            tokio::spawn(async move {
                // If the request fails, the gang restarts from its last checkpoint.
                let _ = this
                    .context
                    .peers
                    .call(&controller, PeerRequest::Preempt(tasks))
                    .await;
            });
        }
    }

    /// Drops preemptions of attempts that are no longer placed, and the states of agents on
    /// machines that were lost or acquired anew; adds states for new machines.
    fn reconcile_agents(&self, state: &mut OwnerState, cache: &StateCache) {
        let OwnerState {
            agents, preempting, ..
        } = state;
        preempting.retain(|task, attempt| {
            cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.placement(task.index))
                .is_some_and(|placement| placement.attempt == *attempt)
        });
        let shards: Vec<(ShardId, Revision)> = self
            .context
            .own_shards(cache)
            .map(|(id, entry)| (id, entry.revision))
            .collect();
        if state.reconciled_shards == shards {
            return;
        }
        self.context.startup.note_first_machines();
        let now = Instant::now();
        agents.retain(|id, _| self.context.own_shard_of(cache, id).is_some());
        for (_, entry) in self.context.own_shards(cache) {
            for id in entry.value.machines.keys() {
                let token = FencingToken::from(cache.owned_since(id));
                let agent = agents
                    .entry(id.clone())
                    .or_insert_with(|| AgentState::new(token, now));
                if agent.acquisition_token != token {
                    *agent = agent.reacquired(token, now);
                }
            }
        }
        state.reconciled_shards = shards;
    }
}
