//! What controllers tell each other, and what follows from it.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tokio::time::Instant;

use crate::{
    coordination::{
        node::{Node, lock},
        ports::{Cancellations, Dialect, PeerAnswer, PeerCall, Report, Sighting, Status},
    },
    storage::{NodeName, Revision},
};

const EVERY: Duration = Duration::from_millis(800);
/// Cancelled jobs told to a peer at a time; more of them it must read for itself.
const CANCELLATIONS: usize = 8_192;

impl Node {
    /// What a peer is told. The lists of machines are for the leader; the others
    /// only need to know that we live and what we know of.
    pub fn status(&self, full: bool) -> Status {
        let now = Instant::now();
        let mut status = Status {
            node: self.config.node.clone(),
            incarnation: self.config.incarnation,
            dialect: self.config.dialect,
            seen: self.store.seen(),
            state_reachable: self.store.is_loaded() && self.store.is_reachable(),
            full,
            held: Vec::new(),
            sightings: Vec::new(),
            failing: Vec::new(),
        };
        if full {
            status.held = self.held_machines(now);
            status.sightings = lock(&self.sightings)
                .values()
                .map(|(at, sighting)| Sighting {
                    age: now.duration_since(*at),
                    ..sighting.clone()
                })
                .collect();
            status.failing = lock(&self.holder).failing(now);
        }
        status
    }

    fn leads(&self, node: &NodeName) -> bool {
        let cache = self.store.cache();
        cache
            .leader
            .as_ref()
            .is_some_and(|leader| leader.value.node == *node)
    }

    /// A worker reported here although its machine is not ours. Copies of old
    /// reports are no sign of life.
    pub(super) fn sight(&self, report: &Report) {
        let now = Instant::now();
        let mut sightings = lock(&self.sightings);
        if let Some((_, known)) = sightings.get(&report.machine) {
            if (report.session, report.sequence) <= (known.session, known.sequence) {
                return;
            }
        } else if sightings.len() >= self.config.machines_tracked {
            tracing::debug!(machine = %report.machine, "too many machines reported to keep track");
            return;
        }
        let sighting = Sighting {
            machine: report.machine.clone(),
            kind: report.kind.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            session: report.session,
            sequence: report.sequence,
            age: Duration::ZERO,
        };
        sightings.insert(report.machine.clone(), (now, sighting));
    }

    /// Duty: exchanges status with every peer.
    pub(super) async fn talk_to_peers(&self) {
        while self.pause(EVERY).await {
            let started = Instant::now();
            let life = self.config.sighted() + EVERY * 2;
            lock(&self.sightings).retain(|_, (at, _)| at.elapsed() < life);
            // Before asking: what a peer knows at most this much of, we know.
            let applied = self.store.cache().revision;
            if self.is_leader().is_some() {
                lock(&self.leader).take_status(self.status(true), started);
            }
            let calls = self.config.peers.iter().map(|(name, _)| {
                let call = PeerCall::Status(self.status(self.leads(name)));
                async move { (name, self.peers.call(name, call).await) }
            });
            let mut agreed = self.store.is_loaded();
            let mut ahead = Vec::new();
            // Somebody is served by the state service, so that our machines go, or
            // have gone, to others: their workers are to find these.
            let mut served = self.store.is_reachable();
            for (name, answer) in join_all(calls).await {
                match answer {
                    Ok(PeerAnswer::Status(theirs)) => {
                        // A process that has had no answer of the state service
                        // since its start can't vouch for what the one before it
                        // told users. Any answer would have carried a revision
                        // above all that.
                        agreed &= theirs.seen > Revision(0);
                        served |= theirs.state_reachable;
                        if theirs.seen > applied {
                            agreed &= theirs.dialect >= Dialect::CANCELLATIONS;
                            ahead.push(name);
                        }
                        self.hear(name, theirs, started);
                    }
                    _ => agreed = false,
                }
            }
            if agreed && !ahead.is_empty() {
                agreed = !served && self.catch_up(applied, ahead).await;
            }
            if agreed {
                lock(&self.links).nothing_newer = Some(started);
            }
        }
    }

    /// What every controller can read, by their own words: in its registration, or
    /// to us while it has none. None: some have said nothing yet, and silence is no
    /// word. A controller that is cut off from its peers alone holds nobody up.
    pub(super) fn common_dialect(&self) -> Option<Dialect> {
        let cache = self.store.cache();
        let links = lock(&self.links);
        let said = self.config.peers.iter().map(|(name, _)| {
            let registered = cache
                .nodes
                .get(name)
                .map(|kept| Dialect(kept.value.dialect));
            registered.or_else(|| links.dialects.get(name).copied())
        });
        said.chain([Some(self.config.dialect)]).min().flatten()
    }

    /// Whether all controllers are known to read this, and to go on doing so.
    pub(super) fn all_read(&self, dialect: Dialect) -> bool {
        let cache = self.store.cache();
        let recorded = cache
            .format
            .as_ref()
            .map(|kept| Dialect(kept.value.dialect));
        recorded.unwrap_or_default() >= dialect
    }

    /// Learns from peers that know of newer revisions than we do which jobs are
    /// cancelled by these: cut off from the state service, we stop those jobs' tasks
    /// and need not let all other tasks go with their leases. A peer's word stops a
    /// task; it never starts one. True if none of their cancellations is unknown to
    /// us then.
    async fn catch_up(&self, applied: Revision, ahead: Vec<&NodeName>) -> bool {
        let calls = ahead.into_iter().map(|name| async move {
            let call = PeerCall::CancelledSince(applied);
            self.peers.call(name, call).await
        });
        let mut complete = true;
        for answer in join_all(calls).await {
            let Ok(PeerAnswer::CancelledSince(told)) = answer else {
                complete = false;
                continue;
            };
            let Some(jobs) = told.jobs else {
                complete = false;
                continue;
            };
            let new = self.store.cache().note_cancelled(jobs, told.seen);
            if new > 0 {
                tracing::info!(jobs = new, "cancelled, by the word of a peer");
                self.holder_kick.notify_one();
            }
        }
        complete
    }

    /// The jobs that we know to be cancelled by changes after this revision.
    fn cancelled_since(&self, revision: Revision) -> Cancellations {
        let seen = self.store.seen();
        let jobs = (self.store.is_loaded() && self.store.has_followed_fates()).then(|| {
            let cache = self.store.cache();
            cache.cancelled_since(revision)
        });
        let jobs = jobs.filter(|jobs| jobs.len() <= CANCELLATIONS);
        Cancellations { seen, jobs }
    }

    fn hear(&self, name: &NodeName, status: Status, at: Instant) {
        {
            let mut links = lock(&self.links);
            let heard = (at, status.state_reachable);
            links.heard.insert(name.clone(), heard);
            if links.dialects.insert(name.clone(), status.dialect) != Some(status.dialect) {
                tracing::info!(peer = %name, dialect = status.dialect.0, "speaks");
            }
        }
        if status.full {
            lock(&self.leader).take_status(status, at);
        }
    }

    pub async fn answer_peer(self: &Arc<Self>, call: PeerCall) -> PeerAnswer {
        match call {
            PeerCall::Status(theirs) => {
                if self
                    .config
                    .peers
                    .iter()
                    .any(|(name, _)| *name == theirs.node)
                {
                    let name = theirs.node.clone();
                    self.hear(&name, theirs, Instant::now());
                }
                // The leader has the lists from our own calls.
                PeerAnswer::Status(self.status(false))
            }
            PeerCall::Offers(offers) => {
                self.take_offers(offers);
                PeerAnswer::Taken
            }
            PeerCall::Preempt(tasks) => {
                self.take_preemptions(tasks);
                PeerAnswer::Taken
            }
            PeerCall::Probe(address) => {
                PeerAnswer::Probed(self.workers.inspect(&address).await.is_ok())
            }
            PeerCall::RequestQuota(request) => {
                PeerAnswer::Quota(self.answer_quota_request(request).await)
            }
            PeerCall::SetQuotaTargets(targets) => {
                self.take_quota_targets(targets);
                PeerAnswer::Taken
            }
            PeerCall::CancelledSince(revision) => {
                PeerAnswer::CancelledSince(self.cancelled_since(revision))
            }
        }
    }
}
