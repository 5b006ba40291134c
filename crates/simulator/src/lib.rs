//! Simulator of the controllers' environment, for tests of the whole program.
//!
//! [`scenario`] parses scenarios and runs them on a [`simulation`]: a cluster with a simulated
//! [`state_service`], cloud, network, [`agent`]s and [`users`], into which faults are injected.
//! The [`rules`] of the protocol are checked against every event of the cluster.

pub mod agent;
pub mod event_trace;
pub mod faults;
pub mod gangs;
mod logging;
pub mod loopback;
pub mod request_copies;
pub mod rules;
pub mod scenario;
pub mod simulation;
pub mod state_service;
mod user_choices;
pub mod users;
pub mod versions;

pub use logging::start_logging;
