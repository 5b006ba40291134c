//! Determines what unplaced tasks lack: quota at an owner, capacity that preemption can free,
//! or more machines.

use std::collections::BTreeMap;

use super::{
    PlacementRequirements, QuotaDemand, RoutingPass, RoutingResult, UnplacedTasks,
    queue_order::QueuedJob, quota_use::QuotaUsage,
};
use crate::{
    coordination::policy::{
        owner_choice::{OwnerFit, best_owner, compare_owners},
        placement,
    },
    storage::{ControllerName, JobKind, JobSpec, Quota, TeamName, keys},
};

/// Lower bound of the CPUs of a task as a divisor of the free CPUs.
const MIN_CPUS_PER_TASK: f64 = 0.01;

impl RoutingResult {
    /// Adds a job's tasks for which owners have capacity, but may lack quota. `tasks_by_controller`
    /// has the number of tasks that each owner has capacity for.
    fn demand_quota(&mut self, spec: &JobSpec, tasks_by_controller: Vec<(ControllerName, u32)>) {
        let tasks = ::quota::TaskDemand {
            tasks_by_controller,
            per_task: Quota::from(&spec.per_task),
            is_gang: spec.kind == JobKind::Gang,
        };
        let team = spec.team.clone();
        self.demand.push(QuotaDemand { team, tasks });
    }

    /// Adds quota that an owner lacks for tasks that it has capacity for.
    fn add_deficit(&mut self, owner: &ControllerName, team: &TeamName, quota: &Quota) {
        let deficit = self.deficit.entry((owner.clone(), team.clone()));
        let deficit = deficit.or_default();
        *deficit = deficit.plus(quota);
    }

    /// Adds quota that an owner will need.
    fn add_reserved(&mut self, owner: &ControllerName, team: &TeamName, quota: &Quota) {
        let reserved = self.reserved.entry((owner.clone(), team.clone()));
        let reserved = reserved.or_default();
        *reserved = reserved.plus(quota);
    }
}

impl RoutingPass<'_> {
    /// Classifies tasks that were not placed: they lack budget that other owners hold, need
    /// capacity that preemption can free, or need more machines.
    pub(super) fn classify_unplaced(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        let covered = if queued.spec.is_zone_bound() {
            self.find_zone_bound_deficit(queued, tasks, used, result)
        } else {
            self.find_deficit(queued, tasks, used, result)
        };
        result.counts.covered += covered;
        let mut unplaced = 0;
        for task in tasks.iter().skip(covered) {
            if unplaced == 0 && self.preempt_for_capacity(queued, *task, result) {
                continue;
            }
            unplaced += 1;
        }
        let reclaimed = self.reclaim_capacity(queued, unplaced, result);
        self.add_unplaced(queued, (unplaced - reclaimed) as u32, used, result);
    }

    /// Finds capacity that the tasks could not use, since its owner lacks budget or another
    /// owner writes their record. Adds the missing budget to the result and returns the number
    /// of tasks for which there is capacity.
    fn find_deficit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) -> usize {
        let QueuedJob { id, spec, job, .. } = queued;
        let run_time_factor = (self.run_time_factor)(&spec.class);
        let candidates = &self.free_capacity.candidates;
        let fits = compare_owners(spec, candidates, run_time_factor, tasks.len());
        let free_cpus: f64 = fits.values().map(|fit| fit.free_cpus).sum();
        let total_fitting: usize = fits.values().map(|fit| fit.tasks).sum();
        if total_fitting == 0 {
            self.unplaceable.insert(PlacementRequirements::of(spec));
            return 0;
        }
        let writers = self.writers(id, job, tasks[0] / keys::TASKS_PER_RUN_RECORD);
        self.add_owner_deficits(spec, tasks.len(), fits, &writers, used, result);
        // Earlier jobs in the queue are waiting for some of these CPUs.
        let unclaimed_cpus = (free_cpus - result.claimed_cpus).max(0.0);
        let unclaimed = unclaimed_cpus / spec.per_task.cpus.max(MIN_CPUS_PER_TASK);
        let covered = tasks.len().min(total_fitting).min(unclaimed as usize);
        result.claimed_cpus += spec.per_task.cpus * covered as f64;
        covered
    }

    /// Visits the owners in the order in which they would get the tasks, and adds the quota
    /// that each lacks for those that it has capacity for.
    fn add_owner_deficits(
        &self,
        spec: &JobSpec,
        tasks: usize,
        mut fits: BTreeMap<usize, OwnerFit>,
        writers: &[usize],
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        let quota = Quota::from(&spec.per_task);
        let mut tasks_by_controller: Vec<(ControllerName, u32)> = Vec::new();
        let mut has_deficit = false;
        let mut remaining = tasks;
        while remaining > 0
            && let Some(owner) = best_owner(&fits, writers)
        {
            let fitting = fits
                .remove(&owner)
                .map_or(0, |fit| fit.tasks)
                .min(remaining);
            let missing = fitting.saturating_sub(self.budget_left(owner, spec, used));
            let controller = &self.free_capacity.controllers[owner];
            tasks_by_controller.push((controller.clone(), fitting as u32));
            if missing > 0 {
                has_deficit = true;
                let quota = quota.times(missing as f64);
                used.add(owner, &spec.team, &quota);
                result.add_deficit(controller, &spec.team, &quota);
            }
            remaining -= fitting;
        }
        if has_deficit {
            result.demand_quota(spec, tasks_by_controller);
        }
    }

    /// Like [`Self::find_deficit`], for tasks with zone constraints.
    fn find_zone_bound_deficit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) -> usize {
        let spec = queued.spec;
        let run_time_factor = (self.run_time_factor)(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut candidates_with_capacity = Vec::new();
        for (part, mut constraint) in self.constrained_parts(queued, tasks) {
            let candidates = &mut self.free_capacity.candidates;
            let chosen = placement::place_tasks(
                spec,
                candidates,
                run_time_factor,
                part.len(),
                |candidate| {
                    let admitted = constraint.admits(&candidate.zone);
                    if admitted {
                        constraint.add(&candidate.zone);
                    }
                    admitted
                },
            );
            candidates_with_capacity.extend(chosen);
        }
        self.add_quota_deficits(spec, &candidates_with_capacity, used, result);
        for candidate in &candidates_with_capacity {
            let owner = self.free_capacity.candidates[*candidate].owner;
            used.add(owner, &spec.team, &quota);
        }
        candidates_with_capacity.len()
    }

    /// Adds the quota demand of one task on each of these candidates: the quota that their
    /// owners will need and the part of it that they lack. The deficit must not be larger: an
    /// owner with a deficit gives up no quota, so if all owners had one, no budget would ever
    /// move.
    pub(super) fn add_quota_deficits(
        &self,
        spec: &JobSpec,
        chosen: &[usize],
        used: &QuotaUsage,
        result: &mut RoutingResult,
    ) {
        let mut tasks_by_owner: BTreeMap<usize, usize> = BTreeMap::new();
        for candidate in chosen {
            let owner = self.free_capacity.candidates[*candidate].owner;
            *tasks_by_owner.entry(owner).or_default() += 1;
        }
        let name_of = |owner: usize| &self.free_capacity.controllers[owner];
        let tasks_by_controller = tasks_by_owner.iter();
        let tasks_by_controller =
            tasks_by_controller.map(|(owner, tasks)| (name_of(*owner).clone(), *tasks as u32));
        result.demand_quota(spec, tasks_by_controller.collect());
        let quota = Quota::from(&spec.per_task);
        for (owner, tasks) in tasks_by_owner {
            let controller = name_of(owner);
            result.add_reserved(controller, &spec.team, &quota.times(tasks as f64));
            let missing = tasks.saturating_sub(self.budget_left(owner, spec, used));
            if missing > 0 {
                result.add_deficit(controller, &spec.team, &quota.times(missing as f64));
            }
        }
    }

    /// Adds tasks that fit on no machine, for which machines are to be provisioned.
    pub(super) fn add_unplaced(
        &self,
        queued: &QueuedJob<'_>,
        tasks: u32,
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        if tasks == 0 {
            return;
        }
        let spec = queued.spec;
        // Machines will be provisioned for these tasks, so they count against the limit for
        // later tasks of the team.
        let quota = Quota::from(&spec.per_task).times(f64::from(tasks));
        used.add_unplaced(&spec.team, &quota);
        result.unplaced.push(UnplacedTasks {
            job: queued.id.clone(),
            tasks,
            overdue: self.is_overdue(spec),
        });
    }

    /// Whether unplaced tasks of this job have waited longer than the start target or will miss
    /// their deadline. A best-effort array job without a deadline is never overdue.
    fn is_overdue(&self, spec: &JobSpec) -> bool {
        let age = spec.age(self.wall_time);
        match spec.deadline {
            Some(deadline) => age + spec.estimate > deadline,
            None => age > self.start_target && !spec.is_best_effort_array(),
        }
    }
}
