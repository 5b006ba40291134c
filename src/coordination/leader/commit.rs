//! Commits of the leader, fenced by its leader record.
//!
//! Every commit of the leader is conditional on the revision of the leader record, so that it fails
//! once another process leads. A commit whose outcome is unknown may still take effect; until it is
//! resolved, the leader makes no further decisions.
//!
//! A copy of a commit may arrive long after it was carried out. It must find a condition that no
//! longer holds, see [`Leader::commit_as_leader`] and [`Leader::commit_once_as_leader`].

use super::Leader;
use crate::{
    coordination::context::lock,
    storage::{
        CommitError, Revision, Transaction, keys, rate_limiter::RequestPriority,
        records::LeaderRecord,
    },
};

/// Number of changes that [`Leader::commit_once_as_leader`] adds to a transaction.
pub(super) const CHANGES_OF_COMMIT_ONCE: usize = 1;

impl Leader {
    /// Commits a transaction on condition that this process is still the leader.
    ///
    /// The transaction itself must have a condition that no longer holds once it was carried out,
    /// whatever happens afterwards: the revision of a record that it changes, or the absence of a
    /// record that it creates and that is never removed. A transaction without one is committed by
    /// [`Self::commit_once_as_leader`].
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

    /// Commits a transaction like [`Self::commit_as_leader`], for transactions that only create
    /// records which are removed later: the condition that a record is absent holds once more then,
    /// and a late copy would restore the record. The transaction therefore also rewrites this
    /// process's registration, on condition of its present revision, which never comes back.
    pub(super) async fn commit_once_as_leader(
        &self,
        transaction: Transaction,
        priority: RequestPriority,
    ) -> Result<Revision, CommitError> {
        let key = keys::controller(&self.context.config.name);
        let registration = {
            let cache = self.context.store.cache();
            cache.controllers.get(&self.context.config.name).cloned()
        };
        let own =
            registration.filter(|entry| entry.value.incarnation == self.context.config.incarnation);
        let (Some(registration), Some(lease)) = (own, lock(&self.state).lease) else {
            return Err(CommitError::Conflict(vec![key]));
        };
        let transaction = transaction
            .require(key.clone(), registration.revision)
            .set_with_lease(key, &registration.value, Some(lease));
        self.commit_as_leader(transaction, priority).await
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
