//! Sends the controllers targets for their budgets if they transfer quota to each other.
//!
//! Targets are not stored. They are sent again as long as some controller has a quota deficit,
//! so that a controller that did not receive them gets them later.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{Leader, shards::Targets, state::SentTargets};
use crate::coordination::{
    clients::{PeerRequest, QuotaTargets},
    context::{lock, supports_quota_transfers},
};

/// Interval at which unchanged targets are sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

impl Leader {
    /// Whether every live controller supports quota transfers. Otherwise the leader itself
    /// reclaims and grants quota.
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

    /// Sends each controller its targets, unless the same targets were sent within the last
    /// [`REPEAT_INTERVAL`].
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
            // A lost request needs no retry here: targets are sent again while there is a
            // quota deficit.
            let request = PeerRequest::SetQuotaTargets(targets);
            self.spawn_peer_request(controller.clone(), request, |_, _| {});
        }
    }
}
