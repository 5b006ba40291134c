//! Scaling out, repairing and scaling in machines: the policy's rounds, and the
//! calls to the cloud that follow from them.

mod autoscaler;
pub mod failure_detector;
mod inventory;
mod market;
mod provisioning;
mod release;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use market::{CapacityRefusal, Place};
use tokio::time::Instant;

use crate::{
    coordination::{context::lock, leader::Leader},
    storage::{
        ControllerName, MachineId, ProvisionId, Revision, Transaction, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::ProvisionRecord,
    },
};

/// Why a machine goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Not needed: marked, and its paid period is over.
    ScaledIn,
    /// Several jobs failed on it.
    Quarantined,
    /// Neither sends heartbeats nor answers: releasing it proves its tasks gone.
    Unresponsive,
    /// It does not come up.
    BootTimeout,
    /// The cloud says that it has stopped.
    Failed,
    /// Its heartbeats arrive, but no command reaches it.
    CommandPathLost,
}

#[derive(Clone, Copy, Debug)]
pub struct PendingRelease {
    reason: ReleaseReason,
    since: Instant,
    in_flight: bool,
}

impl PendingRelease {
    /// A release that is to be sent to the cloud.
    pub fn new(reason: ReleaseReason, since: Instant) -> Self {
        Self {
            reason,
            since,
            in_flight: false,
        }
    }

    /// Whether it is emptied before it goes.
    pub fn drains_first(&self) -> bool {
        matches!(
            self.reason,
            ReleaseReason::ScaledIn | ReleaseReason::Quarantined
        )
    }
}

#[derive(Default)]
pub struct FleetState {
    /// To be released, each at the end of its paid period.
    pub draining_machines: BTreeSet<MachineId>,
    refused: BTreeMap<Place, CapacityRefusal>,
    /// Machines that a round asked for and no place had: asked for elsewhere.
    unfilled: u32,
    in_flight: BTreeSet<ProvisionId>,
    next_try: BTreeMap<ProvisionId, Instant>,
    /// Names of provision requests that this process has used.
    pub(super) provision_count: u64,
    last_round: Option<Instant>,
    last_remedial: Option<Instant>,
    last_catalog: Option<Instant>,
    last_inventory: Option<Instant>,
    /// Machines that no task is routed to now.
    refusing: BTreeSet<MachineId>,
    /// Machines on which several jobs have failed, since when.
    quarantined_since: BTreeMap<MachineId, Instant>,
    /// Unresponsive machines being probed by all controllers, or lately found up.
    verifying: BTreeMap<MachineId, Instant>,
    /// Machines heard by others than their owner, and who reaches them.
    indirect_probes: BTreeMap<MachineId, failure_detector::IndirectProbe>,
    /// Controllers that have lost shards of theirs, since when.
    pub avoided_owners: BTreeMap<ControllerName, Instant>,
    unknown: BTreeMap<MachineId, Instant>,
    /// Names are never used again: what speaks under one of these is a copy.
    released: BTreeMap<MachineId, Instant>,
    /// Machines that the latest list of the cloud showed.
    listed: BTreeSet<MachineId>,
    last_addresses: Option<Instant>,
}

const PROVISION_REQUESTS_PER_COMMIT: usize = 8;

impl Leader {
    /// Duty: the leader's slower loop.
    pub(in super::super) async fn run_fleet_manager(self: &Arc<Self>) {
        let budget = Arc::new(RateLimiter::new(
            (self.context.config.cloud_rps * 0.8).max(0.5),
        ));
        while self.context.pause(Duration::from_millis(400)).await {
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

    /// Decides what to provision, mark, return and move, and writes the provision requests down.
    async fn evaluate_fleet(self: &Arc<Self>) {
        let (provision_requests, unresponsive) = {
            let cache = self.context.store.cache();
            if cache.catalog.is_none() {
                return;
            }
            let mut state = lock(&self.state);
            let now = Instant::now();
            let unresponsive = self.detect_failures(&cache, &mut state, now);
            self.rebalance(&cache, &mut state, now);
            (self.evaluate_scaling(&cache, &mut state, now), unresponsive)
        };
        for quarantined in unresponsive {
            let leader = self.clone();
            tokio::spawn(async move { leader.verify_unresponsive(quarantined).await });
        }
        // Recorded before they are sent; several in one commit.
        let parts = provision_requests.chunks(
            self.context
                .config
                .state
                .txn_ops
                .min(PROVISION_REQUESTS_PER_COMMIT),
        );
        for part in parts {
            let mut transaction = Transaction::default();
            for group in part {
                let name = {
                    let mut state = lock(&self.state);
                    state.fleet.provision_count += 1;
                    // The incarnation is drawn at random for each process.
                    ProvisionId::new(format!(
                        "r-{:016x}-{}",
                        self.context.config.incarnation.0, state.fleet.provision_count
                    ))
                };
                let record = ProvisionRecord {
                    kind: group.pool.kind.clone(),
                    zone: group.zone.clone(),
                    spot: group.pool.spot,
                    count: group.count,
                    at_ms: self.context.config.now_ms(),
                };
                let key = keys::provision_request(&name);
                transaction = transaction
                    .require(key.clone(), Revision(0))
                    .set(key, &record);
            }
            let sent = self
                .commit_as_leader(transaction, RequestPriority::Placement)
                .await;
            if sent.is_err() {
                return;
            }
        }
    }
}
