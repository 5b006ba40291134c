//! The leader's fleet manager: provisions, drains, repairs and releases machines.
//!
//! One loop decides which machines to provision, drain, release or move while it holds the
//! lock on the leader's state, and commits the decisions. Most calls to the cloud and all probes
//! of machines run in separate asynchronous tasks. All calls to the cloud share one rate limiter.

mod agent_addresses;
mod autoscaler;
mod catalog;
mod drain_selection;
mod draining;
mod eviction;
mod failure_detector;
mod inventory;
mod machine_inspection;
mod miss_rate_band;
mod probes;
mod provisioning;
mod provisioning_options;
mod release;
mod state;

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

pub use self::{
    release::{PendingRelease, ReleaseReason},
    state::FleetState,
};
use super::rebalance::rebalance;
use crate::{
    coordination::{context::lock, leader::Leader},
    storage::rate_limiter::RateLimiter,
};

/// Time between two passes of the fleet manager.
const PASS_INTERVAL: Duration = Duration::from_millis(400);
/// Fraction of the cloud's rate limit that the leader's calls may use.
const CLOUD_RATE_FRACTION: f64 = 0.8;
/// Lower bound on the leader's rate of calls to the cloud, in calls per second.
const MIN_CLOUD_CALLS_PER_SECOND: f64 = 0.5;

impl Leader {
    /// Runs a pass of the fleet manager every [`PASS_INTERVAL`]. A pass is skipped unless this
    /// process is the leader, its state cache is loaded, the state service is reachable and
    /// the outcome of every commit is known.
    pub(in crate::coordination) async fn run_fleet_manager(self: &Arc<Self>) {
        let cloud_rate_limiter = Arc::new(RateLimiter::new(
            (self.context.config.cloud_rps * CLOUD_RATE_FRACTION).max(MIN_CLOUD_CALLS_PER_SECOND),
        ));
        while self.context.sleep_unless_stopped(PASS_INTERVAL).await {
            if !self.context.store.is_loaded()
                || !self.context.store.is_reachable()
                || self.context.leadership().is_none()
                || lock(&self.state).has_commit_in_doubt
            {
                continue;
            }
            self.poll_catalog(&cloud_rate_limiter).await;
            self.evaluate_fleet().await;
            self.send_provision_requests(&cloud_rate_limiter);
            self.evict_quarantined().await;
            self.move_replicas().await;
            self.send_releases(&cloud_rate_limiter);
            self.write_addresses().await;
            self.poll_inventory(&cloud_rate_limiter);
        }
    }

    /// Decides which machines to provision, drain, release and move, starts the probes of
    /// unresponsive machines, and records the provision requests.
    async fn evaluate_fleet(self: &Arc<Self>) {
        let (provision_plans, verifications) = {
            let cache = self.context.store.cache();
            if cache.catalog.is_none() {
                return;
            }
            let mut state = lock(&self.state);
            let now = Instant::now();
            let verifications = self.detect_failures(&cache, &mut state, now);
            rebalance(&cache, &mut state, now);
            (
                self.evaluate_scaling(&cache, &mut state, now),
                verifications,
            )
        };
        for verification in verifications {
            let leader = self.clone();
            tokio::spawn(async move { leader.verify_unresponsive(verification).await });
        }
        self.record_provision_requests(&provision_plans).await;
    }
}
