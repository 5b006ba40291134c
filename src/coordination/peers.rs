//! What controllers tell each other, and what follows from it.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tokio::time::Instant;

use super::{
    node::{Node, lock},
    ports::*,
};
use crate::storage::*;

const EVERY: Duration = Duration::from_millis(800);
/// Sightings older than this are forgotten.
pub(super) const SIGHTING_LIFE: Duration = Duration::from_secs(8);
const SIGHTINGS: usize = 512;

impl Node {
    pub fn status(&self) -> Status {
        let now = Instant::now();
        Status {
            node: self.config.node.clone(),
            incarnation: self.config.incarnation,
            seen: self.store.seen(),
            state_reachable: self.store.is_loaded() && self.store.is_reachable(),
            held: self.held_machines(now),
            sightings: lock(&self.sightings)
                .values()
                .map(|(at, sighting)| Sighting {
                    age: now.duration_since(*at),
                    ..sighting.clone()
                })
                .collect(),
            failing: lock(&self.holder).failing(now),
        }
    }

    /// A worker reported here although its machine is not ours.
    pub(super) fn sight(&self, report: &Report) {
        let now = Instant::now();
        let mut sightings = lock(&self.sightings);
        if sightings.len() >= SIGHTINGS && !sightings.contains_key(&report.machine) {
            return;
        }
        let sighting = Sighting {
            machine: report.machine.clone(),
            kind: report.kind.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            age: Duration::ZERO,
        };
        sightings.insert(report.machine.clone(), (now, sighting));
    }

    /// Duty: exchanges status with every peer.
    pub(super) async fn talk_to_peers(&self) {
        while self.pause(EVERY).await {
            let started = Instant::now();
            lock(&self.sightings).retain(|_, (at, _)| at.elapsed() < SIGHTING_LIFE);
            // Before asking: what a peer knows at most this much of, we know.
            let applied = self.store.book().revision;
            let status = self.status();
            lock(&self.leader).take_status(status.clone(), started);
            let calls = self.config.peers.iter().map(|(name, _)| {
                let call = PeerCall::Status(status.clone());
                async move { (name, self.peers.call(name, call).await) }
            });
            let mut agreed = self.store.is_loaded();
            for (name, answer) in join_all(calls).await {
                match answer {
                    Ok(PeerAnswer::Status(theirs)) => {
                        agreed &= theirs.seen <= applied;
                        self.hear(name, theirs, started);
                    }
                    _ => agreed = false,
                }
            }
            if agreed {
                lock(&self.links).nothing_newer = Some(started);
            }
        }
    }

    fn hear(&self, name: &NodeName, status: Status, at: Instant) {
        lock(&self.leader).take_status(status.clone(), at);
        lock(&self.links).heard.insert(name.clone(), (at, status));
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
                PeerAnswer::Status(self.status())
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
        }
    }
}
