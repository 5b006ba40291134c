//! External formats: messages and paths of users, agents, the cloud, the key-value store and
//! the other controllers, and the two settings files. Names on the wire are mapped here to the
//! terms of `docs/GLOSSARY.md`, which the rest of the program uses.
//!
//! The modules own no state. The transport layer reads and writes the messages; `main` loads
//! the settings. No wire format may change: users, agents, services and controllers of other
//! versions depend on it.

pub mod agents;
pub mod cloud;
pub mod key_value_store;
pub mod operator;
pub mod peer_frames;
pub mod settings;
pub mod users;

use std::time::Duration;

/// Maximum duration in a message or a settings file, in seconds (ten years).
const MAX_DURATION_SECONDS: f64 = 315_360_000.0;

/// Converts a number of seconds from a message or a settings file. Returns `None` if it is not
/// finite, is negative or exceeds ten years.
pub fn seconds(value: f64) -> Option<Duration> {
    ((0.0..=MAX_DURATION_SECONDS).contains(&value)).then(|| Duration::from_secs_f64(value))
}

/// Maximum size of the body of a request from a user or an agent, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
