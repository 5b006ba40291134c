//! Commits the changes that a round of the owner has planned, and sends the starts of the
//! committed placements.
//!
//! `record_writes` builds the transaction part for each record; this module orders the parts,
//! groups them into transactions and commits these.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    ShardOwner,
    planned_changes::{PlannedChanges, RecordChange},
};
use crate::{
    coordination::{clients::Command, context::lock},
    storage::{
        AgentEpoch, CommitError, MachineId, Priority, Revision, StateCache, Transaction,
        client::CONDITIONS_PER_CHANGE, keys, rate_limiter::RequestPriority,
    },
};

/// Maximum number of run records in one transaction, because of the state service's limit of
/// 64 KiB.
const RECORDS_PER_COMMIT: usize = 12;

/// Maximum number of run records in one transaction of best-effort array jobs. It is smaller,
/// because the next commit of other jobs waits for such a transaction.
const BEST_EFFORT_RECORDS_PER_COMMIT: usize = 4;
/// Spare writes that must be left for changes of best-effort array jobs to be committed, as a
/// fraction of the writes of one second.
const BEST_EFFORT_MIN_SPARE_WRITES: f64 = 0.5;
/// Maximum delay of a commit of best-effort array jobs because of other writes.
const BEST_EFFORT_MAX_DELAY: Duration = Duration::from_secs(2);
/// Pause after a commit that failed for another reason than a conflict.
const FAILED_COMMIT_PAUSE: Duration = Duration::from_millis(100);

/// The change of a run record, with its part of a transaction.
pub(super) struct PlannedWrite {
    transaction: Transaction,
    change: RecordChange,
}

/// The order in which changes are committed, the most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Places replicas of services.
    PlacesProduction,
    /// Completes a job, so that its user sees the outcome.
    FinishesJob,
    /// Places other tasks.
    Places,
    /// Writes only results, for which nothing waits.
    Results,
    /// Any change of a best-effort array job.
    BestEffort,
}

/// The outcome of committing a group of changes together.
enum GroupOutcome {
    /// All changes of the group are committed, except conflicting ones.
    Written,
    /// The round must end; the remaining changes are planned again in the next one.
    EndsRound,
}

fn urgency(change: &RecordChange, priority: Option<Priority>) -> Urgency {
    match priority {
        Some(_) if change.is_best_effort_array => Urgency::BestEffort,
        _ if change.finishes_job => Urgency::FinishesJob,
        Some(Priority::Production) if change.has_placements => Urgency::PlacesProduction,
        _ if change.has_placements => Urgency::Places,
        _ => Urgency::Results,
    }
}

/// Sorts the most urgent changes first.
fn sort_by_urgency(writes: &mut [PlannedWrite], cache: &StateCache) {
    writes.sort_by_cached_key(|write| {
        let job = cache.jobs.get(&write.change.id);
        let spec = job.and_then(|job| job.spec());
        let priority = spec.map(|spec| spec.priority);
        // Sorted by age alone, urgent jobs would come last, since they are usually the newest.
        (
            urgency(&write.change, priority),
            std::cmp::Reverse(priority),
            spec.map_or(0, |spec| spec.accepted_ms),
        )
    });
}

impl ShardOwner {
    /// Commits the planned changes, the most urgent first, as far as the state service's rate
    /// limits allow now. The others are planned again in the next round.
    pub(super) async fn commit_changes(self: &Arc<Self>, changes: PlannedChanges) {
        let mut writes: Vec<PlannedWrite> = Vec::new();
        let allocation = {
            let cache = self.context.store.cache();
            let Some(allocation) = self.context.own_allocation(&cache) else {
                return;
            };
            for mut change in changes.0.into_values() {
                if let Some(transaction) = self.record_transaction(&cache, &mut change) {
                    writes.push(PlannedWrite {
                        transaction,
                        change,
                    });
                }
            }
            sort_by_urgency(&mut writes, &cache);
            allocation.revision
        };
        while let Some(first) = writes.first() {
            if first.change.is_best_effort_array && !self.may_write_best_effort() {
                return;
            }
            let group = self.next_group(&mut writes);
            match self.commit_group(allocation, group).await {
                GroupOutcome::Written => {}
                GroupOutcome::EndsRound => return,
            }
            if !writes.is_empty()
                && self
                    .context
                    .store
                    .commit_wait(RequestPriority::Placement)
                    .is_some()
            {
                self.context.owner_wakeup.notify_one();
                return;
            }
        }
    }

    /// Whether changes of best-effort array jobs may be committed now. These jobs use only the
    /// writes of the state service that other jobs leave unused, as they do with machines. Without
    /// this limit an array of 25,000 short tasks used all of the writes for half a minute, in which
    /// replicas of services waited to be placed.
    fn may_write_best_effort(&self) -> bool {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let delayed_since = *state.best_effort_delayed_since.get_or_insert(now);
        let is_due = now.duration_since(delayed_since) >= BEST_EFFORT_MAX_DELAY;
        // Reads the spare writes rather than asking the rate limiter for one: if the call had
        // to wait, this controller would try for more than its share of the writes, at the
        // expense of the other controllers.
        if !is_due && self.context.store.spare_writes() < BEST_EFFORT_MIN_SPARE_WRITES {
            return false;
        }
        state.best_effort_delayed_since = None;
        true
    }

    /// Removes and returns the first write, with others that fit into one transaction with it. A
    /// write that is likely to conflict is committed alone, since all changes of a transaction that
    /// conflicts count against the state service's limit.
    fn next_group(&self, writes: &mut Vec<PlannedWrite>) -> Vec<PlannedWrite> {
        let first = writes.remove(0);
        if first.change.shared {
            return vec![first];
        }
        let (fenced, is_best_effort_array) =
            (first.change.fenced, first.change.is_best_effort_array);
        let changes_per_transaction = self.context.config.state_limits.txn_ops;
        let max_ops = changes_per_transaction.min(if is_best_effort_array {
            BEST_EFFORT_RECORDS_PER_COMMIT
        } else {
            RECORDS_PER_COMMIT
        });
        let max_conditions = CONDITIONS_PER_CHANGE * changes_per_transaction;
        let mut ops = first.transaction.operations.len();
        let mut conditions = 1 + first.transaction.conditions.len();
        let mut group = vec![first];
        let mut index = 0;
        while index < writes.len() && ops < max_ops {
            let PlannedWrite {
                transaction,
                change,
            } = &writes[index];
            let is_alike = change.fenced == fenced
                && !change.shared
                && change.is_best_effort_array == is_best_effort_array;
            if is_alike
                && ops + transaction.operations.len() <= max_ops
                && conditions + transaction.conditions.len() <= max_conditions
            {
                ops += transaction.operations.len();
                conditions += transaction.conditions.len();
                group.push(writes.remove(index));
            } else {
                index += 1;
            }
        }
        group
    }

    /// Commits a group. After a conflict the conflicting writes are dropped and the others are
    /// committed again. `allocation` is the revision of the quota allocation in the plan's view
    /// of the cache.
    async fn commit_group(
        self: &Arc<Self>,
        allocation: Revision,
        mut group: Vec<PlannedWrite>,
    ) -> GroupOutcome {
        while !group.is_empty() {
            let is_fenced = group.iter().any(|write| write.change.fenced);
            let transaction = self.group_transaction(allocation, is_fenced, &group);
            match self
                .context
                .store
                .commit(&transaction, RequestPriority::Placement)
                .await
            {
                Ok(_) => {
                    self.dispatch_starts(group);
                    self.context.leader_wakeup.notify_one();
                    return GroupOutcome::Written;
                }
                Err(CommitError::Conflict(failed_keys)) => {
                    tracing::debug!(keys = ?failed_keys, "commit conflict");
                    if failed_keys.contains(&keys::allocation(&self.context.config.name)) {
                        // The leader has changed the budgets: plan again with the new ones.
                        self.context.store.read_barrier().await;
                        self.context.owner_wakeup.notify_one();
                        return GroupOutcome::EndsRound;
                    }
                    group.retain(|write| {
                        let mut conditions = write.transaction.conditions.iter();
                        !conditions.any(|(key, _)| failed_keys.contains(key))
                    });
                    self.look_up_outcomes(&failed_keys).await;
                    self.context.owner_wakeup.notify_one();
                }
                Err(error) => {
                    tracing::debug!(%error, "commit failed");
                    if error.is_unknown() && is_fenced {
                        lock(&self.state).has_commit_in_doubt = true;
                    }
                    self.context.sleep_unless_stopped(FAILED_COMMIT_PAUSE).await;
                    return GroupOutcome::EndsRound;
                }
            }
        }
        GroupOutcome::Written
    }

    /// Builds one transaction for the group, conditional on the quota allocation if the group
    /// is fenced.
    fn group_transaction(
        &self,
        allocation: Revision,
        is_fenced: bool,
        group: &[PlannedWrite],
    ) -> Transaction {
        let mut transaction = Transaction::default();
        if is_fenced {
            let key = keys::allocation(&self.context.config.name);
            transaction = transaction.require(key, allocation);
        }
        for write in group {
            transaction.merge(write.transaction.clone());
        }
        transaction
    }

    /// Looks up the outcomes of the jobs whose outcome key is among the conflicting keys: these
    /// jobs are over. Drops the offers of their tasks.
    async fn look_up_outcomes(&self, failed_keys: &[String]) {
        self.context.store.read_barrier().await;
        for key in failed_keys {
            if let Some(keys::Key::JobOutcome(job)) = keys::Key::parse(key) {
                // The offer is void even if the outcome cannot be read now; it is looked up
                // again when a user asks for it.
                let _ = self.context.store.look_up_outcome(&job).await;
                lock(&self.state).offers.remove(&job);
            }
        }
    }

    /// Learns from the task ends and sends the starts of the placements that have just been
    /// committed.
    fn dispatch_starts(self: &Arc<Self>, group: Vec<PlannedWrite>) {
        let mut starts: BTreeMap<(MachineId, AgentEpoch), Vec<Command>> = BTreeMap::new();
        {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            for PlannedWrite { change, .. } in group {
                for end in &change.task_ends {
                    self.learn_from(&mut state, &cache, end);
                }
                for start in change.starts {
                    let (task, attempt, machine) = (start.task, start.attempt, start.machine);
                    tracing::debug!(%task, %attempt, %machine, "task started");
                    if let Some(offer) = state.offers.get_mut(&task.job) {
                        offer.tasks.remove(&task.index);
                    }
                    starts
                        .entry((machine, start.epoch))
                        .or_default()
                        .push(Command::Start { task, attempt });
                }
            }
            state.offers.retain(|_, offer| !offer.tasks.is_empty());
        }
        for ((machine, epoch), commands) in starts {
            self.send_commands(machine, Some(epoch), commands);
        }
    }
}
