//! The donor's side: decides quota requests, and commits the transfers.

use std::collections::BTreeMap;

use quota::{Allocations, Condition, Holding, MAX_PENDING_REQUESTS, Refusal, Transfer};
use tokio::time::Instant;

use super::QuotaExchange;
use crate::{
    coordination::{
        clients::{QuotaRequest, QuotaResponse},
        context::{lock, supports_quota_transfers},
    },
    storage::{
        CommitError, ControllerName, Quota, Revision, StateCache, TeamName, Transaction, keys,
        rate_limiter::RequestPriority, records::AllocationRecord, state_cache::Versioned,
    },
};

/// Revisions that a transfer of this controller is conditional on, in addition to those of both
/// allocations.
struct Fence {
    leader: Revision,
    registration: Revision,
}

/// A planned transfer, with the transaction that applies it.
struct PlannedTransfer {
    transfer: Transfer<ControllerName, TeamName>,
    transaction: Transaction,
}

impl QuotaExchange {
    /// Returns the revisions that transfers of this controller must be conditional on, or none
    /// if it may not transfer quota now.
    ///
    /// A leader that does not support transfers moves machines without the budgets for their tasks,
    /// so that no transfer may be decided or take effect under it. None may be decided without a
    /// leader either: a leader without support may have been elected and lost its leader record
    /// since, unnoticed by this controller. A leader record remains valid until its lease expires,
    /// so that transfers continue for that long after the leader's death.
    fn fence(&self, cache: &StateCache) -> Option<Fence> {
        let registered = cache.controllers.get(&self.context.config.name)?;
        if registered.value.incarnation != self.context.config.incarnation {
            return None;
        }
        let leader = cache.leader.as_ref()?;
        if !supports_quota_transfers(cache, &leader.value.controller)
            || cache.revision < leader.revision
        {
            return None;
        }
        Some(Fence {
            leader: leader.revision,
            registration: registered.revision,
        })
    }

    /// Decides the queued requests. Must be called between two rounds of placements, when every
    /// placement of this controller is either in the cache or can no longer take effect.
    ///
    /// `offered` returns the quota of tasks that are offered to this controller and not yet
    /// placed. Returns true if the outcome of a transfer's commit is unknown: the caller must
    /// then rewrite the allocation before its next decision.
    #[must_use]
    pub(in crate::coordination) async fn serve_requests(
        &self,
        offered: impl Fn(&StateCache) -> BTreeMap<TeamName, Quota>,
    ) -> bool {
        for _ in 0..MAX_PENDING_REQUESTS {
            if self
                .context
                .store
                .commit_wait(RequestPriority::Placement)
                .is_some()
            {
                return false;
            }
            let Some(request) = lock(&self.state).donor.next_request() else {
                return false;
            };
            let response = self.transfer_quota(&request, &offered).await;
            let is_unknown = response == QuotaResponse::Undecided;
            lock(&self.state).complete_request(&request, response);
            if is_unknown {
                // The caller rewrites the allocation before the next decision.
                return true;
            }
        }
        false
    }

    /// Decides one request, and commits the transfer if it is granted.
    async fn transfer_quota(
        &self,
        request: &QuotaRequest,
        offered: &impl Fn(&StateCache) -> BTreeMap<TeamName, Quota>,
    ) -> QuotaResponse {
        let planned = {
            let cache = self.context.store.cache();
            self.plan_transfer(&cache, request, offered)
        };
        let PlannedTransfer {
            transfer,
            transaction,
        } = match planned {
            Ok(planned) => planned,
            Err(refusal) => return QuotaResponse::Refused(refusal),
        };
        match self
            .context
            .store
            .commit(&transaction, RequestPriority::Placement)
            .await
        {
            Ok(revision) => {
                let recipient = &transfer.recipient;
                tracing::debug!(%recipient, %revision, amounts = ?transfer.amounts, "quota transferred");
                QuotaResponse::Granted(transfer.amounts)
            }
            Err(CommitError::Conflict(failed)) => {
                tracing::debug!(?failed, "quota transfer conflicted with another change");
                self.context.store.read_barrier().await;
                QuotaResponse::Refused(Refusal::Conflict)
            }
            Err(error) if error.is_unknown() => QuotaResponse::Undecided,
            Err(error) => {
                tracing::debug!(%error, "quota transfer failed");
                QuotaResponse::Refused(Refusal::NotReady)
            }
        }
    }

    /// Decides what a request is granted. Returns the transfer and the transaction that applies
    /// it.
    fn plan_transfer(
        &self,
        cache: &StateCache,
        request: &QuotaRequest,
        offered: impl Fn(&StateCache) -> BTreeMap<TeamName, Quota>,
    ) -> Result<PlannedTransfer, Refusal> {
        let fence = self.fence(cache).ok_or(Refusal::NotReady)?;
        let allocation = self
            .context
            .own_allocation(cache)
            .ok_or(Refusal::NotReady)?;
        // The last change of the allocation may have moved machines with running tasks here. These
        // tasks are known only once the cache has reached the revision of that change.
        if cache.revision < allocation.revision {
            return Err(Refusal::Conflict);
        }
        let recipient = cache.allocations.get(&request.recipient);
        let recipient = recipient.ok_or(Refusal::Outdated)?;
        // Includes machines that are still leased to this controller's previous process.
        let used = cache.quota_used(cache.machines_of(&self.context.config.name));
        let offered = offered(cache);
        let exchange = lock(&self.state);
        let now = Instant::now();
        let holding = |team: &TeamName| {
            let budget = quota_of(&allocation.value.budgets, team);
            let used = quota_of(&used, team);
            let target = exchange.target(team, now).unwrap_or_default();
            Holding {
                allocated: budget,
                used,
                reserved: used.plus(&quota_of(&offered, team)).max(&target),
            }
        };
        let transfer = Transfer::decide(
            request,
            &allocations(allocation),
            &allocations(recipient),
            holding,
            fence.leader.0,
            fence.registration.0,
        )?;
        let transaction = self.transfer_transaction(&transfer, allocation, recipient);
        Ok(PlannedTransfer {
            transfer,
            transaction,
        })
    }

    /// Returns the transaction that writes both allocations of a transfer, on all its conditions.
    fn transfer_transaction(
        &self,
        transfer: &Transfer<ControllerName, TeamName>,
        donor: &Versioned<AllocationRecord>,
        recipient: &Versioned<AllocationRecord>,
    ) -> Transaction {
        let own = &self.context.config.name;
        let allocation = |of: &Versioned<AllocationRecord>, budgets: &BTreeMap<TeamName, Quota>| {
            AllocationRecord {
                owner: of.value.owner,
                budgets: budgets.clone(),
            }
        };
        let transaction = Transaction::default()
            .set(
                keys::allocation(own),
                &allocation(donor, &transfer.donor_budgets),
            )
            .set(
                keys::allocation(&transfer.recipient),
                &allocation(recipient, &transfer.recipient_budgets),
            );
        transfer
            .conditions
            .iter()
            .fold(transaction, |transaction, condition| {
                let (key, revision) = match condition {
                    Condition::Donor(revision) => (keys::allocation(own), *revision),
                    Condition::Recipient(revision) => {
                        (keys::allocation(&transfer.recipient), *revision)
                    }
                    Condition::Leader(revision) => (keys::LEADER.into(), *revision),
                    Condition::Registration(revision) => (keys::controller(own), *revision),
                };
                transaction.require(key, Revision(revision))
            })
    }
}

fn quota_of(quotas: &BTreeMap<TeamName, Quota>, team: &TeamName) -> Quota {
    quotas.get(team).copied().unwrap_or_default()
}

fn allocations(allocation: &Versioned<AllocationRecord>) -> Allocations<TeamName> {
    Allocations {
        owner: allocation.value.owner.map(|owner| owner.0),
        revision: allocation.revision.0,
        budgets: allocation.value.budgets.clone(),
    }
}
