//! Exchange of status and requests between controllers.
//!
//! Each controller sends its status to every peer about once a second and serves their
//! requests. A round in which all peers confirm that they know of no newer revision counts as a
//! fresh read of the state, even when the state service is unreachable.

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

/// Pause between two rounds of the status exchange.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of cancelled jobs in a response. If there are more, none are listed and the
/// peer has to read them from the state service.
const MAX_CANCELLATIONS_PER_RESPONSE: usize = 8_192;

/// Exchanges status with the peers and serves their requests.
pub struct PeerExchange {
    context: Arc<Context>,
    leader: Arc<Leader>,
    owner: Arc<ShardOwner>,
    quota: Arc<QuotaExchange>,
    liveness: Arc<PeerLiveness>,
    indirect_heartbeats: Arc<IndirectHeartbeats>,
}

impl PeerExchange {
    /// Creates the exchange, which has no state of its own.
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

    /// Returns this controller's status. `with_lists`: with the lists of machines and failing jobs,
    /// which only the leader needs.
    pub fn status(&self, with_lists: bool) -> StatusMessage {
        let now = Instant::now();
        let mut status = StatusMessage {
            controller: self.context.config.name.clone(),
            incarnation: self.context.config.incarnation,
            protocol_version: self.context.config.protocol_version,
            highest_revision: self.context.store.highest_revision(),
            state_service_reachable: self.context.store.is_loaded()
                && self.context.store.is_reachable(),
            has_lists: with_lists,
            owned: Vec::new(),
            indirect_heartbeats: Vec::new(),
            failing: Vec::new(),
        };
        if with_lists {
            status.owned = self.owner.owned_machines(now);
            status.indirect_heartbeats = self.indirect_heartbeats.list(now);
            status.failing = self.owner.failing_jobs(now);
        }
        status
    }

    /// Whether the cache shows this controller as the leader.
    fn leads(&self, controller: &ControllerName) -> bool {
        let cache = self.context.store.cache();
        cache
            .leader
            .as_ref()
            .is_some_and(|leader| leader.value.controller == *controller)
    }

    /// Background task: exchanges status with every peer.
    pub(super) async fn run(&self) {
        while self.context.sleep_unless_stopped(EXCHANGE_INTERVAL).await {
            self.exchange_status().await;
        }
    }

    /// Runs one round: sends this controller's status to every peer, and records their statuses
    /// and whether the round confirms that this controller knows of all cancellations.
    async fn exchange_status(&self) {
        let started = Instant::now();
        let ttl = self.context.config.indirect_heartbeat_max_age() + EXCHANGE_INTERVAL * 2;
        self.indirect_heartbeats.expire(ttl);
        // Read before the requests are sent: a peer whose highest revision is not above this
        // one knows of nothing that this controller has not applied.
        let applied_revision = self.context.store.cache().revision;
        if self.context.leadership().is_some() {
            self.leader.record_status(self.status(true), started);
        }
        let calls = self.context.config.peers.iter().map(|(name, _)| {
            let request = PeerRequest::Status(self.status(self.leads(name)));
            async move { (name, self.context.peers.call(name, request).await) }
        });
        let mut is_confirmed = self.context.store.is_loaded();
        let mut peers_ahead = Vec::new();
        // While any controller reaches the state service, the machines of this one are moved
        // to others if it does not. Their agents must find the new owners, so this controller
        // must not renew leases by the peers' cancellations alone.
        let mut any_reaches_state_service = self.context.store.is_reachable();
        for (name, answer) in join_all(calls).await {
            match answer {
                Ok(PeerResponse::Status(theirs)) => {
                    // A process without any response from the state service since its
                    // start does not know what its predecessor confirmed to users. Any
                    // response would carry a revision that covers all of that.
                    is_confirmed &= theirs.highest_revision > Revision(0);
                    any_reaches_state_service |= theirs.state_service_reachable;
                    if theirs.highest_revision > applied_revision {
                        is_confirmed &= theirs.protocol_version >= ProtocolVersion::CANCELLATIONS;
                        peers_ahead.push(name);
                    }
                    self.note_peer_status(name, theirs, started);
                }
                _ => is_confirmed = false,
            }
        }
        if is_confirmed && !peers_ahead.is_empty() {
            is_confirmed = !any_reaches_state_service
                && self
                    .fetch_cancellations(applied_revision, peers_ahead)
                    .await;
        }
        if is_confirmed {
            self.liveness.note_confirmed(started);
        }
    }

    /// Fetches the cancellations that peers know of beyond the applied revision. A controller
    /// that is cut off from the state service can then stop the tasks of these jobs and keep
    /// renewing leases, so that all other tasks continue to run. Information from a peer only stops
    /// tasks; it never starts one. Returns whether all cancellations that these peers know of
    /// are now known.
    async fn fetch_cancellations(
        &self,
        applied_revision: Revision,
        peers_ahead: Vec<&ControllerName>,
    ) -> bool {
        let calls = peers_ahead.into_iter().map(|name| async move {
            let request = PeerRequest::CancelledSince(applied_revision);
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
                .note_cancelled(jobs, cancellations.highest_revision);
            if new > 0 {
                tracing::info!(jobs = new, "cancellations received from a peer");
                self.context.owner_wakeup.notify_one();
            }
        }
        is_complete
    }

    /// Returns the jobs that are cancelled by changes after this revision, or no list if this
    /// controller may not know all of them or if there are too many for a response.
    fn cancelled_since(&self, revision: Revision) -> Cancellations {
        let highest_revision = self.context.store.highest_revision();
        let is_list_complete =
            self.context.store.is_loaded() && self.context.store.has_applied_looked_up_outcomes();
        let jobs = is_list_complete.then(|| self.context.store.cache().cancelled_since(revision));
        let jobs = jobs.filter(|jobs| jobs.len() <= MAX_CANCELLATIONS_PER_RESPONSE);
        Cancellations {
            highest_revision,
            jobs,
        }
    }

    /// Records the status of a peer as of `at`, and passes a status with lists to the leader.
    fn note_peer_status(&self, name: &ControllerName, status: StatusMessage, at: Instant) {
        let version = status.protocol_version;
        let is_new = self
            .liveness
            .note_status(name, version, status.state_service_reachable, at);
        if is_new {
            tracing::info!(peer = %name, protocol_version = version.0, "peer protocol version");
        }
        if status.has_lists {
            self.leader.record_status(status, at);
        }
    }

    /// Serves a request from another controller.
    pub async fn handle_request(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Status(theirs) => {
                let mut peers = self.context.config.peers.iter();
                if peers.any(|(name, _)| *name == theirs.controller) {
                    let name = theirs.controller.clone();
                    self.note_peer_status(&name, theirs, Instant::now());
                }
                // No lists: this controller sends them to the leader in its own requests.
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
