//! What tasks without a place lack: quota at an owner, room that can be cleared, or room.

use std::collections::BTreeMap;

use super::quota_use::QuotaUse;

use crate::{
    coordination::{
        leader::routing::{
            PlacementRequirements, QueuedJob, QuotaDemand, RoutingPass, RoutingResult, Unplaced,
        },
        policy::placement,
    },
    storage::{ControllerName, JobKind, JobSpec, Quota, keys},
};

impl RoutingResult {
    /// Notes tasks that owners have room for, of which some lack quota.
    fn demand_quota(&mut self, spec: &JobSpec, parts: Vec<(ControllerName, u32)>) {
        let tasks = ::quota::TaskDemand {
            parts,
            per_task: Quota::from(&spec.per_task),
            is_whole: spec.kind == JobKind::Gang,
        };
        let team = spec.team.clone();
        self.demand.push(QuotaDemand { team, tasks });
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
        let spec = queued.spec;
        let covered = if spec.is_zone_bound() {
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
    pub(super) fn find_deficit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) -> usize {
        let QueuedJob { id, spec, job, .. } = queued;
        let factor = (self.factor)(&spec.class);
        let count = tasks.len();
        let mut fits =
            placement::compare_owners(spec, &self.free_capacity.candidates, factor, count);
        let quota = Quota::from(&spec.per_task);
        let free: f64 = fits.values().map(|fit| fit.free).sum();
        let fit_in_all: usize = fits.values().map(|fit| fit.tasks).sum();
        if fit_in_all == 0 {
            self.full.insert(PlacementRequirements::of(spec));
            return 0;
        }
        let writers = self.writers(id, job, tasks[0] / keys::CHUNK);
        let mut parts: Vec<(ControllerName, u32)> = Vec::new();
        let mut has_deficit = false;
        let mut rest = count;
        while rest > 0
            && let Some(owner) = placement::best_owner(&fits, &writers)
        {
            let fit = fits.remove(&owner).map_or(0, |fit| fit.tasks).min(rest);
            let missing = fit.saturating_sub(self.budget_left(owner, spec, used));
            parts.push((self.free_capacity.controllers[owner].clone(), fit as u32));
            if missing > 0 {
                has_deficit = true;
                let quota = quota.times(missing as f64);
                used.add(owner, &spec.team, &quota);
                let key = (
                    self.free_capacity.controllers[owner].clone(),
                    spec.team.clone(),
                );
                let deficit = result.deficit.entry(key).or_default();
                *deficit = deficit.plus(&quota);
            }
            rest -= fit;
        }
        if has_deficit {
            result.demand_quota(spec, parts);
        }
        // Earlier jobs wait for some of that room.
        let unclaimed = (free - result.claimed).max(0.0) / spec.per_task.cpus.max(0.01);
        let covered = count.min(fit_in_all).min(unclaimed as usize);
        result.claimed += spec.per_task.cpus * covered as f64;
        covered
    }

    /// As [`Self::lacking`] for tasks that are bound to zones.
    pub(super) fn find_zone_bound_deficit(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) -> usize {
        let spec = queued.spec;
        let factor = (self.factor)(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut roomy = Vec::new();
        for (part, mut constraint) in self.constrained_parts(queued, tasks) {
            let candidates = &mut self.free_capacity.candidates;
            roomy.extend(placement::fill(
                spec,
                candidates,
                factor,
                part.len(),
                |candidate| {
                    let admitted = constraint.admits(&candidate.zone);
                    if admitted {
                        constraint.add(&candidate.zone);
                    }
                    admitted
                },
            ));
        }
        self.note_quota_deficit(spec, &roomy, used, result);
        for at in &roomy {
            used.add(self.free_capacity.candidates[*at].owner, &spec.team, &quota);
        }
        roomy.len()
    }

    /// What the owners of these slots lack for a task in each. No more than that: a
    /// owner that lacks something gives nothing up, so that with all of them in want
    /// no budget would ever move.
    pub(super) fn note_quota_deficit(
        &self,
        spec: &JobSpec,
        chosen: &[usize],
        used: &QuotaUse,
        result: &mut RoutingResult,
    ) {
        let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
        for at in chosen {
            *counts
                .entry(self.free_capacity.candidates[*at].owner)
                .or_default() += 1;
        }
        let parts = counts.iter().map(|(owner, count)| {
            (
                self.free_capacity.controllers[*owner].clone(),
                *count as u32,
            )
        });
        result.demand_quota(spec, parts.collect());
        for (owner, count) in counts {
            let key = (
                self.free_capacity.controllers[owner].clone(),
                spec.team.clone(),
            );
            let reserved = result.reserved.entry(key).or_default();
            *reserved = reserved.plus(&Quota::from(&spec.per_task).times(count as f64));
            let missing = count.saturating_sub(self.budget_left(owner, spec, used));
            if missing > 0 {
                let key = (
                    self.free_capacity.controllers[owner].clone(),
                    spec.team.clone(),
                );
                let deficit = result.deficit.entry(key).or_default();
                *deficit = deficit.plus(&Quota::from(&spec.per_task).times(missing as f64));
            }
        }
    }

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
        let sum = used.all.entry(spec.team.clone()).or_default();
        *sum = sum.plus(&quota);
        let age = spec.age(self.wall);
        let overdue = match spec.deadline {
            Some(deadline) => age + spec.estimate > deadline,
            None => age > self.start_target && !spec.is_idle_work(),
        };
        result.unplaced.push(Unplaced {
            job: queued.id.clone(),
            tasks,
            overdue,
        });
    }
}
