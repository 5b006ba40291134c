//! Offers of tasks to owners: made, taken up or expired.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::{
    RoutingPass, RoutingResult,
    quota_use::QuotaUse,
    state::{EXPIRED_OFFERS_TTL, ExpiredOffers, ExpiredOffersByJob, OutstandingOffer},
};
use crate::{
    coordination::clients::Offer,
    storage::{ControllerName, JobId, MachineId, Quota, state_cache::Job},
};

impl RoutingPass<'_> {
    /// Forgets offers that were taken up, or not in time, and sets the room and quota of
    /// the others aside.
    pub(super) fn expire_offers(&mut self, used: &mut QuotaUse) {
        self.forget_ended_offers();
        if !self.offered.is_empty() {
            self.reserve_offered(used);
        }
    }

    fn forget_ended_offers(&mut self) {
        let (cache, now, ttl) = (self.cache, self.now, self.offer_ttl);
        let expired_offers = &mut *self.expired_offers;
        expired_offers.retain(|_, expired| now.duration_since(expired.last) < EXPIRED_OFFERS_TTL);
        self.offered.retain(|id, tasks| {
            let Some(job) = cache.jobs.get(id) else {
                return false;
            };
            let mut expired_at = None;
            tasks.retain(|task, offered| {
                let waits = job.placement(*task).is_none() && !job.is_task_done(*task);
                let is_open = now.duration_since(offered.offered_at) < ttl;
                if waits && !is_open {
                    tracing::debug!(job = %id, task, owner = %offered.controller,
                        machine = %offered.machine, "offer expired");
                    expired_at = Some(offered.controller.clone());
                }
                waits && is_open
            });
            if let Some(controller) = expired_at {
                note_expired(expired_offers, id, controller, now);
            }
            !tasks.is_empty()
        });
    }

    /// Counts what was offered before as placed where the trial placement had found room.
    fn reserve_offered(&mut self, used: &mut QuotaUse) {
        let capacity = &mut self.free_capacity;
        let candidates = capacity.candidates.iter().enumerate();
        let index_of: BTreeMap<MachineId, usize> = candidates
            .map(|(index, candidate)| (candidate.machine.clone(), index))
            .collect();
        for (id, tasks) in self.offered.iter() {
            let Some(spec) = self.cache.jobs.get(id).and_then(Job::spec) else {
                continue;
            };
            let quota = Quota::from(&spec.per_task);
            for offered in tasks.values() {
                if let Some(owner) = capacity.owner_index(&offered.controller) {
                    used.add(owner, &spec.team, &quota);
                }
                // Which machine the owner takes is its own choice; it decides
                // by the same rule as the trial.
                if let Some(index) = index_of.get(&offered.machine) {
                    capacity.candidates[*index].put(spec);
                }
            }
        }
    }

    /// Offers a task to the owner of the candidate machine with this index.
    pub(super) fn offer(
        &mut self,
        id: &JobId,
        task: u32,
        candidate: usize,
        result: &mut RoutingResult,
    ) {
        result.offered += 1;
        let candidate = &self.free_capacity.candidates[candidate];
        let controller = self.free_capacity.controllers[candidate.owner].clone();
        let offered = OutstandingOffer {
            controller: controller.clone(),
            machine: candidate.machine.clone(),
            offered_at: self.now,
        };
        self.offered
            .entry(id.clone())
            .or_default()
            .insert(task, offered);
        let offers = result.offers.entry(controller).or_default();
        match offers.iter_mut().find(|offer| offer.job == *id) {
            Some(offer) => offer.tasks.push(task),
            None => offers.push(Offer {
                job: id.clone(),
                tasks: vec![task],
            }),
        }
    }
}

/// Counts how often in a row the same owner let offers of the job expire.
fn note_expired(
    expired_offers: &mut ExpiredOffersByJob,
    id: &JobId,
    controller: ControllerName,
    now: Instant,
) {
    let before = expired_offers
        .get(id)
        .filter(|expired| expired.controller == controller);
    let expired = ExpiredOffers {
        count: before.map_or(1, |expired| expired.count + 1),
        last: now,
        controller,
    };
    expired_offers.insert(id.clone(), expired);
}
