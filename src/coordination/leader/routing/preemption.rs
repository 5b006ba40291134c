//! Preempts array tasks for replicas of the highest priority.

use super::{RoutingPass, RoutingResult, queue_order::QueuedJob};
use crate::{
    coordination::policy::{placement, zone_constraint::ZoneConstraint},
    storage::{
        AMOUNT_SLACK, ControllerName, JobKind, JobSpec, MachineId, Priority, Resources, TaskId,
    },
};

/// Replicas for which other tasks are preempted in one pass.
const PREEMPTING_REPLICAS_PER_PASS: usize = 12;

/// A task that may be preempted for another.
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

    /// The lowest priority first, then the youngest job.
    fn sort(victims: &mut [Self]) {
        victims.sort_by(|a, b| {
            (a.priority, a.age_rank, a.task).cmp(&(b.priority, b.age_rank, b.task))
        });
    }
}

/// What has to be preempted on one machine to make room for a replica.
struct MachinePreemption {
    /// Index of the candidate machine.
    candidate: usize,
    victims: Vec<TaskId>,
    /// The machine lacks the replica's image.
    is_cold: bool,
    /// The least age rank among the victims.
    youngest: u64,
}

impl MachinePreemption {
    /// Fewer victims first, then a machine with the image, then younger victims.
    fn cost(&self) -> (usize, bool, u64) {
        (self.victims.len(), self.is_cold, self.youngest)
    }

    /// Nothing can be better than this.
    fn is_cheapest(&self) -> bool {
        self.victims.len() == 1 && !self.is_cold
    }
}

impl RoutingPass<'_> {
    /// Whether tasks may be preempted for one of this job in this pass.
    pub(super) fn may_preempt(&self, spec: &JobSpec, result: &RoutingResult) -> bool {
        spec.kind == JobKind::Service
            && spec.priority == Priority::Production
            && result.preempting_replicas < PREEMPTING_REPLICAS_PER_PASS
    }

    /// Whether a task of `other` may be preempted for one of `spec`.
    fn is_preemptible(&self, task: &TaskId, other: &JobSpec, spec: &JobSpec) -> bool {
        other.kind == JobKind::Array
            && other.priority < spec.priority
            && !self.cache.pending_cleanup.contains(&task.job)
            && !self.pending_preemptions.contains_key(task)
    }

    /// A replica of the highest priority whose team is at its limit: the team's
    /// own youngest array tasks of lower priority make way.
    pub(super) fn preempt_for_quota(
        &mut self,
        queued: &QueuedJob<'_>,
        task: u32,
        result: &mut RoutingResult,
    ) {
        let QueuedJob { id, spec, .. } = queued;
        let key = TaskId::new((*id).clone(), task);
        if self.pending_preemptions.contains_key(&key) || !self.may_preempt(spec, result) {
            return;
        }
        result.preempting_replicas += 1;
        let Some(victims) = self.victims_for_quota(spec) else {
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

    /// Tasks of the same team that take as many CPUs as one of the job; none: there are not
    /// enough of them.
    fn victims_for_quota(&self, spec: &JobSpec) -> Option<Vec<(ControllerName, TaskId)>> {
        let mut victims: Vec<Victim<'_>> = Vec::new();
        for (machine, load) in &self.cache.on_machine {
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

    /// Finds array tasks to stop for a replica of the highest priority that has
    /// no room. One machine is cleared, with the fewest and youngest victims.
    /// True: room is on its way.
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
        if !self.may_preempt(spec, result) {
            return false;
        }
        result.preempting_replicas += 1;
        let Some(preemption) = self.cheapest_preemption(queued, task) else {
            return false;
        };
        let victims = preemption.victims;
        self.pending_preemptions.insert(key, self.now);
        for victim in &victims {
            self.pending_preemptions.insert(victim.clone(), self.now);
        }
        let candidate = &self.free_capacity.candidates[preemption.candidate];
        // What is freed belongs to the waiting task; the rest is small.
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

    /// The machine on which the fewest and youngest victims make room for the task.
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

    /// What has to be preempted on this machine for one task of the job; none: the job may
    /// not run there, or nothing would help.
    fn preemption_on(
        &self,
        index: usize,
        spec: &JobSpec,
        constraint: &ZoneConstraint,
    ) -> Option<MachinePreemption> {
        let candidate = &self.free_capacity.candidates[index];
        if !placement::allowed(spec, candidate)
            || candidate.leaves_in.is_some()
            || !constraint.admits(&candidate.zone)
        {
            return None;
        }
        let load = self.cache.on_machine.get(&candidate.machine);
        let tasks = load.into_iter().flat_map(|load| &load.tasks);
        let mut victims: Vec<Victim<'_>> = tasks
            .filter_map(|(task, placed)| {
                let other = placed.spec.as_ref()?;
                self.is_preemptible(task, other, spec)
                    .then(|| Victim::new(task, &candidate.machine, other))
            })
            .collect();
        Victim::sort(&mut victims);
        let mut room = candidate.room;
        let mut chosen = Vec::new();
        let mut youngest = u64::MAX;
        for victim in victims {
            if spec.per_task.fits_in(&room) {
                break;
            }
            room += victim.size;
            youngest = youngest.min(victim.age_rank);
            chosen.push(victim.task.clone());
        }
        if chosen.is_empty() || !spec.per_task.fits_in(&room) {
            return None;
        }
        Some(MachinePreemption {
            candidate: index,
            victims: chosen,
            is_cold: !candidate.images.contains(&spec.image),
            youngest,
        })
    }
}
