//! The donor's side: decides requests for quota, and commits the transfers.

use std::collections::BTreeMap;

use quota::{Allocations, Condition, Holding, MAX_PENDING_REQUESTS, Refusal, Transfer};
use tokio::time::Instant;

use super::QuotaExchange;
use crate::{
    coordination::{
        clients::{QuotaRequest, QuotaResponse},
        context::{lock, takes_part_in_transfers},
    },
    storage::{
        CommitError, ControllerName, Quota, Revision, StateCache, TeamName, Transaction, keys,
        rate_limiter::RequestPriority, records::AllocationRecord, state_cache::Versioned,
    },
};

/// Records that a transfer of ours depends on, beside both budgets.
struct Fence {
    leader: Revision,
    registration: Revision,
}

/// A transfer that was decided, with the transaction that carries it out.
struct PlannedTransfer {
    transfer: Transfer<ControllerName, TeamName>,
    transaction: Transaction,
}

impl QuotaExchange {
    /// What our transfers must be conditional on; none: we may not transfer now.
    ///
    /// A leader that takes no part hands machines over without the budgets for their
    /// tasks, so that no transfer may be decided under it, nor take effect. Nor without
    /// any leader: one that takes no part may have come and gone since, unknown to us.
    /// A leader's claim stands until its lease is over, so that transfers go on for as
    /// long after its death.
    fn fence(&self, cache: &StateCache) -> Option<Fence> {
        let registered = cache.controllers.get(&self.context.config.name)?;
        if registered.value.incarnation != self.context.config.incarnation {
            return None;
        }
        let leader = cache.leader.as_ref()?;
        if !takes_part_in_transfers(cache, &leader.value.controller)
            || cache.revision < leader.revision
        {
            return None;
        }
        Some(Fence {
            leader: leader.revision,
            registration: registered.revision,
        })
    }

    /// Decides the requests that wait. Called between two rounds of placements, so that
    /// all that we have placed is in the cache, or voided.
    ///
    /// `offered` is the quota of tasks that are offered to this controller and not yet placed.
    /// True: the outcome of a transfer's commit is unknown, and the caller must rewrite the
    /// allocation before it decides anything else.
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
            let answer = self.transfer_quota(&request, &offered).await;
            let is_unknown = answer == QuotaResponse::Undecided;
            lock(&self.state).decided(&request, answer);
            if is_unknown {
                // Our allocation is rewritten before anything else is decided.
                return true;
            }
        }
        false
    }

    /// Decides one request, and commits the transfer if there is one.
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
                tracing::debug!(%error, "quota transfer not possible now");
                QuotaResponse::Refused(Refusal::NotReady)
            }
        }
    }

    /// What a request is to be granted, as a transfer and the transaction that carries it
    /// out.
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
        // What came to us with this change of our allocation is known only once the cache has
        // passed it.
        if cache.revision < allocation.revision {
            return Err(Refusal::Conflict);
        }
        let recipient = cache.allocations.get(&request.recipient);
        let recipient = recipient.ok_or(Refusal::Outdated)?;
        // All machines of this controller, also those leased to the process before us.
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
        let transaction = self.transaction_of(&transfer, allocation, recipient);
        Ok(PlannedTransfer {
            transfer,
            transaction,
        })
    }

    /// The transaction that carries a transfer out: both allocations, on all its conditions.
    fn transaction_of(
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
