//! Probes of machines: by all controllers, of one that seems to be terminated, and by a
//! controller that hears a machine while its owner does not.
//!
//! Probes run in tasks of their own, without the state's lock; their results are noted in
//! [`FleetState`] and judged in the failure detector's next pass.

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

/// An unresponsive machine that another controller reaches is left alone this long.
const VERIFIED_TTL: Duration = Duration::from_secs(3);

/// Between two indirect probes of the same machine, and how many begin in one pass.
const INDIRECT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
const MAX_INDIRECT_PROBES_PER_PASS: usize = 64;
/// Probes are forgotten after this time without another.
const INDIRECT_PROBE_TTL: Duration = Duration::from_secs(12);

/// A machine that seems to be terminated, to be probed by every controller.
pub(super) struct Verification {
    /// The machine.
    pub(super) machine: MachineId,
    /// Where its agent listens.
    pub(super) address: String,
    /// Addresses of machines of its zone, which tell a hang from a network partition.
    pub(super) neighbours: Vec<String>,
}

/// A machine that another controller hears while its owner does not.
pub(super) struct IndirectProbeTarget {
    /// The machine.
    pub(super) machine: MachineId,
    /// Where its agent listens.
    pub(super) address: String,
    /// The controller that hears it.
    pub(super) controller: ControllerName,
}

/// Probes of a machine by controllers that hear it, while its owner does not.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    /// Who reached it.
    pub(super) reached_by: Option<ControllerName>,
    /// When the first of these probes began.
    pub(super) since: Instant,
    /// When the last of these probes began.
    last_sent: Instant,
}

impl FleetState {
    /// Notes that all controllers probe a machine, or have lately found it up.
    pub(super) fn begin_verification(&mut self, machine: &MachineId, now: Instant) {
        self.verifying.insert(machine.clone(), now + VERIFIED_TTL);
    }
}

impl Leader {
    /// Every controller probes a machine that is unresponsive to its owner: only
    /// one that nobody reaches is released. If most of its neighbours do not
    /// answer either, that is a network partition which the others have not shown yet, since
    /// heartbeats come at different times.
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
            state.fleet.begin_verification(&machine, now);
            return;
        }
        state.fleet.verifying.remove(&machine);
        let reason = ReleaseReason::Unresponsive;
        tracing::info!(%machine, ?reason, "release scheduled");
        // In place of any other reason: it need not be emptied first.
        state
            .releasing
            .insert(machine, PendingRelease::new(reason, now));
    }

    /// Whether a peer reaches the agent at this address; an unanswered request is a no.
    async fn probe_through_peer(&self, peer: &ControllerName, address: String) -> bool {
        matches!(
            self.context
                .peers
                .call(peer, PeerRequest::Probe(address))
                .await,
            Ok(PeerResponse::ProbeResult(true))
        )
    }

    /// Asks controllers that hear a machine, which its owner does not, whether
    /// they reach it too. Its heartbeats may arrive while nothing reaches it: moved to
    /// whom it sends heartbeats, it would go round all controllers and answer to none.
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
                    since: now,
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
