//! Probes of machines that have lost contact with their owner.
//!
//! A machine that seems to be terminated is probed by all controllers (a verification). A machine
//! whose heartbeats reach another controller but not its owner is probed by that controller (an
//! indirect probe). Probes run in separate asynchronous tasks, without holding the lock on the
//! leader's state. A verification acts on its result itself. The results of indirect probes are
//! stored in [`FleetState`] and evaluated in the failure detector's next pass.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{FleetState, ReleaseReason};
use crate::{
    coordination::{
        clients::{PeerRequest, PeerResponse},
        context::lock,
        leader::{Leader, fleet::PendingRelease, state::LeaderState},
    },
    storage::{ControllerName, MachineId},
};

/// Time for which no further verification of a machine is started after one has begun, or has
/// found that the machine need not be released.
const VERIFICATION_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two indirect probes of the same machine.
const INDIRECT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of indirect probes that one pass starts.
const MAX_INDIRECT_PROBES_PER_PASS: usize = 64;
/// The results of a machine's indirect probes are discarded this long after the last of them.
const INDIRECT_PROBE_TTL: Duration = Duration::from_secs(12);

/// A machine that seems to be terminated, to be probed by every controller.
pub(super) struct Verification {
    /// The machine.
    pub(super) machine: MachineId,
    /// Where its agent listens.
    pub(super) address: String,
    /// Addresses of the agents of other machines in its zone, probed to distinguish a hang from
    /// a network partition.
    pub(super) neighbours: Vec<String>,
}

/// A machine whose heartbeats reach another controller but not its owner.
pub(super) struct IndirectProbeTarget {
    /// The machine.
    pub(super) machine: MachineId,
    /// Where its agent listens.
    pub(super) address: String,
    /// The controller that receives its heartbeats, and is to probe it.
    pub(super) controller: ControllerName,
}

/// State of the indirect probes of one machine.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    /// The controller that last reached it; `None` if no probe has succeeded.
    pub(super) reached_by: Option<ControllerName>,
    /// When the first of these probes became due.
    pub(super) first_due: Instant,
    /// When the last of these probes was sent.
    last_sent: Instant,
}

impl FleetState {
    /// Prevents a further verification of the machine for [`VERIFICATION_INTERVAL`].
    pub(super) fn suspend_verification(&mut self, machine: &MachineId, now: Instant) {
        self.verifying_until
            .insert(machine.clone(), now + VERIFICATION_INTERVAL);
    }
}

impl Leader {
    /// Probes an unresponsive machine from every controller, and schedules its release if none
    /// reaches it. It is not released if most of its neighbours do not answer either: this
    /// indicates a network partition that the neighbours' heartbeats do not show yet, since
    /// agents send them at different times.
    pub(super) async fn verify_unresponsive(&self, verification: Verification) {
        let Verification {
            machine,
            address,
            neighbours,
        } = verification;
        let neighbour_probes = neighbours
            .iter()
            .map(|address| self.context.agent_client.inspect(address));
        let peer_probes = self
            .context
            .config
            .peers
            .iter()
            .map(|(peer, _)| self.probe_through_peer(peer, address.clone()));
        let (own_probe, reached_by_peer, neighbour_probes) = futures::future::join3(
            self.context.agent_client.inspect(&address),
            futures::future::join_all(peer_probes),
            futures::future::join_all(neighbour_probes),
        )
        .await;
        let unreachable_count = neighbour_probes
            .iter()
            .filter(|probe| probe.is_err())
            .count();
        let is_partition = unreachable_count * 2 > neighbours.len();
        let now = Instant::now();
        let mut state = lock(&self.state);
        if own_probe.is_ok() || reached_by_peer.contains(&true) || is_partition {
            tracing::debug!(%machine, is_partition, "unresponsive to its owner, but not terminated");
            state.fleet.suspend_verification(&machine, now);
            return;
        }
        state.fleet.verifying_until.remove(&machine);
        let reason = ReleaseReason::Unresponsive;
        tracing::info!(%machine, ?reason, "release scheduled");
        // Replaces a release that is pending for another reason: this one does not wait until
        // the machine is empty.
        state
            .releasing
            .insert(machine, PendingRelease::new(reason, now));
    }

    /// Returns whether a peer reaches the agent at this address; false if the peer does not answer.
    async fn probe_through_peer(&self, peer: &ControllerName, address: String) -> bool {
        matches!(
            self.context
                .peers
                .call(peer, PeerRequest::Probe(address))
                .await,
            Ok(PeerResponse::ProbeResult(true))
        )
    }

    /// Asks the controllers that receive a machine's heartbeats in place of its owner to probe
    /// it. Heartbeats may arrive from a machine that no controller can reach. Without the probe,
    /// such a machine would be moved to whichever controller receives its heartbeats, and so be
    /// passed among all controllers without being able to receive commands from any of them.
    pub(super) fn probe_indirectly(
        self: &Arc<Self>,
        state: &mut LeaderState,
        targets: Vec<IndirectProbeTarget>,
        now: Instant,
    ) {
        let probes = &mut state.fleet.indirect_probes;
        probes.retain(|_, probe| now.duration_since(probe.last_sent) < INDIRECT_PROBE_TTL);
        let mut sent = 0;
        for target in targets {
            let probe = probes
                .entry(target.machine.clone())
                .or_insert(IndirectProbe {
                    reached_by: None,
                    first_due: now,
                    last_sent: now - INDIRECT_PROBE_INTERVAL,
                });
            if now.duration_since(probe.last_sent) < INDIRECT_PROBE_INTERVAL
                || sent >= MAX_INDIRECT_PROBES_PER_PASS
            {
                continue;
            }
            probe.last_sent = now;
            sent += 1;
            let leader = self.clone();
            tokio::spawn(async move { leader.run_indirect_probe(target).await });
        }
    }

    async fn run_indirect_probe(&self, target: IndirectProbeTarget) {
        let IndirectProbeTarget {
            machine,
            address,
            controller,
        } = target;
        let is_reached = if controller == self.context.config.name {
            self.context.agent_client.inspect(&address).await.is_ok()
        } else {
            self.probe_through_peer(&controller, address).await
        };
        let mut state = lock(&self.state);
        if let Some(probe) = state.fleet.indirect_probes.get_mut(&machine)
            && (is_reached || probe.reached_by.is_none())
        {
            probe.reached_by = is_reached.then_some(controller);
        }
    }
}
