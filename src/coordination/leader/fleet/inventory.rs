//! Reads the cloud's catalog and machine list.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::{
        leader::fleet::{FleetState, Reason, Return},
        node::{Node, lock},
        ports::{ListedMachine, MachineStage, Sighting},
    },
    storage::{
        RentName, Revision, Transaction, TypeName, ZoneName,
        budget::{Budget, Urgency},
        keys,
        records::{CatalogRecord, RentalRecord},
    },
};

impl Node {
    pub(super) async fn poll_catalog(&self, budget: &Budget) {
        {
            let state = lock(&self.leader);
            let known = self.store.cache().catalog.is_some();
            let every = Duration::from_secs(if known { 30 } else { 1 });
            if state
                .fleet
                .last_catalog
                .is_some_and(|at| at.elapsed() < every)
            {
                return;
            }
        }
        lock(&self.leader).fleet.last_catalog = Some(Instant::now());
        budget.acquire(1.0, Urgency::Fence).await;
        let types = match self.cloud.catalog().await {
            Ok(types) => types,
            Err(error) => {
                tracing::info!(%error, "the cloud's catalog cannot be read");
                return;
            }
        };
        let record = CatalogRecord { types };
        let mark = {
            let cache = self.store.cache();
            match &cache.catalog {
                Some(kept) if kept.value == record => return,
                Some(kept) => kept.revision,
                None => Revision(0),
            }
        };
        let transaction = Transaction::default()
            .require(keys::CATALOG.into(), mark)
            .set(keys::CATALOG.into(), &record);
        let _ = self.commit_as_leader(transaction, Urgency::Fence).await;
    }

    pub(super) fn poll_list(self: &Arc<Self>, budget: &Arc<Budget>) {
        {
            let mut state = lock(&self.leader);
            // It is behind by the lag anyway, and each page costs time.
            let every = (self.config.list_lag / 2).max(Duration::from_secs(5));
            if state.fleet.last_list.is_some_and(|at| at.elapsed() < every) {
                return;
            }
            state.fleet.last_list = Some(Instant::now());
        }
        let node = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            budget.acquire(1.0, Urgency::Rest).await;
            match node.cloud.list().await {
                Ok(list) => node.compare_list(list).await,
                Err(error) => tracing::debug!(%error, "the machine list cannot be read"),
            }
        });
    }

    /// Machines that the cloud lists, or whose workers report, but that are not
    /// in the cache: rented by a request that was executed late, perhaps.
    pub(super) async fn compare_list(&self, list: Vec<ListedMachine>) {
        let adopt: Vec<RentalRecord> = {
            let cache = self.store.cache();
            let mut state = lock(&self.leader);
            let now = Instant::now();
            let lag = self.config.list_lag;
            state
                .fleet
                .forget_returned(self.config.machines_tracked, now);
            let mut adopt = Vec::new();
            let mut still = BTreeMap::new();
            state.fleet.listed = list.iter().map(|machine| machine.id.clone()).collect();
            for machine in list {
                if cache.machines.contains_key(&machine.id) {
                    if machine.stage == MachineStage::Failed
                        && !state.returning.contains_key(&machine.id)
                    {
                        tracing::info!(machine = %machine.id, "listed as failed");
                        state.returning.insert(
                            machine.id.clone(),
                            Return {
                                reason: Reason::Failed,
                                since: now,
                                in_flight: false,
                            },
                        );
                    }
                    continue;
                }
                if state.fleet.returned.contains_key(&machine.id) {
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
            // Reported to some controller and listed: a report alone may be a copy
            // of one from a machine that went back long ago.
            let sighted: Vec<Sighting> = state
                .statuses
                .values()
                .filter(|told| told.at.elapsed() < super::super::STATUS_LIFE)
                .flat_map(|told| told.sightings.values().cloned())
                .collect();
            for seen in sighted {
                let known = cache.machines.contains_key(&seen.machine)
                    || state.fleet.returned.contains_key(&seen.machine);
                let listed = state.fleet.unknown.contains_key(&seen.machine);
                if !known && listed && cache.rents.is_empty() {
                    adopt.push((seen.machine, seen.kind, seen.zone, seen.spot));
                }
            }
            let at = self.config.now_ms();
            let mut rentals: BTreeMap<(TypeName, ZoneName, bool), RentalRecord> = BTreeMap::new();
            for (id, kind, zone, spot) in adopt {
                let key = (kind.clone(), zone.clone(), spot);
                let rental = rentals.entry(key).or_insert_with(|| RentalRecord {
                    kind,
                    zone,
                    spot,
                    rented_ms: at,
                    machines: BTreeMap::new(),
                });
                if rental.machines.len() < ADOPTED_AT_ONCE {
                    rental.machines.insert(id, None);
                }
            }
            rentals.into_values().collect()
        };
        for rental in adopt {
            tracing::info!(machines = ?rental.machines.keys(), "unknown machines are taken on");
            let name = {
                let mut state = lock(&self.leader);
                state.fleet.rents += 1;
                RentName::new(format!(
                    "x-{:016x}-{}",
                    self.config.incarnation.0, state.fleet.rents
                ))
            };
            let key = keys::machines(&name);
            let transaction = Transaction::default()
                .require(key.clone(), Revision(0))
                .set(key, &rental);
            let _ = self.commit_as_leader(transaction, Urgency::Rest).await;
        }
    }
}

/// Unknown machines of one kind and place taken on at a time.
const ADOPTED_AT_ONCE: usize = 50;
/// Returned machines are remembered for so long: copies of reports come well over a lease late.
const RETURNED_LIFE: Duration = Duration::from_secs(600);

impl FleetState {
    /// Forgets machines that were returned long ago, and beyond `most` the oldest.
    fn forget_returned(&mut self, most: usize, now: Instant) {
        self.returned
            .retain(|_, at| now.duration_since(*at) < RETURNED_LIFE);
        let excess = self.returned.len().saturating_sub(most);
        if excess == 0 {
            return;
        }
        tracing::info!(excess, "too many returned machines to remember all");
        let mut times: Vec<Instant> = self.returned.values().copied().collect();
        times.sort_unstable();
        let oldest_kept = times[excess];
        self.returned.retain(|_, at| *at >= oldest_kept);
    }
}
