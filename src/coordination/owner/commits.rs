//! Writes what a round of the owner has planned, and sends the starts that follow.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    ShardOwner,
    placement::depends_on_all_records,
    planned_changes::{PlannedChanges, RecordChange},
};
use crate::{
    coordination::{clients::Command, context::lock},
    storage::{
        AgentEpoch, CommitError, JobOutcome, MachineId, Priority, Revision, StateCache,
        Transaction, keys, rate_limiter::RequestPriority, records::OutcomeRecord,
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

impl ShardOwner {
    /// Writes what it can of the changes: the most pressing first, and no more
    /// than the state service's limits allow now. The rest is planned again.
    pub(super) async fn commit_changes(self: &Arc<Self>, changes: PlannedChanges) {
        let mut parts: Vec<(Transaction, RecordChange)> = Vec::new();
        let allocation = {
            let cache = self.context.store.cache();
            let Some(allocation) = self
                .context
                .own_allocation(&cache)
                .map(|entry| entry.revision)
            else {
                return;
            };
            for (_, mut change) in changes.0 {
                if let Some(transaction) = self.write_job(&cache, &mut change) {
                    parts.push((transaction, change));
                }
            }
            parts.sort_by_cached_key(|(_, change)| {
                let job = cache.jobs.get(&change.id);
                let spec = job.and_then(|job| job.spec());
                let pressing = match spec {
                    Some(_) if change.idle_work => 4,
                    _ if change.finishes => 1,
                    Some(spec) if change.places && spec.priority == Priority::Production => 0,
                    _ if change.places => 2,
                    _ => 3,
                };
                // Urgent jobs are young: by age alone they would come last.
                let priority = std::cmp::Reverse(spec.map(|spec| spec.priority));
                (pressing, priority, spec.map_or(0, |spec| spec.accepted_ms))
            });
            allocation
        };
        while let Some((_, first)) = parts.first() {
            if first.idle_work && !self.may_write_idle_work() {
                return;
            }
            let group = self.next_group(&mut parts);
            if !self.commit_group(allocation, group).await {
                return;
            }
            if !parts.is_empty()
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
        let since = *state.idle_work_delayed_since.get_or_insert(now);
        let is_due = now.duration_since(since) >= IDLE_WORK_MAX_DELAY;
        // Only looked at: a call that had to wait would make this controller try for more
        // than its part of the changes, at the others' expense.
        if !is_due && self.context.store.spare_writes() < IDLE_WORK_MIN_SPARE {
            return false;
        }
        state.idle_work_delayed_since = None;
        true
    }

    /// The first part with others that go in one transaction with it. One that
    /// may well be refused goes alone: all that is in a refused transaction counts
    /// against the limit of changes.
    pub(super) fn next_group(
        &self,
        parts: &mut Vec<(Transaction, RecordChange)>,
    ) -> Vec<(Transaction, RecordChange)> {
        let first = parts.remove(0);
        let (fenced, shared, idle_work) = (first.1.fenced, first.1.shared, first.1.idle_work);
        let mut ops = first.0.ops.len();
        let mut conditions = 1 + first.0.conditions.len();
        let mut group = vec![first];
        if shared {
            return group;
        }
        let most = if idle_work {
            IDLE_RECORDS_PER_COMMIT
        } else {
            RECORDS_PER_COMMIT
        };
        let most = self.context.config.state.txn_ops.min(most);
        let mut at = 0;
        while at < parts.len() && ops < most {
            let (part, change) = &parts[at];
            if change.fenced == fenced
                && !change.shared
                && change.idle_work == idle_work
                && ops + part.ops.len() <= most
                && conditions + part.conditions.len() <= 4 * self.context.config.state.txn_ops
            {
                ops += part.ops.len();
                conditions += part.conditions.len();
                group.push(parts.remove(at));
            } else {
                at += 1;
            }
        }
        group
    }

    /// The transaction part for one job, without the allocation's condition.
    pub(super) fn write_job(
        &self,
        cache: &StateCache,
        change: &mut RecordChange,
    ) -> Option<Transaction> {
        let job = cache.jobs.get(&change.id)?;
        let spec = job.spec();
        change.idle_work = spec.is_some_and(|spec| spec.is_idle_work());
        let entry = job.chunks.get(&change.chunk);
        let placed = entry.iter().flat_map(|entry| entry.value.placed.values());
        let mut machines = placed.map(|placement| &placement.machine);
        change.shared = machines.any(|machine| {
            cache.machines.contains_key(machine)
                && self.context.own_shard_of(cache, machine).is_none()
        });
        let key = keys::run(&change.id, change.chunk);
        let mut part = Transaction::default().require(key.clone(), job.run_revision(change.chunk));
        let done = change.record.done_count();
        let finished = spec.is_some_and(|spec| spec.tasks <= keys::CHUNK && done >= spec.tasks);
        for (shard, revision) in &change.shards {
            part = part.require(keys::shard(*shard), *revision);
        }
        if finished && job.cleanup_since.is_none() {
            change.finishes = true;
            // The end of a job of one record takes its keys with it.
            let outcome = OutcomeRecord {
                outcome: JobOutcome::Done,
                done: spec.map_or(0, |spec| spec.tasks),
            };
            return Some(
                part.require(keys::outcome(&change.id), Revision(0))
                    .set(keys::outcome(&change.id), &outcome)
                    .remove(keys::run(&change.id, 0))
                    .remove(keys::spec(&change.id)),
            );
        }
        part = part.set(key, &change.record);
        if change.places {
            let spec = spec?;
            part = part
                .require(keys::outcome(&change.id), Revision(0))
                .require(keys::spec(&change.id), job.spec.as_ref()?.revision);
            if depends_on_all_records(spec, self.context.config.state.txn_ops) {
                for chunk in 0..spec.records() {
                    if chunk != change.chunk {
                        part = part.require(keys::run(&change.id, chunk), job.run_revision(chunk));
                    }
                }
            }
        }
        Some(part)
    }

    /// Commits a group; a conflicting part is left out and the others go on.
    /// False: the round is over. `allocation` is our allocation's revision as the plan saw it.
    pub(super) async fn commit_group(
        self: &Arc<Self>,
        allocation: Revision,
        mut group: Vec<(Transaction, RecordChange)>,
    ) -> bool {
        let allocation_key = keys::allocation(&self.context.config.name);
        while !group.is_empty() {
            let fenced = group.iter().any(|(_, change)| change.fenced);
            let mut whole = Transaction::default();
            if fenced {
                whole = whole.require(allocation_key.clone(), allocation);
            }
            for (part, _) in &group {
                whole.absorb(part.clone());
            }
            match self
                .context
                .store
                .commit(&whole, RequestPriority::Placement)
                .await
            {
                Ok(_) => {
                    self.dispatch_starts(group);
                    self.context.leader_wakeup.notify_one();
                    return true;
                }
                Err(CommitError::Conflict(keys)) => {
                    tracing::debug!(?keys, "commit conflict");
                    if keys.contains(&allocation_key) {
                        // The leader has changed our budgets: plan again on them.
                        self.context.store.read_barrier().await;
                        self.context.owner_wakeup.notify_one();
                        return false;
                    }
                    group.retain(|(part, _)| {
                        !part.conditions.iter().any(|(key, _)| keys.contains(key))
                    });
                    self.look_up_outcomes(&keys).await;
                    self.context.owner_wakeup.notify_one();
                }
                Err(error) => {
                    tracing::debug!(%error, "commit failed");
                    if error.is_unknown() && fenced {
                        lock(&self.state).has_commit_in_doubt = true;
                    }
                    self.context.pause(Duration::from_millis(100)).await;
                    return false;
                }
            }
        }
        true
    }

    /// A job of ours turned out to be over.
    pub(super) async fn look_up_outcomes(&self, failed: &[String]) {
        self.context.store.read_barrier().await;
        for key in failed {
            if let Some(keys::Key::JobOutcome(job)) = keys::Key::parse(key) {
                let _ = self.context.store.look_up_outcome(&job).await;
                lock(&self.state).offers.remove(&job);
            }
        }
    }

    pub(super) fn dispatch_starts(self: &Arc<Self>, group: Vec<(Transaction, RecordChange)>) {
        let mut by_machine: BTreeMap<(MachineId, AgentEpoch), Vec<Command>> = BTreeMap::new();
        {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            for (_, change) in group {
                for (task, machine, exit) in &change.ends {
                    self.learn_from(&mut state, &cache, task, machine, *exit);
                }
                for (machine, epoch, command) in change.starts {
                    if let Command::Start { task, attempt } = &command {
                        tracing::debug!(%task, %attempt, %machine, "task started");
                        if let Some(offer) = state.offers.get_mut(&task.job) {
                            offer.tasks.remove(&task.index);
                        }
                    }
                    by_machine
                        .entry((machine, epoch))
                        .or_default()
                        .push(command);
                }
            }
            state.offers.retain(|_, offer| !offer.tasks.is_empty());
        }
        for ((machine, epoch), commands) in by_machine {
            self.send_commands(machine, Some(epoch), commands);
        }
    }
}
