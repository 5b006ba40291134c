//! Sends provision requests and writes down what came of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::market::CapacityRefusal;
use crate::{
    coordination::{
        clients::{CloudError, ProvisionRequest},
        context::lock,
        leader::Leader,
    },
    storage::{
        MachineId, ProvisionId, Revision, Transaction, jitter, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::{MachineGroupRecord, ProvisionRecord},
    },
};

/// Provision calls under way at a time; the cloud's limit paces them.
const MAX_PROVISION_CALLS: usize = 12;
/// Machines' addresses are written together, this often.
const ADDRESSES: Duration = Duration::from_millis(2500);

impl Leader {
    /// Sends the provision requests that are written down, each under its own name until it
    /// is answered; also those that an earlier leader left.
    pub(super) fn send_provision_requests(self: &Arc<Self>, budget: &Arc<RateLimiter>) {
        let due: Vec<(ProvisionId, ProvisionRecord)> = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            let now = Instant::now();
            let fleet = &mut state.fleet;
            fleet
                .next_try
                .retain(|name, _| cache.provision_requests.contains_key(name));
            let due: Vec<_> = cache
                .provision_requests
                .iter()
                .filter(|(name, _)| {
                    !fleet.in_flight.contains(*name)
                        && fleet.next_try.get(*name).is_none_or(|at| *at <= now)
                })
                .take(MAX_PROVISION_CALLS)
                .map(|(name, entry)| (name.clone(), entry.value.clone()))
                .collect();
            fleet
                .in_flight
                .extend(due.iter().map(|(name, _)| name.clone()));
            due
        };
        for (name, record) in due {
            let leader = self.clone();
            let budget = budget.clone();
            tokio::spawn(async move {
                budget.acquire(1.0, RequestPriority::Fencing).await;
                let wanted = ProvisionRequest {
                    kind: record.kind.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                    count: record.count,
                };
                let answer = leader.context.cloud.provision(&name, &wanted).await;
                leader
                    .handle_provision_response(&name, &record, answer)
                    .await;
                lock(&leader.state).fleet.in_flight.remove(&name);
            });
        }
    }

    pub(super) async fn handle_provision_response(
        &self,
        name: &ProvisionId,
        record: &ProvisionRecord,
        answer: Result<Vec<MachineId>, CloudError>,
    ) {
        let place = (record.kind.clone(), record.zone.clone(), record.spot);
        let refuse = |missing: u32| {
            let mut state = lock(&self.state);
            let fleet = &mut state.fleet;
            let refusal = CapacityRefusal::after(fleet.refused.get(&place), Instant::now());
            fleet.refused.insert(place.clone(), refusal);
            fleet.unfilled = fleet.unfilled.max(missing);
            // The next best place is asked at once.
            fleet.last_remedial = None;
        };
        let revision = {
            let cache = self.context.store.cache();
            match cache.provision_requests.get(name) {
                Some(entry) => entry.revision,
                None => return,
            }
        };
        match answer {
            Ok(machines) => {
                tracing::info!(%name, kind = %record.kind, zone = %record.zone,
                    spot = record.spot, asked = record.count, got = machines.len(), "machines provisioned");
                if machines.len() < record.count as usize {
                    refuse(record.count - machines.len() as u32);
                } else {
                    lock(&self.state).fleet.refused.remove(&place);
                }
                let mut transaction = Transaction::default()
                    .require(keys::provision_request(name), revision)
                    .remove(keys::provision_request(name));
                if !machines.is_empty() {
                    let group = MachineGroupRecord {
                        kind: record.kind.clone(),
                        zone: record.zone.clone(),
                        spot: record.spot,
                        provisioned_ms: record.at_ms,
                        machines: machines.into_iter().map(|id| (id, None)).collect(),
                    };
                    let key = keys::machine_group(name);
                    transaction = transaction
                        .require(key.clone(), Revision(0))
                        .set(key, &group);
                }
                // Unanswered, the request is repeated under its name, which the
                // cloud answers with the same machines.
                let _ = self
                    .commit_as_leader(transaction, RequestPriority::Placement)
                    .await;
            }
            Err(CloudError::NoCapacity) => {
                tracing::info!(%name, kind = %record.kind, zone = %record.zone,
                    spot = record.spot, "no capacity");
                refuse(record.count);
                let transaction = Transaction::default()
                    .require(keys::provision_request(name), revision)
                    .remove(keys::provision_request(name));
                let _ = self
                    .commit_as_leader(transaction, RequestPriority::Placement)
                    .await;
            }
            Err(error) => {
                tracing::info!(%name, %error, "provision request to be retried");
                let pause = jitter::millis(1500, 3000);
                lock(&self.state)
                    .fleet
                    .next_try
                    .insert(name.clone(), Instant::now() + pause);
            }
        }
    }

    /// Writes down where agents listen, which a new owner needs to look at a
    /// machine that it has never heard. Many come up in the same seconds, so that
    /// these are written together.
    pub(super) async fn write_addresses(&self) {
        let transaction = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            if state
                .fleet
                .last_addresses
                .is_some_and(|at| at.elapsed() < ADDRESSES)
            {
                return;
            }
            let mut changed: BTreeMap<&ProvisionId, MachineGroupRecord> = BTreeMap::new();
            for (id, held) in state.statuses.values().flat_map(|peer| &peer.owned) {
                let (Some(address), Some(record)) = (&held.address, cache.machines.get(id)) else {
                    continue;
                };
                if record.address.as_ref() == Some(address) {
                    continue;
                }
                let full = changed.len() >= self.context.config.state.txn_ops / 2;
                if full && !changed.contains_key(&record.machine_group) {
                    continue;
                }
                let Some(entry) = cache.machine_groups.get(&record.machine_group) else {
                    continue;
                };
                changed
                    .entry(&record.machine_group)
                    .or_insert_with(|| entry.value.clone())
                    .machines
                    .insert(id.clone(), Some(address.clone()));
            }
            if changed.is_empty() {
                return;
            }
            let mut transaction = Transaction::default();
            for (name, group) in &changed {
                let revision = cache
                    .machine_groups
                    .get(*name)
                    .map_or(Revision(0), |k| k.revision);
                let key = keys::machine_group(name);
                transaction = transaction.require(key.clone(), revision).set(key, group);
            }
            state.fleet.last_addresses = Some(Instant::now());
            transaction
        };
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Placement)
            .await;
    }
}
