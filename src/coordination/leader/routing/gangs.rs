//! Places gangs: either all tasks of a gang at once or none.

use std::{collections::BTreeSet, time::Duration};

use super::{
    RoutingPass, RoutingResult,
    queue_order::QueuedJob,
    quota_use::QuotaUsage,
    state::{PREEMPTION_TIMEOUT, PartialGang},
};
use crate::{
    coordination::policy::placement::{self, CandidateMachine},
    storage::{JobSpec, Quota, TaskId, ZoneName},
};

/// Maximum time that a partially placed gang keeps its machines while the other tasks cannot be
/// placed. Without it, two gangs that are each half placed would deadlock.
const PARTIAL_GANG_TIMEOUT: Duration = Duration::from_secs(8);

/// Restricts the machines for the trial placement of a gang.
#[derive(Clone, Copy)]
struct GangSearchScope<'a> {
    /// Only machines of this owner, if set.
    owner: Option<usize>,
    /// Only machines in this zone, if set.
    zone: Option<&'a ZoneName>,
    /// Only as far as the owners' budgets allow.
    within_budgets: bool,
}

impl GangSearchScope<'_> {
    fn admits(&self, spec: &JobSpec, candidate: &CandidateMachine) -> bool {
        self.owner.is_none_or(|owner| candidate.owner == owner)
            && self.zone.is_none_or(|zone| candidate.zone == *zone)
            && spec.per_task.fits_in(&candidate.free)
            && placement::is_eligible(spec, candidate)
    }
}

/// Trial placement of all tasks of a gang.
struct GangTrial {
    /// Indices of the candidate machines, one for each task.
    candidates: Vec<usize>,
    /// Time until the last task would have its image.
    images_fetched_in: Duration,
    /// Time until the last task would be complete.
    completed_in: Duration,
}

impl RoutingPass<'_> {
    /// Whether a gang's waiting tasks may be placed now. If tasks remain of an attempt that cannot
    /// be completed, they are preempted. Without that they would end only when they notice that
    /// other tasks of the gang are gone, or, if they wait for the rest of the gang, after the
    /// agents' timeout `gang_wait_s`.
    pub(super) fn may_route_gang(
        &mut self,
        queued: &QueuedJob<'_>,
        result: &mut RoutingResult,
    ) -> bool {
        let QueuedJob { id, job, .. } = queued;
        let now = self.now;
        if job.present_tasks() == 0 {
            self.gangs.remove(*id);
            return true;
        }
        let new_gang = PartialGang {
            since: now,
            last_evicted: None,
        };
        let gang = self.gangs.entry((*id).clone()).or_insert(new_gang);
        let can_place = job.can_place_waiting_gang_tasks();
        if can_place && now.duration_since(gang.since) < PARTIAL_GANG_TIMEOUT {
            return true;
        }
        // All placed tasks of the gang are preempted; this is repeated only after the timeout.
        let last_evicted = gang.last_evicted;
        if last_evicted.is_none_or(|at| now.duration_since(at) > PREEMPTION_TIMEOUT) {
            gang.last_evicted = Some(now);
            self.evict_gang(queued, result);
            tracing::debug!(job = %id, joins = can_place, "partial gang evicted");
        }
        false
    }

    fn evict_gang(&self, queued: &QueuedJob<'_>, result: &mut RoutingResult) {
        for (task, placement) in queued.job.present_placements() {
            if let Some((_, entry)) = self.cache.shard_of(&placement.machine) {
                let controller = entry.value.controller.clone();
                let preempted = result.preempt.entry(controller).or_default();
                preempted.push(TaskId::new(queued.id.clone(), task));
            }
        }
    }

    /// Offers all tasks of a gang or none, at the best trial placement (see
    /// [`Self::soonest_trial`]). A single owner with capacity for all of them is preferred,
    /// since several owners would write the same run record.
    pub(super) fn route_gang(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        if let Some(trial) = self.soonest_trial(queued, tasks.len(), used, true) {
            self.offer_gang(queued, tasks, &trial, used, result);
        } else if let Some(trial) = self.soonest_trial(queued, tasks.len(), used, false) {
            // There is enough capacity, but the owners lack quota, which is requested for them.
            for candidate in &trial.candidates {
                self.free_capacity.candidates[*candidate].place_task(queued.spec);
            }
            self.add_quota_deficits(queued.spec, &trial.candidates, used, result);
            result.counts.covered += tasks.len();
        } else {
            self.add_unplaced(queued, tasks.len() as u32, used, result);
        }
    }

    fn offer_gang(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        trial: &GangTrial,
        used: &mut QuotaUsage,
        result: &mut RoutingResult,
    ) {
        let spec = queued.spec;
        let quota = Quota::from(&spec.per_task);
        for (task, candidate) in tasks.iter().zip(&trial.candidates) {
            let owner = self.free_capacity.candidates[*candidate].owner;
            self.free_capacity.candidates[*candidate].place_task(spec);
            used.add(owner, &spec.team, &quota);
            self.offer(queued.id, *task, *candidate, result);
        }
    }

    /// Returns the best trial placement of the gang. Placements at a single owner come first,
    /// then those over all owners; among these, the one whose images are fetched first, then
    /// the one that completes first.
    fn soonest_trial(
        &self,
        queued: &QueuedJob<'_>,
        tasks: usize,
        used: &QuotaUsage,
        within_budgets: bool,
    ) -> Option<GangTrial> {
        let zones = self.zones_to_try(queued.spec);
        let owners = (0..self.free_capacity.controllers.len()).map(Some);
        owners
            .chain([None])
            .flat_map(|owner| zones.iter().map(move |zone| (owner, zone.as_ref())))
            .filter_map(|(owner, zone)| {
                let scope = GangSearchScope {
                    owner,
                    zone,
                    within_budgets,
                };
                let trial = self.try_placing_gang(queued, tasks, used, scope)?;
                Some((owner.is_none(), trial))
            })
            .min_by_key(|(several_owners, trial)| {
                (*several_owners, trial.images_fetched_in, trial.completed_in)
            })
            .map(|(_, trial)| trial)
    }

    /// Returns each zone separately for a gang that must be in one zone, else a single entry
    /// for all zones.
    fn zones_to_try(&self, spec: &JobSpec) -> Vec<Option<ZoneName>> {
        if !spec.one_zone {
            return vec![None];
        }
        let candidates = self.free_capacity.candidates.iter();
        let zones: BTreeSet<&ZoneName> = candidates.map(|candidate| &candidate.zone).collect();
        zones.into_iter().cloned().map(Some).collect()
    }

    /// Returns a trial placement of all tasks of a gang within this scope, if there is one.
    fn try_placing_gang(
        &self,
        queued: &QueuedJob<'_>,
        tasks: usize,
        used: &QuotaUsage,
        scope: GangSearchScope<'_>,
    ) -> Option<GangTrial> {
        let spec = queued.spec;
        let run_time_factor = (self.run_time_factor)(&spec.class);
        let candidates = self.free_capacity.candidates.iter().enumerate();
        let (indices, mut candidates): (Vec<usize>, Vec<CandidateMachine>) = candidates
            .filter(|(_, candidate)| scope.admits(spec, candidate))
            .map(|(index, candidate)| (index, candidate.clone()))
            .unzip();
        let mut constraint = self.constraint(queued);
        let mut budgets: Vec<usize> = (0..self.free_capacity.controllers.len())
            .map(|owner| match scope.within_budgets {
                true => self.budget_left(owner, spec, used),
                false => usize::MAX,
            })
            .collect();
        let chosen =
            placement::place_tasks(spec, &mut candidates, run_time_factor, tasks, |candidate| {
                let admitted = constraint.admits(&candidate.zone) && budgets[candidate.owner] > 0;
                if admitted {
                    budgets[candidate.owner] -= 1;
                    constraint.add(&candidate.zone);
                }
                admitted
            });
        if chosen.len() < tasks {
            return None;
        }
        let chosen = chosen.into_iter().map(|position| indices[position]);
        Some(self.gang_trial(spec, run_time_factor, chosen.collect()))
    }

    fn gang_trial(
        &self,
        spec: &JobSpec,
        run_time_factor: f64,
        candidates: Vec<usize>,
    ) -> GangTrial {
        let estimates = || {
            let chosen = candidates.iter();
            let chosen = chosen.map(|index| &self.free_capacity.candidates[*index]);
            chosen.map(|candidate| placement::estimate(spec, candidate, run_time_factor))
        };
        let images_fetched_in = estimates().map(|estimate| estimate.fetch).max();
        let completed_in = estimates().map(|estimate| estimate.completion()).max();
        GangTrial {
            images_fetched_in: images_fetched_in.unwrap_or_default(),
            completed_in: completed_in.unwrap_or_default(),
            candidates,
        }
    }
}
