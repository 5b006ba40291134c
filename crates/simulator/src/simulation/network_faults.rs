//! Faults of the network, of the state service's answers and of the controllers' processes:
//! partitions, lost, late and duplicated messages, and process pauses.

use std::{sync::Arc, time::Duration};

use stallcove::storage::jitter;
use tokio::time::Instant;

use super::Simulation;
use crate::faults::{Delay, DuplicateHeartbeat};

/// A duplicated heartbeat is delivered this much later, at least.
const MIN_DUPLICATE_DELAY: Duration = Duration::from_secs(1);

/// A network partition: between two tags nothing passes.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    /// The tag of one side: a zone, a controller, a machine or a kind of them.
    pub a: String,
    /// The tag of the other side.
    pub b: String,
    /// Requests pass once the partition has healed; otherwise they are lost.
    pub holds_packets: bool,
}

impl Simulation {
    /// A partition begins.
    pub fn add_partition(&self, partition: Partition) {
        self.partitions.lock().expect("partitions").push(partition);
    }

    /// A partition is over.
    pub fn heal_partition(&self, partition: &Partition) {
        self.partitions
            .lock()
            .expect("partitions")
            .retain(|other| other != partition);
    }

    /// A partition that separates these two, by their tags.
    pub(super) fn partition_between(&self, from: &[String], to: &[String]) -> Option<Partition> {
        let partitions = self.partitions.lock().expect("partitions");
        partitions
            .iter()
            .find(|partition| {
                let has = |tags: &[String], tag: &String| tags.contains(tag);
                (has(from, &partition.a) && has(to, &partition.b))
                    || (has(from, &partition.b) && has(to, &partition.a))
            })
            .cloned()
    }

    /// This share of the state service's answers is lost after execution.
    pub fn set_response_loss(&self, share: f64) {
        *self.response_loss.lock().expect("response loss") = share;
    }

    /// The state service takes up to this much longer for an answer.
    pub fn set_latency(&self, max: Duration) {
        *self.latency.lock().expect("latency") = max;
    }

    /// A share of the transactions is unanswered and applied late.
    pub fn set_commit_delay(&self, delay: Delay) {
        *self.commit_delay.lock().expect("commit delay") = delay;
    }

    /// The controller's process stands still for this long, while its clocks run on.
    pub fn pause_controller(&self, controller: &str, time: Duration) {
        if self.loopback.is_some() {
            let controllers = self.controllers.lock().expect("controllers");
            let running = controllers
                .get(controller)
                .and_then(|slot| slot.running.as_ref());
            if let Some(process) = running.and_then(|running| running.process.as_ref()) {
                process.pause(time);
            }
            return;
        }
        let until = Instant::now() + time;
        self.paused
            .lock()
            .expect("paused")
            .insert(controller.into(), until);
    }

    /// What a paused controller was about to send or to receive waits until it goes on.
    pub(super) async fn until_resumed(&self, controller: &str) {
        let until = self.paused.lock().expect("paused").get(controller).copied();
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Whether the controller's process stands still.
    pub(super) fn is_paused(&self, controller: &str) -> bool {
        let until = self.paused.lock().expect("paused").get(controller).copied();
        until.is_some_and(|until| until > Instant::now())
    }

    /// From now on a share of all heartbeats is delivered again, up to this much
    /// later, to any controller.
    pub fn set_duplicates(&self, delay: Delay) {
        *self.duplicates.lock().expect("duplicates") = delay;
    }

    /// Delivers a copy of this heartbeat later, if it is one of that share.
    pub fn duplicate_heartbeat(self: &Arc<Self>, tags: &[String], body: &str) {
        let delay = *self.duplicates.lock().expect("duplicates");
        if delay.share <= 0.0 || jitter::uniform(0.0, 1.0) >= delay.share {
            return;
        }
        let copy = DuplicateHeartbeat {
            tags: tags.to_vec(),
            body: body.to_owned(),
        };
        let Some(DuplicateHeartbeat { tags, body }) = self.faults.keep(copy) else {
            return;
        };
        let names = self.controller_names();
        let name = names[jitter::uniform(0.0, names.len() as f64) as usize].clone();
        let simulation = self.clone();
        let pause = MIN_DUPLICATE_DELAY + delay.max.mul_f64(jitter::uniform(0.0, 1.0));
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            simulation
                .to_controller(&tags, &name, "POST", "/hello", body)
                .await;
        });
    }
}
