//! A simulator of everything around the controllers, for tests of the whole program.
//!
//! [`scenario`] reads and plays scenarios on a [`simulation`]: a cluster with a simulated
//! [`state_service`], cloud, network, [`agent`]s and [`users`], into which faults are injected.
//! The [`rules`] of the protocol are checked on all that happens in it.

pub mod agent;
pub mod faults;
pub mod gangs;
pub mod loopback;
pub mod rules;
pub mod scenario;
pub mod simulation;
pub mod state_service;
pub mod users;
pub mod versions;

/// Logs to standard output at the level that SCENARIO_LOG names.
pub fn start_logging() {
    let level = std::env::var("SCENARIO_LOG").ok();
    if let Some(level) = level.and_then(|level| level.parse::<tracing::Level>().ok()) {
        tracing_subscriber::fmt()
            .with_max_level(level)
            .with_ansi(false)
            .with_target(false)
            .without_time()
            .init();
    }
}
