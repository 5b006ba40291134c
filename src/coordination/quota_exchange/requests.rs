//! The recipient's side: records quota deficits, and requests quota from other controllers.

use std::{collections::BTreeMap, sync::Arc};

use quota::{DonorView, Outcome, OutgoingRequest, Refusal};
use tokio::time::Instant;

use super::QuotaExchange;
use crate::{
    coordination::{
        clients::{PeerRequest, PeerResponse, QuotaRequest, QuotaResponse},
        context::{lock, supports_quota_transfers},
    },
    storage::{ControllerName, Quota, StateCache, TeamName},
};

impl QuotaExchange {
    /// Records this controller's deficits by the leader's targets and for the tasks that it was
    /// offered (`owner_deficit`), and requests quota for them.
    pub(in crate::coordination) fn request_missing_quota(
        self: &Arc<Self>,
        owner_deficit: &BTreeMap<TeamName, Quota>,
    ) {
        if !self.context.config.tuning.quota_transfers {
            return;
        }
        if let Some(addressed) = self.next_request(owner_deficit) {
            let this = self.clone();
            tokio::spawn(async move {
                this.request_quota(addressed.donor, addressed.request).await;
            });
        }
    }

    /// Records the deficits of all teams. Returns the request that is to be sent now, if any.
    fn next_request(
        &self,
        owner_deficit: &BTreeMap<TeamName, Quota>,
    ) -> Option<OutgoingRequest<ControllerName, TeamName>> {
        let cache = self.context.store.cache();
        let allocation = self.context.own_allocation(&cache)?;
        let mut exchange = lock(&self.state);
        let now = Instant::now();
        for team in &self.context.config.teams {
            let budget = allocation.value.budgets.get(&team.name).copied();
            let target = exchange.target(&team.name, now).unwrap_or_default();
            let target_deficit = target.minus(&budget.unwrap_or_default()).at_least_zero();
            let offered = owner_deficit.get(&team.name).copied().unwrap_or_default();
            exchange.record_deficit(&team.name, target_deficit.max(&offered), now.into_std());
        }
        if exchange.deficits.is_empty() || !self.context.quota_transfers_active_in(&cache) {
            return None;
        }
        let donors = self.donor_views(&cache);
        exchange.deficits.next_request(&donors, now.into_std())
    }

    /// Returns the spare quota of the other controllers according to the cache.
    fn donor_views(&self, cache: &StateCache) -> Vec<DonorView<ControllerName, TeamName>> {
        cache
            .allocations
            .iter()
            .filter(|(controller, entry)| {
                **controller != self.context.config.name
                    && entry.value.owner.is_some()
                    && supports_quota_transfers(cache, controller)
            })
            .map(|(controller, entry)| {
                let used = cache.quota_used(cache.machines_of(controller));
                let spare = |(team, budget): (&TeamName, &Quota)| {
                    let used = used.get(team).copied().unwrap_or_default();
                    (team.clone(), budget.minus(&used).at_least_zero())
                };
                DonorView {
                    donor: controller.clone(),
                    spare: entry.value.budgets.iter().map(spare).collect(),
                }
            })
            .collect()
    }

    /// Sends a request to a donor and records its outcome.
    async fn request_quota(self: Arc<Self>, donor: ControllerName, request: QuotaRequest) {
        let number = request.number;
        let answer = self
            .context
            .peers
            .call(&donor, PeerRequest::RequestQuota(request))
            .await;
        let outcome = match answer {
            Ok(PeerResponse::Quota(QuotaResponse::Granted(amounts))) => Outcome::Granted(amounts),
            Ok(PeerResponse::Quota(QuotaResponse::Refused(refusal))) => Outcome::Refused(refusal),
            _ => Outcome::Lost,
        };
        tracing::debug!(%donor, ?outcome, "quota request finished");
        let is_granted = matches!(outcome, Outcome::Granted(_));
        if is_granted || outcome == Outcome::Refused(Refusal::Conflict) {
            // The allocation has a new revision, which the next round must be based on.
            self.context.store.read_barrier().await;
        }
        {
            let mut exchange = lock(&self.state);
            if is_granted {
                exchange.counts.received += 1;
            } else {
                exchange.counts.unserved += 1;
            }
            let now = Instant::now().into_std();
            exchange.deficits.record_outcome(number, &outcome, now);
        }
        self.context.owner_wakeup.notify_one();
    }
}
