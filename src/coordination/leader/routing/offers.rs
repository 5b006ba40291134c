//! Makes offers of tasks to owners and tracks which are accepted or expire.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::{
    RoutingPass, RoutingResult,
    quota_use::QuotaUsage,
    state::{EXPIRED_OFFERS_TTL, ExpiredOffers, ExpiredOffersByJob, OutstandingOffer},
};
use crate::{
    coordination::clients::Offer,
    storage::{ControllerName, JobId, MachineId, Quota, state_cache::Job},
};

impl RoutingPass<'_> {
    /// Removes accepted and expired offers, and reserves resources and quota for the
    /// outstanding ones.
    pub(super) fn expire_offers(&mut self, used: &mut QuotaUsage) {
        self.remove_ended_offers();
        if !self.outstanding_offers.is_empty() {
            self.reserve_outstanding_offers(used);
        }
    }

    fn remove_ended_offers(&mut self) {
        let (cache, now, ttl) = (self.cache, self.now, self.offer_ttl);
        let expired_offers = &mut *self.expired_offers;
        expired_offers.retain(|_, expired| now.duration_since(expired.last) < EXPIRED_OFFERS_TTL);
        self.outstanding_offers.retain(|id, tasks| {
            let Some(job) = cache.jobs.get(id) else {
                return false;
            };
            let mut expired_owner = None;
            tasks.retain(|task, offer| {
                let is_waiting = job.placement(*task).is_none() && !job.is_task_done(*task);
                let is_outstanding = now.duration_since(offer.offered_at) < ttl;
                if is_waiting && !is_outstanding {
                    tracing::debug!(job = %id, task, owner = %offer.controller,
                        machine = %offer.machine, "offer expired");
                    expired_owner = Some(offer.controller.clone());
                }
                is_waiting && is_outstanding
            });
            if let Some(controller) = expired_owner {
                count_expired_offer(expired_offers, id, controller, now);
            }
            !tasks.is_empty()
        });
    }

    /// Counts outstanding offers as placed on the machines that the trial placement chose.
    fn reserve_outstanding_offers(&mut self, used: &mut QuotaUsage) {
        let capacity = &mut self.free_capacity;
        let candidates = capacity.candidates.iter().enumerate();
        let index_of: BTreeMap<MachineId, usize> = candidates
            .map(|(index, candidate)| (candidate.machine.clone(), index))
            .collect();
        for (id, tasks) in self.outstanding_offers.iter() {
            let Some(spec) = self.cache.jobs.get(id).and_then(Job::spec) else {
                continue;
            };
            let quota = Quota::from(&spec.per_task);
            for offer in tasks.values() {
                if let Some(owner) = capacity.owner_index(&offer.controller) {
                    used.add(owner, &spec.team, &quota);
                }
                // The owner chooses the machine itself, by the same rule as the trial
                // placement.
                if let Some(index) = index_of.get(&offer.machine) {
                    capacity.candidates[*index].place_task(spec);
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
        let offer = OutstandingOffer {
            controller: controller.clone(),
            machine: candidate.machine.clone(),
            offered_at: self.now,
        };
        self.outstanding_offers
            .entry(id.clone())
            .or_default()
            .insert(task, offer);
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

/// Counts consecutive expired offers of the job at the same owner.
fn count_expired_offer(
    expired_offers: &mut ExpiredOffersByJob,
    id: &JobId,
    controller: ControllerName,
    now: Instant,
) {
    let previous = expired_offers
        .get(id)
        .filter(|expired| expired.controller == controller);
    let expired = ExpiredOffers {
        count: previous.map_or(1, |expired| expired.count + 1),
        last: now,
        controller,
    };
    expired_offers.insert(id.clone(), expired);
}
