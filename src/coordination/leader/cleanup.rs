//! Removes the records of jobs that are over, and placements of tasks whose machines are
//! terminated.
//!
//! Called once in each of the leader's passes, as far as the key-value store's limit of
//! changes has room for it. Every change is conditional on the records that it was decided by.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{Leader, shard_leasing::OPS_PER_COMMIT};
use crate::{
    coordination::context::lock,
    storage::{
        JobId, JobOutcome, MachineId, Revision, StateCache, Transaction, keys,
        rate_limiter::RequestPriority, records::OutcomeRecord, state_cache::Job,
    },
};

/// Tasks that went with their machine and found no other place for this long are
/// written down as waiting.
const LOST_TASK_TIMEOUT: Duration = Duration::from_secs(10);
/// Transactions of a pass of cleaning up.
const MAX_CLEANUP_TRANSACTIONS: usize = 24;
/// How many of them may be of jobs that are over.
const MAX_JOB_TRANSACTIONS: usize = MAX_CLEANUP_TRANSACTIONS / 2;
/// Records of a job beside its run records: its spec and its cleanup mark or outcome.
const JOB_RECORDS: usize = 2;
/// Conditions in a commit, for each change that it may make.
const CONDITIONS_PER_OPERATION: usize = 3;

/// Names a run record: the job, and which chunk of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunRecordName<'a> {
    job: &'a JobId,
    chunk: u32,
}

impl Leader {
    /// Removes what is left of jobs that are over, placements of tasks whose
    /// machines are terminated, and ends jobs of many records.
    pub(super) async fn clean_up(&self) {
        let transactions = self.plan_cleanup();
        let has_more = transactions.len() >= MAX_JOB_TRANSACTIONS;
        self.commit_cleanup(transactions).await;
        if has_more {
            self.context.leader_wakeup.notify_one();
        }
    }

    fn plan_cleanup(&self) -> Vec<Transaction> {
        let cache = self.context.store.cache();
        let caught_up = cache
            .machine_groups
            .values()
            .all(|entry| entry.revision <= cache.revision);
        let max_operations = self.context.config.state.txn_ops;
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
            let lost = lost_tasks(&cache, &mut state.lost_since, Instant::now());
            unplace_lost_tasks(&cache, lost, &mut transactions);
        }
        transactions
    }

    /// Commits them, several at once as far as they have room in one commit. Stops at the
    /// first failure, and when the limit of changes is reached.
    async fn commit_cleanup(&self, transactions: Vec<Transaction>) {
        let max_operations = self.context.config.state.txn_ops;
        let has_room = |batch: &Transaction, next: &Transaction| {
            batch.ops.len() + next.ops.len() <= max_operations.min(OPS_PER_COMMIT)
                && batch.conditions.len() + next.conditions.len()
                    < CONDITIONS_PER_OPERATION * max_operations
        };
        let mut transactions = transactions.into_iter().peekable();
        while let Some(mut batch) = transactions.next() {
            while let Some(next) = transactions.next_if(|next| has_room(&batch, next)) {
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

/// The next step in removing a job's records, if one is due.
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
    // Its outcome was written with the cleanup mark, so that nothing is
    // placed after that; what was placed before it the cache holds
    // only once it has passed that revision.
    let is_unplaced = job.placed == 0 || (caught_up && job.present() == 0);
    (cleanup_since <= cache.revision && is_unplaced)
        .then(|| remove_job_records(id, job, max_operations))
}

/// Removes the records of a job whose outcome is written, over several passes if they are many.
fn remove_job_records(id: &JobId, job: &Job, max_operations: usize) -> Transaction {
    let max_chunks = max_operations - JOB_RECORDS;
    let mut transaction = Transaction::default();
    for chunk in job.chunks.keys().take(max_chunks) {
        transaction = transaction.remove(keys::run(id, *chunk));
    }
    if job.chunks.len() <= max_chunks {
        transaction = transaction.remove(keys::spec(id)).remove(keys::cleanup(id));
    }
    transaction
}

/// Writes the outcome of a job that has run to its end, and removes its records if one
/// commit can; else marks them for removal.
fn end_job(id: &JobId, job: &Job, max_operations: usize) -> Transaction {
    let outcome = OutcomeRecord {
        outcome: JobOutcome::Done,
        done: job.done,
    };
    let mut transaction = Transaction::default()
        .require(keys::outcome(id), Revision(0))
        .set(keys::outcome(id), &outcome);
    if job.chunks.len() + JOB_RECORDS > max_operations {
        return transaction.set(keys::cleanup(id), &1);
    }
    for chunk in job.chunks.keys() {
        transaction = transaction.remove(keys::run(id, *chunk));
    }
    transaction.remove(keys::spec(id))
}

/// Tasks whose machines have been terminated for a while, by run record. Notes since when
/// each such machine is.
fn lost_tasks<'a>(
    cache: &'a StateCache,
    lost_since: &mut BTreeMap<MachineId, Instant>,
    now: Instant,
) -> BTreeMap<RunRecordName<'a>, Vec<u32>> {
    lost_since.retain(|machine, _| cache.on_machine.contains_key(machine));
    let mut lost: BTreeMap<RunRecordName<'_>, Vec<u32>> = BTreeMap::new();
    for (machine, load) in &cache.on_machine {
        if cache.machines.contains_key(machine) {
            continue;
        }
        let since = *lost_since.entry(machine.clone()).or_insert(now);
        if now.duration_since(since) < LOST_TASK_TIMEOUT {
            continue;
        }
        for task in load.tasks.keys() {
            let record = RunRecordName {
                job: &task.job,
                chunk: task.index / keys::CHUNK,
            };
            lost.entry(record).or_default().push(task.index);
        }
    }
    lost
}

/// Frees placements of tasks whose machines are terminated: their records went after their
/// release was answered, so that all that was on them is terminated. Such tasks wait
/// at once, and their next placement replaces the old one; what has found none
/// for a while uses quota for nothing and is freed here.
fn unplace_lost_tasks(
    cache: &StateCache,
    lost: BTreeMap<RunRecordName<'_>, Vec<u32>>,
    transactions: &mut Vec<Transaction>,
) {
    for (RunRecordName { job: id, chunk }, tasks) in lost {
        if transactions.len() >= MAX_CLEANUP_TRANSACTIONS {
            return;
        }
        let Some(job) = cache.jobs.get(id) else {
            continue;
        };
        // Of a job that is over the whole record goes, perhaps in this very
        // pass; no transaction may change a key twice.
        let Some(entry) = job
            .chunks
            .get(&chunk)
            .filter(|_| job.cleanup_since.is_none())
        else {
            continue;
        };
        tracing::debug!(job = %id, ?tasks, "tasks lost with their machines");
        let mut record = entry.value.clone();
        for task in tasks {
            record.unplace(task);
        }
        let key = keys::run(id, chunk);
        transactions.push(
            Transaction::default()
                .require(key.clone(), entry.revision)
                .set(key, &record),
        );
    }
}
