//! Tests of `transport::sockets`.

use super::*;

/// Guards against agents' connections that leave none for the state service:
/// a controller that holds all machines lost its allocation by that.
#[test]
fn each_use_stops_at_its_share() {
    let sockets = Sockets::new(116);
    let take = |purpose| {
        let mut taken = Vec::new();
        while let Some(socket) = sockets.take(purpose) {
            taken.push(socket);
        }
        taken
    };
    let workers = take(Use::Worker);
    assert_eq!(workers.len(), 85);
    assert!(sockets.is_pressed());
    let served = take(Use::Served);
    assert_eq!(served.len(), 9);
    assert_eq!(take(Use::Service).len(), 6);
    assert_eq!(sockets.look().refused, 3);
    drop(workers);
    assert!(!sockets.is_pressed());
    assert_eq!(sockets.look().served, 9);
    assert_eq!(sockets.look().refused, 0);
}
