//! Finds out which of the owner's tasks are over, and learns from how they ended.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    OwnerState, ShardOwner, TaskOutcome,
    planned_changes::{PlannedChanges, TaskEnd},
};
use crate::{
    coordination::{
        agent_state::AgentState,
        clients::{Exit, TaskState},
        context::lock,
    },
    storage::{
        Attempt, JobId, MachineId, StateCache, TaskId, records::Placement, state_cache::Job,
    },
};

/// A machine on which a job has failed does not get it again for this long.
const REFUSAL_PERIOD: Duration = Duration::from_secs(60);
/// A machine that refused a start gets the job again after this long.
const RETRY_START_AFTER: Duration = Duration::from_secs(3);
/// Weight of a new measurement of a machine's speed.
const SPEED_GAIN: f64 = 0.1;
/// Bounds of what one run may say about a machine, as measured over expected run time.
const MIN_RUN_TIME_RATIO: f64 = 0.2;
const MAX_RUN_TIME_RATIO: f64 = 5.0;

/// A task of ours that is over.
struct TaskResult<'a> {
    index: u32,
    placement: &'a Placement,
    outcome: TaskOutcome,
}

/// What is known of a job's tasks on our machines.
struct JobResults<'a> {
    results: Vec<TaskResult<'a>>,
    /// Tasks that are not over.
    unfinished: u32,
}

impl ShardOwner {
    /// Whether a placed task of ours is over, as far as its agent's state tells.
    pub(super) fn task_outcome(
        &self,
        agent: &AgentState,
        job: Option<&Job>,
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
        let observed = agent
            .tasks
            .get(task)
            .filter(|observed| observed.attempt == placement.attempt);
        match observed.map(|observed| observed.state) {
            Some(TaskState::Exited(exit)) => Some(TaskOutcome::Ended(exit)),
            Some(_) => None,
            None => {
                let is_unwanted = job.is_none_or(|job| job.cleanup_since.is_some())
                    || preempting.get(task) == Some(&placement.attempt);
                (is_unwanted && placement.epoch == agent.epoch && agent.absence_is_proof(task))
                    .then_some(TaskOutcome::Terminated)
            }
        }
    }

    /// Notes which jobs have results on a machine whose agent state has just changed;
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
        let mut has_results = false;
        let cache_gb = cache
            .machines
            .get(machine)
            .and_then(|record| cache.machine_type(&record.kind))
            .map(|machine_type| machine_type.cache_gb);
        for (task, placed) in &load.tasks {
            let is_running = agent
                .tasks
                .get(task)
                .is_some_and(|observed| observed.state == TaskState::Running);
            if is_running && let (Some(spec), Some(cache_gb)) = (&placed.spec, cache_gb) {
                agent.note_image(&spec.image, spec.image_gb, cache_gb);
            }
            let job = cache.jobs.get(&task.job);
            let outcome = self.task_outcome(agent, job, task, &placed.placement, preempting);
            if outcome.is_some() {
                has_results = true;
                if !results.contains_key(&task.job) {
                    results.insert(task.job.clone(), now);
                }
            }
        }
        has_results
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

    /// Plans the changes for results of our tasks, but for those that may wait.
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
            let found = self.find_results(agents, preempting, id, job);
            if found.results.is_empty() {
                return false;
            }
            if found.unfinished > 0 && now.duration_since(*since) < patience {
                return true;
            }
            for result in found.results {
                self.note_result(cache, (id, job), result, changes);
            }
            // It stays until the cache shows the result.
            true
        });
    }

    /// What is known of the job's tasks on our machines.
    fn find_results<'a>(
        &self,
        agents: &BTreeMap<MachineId, AgentState>,
        preempting: &BTreeMap<TaskId, Attempt>,
        id: &JobId,
        job: &'a Job,
    ) -> JobResults<'a> {
        let mut found = JobResults {
            results: Vec::new(),
            unfinished: 0,
        };
        for (index, placement) in job.chunks.values().flat_map(|entry| &entry.value.placed) {
            let Some(agent) = agents.get(&placement.machine) else {
                continue;
            };
            let task = TaskId::new(id.clone(), *index);
            match self.task_outcome(agent, Some(job), &task, placement, preempting) {
                Some(outcome) => found.results.push(TaskResult {
                    index: *index,
                    placement,
                    outcome,
                }),
                None => found.unfinished += 1,
            }
        }
        found
    }

    /// Notes a result in the round's changes, unless the change of its record has no room
    /// for another condition: then it comes in the next round.
    fn note_result(
        &self,
        cache: &StateCache,
        (id, job): (&JobId, &Job),
        result: TaskResult<'_>,
        changes: &mut PlannedChanges,
    ) {
        let TaskResult {
            index,
            placement,
            outcome,
        } = result;
        let change = changes.of(id, job, index);
        if outcome == TaskOutcome::Terminated
            && let Some((shard, entry)) = self.context.own_shard_of(cache, &placement.machine)
        {
            if !self.has_condition_for(change, job, shard) {
                return;
            }
            change.fenced = true;
            change.shards.insert(shard, entry.revision);
        }
        match outcome {
            TaskOutcome::Ended(Exit::Done) => change.record.complete(index),
            TaskOutcome::Ended(_) | TaskOutcome::Terminated => change.record.unplace(index),
        }
        if let TaskOutcome::Ended(exit) = outcome {
            change.ends.push(TaskEnd {
                task: TaskId::new(id.clone(), index),
                machine: placement.machine.clone(),
                exit,
            });
        }
    }

    /// What a written end of a task tells about its class and its machine. Only
    /// now, so that a result whose commit is repeated counts once.
    pub(super) fn learn_from(&self, state: &mut OwnerState, cache: &StateCache, end: &TaskEnd) {
        let TaskEnd {
            task,
            machine,
            exit,
        } = end;
        let now = Instant::now();
        let Some(agent) = state.agents.get_mut(machine) else {
            return;
        };
        if *exit == Exit::Done {
            // It can run: whatever failed before was not the job's own fault.
            state.failing.succeeded(&task.job);
            self.observe_run_time(agent, cache, task, now);
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
            Exit::NoRoom | Exit::Busy => agent.refuse(&task.job, now + RETRY_START_AFTER, now),
            // Its user has not uploaded the description yet, or never will.
            Exit::Unknown => state.failing.failed(&task.job, machine, now),
            Exit::Stopped | Exit::Other | Exit::Done => {}
        }
    }

    /// Learns the run time of its class, and the speed of the machine, from a task that
    /// has completed.
    fn observe_run_time(
        &self,
        agent: &mut AgentState,
        cache: &StateCache,
        task: &TaskId,
        now: Instant,
    ) {
        let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
        let observed = agent.tasks.get(task);
        let running_since = observed.and_then(|observed| observed.running_since);
        let (Some(spec), Some(running_since)) = (spec, running_since) else {
            return;
        };
        let run_time = now.duration_since(running_since);
        let ratio = lock(&self.context.estimator).observe(&spec.class, spec.estimate, run_time);
        if let Some(ratio) = ratio {
            let speed = 1.0 / ratio.clamp(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO);
            agent.speed += SPEED_GAIN * (speed - agent.speed);
        }
    }
}
