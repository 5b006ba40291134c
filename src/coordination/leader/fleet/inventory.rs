//! Reconciles the recorded machines with the cloud's list of machines.
//!
//! The list lags behind: it may still show machines that were released, and not yet show
//! those that were provisioned. Machines that are listed for long enough without having a
//! record are adopted: a record is written for them. Recorded machines that are listed as failed
//! are released.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::provisioning_options::ProvisionTarget;
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

/// Maximum number of unknown machines of one type and zone that are adopted after one poll of the
/// list.
const MAX_ADOPTED_PER_GROUP: usize = 50;
/// Prefix of the names of groups of adopted machines.
const ADOPTED_ID_PREFIX: &str = "x";
/// Time for which released machines are remembered: duplicated heartbeats can arrive much more
/// than a lease duration late.
const RELEASED_TTL: Duration = Duration::from_secs(600);
/// Minimum time between two polls of the list.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// A machine without a record is adopted once it has been listed for longer than this many times
/// the configured list lag. The list may be up to twice the lag behind, and may therefore still
/// show machines that were released by an earlier leader.
const ADOPTION_LAG_FACTOR: f64 = 2.5;

/// A machine that has no record.
struct UnknownMachine {
    id: MachineId,
    target: ProvisionTarget,
}

impl Leader {
    /// Starts an asynchronous task that reads the list of machines and reconciles it, if a poll
    /// is due.
    pub(super) fn poll_inventory(self: &Arc<Self>, cloud_rate_limiter: &Arc<RateLimiter>) {
        if !self.begin_inventory_poll() {
            return;
        }
        let leader = self.clone();
        let cloud_rate_limiter = cloud_rate_limiter.clone();
        tokio::spawn(async move {
            cloud_rate_limiter
                .acquire(1.0, RequestPriority::Background)
                .await;
            match leader.context.cloud.list_machines().await {
                Ok(list) => leader.reconcile_inventory(list).await,
                Err(error) => tracing::debug!(%error, "the machine list cannot be read"),
            }
        });
    }

    /// Returns whether a poll is due, and if so records that it begins now.
    fn begin_inventory_poll(&self) -> bool {
        let mut state = lock(&self.state);
        // Polling more often gains little, since the list is behind by the lag anyway, and
        // each page takes time to read.
        let interval = (self.context.config.max_inventory_lag / 2).max(MIN_POLL_INTERVAL);
        let is_recent = state
            .fleet
            .last_inventory_poll
            .is_some_and(|at| at.elapsed() < interval);
        if is_recent {
            return false;
        }
        state.fleet.last_inventory_poll = Some(Instant::now());
        true
    }

    /// Releases recorded machines that are listed as failed, and adopts machines that are
    /// listed, or send heartbeats, without having a record. Such machines can result from a
    /// provision request that the cloud executed late.
    async fn reconcile_inventory(&self, list: Vec<ListedMachine>) {
        let groups = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            let now = Instant::now();
            state
                .fleet
                .forget_released(self.context.config.max_tracked_machines, now);
            release_failed_machines(&cache, &mut state, &list, now);
            let adopt_after = self
                .context
                .config
                .max_inventory_lag
                .mul_f64(ADOPTION_LAG_FACTOR);
            let mut unknown = track_unknown(&cache, &mut state.fleet, list, adopt_after, now);
            unknown.extend(unknown_with_heartbeat(&cache, &state));
            group_machines(unknown, self.context.config.now_ms())
        };
        for group in groups {
            self.adopt(group).await;
        }
    }

    /// Writes a record for a group of unknown machines.
    async fn adopt(&self, group: MachineGroupRecord) {
        tracing::info!(machines = ?group.machines.keys(), "adopting unknown machines");
        let name = lock(&self.state)
            .fleet
            .next_provision_id(ADOPTED_ID_PREFIX, self.context.config.incarnation);
        let key = keys::machine_group(&name);
        let transaction = Transaction::default()
            .require(key.clone(), Revision(0))
            .set(key, &group);
        // Ignoring a failure is safe: machines without a record are found again by later polls.
        let _ = self
            .commit_once_as_leader(transaction, RequestPriority::Background)
            .await;
    }
}

/// Schedules the release of recorded machines that the cloud lists as failed.
fn release_failed_machines(
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
            tracing::info!(machine = %machine.id, "release scheduled: the cloud lists the machine as failed");
        }
    }
}

/// Keeps track of since when the cloud has listed machines that have no record. Returns those
/// that it has listed for longer than `adopt_after`.
fn track_unknown(
    cache: &StateCache,
    fleet: &mut FleetState,
    list: Vec<ListedMachine>,
    adopt_after: Duration,
    now: Instant,
) -> Vec<UnknownMachine> {
    let mut adopt = Vec::new();
    let mut unknown_since = BTreeMap::new();
    for machine in list {
        if cache.machines.contains_key(&machine.id) || fleet.released_at.contains_key(&machine.id) {
            continue;
        }
        let since = fleet.unknown_since.get(&machine.id).copied().unwrap_or(now);
        if now.duration_since(since) > adopt_after {
            adopt.push(UnknownMachine {
                id: machine.id,
                target: ProvisionTarget {
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                },
            });
        } else {
            unknown_since.insert(machine.id, since);
        }
    }
    fleet.unknown_since = unknown_since;
    adopt
}

/// Returns machines without a record that the cloud lists and that send heartbeats to some
/// controller. A heartbeat alone is not enough, because it may be a delayed duplicate from a
/// machine that was released long ago. Returns nothing while a provision request is unanswered,
/// because the machines may result from that request.
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
                && !state.fleet.released_at.contains_key(&heartbeat.machine)
                && state.fleet.unknown_since.contains_key(&heartbeat.machine)
        })
        .map(|heartbeat| UnknownMachine {
            id: heartbeat.machine.clone(),
            target: ProvisionTarget {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            },
        })
        .collect()
}

/// Returns records of machine groups, each with machines of one type and zone that are all spot or
/// all on-demand.
fn group_machines(machines: Vec<UnknownMachine>, now_ms: u64) -> Vec<MachineGroupRecord> {
    let mut groups: BTreeMap<ProvisionTarget, MachineGroupRecord> = BTreeMap::new();
    for UnknownMachine { id, target } in machines {
        let group = groups
            .entry(target.clone())
            .or_insert_with(|| MachineGroupRecord {
                machine_type: target.machine_type,
                zone: target.zone,
                spot: target.spot,
                provisioned_ms: now_ms,
                machines: BTreeMap::new(),
            });
        if group.machines.len() < MAX_ADOPTED_PER_GROUP {
            group.machines.insert(id, None);
        }
    }
    groups.into_values().collect()
}

impl FleetState {
    /// Forgets machines that were released long ago, and the oldest ones beyond `max_machines`.
    fn forget_released(&mut self, max_machines: usize, now: Instant) {
        self.released_at
            .retain(|_, at| now.duration_since(*at) < RELEASED_TTL);
        let excess = self.released_at.len().saturating_sub(max_machines);
        if excess == 0 {
            return;
        }
        tracing::info!(excess, "too many released machines; forgetting the oldest");
        let mut times: Vec<Instant> = self.released_at.values().copied().collect();
        times.sort_unstable();
        let oldest_remembered = times[excess];
        self.released_at.retain(|_, at| *at >= oldest_remembered);
    }
}
