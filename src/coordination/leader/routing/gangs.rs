//! Places gangs: all tasks of one at once, or none.

use std::{collections::BTreeSet, time::Duration};

use super::{
    RoutingPass, RoutingResult,
    queue_order::QueuedJob,
    quota_use::QuotaUse,
    state::{PREEMPTION_TIMEOUT, PartialGang},
};
use crate::{
    coordination::policy::placement::{self, CandidateMachine},
    storage::{JobSpec, Quota, TaskId, ZoneName},
};

/// A part of a gang keeps its place for this long while the rest finds none: two
/// gangs that are each half placed would lock one another out for good.
const PARTIAL_GANG_TIMEOUT: Duration = Duration::from_secs(8);

/// Where a gang is tried.
#[derive(Clone, Copy)]
struct GangSearchScope<'a> {
    /// Only on this owner's machines.
    owner: Option<usize>,
    /// Only in this zone.
    zone: Option<&'a ZoneName>,
    /// Only where the owner's budget allows it.
    within_budgets: bool,
}

impl GangSearchScope<'_> {
    fn admits(&self, spec: &JobSpec, candidate: &CandidateMachine) -> bool {
        self.owner.is_none_or(|owner| candidate.owner == owner)
            && self.zone.is_none_or(|zone| candidate.zone == *zone)
            && spec.per_task.fits_in(&candidate.room)
            && placement::allowed(spec, candidate)
    }
}

/// A place for all tasks of a gang.
struct GangTrial {
    /// Indices of the candidate machines, one for each task.
    candidates: Vec<usize>,
    /// When the last task would have its image.
    fetched: Duration,
    /// When the last task would be complete.
    complete: Duration,
}

impl RoutingPass<'_> {
    /// Whether a gang's waiting tasks may be placed now. What is still there of an
    /// attempt that can't be completed is told to leave: its mates would do so only
    /// when they notice, and a part that waits for the rest not for `gang_wait_s`.
    pub(super) fn may_join(&mut self, queued: &QueuedJob<'_>, result: &mut RoutingResult) -> bool {
        let QueuedJob { id, job, .. } = queued;
        let now = self.now;
        if job.present() == 0 {
            self.gangs.remove(*id);
            return true;
        }
        let begun = PartialGang {
            since: now,
            last_evicted: None,
        };
        let gang = self.gangs.entry((*id).clone()).or_insert(begun);
        let joins = job.may_join();
        if joins && now.duration_since(gang.since) < PARTIAL_GANG_TIMEOUT {
            return true;
        }
        // Once told to leave, all of it does.
        let last_evicted = gang.last_evicted;
        if last_evicted.is_none_or(|at| now.duration_since(at) > PREEMPTION_TIMEOUT) {
            gang.last_evicted = Some(now);
            self.evict_gang(queued, result);
            tracing::debug!(job = %id, joins, "partial gang evicted");
        }
        false
    }

    fn evict_gang(&self, queued: &QueuedJob<'_>, result: &mut RoutingResult) {
        for (task, placement) in queued.job.present_placements() {
            if let Some((_, entry)) = self.cache.shard_of(&placement.machine) {
                let controller = entry.value.controller.clone();
                let leaving = result.preempt.entry(controller).or_default();
                leaving.push(TaskId::new(queued.id.clone(), task));
            }
        }
    }

    /// All tasks of a gang at once, or none: at one owner if one has room for all of
    /// them, since two would write the same record, and where it is complete soonest.
    pub(super) fn route_gang(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        if let Some(trial) = self.soonest_trial(queued, tasks.len(), used, true) {
            self.offer_gang(queued, tasks, &trial, used, result);
        } else if let Some(trial) = self.soonest_trial(queued, tasks.len(), used, false) {
            // There is room: its owners are to get what they lack.
            for candidate in &trial.candidates {
                self.free_capacity.candidates[*candidate].put(queued.spec);
            }
            self.note_quota_deficit(queued.spec, &trial.candidates, used, result);
            result.counts.covered += tasks.len();
        } else {
            self.note_unplaced(queued, tasks.len() as u32, used, result);
        }
    }

    fn offer_gang(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        trial: &GangTrial,
        used: &mut QuotaUse,
        result: &mut RoutingResult,
    ) {
        let spec = queued.spec;
        let quota = Quota::from(&spec.per_task);
        for (task, candidate) in tasks.iter().zip(&trial.candidates) {
            let owner = self.free_capacity.candidates[*candidate].owner;
            self.free_capacity.candidates[*candidate].put(spec);
            used.add(owner, &spec.team, &quota);
            self.offer(queued.id, *task, *candidate, result);
        }
    }

    /// Of all owners and zones, and then of all owners together, the place where the gang
    /// is complete soonest.
    fn soonest_trial(
        &self,
        queued: &QueuedJob<'_>,
        tasks: usize,
        used: &QuotaUse,
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
                let trial = self.try_gang(queued, tasks, used, scope)?;
                Some((owner.is_none(), trial))
            })
            .min_by_key(|(several_owners, trial)| (*several_owners, trial.fetched, trial.complete))
            .map(|(_, trial)| trial)
    }

    /// Each zone by itself for a gang that is bound to one, else all at once.
    fn zones_to_try(&self, spec: &JobSpec) -> Vec<Option<ZoneName>> {
        if !spec.one_zone {
            return vec![None];
        }
        let candidates = self.free_capacity.candidates.iter();
        let zones: BTreeSet<&ZoneName> = candidates.map(|candidate| &candidate.zone).collect();
        zones.into_iter().cloned().map(Some).collect()
    }

    /// A place for all of a gang's tasks within this scope.
    fn try_gang(
        &self,
        queued: &QueuedJob<'_>,
        tasks: usize,
        used: &QuotaUse,
        scope: GangSearchScope<'_>,
    ) -> Option<GangTrial> {
        let spec = queued.spec;
        let factor = (self.factor)(&spec.class);
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
        let chosen = placement::fill(spec, &mut candidates, factor, tasks, |candidate| {
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
        Some(self.gang_trial(spec, factor, chosen.collect()))
    }

    fn gang_trial(&self, spec: &JobSpec, factor: f64, candidates: Vec<usize>) -> GangTrial {
        let estimates = || {
            let chosen = candidates.iter();
            let chosen = chosen.map(|index| &self.free_capacity.candidates[*index]);
            chosen.map(|candidate| placement::estimate(spec, candidate, factor))
        };
        let fetched = estimates().map(|estimate| estimate.fetch).max();
        let complete = estimates().map(|estimate| estimate.completion()).max();
        GangTrial {
            fetched: fetched.unwrap_or_default(),
            complete: complete.unwrap_or_default(),
            candidates,
        }
    }
}
