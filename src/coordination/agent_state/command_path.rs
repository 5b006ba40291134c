//! Whether the responses and commands of the owner reach the agent.
//!
//! Heartbeats may arrive from an agent that nothing reaches. Such an agent looks alive, but its
//! tasks end when its lease expires.

use std::time::Duration;

use tokio::time::Instant;

use crate::storage::FencingToken;

/// How long the command path counts as lost after the agent's lease expired although its
/// heartbeats were answered.
const LEASE_LOSS_WINDOW: Duration = Duration::from_secs(90);

/// A fencing token that was sent to the agent, and that no message from the agent has reported
/// yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedToken {
    token: FencingToken,
    since: Instant,
}

/// What shows whether responses to heartbeats reach the agent.
#[derive(Debug, Default)]
pub(super) struct CommandPath {
    /// The oldest response whose fencing token the agent has not reported since.
    unconfirmed_token: Option<UnconfirmedToken>,
    /// Until when the last response to a heartbeat should keep the agent's lease from
    /// expiring. If the lease expires before this time, the response has not renewed it.
    renewal_expected_until: Option<Instant>,
    /// When the agent's lease last turned out to have expired although its heartbeats were
    /// answered.
    lease_lost_at: Option<Instant>,
}

impl CommandPath {
    /// Notes that a heartbeat is answered with this fencing token. `reported` is the highest token
    /// that the agent has reported, `max_interval` the longest pause between two heartbeats of an
    /// agent, which is far shorter than the agents' lease.
    pub(super) fn note_response(
        &mut self,
        token: FencingToken,
        reported: FencingToken,
        max_interval: Duration,
        now: Instant,
    ) {
        self.renewal_expected_until = Some(now + max_interval);
        if reported < token {
            self.unconfirmed_token
                .get_or_insert(UnconfirmedToken { token, since: now });
        }
    }

    /// Notes the highest fencing token that the agent has reported.
    pub(super) fn confirm(&mut self, reported: FencingToken) {
        if self
            .unconfirmed_token
            .is_some_and(|unconfirmed| reported >= unconfirmed.token)
        {
            self.unconfirmed_token = None;
        }
    }

    /// Notes that the agent's lease has expired.
    pub(super) fn note_lease_expired(&mut self, now: Instant) {
        // A heartbeat was answered recently: the responses do not reach the agent.
        if self.renewal_expected_until.is_some_and(|until| now < until) {
            self.lease_lost_at = Some(now);
        }
    }

    /// Whether responses do not reach the agent: it does not report a fencing token that was sent
    /// more than `timeout` ago, or its lease expired recently although its heartbeats were
    /// answered.
    pub(super) fn is_lost(&self, timeout: Duration, now: Instant) -> bool {
        self.unconfirmed_token
            .is_some_and(|unconfirmed| now.duration_since(unconfirmed.since) > timeout)
            || self
                .lease_lost_at
                .is_some_and(|at| now.duration_since(at) < LEASE_LOSS_WINDOW)
    }
}
