//! Tests of `transport::sockets`.

use super::*;

/// Guards against connections to agents that use up all sockets, so that none is left for the
/// key-value store: a controller that owned all machines lost its quota allocation that way.
#[test]
fn each_purpose_is_limited_to_its_share() {
    let sockets = SocketBudget::new(116);
    let exhaust = |purpose| {
        let mut permits = Vec::new();
        while let Some(permit) = sockets.acquire(purpose) {
            permits.push(permit);
        }
        permits
    };
    let agents = exhaust(ConnectionPurpose::Agent);
    assert_eq!(agents.len(), 85);
    assert!(sockets.is_under_pressure());
    let inbound = exhaust(ConnectionPurpose::Inbound);
    assert_eq!(inbound.len(), 9);
    assert_eq!(exhaust(ConnectionPurpose::Service).len(), 6);
    assert_eq!(sockets.take_counts().refused, 3);
    drop(agents);
    assert!(!sockets.is_under_pressure());
    assert_eq!(sockets.take_counts().inbound, 9);
    assert_eq!(sockets.take_counts().refused, 0);
}
