//! The interface to the state service, a consensus-backed key-value store. The transport
//! implements it over HTTP, the simulator in memory.

use std::time::Duration;

use futures::future::BoxFuture;
use serde_json::Value;

use super::{CommitError, LeaseId, StateError, Transaction};
use crate::storage::ids::Revision;

/// Limits of the state service.
#[derive(Clone, Debug)]
pub struct StateLimits {
    /// Maximum requests per second, of all controllers together.
    pub rps: f64,
    /// Maximum changes of keys per second, of all controllers together.
    pub write_rps: f64,
    /// The announced request rate limit, which takes effect at an unknown time; at most `rps`.
    pub next_rps: f64,
    /// The announced limit on changes per second, which takes effect at an unknown time; at
    /// most `write_rps`.
    pub next_write_rps: f64,
    /// Maximum size of a value in bytes: the lower of the current and the announced limit. The
    /// announced one is applied from the start, since the time at which it takes effect is not
    /// announced.
    pub value_bytes: usize,
    /// Maximum number of changes in one transaction: the lower of the current and the announced
    /// limit.
    pub txn_ops: usize,
}

/// A key with its value and revision.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// The revision of the change that set it.
    pub revision: Revision,
}

/// A change of a key, as delivered by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A key was set.
    Put(KeyValue),
    /// A key was removed, or deleted with its expired lease.
    Delete {
        /// The key.
        key: String,
        /// The revision of the change that removed it.
        revision: Revision,
    },
}

impl WatchEvent {
    /// The key that was set or removed.
    pub fn key(&self) -> &str {
        match self {
            WatchEvent::Put(item) => &item.key,
            WatchEvent::Delete { key, .. } => key,
        }
    }

    /// The revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            WatchEvent::Put(item) => item.revision,
            WatchEvent::Delete { revision, .. } => *revision,
        }
    }
}

/// One page of the keys with a prefix, in key order.
#[derive(Clone, Debug)]
pub struct RangePage {
    /// The keys with their values.
    pub items: Vec<KeyValue>,
    /// Whether there are more keys after the last one.
    pub has_more: bool,
    /// The service's revision at the time of the read.
    pub revision: Revision,
}

/// The operations of the state service. Each call has a timeout.
pub trait KeyValueStore: Send + Sync {
    /// Reads one key; `None` if it is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KeyValue>, StateError>>;
    /// Reads a page of the keys with a prefix that come after `after`, or from the first one.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<RangePage, StateError>>;
    /// Makes the transaction's changes if its conditions hold, and returns their revision.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Revision, CommitError>>;
    /// Grants a lease that expires `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StateError>>;
    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StateError>>;
    /// Returns the changes after `after`, with the revision up to which they are complete. If
    /// there are none yet, waits up to `max_wait` for the first one.
    fn watch(
        &self,
        after: Revision,
        max_wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Vec<WatchEvent>), StateError>>;
}
