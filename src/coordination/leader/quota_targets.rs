//! What the leader tells the controllers of their budgets, if they transfer quota to each
//! other.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{Leader, shards::Targets};
use crate::{
    coordination::{
        clients::{PeerRequest, QuotaTargets},
        context::{lock, takes_part_in_transfers},
    },
    storage::StateCache,
};

/// Targets that have not changed are told again after this long.
const REPEATED_AFTER: Duration = Duration::from_millis(500);

impl Leader {
    /// Whether every living controller transfers quota. Otherwise the leader takes and
    /// grants it.
    pub(super) fn controllers_transfer(&self) -> bool {
        if !self.context.knows_transfers() {
            return false;
        }
        let cache = self.context.store.cache();
        cache
            .controllers
            .keys()
            .all(|controller| takes_part_in_transfers(&cache, controller))
    }

    /// Whether the cache shows all that was written before we were elected. Our own claim
    /// is in it ahead of the watch: a leader that follows an earlier process of its controller
    /// could otherwise grant what a late commit of that one has granted already.
    pub(super) fn has_applied_election(&self, cache: &StateCache) -> bool {
        let claim = cache.leader.as_ref().map(|entry| entry.revision);
        claim.is_some_and(|claim| cache.revision >= claim)
    }

    /// Tells each controller its targets.
    pub(super) fn send_quota_targets(self: &Arc<Self>, targets: &Targets) {
        if targets.is_empty() {
            return;
        }
        let Some(leader) = self.context.leadership() else {
            return;
        };
        {
            let mut state = lock(&self.state);
            let is_known = state
                .sent_targets
                .as_ref()
                .is_some_and(|(peer, at)| peer == targets && at.elapsed() < REPEATED_AFTER);
            if is_known {
                return;
            }
            state.sent_targets = Some((targets.clone(), Instant::now()));
        }
        for (controller, budgets) in targets {
            let budgets = budgets.clone();
            let targets = QuotaTargets { leader, budgets };
            if *controller == self.context.config.name {
                self.quota.accept_targets(targets);
                continue;
            }
            let (this, controller) = (self.clone(), controller.clone());
            tokio::spawn(async move {
                // Unanswered: they are told again as long as quota is lacking.
                let call = PeerRequest::SetQuotaTargets(targets);
                let _ = this.context.peers.call(&controller, call).await;
            });
        }
    }
}
