//! Counts of the requests to the state service, for the log.

use std::collections::BTreeMap;

use super::{CommitError, Operation, StateError, Store, Transaction, lock};
use crate::storage::ids::Revision;

/// Requests and changes since the last [`Store::take_counters`].
#[derive(Clone, Debug, Default)]
pub struct StoreCounters {
    /// Number of commits and of reads of changes.
    pub requests: u32,
    /// Number of committed changes, by label: `+` for a key that was set or `-` for one that
    /// was removed, followed by the first segment of the key.
    pub written: BTreeMap<String, u32>,
    /// Number of changes in transactions whose conditions failed. The service counts these
    /// changes against its write limit as well.
    pub conflicted: u32,
    /// Number of commits that the service did not execute because a rate limit was exceeded.
    pub throttled: u32,
    /// Number of reads of changes whose response arrived after a newer one: the cache had already
    /// passed some of their changes.
    pub late_reads: u32,
    /// Number of commits whose response arrived after the cache had passed their revision.
    pub late_commits: u32,
}

impl Store {
    /// Returns the counts since the last call and resets them.
    pub fn take_counters(&self) -> StoreCounters {
        std::mem::take(&mut *lock(&self.counters))
    }

    /// Counts a commit by its result.
    pub(super) fn count_commit(
        &self,
        transaction: &Transaction,
        result: &Result<Revision, CommitError>,
    ) {
        let mut counters = lock(&self.counters);
        counters.requests += 1;
        match result {
            Ok(_) => {
                for operation in &transaction.operations {
                    let label = counter_label(operation);
                    *counters.written.entry(label).or_default() += 1;
                }
            }
            Err(CommitError::Conflict(_)) => {
                counters.conflicted += transaction.operations.len() as u32;
            }
            Err(CommitError::State(StateError::Throttled)) => counters.throttled += 1,
            Err(_) => {}
        }
    }
}

/// The label under which a change is counted, see [`StoreCounters::written`].
fn counter_label(operation: &Operation) -> String {
    let (sign, key) = match operation {
        Operation::Put { key, .. } => ("+", key),
        Operation::Delete { key } => ("-", key),
    };
    let record = key.split('/').next().unwrap_or(key);
    format!("{sign}{record}")
}
