//! Reconciles the records with the cloud's list of machines.
//!
//! The list lags behind: it may still show machines that were released, and not yet show
//! those that were provisioned. Machines that it shows for long enough while no record names
//! them are adopted; those that it shows as failed are released.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::market::ProvisionTarget;
use crate::{
    coordination::{
        clients::{ListedMachine, MachineStage},
        context::lock,
        leader::{
            Leader,
            fleet::{FleetState, ReleaseReason},
            state::{LeaderState, STATUS_TTL},
        },
    },
    storage::{
        MachineId, Revision, StateCache, Transaction, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::MachineGroupRecord,
    },
};

/// Unknown machines of one type and zone adopted at a time.
const ADOPTED_AT_ONCE: usize = 50;
/// Prefix of the names of groups of adopted machines.
const ADOPTED_ID_PREFIX: &str = "x";
/// Released machines are remembered for so long: copies of heartbeats come well over a lease late.
const RELEASED_TTL: Duration = Duration::from_secs(600);
/// The least time between two readings of the list.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// The list may lag twice its time: it may still show machines
/// that an earlier leader released.
const MAX_LAG_FACTOR: f64 = 2.5;

/// A machine that no record names.
struct UnknownMachine {
    id: MachineId,
    target: ProvisionTarget,
}

impl Leader {
    /// Reads the list of machines if that is due, and reconciles it in a task of its own.
    pub(super) fn poll_inventory(self: &Arc<Self>, budget: &Arc<RateLimiter>) {
        if !self.begin_inventory_poll() {
            return;
        }
        let leader = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            budget.acquire(1.0, RequestPriority::Background).await;
            match leader.context.cloud.list_machines().await {
                Ok(list) => leader.reconcile_inventory(list).await,
                Err(error) => tracing::debug!(%error, "the machine list cannot be read"),
            }
        });
    }

    /// Whether the list is to be read now.
    fn begin_inventory_poll(&self) -> bool {
        let mut state = lock(&self.state);
        // It is behind by the lag anyway, and each page costs time.
        let interval = (self.context.config.max_inventory_lag / 2).max(MIN_POLL_INTERVAL);
        let is_recent = state
            .fleet
            .last_inventory
            .is_some_and(|at| at.elapsed() < interval);
        if is_recent {
            return false;
        }
        state.fleet.last_inventory = Some(Instant::now());
        true
    }

    /// Machines that the cloud lists, or whose agents send heartbeats, but that are not
    /// in the cache: provisioned by a request that was executed late, perhaps.
    async fn reconcile_inventory(&self, list: Vec<ListedMachine>) {
        let groups = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            let now = Instant::now();
            state
                .fleet
                .forget_released(self.context.config.max_tracked_machines, now);
            release_failed(&cache, &mut state, &list, now);
            let adopt_after = self
                .context
                .config
                .max_inventory_lag
                .mul_f64(MAX_LAG_FACTOR);
            let mut unknown = note_unknown(&cache, &mut state.fleet, list, adopt_after, now);
            unknown.extend(unknown_with_heartbeat(&cache, &state));
            group_machines(unknown, self.context.config.now_ms())
        };
        for group in groups {
            self.adopt(group).await;
        }
    }

    async fn adopt(&self, group: MachineGroupRecord) {
        tracing::info!(machines = ?group.machines.keys(), "adopting unknown machines");
        let name = lock(&self.state)
            .fleet
            .next_provision_id(ADOPTED_ID_PREFIX, self.context.config.incarnation);
        let key = keys::machine_group(&name);
        let transaction = Transaction::default()
            .require(key.clone(), Revision(0))
            .set(key, &group);
        // Machines that are not adopted now are still listed next time.
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Background)
            .await;
    }
}

/// Releases machines of ours that the cloud lists as failed.
fn release_failed(
    cache: &StateCache,
    state: &mut LeaderState,
    list: &[ListedMachine],
    now: Instant,
) {
    for machine in list {
        if cache.machines.contains_key(&machine.id)
            && machine.stage == MachineStage::Failed
            && state.schedule_release(&machine.id, ReleaseReason::Failed, now)
        {
            tracing::info!(machine = %machine.id, "listed as failed");
        }
    }
}

/// Notes since when the list shows machines that no record names. Returns those that it has
/// shown for longer than it may lag.
fn note_unknown(
    cache: &StateCache,
    fleet: &mut FleetState,
    list: Vec<ListedMachine>,
    adopt_after: Duration,
    now: Instant,
) -> Vec<UnknownMachine> {
    let mut adopt = Vec::new();
    let mut unknown_since = BTreeMap::new();
    for machine in list {
        if cache.machines.contains_key(&machine.id) || fleet.released.contains_key(&machine.id) {
            continue;
        }
        let since = fleet.unknown.get(&machine.id).copied().unwrap_or(now);
        if now.duration_since(since) > adopt_after {
            adopt.push(UnknownMachine {
                id: machine.id,
                target: ProvisionTarget {
                    kind: machine.kind,
                    zone: machine.zone,
                    spot: machine.spot,
                },
            });
        } else {
            unknown_since.insert(machine.id, since);
        }
    }
    fleet.unknown = unknown_since;
    adopt
}

/// Unknown machines that some controller hears and the cloud lists: a heartbeat alone may be
/// a copy of one from a machine that was released long ago. None while a provision request is
/// unanswered, as they may have come of it.
fn unknown_with_heartbeat(cache: &StateCache, state: &LeaderState) -> Vec<UnknownMachine> {
    if !cache.provision_requests.is_empty() {
        return Vec::new();
    }
    state
        .statuses
        .values()
        .filter(|peer| peer.age() < STATUS_TTL)
        .flat_map(|peer| peer.indirect_heartbeats.values())
        .filter(|heartbeat| {
            !cache.machines.contains_key(&heartbeat.machine)
                && !state.fleet.released.contains_key(&heartbeat.machine)
                && state.fleet.unknown.contains_key(&heartbeat.machine)
        })
        .map(|heartbeat| UnknownMachine {
            id: heartbeat.machine.clone(),
            target: ProvisionTarget {
                kind: heartbeat.kind.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            },
        })
        .collect()
}

/// Records of machine groups, each of machines of one type and zone.
fn group_machines(machines: Vec<UnknownMachine>, now_ms: u64) -> Vec<MachineGroupRecord> {
    let mut groups: BTreeMap<ProvisionTarget, MachineGroupRecord> = BTreeMap::new();
    for UnknownMachine { id, target } in machines {
        let group = groups
            .entry(target.clone())
            .or_insert_with(|| MachineGroupRecord {
                kind: target.kind,
                zone: target.zone,
                spot: target.spot,
                provisioned_ms: now_ms,
                machines: BTreeMap::new(),
            });
        if group.machines.len() < ADOPTED_AT_ONCE {
            group.machines.insert(id, None);
        }
    }
    groups.into_values().collect()
}

impl FleetState {
    /// Forgets machines that were released long ago, and beyond `max_machines` the oldest.
    fn forget_released(&mut self, max_machines: usize, now: Instant) {
        self.released
            .retain(|_, at| now.duration_since(*at) < RELEASED_TTL);
        let excess = self.released.len().saturating_sub(max_machines);
        if excess == 0 {
            return;
        }
        tracing::info!(excess, "too many released machines to remember all");
        let mut times: Vec<Instant> = self.released.values().copied().collect();
        times.sort_unstable();
        let oldest_remembered = times[excess];
        self.released.retain(|_, at| *at >= oldest_remembered);
    }
}
