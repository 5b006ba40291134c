//! Removes the records of finished jobs, and placements of tasks whose machines are
//! terminated.
//!
//! Runs once in each of the leader's passes, as far as the state service's rate limit
//! allows. Every change is conditional on the records that it is based on.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{Leader, shard_leasing::MAX_OPS_PER_COMMIT};
use crate::{
    coordination::context::lock,
    storage::{
        JobId, JobOutcome, MachineId, Revision, StateCache, Transaction, keys,
        rate_limiter::RequestPriority, records::OutcomeRecord, state_cache::Job,
    },
};

/// Tasks whose machine is terminated and that are not placed elsewhere within this time are
/// recorded as waiting.
const LOST_TASK_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of cleanup transactions in a pass.
const MAX_CLEANUP_TRANSACTIONS: usize = 24;
/// Maximum number of these that remove records of finished jobs.
const MAX_JOB_TRANSACTIONS: usize = MAX_CLEANUP_TRANSACTIONS / 2;
/// Number of a job's records that a cleanup transaction changes in addition to its run records:
/// its spec and its cleanup mark or outcome.
const NON_RUN_RECORDS_PER_JOB: usize = 2;
/// Maximum number of conditions in a commit, per operation that a commit may have.
const CONDITIONS_PER_OPERATION: usize = 3;

/// Identifies a run record by its job and its index within the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunRecordId<'a> {
    job: &'a JobId,
    record_index: u32,
}

impl Leader {
    /// Ends jobs whose tasks are all done, and removes the records of finished jobs and
    /// placements of tasks whose machines are terminated.
    pub(super) async fn clean_up(&self) {
        let transactions = self.plan_cleanup();
        let has_more = transactions.len() >= MAX_JOB_TRANSACTIONS;
        self.commit_cleanup(transactions).await;
        if has_more {
            self.context.leader_wakeup.notify_one();
        }
    }

    /// Returns the transactions of this pass.
    fn plan_cleanup(&self) -> Vec<Transaction> {
        let cache = self.context.store.cache();
        let caught_up = cache
            .machine_groups
            .values()
            .all(|entry| entry.revision <= cache.revision);
        let max_operations = self.context.config.state_limits.txn_ops;
        let mut transactions: Vec<Transaction> = Vec::new();
        for id in &cache.pending_cleanup {
            if transactions.len() >= MAX_JOB_TRANSACTIONS {
                break;
            }
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            transactions.extend(job_cleanup(&cache, id, job, caught_up, max_operations));
        }
        if caught_up {
            let mut state = lock(&self.state);
            let lost = lost_tasks(&cache, &mut state.terminated_since, Instant::now());
            unplace_lost_tasks(&cache, lost, &mut transactions);
        }
        transactions
    }

    /// Commits the transactions, merging them as far as the limits of one commit allow. Stops
    /// at the first failure, and when the rate limit is reached.
    async fn commit_cleanup(&self, transactions: Vec<Transaction>) {
        let max_operations = self.context.config.state_limits.txn_ops;
        let fits_in_commit = |batch: &Transaction, next: &Transaction| {
            batch.operations.len() + next.operations.len() <= max_operations.min(MAX_OPS_PER_COMMIT)
                && batch.conditions.len() + next.conditions.len()
                    < CONDITIONS_PER_OPERATION * max_operations
        };
        let mut transactions = transactions.into_iter().peekable();
        while let Some(mut batch) = transactions.next() {
            while let Some(next) = transactions.next_if(|next| fits_in_commit(&batch, next)) {
                batch.merge(next);
            }
            let committed = self
                .commit_as_leader(batch, RequestPriority::Placement)
                .await;
            if committed.is_err() {
                self.context.store.read_barrier().await;
                return;
            }
            if !self.may_commit_now(RequestPriority::Placement) {
                return;
            }
        }
    }
}

/// Returns the next step in ending a job or removing its records, if one is due.
fn job_cleanup(
    cache: &StateCache,
    id: &JobId,
    job: &Job,
    caught_up: bool,
    max_operations: usize,
) -> Option<Transaction> {
    let Some(cleanup_since) = job.cleanup_since else {
        return job.all_done().then(|| end_job(id, job, max_operations));
    };
    // The job's outcome was written together with the cleanup mark, so that no task is placed
    // after it. Placements from before the mark are all in the cache only once the cache has
    // reached the mark's revision.
    let is_unplaced = job.placed_tasks == 0 || (caught_up && job.present_tasks() == 0);
    (cleanup_since <= cache.revision && is_unplaced)
        .then(|| remove_job_records(id, job, max_operations))
}

/// Removes the records of a job whose outcome is written, over several passes if they exceed
/// one commit.
fn remove_job_records(id: &JobId, job: &Job, max_operations: usize) -> Transaction {
    let max_run_records = max_operations - NON_RUN_RECORDS_PER_JOB;
    let mut transaction = Transaction::default();
    for record_index in job.run_records.keys().take(max_run_records) {
        transaction = transaction.remove(keys::run(id, *record_index));
    }
    if job.run_records.len() <= max_run_records {
        transaction = transaction.remove(keys::spec(id)).remove(keys::cleanup(id));
    }
    transaction
}

/// Writes the outcome of a job whose tasks are all done, and removes its records if they fit
/// into one commit; otherwise marks them for removal.
fn end_job(id: &JobId, job: &Job, max_operations: usize) -> Transaction {
    let outcome = OutcomeRecord {
        outcome: JobOutcome::Done,
        done: job.completed_tasks,
    };
    let mut transaction = Transaction::default()
        .require(keys::outcome(id), Revision(0))
        .set(keys::outcome(id), &outcome);
    if job.run_records.len() + NON_RUN_RECORDS_PER_JOB > max_operations {
        return transaction.set(keys::cleanup(id), &1);
    }
    for record_index in job.run_records.keys() {
        transaction = transaction.remove(keys::run(id, *record_index));
    }
    transaction.remove(keys::spec(id))
}

/// Returns, by run record, the tasks whose machines have been terminated for
/// [`LOST_TASK_TIMEOUT`] or longer. Records in `terminated_since` when each such machine was
/// first found terminated.
fn lost_tasks<'a>(
    cache: &'a StateCache,
    terminated_since: &mut BTreeMap<MachineId, Instant>,
    now: Instant,
) -> BTreeMap<RunRecordId<'a>, Vec<u32>> {
    terminated_since.retain(|machine, _| cache.machine_loads.contains_key(machine));
    let mut lost: BTreeMap<RunRecordId<'_>, Vec<u32>> = BTreeMap::new();
    for (machine, load) in &cache.machine_loads {
        if cache.machines.contains_key(machine) {
            continue;
        }
        let since = *terminated_since.entry(machine.clone()).or_insert(now);
        if now.duration_since(since) < LOST_TASK_TIMEOUT {
            continue;
        }
        for task in load.tasks.keys() {
            let record = RunRecordId {
                job: &task.job,
                record_index: task.index / keys::TASKS_PER_RUN_RECORD,
            };
            lost.entry(record).or_default().push(task.index);
        }
    }
    lost
}

/// Removes placements of tasks whose machines are terminated. A machine's record is removed
/// only after the release of the machine was answered, so that nothing runs on it.
/// Such a task counts as waiting at once, and its next placement replaces the old one. If it is
/// not placed within [`LOST_TASK_TIMEOUT`], the old placement, which uses quota for nothing, is
/// removed here.
fn unplace_lost_tasks(
    cache: &StateCache,
    lost: BTreeMap<RunRecordId<'_>, Vec<u32>>,
    transactions: &mut Vec<Transaction>,
) {
    for (
        RunRecordId {
            job: id,
            record_index,
        },
        tasks,
    ) in lost
    {
        if transactions.len() >= MAX_CLEANUP_TRANSACTIONS {
            return;
        }
        let Some(job) = cache.jobs.get(id) else {
            continue;
        };
        // The run records of a finished job are removed as a whole, possibly in this pass, and
        // no transaction may change a key twice.
        let Some(entry) = job
            .run_records
            .get(&record_index)
            .filter(|_| job.cleanup_since.is_none())
        else {
            continue;
        };
        tracing::debug!(job = %id, ?tasks, "removing placements of tasks on terminated machines");
        let mut record = entry.value.clone();
        for task in tasks {
            record.unplace(task);
        }
        let key = keys::run(id, record_index);
        transactions.push(
            Transaction::default()
                .require(key.clone(), entry.revision)
                .set(key, &record),
        );
    }
}
