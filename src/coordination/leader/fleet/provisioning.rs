//! Records provision requests, sends them to the cloud and records the results.
//!
//! A request is recorded before it is sent, under a name that is never used again, and is sent
//! under that name until the cloud responds to it. The cloud returns the same machines each time
//! that it receives the same name, so a later leader can finish the requests of an earlier one.

use std::sync::Arc;

use tokio::time::Instant;

use super::provisioning_options::{CapacityRefusal, ProvisionTarget};
use crate::{
    coordination::{
        clients::{CloudError, ProvisionRequest},
        context::lock,
        leader::{Leader, commit::CHANGES_OF_COMMIT_ONCE, pool::ProvisionPlan},
    },
    storage::{
        MachineId, ProvisionId, Revision, Transaction, jitter, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::{MachineGroupRecord, ProvisionRecord},
    },
};

/// Maximum number of provision requests that one pass starts to send; the rate limiter of the
/// cloud delays them further.
const MAX_PROVISION_CALLS_PER_PASS: usize = 12;
/// Maximum number of provision requests written in one commit.
const MAX_PROVISION_REQUESTS_PER_COMMIT: usize = 8;
/// Prefix of the names of provision requests.
const PROVISION_ID_PREFIX: &str = "r";
/// Bounds of the random delay before a failed request is sent again, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 1500;
const MAX_RETRY_DELAY_MS: u64 = 3000;

/// A recorded provision request with its name.
struct NamedRequest {
    name: ProvisionId,
    record: ProvisionRecord,
}

impl Leader {
    /// Records provision requests, several in one commit. Stops at the first commit that fails.
    pub(super) async fn record_provision_requests(&self, plans: &[ProvisionPlan]) {
        let max_requests = self
            .context
            .config
            .state_limits
            .txn_ops
            .saturating_sub(CHANGES_OF_COMMIT_ONCE)
            .clamp(1, MAX_PROVISION_REQUESTS_PER_COMMIT);
        for batch in plans.chunks(max_requests) {
            let mut transaction = Transaction::default();
            for plan in batch {
                let name = lock(&self.state)
                    .fleet
                    .next_provision_id(PROVISION_ID_PREFIX, self.context.config.incarnation);
                let record = ProvisionRecord {
                    machine_type: plan.pool.machine_type.clone(),
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
                .commit_once_as_leader(transaction, RequestPriority::Placement)
                .await;
            if committed.is_err() {
                return;
            }
        }
    }

    /// Sends the recorded provision requests that are due, including those of earlier leaders.
    /// Each is sent under its own name until it is answered.
    pub(super) fn send_provision_requests(self: &Arc<Self>, cloud_rate_limiter: &Arc<RateLimiter>) {
        for request in self.take_due_requests() {
            let leader = self.clone();
            let cloud_rate_limiter = cloud_rate_limiter.clone();
            tokio::spawn(async move {
                cloud_rate_limiter
                    .acquire(1.0, RequestPriority::Fencing)
                    .await;
                leader.provision(&request).await;
                lock(&leader.state)
                    .fleet
                    .requests_in_flight
                    .remove(&request.name);
            });
        }
    }

    /// Returns the requests that are due to be sent, and marks them as in flight.
    fn take_due_requests(&self) -> Vec<NamedRequest> {
        let cache = self.context.store.cache();
        let mut state = lock(&self.state);
        let now = Instant::now();
        let fleet = &mut state.fleet;
        fleet
            .next_attempt_at
            .retain(|name, _| cache.provision_requests.contains_key(name));
        let is_due = |name: &ProvisionId| {
            !fleet.requests_in_flight.contains(name)
                && fleet.next_attempt_at.get(name).is_none_or(|at| *at <= now)
        };
        let due: Vec<NamedRequest> = cache
            .provision_requests
            .iter()
            .filter(|(name, _)| is_due(name))
            .take(MAX_PROVISION_CALLS_PER_PASS)
            .map(|(name, entry)| NamedRequest {
                name: name.clone(),
                record: entry.value.clone(),
            })
            .collect();
        let names = due.iter().map(|request| request.name.clone());
        fleet.requests_in_flight.extend(names);
        due
    }

    /// Sends one request to the cloud and records its response, or schedules a retry.
    async fn provision(&self, request: &NamedRequest) {
        let NamedRequest { name, record } = request;
        let machine_request = ProvisionRequest {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            count: record.count,
        };
        let response = self.context.cloud.provision(name, &machine_request).await;
        let (revision, is_recorded) = {
            let cache = self.context.store.cache();
            let Some(entry) = cache.provision_requests.get(name) else {
                return;
            };
            (entry.revision, cache.machine_groups.contains_key(name))
        };
        match response {
            // The request is removed when its machines are recorded. One that is there beside them
            // was restored by a copy of the commit of an earlier version, which did not prevent
            // that; it would count as machines on their way for good.
            _ if is_recorded => {
                tracing::info!(%name, "removing a provision request that was answered before");
                self.finish_request(name, revision, None).await;
            }
            Ok(machines) => self.record_provisioned(request, revision, machines).await,
            Err(CloudError::NoCapacity) => {
                tracing::info!(%name, kind = %record.machine_type, zone = %record.zone,
                    spot = record.spot, "no capacity");
                self.record_refusal(record, record.count);
                self.finish_request(name, revision, None).await;
            }
            Err(error) => {
                tracing::info!(%name, %error, "provision request to be retried");
                let delay = jitter::millis(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
                lock(&self.state)
                    .fleet
                    .next_attempt_at
                    .insert(name.clone(), Instant::now() + delay);
            }
        }
    }

    /// Records the machines that the cloud provisioned for a request, possibly fewer than it asked
    /// for.
    async fn record_provisioned(
        &self,
        request: &NamedRequest,
        revision: Revision,
        machines: Vec<MachineId>,
    ) {
        let NamedRequest { name, record } = request;
        tracing::info!(%name, kind = %record.machine_type, zone = %record.zone,
            spot = record.spot, asked = record.count, got = machines.len(), "machines provisioned");
        if machines.len() < record.count as usize {
            self.record_refusal(record, record.count - machines.len() as u32);
        } else {
            let target = ProvisionTarget::from(record);
            lock(&self.state).fleet.refused_targets.remove(&target);
        }
        let group = (!machines.is_empty()).then(|| MachineGroupRecord {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            provisioned_ms: record.at_ms,
            machines: machines.into_iter().map(|id| (id, None)).collect(),
        });
        // If this commit fails, the request is sent again under its name, and the cloud responds
        // with the same machines.
        self.finish_request(name, revision, group).await;
    }

    /// Records that the cloud refused `missing` of the machines that a request asked for.
    fn record_refusal(&self, record: &ProvisionRecord, missing: u32) {
        let target = ProvisionTarget::from(record);
        let mut state = lock(&self.state);
        let fleet = &mut state.fleet;
        let refusal = CapacityRefusal::after(fleet.refused_targets.get(&target), Instant::now());
        fleet.refused_targets.insert(target, refusal);
        fleet.unfilled_machines = fleet.unfilled_machines.max(missing);
        // Makes the remedial rule due at once, so that it requests the machines from the next best
        // target.
        fleet.last_remedial_evaluation = None;
    }

    /// Removes an answered request and records the resulting machines, if any.
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
        // Ignoring a failure is safe: the request is still recorded, and is sent again.
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Placement)
            .await;
    }
}
