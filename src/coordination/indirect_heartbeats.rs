//! Heartbeats that reached this controller although it does not own their machines. They
//! are told to the leader, which learns from them of agents that their owner cannot hear.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::{Heartbeat, IndirectHeartbeat},
        context::lock,
    },
    storage::MachineId,
};

/// An indirect heartbeat, with the time at which it came.
struct ReceivedHeartbeat {
    at: Instant,
    /// Its age is as of then: zero.
    heartbeat: IndirectHeartbeat,
}

/// The newest indirect heartbeat of each machine.
#[derive(Default)]
pub(super) struct IndirectHeartbeats(Mutex<BTreeMap<MachineId, ReceivedHeartbeat>>);

impl IndirectHeartbeats {
    /// An agent sent a heartbeat here although its machine is not ours. Copies of old
    /// heartbeats are no sign of life. Of at most `max_machines` machines track is kept.
    pub(super) fn note(&self, heartbeat: &Heartbeat, max_machines: usize) {
        let now = Instant::now();
        let mut known = lock(&self.0);
        if let Some(received) = known.get(&heartbeat.machine) {
            let last = &received.heartbeat;
            if (heartbeat.epoch, heartbeat.sequence) <= (last.epoch, last.sequence) {
                return;
            }
        } else if known.len() >= max_machines {
            tracing::debug!(machine = %heartbeat.machine, "too many indirect heartbeats to keep track of");
            return;
        }
        let indirect = IndirectHeartbeat {
            machine: heartbeat.machine.clone(),
            kind: heartbeat.kind.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            epoch: heartbeat.epoch,
            sequence: heartbeat.sequence,
            age: Duration::ZERO,
        };
        let received = ReceivedHeartbeat {
            at: now,
            heartbeat: indirect,
        };
        known.insert(heartbeat.machine.clone(), received);
    }

    /// Forgets those older than this.
    pub(super) fn expire(&self, max_age: Duration) {
        lock(&self.0).retain(|_, received| received.at.elapsed() < max_age);
    }

    /// All that are kept, with their ages.
    pub(super) fn list(&self, now: Instant) -> Vec<IndirectHeartbeat> {
        let known = lock(&self.0);
        let aged = known.values().map(|received| IndirectHeartbeat {
            age: now.duration_since(received.at),
            ..received.heartbeat.clone()
        });
        aged.collect()
    }
}
