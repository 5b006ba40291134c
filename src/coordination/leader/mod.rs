//! The leader: leases shards, divides quota, routes tasks and scales the fleet.
//!
//! At most one controller is the leader. Its commits are conditional on its leader record
//! ([`commit`]), so that none takes effect once another controller leads. Two loops run on every
//! controller and are idle while it is not the leader: the fast one in this module leases shards,
//! removes obsolete records and routes waiting tasks; the slower one in [`fleet`] scales, repairs
//! and releases machines.

mod cleanup;
mod commit;
mod common_version;
mod dispatch;
pub mod fleet;
pub mod miss_rate;
pub mod pool;
mod quota_targets;
mod rebalance;
pub mod routing;
mod shard_leasing;
pub mod shards;
mod state;
mod zone_assignment;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

use self::state::LeaderState;
use crate::{
    coordination::{
        clients::StatusMessage,
        context::{Context, lock},
        owner::ShardOwner,
        peer_liveness::PeerLiveness,
        quota_exchange::QuotaExchange,
    },
    storage::{client::LeaseId, rate_limiter::RequestPriority},
};

/// Minimum pause between two passes of the leader's fast loop.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum pause between two passes, however long a pass takes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(200);
/// A pass begins after this time even if nothing has changed.
const IDLE_PASS_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the leader's fast loop while this process is the leader.
pub(super) struct Leader {
    /// State shared by all loops of this controller.
    context: Arc<Context>,
    /// The shard owner of this process, which is called directly instead of by a message.
    owner: Arc<ShardOwner>,
    /// The quota exchange of this process, which is called directly instead of by a message.
    quota: Arc<QuotaExchange>,
    /// Liveness and protocol versions that the peers have reported.
    liveness: Arc<PeerLiveness>,
    /// Locked after the state cache, and never across an await.
    state: Mutex<LeaderState>,
}

impl Leader {
    /// Creates a leader that has not been elected yet.
    pub(super) fn new(
        context: Arc<Context>,
        owner: Arc<ShardOwner>,
        quota: Arc<QuotaExchange>,
        liveness: Arc<PeerLiveness>,
    ) -> Self {
        Self {
            context,
            owner,
            quota,
            liveness,
            state: Mutex::default(),
        }
    }

    /// Resets the state after an election; `lease` is the lease that the leader record is attached
    /// to.
    pub(super) fn reset(&self, lease: LeaseId) {
        lock(&self.state).reset(lease);
    }

    /// Records the lease of the leader record if this process found itself to be the leader without
    /// a call of [`Self::reset`]; see [`LeaderState::adopt_lease`].
    pub(super) fn adopt_lease(&self, lease: LeaseId) {
        lock(&self.state).adopt_lease(lease);
    }

    /// Stores a controller's full status.
    pub(super) fn record_status(&self, status: StatusMessage, received_at: Instant) {
        lock(&self.state).record_status(status, received_at);
    }

    /// Runs the leader's fast loop, which is idle while this controller is not the leader.
    pub(super) async fn run(self: &Arc<Self>) {
        let context = &self.context;
        let mut changes = context.store.changes();
        while context
            .wait_for_work(&mut changes, &context.leader_wakeup, IDLE_PASS_INTERVAL)
            .await
        {
            let started = Instant::now();
            if self.context.store.is_loaded()
                && self.context.store.is_reachable()
                && self.context.leadership().is_some()
            {
                self.run_leader_pass().await;
            }
            // Pauses for as long as the pass took, so that a controller with little processor
            // time makes fewer passes.
            let pause = started
                .elapsed()
                .clamp(MIN_PASS_INTERVAL, MAX_PASS_INTERVAL);
            tokio::time::sleep(pause).await;
        }
    }

    async fn run_leader_pass(self: &Arc<Self>) {
        if lock(&self.state).has_commit_in_doubt && !self.resolve_commit_in_doubt().await {
            return;
        }
        // Routing never waits for the state service's rate limit: writes that exceed it are
        // left for a later pass.
        if self.may_commit_now(RequestPriority::Fencing) {
            self.raise_common_version().await;
            self.lease_shards().await;
        }
        if self.may_commit_now(RequestPriority::Placement) {
            self.clean_up().await;
        }
        self.route().await;
    }

    /// Whether the state service's rate limit admits a commit of this priority now.
    fn may_commit_now(&self, priority: RequestPriority) -> bool {
        self.context.store.commit_wait(priority).is_none()
    }
}
