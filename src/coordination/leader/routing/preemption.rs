//! Preempts array tasks for service replicas of the highest priority.

use super::{RoutingPass, RoutingResult, queue_order::QueuedJob};
use crate::{
    coordination::policy::{placement, zone_constraint::ZoneConstraint},
    storage::{
        AMOUNT_SLACK, ControllerName, JobKind, JobSpec, MachineId, Priority, Resources, TaskId,
    },
};

/// Maximum number of replicas for which one pass tries to preempt tasks.
pub(super) const MAX_PREEMPTING_REPLICAS_PER_PASS: usize = 12;

/// A task that may be preempted for another task.
struct Victim<'a> {
    priority: Priority,
    /// Higher for jobs that were accepted earlier.
    age_rank: u64,
    task: &'a TaskId,
    machine: &'a MachineId,
    size: Resources,
}

impl<'a> Victim<'a> {
    fn new(task: &'a TaskId, machine: &'a MachineId, spec: &JobSpec) -> Self {
        Self {
            priority: spec.priority,
            age_rank: u64::MAX - spec.accepted_ms,
            task,
            machine,
            size: spec.per_task,
        }
    }

    /// Sorts by ascending priority, then by age, youngest job first.
    fn sort(victims: &mut [Self]) {
        victims.sort_by(|a, b| {
            (a.priority, a.age_rank, a.task).cmp(&(b.priority, b.age_rank, b.task))
        });
    }
}

/// Tasks to be preempted on one machine to free enough resources for a replica.
struct MachinePreemption {
    /// Index of the candidate machine.
    candidate: usize,
    victims: Vec<TaskId>,
    /// Whether the machine lacks the replica's image.
    lacks_image: bool,
    /// Lowest age rank among the victims.
    youngest: u64,
}

impl MachinePreemption {
    /// Returns the sort key, cheapest first: fewest victims, then machines with the image, then
    /// the youngest victims.
    fn cost(&self) -> (usize, bool, u64) {
        (self.victims.len(), self.lacks_image, self.youngest)
    }

    /// Whether the search can stop, since only the age of the victim could be better: a single
    /// victim on a machine that has the image.
    fn is_cheapest(&self) -> bool {
        self.victims.len() == 1 && !self.lacks_image
    }
}

/// Whether tasks may be preempted for tasks of this job.
fn preempts(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Service && spec.priority == Priority::Production
}

impl RoutingPass<'_> {
    /// Whether tasks may be preempted for a task of this job in this pass.
    pub(super) fn may_preempt(&self, spec: &JobSpec) -> bool {
        preempts(spec) && self.preemption_turns.has_tries_left()
    }

    /// Notes that this pass does not try to preempt tasks for the job.
    pub(super) fn leave_out_preemption(&mut self, queued: &QueuedJob<'_>) {
        if preempts(queued.spec)
            && let Some(task) = self.first_task_to_route(queued)
        {
            let key = TaskId::new(queued.id.clone(), task);
            self.preemption_turns.leave_out(&key);
        }
    }

    /// Whether a task of the job `other` may be preempted for a task of the job `spec`.
    fn is_preemptible(&self, task: &TaskId, other: &JobSpec, spec: &JobSpec) -> bool {
        other.kind == JobKind::Array
            && other.priority < spec.priority
            && !self.cache.pending_cleanup.contains(&task.job)
            && !self.pending_preemptions.contains_key(task)
    }

    /// Preempts the youngest array tasks of lower priority of the same team for a replica of
    /// the highest priority whose team is at its limit.
    pub(super) fn preempt_for_quota(
        &mut self,
        queued: &QueuedJob<'_>,
        task: u32,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, .. } = queued;
        let key = TaskId::new((*id).clone(), task);
        if self.pending_preemptions.contains_key(&key)
            || !preempts(spec)
            || !self.preemption_turns.may_try(&key)
        {
            return;
        }
        let Some(victims) = self.victims_for_quota(spec) else {
            self.preemption_turns.note_in_vain(key);
            return;
        };
        tracing::debug!(job = %id, task, team = %spec.team, victims = victims.len(),
            "preempting for quota");
        self.pending_preemptions.insert(key, self.now);
        for (controller, victim) in victims {
            self.pending_preemptions.insert(victim.clone(), self.now);
            result.preempt.entry(controller).or_default().push(victim);
        }
    }

    /// Returns tasks of the same team that use at least as many CPUs as a task of the job, or
    /// `None` if there are not enough of them.
    fn victims_for_quota(&self, spec: &JobSpec) -> Option<Vec<(ControllerName, TaskId)>> {
        let mut victims: Vec<Victim<'_>> = Vec::new();
        for (machine, load) in &self.cache.machine_loads {
            if !load.teams.iter().any(|(team, _)| *team == spec.team) {
                continue;
            }
            for (task, placed) in &load.tasks {
                let Some(other) = &placed.spec else { continue };
                if other.team == spec.team && self.is_preemptible(task, other, spec) {
                    victims.push(Victim::new(task, machine, other));
                }
            }
        }
        Victim::sort(&mut victims);
        let mut missing_cpus = spec.per_task.cpus;
        let mut chosen = Vec::new();
        for victim in victims {
            if missing_cpus <= AMOUNT_SLACK {
                break;
            }
            missing_cpus -= victim.size.cpus;
            if let Some((_, entry)) = self.cache.shard_of(victim.machine) {
                chosen.push((entry.value.controller.clone(), victim.task.clone()));
            }
        }
        (missing_cpus <= AMOUNT_SLACK).then_some(chosen)
    }

    /// Preempts array tasks for a replica of the highest priority that fits on no machine. All
    /// victims are on one machine, the one with the fewest and youngest victims. Returns true
    /// if the preemption is pending.
    pub(super) fn preempt_for_capacity(
        &mut self,
        queued: &QueuedJob<'_>,
        task: u32,
        result: &mut RoutingResult,
    ) -> bool {
        let QueuedJob { id, spec, .. } = queued;
        let key = TaskId::new((*id).clone(), task);
        if self.pending_preemptions.contains_key(&key) {
            return true;
        }
        if !preempts(spec) || !self.preemption_turns.may_try(&key) {
            return false;
        }
        let Some(preemption) = self.cheapest_preemption(queued, task) else {
            self.preemption_turns.note_in_vain(key);
            return false;
        };
        let victims = preemption.victims;
        self.pending_preemptions.insert(key, self.now);
        for victim in &victims {
            self.pending_preemptions.insert(victim.clone(), self.now);
        }
        let candidate = &self.free_capacity.candidates[preemption.candidate];
        // The freed resources are not added to the free capacity: they are meant for the
        // waiting task, and the remainder is small.
        tracing::debug!(job = %id, task, machine = %candidate.machine, victims = victims.len(),
            "preempting for capacity");
        let controller = self.free_capacity.controllers[candidate.owner].clone();
        result
            .preempt
            .entry(controller)
            .or_default()
            .extend(victims);
        true
    }

    /// Returns the preemption with the fewest and youngest victims that frees enough resources
    /// for the task.
    fn cheapest_preemption(&self, queued: &QueuedJob<'_>, task: u32) -> Option<MachinePreemption> {
        let parts = self.constrained_parts(queued, std::slice::from_ref(&task));
        let constraint = parts.into_iter().map(|(_, constraint)| constraint).next();
        let constraint = constraint.unwrap_or_default();
        let mut best: Option<MachinePreemption> = None;
        for index in 0..self.free_capacity.candidates.len() {
            if best.as_ref().is_some_and(MachinePreemption::is_cheapest) {
                break;
            }
            let Some(found) = self.preemption_on(index, queued.spec, &constraint) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| found.cost() < best.cost()) {
                best = Some(found);
            }
        }
        best
    }

    /// Returns the tasks to preempt on this machine for one task of the job, or `None` if the
    /// job may not run there or preemption would not free enough resources.
    fn preemption_on(
        &self,
        index: usize,
        spec: &JobSpec,
        constraint: &ZoneConstraint,
    ) -> Option<MachinePreemption> {
        let candidate = &self.free_capacity.candidates[index];
        if !placement::is_eligible(spec, candidate)
            || candidate.time_until_return.is_some()
            || !constraint.admits(&candidate.zone)
        {
            return None;
        }
        let load = self.cache.machine_loads.get(&candidate.machine);
        let tasks = load.into_iter().flat_map(|load| &load.tasks);
        let mut victims: Vec<Victim<'_>> = tasks
            .filter_map(|(task, placed)| {
                let other = placed.spec.as_ref()?;
                self.is_preemptible(task, other, spec)
                    .then(|| Victim::new(task, &candidate.machine, other))
            })
            .collect();
        Victim::sort(&mut victims);
        let mut free = candidate.free;
        let mut chosen = Vec::new();
        let mut youngest = u64::MAX;
        for victim in victims {
            if spec.per_task.fits_in(&free) {
                break;
            }
            free += victim.size;
            youngest = youngest.min(victim.age_rank);
            chosen.push(victim.task.clone());
        }
        if chosen.is_empty() || !spec.per_task.fits_in(&free) {
            return None;
        }
        Some(MachinePreemption {
            candidate: index,
            victims: chosen,
            lacks_image: !candidate.images.contains(&spec.image),
            youngest,
        })
    }
}
