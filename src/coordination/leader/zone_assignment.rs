//! The zones that jobs of many records are confined to.
//!
//! A job that must be in one zone and has too many run records for a placement to depend
//! on all of them (see [`ZoneScope`](crate::coordination::policy::zone_constraint::ZoneScope)) is placed
//! only in the zone that its spec names, and only while the spec is unchanged. The zone
//! is changed in two steps: taking it back voids every placement under way, since each is
//! conditional on the spec; the next one is written once the replica has passed that
//! change and shows no task of the job anywhere.

use std::time::Duration;

use tokio::time::Instant;

use super::{Leader, routing::ZoneAssignment};
use crate::{
    coordination::context::lock,
    storage::{
        JobSpec, Revision, StateCache, Transaction, ZoneName, keys, rate_limiter::RequestPriority,
        state_cache::Job,
    },
};

/// Between two changes of a job's zone, so that it does not alternate between zones
/// that others fill.
const ASSIGNMENT_CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Zones written in one pass.
const MAX_ASSIGNMENTS_PER_PASS: usize = 4;

impl Leader {
    /// Writes the zones that routing has chosen, or takes them back.
    pub(super) async fn write_zone_assignments(&self, changes: Vec<ZoneAssignment>) {
        for change in changes.into_iter().take(MAX_ASSIGNMENTS_PER_PASS) {
            if !self.may_commit_now(RequestPriority::Placement)
                || !self.may_change_assignment(&change)
            {
                continue;
            }
            let Some(transaction) = assignment_transaction(&self.context.store.cache(), &change)
            else {
                continue;
            };
            let written = self
                .commit_as_leader(transaction, RequestPriority::Placement)
                .await;
            if written.is_err() {
                self.context.store.read_barrier().await;
                return;
            }
            tracing::debug!(job = %change.job, zone = ?change.zone, "zone assigned");
            lock(&self.state)
                .zone_assignments
                .insert(change.job, Instant::now());
        }
    }

    /// A zone may follow at once on the one that was taken back.
    fn may_change_assignment(&self, change: &ZoneAssignment) -> bool {
        let mut state = lock(&self.state);
        state
            .zone_assignments
            .retain(|_, at| at.elapsed() < ASSIGNMENT_CHANGE_INTERVAL);
        change.zone.is_some() || !state.zone_assignments.contains_key(&change.job)
    }
}

/// The change of a job's spec. None: the replica can't tell yet whether it is allowed.
fn assignment_transaction(cache: &StateCache, change: &ZoneAssignment) -> Option<Transaction> {
    let job = cache.jobs.get(&change.job)?;
    let entry = job.spec.as_ref()?;
    let allowed = match &change.zone {
        None => true,
        Some(zone) => may_assign(cache, job, entry.revision, zone),
    };
    if !allowed || job.cleanup_since.is_some() {
        return None;
    }
    let spec = JobSpec {
        assigned_zone: change.zone.clone(),
        ..(*entry.value).clone()
    };
    let key = keys::spec(&change.job);
    Some(
        Transaction::default()
            .require(key.clone(), entry.revision)
            .require(keys::outcome(&change.job), Revision(0))
            .set(key, &spec),
    )
}

/// Whether no task of the job can be in another zone: every placement made under an
/// earlier spec is in the replica, and so is every machine that is still provisioned.
fn may_assign(cache: &StateCache, job: &Job, spec_revision: Revision, zone: &ZoneName) -> bool {
    let caught_up = cache
        .machine_groups
        .values()
        .all(|entry| entry.revision <= cache.revision);
    let mut zones = job
        .present_placements()
        .map(|(_, placement)| cache.machines.get(&placement.machine));
    caught_up
        && spec_revision <= cache.revision
        && zones.all(|machine| machine.is_some_and(|machine| machine.zone == *zone))
}
