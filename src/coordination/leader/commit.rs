//! Commits of the leader, fenced by its leader record.
//!
//! Every commit of the leader is conditional on the revision of the leader record, so that it fails
//! once another process leads. A commit whose outcome is unknown may still take effect; until it is
//! resolved, the leader makes no further decisions.

use super::Leader;
use crate::{
    coordination::context::lock,
    storage::{
        CommitError, Revision, Transaction, keys, rate_limiter::RequestPriority,
        records::LeaderRecord,
    },
};

impl Leader {
    /// Commits a transaction on condition that this process is still the leader.
    pub(in crate::coordination) async fn commit_as_leader(
        &self,
        transaction: Transaction,
        priority: RequestPriority,
    ) -> Result<Revision, CommitError> {
        let Some(revision) = self.context.leadership() else {
            return Err(CommitError::Conflict(vec![keys::LEADER.into()]));
        };
        let transaction = transaction.require(keys::LEADER.into(), revision);
        let result = self.context.store.commit(&transaction, priority).await;
        if let Err(error) = &result {
            tracing::debug!(%error, "leader's commit failed");
            if error.is_unknown() {
                lock(&self.state).has_commit_in_doubt = true;
            }
        }
        result
    }

    /// Rewrites the leader record, so that commits of this process that are still in flight
    /// fail: they are conditional on its old revision. Returns whether no commit remains in
    /// doubt.
    pub(super) async fn resolve_commit_in_doubt(&self) -> bool {
        let Some(lease) = lock(&self.state).lease else {
            return false;
        };
        let Some(revision) = self.context.leadership() else {
            return false;
        };
        let record = LeaderRecord {
            controller: self.context.config.name.clone(),
            incarnation: self.context.config.incarnation,
        };
        let transaction = Transaction::default()
            .require(keys::LEADER.into(), revision)
            .set_with_lease(keys::LEADER.into(), &record, Some(lease));
        let is_written = self
            .context
            .store
            .commit(&transaction, RequestPriority::Fencing)
            .await
            .is_ok();
        if is_written && self.context.store.read_barrier().await {
            lock(&self.state).has_commit_in_doubt = false;
            return true;
        }
        false
    }
}
