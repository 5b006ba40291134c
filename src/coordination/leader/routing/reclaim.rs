//! Stops tasks of the lowest priority for waiting work of a higher one that has no room.
//!
//! The paper's tasks are all alike and short, so that it never stops one. Work of the
//! lowest priority that runs for minutes would keep a full fleet from all others for as
//! long (exception to section 4.4.1, see docs/DESIGN.md).

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    RoutingPass, RoutingResult,
    queue_order::{QueueRank, QueuedJob, raised_by_age},
    state::PREEMPTION_TIMEOUT,
};
use crate::{
    coordination::policy::placement,
    storage::{JobId, JobKind, JobSpec, Priority, Resources, TaskId},
};

/// Waiting tasks of a job for which others are being stopped.
#[derive(Clone, Copy, Debug)]
struct Reclaimed {
    tasks: usize,
    since: Instant,
}

impl Reclaimed {
    fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.since) < PREEMPTION_TIMEOUT
    }
}

/// What is being stopped, and for whom.
#[derive(Debug, Default)]
pub struct Reclaiming {
    jobs: BTreeMap<JobId, Reclaimed>,
    /// Machines with tasks that may be stopped, once a pass has looked for them.
    machines: Option<Vec<Reclaimable>>,
}

impl Reclaiming {
    /// A pass begins: machines are looked for anew.
    pub(super) fn begin_pass(&mut self, now: Instant) {
        self.machines = None;
        self.jobs.retain(|_, known| known.is_fresh(now));
    }

    /// For how many tasks of the job others were told to stop a moment ago.
    fn tasks_of(&self, id: &JobId) -> usize {
        self.jobs.get(id).map_or(0, |known| known.tasks)
    }
}

/// Tasks told to stop in one pass, about what owners write down until the next.
const STOPPED_PER_PASS: usize = 128;
/// A task that takes no longer than this leaves its room by itself as soon as a stopped
/// one would.
const SHORT_TASK: Duration = Duration::from_secs(8);

/// A task that may be stopped.
#[derive(Debug)]
struct Victim {
    task: TaskId,
    size: Resources,
    rank: QueueRank,
}

/// A machine with tasks that may be stopped, the first to go last.
#[derive(Debug)]
struct Reclaimable {
    candidate: usize,
    victims: Vec<Victim>,
}

/// Whether a running task of this job may be stopped for work of a higher priority.
fn is_stoppable(spec: &JobSpec) -> bool {
    spec.is_idle_work() && spec.estimate > SHORT_TASK
}

impl RoutingPass<'_> {
    /// Stops tasks of the lowest priority on machines that could take up to `tasks`
    /// waiting ones of the job. Returns for how many room is on its way.
    pub(super) fn reclaim_room(
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
        let under_way = self.reclaiming.tasks_of(queued.id);
        if under_way >= tasks {
            return tasks;
        }
        let mut machines = match self.reclaiming.machines.take() {
            Some(machines) => machines,
            None => self.find_reclaimable(),
        };
        let mut found = 0;
        for machine in &mut machines {
            while under_way + found < tasks
                && result.reclaimed < STOPPED_PER_PASS
                && self.reclaim_one(queued, machine, result)
            {
                found += 1;
            }
        }
        self.reclaiming.machines = Some(machines);
        if found > 0 {
            tracing::debug!(job = %queued.id, tasks = found, "preempting idle work for capacity");
            let reclaimed = Reclaimed {
                tasks: under_way + found,
                since: self.now,
            };
            self.reclaiming.jobs.insert(queued.id.clone(), reclaimed);
        }
        under_way + found
    }

    /// The open machines with tasks that may be stopped. Of these the youngest job's
    /// latest tasks go first, which have done least.
    fn find_reclaimable(&self) -> Vec<Reclaimable> {
        let mut machines = Vec::new();
        for (candidate, open) in self.free_capacity.candidates.iter().enumerate() {
            let Some(load) = self.cache.on_machine.get(&open.machine) else {
                continue;
            };
            let mut victims: Vec<Victim> = Vec::new();
            for (task, placed) in &load.tasks {
                let Some(spec) = &placed.spec else { continue };
                if is_stoppable(spec)
                    && !self.pending_preemptions.contains_key(task)
                    && !self.cache.pending_cleanup.contains(&task.job)
                {
                    let (priority, borrows) =
                        raised_by_age(spec.priority, true, true, spec.age(self.wall));
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
                machines.push(Reclaimable { candidate, victims });
            }
        }
        machines
    }

    /// Stops what keeps one more task of the job from having room on this machine.
    fn reclaim_one(
        &mut self,
        queued: &QueuedJob<'_>,
        machine: &mut Reclaimable,
        result: &mut RoutingResult,
    ) -> bool {
        let spec = queued.spec;
        let candidate = &mut self.free_capacity.candidates[machine.candidate];
        if !placement::allowed(spec, candidate) || candidate.leaves_in.is_some() {
            return false;
        }
        let mut room = candidate.room;
        let mut from = machine.victims.len();
        while !spec.per_task.fits_in(&room) {
            let Some(victim) = from.checked_sub(1).map(|at| &machine.victims[at]) else {
                return false;
            };
            // One that has waited long enough to have risen stays.
            if victim.rank.priority <= queued.rank.priority {
                return false;
            }
            room += victim.size;
            from -= 1;
        }
        // What is free already goes to the waiting task as well.
        room -= spec.per_task;
        candidate.room = candidate.room.at_most(&room);
        let controller = self.free_capacity.controllers[candidate.owner].clone();
        let stopped = machine.victims.drain(from..).map(|victim| victim.task);
        for task in stopped {
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
