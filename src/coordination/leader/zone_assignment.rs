//! Assigns zones to large jobs that must run in a single zone.
//!
//! A job that must run in one zone and has too many run records for a placement to be conditional
//! on all of them (see [`ZoneScope`](crate::coordination::policy::zone_constraint::ZoneScope)) is
//! placed only in the zone that its spec names, and only while the spec is unchanged. The zone is
//! changed in two steps. Removing it makes every placement in flight fail, since each is
//! conditional on the spec. The next zone is written once the state cache has applied that change
//! and shows no task of the job in another zone.

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

/// Minimum time after a change of a job's zone before the zone is removed again, so that the
/// job does not alternate between zones that other jobs fill.
const ASSIGNMENT_CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of jobs whose zone is changed in one pass.
const MAX_ASSIGNMENTS_PER_PASS: usize = 4;

impl Leader {
    /// Writes the zone assignments that routing has chosen, and removes those that it revoked.
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
            tracing::debug!(job = %change.job, zone = ?change.zone, "zone assignment changed");
            lock(&self.state)
                .zone_changed_at
                .insert(change.job, Instant::now());
        }
    }

    /// Whether a job's zone may be changed now. A zone may be assigned at any time, also right
    /// after another one was removed; removing a zone must wait for
    /// [`ASSIGNMENT_CHANGE_INTERVAL`] after the last change.
    fn may_change_assignment(&self, change: &ZoneAssignment) -> bool {
        let mut state = lock(&self.state);
        state
            .zone_changed_at
            .retain(|_, at| at.elapsed() < ASSIGNMENT_CHANGE_INTERVAL);
        change.zone.is_some() || !state.zone_changed_at.contains_key(&change.job)
    }
}

/// Returns the transaction that changes the zone in a job's spec, or none if the change is not
/// allowed now: the job is unknown or finished, or the state cache does not prove that no task is
/// in another zone.
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

/// Whether no task of the job can be in another zone. This requires that the state cache includes
/// every placement made under an earlier spec and every machine that is still provisioned.
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
