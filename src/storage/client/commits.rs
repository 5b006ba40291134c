//! Commits: paced, repeated when they were throttled, and applied to the cache at once.

use super::{CommitError, Operation, StateError, Store, Transaction};
use crate::storage::{ids::Revision, jitter, rate_limiter::RequestPriority};

/// How often a commit that was throttled is repeated.
const MAX_RETRIES: u32 = 4;
/// Conditions that the service takes in a transaction, for each change that it takes.
pub const CONDITIONS_PER_CHANGE: usize = 4;

impl Store {
    /// Commits, and puts the changes into the cache. Overload answers are never
    /// executed and are repeated a few times here.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        priority: RequestPriority,
    ) -> Result<Revision, CommitError> {
        self.check_size(transaction)?;
        let mut retries = 0;
        loop {
            self.requests.acquire(1.0, priority).await;
            let writes = transaction.ops.len() as f64;
            self.writes.acquire(writes, priority).await;
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
                    // Which of the two limits it was is not told.
                    self.requests.refused();
                    self.writes.refused();
                    tokio::time::sleep(jitter::millis(30, 90) * retries).await;
                    continue;
                }
                Err(CommitError::State(error)) => self.note_reachability::<()>(&Err(error.clone())),
                Err(CommitError::Conflict(_)) => self.note_reachability(&Ok(())),
            }
            return result;
        }
    }

    /// What is too large, now or after the limits have fallen, is not sent: it would
    /// be refused whenever it is repeated.
    fn check_size(&self, transaction: &Transaction) -> Result<(), StateError> {
        let ops = transaction.ops.len();
        let conditions = transaction.conditions.len();
        let max_ops = self.limits.txn_ops;
        let large = transaction
            .ops
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
        Err(StateError::Rejected("too large".into()))
    }

    /// Puts the changes of a committed transaction into the cache, ahead of the watch.
    fn apply_commit(&self, transaction: &Transaction, revision: Revision) {
        let mut cache = self.cache();
        for operation in &transaction.ops {
            match operation {
                Operation::Put { key, value, .. } => cache.set(key, value.clone(), revision),
                Operation::Delete { key } => cache.delete_ahead(key, revision),
            }
        }
        drop(cache);
        self.notify_changed();
    }
}
