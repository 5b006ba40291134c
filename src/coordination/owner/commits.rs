//! Writes what a round of the owner has planned, and sends the starts that follow.
//!
//! `record_writes` has the part of a transaction for each record; this module puts them in
//! order, joins them into transactions and commits these.

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

/// Run records in one transaction at most, for the service's 64 KiB.
const RECORDS_PER_COMMIT: usize = 12;

/// ... of idle work, so that what comes next for others waits no longer than for these.
const IDLE_RECORDS_PER_COMMIT: usize = 4;
/// Part of a second's worth of changes that must be left for idle work to be written.
const IDLE_WORK_MIN_SPARE: f64 = 0.5;
/// Idle work gets a commit at least this often, however much others write.
const IDLE_WORK_MAX_DELAY: Duration = Duration::from_secs(2);
/// Pause after a commit that failed for another reason than its conditions.
const FAILED_COMMIT_PAUSE: Duration = Duration::from_millis(100);

/// The change of a run record, with its part of a transaction.
pub(super) struct PlannedWrite {
    transaction: Transaction,
    change: RecordChange,
}

/// Which changes are written first; the least is the most pressing.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Replicas of services wait to be placed.
    PlacesProduction,
    /// Users hear that a job is done.
    FinishesJob,
    /// Other tasks wait to be placed.
    Places,
    /// Results that nothing waits for.
    Results,
    /// Whatever it says of idle work.
    IdleWork,
}

/// What has become of a group of changes that were committed together.
enum GroupOutcome {
    /// The changes that could be are written.
    Written,
    /// The round is over: what follows is planned anew.
    EndsRound,
}

fn urgency(change: &RecordChange, priority: Option<Priority>) -> Urgency {
    match priority {
        Some(_) if change.idle_work => Urgency::IdleWork,
        _ if change.finishes => Urgency::FinishesJob,
        Some(Priority::Production) if change.places => Urgency::PlacesProduction,
        _ if change.places => Urgency::Places,
        _ => Urgency::Results,
    }
}

/// Puts the most pressing changes first.
fn sort_by_urgency(writes: &mut [PlannedWrite], cache: &StateCache) {
    writes.sort_by_cached_key(|write| {
        let job = cache.jobs.get(&write.change.id);
        let spec = job.and_then(|job| job.spec());
        let priority = spec.map(|spec| spec.priority);
        // Urgent jobs are young: by age alone they would come last.
        (
            urgency(&write.change, priority),
            std::cmp::Reverse(priority),
            spec.map_or(0, |spec| spec.accepted_ms),
        )
    });
}

impl ShardOwner {
    /// Writes what it can of the changes: the most pressing first, and no more
    /// than the state service's limits allow now. The rest is planned again.
    pub(super) async fn commit_changes(self: &Arc<Self>, changes: PlannedChanges) {
        let mut writes: Vec<PlannedWrite> = Vec::new();
        let allocation = {
            let cache = self.context.store.cache();
            let Some(allocation) = self.context.own_allocation(&cache) else {
                return;
            };
            for mut change in changes.0.into_values() {
                if let Some(transaction) = self.write_job(&cache, &mut change) {
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
            if first.change.idle_work && !self.may_write_idle_work() {
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

    /// Whether a commit for idle work may be made now: it uses what others leave of the
    /// state service's changes, as it does of machines. An array of 25,000 short tasks
    /// took all of them for half a minute, in which replicas waited to be placed.
    fn may_write_idle_work(&self) -> bool {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let delayed_since = *state.idle_work_delayed_since.get_or_insert(now);
        let is_due = now.duration_since(delayed_since) >= IDLE_WORK_MAX_DELAY;
        // Only looked at: a call that had to wait would make this controller try for more
        // than its part of the changes, at the others' expense.
        if !is_due && self.context.store.spare_writes() < IDLE_WORK_MIN_SPARE {
            return false;
        }
        state.idle_work_delayed_since = None;
        true
    }

    /// The first write with others that go in one transaction with it. One that
    /// may well be refused goes alone: all that is in a refused transaction counts
    /// against the limit of changes.
    fn next_group(&self, writes: &mut Vec<PlannedWrite>) -> Vec<PlannedWrite> {
        let first = writes.remove(0);
        if first.change.shared {
            return vec![first];
        }
        let (fenced, idle_work) = (first.change.fenced, first.change.idle_work);
        let changes_per_transaction = self.context.config.state.txn_ops;
        let max_ops = changes_per_transaction.min(if idle_work {
            IDLE_RECORDS_PER_COMMIT
        } else {
            RECORDS_PER_COMMIT
        });
        let max_conditions = CONDITIONS_PER_CHANGE * changes_per_transaction;
        let mut ops = first.transaction.ops.len();
        let mut conditions = 1 + first.transaction.conditions.len();
        let mut group = vec![first];
        let mut index = 0;
        while index < writes.len() && ops < max_ops {
            let PlannedWrite {
                transaction,
                change,
            } = &writes[index];
            let is_alike =
                change.fenced == fenced && !change.shared && change.idle_work == idle_work;
            if is_alike
                && ops + transaction.ops.len() <= max_ops
                && conditions + transaction.conditions.len() <= max_conditions
            {
                ops += transaction.ops.len();
                conditions += transaction.conditions.len();
                group.push(writes.remove(index));
            } else {
                index += 1;
            }
        }
        group
    }

    /// Commits a group; a conflicting write is left out and the others go on.
    /// `allocation` is our allocation's revision as the plan saw it.
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
                        // The leader has changed our budgets: plan again on them.
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
                    self.context.pause(FAILED_COMMIT_PAUSE).await;
                    return GroupOutcome::EndsRound;
                }
            }
        }
        GroupOutcome::Written
    }

    /// One transaction for the group; on the condition of our allocation if it is fenced.
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

    /// A job of ours turned out to be over.
    async fn look_up_outcomes(&self, failed_keys: &[String]) {
        self.context.store.read_barrier().await;
        for key in failed_keys {
            if let Some(keys::Key::JobOutcome(job)) = keys::Key::parse(key) {
                // Known or not, the offer is void; an outcome that cannot be read now is
                // looked up again when a user asks.
                let _ = self.context.store.look_up_outcome(&job).await;
                lock(&self.state).offers.remove(&job);
            }
        }
    }

    /// Learns from the ends that are written now, and sends the starts whose placements are.
    fn dispatch_starts(self: &Arc<Self>, group: Vec<PlannedWrite>) {
        let mut starts: BTreeMap<(MachineId, AgentEpoch), Vec<Command>> = BTreeMap::new();
        {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            for PlannedWrite { change, .. } in group {
                for end in &change.ends {
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
