//! What the leader tells the controllers of their budgets, if they transfer quota to each
//! other.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::blocks::Targets;
use crate::{
    coordination::{
        node::{Node, lock},
        ports::{PeerCall, QuotaTargets},
    },
    storage::StateCache,
};

/// Targets that have not changed are told again after this long.
const REPEATED_AFTER: Duration = Duration::from_millis(500);

impl Node {
    /// Whether every living controller transfers quota. Otherwise the leader takes and
    /// grants it.
    pub(super) fn controllers_transfer(&self) -> bool {
        if !self.knows_transfers() {
            return false;
        }
        let cache = self.store.cache();
        cache
            .nodes
            .keys()
            .all(|node| Self::takes_part(&cache, node))
    }

    /// Whether the cache shows all that was written before we were elected. Our own claim
    /// is in it ahead of the watch: a leader that follows an earlier process of its node
    /// could otherwise grant what a late commit of that one has granted already.
    pub(super) fn has_seen_election(&self, cache: &StateCache) -> bool {
        let claim = cache.leader.as_ref().map(|kept| kept.revision);
        claim.is_some_and(|claim| cache.revision >= claim)
    }

    /// Tells each controller its targets.
    pub(super) fn send_quota_targets(self: &Arc<Self>, targets: &Targets) {
        if targets.is_empty() {
            return;
        }
        let Some(leader) = self.is_leader() else {
            return;
        };
        {
            let mut state = lock(&self.leader);
            let is_known = state
                .told_targets
                .as_ref()
                .is_some_and(|(told, at)| told == targets && at.elapsed() < REPEATED_AFTER);
            if is_known {
                return;
            }
            state.told_targets = Some((targets.clone(), Instant::now()));
        }
        for (node, budgets) in targets {
            let budgets = budgets.clone();
            let targets = QuotaTargets { leader, budgets };
            if *node == self.config.node {
                self.take_quota_targets(targets);
                continue;
            }
            let (this, node) = (self.clone(), node.clone());
            tokio::spawn(async move {
                // Unanswered: they are told again as long as quota is lacking.
                let call = PeerCall::SetQuotaTargets(targets);
                let _ = this.peers.call(&node, call).await;
            });
        }
    }
}
