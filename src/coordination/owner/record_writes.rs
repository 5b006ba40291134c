//! Builds the part of a transaction that writes one run record, with its conditions.

use super::{ShardOwner, offered_jobs::depends_on_all_records, planned_changes::RecordChange};
use crate::storage::{
    JobOutcome, JobSpec, Revision, StateCache, Transaction, keys, records::OutcomeRecord,
    state_cache::Job,
};

impl ShardOwner {
    /// Builds the transaction part for one run record, without the condition on the quota
    /// allocation, and sets the flags of the change that depend on the cache. Returns `None`
    /// if the cache has no such job any more, or if the change places tasks and the cache has
    /// no spec of the job.
    pub(super) fn record_transaction(
        &self,
        cache: &StateCache,
        change: &mut RecordChange,
    ) -> Option<Transaction> {
        let job = cache.jobs.get(&change.id)?;
        let spec = job.spec();
        change.is_best_effort_array = spec.is_some_and(|spec| spec.is_best_effort_array());
        change.shared = self.is_shared(cache, job, change.record_index);
        let key = keys::run(&change.id, change.record_index);
        let mut part =
            Transaction::default().require(key.clone(), job.run_revision(change.record_index));
        for (shard, revision) in &change.shards {
            part = part.require(keys::shard(*shard), *revision);
        }
        if let Some(spec) = spec
            && spec.tasks <= keys::TASKS_PER_RUN_RECORD
            && change.record.done_count() >= spec.tasks
            && job.cleanup_since.is_none()
        {
            change.finishes_job = true;
            return Some(finish_job(part, change, spec));
        }
        part = part.set(key, &change.record);
        if change.has_placements {
            part = self.require_for_placement(part, change, job)?;
        }
        Some(part)
    }

    /// Whether tasks of this record are placed on a machine of another owner, who then writes
    /// the record as well.
    fn is_shared(&self, cache: &StateCache, job: &Job, record_index: u32) -> bool {
        let entry = job.run_records.get(&record_index);
        let placed = entry.iter().flat_map(|entry| entry.value.placed.values());
        let mut machines = placed.map(|placement| &placement.machine);
        machines.any(|machine| {
            cache.machines.contains_key(machine)
                && self.context.own_shard_of(cache, machine).is_none()
        })
    }

    /// Adds the conditions of a placement: the job is not over, and its spec has not changed
    /// since the plan. If the placement depends on where the job's other tasks are, none of
    /// the job's other run records may have changed either. Returns `None` if the cache has
    /// no spec of the job.
    fn require_for_placement(
        &self,
        part: Transaction,
        change: &RecordChange,
        job: &Job,
    ) -> Option<Transaction> {
        let spec = job.spec.as_ref()?;
        let mut part = part
            .require(keys::outcome(&change.id), Revision(0))
            .require(keys::spec(&change.id), spec.revision);
        if depends_on_all_records(&spec.value, self.context.config.state_limits.txn_ops) {
            for record_index in 0..spec.value.run_record_count() {
                if record_index != change.record_index {
                    part = part.require(
                        keys::run(&change.id, record_index),
                        job.run_revision(record_index),
                    );
                }
            }
        }
        Some(part)
    }
}

/// Adds the outcome of a job that has a single run record, and the removal of the job's keys.
fn finish_job(part: Transaction, change: &RecordChange, spec: &JobSpec) -> Transaction {
    let outcome = OutcomeRecord {
        outcome: JobOutcome::Done,
        done: spec.tasks,
    };
    part.require(keys::outcome(&change.id), Revision(0))
        .set(keys::outcome(&change.id), &outcome)
        .remove(keys::run(&change.id, 0))
        .remove(keys::spec(&change.id))
}
