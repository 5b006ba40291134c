//! Releases machines to the cloud, and writes down that they are terminated.
//!
//! The cloud's answer proves that a machine runs no more. Only then its record goes, after
//! which its tasks count as lost.

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

/// Names in one call of the cloud.
const MAX_MACHINES_PER_RELEASE: usize = 100;

/// Pause before a release that failed is sent again, in milliseconds.
const MIN_RETRY_PAUSE_MS: u64 = 800;
const MAX_RETRY_PAUSE_MS: u64 = 1600;

/// Why a machine goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Not needed: idle, and its paid period is nearly over.
    ScaledIn,
    /// Several jobs failed on it.
    Quarantined,
    /// Neither sends heartbeats nor answers: releasing it proves its tasks terminated.
    Unresponsive,
    /// It does not come up.
    BootTimeout,
    /// The cloud says that it has stopped.
    Failed,
    /// Its heartbeats arrive, but no command reaches it.
    CommandPathLost,
}

/// A machine that is to be released.
#[derive(Clone, Copy, Debug)]
pub struct PendingRelease {
    reason: ReleaseReason,
    since: Instant,
    /// A call of the cloud for it is under way.
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

    /// Why it is released.
    pub fn reason(&self) -> ReleaseReason {
        self.reason
    }

    /// When its release was decided.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Whether it is emptied before it goes.
    pub fn drains_first(&self) -> bool {
        matches!(
            self.reason,
            ReleaseReason::ScaledIn | ReleaseReason::Quarantined
        )
    }

    /// Whether it may be sent to the cloud now.
    fn is_due(&self, cache: &StateCache, machine: &MachineId) -> bool {
        !self.in_flight && (!self.drains_first() || is_empty_for_good(cache, machine))
    }
}

/// Whether nothing is on a machine, nor can be placed on it: cordoned by a commit that the
/// cache has passed.
fn is_empty_for_good(cache: &StateCache, machine: &MachineId) -> bool {
    let is_cordoned = cache.shard_of(machine).is_some_and(|(_, entry)| {
        entry.revision <= cache.revision
            && entry.value.machines.get(machine) == Some(&MachineUse::Cordoned)
    });
    is_cordoned && !cache.on_machine.contains_key(machine)
}

impl Leader {
    /// Sends the releases that are due in one call, without waiting for its answer.
    pub(super) fn send_releases(self: &Arc<Self>, budget: &Arc<RateLimiter>) {
        let due = self.take_due_releases();
        if due.is_empty() {
            return;
        }
        let leader = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            budget.acquire(1.0, RequestPriority::Fencing).await;
            leader.release(due).await;
        });
    }

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

    async fn release(&self, machines: Vec<MachineId>) {
        match self.context.cloud.release(&machines).await {
            Ok(()) => self.record_terminated(&machines).await,
            Err(error) => {
                tracing::info!(%error, machines = machines.len(), "release to be retried");
                let pause = jitter::millis(MIN_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
                self.context.pause(pause).await;
            }
        }
        let mut state = lock(&self.state);
        for id in &machines {
            if let Some(release) = state.releasing.get_mut(id) {
                release.in_flight = false;
            }
        }
    }

    /// The cloud has confirmed the release: the machines and all on them are terminated.
    async fn record_terminated(&self, machines: &[MachineId]) {
        let max_groups = (self.context.config.state_limits.txn_ops / 2).max(1);
        let transactions = {
            let cache = self.context.store.cache();
            removals(&cache, machines, max_groups)
        };
        {
            let mut state = lock(&self.state);
            let now = Instant::now();
            state
                .fleet
                .released
                .extend(machines.iter().map(|id| (id.clone(), now)));
        }
        for transaction in transactions {
            let committed = self
                .commit_as_leader(transaction, RequestPriority::Placement)
                .await;
            if committed.is_err() {
                // They are released again, which changes nothing, until the
                // records say so.
                self.context.store.read_barrier().await;
            }
        }
        tracing::info!(?machines, "machines released");
        self.context.leader_wakeup.notify_one();
    }
}

/// Transactions that take machines out of their groups, each of at most so many groups.
fn removals(cache: &StateCache, machines: &[MachineId], max_groups: usize) -> Vec<Transaction> {
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
        .map(|part| {
            part.iter()
                .fold(Transaction::default(), |transaction, (name, group)| {
                    write_group(transaction, cache, name, group)
                })
        })
        .collect()
}

/// Adds the change of a machine group's record, on condition that it is still that of the
/// cache. A group without machines goes.
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
