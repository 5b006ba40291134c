//! Sends rental requests and writes down what came of them.

use super::*;

impl Node {
    /// Sends the rents that are written down, each under its own name until it
    /// is answered; also those that an earlier leader left.
    pub(super) fn send_rents(self: &Arc<Self>, budget: &Arc<Budget>) {
        let due: Vec<(RentName, RentRecord)> = {
            let book = self.store.book();
            let mut state = lock(&self.leader);
            let now = Instant::now();
            let fleet = &mut state.fleet;
            fleet
                .next_try
                .retain(|name, _| book.rents.contains_key(name));
            let due: Vec<_> = book
                .rents
                .iter()
                .filter(|(name, _)| {
                    !fleet.in_flight.contains(*name)
                        && fleet.next_try.get(*name).is_none_or(|at| *at <= now)
                })
                .take(4)
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
            let book = self.store.book();
            match book.rents.get(name) {
                Some(kept) => kept.mark,
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
                // The record of the request goes with the last machines' only.
                let step = self.config.txn_ops.saturating_sub(1).max(1);
                let parts = machines.len().div_ceil(step).max(1);
                for part in 0..parts {
                    let mut transaction = Transaction::default().require(keys::rent(name), mark);
                    for id in machines.iter().skip(part * step).take(step) {
                        let machine = MachineRecord {
                            kind: record.kind.clone(),
                            zone: record.zone.clone(),
                            spot: record.spot,
                            rented_ms: record.at_ms,
                            address: None,
                        };
                        // Known already if an earlier answer was half written.
                        if !self.store.book().machines.contains_key(id) {
                            transaction = transaction.set(keys::machine(id), &machine);
                        }
                    }
                    if part + 1 == parts {
                        transaction = transaction.remove(keys::rent(name));
                    }
                    if self
                        .commit_as_leader(transaction, Urgency::Place)
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
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
}
