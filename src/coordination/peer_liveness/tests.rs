//! Tests of `peer_liveness`.

use super::*;

/// Guards against the status of a slow round that replaces a newer one: a peer that no longer
/// reaches the state service was still counted as reaching it.
#[tokio::test(start_paused = true)]
async fn an_older_status_does_not_replace_a_newer_one() {
    let liveness = PeerLiveness::default();
    let peer = ControllerName::new("n1");
    let version = ProtocolVersion::GANGS;
    let round_started = Instant::now();
    tokio::time::advance(Duration::from_millis(500)).await;
    assert!(liveness.note_status(&peer, version, false, Instant::now()));
    let older = ProtocolVersion::CANCELLATIONS;
    assert!(!liveness.note_status(&peer, older, true, round_started));
    assert!(!liveness.any_peer_reaches_state_service());
    assert!(!liveness.note_status(&peer, version, true, Instant::now()));
    assert!(liveness.any_peer_reaches_state_service());
}
