//! Sends rental requests and writes down what came of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::market::Refusal;
use crate::{
    coordination::{
        node::{Node, lock},
        ports::{CloudError, Wanted},
    },
    storage::{
        MachineId, RentName, Revision, Transaction,
        budget::{Budget, Urgency},
        chance, keys,
        records::{RentRecord, RentalRecord},
    },
};

/// Rental calls under way at a time; the cloud's limit paces them.
const RENTS_AT_ONCE: usize = 12;
/// Machines' addresses are written together, this often.
const ADDRESSES: Duration = Duration::from_millis(2500);

impl Node {
    /// Sends the rents that are written down, each under its own name until it
    /// is answered; also those that an earlier leader left.
    pub(super) fn send_rents(self: &Arc<Self>, budget: &Arc<Budget>) {
        let due: Vec<(RentName, RentRecord)> = {
            let cache = self.store.cache();
            let mut state = lock(&self.leader);
            let now = Instant::now();
            let fleet = &mut state.fleet;
            fleet
                .next_try
                .retain(|name, _| cache.rents.contains_key(name));
            let due: Vec<_> = cache
                .rents
                .iter()
                .filter(|(name, _)| {
                    !fleet.in_flight.contains(*name)
                        && fleet.next_try.get(*name).is_none_or(|at| *at <= now)
                })
                .take(RENTS_AT_ONCE)
                .map(|(name, kept)| (name.clone(), kept.value.clone()))
                .collect();
            fleet
                .in_flight
                .extend(due.iter().map(|(name, _)| name.clone()));
            due
        };
        for (name, record) in due {
            let node = self.clone();
            let budget = budget.clone();
            tokio::spawn(async move {
                budget.acquire(1.0, Urgency::Fence).await;
                let wanted = Wanted {
                    kind: record.kind.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                    count: record.count,
                };
                let answer = node.cloud.rent(&name, &wanted).await;
                node.rent_answered(&name, &record, answer).await;
                lock(&node.leader).fleet.in_flight.remove(&name);
            });
        }
    }

    pub(super) async fn rent_answered(
        &self,
        name: &RentName,
        record: &RentRecord,
        answer: Result<Vec<MachineId>, CloudError>,
    ) {
        let place = (record.kind.clone(), record.zone.clone(), record.spot);
        let refuse = |node: &Node, missing: u32| {
            let mut state = lock(&node.leader);
            let fleet = &mut state.fleet;
            let refusal = Refusal::after(fleet.refused.get(&place), Instant::now());
            fleet.refused.insert(place.clone(), refusal);
            fleet.carried = fleet.carried.max(missing);
            // The next best place is asked at once.
            fleet.last_remedy = None;
        };
        let mark = {
            let cache = self.store.cache();
            match cache.rents.get(name) {
                Some(kept) => kept.revision,
                None => return,
            }
        };
        match answer {
            Ok(machines) => {
                tracing::info!(%name, kind = %record.kind, zone = %record.zone,
                    spot = record.spot, asked = record.count, got = machines.len(), "rented");
                if machines.len() < record.count as usize {
                    refuse(self, record.count - machines.len() as u32);
                } else {
                    lock(&self.leader).fleet.refused.remove(&place);
                }
                let mut transaction = Transaction::default()
                    .require(keys::rent(name), mark)
                    .remove(keys::rent(name));
                if !machines.is_empty() {
                    let rental = RentalRecord {
                        kind: record.kind.clone(),
                        zone: record.zone.clone(),
                        spot: record.spot,
                        rented_ms: record.at_ms,
                        machines: machines.into_iter().map(|id| (id, None)).collect(),
                    };
                    let key = keys::machines(name);
                    transaction = transaction
                        .require(key.clone(), Revision(0))
                        .set(key, &rental);
                }
                // Unanswered, the request is repeated under its name, which the
                // cloud answers with the same machines.
                let _ = self.commit_as_leader(transaction, Urgency::Place).await;
            }
            Err(CloudError::NoCapacity) => {
                tracing::info!(%name, kind = %record.kind, zone = %record.zone,
                    spot = record.spot, "no capacity");
                refuse(self, record.count);
                let transaction = Transaction::default()
                    .require(keys::rent(name), mark)
                    .remove(keys::rent(name));
                let _ = self.commit_as_leader(transaction, Urgency::Place).await;
            }
            Err(error) => {
                tracing::info!(%name, %error, "rent to be repeated");
                let pause = chance::millis(1500, 3000);
                lock(&self.leader)
                    .fleet
                    .next_try
                    .insert(name.clone(), Instant::now() + pause);
            }
        }
    }

    /// Writes down where workers listen, which a new holder needs to look at a
    /// machine that it has never heard. Many come up in the same seconds, so that
    /// these are written together.
    pub(super) async fn write_addresses(&self) {
        let transaction = {
            let cache = self.store.cache();
            let mut state = lock(&self.leader);
            if state
                .fleet
                .last_addresses
                .is_some_and(|at| at.elapsed() < ADDRESSES)
            {
                return;
            }
            let mut changed: BTreeMap<&RentName, RentalRecord> = BTreeMap::new();
            for (id, held) in state.statuses.values().flat_map(|told| &told.held) {
                let (Some(address), Some(record)) = (&held.address, cache.machines.get(id)) else {
                    continue;
                };
                if record.address.as_ref() == Some(address) {
                    continue;
                }
                let full = changed.len() >= self.config.state.txn_ops / 2;
                if full && !changed.contains_key(&record.rental) {
                    continue;
                }
                let Some(kept) = cache.rentals.get(&record.rental) else {
                    continue;
                };
                changed
                    .entry(&record.rental)
                    .or_insert_with(|| kept.value.clone())
                    .machines
                    .insert(id.clone(), Some(address.clone()));
            }
            if changed.is_empty() {
                return;
            }
            let mut transaction = Transaction::default();
            for (name, rental) in &changed {
                let mark = cache.rentals.get(*name).map_or(Revision(0), |k| k.revision);
                let key = keys::machines(name);
                transaction = transaction.require(key.clone(), mark).set(key, rental);
            }
            state.fleet.last_addresses = Some(Instant::now());
            transaction
        };
        let _ = self.commit_as_leader(transaction, Urgency::Place).await;
    }
}
