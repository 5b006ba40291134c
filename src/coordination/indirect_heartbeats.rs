//! Indirect heartbeats: those that arrived at a controller that does not own the machine. They
//! are reported to the leader, which detects agents whose heartbeats do not reach the owner.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::{Heartbeat, IndirectHeartbeat},
        context::lock,
    },
    storage::MachineId,
};

/// An indirect heartbeat with its time of arrival.
struct ReceivedHeartbeat {
    received_at: Instant,
    /// The heartbeat; its age is zero, as of `received_at`.
    heartbeat: IndirectHeartbeat,
}

/// The latest indirect heartbeat of each machine.
#[derive(Default)]
pub(super) struct IndirectHeartbeats(Mutex<BTreeMap<MachineId, ReceivedHeartbeat>>);

impl IndirectHeartbeats {
    /// Records a heartbeat of a machine that this controller does not own, for at most
    /// `max_machines` machines. Ignores one that is not newer than the last of the machine: a
    /// duplicate or a delayed copy does not show that the agent is alive.
    pub(super) fn note(&self, heartbeat: &Heartbeat, max_machines: usize) {
        let now = Instant::now();
        let mut known = lock(&self.0);
        if let Some(received) = known.get(&heartbeat.machine) {
            let last = &received.heartbeat;
            if (heartbeat.epoch, heartbeat.sequence) <= (last.epoch, last.sequence) {
                return;
            }
        } else if known.len() >= max_machines {
            tracing::debug!(machine = %heartbeat.machine, "indirect heartbeat dropped: too many machines tracked");
            return;
        }
        let indirect = IndirectHeartbeat {
            machine: heartbeat.machine.clone(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            epoch: heartbeat.epoch,
            sequence: heartbeat.sequence,
            age: Duration::ZERO,
        };
        let received = ReceivedHeartbeat {
            received_at: now,
            heartbeat: indirect,
        };
        known.insert(heartbeat.machine.clone(), received);
    }

    /// Removes the heartbeats of this age and above.
    pub(super) fn expire(&self, max_age: Duration) {
        lock(&self.0).retain(|_, received| received.received_at.elapsed() < max_age);
    }

    /// Returns all recorded heartbeats with their ages as of `now`.
    pub(super) fn list(&self, now: Instant) -> Vec<IndirectHeartbeat> {
        let known = lock(&self.0);
        let aged = known.values().map(|received| IndirectHeartbeat {
            age: now.duration_since(received.received_at),
            ..received.heartbeat.clone()
        });
        aged.collect()
    }
}
