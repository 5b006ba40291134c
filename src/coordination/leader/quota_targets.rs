//! Sends the controllers what their budgets should be, if they transfer quota to each other.
//!
//! Targets are not written: a controller that misses one gets it again, as long as some team's
//! quota is lacking somewhere.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{Leader, shards::Targets, state::SentTargets};
use crate::coordination::{
    clients::{PeerRequest, QuotaTargets},
    context::{lock, supports_quota_transfers},
};

/// Targets that have not changed are sent again after this long.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

impl Leader {
    /// Whether every living controller transfers quota. Otherwise the leader takes and
    /// grants it.
    pub(super) fn controllers_transfer(&self) -> bool {
        if !self.context.quota_transfers_active() {
            return false;
        }
        let cache = self.context.store.cache();
        cache
            .controllers
            .keys()
            .all(|controller| supports_quota_transfers(&cache, controller))
    }

    /// Sends each controller its targets, unless the same were sent a moment ago.
    pub(super) fn send_quota_targets(self: &Arc<Self>, targets: &Targets) {
        if targets.is_empty() {
            return;
        }
        let Some(leader) = self.context.leadership() else {
            return;
        };
        {
            let mut state = lock(&self.state);
            let is_repetition = state.sent_targets.as_ref().is_some_and(|sent| {
                sent.targets == *targets && sent.at.elapsed() < REPEAT_INTERVAL
            });
            if is_repetition {
                return;
            }
            state.sent_targets = Some(SentTargets {
                targets: targets.clone(),
                at: Instant::now(),
            });
        }
        for (controller, budgets) in targets {
            let budgets = budgets.clone();
            let targets = QuotaTargets { leader, budgets };
            if *controller == self.context.config.name {
                self.quota.accept_targets(targets);
                continue;
            }
            // Unanswered: they are sent again as long as quota is lacking.
            let request = PeerRequest::SetQuotaTargets(targets);
            self.spawn_peer_request(controller.clone(), request, |_, _| {});
        }
    }
}
