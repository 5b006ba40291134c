//! Counts of what was asked of the key-value store, for the log.

use std::collections::BTreeMap;

use super::{CommitError, Operation, StateError, Store, Transaction, lock};
use crate::storage::ids::Revision;

/// What was asked of the state service since the last look, for the log.
#[derive(Clone, Debug, Default)]
pub struct StoreCounters {
    /// Commits and reads of changes.
    pub requests: u32,
    /// Changes made, by the kind of record.
    pub written: BTreeMap<String, u32>,
    /// Changes asked for in transactions whose conditions failed, which the
    /// service counts as well.
    pub refused: u32,
    /// Commits that the service did not execute since its limits were exceeded.
    pub throttled: u32,
}

impl Store {
    /// What was asked of the service since the last call.
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
                for operation in &transaction.ops {
                    let label = counter_label(operation);
                    *counters.written.entry(label).or_default() += 1;
                }
            }
            Err(CommitError::Conflict(_)) => counters.refused += transaction.ops.len() as u32,
            Err(CommitError::State(StateError::Throttled)) => counters.throttled += 1,
            Err(_) => {}
        }
    }
}

/// `+` or `-`, for a key that was set or removed, and the first part of the key.
fn counter_label(operation: &Operation) -> String {
    let (sign, key) = match operation {
        Operation::Put { key, .. } => ("+", key),
        Operation::Delete { key } => ("-", key),
    };
    let record = key.split('/').next().unwrap_or(key);
    format!("{sign}{record}")
}
