//! What tasks without a place lack: quota at an owner, room that can be cleared, or room.

use std::collections::BTreeMap;

use super::{
    PlacementRequirements, QuotaDemand, RoutingPass, RoutingResult, Unplaced,
    queue_order::QueuedJob, quota_use::QuotaUse,
};
use crate::{
    coordination::policy::{
        owner_choice::{OwnerFit, best_owner, compare_owners},
        placement,
    },
    storage::{ControllerName, JobKind, JobSpec, Quota, TeamName, keys},
};

/// Least CPUs of a task when free ones are divided by it.
const MIN_TASK_CPUS: f64 = 0.01;

impl RoutingResult {
    /// Notes tasks that owners have room for, of which some lack quota.
    fn demand_quota(&mut self, spec: &JobSpec, parts: Vec<(ControllerName, u32)>) {
        let tasks = ::quota::TaskDemand {
            tasks_by_controller: parts,
            per_task: Quota::from(&spec.per_task),
            is_gang: spec.kind == JobKind::Gang,
        };
        let team = spec.team.clone();
        self.demand.push(QuotaDemand { team, tasks });
    }

    /// Notes quota that an owner lacks for tasks that it has room for.
    fn add_deficit(&mut self, owner: &ControllerName, team: &TeamName, quota: &Quota) {
        let deficit = self.deficit.entry((owner.clone(), team.clone()));
        let deficit = deficit.or_default();
        *deficit = deficit.plus(quota);
    }

    /// Notes quota that an owner is about to need.
    fn add_reserved(&mut self, owner: &ControllerName, team: &TeamName, quota: &Quota) {
        let reserved = self.reserved.entry((owner.clone(), team.clone()));
        let reserved = reserved.or_default();
        *reserved = reserved.plus(quota);
    }
}

impl RoutingPass<'_> {
    /// Why tasks found no place: budget that lies with another owner, room that
    /// can be cleared, or no room.
    pub(super) fn explain_unplaced(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
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
        let reclaimed = self.reclaim_room(queued, unplaced, result);
        self.note_unplaced(queued, (unplaced - reclaimed) as u32, used, result);
    }

    /// Room that tasks could not be given, as its owner lacks budget or another
    /// one writes their record. Returns for how many of them there is room.
    fn find_deficit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) -> usize {
        let QueuedJob { id, spec, job, .. } = queued;
        let factor = (self.factor)(&spec.class);
        let candidates = &self.free_capacity.candidates;
        let fits = compare_owners(spec, candidates, factor, tasks.len());
        let free_cpus: f64 = fits.values().map(|fit| fit.free_cpus).sum();
        let fit_in_all: usize = fits.values().map(|fit| fit.tasks).sum();
        if fit_in_all == 0 {
            self.full.insert(PlacementRequirements::of(spec));
            return 0;
        }
        let writers = self.writers(id, job, tasks[0] / keys::CHUNK);
        self.note_owner_deficits(spec, tasks.len(), fits, &writers, used, result);
        // Earlier jobs wait for some of that room.
        let unclaimed_cpus = (free_cpus - result.claimed_cpus).max(0.0);
        let unclaimed = unclaimed_cpus / spec.per_task.cpus.max(MIN_TASK_CPUS);
        let covered = tasks.len().min(fit_in_all).min(unclaimed as usize);
        result.claimed_cpus += spec.per_task.cpus * covered as f64;
        covered
    }

    /// Goes through the owners in the order in which they would get the tasks, and notes
    /// what each lacks for those that it has room for.
    fn note_owner_deficits(
        &self,
        spec: &JobSpec,
        tasks: usize,
        mut fits: BTreeMap<usize, OwnerFit>,
        writers: &[usize],
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        let quota = Quota::from(&spec.per_task);
        let mut parts: Vec<(ControllerName, u32)> = Vec::new();
        let mut has_deficit = false;
        let mut rest = tasks;
        while rest > 0
            && let Some(owner) = best_owner(&fits, writers)
        {
            let fit = fits.remove(&owner).map_or(0, |fit| fit.tasks).min(rest);
            let missing = fit.saturating_sub(self.budget_left(owner, spec, used));
            let controller = &self.free_capacity.controllers[owner];
            parts.push((controller.clone(), fit as u32));
            if missing > 0 {
                has_deficit = true;
                let quota = quota.times(missing as f64);
                used.add(owner, &spec.team, &quota);
                result.add_deficit(controller, &spec.team, &quota);
            }
            rest -= fit;
        }
        if has_deficit {
            result.demand_quota(spec, parts);
        }
    }

    /// As [`Self::find_deficit`] for tasks that are bound to zones.
    fn find_zone_bound_deficit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) -> usize {
        let spec = queued.spec;
        let factor = (self.factor)(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut with_room = Vec::new();
        for (part, mut constraint) in self.constrained_parts(queued, tasks) {
            let candidates = &mut self.free_capacity.candidates;
            let chosen = placement::fill(spec, candidates, factor, part.len(), |candidate| {
                let admitted = constraint.admits(&candidate.zone);
                if admitted {
                    constraint.add(&candidate.zone);
                }
                admitted
            });
            with_room.extend(chosen);
        }
        self.note_quota_deficit(spec, &with_room, used, result);
        for candidate in &with_room {
            let owner = self.free_capacity.candidates[*candidate].owner;
            used.add(owner, &spec.team, &quota);
        }
        with_room.len()
    }

    /// What the owners of these candidates lack for a task on each. No more than that: an
    /// owner that lacks something gives nothing up, so that with all of them in want
    /// no budget would ever move.
    pub(super) fn note_quota_deficit(
        &self,
        spec: &JobSpec,
        chosen: &[usize],
        used: &QuotaUse,
        result: &mut RoutingResult,
    ) {
        let mut tasks_by_owner: BTreeMap<usize, usize> = BTreeMap::new();
        for candidate in chosen {
            let owner = self.free_capacity.candidates[*candidate].owner;
            *tasks_by_owner.entry(owner).or_default() += 1;
        }
        let name_of = |owner: usize| &self.free_capacity.controllers[owner];
        let parts = tasks_by_owner.iter();
        let parts = parts.map(|(owner, tasks)| (name_of(*owner).clone(), *tasks as u32));
        result.demand_quota(spec, parts.collect());
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

    /// Notes tasks that found no room, for which machines are to be provisioned.
    pub(super) fn note_unplaced(
        &self,
        queued: &QueuedJob<'_>,
        tasks: u32,
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        if tasks == 0 {
            return;
        }
        let spec = queued.spec;
        // Machines come for these, so that later ones of the team find that
        // much less of its limit.
        let quota = Quota::from(&spec.per_task).times(f64::from(tasks));
        used.add_unplaced(&spec.team, &quota);
        result.unplaced.push(Unplaced {
            job: queued.id.clone(),
            tasks,
            overdue: self.is_overdue(spec),
        });
    }

    /// Whether tasks that have no room now wait too long.
    fn is_overdue(&self, spec: &JobSpec) -> bool {
        let age = spec.age(self.wall);
        match spec.deadline {
            Some(deadline) => age + spec.estimate > deadline,
            None => age > self.start_target && !spec.is_idle_work(),
        }
    }
}
