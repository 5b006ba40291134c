//! Releases machines to the cloud and removes their records.
//!
//! The cloud's response proves that a machine no longer runs. Only then is its record removed,
//! since the tasks on a machine without a record count as lost.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::Instant;

use crate::{
    coordination::{context::lock, leader::Leader},
    storage::{
        MachineId, ProvisionId, Revision, StateCache, Transaction, jitter, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::{MachineGroupRecord, MachineUse},
    },
};

/// Maximum number of machines in one release call to the cloud.
const MAX_MACHINES_PER_RELEASE: usize = 100;

/// Bounds of the random delay before a failed release is sent again, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 800;
const MAX_RETRY_DELAY_MS: u64 = 1600;

/// Why a machine is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// It is not needed: it is idle, and its paid period is nearly over.
    ScaledIn,
    /// Several jobs have failed on it.
    Quarantined,
    /// It neither sends heartbeats nor answers. Releasing it proves that its tasks are terminated.
    Unresponsive,
    /// Its agent has sent no heartbeat within the boot timeout.
    BootTimeout,
    /// The cloud lists it as failed.
    Failed,
    /// Its heartbeats arrive, but no command reaches it.
    CommandPathLost,
}

/// A machine that is to be released.
#[derive(Clone, Copy, Debug)]
pub struct PendingRelease {
    reason: ReleaseReason,
    since: Instant,
    /// Whether a release call to the cloud for it is in progress.
    in_flight: bool,
}

impl PendingRelease {
    /// Creates a release that is yet to be sent to the cloud.
    pub fn new(reason: ReleaseReason, since: Instant) -> Self {
        Self {
            reason,
            since,
            in_flight: false,
        }
    }

    /// Returns why the machine is released.
    pub fn reason(&self) -> ReleaseReason {
        self.reason
    }

    /// Returns when the release was decided.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Returns whether the machine is drained before it is released.
    pub fn drains_first(&self) -> bool {
        matches!(
            self.reason,
            ReleaseReason::ScaledIn | ReleaseReason::Quarantined
        )
    }

    /// Returns whether the release may be sent to the cloud now.
    fn is_due(&self, cache: &StateCache, machine: &MachineId) -> bool {
        !self.in_flight && (!self.drains_first() || is_cordoned_and_empty(cache, machine))
    }
}

/// Returns whether no task is on a machine and none can be placed on it any more. The cache must
/// have reached the revision of the commit that cordoned the machine, so that it also shows the
/// placements that were written before.
fn is_cordoned_and_empty(cache: &StateCache, machine: &MachineId) -> bool {
    let is_cordoned = cache.shard_of(machine).is_some_and(|(_, entry)| {
        entry.revision <= cache.revision
            && entry.value.machines.get(machine) == Some(&MachineUse::Cordoned)
    });
    is_cordoned && !cache.machine_loads.contains_key(machine)
}

impl Leader {
    /// Sends the releases that are due to the cloud in one call, without waiting for its response.
    pub(super) fn send_releases(self: &Arc<Self>, cloud_rate_limiter: &Arc<RateLimiter>) {
        let due = self.take_due_releases();
        if due.is_empty() {
            return;
        }
        let leader = self.clone();
        let cloud_rate_limiter = cloud_rate_limiter.clone();
        tokio::spawn(async move {
            cloud_rate_limiter
                .acquire(1.0, RequestPriority::Fencing)
                .await;
            leader.release(due).await;
        });
    }

    /// Returns the machines whose release is due, and marks these releases as in flight.
    fn take_due_releases(&self) -> Vec<MachineId> {
        let cache = self.context.store.cache();
        let mut state = lock(&self.state);
        let due: Vec<MachineId> = state
            .releasing
            .iter()
            .filter(|(id, release)| release.is_due(&cache, id))
            .map(|(id, _)| id.clone())
            .take(MAX_MACHINES_PER_RELEASE)
            .collect();
        for id in &due {
            if let Some(release) = state.releasing.get_mut(id) {
                release.in_flight = true;
            }
        }
        due
    }

    /// Releases machines to the cloud and removes their records. If the cloud's call fails, waits
    /// for the retry delay before the releases become due again.
    async fn release(&self, machines: Vec<MachineId>) {
        match self.context.cloud.release(&machines).await {
            Ok(()) => self.record_terminated(&machines).await,
            Err(error) => {
                tracing::info!(%error, machines = machines.len(), "release to be retried");
                let delay = jitter::millis(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
                self.context.sleep_unless_stopped(delay).await;
            }
        }
        let mut state = lock(&self.state);
        for id in &machines {
            if let Some(release) = state.releasing.get_mut(id) {
                release.in_flight = false;
            }
        }
    }

    /// Removes the records of machines whose release the cloud has confirmed: they and all
    /// tasks on them are terminated.
    async fn record_terminated(&self, machines: &[MachineId]) {
        let max_groups = (self.context.config.state_limits.txn_ops / 2).max(1);
        let transactions = {
            let cache = self.context.store.cache();
            removal_transactions(&cache, machines, max_groups)
        };
        {
            let mut state = lock(&self.state);
            let now = Instant::now();
            state
                .fleet
                .released_at
                .extend(machines.iter().map(|id| (id.clone(), now)));
        }
        for transaction in transactions {
            let committed = self
                .commit_as_leader(transaction, RequestPriority::Placement)
                .await;
            if committed.is_err() {
                // The machines whose records remain are released again, which has no further
                // effect at the cloud, until their records are removed.
                self.context.store.read_barrier().await;
            }
        }
        tracing::info!(?machines, "machines released");
        self.context.leader_wakeup.notify_one();
    }
}

/// Returns transactions that remove machines from the records of their groups. Each changes at most
/// `max_groups` groups.
fn removal_transactions(
    cache: &StateCache,
    machines: &[MachineId],
    max_groups: usize,
) -> Vec<Transaction> {
    let mut groups: BTreeMap<&ProvisionId, MachineGroupRecord> = BTreeMap::new();
    for id in machines {
        if let Some(record) = cache.machines.get(id)
            && let Some(entry) = cache.machine_groups.get(&record.machine_group)
        {
            groups
                .entry(&record.machine_group)
                .or_insert_with(|| entry.value.clone())
                .machines
                .remove(id);
        }
    }
    let groups: Vec<(&ProvisionId, MachineGroupRecord)> = groups.into_iter().collect();
    groups
        .chunks(max_groups)
        .map(|batch| {
            batch
                .iter()
                .fold(Transaction::default(), |transaction, (name, group)| {
                    write_group(transaction, cache, name, group)
                })
        })
        .collect()
}

/// Adds a write of a machine group's record to the transaction, on condition that the record is
/// still at the cache's revision. The record of a group without machines is removed.
pub(super) fn write_group(
    transaction: Transaction,
    cache: &StateCache,
    name: &ProvisionId,
    group: &MachineGroupRecord,
) -> Transaction {
    let revision = cache
        .machine_groups
        .get(name)
        .map_or(Revision(0), |entry| entry.revision);
    let key = keys::machine_group(name);
    let transaction = transaction.require(key.clone(), revision);
    if group.machines.is_empty() {
        transaction.remove(key)
    } else {
        transaction.set(key, group)
    }
}
