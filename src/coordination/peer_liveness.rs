//! Liveness of the other controllers by the status exchange: whether they reach the state
//! service, which protocol versions they support, and when all of them last confirmed that this
//! controller knows of all cancellations that they know of.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::ProtocolVersion,
        context::{Context, lock},
    },
    storage::{ControllerName, StateCache},
};

/// Age at which a status no longer shows whether the peer reaches the state service.
const REACHABILITY_TTL: Duration = Duration::from_secs(3);

/// The part of a peer's last status that concerns its liveness.
#[derive(Clone, Copy, Debug)]
struct LastStatus {
    as_of: Instant,
    /// Whether the state service responded to the peer.
    state_service_reachable: bool,
}

/// Information from the peers' status messages.
#[derive(Default)]
struct State {
    /// Each peer's last status.
    last_status: BTreeMap<ControllerName, LastStatus>,
    /// The protocol version of each peer, by its last status.
    protocol_versions: BTreeMap<ControllerName, ProtocolVersion>,
    /// Start of the latest round in which every peer confirmed that it knows of no
    /// cancellation that this controller does not know of.
    read_confirmed_at: Option<Instant>,
}

/// The liveness of this controller's peers, and the time of their last confirmation.
#[derive(Default)]
pub(super) struct PeerLiveness(Mutex<State>);

impl PeerLiveness {
    /// Records a peer's status, unless a newer one was recorded before: the statuses of a round are
    /// recorded when its slowest peer has answered, and others arrive meanwhile. Returns whether
    /// the peer's protocol version has changed or was unknown.
    pub(super) fn note_status(
        &self,
        peer: &ControllerName,
        version: ProtocolVersion,
        state_service_reachable: bool,
        as_of: Instant,
    ) -> bool {
        let mut state = lock(&self.0);
        let known = state.last_status.get(peer);
        if known.is_some_and(|last| last.as_of > as_of) {
            return false;
        }
        let last_status = LastStatus {
            as_of,
            state_service_reachable,
        };
        state.last_status.insert(peer.clone(), last_status);
        state.protocol_versions.insert(peer.clone(), version) != Some(version)
    }

    /// Records that in the round that started then every peer confirmed that it knows of no
    /// cancellation that this controller does not know of.
    pub(super) fn note_confirmed(&self, started: Instant) {
        lock(&self.0).read_confirmed_at = Some(started);
    }

    /// Returns the start of the latest confirmed round, see [`Self::note_confirmed`].
    pub(super) fn read_confirmed_at(&self) -> Option<Instant> {
        lock(&self.0).read_confirmed_at
    }

    /// Whether a recent status of some peer shows that the state service answers it.
    pub(super) fn any_peer_reaches_state_service(&self) -> bool {
        let state = lock(&self.0);
        let mut statuses = state.last_status.values();
        statuses.any(|status| {
            status.as_of.elapsed() < REACHABILITY_TTL && status.state_service_reachable
        })
    }

    /// Returns the highest protocol version that every configured controller supports. A
    /// controller's version is taken from its registration or, without one, from its last
    /// status. Returns none if the version of any controller is unknown: no version may be
    /// assumed for it. A controller that is only cut off from its peers is still registered, so
    /// it does not delay raising the common version.
    pub(super) fn common_protocol_version(
        &self,
        context: &Context,
        cache: &StateCache,
    ) -> Option<ProtocolVersion> {
        let state = lock(&self.0);
        let versions = context.config.peers.iter().map(|(name, _)| {
            let registered = cache
                .controllers
                .get(name)
                .map(|entry| ProtocolVersion(entry.value.protocol_version));
            registered.or_else(|| state.protocol_versions.get(name).copied())
        });
        versions
            .chain([Some(context.config.protocol_version)])
            .min()
            .flatten()
    }
}

#[cfg(test)]
mod tests;
