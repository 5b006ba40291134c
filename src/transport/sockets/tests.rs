//! Tests of `transport::sockets`.

use super::*;

/// Guards against agents' connections that leave none for the state service:
/// a controller that holds all machines lost its allocation by that.
#[test]
fn each_purpose_stops_at_its_share() {
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
