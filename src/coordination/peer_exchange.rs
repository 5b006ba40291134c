//! What controllers tell each other, and what follows from it.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tokio::time::Instant;

use crate::{
    coordination::{
        clients::{
            Cancellations, Heartbeat, IndirectHeartbeat, PeerRequest, PeerResponse,
            ProtocolVersion, StatusMessage,
        },
        controller::{Controller, lock},
    },
    storage::{ControllerName, Revision},
};

const EXCHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Cancelled jobs told to a peer at a time; more of them it must read for itself.
const MAX_CANCELLATIONS: usize = 8_192;

impl Controller {
    /// What a peer is told. The lists of machines are for the leader; the others
    /// only need to know that we live and what we know of.
    pub fn status(&self, full: bool) -> StatusMessage {
        let now = Instant::now();
        let mut status = StatusMessage {
            controller: self.config.name.clone(),
            incarnation: self.config.incarnation,
            protocol_version: self.config.protocol_version,
            highest_revision: self.store.highest_revision(),
            state_reachable: self.store.is_loaded() && self.store.is_reachable(),
            full,
            owned: Vec::new(),
            indirect_heartbeats: Vec::new(),
            failing: Vec::new(),
        };
        if full {
            status.owned = self.owned_machines(now);
            status.indirect_heartbeats = lock(&self.indirect_heartbeats)
                .values()
                .map(|(at, indirect_heartbeat)| IndirectHeartbeat {
                    age: now.duration_since(*at),
                    ..indirect_heartbeat.clone()
                })
                .collect();
            status.failing = lock(&self.owner).failing(now);
        }
        status
    }

    fn leads(&self, controller: &ControllerName) -> bool {
        let cache = self.store.cache();
        cache
            .leader
            .as_ref()
            .is_some_and(|leader| leader.value.controller == *controller)
    }

    /// An agent sent a heartbeat here although its machine is not ours. Copies of old
    /// heartbeats are no sign of life.
    pub(super) fn note_indirect_heartbeat(&self, heartbeat: &Heartbeat) {
        let now = Instant::now();
        let mut indirect_heartbeats = lock(&self.indirect_heartbeats);
        if let Some((_, known)) = indirect_heartbeats.get(&heartbeat.machine) {
            if (heartbeat.epoch, heartbeat.sequence) <= (known.epoch, known.sequence) {
                return;
            }
        } else if indirect_heartbeats.len() >= self.config.machines_tracked {
            tracing::debug!(machine = %heartbeat.machine, "too many indirect heartbeats to keep track of");
            return;
        }
        let indirect_heartbeat = IndirectHeartbeat {
            machine: heartbeat.machine.clone(),
            kind: heartbeat.kind.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            epoch: heartbeat.epoch,
            sequence: heartbeat.sequence,
            age: Duration::ZERO,
        };
        indirect_heartbeats.insert(heartbeat.machine.clone(), (now, indirect_heartbeat));
    }

    /// Duty: exchanges status with every peer.
    pub(super) async fn exchange_status(&self) {
        while self.pause(EXCHANGE_INTERVAL).await {
            let started = Instant::now();
            let life = self.config.indirect_heartbeat_max_age() + EXCHANGE_INTERVAL * 2;
            lock(&self.indirect_heartbeats).retain(|_, (at, _)| at.elapsed() < life);
            // Before asking: what a peer knows at most this much of, we know.
            let applied = self.store.cache().revision;
            if self.leadership().is_some() {
                lock(&self.leader).record_status(self.status(true), started);
            }
            let calls = self.config.peers.iter().map(|(name, _)| {
                let call = PeerRequest::Status(self.status(self.leads(name)));
                async move { (name, self.peers.call(name, call).await) }
            });
            let mut confirmed = self.store.is_loaded();
            let mut ahead = Vec::new();
            // Somebody is served by the state service, so that our machines go, or
            // have gone, to others: their agents are to find these.
            let mut any_served = self.store.is_reachable();
            for (name, answer) in join_all(calls).await {
                match answer {
                    Ok(PeerResponse::Status(theirs)) => {
                        // A process that has had no answer of the state service
                        // since its start can't vouch for what the one before it
                        // told users. Any answer would have carried a revision
                        // above all that.
                        confirmed &= theirs.highest_revision > Revision(0);
                        any_served |= theirs.state_reachable;
                        if theirs.highest_revision > applied {
                            confirmed &= theirs.protocol_version >= ProtocolVersion::CANCELLATIONS;
                            ahead.push(name);
                        }
                        self.note_peer_status(name, theirs, started);
                    }
                    _ => confirmed = false,
                }
            }
            if confirmed && !ahead.is_empty() {
                confirmed = !any_served && self.catch_up(applied, ahead).await;
            }
            if confirmed {
                lock(&self.liveness).read_confirmed_at = Some(started);
            }
        }
    }

    /// What every controller can read, by their own words: in its registration, or
    /// to us while it has none. None: some have said nothing yet, and silence is no
    /// word. A controller that is cut off from its peers alone holds nobody up.
    pub(super) fn common_protocol_version(&self) -> Option<ProtocolVersion> {
        let cache = self.store.cache();
        let liveness = lock(&self.liveness);
        let said = self.config.peers.iter().map(|(name, _)| {
            let registered = cache
                .controllers
                .get(name)
                .map(|entry| ProtocolVersion(entry.value.protocol_version));
            registered.or_else(|| liveness.protocol_versions.get(name).copied())
        });
        said.chain([Some(self.config.protocol_version)])
            .min()
            .flatten()
    }

    /// Whether all controllers are known to read this, and to go on doing so.
    pub(super) fn all_support(&self, protocol_version: ProtocolVersion) -> bool {
        let cache = self.store.cache();
        let recorded = cache
            .common_version
            .as_ref()
            .map(|entry| ProtocolVersion(entry.value.protocol_version));
        recorded.unwrap_or_default() >= protocol_version
    }

    /// Learns from peers that know of newer revisions than we do which jobs are
    /// cancelled by these: cut off from the state service, we stop those jobs' tasks
    /// and need not let all other tasks go with their leases. A peer's word stops a
    /// task; it never starts one. True if none of their cancellations is unknown to
    /// us then.
    async fn catch_up(&self, applied: Revision, ahead: Vec<&ControllerName>) -> bool {
        let calls = ahead.into_iter().map(|name| async move {
            let call = PeerRequest::CancelledSince(applied);
            self.peers.call(name, call).await
        });
        let mut complete = true;
        for answer in join_all(calls).await {
            let Ok(PeerResponse::CancelledSince(cancellations)) = answer else {
                complete = false;
                continue;
            };
            let Some(jobs) = cancellations.jobs else {
                complete = false;
                continue;
            };
            let new = self.store.cache().note_cancelled(jobs, cancellations.seen);
            if new > 0 {
                tracing::info!(jobs = new, "cancellations learned from a peer");
                self.owner_wakeup.notify_one();
            }
        }
        complete
    }

    /// The jobs that we know to be cancelled by changes after this revision.
    fn cancelled_since(&self, revision: Revision) -> Cancellations {
        let seen = self.store.highest_revision();
        let jobs =
            (self.store.is_loaded() && self.store.has_applied_looked_up_outcomes()).then(|| {
                let cache = self.store.cache();
                cache.cancelled_since(revision)
            });
        let jobs = jobs.filter(|jobs| jobs.len() <= MAX_CANCELLATIONS);
        Cancellations { seen, jobs }
    }

    fn note_peer_status(&self, name: &ControllerName, status: StatusMessage, at: Instant) {
        {
            let mut liveness = lock(&self.liveness);
            let last_status = (at, status.state_reachable);
            liveness.last_status.insert(name.clone(), last_status);
            if liveness
                .protocol_versions
                .insert(name.clone(), status.protocol_version)
                != Some(status.protocol_version)
            {
                tracing::info!(peer = %name, protocol_version = status.protocol_version.0, "peer protocol version");
            }
        }
        if status.full {
            lock(&self.leader).record_status(status, at);
        }
    }

    pub async fn handle_peer_request(self: &Arc<Self>, call: PeerRequest) -> PeerResponse {
        match call {
            PeerRequest::Status(theirs) => {
                if self
                    .config
                    .peers
                    .iter()
                    .any(|(name, _)| *name == theirs.controller)
                {
                    let name = theirs.controller.clone();
                    self.note_peer_status(&name, theirs, Instant::now());
                }
                // The leader has the lists from our own calls.
                PeerResponse::Status(self.status(false))
            }
            PeerRequest::Offers(offers) => {
                self.accept_offers(offers);
                PeerResponse::Accepted
            }
            PeerRequest::Preempt(tasks) => {
                self.accept_preemptions(tasks);
                PeerResponse::Accepted
            }
            PeerRequest::Probe(address) => {
                PeerResponse::ProbeResult(self.agent_client.inspect(&address).await.is_ok())
            }
            PeerRequest::RequestQuota(request) => {
                PeerResponse::Quota(self.handle_quota_request(request).await)
            }
            PeerRequest::SetQuotaTargets(targets) => {
                self.accept_quota_targets(targets);
                PeerResponse::Accepted
            }
            PeerRequest::CancelledSince(revision) => {
                PeerResponse::CancelledSince(self.cancelled_since(revision))
            }
        }
    }
}
