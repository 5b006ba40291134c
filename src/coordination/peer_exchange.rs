//! What controllers tell each other, and what follows from it.
//!
//! Each controller sends its status to every other one about once a second, and serves
//! their requests. A round in which all peers confirm that they know of nothing newer
//! counts as a fresh read, also without the state service.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tokio::time::Instant;

use crate::{
    coordination::{
        clients::{Cancellations, PeerRequest, PeerResponse, ProtocolVersion, StatusMessage},
        context::Context,
        indirect_heartbeats::IndirectHeartbeats,
        leader::Leader,
        owner::ShardOwner,
        peer_liveness::PeerLiveness,
        quota_exchange::QuotaExchange,
    },
    storage::{ControllerName, Revision},
};

/// Pause between two rounds of status.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Cancelled jobs told to a peer at a time; more of them it must read for itself.
const MAX_CANCELLATIONS: usize = 8_192;

/// The duty that exchanges status with the peers and serves their requests.
pub struct PeerExchange {
    context: Arc<Context>,
    leader: Arc<Leader>,
    owner: Arc<ShardOwner>,
    quota: Arc<QuotaExchange>,
    liveness: Arc<PeerLiveness>,
    indirect_heartbeats: Arc<IndirectHeartbeats>,
}

impl PeerExchange {
    /// The duty, which keeps nothing of its own.
    pub(super) fn new(
        context: Arc<Context>,
        leader: Arc<Leader>,
        owner: Arc<ShardOwner>,
        quota: Arc<QuotaExchange>,
        liveness: Arc<PeerLiveness>,
        indirect_heartbeats: Arc<IndirectHeartbeats>,
    ) -> Self {
        Self {
            context,
            leader,
            owner,
            quota,
            liveness,
            indirect_heartbeats,
        }
    }

    /// What a peer is told. The lists of machines are for the leader; the others
    /// only need to know that we live and what we know of.
    pub fn status(&self, full: bool) -> StatusMessage {
        let now = Instant::now();
        let mut status = StatusMessage {
            controller: self.context.config.name.clone(),
            incarnation: self.context.config.incarnation,
            protocol_version: self.context.config.protocol_version,
            highest_revision: self.context.store.highest_revision(),
            state_reachable: self.context.store.is_loaded() && self.context.store.is_reachable(),
            full,
            owned: Vec::new(),
            indirect_heartbeats: Vec::new(),
            failing: Vec::new(),
        };
        if full {
            status.owned = self.owner.owned_machines(now);
            status.indirect_heartbeats = self.indirect_heartbeats.list(now);
            status.failing = self.owner.failing_jobs(now);
        }
        status
    }

    /// Whether this controller leads, by our cache.
    fn leads(&self, controller: &ControllerName) -> bool {
        let cache = self.context.store.cache();
        cache
            .leader
            .as_ref()
            .is_some_and(|leader| leader.value.controller == *controller)
    }

    /// Duty: exchanges status with every peer.
    pub(super) async fn run(&self) {
        while self.context.pause(EXCHANGE_INTERVAL).await {
            self.exchange_status().await;
        }
    }

    /// One round: sends our status to every peer, and notes theirs and what they confirm.
    async fn exchange_status(&self) {
        let started = Instant::now();
        let ttl = self.context.config.indirect_heartbeat_max_age() + EXCHANGE_INTERVAL * 2;
        self.indirect_heartbeats.expire(ttl);
        // Before asking: what a peer knows at most this much of, we know.
        let applied = self.context.store.cache().revision;
        if self.context.leadership().is_some() {
            self.leader.record_status(self.status(true), started);
        }
        let calls = self.context.config.peers.iter().map(|(name, _)| {
            let request = PeerRequest::Status(self.status(self.leads(name)));
            async move { (name, self.context.peers.call(name, request).await) }
        });
        let mut is_confirmed = self.context.store.is_loaded();
        let mut ahead = Vec::new();
        // Somebody is served by the state service, so that our machines go, or
        // have gone, to others: their agents are to find these.
        let mut any_served = self.context.store.is_reachable();
        for (name, answer) in join_all(calls).await {
            match answer {
                Ok(PeerResponse::Status(theirs)) => {
                    // A process that has had no answer of the state service
                    // since its start can't vouch for what the one before it
                    // told users. Any answer would have carried a revision
                    // above all that.
                    is_confirmed &= theirs.highest_revision > Revision(0);
                    any_served |= theirs.state_reachable;
                    if theirs.highest_revision > applied {
                        is_confirmed &= theirs.protocol_version >= ProtocolVersion::CANCELLATIONS;
                        ahead.push(name);
                    }
                    self.note_peer_status(name, theirs, started);
                }
                _ => is_confirmed = false,
            }
        }
        if is_confirmed && !ahead.is_empty() {
            is_confirmed = !any_served && self.catch_up(applied, ahead).await;
        }
        if is_confirmed {
            self.liveness.note_confirmed(started);
        }
    }

    /// Learns from peers that know of newer revisions than we do which jobs are
    /// cancelled by these: cut off from the state service, we stop those jobs' tasks
    /// and need not let all other tasks go with their leases. A peer's word stops a
    /// task; it never starts one. True if none of their cancellations is unknown to
    /// us then.
    async fn catch_up(&self, applied: Revision, ahead: Vec<&ControllerName>) -> bool {
        let calls = ahead.into_iter().map(|name| async move {
            let request = PeerRequest::CancelledSince(applied);
            self.context.peers.call(name, request).await
        });
        let mut is_complete = true;
        for answer in join_all(calls).await {
            let Ok(PeerResponse::CancelledSince(cancellations)) = answer else {
                is_complete = false;
                continue;
            };
            let Some(jobs) = cancellations.jobs else {
                is_complete = false;
                continue;
            };
            let new = self
                .context
                .store
                .cache()
                .note_cancelled(jobs, cancellations.seen);
            if new > 0 {
                tracing::info!(jobs = new, "cancellations learned from a peer");
                self.context.owner_wakeup.notify_one();
            }
        }
        is_complete
    }

    /// The jobs that we know to be cancelled by changes after this revision.
    fn cancelled_since(&self, revision: Revision) -> Cancellations {
        let seen = self.context.store.highest_revision();
        let knows_all =
            self.context.store.is_loaded() && self.context.store.has_applied_looked_up_outcomes();
        let jobs = knows_all.then(|| self.context.store.cache().cancelled_since(revision));
        let jobs = jobs.filter(|jobs| jobs.len() <= MAX_CANCELLATIONS);
        Cancellations { seen, jobs }
    }

    /// Notes the status of a peer as of `at`; a full one is for the leader.
    fn note_peer_status(&self, name: &ControllerName, status: StatusMessage, at: Instant) {
        let version = status.protocol_version;
        let is_new = self
            .liveness
            .note_status(name, version, status.state_reachable, at);
        if is_new {
            tracing::info!(peer = %name, protocol_version = version.0, "peer protocol version");
        }
        if status.full {
            self.leader.record_status(status, at);
        }
    }

    /// Serves a request of another controller.
    pub async fn handle_request(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Status(theirs) => {
                let mut peers = self.context.config.peers.iter();
                if peers.any(|(name, _)| *name == theirs.controller) {
                    let name = theirs.controller.clone();
                    self.note_peer_status(&name, theirs, Instant::now());
                }
                // The leader has the lists from our own calls.
                PeerResponse::Status(self.status(false))
            }
            PeerRequest::Offers(offers) => {
                self.owner.accept_offers(offers);
                PeerResponse::Accepted
            }
            PeerRequest::Preempt(tasks) => {
                self.owner.accept_preemptions(tasks);
                PeerResponse::Accepted
            }
            PeerRequest::Probe(address) => {
                PeerResponse::ProbeResult(self.context.agent_client.inspect(&address).await.is_ok())
            }
            PeerRequest::RequestQuota(request) => {
                PeerResponse::Quota(self.quota.handle_request(request).await)
            }
            PeerRequest::SetQuotaTargets(targets) => {
                self.quota.accept_targets(targets);
                PeerResponse::Accepted
            }
            PeerRequest::CancelledSince(revision) => {
                PeerResponse::CancelledSince(self.cancelled_since(revision))
            }
        }
    }
}
