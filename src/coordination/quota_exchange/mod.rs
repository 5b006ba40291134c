//! Transfers of quota between controllers, as the recipient and as the donor.
//!
//! A controller with a quota deficit, by the leader's targets or for tasks that it was offered,
//! requests quota from the controller that seems to have the most to spare (`requests`). That
//! donor decides in its shard owner's loop, between its own placements, and commits both
//! allocations in one transaction (`transfers`). `docs/quota.md` argues why no limit is
//! exceeded.

mod requests;
mod state;
mod transfers;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use quota::Refusal;
use state::ExchangeState;
use tokio::time::Instant;

use super::{
    clients::{QuotaRequest, QuotaResponse, QuotaTargets},
    context::{Context, lock},
};
use crate::storage::TeamName;

/// Maximum time for which a request waits for the donor's decision, which takes a commit. After
/// that the recipient finds the outcome in the allocation records.
const DECISION_TIMEOUT: Duration = Duration::from_millis(800);

/// Numbers of quota requests by outcome since the last report, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Number of transfers that this controller committed as the donor.
    pub given: u32,
    /// Number of requests that it refused as the donor.
    pub refused: u32,
    /// Number of its own requests that were granted.
    pub received: u32,
    /// Number of its own requests that were refused or got no response.
    pub unserved: u32,
}

/// Transfers quota between this controller and others, as the recipient and as the donor.
pub(super) struct QuotaExchange {
    context: Arc<Context>,
    state: Mutex<ExchangeState>,
}

impl QuotaExchange {
    /// Creates an exchange without requests and targets.
    pub(super) fn new(context: Arc<Context>) -> Self {
        let state = Mutex::new(ExchangeState::new(&context.config));
        Self { context, state }
    }

    /// Returns the counts since the last call, and for how long the oldest deficit has lasted.
    pub(super) fn take_counts(&self, now: Instant) -> (QuotaCounts, Option<Duration>) {
        lock(&self.state).take_counts(now)
    }

    /// Queues another controller's request for quota, and waits for the decision.
    pub(super) async fn handle_request(&self, request: QuotaRequest) -> QuotaResponse {
        let recipient = request.recipient.clone();
        let received = if self.context.quota_transfers_active() {
            lock(&self.state).enqueue_request(request)
        } else {
            Err(Refusal::NotReady)
        };
        let answer = match received {
            Ok(answer) => answer,
            Err(refusal) => {
                lock(&self.state).counts.refused += 1;
                if refusal.is_invalid_request() {
                    tracing::warn!(%recipient, %refusal, "quota request refused");
                }
                return QuotaResponse::Refused(refusal);
            }
        };
        self.context.owner_wakeup.notify_one();
        match tokio::time::timeout(DECISION_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            _ => QuotaResponse::Undecided,
        }
    }

    /// Stores the leader's targets, unless they are for an unknown team or of an earlier leader.
    pub(super) fn accept_targets(&self, targets: QuotaTargets) {
        let is_known = |team: &TeamName| self.context.config.team(team).is_some();
        if let Some(team) = targets.budgets.keys().find(|team| !is_known(team)) {
            tracing::warn!(%team, "quota targets for an unknown team ignored");
            return;
        }
        if lock(&self.state).accept_targets(targets, Instant::now()) {
            self.context.owner_wakeup.notify_one();
        }
    }
}
