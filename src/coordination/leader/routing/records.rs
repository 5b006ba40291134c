//! Places tasks that are bound to no zone, run record by run record, each with one owner as
//! far as it goes.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    RoutingPass, TrialPlacement,
    queue_order::QueuedJob,
    quota_use::QuotaUse,
    state::{EXPIRED_OFFERS_LIMIT, RECORD_AFFINITY_TIMEOUT},
};
use crate::{
    coordination::policy::{
        owner_choice::{OwnerFit, best_owner, compare_owners},
        placement,
    },
    storage::{ControllerName, JobId, JobKind, Quota, keys, state_cache::Job},
};

impl RoutingPass<'_> {
    /// The owners that have tasks of this record, and so write it, by index.
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
        let controllers = controllers.into_iter();
        controllers
            .filter_map(|controller| self.free_capacity.owner_index(controller))
            .collect()
    }

    /// The owner that let an offer of these tasks expire, if they have ended without a
    /// result before and there are other owners. Two such jobs with room at two owners
    /// would keep each other's only other place for good.
    fn owner_with_expired_offers(&self, id: &JobId, job: &Job, tasks: &[u32]) -> Option<usize> {
        let expired = self.expired_offers.get(id)?;
        let record = &job.chunks.get(&(tasks.first()? / keys::CHUNK))?.value;
        let is_again = tasks
            .iter()
            .any(|task| record.last_attempts.contains_key(task));
        let owner = self.free_capacity.owner_index(&expired.controller);
        let refuses = expired.count >= EXPIRED_OFFERS_LIMIT;
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
    ) -> Vec<TrialPlacement> {
        let mut placed = Vec::with_capacity(tasks.len());
        for record_tasks in tasks.chunk_by(|a, b| a / keys::CHUNK == b / keys::CHUNK) {
            self.place_record(queued, record_tasks, used, &mut placed);
        }
        placed
    }

    /// Places tasks of one record, with one owner after the other.
    fn place_record(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
        placed: &mut Vec<TrialPlacement>,
    ) {
        let QueuedJob { id, spec, job, .. } = queued;
        let factor = (self.factor)(&spec.class);
        let chunk = tasks[0] / keys::CHUNK;
        let keeps_to_writers = self.keeps_to_writers(queued, chunk);
        let mut rest = tasks;
        let mut writers = self.writers(id, job, chunk);
        let candidates = &self.free_capacity.candidates;
        let mut fits = compare_owners(spec, candidates, factor, rest.len());
        if let Some(owner) = self.owner_with_expired_offers(id, job, rest) {
            fits.remove(&owner);
        }
        while !rest.is_empty() {
            self.keep_within_budgets(&mut fits, queued, used);
            let Some(owner) = best_owner(&fits, &writers) else {
                return;
            };
            if keeps_to_writers && !writers.is_empty() && !writers.contains(&owner) {
                let now = self.now;
                let key = ((*id).clone(), chunk);
                self.record_affinity.entry(key).or_insert(now);
                return;
            }
            writers = vec![owner];
            let fit = fits.remove(&owner).map_or(0, |fit| fit.tasks);
            let count = fit.min(rest.len());
            let chosen = self.fill_owner(queued, owner, factor, count, used);
            let trials = rest.iter().zip(&chosen);
            placed.extend(trials.map(|(task, candidate)| TrialPlacement {
                task: *task,
                candidate: *candidate,
            }));
            rest = &rest[chosen.len()..];
        }
    }

    /// Whether the record waits for room at the owners that write it already. A second
    /// writer would cost two changes for each of its results, one of them refused. An
    /// owner's room comes back all the time, as array tasks end; replicas do not wait for
    /// that.
    fn keeps_to_writers(&self, queued: &QueuedJob<'_>, chunk: u32) -> bool {
        let since = self.record_affinity.get(&(queued.id.clone(), chunk));
        let is_due =
            since.is_some_and(|since| self.now.duration_since(*since) >= RECORD_AFFINITY_TIMEOUT);
        queued.spec.kind == JobKind::Array && !is_due
    }

    fn keep_within_budgets(
        &self,
        fits: &mut BTreeMap<usize, OwnerFit>,
        queued: &QueuedJob<'_>,
        used: &QuotaUse,
    ) {
        for (owner, fit) in fits {
            let budget_left = self.budget_left(*owner, queued.spec, used);
            fit.tasks = fit.tasks.min(budget_left);
        }
    }

    /// Puts up to `count` tasks on the owner's machines; returns the candidates' indices.
    fn fill_owner(
        &mut self,
        queued: &QueuedJob<'_>,
        owner: usize,
        factor: f64,
        count: usize,
        used: &mut QuotaUse,
    ) -> Vec<usize> {
        let spec = queued.spec;
        let quota = Quota::from(&spec.per_task);
        let candidates = &mut self.free_capacity.candidates;
        let chosen = placement::fill(spec, candidates, factor, count, |candidate| {
            candidate.owner == owner
        });
        for _ in &chosen {
            used.add(owner, &spec.team, &quota);
        }
        chosen
    }
}
