//! Preempts tasks of the lowest priority for waiting tasks of a higher priority that fit on no
//! machine.
//!
//! The paper never preempts, since its tasks are uniform and short. Here, tasks of the lowest
//! priority that run for minutes would block a fully used fleet for all other work for as long
//! (exception to section 4.4.1, see docs/DESIGN.md).

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    RoutingPass, RoutingResult,
    queue_order::{QueueRank, QueuedJob, aged_priority},
    state::PREEMPTION_TIMEOUT,
};
use crate::{
    coordination::policy::placement,
    storage::{JobId, JobKind, JobSpec, Priority, Resources, TaskId},
};

/// Number of waiting tasks of a job for which other tasks are being preempted.
#[derive(Clone, Copy, Debug)]
struct ReclaimRequest {
    tasks: usize,
    since: Instant,
}

impl ReclaimRequest {
    fn is_pending(&self, now: Instant) -> bool {
        now.duration_since(self.since) < PREEMPTION_TIMEOUT
    }
}

/// Pending reclaims by job, and the machines whose tasks can be preempted.
#[derive(Debug, Default)]
pub struct Reclaiming {
    jobs: BTreeMap<JobId, ReclaimRequest>,
    /// Machines with reclaimable tasks; `None` until the current pass has searched for them.
    machines: Option<Vec<ReclaimableMachine>>,
}

impl Reclaiming {
    /// Drops expired requests, and the machines found in the previous pass.
    pub(super) fn begin_pass(&mut self, now: Instant) {
        self.machines = None;
        self.jobs.retain(|_, request| request.is_pending(now));
    }

    /// Returns the number of tasks of the job for which preemptions are pending.
    fn pending_tasks(&self, id: &JobId) -> usize {
        self.jobs.get(id).map_or(0, |request| request.tasks)
    }
}

/// Maximum number of tasks preempted in one pass, about as many as the owners commit before the
/// next one.
const MAX_RECLAIMED_TASKS_PER_PASS: usize = 128;
/// Tasks with an estimated run time of at most this are not preempted, since they end by
/// themselves about as soon as a preempted task would.
const SHORT_TASK_RUN_TIME: Duration = Duration::from_secs(8);

/// A task that may be preempted.
#[derive(Debug)]
struct Victim {
    task: TaskId,
    size: Resources,
    rank: QueueRank,
}

/// A machine with tasks that may be preempted.
#[derive(Debug)]
struct ReclaimableMachine {
    candidate: usize,
    /// In reverse order of preemption: the last one is preempted first.
    victims: Vec<Victim>,
}

/// Whether running tasks of this job may be preempted for tasks of a higher priority.
fn is_reclaimable(spec: &JobSpec) -> bool {
    spec.is_best_effort_array() && spec.estimate > SHORT_TASK_RUN_TIME
}

impl RoutingPass<'_> {
    /// Preempts tasks of the lowest priority to free resources for up to `tasks` waiting tasks
    /// of the job. Returns the number of tasks for which resources are being freed.
    pub(super) fn reclaim_capacity(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: usize,
        result: &mut RoutingResult,
    ) -> usize {
        let spec = queued.spec;
        let may_reclaim = spec.priority > Priority::BestEffort
            && spec.kind != JobKind::Gang
            && !spec.is_zone_bound();
        if !may_reclaim || tasks == 0 {
            return 0;
        }
        let pending = self.reclaiming.pending_tasks(queued.id);
        if pending >= tasks {
            return tasks;
        }
        let mut machines = match self.reclaiming.machines.take() {
            Some(machines) => machines,
            None => self.find_reclaimable(),
        };
        let mut found = 0;
        for machine in &mut machines {
            while pending + found < tasks
                && result.reclaimed < MAX_RECLAIMED_TASKS_PER_PASS
                && self.reclaim_one(queued, machine, result)
            {
                found += 1;
            }
        }
        self.reclaiming.machines = Some(machines);
        if found > 0 {
            tracing::debug!(job = %queued.id, tasks = found,
                "preempting idle work for capacity");
            let request = ReclaimRequest {
                tasks: pending + found,
                since: self.now,
            };
            self.reclaiming.jobs.insert(queued.id.clone(), request);
        }
        pending + found
    }

    /// Returns the candidate machines with tasks that may be preempted. The last tasks of the
    /// youngest job are preempted first, since these have done the least work.
    fn find_reclaimable(&self) -> Vec<ReclaimableMachine> {
        let mut machines = Vec::new();
        for (candidate, machine) in self.free_capacity.candidates.iter().enumerate() {
            let Some(load) = self.cache.machine_loads.get(&machine.machine) else {
                continue;
            };
            let mut victims: Vec<Victim> = Vec::new();
            for (task, placed) in &load.tasks {
                let Some(spec) = &placed.spec else { continue };
                if is_reclaimable(spec)
                    && !self.pending_preemptions.contains_key(task)
                    && !self.cache.pending_cleanup.contains(&task.job)
                {
                    let (priority, borrows) =
                        aged_priority(spec.priority, true, true, spec.age(self.wall_time));
                    victims.push(Victim {
                        task: task.clone(),
                        size: spec.per_task,
                        rank: QueueRank {
                            priority: Reverse(priority),
                            borrows,
                            due_ms: spec.accepted_ms,
                        },
                    });
                }
            }
            if !victims.is_empty() {
                victims.sort_by(|a, b| (a.rank, &a.task).cmp(&(b.rank, &b.task)));
                machines.push(ReclaimableMachine { candidate, victims });
            }
        }
        machines
    }

    /// Preempts as many tasks on this machine as needed for one more task of the job. Returns
    /// false if that is not possible.
    fn reclaim_one(
        &mut self,
        queued: &QueuedJob<'_>,
        machine: &mut ReclaimableMachine,
        result: &mut RoutingResult,
    ) -> bool {
        let spec = queued.spec;
        let candidate = &mut self.free_capacity.candidates[machine.candidate];
        if !placement::is_eligible(spec, candidate) || candidate.time_until_return.is_some() {
            return false;
        }
        let mut free = candidate.free;
        let mut first_victim = machine.victims.len();
        while !spec.per_task.fits_in(&free) {
            let Some(victim) = first_victim
                .checked_sub(1)
                .map(|index| &machine.victims[index])
            else {
                return false;
            };
            // Aging may have raised the victim to the priority of the waiting job; it is not
            // preempted then.
            if victim.rank.priority <= queued.rank.priority {
                return false;
            }
            free += victim.size;
            first_victim -= 1;
        }
        // The resources that were already free are reserved for the waiting task, too.
        free -= spec.per_task;
        candidate.free = candidate.free.at_most(&free);
        let controller = self.free_capacity.controllers[candidate.owner].clone();
        let preempted = machine
            .victims
            .drain(first_victim..)
            .map(|victim| victim.task);
        for task in preempted {
            result.reclaimed += 1;
            self.pending_preemptions.insert(task.clone(), self.now);
            result
                .preempt
                .entry(controller.clone())
                .or_default()
                .push(task);
        }
        true
    }
}
