//! Places tasks without zone constraints, one run record at a time. The tasks of a record go to
//! a single owner where possible.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    RoutingPass, TrialPlacement,
    queue_order::QueuedJob,
    quota_use::QuotaUsage,
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
    /// Returns the indices of the owners that write the run record with this index, since they
    /// run or have been offered tasks of it.
    pub(super) fn writers(&self, id: &JobId, job: &Job, record_index: u32) -> Vec<usize> {
        let mut controllers: BTreeSet<&ControllerName> = BTreeSet::new();
        if let Some(entry) = job.run_records.get(&record_index) {
            for placement in entry.value.placed.values() {
                if let Some((_, shard)) = self.cache.shard_of(&placement.machine) {
                    controllers.insert(&shard.value.controller);
                }
            }
        }
        for (task, offer) in self.outstanding_offers.get(id).into_iter().flatten() {
            if task / keys::TASKS_PER_RUN_RECORD == record_index {
                controllers.insert(&offer.controller);
            }
        }
        let controllers = controllers.into_iter();
        controllers
            .filter_map(|controller| self.free_capacity.owner_index(controller))
            .collect()
    }

    /// Returns the index of the owner to exclude for these tasks: the one that let
    /// [`EXPIRED_OFFERS_LIMIT`] consecutive offers of the job expire. This applies only if some of
    /// the tasks were placed before, ended without a result, and there are other owners. Without
    /// this exclusion, two such jobs with capacity at two owners would block each other's only
    /// alternative forever.
    fn owner_with_expired_offers(&self, id: &JobId, job: &Job, tasks: &[u32]) -> Option<usize> {
        let expired = self.expired_offers.get(id)?;
        let record = &job
            .run_records
            .get(&(tasks.first()? / keys::TASKS_PER_RUN_RECORD))?
            .value;
        let is_retry = tasks
            .iter()
            .any(|task| record.last_attempts.contains_key(task));
        let owner = self.free_capacity.owner_index(&expired.controller);
        let refuses_job = expired.count >= EXPIRED_OFFERS_LIMIT;
        owner.filter(|_| refuses_job && is_retry && self.free_capacity.controllers.len() > 1)
    }

    /// Places the tasks of each record with one owner as far as it has capacity. Each
    /// additional owner would write the same record, and the rate of changes of the state
    /// service is limited. The machines of an owner are chosen by least estimated completion.
    pub(super) fn place_by_record(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUsage,
    ) -> Vec<TrialPlacement> {
        let mut placed = Vec::with_capacity(tasks.len());
        for record_tasks in
            tasks.chunk_by(|a, b| a / keys::TASKS_PER_RUN_RECORD == b / keys::TASKS_PER_RUN_RECORD)
        {
            self.place_record(queued, record_tasks, used, &mut placed);
        }
        placed
    }

    /// Places tasks of one record, trying one owner after the other.
    fn place_record(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUsage,
        placed: &mut Vec<TrialPlacement>,
    ) {
        let QueuedJob { id, spec, job, .. } = queued;
        let run_time_factor = (self.run_time_factor)(&spec.class);
        let record_index = tasks[0] / keys::TASKS_PER_RUN_RECORD;
        let waits_for_writers = self.waits_for_writers(queued, record_index);
        let mut remaining = tasks;
        let mut writers = self.writers(id, job, record_index);
        let candidates = &self.free_capacity.candidates;
        let mut fits = compare_owners(spec, candidates, run_time_factor, remaining.len());
        if let Some(owner) = self.owner_with_expired_offers(id, job, remaining) {
            fits.remove(&owner);
        }
        while !remaining.is_empty() {
            self.cap_to_budgets(&mut fits, queued, used);
            let Some(owner) = best_owner(&fits, &writers) else {
                return;
            };
            if waits_for_writers && !writers.is_empty() && !writers.contains(&owner) {
                let now = self.now;
                let key = ((*id).clone(), record_index);
                self.record_affinity.entry(key).or_insert(now);
                return;
            }
            writers = vec![owner];
            let fit = fits.remove(&owner).map_or(0, |fit| fit.tasks);
            let count = fit.min(remaining.len());
            let chosen = self.fill_owner(queued, owner, run_time_factor, count, used);
            let trials = remaining.iter().zip(&chosen);
            placed.extend(trials.map(|(task, candidate)| TrialPlacement {
                task: *task,
                candidate: *candidate,
            }));
            remaining = &remaining[chosen.len()..];
        }
    }

    /// Whether tasks of the record wait for capacity at the owners that already write it. A second
    /// writer would cost two changes for each of its results, one of which conflicts. Array tasks
    /// end all the time and free capacity at the owner; replicas do not wait for that.
    fn waits_for_writers(&self, queued: &QueuedJob<'_>, record_index: u32) -> bool {
        let since = self.record_affinity.get(&(queued.id.clone(), record_index));
        let affinity_expired =
            since.is_some_and(|since| self.now.duration_since(*since) >= RECORD_AFFINITY_TIMEOUT);
        queued.spec.kind == JobKind::Array && !affinity_expired
    }

    fn cap_to_budgets(
        &self,
        fits: &mut BTreeMap<usize, OwnerFit>,
        queued: &QueuedJob<'_>,
        used: &QuotaUsage,
    ) {
        for (owner, fit) in fits {
            let budget_left = self.budget_left(*owner, queued.spec, used);
            fit.tasks = fit.tasks.min(budget_left);
        }
    }

    /// Places up to `count` tasks on the owner's machines and returns the candidate indices.
    fn fill_owner(
        &mut self,
        queued: &QueuedJob<'_>,
        owner: usize,
        run_time_factor: f64,
        count: usize,
        used: &mut QuotaUsage,
    ) -> Vec<usize> {
        let spec = queued.spec;
        let quota = Quota::from(&spec.per_task);
        let candidates = &mut self.free_capacity.candidates;
        let chosen =
            placement::place_tasks(spec, candidates, run_time_factor, count, |candidate| {
                candidate.owner == owner
            });
        for _ in &chosen {
            used.add(owner, &spec.team, &quota);
        }
        chosen
    }
}
