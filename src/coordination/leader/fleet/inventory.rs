//! Reads the cloud's catalog and machine list.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::{IndirectHeartbeat, ListedMachine, MachineStage},
        context::lock,
        leader::{
            Leader,
            fleet::{FleetState, ReleaseReason},
            state::STATUS_TTL,
        },
    },
    storage::{
        ProvisionId, Revision, Transaction, TypeName, ZoneName, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::{CatalogRecord, MachineGroupRecord},
    },
};

impl Leader {
    pub(super) async fn poll_catalog(&self, budget: &RateLimiter) {
        {
            let state = lock(&self.state);
            let known = self.context.store.cache().catalog.is_some();
            let every = Duration::from_secs(if known { 30 } else { 1 });
            if state
                .fleet
                .last_catalog
                .is_some_and(|at| at.elapsed() < every)
            {
                return;
            }
        }
        lock(&self.state).fleet.last_catalog = Some(Instant::now());
        budget.acquire(1.0, RequestPriority::Fencing).await;
        let types = match self.context.cloud.catalog().await {
            Ok(types) => types,
            Err(error) => {
                tracing::info!(%error, "the cloud's catalog cannot be read");
                return;
            }
        };
        let record = CatalogRecord { types };
        let revision = {
            let cache = self.context.store.cache();
            match &cache.catalog {
                Some(entry) if entry.value == record => return,
                Some(entry) => entry.revision,
                None => Revision(0),
            }
        };
        let transaction = Transaction::default()
            .require(keys::CATALOG.into(), revision)
            .set(keys::CATALOG.into(), &record);
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Fencing)
            .await;
    }

    pub(super) fn poll_inventory(self: &Arc<Self>, budget: &Arc<RateLimiter>) {
        {
            let mut state = lock(&self.state);
            // It is behind by the lag anyway, and each page costs time.
            let every = (self.context.config.list_lag / 2).max(Duration::from_secs(5));
            if state
                .fleet
                .last_inventory
                .is_some_and(|at| at.elapsed() < every)
            {
                return;
            }
            state.fleet.last_inventory = Some(Instant::now());
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

    /// Machines that the cloud lists, or whose agents send heartbeats, but that are not
    /// in the cache: provisioned by a request that was executed late, perhaps.
    pub(super) async fn reconcile_inventory(&self, list: Vec<ListedMachine>) {
        let adopt: Vec<MachineGroupRecord> = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            let now = Instant::now();
            let lag = self.context.config.list_lag;
            state
                .fleet
                .forget_released(self.context.config.machines_tracked, now);
            let mut adopt = Vec::new();
            let mut still = BTreeMap::new();
            state.fleet.listed = list.iter().map(|machine| machine.id.clone()).collect();
            for machine in list {
                if cache.machines.contains_key(&machine.id) {
                    if machine.stage == MachineStage::Failed
                        && state.schedule_release(&machine.id, ReleaseReason::Failed, now)
                    {
                        tracing::info!(machine = %machine.id, "listed as failed");
                    }
                    continue;
                }
                if state.fleet.released.contains_key(&machine.id) {
                    continue;
                }
                let since = state.fleet.unknown.get(&machine.id).copied().unwrap_or(now);
                // The list may lag twice its time: it may still show machines
                // that an earlier leader returned.
                if now.duration_since(since) > lag.mul_f64(2.5) {
                    adopt.push((machine.id, machine.kind, machine.zone, machine.spot));
                } else {
                    still.insert(machine.id, since);
                }
            }
            state.fleet.unknown = still;
            // Heard by some controller and listed: a heartbeat alone may be a copy
            // of one from a machine that went back long ago.
            let has_heartbeat: Vec<IndirectHeartbeat> = state
                .statuses
                .values()
                .filter(|peer| peer.age() < STATUS_TTL)
                .flat_map(|peer| peer.indirect_heartbeats.values().cloned())
                .collect();
            for seen in has_heartbeat {
                let known = cache.machines.contains_key(&seen.machine)
                    || state.fleet.released.contains_key(&seen.machine);
                let listed = state.fleet.unknown.contains_key(&seen.machine);
                if !known && listed && cache.provision_requests.is_empty() {
                    adopt.push((seen.machine, seen.kind, seen.zone, seen.spot));
                }
            }
            let at = self.context.config.now_ms();
            let mut groups: BTreeMap<(TypeName, ZoneName, bool), MachineGroupRecord> =
                BTreeMap::new();
            for (id, kind, zone, spot) in adopt {
                let key = (kind.clone(), zone.clone(), spot);
                let group = groups.entry(key).or_insert_with(|| MachineGroupRecord {
                    kind,
                    zone,
                    spot,
                    provisioned_ms: at,
                    machines: BTreeMap::new(),
                });
                if group.machines.len() < ADOPTED_AT_ONCE {
                    group.machines.insert(id, None);
                }
            }
            groups.into_values().collect()
        };
        for group in adopt {
            tracing::info!(machines = ?group.machines.keys(), "adopting unknown machines");
            let name = {
                let mut state = lock(&self.state);
                state.fleet.provision_count += 1;
                ProvisionId::new(format!(
                    "x-{:016x}-{}",
                    self.context.config.incarnation.0, state.fleet.provision_count
                ))
            };
            let key = keys::machine_group(&name);
            let transaction = Transaction::default()
                .require(key.clone(), Revision(0))
                .set(key, &group);
            let _ = self
                .commit_as_leader(transaction, RequestPriority::Background)
                .await;
        }
    }
}

/// Unknown machines of one kind and place taken on at a time.
const ADOPTED_AT_ONCE: usize = 50;
/// Returned machines are remembered for so long: copies of heartbeats come well over a lease late.
const RELEASED_TTL: Duration = Duration::from_secs(600);

impl FleetState {
    /// Forgets machines that were returned long ago, and beyond `most` the oldest.
    fn forget_released(&mut self, most: usize, now: Instant) {
        self.released
            .retain(|_, at| now.duration_since(*at) < RELEASED_TTL);
        let excess = self.released.len().saturating_sub(most);
        if excess == 0 {
            return;
        }
        tracing::info!(excess, "too many released machines to remember all");
        let mut times: Vec<Instant> = self.released.values().copied().collect();
        times.sort_unstable();
        let oldest_kept = times[excess];
        self.released.retain(|_, at| *at >= oldest_kept);
    }
}
