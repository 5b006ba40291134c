//! Determines which of the owner's tasks are over, plans the changes of their run records, and
//! learns run times, machine speeds and failures from how they ended.

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

/// How long a job is excluded from a machine on which one of its tasks has failed.
const FAILURE_EXCLUSION: Duration = Duration::from_secs(60);
/// How long a job is excluded from a machine that refused to start one of its tasks.
const REFUSAL_EXCLUSION: Duration = Duration::from_secs(3);
/// Weight of a new measurement in the moving average of a machine's speed.
const SPEED_SMOOTHING_FACTOR: f64 = 0.1;
/// Bounds on the ratio of measured to expected run time that one run may contribute.
const MIN_RUN_TIME_RATIO: f64 = 0.2;
const MAX_RUN_TIME_RATIO: f64 = 5.0;

/// A placed task on one of this owner's machines that is over.
struct TaskResult<'a> {
    index: u32,
    placement: &'a Placement,
    outcome: TaskOutcome,
}

/// The results of a job's tasks on this owner's machines.
struct JobResults<'a> {
    results: Vec<TaskResult<'a>>,
    /// Number of tasks on these machines that are not over.
    unfinished: u32,
}

impl ShardOwner {
    /// Returns the outcome of a placed task if, by the state of its agent, it is over.
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
                (is_unwanted && placement.epoch == agent.epoch && agent.is_absence_conclusive(task))
                    .then_some(TaskOutcome::Terminated)
            }
        }
    }

    /// Notes the jobs with results, and the images of running tasks, on a machine whose agent
    /// state has just changed. Returns whether there are any results.
    pub(super) fn note_results(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        machine: &MachineId,
        now: Instant,
    ) -> bool {
        let OwnerState {
            agents,
            pending_results,
            preempting,
            ..
        } = state;
        let (Some(load), Some(agent)) = (cache.machine_loads.get(machine), agents.get_mut(machine))
        else {
            return false;
        };
        let mut has_results = false;
        let cache_gb = cache
            .machines
            .get(machine)
            .and_then(|record| cache.machine_type(&record.machine_type))
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
                if !pending_results.contains_key(&task.job) {
                    pending_results.insert(task.job.clone(), now);
                }
            }
        }
        has_results
    }

    /// Returns how long results of a job may wait for further results, to be committed
    /// together. Each record written uses one of the state service's limited changes, so the
    /// fewer of these are left, the longer the wait. The resources of ended tasks are free
    /// without it, and a result that ends the job, or this owner's part of it, does not wait.
    pub(super) fn result_batch_delay(&self) -> Duration {
        match self.context.store.spare_writes() {
            spare if spare > 0.85 => Duration::from_millis(200),
            spare if spare > 0.6 => Duration::from_millis(1500),
            spare if spare > 0.3 => Duration::from_millis(4000),
            _ => Duration::from_millis(8000),
        }
    }

    /// Plans the changes for results, except those that may wait for further ones.
    pub(super) fn collect_results(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        now: Instant,
        changes: &mut PlannedChanges,
    ) {
        let batch_delay = self.result_batch_delay();
        let OwnerState {
            agents,
            pending_results,
            preempting,
            ..
        } = state;
        pending_results.retain(|id, since| {
            let Some(job) = cache.jobs.get(id) else {
                return false;
            };
            let found = self.find_results(agents, preempting, id, job);
            if found.results.is_empty() {
                return false;
            }
            if found.unfinished > 0 && now.duration_since(*since) < batch_delay {
                return true;
            }
            for result in found.results {
                self.note_result(cache, (id, job), result, changes);
            }
            // The job stays in the list until the cache shows its results as committed.
            true
        });
    }

    /// Returns the results of the job's tasks on this owner's machines.
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
        for (index, placement) in job
            .run_records
            .values()
            .flat_map(|entry| &entry.value.placed)
        {
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

    /// Adds a result to the round's changes, unless the transaction of its run record cannot
    /// take another condition. In that case the result is planned again in the next round.
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
        let change = changes.change_for(id, job, index);
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
            change.task_ends.push(TaskEnd {
                task: TaskId::new(id.clone(), index),
                machine: placement.machine.clone(),
                exit,
            });
        }
    }

    /// Updates what is known about the task's class, job and machine from the end of a task.
    /// It must be called only after the end is committed, so that a result whose commit is
    /// repeated counts once.
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
            // The job can run, so its earlier failures were not its own fault.
            state.failing.record_success(&task.job);
            self.observe_run_time(agent, cache, task, now);
            return;
        }
        tracing::debug!(%task, %machine, ?exit, "task ended");
        match exit {
            Exit::Failed => {
                agent.failures.note(&task.job, now);
                if !state.failing.is_crash_looping(&task.job) {
                    agent
                        .failures
                        .exclude_job(&task.job, now + FAILURE_EXCLUSION, now);
                }
                state.failing.record_failure(&task.job, machine, now);
            }
            // The machine has something on it that is missing in this owner's view.
            Exit::NoRoom | Exit::Busy => {
                agent
                    .failures
                    .exclude_job(&task.job, now + REFUSAL_EXCLUSION, now);
            }
            // The user has not uploaded the job's description yet, or never will.
            Exit::Unknown => state.failing.record_failure(&task.job, machine, now),
            Exit::Stopped | Exit::Other | Exit::Done => {}
        }
    }

    /// Updates the run time estimate of the task's class and the speed of the machine from a
    /// completed task.
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
            agent.speed += SPEED_SMOOTHING_FACTOR * (speed - agent.speed);
        }
    }
}
