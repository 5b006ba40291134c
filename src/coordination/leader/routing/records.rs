//! Places tasks of other jobs record by record, each with one owner as far as it goes.

use std::collections::BTreeSet;

use super::quota_use::QuotaUse;

use crate::{
    coordination::{
        leader::routing::{EXPIRED_OFFERS_LIMIT, QueuedJob, RECORD_AFFINITY_TIMEOUT, RoutingPass},
        policy::placement,
    },
    storage::{ControllerName, JobId, JobKind, Quota, keys, state_cache::Job},
};

impl RoutingPass<'_> {
    /// The owners that have tasks of this record, and so write it.
    pub(super) fn writers(&self, id: &JobId, job: &Job, chunk: u32) -> Vec<usize> {
        let mut controllers: BTreeSet<&ControllerName> = BTreeSet::new();
        if let Some(entry) = job.chunks.get(&chunk) {
            for placement in entry.value.placed.values() {
                if let Some((_, shard)) = self.cache.shard_of(&placement.machine) {
                    controllers.insert(&shard.value.controller);
                }
            }
        }
        for (task, offered) in self.offered.get(id).into_iter().flatten() {
            if task / keys::CHUNK == chunk {
                controllers.insert(&offered.controller);
            }
        }
        let position = |controller| {
            self.free_capacity
                .controllers
                .iter()
                .position(|other| other == controller)
        };
        controllers.into_iter().filter_map(position).collect()
    }

    /// The owner that let an offer of these tasks expire, if they have ended without a
    /// result before and there are other owners. Two such jobs with room at two owners
    /// would keep each other's only other place for good.
    fn owner_with_expired_offers(&self, id: &JobId, job: &Job, tasks: &[u32]) -> Option<usize> {
        let expired_offers = self.expired_offers.get(id)?;
        let record = &job.chunks.get(&(tasks.first()? / keys::CHUNK))?.value;
        let is_again = tasks.iter().any(|task| record.before.contains_key(task));
        let owner = self
            .free_capacity
            .controllers
            .iter()
            .position(|other| *other == expired_offers.controller);
        let refuses = expired_offers.count >= EXPIRED_OFFERS_LIMIT;
        owner.filter(|_| refuses && is_again && self.free_capacity.controllers.len() > 1)
    }

    /// The tasks of each record go to one owner as far as it has room: each
    /// further owner would write the same record, and changes of the state
    /// service are scarce. Within an owner by least estimated completion.
    pub(super) fn place_by_record(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
    ) -> Vec<(u32, usize)> {
        let QueuedJob { id, spec, job, .. } = queued;
        let factor = (self.factor)(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut placed = Vec::with_capacity(tasks.len());
        // A second writer would cost two changes for each of its results, one of
        // them refused. An owner's room comes back all the time, as array tasks
        // end; replicas do not wait for that.
        let array = spec.kind == JobKind::Array;
        for record in tasks.chunk_by(|a, b| a / keys::CHUNK == b / keys::CHUNK) {
            let mut rest = record;
            let chunk = record[0] / keys::CHUNK;
            let mut writers = self.writers(id, job, chunk);
            let key = ((*id).clone(), chunk);
            let bound = array
                && self
                    .record_affinity
                    .get(&key)
                    .is_none_or(|since| self.now.duration_since(*since) < RECORD_AFFINITY_TIMEOUT);
            let mut fits =
                placement::compare_owners(spec, &self.free_capacity.candidates, factor, rest.len());
            if let Some(owner) = self.owner_with_expired_offers(id, job, rest) {
                fits.remove(&owner);
            }
            while !rest.is_empty() {
                for (owner, fit) in &mut fits {
                    fit.tasks = fit.tasks.min(self.budget_left(*owner, spec, used));
                }
                let Some(owner) = placement::best_owner(&fits, &writers) else {
                    break;
                };
                if bound && !writers.is_empty() && !writers.contains(&owner) {
                    let now = self.now;
                    self.record_affinity.entry(key).or_insert(now);
                    break;
                }
                writers = vec![owner];
                let most = fits
                    .remove(&owner)
                    .map_or(0, |fit| fit.tasks)
                    .min(rest.len());
                let chosen = placement::fill(
                    spec,
                    &mut self.free_capacity.candidates,
                    factor,
                    most,
                    |candidate| candidate.owner == owner,
                );
                for _ in &chosen {
                    used.add(owner, &spec.team, &quota);
                }
                placed.extend(rest.iter().copied().zip(chosen.iter().copied()));
                rest = &rest[chosen.len()..];
            }
        }
        placed
    }
}
