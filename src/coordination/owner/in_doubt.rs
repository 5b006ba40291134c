//! Voids requests that may still be executed by rewriting the record on whose revision they
//! depend: starts and commits whose result is unknown, and late copies of starts.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use tokio::time::Instant;

use super::ShardOwner;
use crate::{
    coordination::{agent_state::AgentState, context::lock},
    storage::{
        CommitError, FencingToken, Revision, ShardId, StateCache, Transaction, keys,
        rate_limiter::RequestPriority,
        records::{AllocationRecord, ShardRecord},
        state_cache::Versioned,
    },
};

/// How long a start must have been in doubt before the fencing token is raised because of it.
const IN_DOUBT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of shard records that are rewritten in one round.
const MAX_SHARDS_REWRITTEN: usize = 4;
/// Pause after the allocation could not be rewritten and the state service could not be read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Returns the fencing token above which the agent's must be raised now, if it must be: a start
/// has been in doubt for longer than [`IN_DOUBT_TIMEOUT`] on a machine whose heartbeats arrive
/// again, or copies of starts hold back clears that are due.
fn token_to_exceed(agent: &AgentState, now: Instant) -> Option<FencingToken> {
    let in_doubt = agent.in_doubt_start.filter(|start| {
        now.saturating_duration_since(start.since) > IN_DOUBT_TIMEOUT
            && agent.last_heartbeat > start.since
            && start.token >= agent.token
    });
    let held = agent.held_clears.filter(|held| held.is_due(now));
    in_doubt
        .map(|start| start.token)
        .max(held.map(|held| held.token))
}

impl ShardOwner {
    /// Writes a record with its present content, and returns its new revision.
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

    /// Rewrites the records of shards with starts in doubt, or with clears that copies of starts
    /// hold back. The new revision of the record is a higher fencing token; once an agent has seen
    /// it, it no longer executes a start that may still be in flight, or a copy of one.
    pub(super) async fn raise_fencing_tokens(&self) {
        let shards = {
            let cache = self.context.store.cache();
            self.shards_that_need_higher_tokens(&cache)
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

    /// Returns this owner's shards with a machine that needs a higher fencing token than the
    /// shard's present one.
    fn shards_that_need_higher_tokens(
        &self,
        cache: &StateCache,
    ) -> BTreeMap<ShardId, Versioned<ShardRecord>> {
        let state = lock(&self.state);
        let now = Instant::now();
        let mut found: BTreeMap<ShardId, Versioned<ShardRecord>> = BTreeMap::new();
        for (id, agent) in &state.agents {
            let Some(token) = token_to_exceed(agent, now) else {
                continue;
            };
            // If the token was raised already, the agent only has to receive it.
            if let Some((shard, entry)) = self.context.own_shard_of(cache, id)
                && FencingToken::from(entry.revision) <= token
            {
                found.insert(shard, entry.clone());
            }
        }
        found
    }

    /// Rewrites the quota allocation: the condition of an earlier commit that may still be in
    /// flight fails on its new revision.
    ///
    /// Returns false if the commit is still in doubt or the cache is not up to date, so that
    /// nothing may be placed yet.
    pub(super) async fn resolve_commit_in_doubt(
        &self,
        allocation: &Versioned<AllocationRecord>,
    ) -> bool {
        let key = keys::allocation(&self.context.config.name);
        match self.rewrite(key, allocation).await {
            Ok(revision) => {
                tracing::debug!(%revision, "quota allocation rewritten");
                // Only after a read barrier is the cache certain to hold what was committed
                // before the rewrite.
                let is_up_to_date = self.context.store.read_barrier().await;
                lock(&self.state).has_commit_in_doubt = !is_up_to_date;
                is_up_to_date
            }
            Err(error) => {
                tracing::debug!(%error, "cannot rewrite the quota allocation");
                lock(&self.state).has_commit_in_doubt |= error.is_unknown();
                if !self.context.store.read_barrier().await {
                    self.context.sleep_unless_stopped(RETRY_PAUSE).await;
                }
                false
            }
        }
    }
}
