//! Scaling out, repairing and scaling in machines: the policy's rounds, and the
//! calls to the cloud that follow from them.
//!
//! One loop decides under the state's lock what to provision, drain, release and move, and
//! commits it; calls to the cloud and probes run in tasks of their own. All calls to the
//! cloud share one rate limit.

mod agent_addresses;
mod autoscaler;
mod catalog;
mod drain_selection;
mod draining;
mod eviction;
mod failure_detector;
mod inventory;
mod machine_inspection;
mod market;
mod miss_rate_band;
mod probes;
mod provisioning;
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

/// Between two passes of the fleet manager.
const PASS_INTERVAL: Duration = Duration::from_millis(400);
/// The part of the cloud's rate limit that the leader's calls may use.
const CLOUD_RATE_FRACTION: f64 = 0.8;
/// The least number of calls to the cloud per second.
const MIN_CLOUD_RATE: f64 = 0.5;

impl Leader {
    /// Duty: the leader's slower loop.
    pub(in crate::coordination) async fn run_fleet_manager(self: &Arc<Self>) {
        let budget = Arc::new(RateLimiter::new(
            (self.context.config.cloud_rps * CLOUD_RATE_FRACTION).max(MIN_CLOUD_RATE),
        ));
        while self.context.pause(PASS_INTERVAL).await {
            if !self.context.store.is_loaded()
                || !self.context.store.is_reachable()
                || self.context.leadership().is_none()
                || lock(&self.state).has_commit_in_doubt
            {
                continue;
            }
            self.poll_catalog(&budget).await;
            self.evaluate_fleet().await;
            self.send_provision_requests(&budget);
            self.evict_quarantined().await;
            self.move_replicas().await;
            self.send_releases(&budget);
            self.write_addresses().await;
            self.poll_inventory(&budget);
        }
    }

    /// Decides what to provision, drain, release and move, and writes the provision requests
    /// down.
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
