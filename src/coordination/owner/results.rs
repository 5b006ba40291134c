//! Finds out which of the owner's tasks are over, and learns from how they ended.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{OwnerState, ShardOwner, TaskOutcome, planned_changes::PlannedChanges};
use crate::{
    coordination::{
        agent_state::AgentState,
        clients::{Exit, TaskState},
        context::lock,
    },
    storage::{Attempt, MachineId, StateCache, TaskId, records::Placement, state_cache},
};

/// A machine on which a job has failed does not get it again for this long.
const REFUSAL_PERIOD: Duration = Duration::from_secs(60);

impl ShardOwner {
    /// Whether a placed task of ours is over, as far as its machine's view tells.
    pub(super) fn task_outcome(
        &self,
        agent: &AgentState,
        job: Option<&state_cache::Job>,
        task: &TaskId,
        placement: &Placement,
        preempting: &BTreeMap<TaskId, Attempt>,
    ) -> Option<TaskOutcome> {
        if !agent.has_heartbeat {
            return None;
        }
        if agent.has_ended_epoch(placement.epoch) {
            return Some(TaskOutcome::Terminated);
        }
        let seen = agent
            .tasks
            .get(task)
            .filter(|seen| seen.attempt == placement.attempt);
        match seen.map(|seen| seen.state) {
            Some(TaskState::Exited(exit)) => Some(TaskOutcome::Ended(exit)),
            Some(_) => None,
            None => {
                let unwanted = job.is_none_or(|job| job.cleanup_since.is_some())
                    || preempting.get(task) == Some(&placement.attempt);
                (unwanted && placement.epoch == agent.epoch && agent.absence_is_proof(task))
                    .then_some(TaskOutcome::Terminated)
            }
        }
    }

    /// Notes which jobs have results on a machine whose view has just changed;
    /// true if there are any.
    pub(super) fn note_results(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        machine: &MachineId,
        now: Instant,
    ) -> bool {
        let OwnerState {
            agents,
            results,
            preempting,
            ..
        } = state;
        let (Some(load), Some(agent)) = (cache.on_machine.get(machine), agents.get_mut(machine))
        else {
            return false;
        };
        let mut any = false;
        let cache_gb = cache
            .machines
            .get(machine)
            .and_then(|record| cache.machine_type(&record.kind))
            .map(|kind| kind.cache_gb);
        for (task, placed) in &load.tasks {
            let running = agent
                .tasks
                .get(task)
                .is_some_and(|seen| seen.state == TaskState::Running);
            if running && let (Some(spec), Some(cache_gb)) = (&placed.spec, cache_gb) {
                agent.note_image(&spec.image, spec.image_gb, cache_gb);
            }
            let job = cache.jobs.get(&task.job);
            let outcome = self.task_outcome(agent, job, task, &placed.placement, preempting);
            if outcome.is_some() {
                any = true;
                if !results.contains_key(&task.job) {
                    results.insert(task.job.clone(), now);
                }
            }
        }
        any
    }

    /// Results of a job may wait for others of it, as each record written costs
    /// one of the scarce changes; the longer, the fewer of these are left. Room
    /// does not wait for them, nor does a result that ends the job, or our part
    /// of it.
    pub(super) fn result_patience(&self) -> Duration {
        match self.context.store.spare_writes() {
            spare if spare > 0.85 => Duration::from_millis(200),
            spare if spare > 0.6 => Duration::from_millis(1500),
            spare if spare > 0.3 => Duration::from_millis(4000),
            _ => Duration::from_millis(8000),
        }
    }

    pub(super) fn collect_results(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        now: Instant,
        changes: &mut PlannedChanges,
    ) {
        let patience = self.result_patience();
        let OwnerState {
            agents,
            results,
            preempting,
            ..
        } = state;
        results.retain(|id, since| {
            let Some(job) = cache.jobs.get(id) else {
                return false;
            };
            let mut found: Vec<(u32, &Placement, TaskOutcome)> = Vec::new();
            let mut open = 0;
            for (index, placement) in job.chunks.values().flat_map(|entry| &entry.value.placed) {
                let Some(agent) = agents.get(&placement.machine) else {
                    continue;
                };
                let task = TaskId::new(id.clone(), *index);
                match self.task_outcome(agent, Some(job), &task, placement, preempting) {
                    Some(outcome) => found.push((*index, placement, outcome)),
                    None => open += 1,
                }
            }
            if found.is_empty() {
                return false;
            }
            if open > 0 && now.duration_since(*since) < patience {
                return true;
            }
            for (index, placement, outcome) in found {
                let change = changes.of(id, job, index);
                if outcome == TaskOutcome::Terminated
                    && let Some((shard, entry)) =
                        self.context.own_shard_of(cache, &placement.machine)
                {
                    if !self.has_condition_for(change, job, shard) {
                        // In the next round.
                        continue;
                    }
                    change.fenced = true;
                    change.shards.insert(shard, entry.revision);
                }
                match outcome {
                    TaskOutcome::Ended(Exit::Done) => change.record.complete(index),
                    _ => change.record.unplace(index),
                }
                if let TaskOutcome::Ended(exit) = outcome {
                    let task = TaskId::new(id.clone(), index);
                    change.ends.push((task, placement.machine.clone(), exit));
                }
            }
            // It stays until the cache shows the result.
            true
        });
    }

    /// What a written end of a task tells about its class and its machine. Only
    /// now, so that a result whose commit is repeated counts once.
    pub(super) fn learn_from(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        task: &TaskId,
        machine: &MachineId,
        exit: Exit,
    ) {
        let now = Instant::now();
        let Some(agent) = state.agents.get_mut(machine) else {
            return;
        };
        if exit == Exit::Done {
            // It can run: whatever failed before was not the job's own fault.
            state.failing.succeeded(&task.job);
            let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
            let since = agent.tasks.get(task).and_then(|seen| seen.running_since);
            if let (Some(spec), Some(since)) = (spec, since)
                && let Some(ratio) = lock(&self.context.estimator).observe(
                    &spec.class,
                    spec.estimate,
                    now.duration_since(since),
                )
            {
                agent.speed += 0.1 * (1.0 / ratio.clamp(0.2, 5.0) - agent.speed);
            }
            return;
        }
        tracing::debug!(%task, %machine, ?exit, "task ended");
        match exit {
            Exit::Failed => {
                agent.note_failure(&task.job, now);
                if !state.failing.is_crash_looping(&task.job) {
                    agent.refuse(&task.job, now + REFUSAL_PERIOD, now);
                }
                state.failing.failed(&task.job, machine, now);
            }
            // Something is on the machine that we do not know of yet.
            Exit::NoRoom | Exit::Busy => agent.refuse(&task.job, now + Duration::from_secs(3), now),
            // Its user has not uploaded the description yet, or never will.
            Exit::Unknown => state.failing.failed(&task.job, machine, now),
            Exit::Stopped | Exit::Other | Exit::Done => {}
        }
    }
}
