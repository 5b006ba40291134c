//! Transfers of quota between controllers, in both roles.
//!
//! A controller that lacks quota, by the leader's targets or for tasks that it was
//! offered, asks the one that seems to have most to spare (`requests`). That one decides
//! in its shard owner's loop, between its own placements, and commits both budgets in one
//! transaction (`transfers`). `docs/quota.md` has the argument why no limit is exceeded.

mod requests;
mod state;
mod transfers;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use quota::Refusal;
use state::State;
use tokio::time::Instant;

use super::{
    clients::{QuotaRequest, QuotaResponse, QuotaTargets},
    context::{Context, lock},
};
use crate::storage::TeamName;

/// A decision takes a commit; an asker hears of it within this time or reads it.
const DECISION_TIMEOUT: Duration = Duration::from_millis(800);

/// What became of requests since the last look, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Transfers that this controller committed as the donor.
    pub given: u32,
    /// Requests that it refused.
    pub refused: u32,
    /// Transfers that it was granted.
    pub received: u32,
    /// Its own requests that were refused or got no answer.
    pub unserved: u32,
}

/// The duty that transfers quota between this controller and others, in both roles.
pub(super) struct QuotaExchange {
    context: Arc<Context>,
    state: Mutex<State>,
}

impl QuotaExchange {
    /// Nothing asked, nothing known.
    pub(super) fn new(context: Arc<Context>) -> Self {
        let state = Mutex::new(State::new(&context.config));
        Self { context, state }
    }

    /// The counts since the last call, and for how long the oldest deficit has lasted.
    pub(super) fn take_counts(&self, now: Instant) -> (QuotaCounts, Option<Duration>) {
        lock(&self.state).take_counts(now)
    }

    /// Answers a controller that asks for quota.
    pub(super) async fn handle_request(&self, request: QuotaRequest) -> QuotaResponse {
        let recipient = request.recipient.clone();
        let received = if self.context.knows_transfers() {
            lock(&self.state).receive(request)
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

    /// Takes the leader's targets in.
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
