//! The owner's loop. One loop does all commits, so that the shard's budgets are counted
//! once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{OwnerState, ShardOwner, planned_changes::PlannedChanges, stops::PlannedStops};
use crate::{
    coordination::{agent_state::AgentState, clients::PeerRequest, context::lock},
    storage::{
        ControllerName, Revision, ShardId, StateCache, TaskId, Token,
        rate_limiter::RequestPriority, records::AllocationRecord, state_cache::Versioned,
    },
};

/// Shortest pause between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(15);
/// Longest pause between two rounds while there is something to do.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// A round is run after this long although nothing has changed.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// What a round has decided.
struct RoundPlan {
    changes: PlannedChanges,
    stops: PlannedStops,
}

impl ShardOwner {
    /// Duty: the owner's loop.
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
            // Many changes come close together; one round serves them all. On a
            // controller that is short of processor time rounds are fewer.
            let pause = started
                .elapsed()
                .clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
            tokio::time::sleep(pause).await;
        }
    }

    /// One round: resolves what is in doubt, serves and makes quota requests, then plans
    /// results, placements and stops on one view of the cache, and carries them out.
    async fn run_round(self: &Arc<Self>) {
        let Some(allocation) = self.align_with_cache() else {
            return;
        };
        let has_commit_in_doubt = lock(&self.state).has_commit_in_doubt;
        if has_commit_in_doubt && !self.resolve_commit_in_doubt(&allocation).await {
            return;
        }
        self.resolve_in_doubt_starts().await;
        if !self.exchange_quota().await {
            return;
        }
        // Changes of the state service are scarce: what is planned only when one
        // may be made is not outdated when it is sent.
        let commit_wait = self.context.store.commit_wait(RequestPriority::Placement);
        let Some(plan) = self.plan_round(commit_wait.is_none()) else {
            return;
        };
        self.forward_stops(plan.stops.remote_gang_members);
        for (machine, commands) in plan.stops.commands {
            self.send_commands(machine, None, commands);
        }
        if let Some(wait) = commit_wait {
            self.context.pause(wait).await;
            self.context.owner_wakeup.notify_one();
            return;
        }
        self.commit_changes(plan.changes).await;
    }

    /// Aligns the agent states with our shards, and returns our quota allocation. Without
    /// one nothing is ours: what is known of agents and offers goes.
    fn align_with_cache(&self) -> Option<Versioned<AllocationRecord>> {
        let cache = self.context.store.cache();
        let allocation = self.context.own_allocation(&cache).cloned();
        let mut state = lock(&self.state);
        if allocation.is_some() {
            self.align(&mut state, &cache);
        } else {
            *state = OwnerState {
                failing: std::mem::take(&mut state.failing),
                has_commit_in_doubt: state.has_commit_in_doubt,
                ..OwnerState::default()
            };
        }
        allocation
    }

    /// Decides other controllers' requests for quota, and asks for what we lack. False: a
    /// commit is in doubt, and the round is over.
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

    /// Plans on one view of the cache; none: we have lost our allocation.
    fn plan_round(&self, may_commit: bool) -> Option<RoundPlan> {
        let cache = self.context.store.cache();
        let allocation = self.context.own_allocation(&cache)?;
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.failing.judge(&cache);
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

    /// Asks other controllers to stop their members of gangs that we stop.
    fn forward_stops(self: &Arc<Self>, remote_gang_members: BTreeMap<ControllerName, Vec<TaskId>>) {
        for (controller, tasks) in remote_gang_members {
            let this = self.clone();
            tokio::spawn(async move {
                // Unanswered: the gang falls back to its last checkpoint.
                let _ = this
                    .context
                    .peers
                    .call(&controller, PeerRequest::Preempt(tasks))
                    .await;
            });
        }
    }

    /// Keeps agent states for our shards' machines and for no others.
    fn align(&self, state: &mut OwnerState, cache: &StateCache) {
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
        if state.aligned == shards {
            return;
        }
        self.context.startup.note_holding();
        let now = Instant::now();
        agents.retain(|id, agent| {
            self.context.own_shard_of(cache, id).is_some()
                && agent.acquired == Token::from(cache.owned_since(id))
        });
        for (_, entry) in self.context.own_shards(cache) {
            for id in entry.value.machines.keys() {
                agents
                    .entry(id.clone())
                    .or_insert_with(|| AgentState::new(cache.owned_since(id).into(), now));
            }
        }
        state.aligned = shards;
    }
}
