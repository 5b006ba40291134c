//! The wire's words: messages of users, agents, the cloud, the state service
//! and the other controllers, and the two settings files. Elsewhere the
//! program uses the field's standard terms.

pub mod agents;
pub mod cloud;
pub mod key_value_store;
pub mod operator;
pub mod peer_frames;
pub mod settings;
pub mod users;

use std::time::Duration;

/// Longest duration that anyone may name, in seconds (ten years).
const LONGEST_S: f64 = 315_360_000.0;

/// A duration in seconds off the wire: a finite number, not negative, not absurd.
pub fn seconds(value: f64) -> Option<Duration> {
    ((0.0..=LONGEST_S).contains(&value)).then(|| Duration::from_secs_f64(value))
}

/// The largest body that may be sent to us.
pub const BODY_LIMIT: usize = 64 * 1024;
