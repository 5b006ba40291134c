//! Everything that other programs name: messages and paths of users, agents, the cloud, the
//! key-value store and the other controllers, and the two settings files. The names on the
//! wire are mapped here to the terms of `docs/GLOSSARY.md`, which the rest of the program
//! uses.
//!
//! The modules own no state. The transport layer reads and writes the messages; `main` loads
//! the settings. No form on the wire may change: users, agents, services and controllers of
//! other versions depend on it.

pub mod agents;
pub mod cloud;
pub mod key_value_store;
pub mod operator;
pub mod peer_frames;
pub mod settings;
pub mod users;

use std::time::Duration;

/// Longest duration that a message or a settings file may name, in seconds (ten years).
const MAX_SECONDS: f64 = 315_360_000.0;

/// A duration off the wire; none if the number is not finite, negative or absurdly large.
pub fn seconds(value: f64) -> Option<Duration> {
    ((0.0..=MAX_SECONDS).contains(&value)).then(|| Duration::from_secs_f64(value))
}

/// Largest body of a request to a controller, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
