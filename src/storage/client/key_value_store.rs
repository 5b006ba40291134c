//! The interface to the consensus-backed key-value store. The transport implements it
//! over HTTP, the simulator in memory.

use std::time::Duration;

use futures::future::BoxFuture;
use serde_json::Value;

use super::{CommitError, LeaseId, StateError, Transaction};
use crate::storage::ids::Revision;

/// What the state service allows.
#[derive(Clone, Debug)]
pub struct StateLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// Changes of keys a second, of all controllers together.
    pub write_rps: f64,
    /// The request rate that it will allow from some moment on, not above that of now.
    pub next_rps: f64,
    /// The same for its rate of changes.
    pub next_write_rps: f64,
    /// Largest value, of now and then: what is too large one day is never written, since
    /// that day is not announced.
    pub value_bytes: usize,
    /// Most changes in one transaction, of now and then.
    pub txn_ops: usize,
}

/// A key as read.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// The change that set it.
    pub revision: Revision,
}

/// A change of a key, as delivered by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A key was set.
    Put(KeyValue),
    /// A key was removed, or went with its lease.
    Delete {
        /// The key.
        key: String,
        /// The change that removed it.
        revision: Revision,
    },
}

/// A part of the keys with a prefix, in their order.
#[derive(Clone, Debug)]
pub struct RangePage {
    /// The keys with their values.
    pub items: Vec<KeyValue>,
    /// Others follow after the last one.
    pub more: bool,
    /// The store's revision at the time of the read.
    pub revision: Revision,
}

/// What a state service offers. Each call is bounded in time by the implementation.
pub trait KeyValueStore: Send + Sync {
    /// Reads one key; `None`: it is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KeyValue>, StateError>>;
    /// Reads keys with a prefix, from the first one that comes after `after`.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<RangePage, StateError>>;
    /// Makes the transaction's changes if its conditions hold, and tells their revision.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Revision, CommitError>>;
    /// Grants a lease that ends `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StateError>>;
    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StateError>>;
    /// The changes after a revision, with the revision up to which they are complete. It
    /// waits for the first one up to `max_wait`.
    fn watch(
        &self,
        from: Revision,
        max_wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Vec<WatchEvent>), StateError>>;
}
