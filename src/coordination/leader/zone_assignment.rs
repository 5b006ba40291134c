//! The zones that jobs of many records are confined to.
//!
//! A job that must be in one zone and has too many run records for a placement to depend
//! on all of them (see [`ZoneScope`](super::super::policy::zones::ZoneScope)) is placed
//! only in the zone that its spec names, and only while the spec is unchanged. The zone
//! is changed in two steps: taking it back voids every placement under way, since each is
//! conditional on the spec; the next one is written once the replica has passed that
//! change and shows no task of the job anywhere.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    super::node::{Node, lock},
    routing::HomeChange,
};
use crate::storage::{
    JobSpec, Revision, StateCache, Transaction, ZoneName, budget::Urgency, keys, state_cache::Job,
};

/// Between two changes of a job's zone, so that it does not go to and fro between zones
/// that others fill.
const REST: Duration = Duration::from_secs(5);
/// Zones written in one pass.
const HOMES_PER_PASS: usize = 4;

impl Node {
    /// Writes the zones that routing has chosen, or takes them back.
    pub(super) async fn write_homes(&self, changes: Vec<HomeChange>) {
        for change in changes.into_iter().take(HOMES_PER_PASS) {
            if self.store.commit_wait(Urgency::Place).is_some() || !self.may_change_home(&change) {
                continue;
            }
            let Some(transaction) = home_transaction(&self.store.cache(), &change) else {
                continue;
            };
            let written = self.commit_as_leader(transaction, Urgency::Place).await;
            if written.is_err() {
                self.store.fresh().await;
                return;
            }
            tracing::debug!(job = %change.job, zone = ?change.zone, "zone of the job");
            lock(&self.leader).homes.insert(change.job, Instant::now());
        }
    }

    /// A zone may follow at once on the one that was taken back.
    fn may_change_home(&self, change: &HomeChange) -> bool {
        let mut state = lock(&self.leader);
        state.homes.retain(|_, at| at.elapsed() < REST);
        change.zone.is_some() || !state.homes.contains_key(&change.job)
    }
}

/// The change of a job's spec; none if the replica can't tell yet that it is allowed.
fn home_transaction(cache: &StateCache, change: &HomeChange) -> Option<Transaction> {
    let job = cache.jobs.get(&change.job)?;
    let kept = job.spec.as_ref()?;
    let allowed = match &change.zone {
        None => true,
        Some(zone) => may_settle(cache, job, kept.revision, zone),
    };
    if !allowed || job.draining.is_some() {
        return None;
    }
    let spec = JobSpec {
        home: change.zone.clone(),
        ..(*kept.value).clone()
    };
    let key = keys::spec(&change.job);
    Some(
        Transaction::default()
            .require(key.clone(), kept.revision)
            .require(keys::fate(&change.job), Revision(0))
            .set(key, &spec),
    )
}

/// Whether no task of the job can be in another zone: every placement made under an
/// earlier spec is in the replica, and so is every machine that is still rented.
fn may_settle(cache: &StateCache, job: &Job, spec: Revision, zone: &ZoneName) -> bool {
    let caught_up = cache
        .rentals
        .values()
        .all(|kept| kept.revision <= cache.revision);
    let mut zones = job
        .present_placements()
        .map(|(_, placement)| cache.machines.get(&placement.machine));
    caught_up
        && spec <= cache.revision
        && zones.all(|machine| machine.is_some_and(|machine| machine.zone == *zone))
}
