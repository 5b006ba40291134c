//! What is known of the other controllers by talking to them: whether they live, what they
//! support, and when all of them last confirmed that we know what they know.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::ProtocolVersion,
        context::{Context, lock},
    },
    storage::{ControllerName, StateCache},
};

/// A status older than this does not tell whether the key-value store answers a peer now.
const REACHABILITY_TTL: Duration = Duration::from_secs(3);

/// A peer's last status, as far as its own liveness goes.
#[derive(Clone, Copy, Debug)]
struct LastStatus {
    at: Instant,
    /// Whether the key-value store answered it.
    state_reachable: bool,
}

/// What the peers have told.
#[derive(Default)]
struct State {
    /// Each peer's last status.
    last_status: BTreeMap<ControllerName, LastStatus>,
    /// What each peer supports, as its living process said last.
    protocol_versions: BTreeMap<ControllerName, ProtocolVersion>,
    /// The start of the latest round in which every peer confirmed that it knows of
    /// nothing newer than we do.
    read_confirmed_at: Option<Instant>,
}

/// The liveness of this controller's peers, and what they have confirmed.
#[derive(Default)]
pub(super) struct PeerLiveness(Mutex<State>);

impl PeerLiveness {
    /// Notes a status of a peer; true if its protocol version is new to us.
    pub(super) fn note_status(
        &self,
        peer: &ControllerName,
        version: ProtocolVersion,
        state_reachable: bool,
        at: Instant,
    ) -> bool {
        let mut state = lock(&self.0);
        let last_status = LastStatus {
            at,
            state_reachable,
        };
        state.last_status.insert(peer.clone(), last_status);
        state.protocol_versions.insert(peer.clone(), version) != Some(version)
    }

    /// Every peer has confirmed, in a round that began then, that it knows of nothing newer.
    pub(super) fn note_confirmed(&self, started: Instant) {
        lock(&self.0).read_confirmed_at = Some(started);
    }

    /// The start of the latest round in which every peer confirmed what we know.
    pub(super) fn read_confirmed_at(&self) -> Option<Instant> {
        lock(&self.0).read_confirmed_at
    }

    /// Whether the key-value store has lately answered some peer.
    pub(super) fn any_reaches_state(&self) -> bool {
        let state = lock(&self.0);
        let mut statuses = state.last_status.values();
        statuses.any(|status| status.at.elapsed() < REACHABILITY_TTL && status.state_reachable)
    }

    /// What every controller supports, by their own words: in its registration, or
    /// to us while it has none. None: some have said nothing yet, and silence is no
    /// word. A controller that is cut off from its peers alone holds nobody up.
    pub(super) fn common_protocol_version(
        &self,
        context: &Context,
        cache: &StateCache,
    ) -> Option<ProtocolVersion> {
        let state = lock(&self.0);
        let said = context.config.peers.iter().map(|(name, _)| {
            let registered = cache
                .controllers
                .get(name)
                .map(|entry| ProtocolVersion(entry.value.protocol_version));
            registered.or_else(|| state.protocol_versions.get(name).copied())
        });
        said.chain([Some(context.config.protocol_version)])
            .min()
            .flatten()
    }
}
