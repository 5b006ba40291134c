//! Commits: rate-limited, retried when throttled, and applied to the cache as soon as they
//! succeed.

use super::{CommitError, Operation, StateError, Store, Transaction, lock};
use crate::storage::{ids::Revision, jitter, rate_limiter::RequestPriority};

/// Maximum number of retries of a throttled commit.
const MAX_RETRIES: u32 = 4;
/// Maximum number of conditions in a transaction, as a multiple of its maximum number of
/// changes.
pub const CONDITIONS_PER_CHANGE: usize = 4;

impl Store {
    /// Commits a transaction and applies its changes to the cache. A throttled commit was not
    /// executed and is retried up to `MAX_RETRIES` times.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        priority: RequestPriority,
    ) -> Result<Revision, CommitError> {
        self.check_size(transaction)?;
        let mut retries = 0;
        loop {
            self.request_limiter.acquire(1.0, priority).await;
            let writes = transaction.operations.len() as f64;
            self.write_limiter.acquire(writes, priority).await;
            let result = self.key_value_store.commit(transaction).await;
            self.count_commit(transaction, &result);
            match &result {
                Ok(revision) => {
                    self.note_reachability(&Ok(()));
                    self.note_revision(*revision);
                    self.apply_commit(transaction, *revision);
                }
                Err(CommitError::State(StateError::Throttled)) if retries < MAX_RETRIES => {
                    retries += 1;
                    // The response does not say which of the two limits was exceeded.
                    self.request_limiter.note_throttled();
                    self.write_limiter.note_throttled();
                    tokio::time::sleep(jitter::millis(30, 90) * retries).await;
                    continue;
                }
                Err(CommitError::State(error)) => self.note_reachability::<()>(&Err(error.clone())),
                Err(CommitError::Conflict(_)) => self.note_reachability(&Ok(())),
            }
            return result;
        }
    }

    /// Rejects a transaction above the current or the announced size limits instead of sending
    /// it: the service would reject every retry as well.
    fn check_size(&self, transaction: &Transaction) -> Result<(), StateError> {
        let ops = transaction.operations.len();
        let conditions = transaction.conditions.len();
        let max_ops = self.limits.txn_ops;
        let large = transaction
            .operations
            .iter()
            .find_map(|operation| match operation {
                Operation::Put { key, value, .. } => {
                    let size = value.to_string().len();
                    (size > self.limits.value_bytes).then_some((key, size))
                }
                Operation::Delete { .. } => None,
            });
        if ops <= max_ops && conditions <= CONDITIONS_PER_CHANGE * max_ops && large.is_none() {
            return Ok(());
        }
        tracing::error!(
            ops,
            conditions,
            ?large,
            "a transaction is too large to be sent"
        );
        Err(StateError::Rejected(
            "transaction exceeds the size limits".into(),
        ))
    }

    /// Applies the changes of a committed transaction to the cache before the watch delivers
    /// them.
    fn apply_commit(&self, transaction: &Transaction, revision: Revision) {
        let mut cache = self.cache();
        if revision <= cache.revision {
            lock(&self.counters).late_commits += 1;
            tracing::debug!(%revision, applied = %cache.revision, "commit answered late");
        }
        for operation in &transaction.operations {
            match operation {
                Operation::Put { key, value, .. } => cache.set(key, value.clone(), revision),
                Operation::Delete { key } => cache.delete_ahead(key, revision),
            }
        }
        drop(cache);
        self.notify_changed();
    }
}
