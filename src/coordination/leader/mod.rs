//! The leader's work: shards and budgets, routing, scaling out and scaling in.
//!
//! At most one controller leads. All that it decides is void once another one does, since its
//! commits are conditional on its claim ([`commit`]). Two loops run on every controller and
//! wait while it does not lead: the quick one here leases shards, cleans up and routes
//! waiting tasks; the slower one in [`fleet`] scales, repairs and releases machines.

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

/// Between two passes of the leader's quick loop.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(25);
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(200);
/// A pass begins after this time even if nothing has changed.
const IDLE_PASS_INTERVAL: Duration = Duration::from_millis(500);

/// The duty that leads the cluster, while this process is its leader.
pub(super) struct Leader {
    /// What all duties share.
    context: Arc<Context>,
    /// The shard owner of this very process, which needs no message.
    owner: Arc<ShardOwner>,
    /// The quota exchange of this very process.
    quota: Arc<QuotaExchange>,
    /// What the peers have said of themselves.
    liveness: Arc<PeerLiveness>,
    /// Locked after the replica, and never across an await.
    state: Mutex<LeaderState>,
}

impl Leader {
    /// Not elected yet.
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

    /// This process was elected; its claim is attached to this lease.
    pub(super) fn reset(&self, lease: LeaseId) {
        lock(&self.state).reset(lease);
    }

    /// The lease of a process that leads, however it learned of its election.
    pub(super) fn adopt_lease(&self, lease: LeaseId) {
        lock(&self.state).adopt_lease(lease);
    }

    /// Keeps a controller's full status.
    pub(super) fn record_status(&self, status: StatusMessage, received_at: Instant) {
        lock(&self.state).record_status(status, received_at);
    }

    /// Duty: the leader's quick loop. On a controller that does not lead it waits.
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
            // A controller that is short of processor time makes fewer passes.
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
        // Routing never waits for the state service's limit of changes: what has to
        // be written waits for a pass in which it may be.
        if self.may_commit_now(RequestPriority::Fencing) {
            self.raise_common_version().await;
            self.lease_shards().await;
        }
        if self.may_commit_now(RequestPriority::Placement) {
            self.clean_up().await;
        }
        self.route().await;
    }

    /// Whether the key-value store's limit of changes has room for a commit at once.
    fn may_commit_now(&self, priority: RequestPriority) -> bool {
        self.context.store.commit_wait(priority).is_none()
    }
}
