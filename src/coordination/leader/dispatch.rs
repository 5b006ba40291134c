//! Runs routing passes and sends the resulting offers and preemptions to the shard owners.
//!
//! A pass ([`routing::RoutingPass`]) is a function of the state cache, the owners' statuses and the
//! state kept from earlier passes. Offers and preemptions are sent without waiting for responses.
//! An owner that does not respond to offers gets no further ones until its next status.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tokio::time::Instant;

use super::{Leader, routing, state::LeaderState};
use crate::{
    coordination::{
        clients::{Offer, PeerRequest},
        context::lock,
    },
    storage::{ControllerName, JobId, MachineId, StateCache, TaskId},
};

impl Leader {
    /// Runs a routing pass, writes its zone assignments and sends its preemptions and offers.
    pub(super) async fn route(self: &Arc<Self>) {
        let Some(routed) = self.run_routing_pass() else {
            return;
        };
        self.write_zone_assignments(routed.zone_assignments).await;
        self.dispatch_preemptions(routed.preempt);
        self.dispatch_offers(routed.offers);
    }

    /// Runs a routing pass and keeps its results for the quota exchange and the autoscaler.
    /// Returns `None` if no task is waiting.
    fn run_routing_pass(&self) -> Option<routing::RoutingResult> {
        let cache = self.context.store.cache();
        if cache.waiting.is_empty() {
            lock(&self.state).clear_routing();
            return None;
        }
        let now = Instant::now();
        let wall_time = (self.context.config.wall_clock)();
        let estimator = lock(&self.context.estimator);
        let mut state = lock(&self.state);
        let failing = state.failing_jobs();
        state.record_booting_machines(&cache);
        let free_capacity = self.free_capacity(&cache, &state);
        state.free_quota = free_capacity.free_quota();
        let state = &mut *state;
        let mut routed = routing::RoutingPass {
            cache: &cache,
            teams: &self.context.config.teams,
            free_capacity,
            outstanding_offers: &mut state.outstanding_offers,
            pending_preemptions: &mut state.pending_preemptions,
            reclaiming: &mut state.reclaiming,
            record_affinity: &mut state.record_affinity,
            gangs: &mut state.gangs,
            expired_offers: &mut state.expired_offers,
            job_turns: &mut state.job_turns,
            preemption_turns: &mut state.preemption_turns,
            failing: &failing,
            changes_per_transaction: self.context.config.state_limits.txn_ops,
            start_target: self.context.config.tuning.start_target,
            offer_ttl: self.context.config.tuning.offer_ttl,
            now,
            wall_time,
            run_time_factor: &|class| estimator.factor(class),
            unplaceable: BTreeSet::new(),
        }
        .run();
        state.deficit = std::mem::take(&mut routed.deficit);
        state.reserved = std::mem::take(&mut routed.reserved);
        state.demand = std::mem::take(&mut routed.demand);
        state.unplaced = std::mem::take(&mut routed.unplaced);
        state.routing_counts = routed.counts;
        if !state.deficit.is_empty() {
            self.context.leader_wakeup.notify_one();
        }
        Some(routed)
    }

    /// Returns the machines that tasks may be routed to, with their free resources.
    fn free_capacity(&self, cache: &StateCache, state: &LeaderState) -> routing::FreeCapacity {
        let unresponsive_after = self.context.config.unresponsive_after();
        routing::candidate_machines(
            cache,
            &|owner: &ControllerName, machine: &MachineId| {
                state.usable_machine(cache, owner, machine, unresponsive_after)
            },
            self.context.config.now_ms(),
            self.context.config.tuning.paid_periods,
        )
    }

    fn dispatch_preemptions(self: &Arc<Self>, preemptions: BTreeMap<ControllerName, Vec<TaskId>>) {
        for (controller, tasks) in preemptions {
            if controller == self.context.config.name {
                self.owner.accept_preemptions(tasks);
                continue;
            }
            // A lost request needs no handling: the resources do not become free, so the tasks
            // are preempted again in a later pass.
            self.spawn_peer_request(controller, PeerRequest::Preempt(tasks), |_, _| {});
        }
    }

    fn dispatch_offers(self: &Arc<Self>, offers: BTreeMap<ControllerName, Vec<Offer>>) {
        for (controller, offers) in offers {
            if controller == self.context.config.name {
                self.owner.accept_offers(offers);
                continue;
            }
            let jobs: Vec<JobId> = offers.iter().map(|offer| offer.job.clone()).collect();
            self.spawn_peer_request(
                controller,
                PeerRequest::Offers(offers),
                move |leader, controller| leader.remove_offers(controller, &jobs),
            );
        }
    }

    /// Removes the offers of these jobs' tasks to an owner that did not respond. The owner may
    /// have received them nevertheless; its commits then succeed or fail like those of any
    /// other owner.
    fn remove_offers(&self, controller: &ControllerName, jobs: &[JobId]) {
        let mut state = lock(&self.state);
        for job in jobs {
            if let Some(tasks) = state.outstanding_offers.get_mut(job) {
                tasks.retain(|_, offered| offered.controller != *controller);
            }
        }
        state.statuses.remove(controller);
    }

    /// Sends a request to another controller without waiting for the response. Calls
    /// `on_failure` if the request fails.
    pub(super) fn spawn_peer_request(
        self: &Arc<Self>,
        controller: ControllerName,
        request: PeerRequest,
        on_failure: impl FnOnce(&Leader, &ControllerName) + Send + 'static,
    ) {
        let leader = self.clone();
        tokio::spawn(async move {
            let response = leader.context.peers.call(&controller, request).await;
            if response.is_err() {
                on_failure(&leader, &controller);
            }
        });
    }
}
