//! Faults of the network, of the state service's answers and of the controllers' processes:
//! partitions, lost, late and duplicated messages, and process pauses.

use std::{sync::Arc, time::Duration};

use stallcove::storage::jitter;
use tokio::time::Instant;

use super::Simulation;
use crate::faults::{Delay, DuplicateHeartbeat};

/// Minimum delay of the copy of a duplicated heartbeat.
const MIN_DUPLICATE_DELAY: Duration = Duration::from_secs(1);

/// A network partition between all members with one tag and all members with another.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    /// Tag of one side: name of a zone, controller, machine or service, or a group of them such as
    /// `agents`.
    pub a: String,
    /// Tag of the other side.
    pub b: String,
    /// Whether requests of controllers to the services and agents are delivered once the partition
    /// has healed; otherwise they are lost.
    pub holds_packets: bool,
}

impl Simulation {
    /// Starts a partition.
    pub fn add_partition(&self, partition: Partition) {
        self.partitions
            .lock()
            .expect("partitions lock")
            .push(partition);
    }

    /// Ends a partition.
    pub fn heal_partition(&self, partition: &Partition) {
        self.partitions
            .lock()
            .expect("partitions lock")
            .retain(|other| other != partition);
    }

    /// Returns a partition that separates two members with these tags, if there is one.
    pub(super) fn partition_between(&self, from: &[String], to: &[String]) -> Option<Partition> {
        let partitions = self.partitions.lock().expect("partitions lock");
        partitions
            .iter()
            .find(|partition| {
                let has = |tags: &[String], tag: &String| tags.contains(tag);
                (has(from, &partition.a) && has(to, &partition.b))
                    || (has(from, &partition.b) && has(to, &partition.a))
            })
            .cloned()
    }

    /// Sets the share of the state service's answers that are lost after the request was executed.
    pub fn set_response_loss(&self, share: f64) {
        *self.response_loss.lock().expect("response loss lock") = share;
    }

    /// Sets the share of the state service's responses that arrive late, possibly after the
    /// responses to requests that were executed later.
    pub fn set_response_delay(&self, delay: Delay) {
        *self.response_delay.lock().expect("response delay lock") = delay;
    }

    /// Draws by how much a response of the state service is delayed; `None` if it is not.
    pub(super) fn draw_response_delay(&self) -> Option<Duration> {
        let delay = *self.response_delay.lock().expect("response delay lock");
        delay.draw(Duration::ZERO)
    }

    /// Sets the maximum additional latency of the state service's answers.
    pub fn set_latency(&self, max: Duration) {
        *self.max_latency.lock().expect("latency lock") = max;
    }

    /// Sets the share of the transactions that are applied late and never answered.
    pub fn set_commit_delay(&self, delay: Delay) {
        *self.commit_delay.lock().expect("commit delay lock") = delay;
    }

    /// Pauses the controller's process for this long, while its clocks keep running.
    pub fn pause_controller(&self, controller: &str, time: Duration) {
        if self.loopback.is_some() {
            let controllers = self.controllers.lock().expect("controllers lock");
            let running = controllers
                .get(controller)
                .and_then(|slot| slot.running.as_ref());
            if let Some(process) = running.and_then(|running| running.process.as_ref()) {
                process.pause(time);
            }
            return;
        }
        let until = Instant::now() + time;
        self.paused_until
            .lock()
            .expect("paused controllers lock")
            .insert(controller.into(), until);
    }

    /// Waits while the controller is paused.
    pub(super) async fn wait_until_resumed(&self, controller: &str) {
        let until = self
            .paused_until
            .lock()
            .expect("paused controllers lock")
            .get(controller)
            .copied();
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Whether the controller's process is paused.
    pub(super) fn is_paused(&self, controller: &str) -> bool {
        let until = self
            .paused_until
            .lock()
            .expect("paused controllers lock")
            .get(controller)
            .copied();
        until.is_some_and(|until| until > Instant::now())
    }

    /// Sets the share of the heartbeats that are delivered again to a random controller, and the
    /// maximum delay of the copy (beyond the minimum delay).
    pub fn set_duplicates(&self, delay: Delay) {
        *self.heartbeat_duplicates.lock().expect("duplicates lock") = delay;
    }

    /// Draws whether this heartbeat is duplicated; if so, delivers a copy later or keeps it for the
    /// next leader.
    pub fn duplicate_heartbeat(self: &Arc<Self>, tags: &[String], body: &str) {
        let delay = *self.heartbeat_duplicates.lock().expect("duplicates lock");
        if delay.share <= 0.0 || jitter::uniform(0.0, 1.0) >= delay.share {
            return;
        }
        let copy = DuplicateHeartbeat {
            tags: tags.to_vec(),
            body: body.to_owned(),
        };
        let Some(DuplicateHeartbeat { tags, body }) = self.faults.keep_or_return(copy) else {
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
