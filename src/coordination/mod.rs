//! Who may do what, and what is done: leadership, shards, fencing, recovery,
//! and the policy as pure functions.

pub mod agent_state;
pub mod clients;
pub mod config;
pub mod controller;
pub mod heartbeats;
pub mod jobs;
pub mod leader;
pub mod membership;
pub mod owner;
pub mod peer_exchange;
pub mod policy;
mod quota_exchange;
pub mod run_time_estimator;
mod startup;
mod zone_usage;

pub use config::{Config, Tuning};
pub use controller::Controller;
