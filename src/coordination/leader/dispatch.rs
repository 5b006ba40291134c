//! Runs a routing pass and sends what it decides to the shard owners.
//!
//! The pass itself, a function of the replica, of the owners' statuses and of what earlier
//! passes left, is [`routing::RoutingPass`]. Offers and preemptions go out without waiting
//! for answers: an owner that does not answer is offered nothing until its next status.

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
    /// Decides which owners get which waiting tasks, and sends these as offers.
    pub(super) async fn route(self: &Arc<Self>) {
        let Some(routed) = self.run_routing_pass() else {
            return;
        };
        self.write_zone_assignments(routed.zone_assignments).await;
        self.dispatch_preemptions(routed.preempt);
        self.dispatch_offers(routed.offers);
    }

    /// What the waiting tasks need now; none if no task waits.
    fn run_routing_pass(&self) -> Option<routing::RoutingResult> {
        let cache = self.context.store.cache();
        if cache.waiting.is_empty() {
            lock(&self.state).clear_routing();
            return None;
        }
        let now = Instant::now();
        let wall = (self.context.config.wall)();
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
            offered: &mut state.offered,
            pending_preemptions: &mut state.pending_preemptions,
            reclaiming: &mut state.reclaiming,
            record_affinity: &mut state.record_affinity,
            gangs: &mut state.gangs,
            expired_offers: &mut state.expired_offers,
            failing: &failing,
            changes_per_transaction: self.context.config.state.txn_ops,
            start_target: self.context.config.tuning.start_target,
            offer_ttl: self.context.config.tuning.offer,
            now,
            wall,
            factor: &|class| estimator.factor(class),
            full: BTreeSet::new(),
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

    /// What is free on the machines that tasks may be routed to.
    fn free_capacity(&self, cache: &StateCache, state: &LeaderState) -> routing::FreeCapacity {
        let unresponsive_after = self.context.config.unresponsive_after();
        routing::candidate_machines(
            cache,
            &|owner: &ControllerName, machine: &MachineId| {
                state.usable_machine(cache, owner, machine, unresponsive_after)
            },
            self.context.config.now_ms(),
            self.context.config.tuning.paid,
        )
    }

    fn dispatch_preemptions(self: &Arc<Self>, preemptions: BTreeMap<ControllerName, Vec<TaskId>>) {
        for (controller, tasks) in preemptions {
            if controller == self.context.config.name {
                self.owner.accept_preemptions(tasks);
                continue;
            }
            // Unanswered: the room does not show and is asked for again.
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
                move |leader, controller| leader.forget_offers(controller, &jobs),
            );
        }
    }

    /// An owner has not answered to offers of these jobs' tasks. It may have got them all
    /// the same; its commits would then win or lose like any other's.
    fn forget_offers(&self, controller: &ControllerName, jobs: &[JobId]) {
        let mut state = lock(&self.state);
        for job in jobs {
            if let Some(tasks) = state.offered.get_mut(job) {
                tasks.retain(|_, offered| offered.controller != *controller);
            }
        }
        state.statuses.remove(controller);
    }

    /// Sends a request to another controller without waiting for the answer.
    /// `on_no_answer` is called if none comes.
    pub(super) fn spawn_peer_request(
        self: &Arc<Self>,
        controller: ControllerName,
        request: PeerRequest,
        on_no_answer: impl FnOnce(&Leader, &ControllerName) + Send + 'static,
    ) {
        let leader = self.clone();
        tokio::spawn(async move {
            let answer = leader.context.peers.call(&controller, request).await;
            if answer.is_err() {
                on_no_answer(&leader, &controller);
            }
        });
    }
}
