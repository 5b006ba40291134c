//! State of a controller's quota requests in both roles, and the leader's targets.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant as StdInstant},
};

use quota::{Deficits, Donor, Refusal};
use tokio::{sync::oneshot, time::Instant};

use super::QuotaCounts;
use crate::{
    coordination::{
        clients::{QuotaRequest, QuotaResponse, QuotaTargets},
        config::Config,
    },
    storage::{AMOUNT_SLACK, ControllerName, Quota, Revision, TeamName},
};

/// Targets expire if the leader has not repeated them for this long.
const TARGET_TTL: Duration = Duration::from_secs(3);
/// Deficits up to this amount are not requested: tasks fit without it.
const MIN_DEFICIT: f64 = AMOUNT_SLACK;

/// A budget that the leader has planned for this controller.
#[derive(Clone, Copy, Debug)]
struct Target {
    budget: Quota,
    expires_at: Instant,
}

/// State of a controller's quota requests in both roles.
pub(super) struct ExchangeState {
    /// Requests of other controllers that wait for a decision.
    pub(super) donor: Donor<ControllerName, TeamName>,
    /// This controller's deficits, and its own requests for them.
    pub(super) deficits: Deficits<ControllerName, TeamName>,
    /// Channels for the responses to requests that wait for a decision, by the recipient and the
    /// number of the request.
    response_senders: BTreeMap<(ControllerName, u64), oneshot::Sender<QuotaResponse>>,
    targets: BTreeMap<TeamName, Target>,
    /// Revision of the leader record under which the targets were planned. Targets of an earlier
    /// leader are ignored.
    targets_leader: Revision,
    /// Numbers of requests by outcome since the last report.
    pub(super) counts: QuotaCounts,
}

impl ExchangeState {
    /// Creates a state without requests and targets.
    pub(super) fn new(config: &Config) -> Self {
        let controllers = config.peers.iter().map(|(name, _)| name.clone());
        let teams = config.teams.iter().map(|team| team.name.clone());
        Self {
            donor: Donor::new(controllers, teams),
            deficits: Deficits::new(config.name.clone(), config.incarnation.0),
            response_senders: BTreeMap::new(),
            targets: BTreeMap::new(),
            targets_leader: Revision(0),
            counts: QuotaCounts::default(),
        }
    }

    /// Queues a request of another controller. The response is sent by the shard owner's loop.
    pub(super) fn enqueue_request(
        &mut self,
        request: QuotaRequest,
    ) -> Result<oneshot::Receiver<QuotaResponse>, Refusal> {
        let key = (request.recipient.clone(), request.number);
        self.donor.receive(request)?;
        self.response_senders
            .retain(|_, sender| !sender.is_closed());
        let (sender, response) = oneshot::channel();
        self.response_senders.insert(key, sender);
        Ok(response)
    }

    /// Counts the decision on a request of another controller, and sends it the response.
    pub(super) fn complete_request(&mut self, request: &QuotaRequest, response: QuotaResponse) {
        match &response {
            QuotaResponse::Granted(_) => self.counts.given += 1,
            QuotaResponse::Refused(_) => self.counts.refused += 1,
            QuotaResponse::Undecided => {}
        }
        let key = (request.recipient.clone(), request.number);
        if let Some(sender) = self.response_senders.remove(&key) {
            // A recipient that no longer waits finds the outcome in the allocation records.
            let _ = sender.send(response);
        }
    }

    /// Stores the leader's targets. Returns false if they are from an earlier leader.
    pub(super) fn accept_targets(&mut self, targets: QuotaTargets, now: Instant) -> bool {
        if targets.leader < self.targets_leader {
            return false;
        }
        if targets.leader > self.targets_leader {
            self.targets.clear();
            self.targets_leader = targets.leader;
        }
        let expires_at = now + TARGET_TTL;
        for (team, budget) in targets.budgets {
            self.targets.insert(team, Target { budget, expires_at });
        }
        true
    }

    /// Returns the budget that the leader has planned for this controller, unless it expired.
    pub(super) fn target(&self, team: &TeamName, now: Instant) -> Option<Quota> {
        let target = self.targets.get(team)?;
        (target.expires_at > now).then_some(target.budget)
    }

    /// Returns the counts since the last call, and for how long the oldest deficit has lasted.
    pub(super) fn take_counts(&mut self, now: Instant) -> (QuotaCounts, Option<Duration>) {
        let oldest = self.deficits.oldest_age(now.into_std());
        (std::mem::take(&mut self.counts), oldest)
    }

    /// Records this controller's current deficit of a team's quota.
    pub(super) fn record_deficit(&mut self, team: &TeamName, deficit: Quota, now: StdInstant) {
        if deficit.exceeds(MIN_DEFICIT) {
            self.deficits.report(team, deficit, now);
        } else if let Some(lasted) = self.deficits.clear(team, now) {
            tracing::debug!(%team, ms = lasted.as_millis() as u64, "quota deficit met");
        }
    }
}
