//! Writes down provision requests, sends them and writes down what came of them.
//!
//! A request is written before it is sent, under a name that is never used again. It is sent
//! under that name until it is answered, which the cloud answers with the same machines each
//! time; so a request outlives the leader that wrote it.

use std::sync::Arc;

use tokio::time::Instant;

use super::market::{CapacityRefusal, ProvisionTarget};
use crate::{
    coordination::{
        clients::{CloudError, ProvisionRequest},
        context::lock,
        leader::{Leader, pool::ProvisionPlan},
    },
    storage::{
        MachineId, ProvisionId, Revision, Transaction, jitter, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::{MachineGroupRecord, ProvisionRecord},
    },
};

/// Provision calls under way at a time; the cloud's limit paces them.
const MAX_PROVISION_CALLS: usize = 12;
/// Provision requests written in one commit.
const PROVISION_REQUESTS_PER_COMMIT: usize = 8;
/// Prefix of the names of provision requests.
const PROVISION_ID_PREFIX: &str = "r";
/// Pause before a request that failed is sent again, in milliseconds.
const MIN_RETRY_PAUSE_MS: u64 = 1500;
const MAX_RETRY_PAUSE_MS: u64 = 3000;

/// A provision request that is written down, with its name.
struct NamedRequest {
    name: ProvisionId,
    record: ProvisionRecord,
}

impl Leader {
    /// Writes requests down before they are sent, several in one commit. Stops at the first
    /// commit that fails.
    pub(super) async fn record_provision_requests(&self, plans: &[ProvisionPlan]) {
        let max_requests = self
            .context
            .config
            .state_limits
            .txn_ops
            .min(PROVISION_REQUESTS_PER_COMMIT);
        for part in plans.chunks(max_requests) {
            let mut transaction = Transaction::default();
            for plan in part {
                let name = lock(&self.state)
                    .fleet
                    .next_provision_id(PROVISION_ID_PREFIX, self.context.config.incarnation);
                let record = ProvisionRecord {
                    kind: plan.pool.kind.clone(),
                    zone: plan.zone.clone(),
                    spot: plan.pool.spot,
                    count: plan.count,
                    at_ms: self.context.config.now_ms(),
                };
                let key = keys::provision_request(&name);
                transaction = transaction
                    .require(key.clone(), Revision(0))
                    .set(key, &record);
            }
            let committed = self
                .commit_as_leader(transaction, RequestPriority::Placement)
                .await;
            if committed.is_err() {
                return;
            }
        }
    }

    /// Sends the provision requests that are written down, each under its own name until it
    /// is answered; also those that an earlier leader left.
    pub(super) fn send_provision_requests(self: &Arc<Self>, budget: &Arc<RateLimiter>) {
        for request in self.take_due_requests() {
            let leader = self.clone();
            let budget = budget.clone();
            tokio::spawn(async move {
                budget.acquire(1.0, RequestPriority::Fencing).await;
                leader.provision(&request).await;
                lock(&leader.state).fleet.in_flight.remove(&request.name);
            });
        }
    }

    fn take_due_requests(&self) -> Vec<NamedRequest> {
        let cache = self.context.store.cache();
        let mut state = lock(&self.state);
        let now = Instant::now();
        let fleet = &mut state.fleet;
        fleet
            .next_try
            .retain(|name, _| cache.provision_requests.contains_key(name));
        let is_due = |name: &ProvisionId| {
            !fleet.in_flight.contains(name) && fleet.next_try.get(name).is_none_or(|at| *at <= now)
        };
        let due: Vec<NamedRequest> = cache
            .provision_requests
            .iter()
            .filter(|(name, _)| is_due(name))
            .take(MAX_PROVISION_CALLS)
            .map(|(name, entry)| NamedRequest {
                name: name.clone(),
                record: entry.value.clone(),
            })
            .collect();
        let names = due.iter().map(|request| request.name.clone());
        fleet.in_flight.extend(names);
        due
    }

    /// Sends one request to the cloud, and writes down its answer.
    async fn provision(&self, request: &NamedRequest) {
        let NamedRequest { name, record } = request;
        let wanted = ProvisionRequest {
            kind: record.kind.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            count: record.count,
        };
        let answer = self.context.cloud.provision(name, &wanted).await;
        let revision = {
            let cache = self.context.store.cache();
            match cache.provision_requests.get(name) {
                Some(entry) => entry.revision,
                None => return,
            }
        };
        match answer {
            Ok(machines) => self.record_provisioned(request, revision, machines).await,
            Err(CloudError::NoCapacity) => {
                tracing::info!(%name, kind = %record.kind, zone = %record.zone,
                    spot = record.spot, "no capacity");
                self.note_refusal(record, record.count);
                self.finish_request(name, revision, None).await;
            }
            Err(error) => {
                tracing::info!(%name, %error, "provision request to be retried");
                let pause = jitter::millis(MIN_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
                lock(&self.state)
                    .fleet
                    .next_try
                    .insert(name.clone(), Instant::now() + pause);
            }
        }
    }

    /// The cloud has provisioned machines, perhaps fewer than were asked for.
    async fn record_provisioned(
        &self,
        request: &NamedRequest,
        revision: Revision,
        machines: Vec<MachineId>,
    ) {
        let NamedRequest { name, record } = request;
        tracing::info!(%name, kind = %record.kind, zone = %record.zone,
            spot = record.spot, asked = record.count, got = machines.len(), "machines provisioned");
        if machines.len() < record.count as usize {
            self.note_refusal(record, record.count - machines.len() as u32);
        } else {
            let target = ProvisionTarget::from(record);
            lock(&self.state).fleet.refused.remove(&target);
        }
        let group = (!machines.is_empty()).then(|| MachineGroupRecord {
            kind: record.kind.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            provisioned_ms: record.at_ms,
            machines: machines.into_iter().map(|id| (id, None)).collect(),
        });
        // Unanswered, the request is repeated under its name, which the
        // cloud answers with the same machines.
        self.finish_request(name, revision, group).await;
    }

    /// The cloud lacks so many machines of those that a request asked for.
    fn note_refusal(&self, record: &ProvisionRecord, missing: u32) {
        let target = ProvisionTarget::from(record);
        let mut state = lock(&self.state);
        let fleet = &mut state.fleet;
        let refusal = CapacityRefusal::after(fleet.refused.get(&target), Instant::now());
        fleet.refused.insert(target, refusal);
        fleet.unfilled = fleet.unfilled.max(missing);
        // The next best place is asked at once.
        fleet.last_remedial = None;
    }

    /// Removes an answered request, and records the machines that came of it.
    async fn finish_request(
        &self,
        name: &ProvisionId,
        revision: Revision,
        group: Option<MachineGroupRecord>,
    ) {
        let mut transaction = Transaction::default()
            .require(keys::provision_request(name), revision)
            .remove(keys::provision_request(name));
        if let Some(group) = group {
            let key = keys::machine_group(name);
            transaction = transaction
                .require(key.clone(), Revision(0))
                .set(key, &group);
        }
        // A commit that fails leaves the request as it was, to be sent again.
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Placement)
            .await;
    }
}
