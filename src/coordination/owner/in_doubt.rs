//! Resolves commands and commits whose result is unknown, by rewriting the record that
//! they depend on: whatever may still be on its way no longer applies then.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::ShardOwner;
use crate::{
    coordination::{agent_state::InDoubtStart, context::lock},
    storage::{
        CommitError, Revision, ShardId, StateCache, Token, Transaction, keys,
        rate_limiter::RequestPriority,
        records::{AllocationRecord, ShardRecord},
        state_cache::Versioned,
    },
};

/// Unanswered starts wait this long for a heartbeat before the token is raised.
const IN_DOUBT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Shards that are written anew in one round.
const MAX_SHARDS_REWRITTEN: usize = 4;
/// Pause after the allocation could not be rewritten.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl ShardOwner {
    /// Writes a record anew, as it is, for the sake of its revision.
    async fn rewrite<T: Serialize>(
        &self,
        key: String,
        entry: &Versioned<T>,
    ) -> Result<Revision, CommitError> {
        let transaction = Transaction::default()
            .require(key.clone(), entry.revision)
            .set(key, &entry.value);
        let store = &self.context.store;
        store.commit(&transaction, RequestPriority::Fencing).await
    }

    /// Shards with unanswered starts are written anew: a start that may still be
    /// on its way is not executed under a higher token.
    pub(super) async fn resolve_in_doubt_starts(&self) {
        let shards = {
            let cache = self.context.store.cache();
            self.shards_with_in_doubt_starts(&cache)
        };
        for (id, entry) in shards.into_iter().take(MAX_SHARDS_REWRITTEN) {
            match self.rewrite(keys::shard(id), &entry).await {
                Ok(revision) => {
                    tracing::debug!(shard = %id, token = %revision, "fencing token raised");
                }
                Err(error) => {
                    tracing::debug!(shard = %id, %error, "cannot raise the fencing token");
                    return;
                }
            }
        }
    }

    /// Our shards with a start that has waited long for its answer, and whose token has
    /// not been raised since.
    fn shards_with_in_doubt_starts(
        &self,
        cache: &StateCache,
    ) -> BTreeMap<ShardId, Versioned<ShardRecord>> {
        let state = lock(&self.state);
        let mut found: BTreeMap<ShardId, Versioned<ShardRecord>> = BTreeMap::new();
        for (id, agent) in &state.agents {
            let Some(InDoubtStart { token, since }) = agent.in_doubt_start else {
                continue;
            };
            let is_due = since.elapsed() > IN_DOUBT_TIMEOUT
                && agent.last_heartbeat > since
                && token >= agent.token;
            if is_due && let Some((shard, entry)) = self.context.own_shard_of(cache, id) {
                // Raised already: the agent only has to hear of it.
                let is_raised = Token::from(entry.revision) > token;
                if !is_raised {
                    found.insert(shard, entry.clone());
                }
            }
        }
        found
    }

    /// Writes the allocation anew: no earlier commit of ours applies to its new
    /// revision.
    ///
    /// False: it could not be done, and nothing may be placed yet.
    pub(super) async fn resolve_commit_in_doubt(
        &self,
        allocation: &Versioned<AllocationRecord>,
    ) -> bool {
        let key = keys::allocation(&self.context.config.name);
        match self.rewrite(key, allocation).await {
            Ok(revision) => {
                tracing::debug!(%revision, "quota allocation rewritten");
                // What was committed before it is in the cache only after this.
                let fresh = self.context.store.read_barrier().await;
                lock(&self.state).has_commit_in_doubt = !fresh;
                fresh
            }
            Err(error) => {
                tracing::debug!(%error, "cannot rewrite the quota allocation");
                lock(&self.state).has_commit_in_doubt |= error.is_unknown();
                if !self.context.store.read_barrier().await {
                    self.context.pause(RETRY_PAUSE).await;
                }
                false
            }
        }
    }
}
