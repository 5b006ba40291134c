//! Stored state: ids, the job model, the key scheme, the records, the replica of the state
//! service's live set, and the client that reads and writes it.
//!
//! This is the lowest layer: it makes no scheduling decisions and depends on no other layer.

pub mod change_signal;
pub mod client;
pub mod ids;
pub mod jitter;
pub mod keys;
mod locking;
pub mod model;
pub mod rate_limiter;
pub mod records;
pub mod state_cache;

pub use client::{CommitError, KeyValueStore, StateError, StateLimits, Store, Transaction};
pub use ids::*;
pub(crate) use locking::lock;
pub use model::*;
pub use state_cache::StateCache;
