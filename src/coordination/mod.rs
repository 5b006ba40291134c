//! Coordination of the controllers: leadership, shard ownership, fencing, recovery, and the
//! scheduling policy as pure functions.
//!
//! A [`Controller`] consists of long-running components, each a module that owns its state. All
//! share one [`context::Context`].

mod agent_state;
pub mod clients;
pub mod config;
pub mod context;
pub mod controller;
pub mod heartbeats;
mod indirect_heartbeats;
pub mod jobs;
mod leader;
mod membership;
mod owner;
pub mod peer_exchange;
mod peer_liveness;
pub mod policy;
mod quota_exchange;
mod run_time_estimator;
mod startup;
mod zone_usage;

pub use config::{Config, Tuning};
pub use context::Clients;
pub use controller::Controller;
