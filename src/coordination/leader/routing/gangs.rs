//! Places gangs: all tasks of one at once, or none.

use std::{collections::BTreeSet, time::Duration};

use super::quota_use::QuotaUse;

use crate::{
    coordination::{
        leader::routing::{PREEMPTION_TIMEOUT, QueuedJob, RoutingPass, RoutingResult},
        policy::placement,
    },
    storage::{Quota, TaskId, ZoneName},
};

/// A part of a gang keeps its place for this long while the rest finds none: two
/// gangs that are each half placed would lock one another out for good.
const PARTIAL_GANG_TIMEOUT: Duration = Duration::from_secs(8);

/// Where a gang is tried.
#[derive(Clone, Copy)]
struct GangSearchScope<'a> {
    owner: Option<usize>,
    zone: Option<&'a ZoneName>,
    /// Only where the owner's budget allows it.
    budgets: bool,
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
        let (since, last_evicted) = self.gangs.entry((*id).clone()).or_insert((now, None));
        let joins = job.may_join();
        if joins && now.duration_since(*since) < PARTIAL_GANG_TIMEOUT {
            return true;
        }
        // Once told to leave, all of it does.
        if last_evicted.is_none_or(|at| now.duration_since(at) > PREEMPTION_TIMEOUT) {
            *last_evicted = Some(now);
            let tasks = job.present_placements();
            for (task, placement) in tasks {
                if let Some((_, entry)) = self.cache.shard_of(&placement.machine) {
                    let leaving = result
                        .preempt
                        .entry(entry.value.controller.clone())
                        .or_default();
                    leaving.push(TaskId::new((*id).clone(), task));
                }
            }
            tracing::debug!(job = %id, joins, "partial gang evicted");
        }
        false
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
        let spec = queued.spec;
        let quota = Quota::from(&spec.per_task);
        let mut zones: Vec<Option<ZoneName>> = vec![None];
        if spec.one_zone {
            let candidates = self.free_capacity.candidates.iter();
            let all: BTreeSet<&ZoneName> = candidates.map(|candidate| &candidate.zone).collect();
            zones = all.into_iter().cloned().map(Some).collect();
        }
        for budgets in [true, false] {
            let owners = (0..self.free_capacity.controllers.len()).map(Some);
            let found = owners
                .chain([None])
                .flat_map(|owner| zones.iter().map(move |zone| (owner, zone.as_ref())))
                .filter_map(|(owner, zone)| {
                    let within = GangSearchScope {
                        owner,
                        zone,
                        budgets,
                    };
                    let (soonest, at) = self.try_gang(queued, tasks.len(), used, within)?;
                    Some((owner.is_none(), soonest, at))
                })
                .min_by_key(|(several, soonest, _)| (*several, *soonest));
            let Some((_, _, chosen)) = found else {
                continue;
            };
            for (task, at) in tasks.iter().zip(&chosen) {
                let owner = self.free_capacity.candidates[*at].owner;
                self.free_capacity.candidates[*at].put(spec);
                if budgets {
                    used.add(owner, &spec.team, &quota);
                    self.offer(queued.id, *task, *at, result);
                }
            }
            if !budgets {
                // There is room: its owners are to get what they lack.
                self.note_quota_deficit(spec, &chosen, used, result);
                result.counts.covered += tasks.len();
            }
            return;
        }
        self.note_unplaced(queued, tasks.len() as u32, used, result);
    }

    /// Slots for all of a gang's tasks, with the times in which the last of them would
    /// have its image and be complete.
    fn try_gang(
        &self,
        queued: &QueuedJob<'_>,
        count: usize,
        used: &QuotaUse,
        within: GangSearchScope<'_>,
    ) -> Option<((Duration, Duration), Vec<usize>)> {
        let spec = queued.spec;
        let factor = (self.factor)(&spec.class);
        let (at, mut candidates): (Vec<usize>, Vec<placement::CandidateMachine>) = self
            .free_capacity
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| {
                within.owner.is_none_or(|owner| candidate.owner == owner)
                    && within.zone.is_none_or(|zone| candidate.zone == *zone)
                    && spec.per_task.fits_in(&candidate.room)
                    && placement::allowed(spec, candidate)
            })
            .map(|(at, candidate)| (at, candidate.clone()))
            .unzip();
        let mut constraint = self.constraint(queued);
        let mut budgets: Vec<usize> = (0..self.free_capacity.controllers.len())
            .map(|owner| match within.budgets {
                true => self.budget_left(owner, spec, used),
                false => usize::MAX,
            })
            .collect();
        let chosen = placement::fill(spec, &mut candidates, factor, count, |candidate| {
            let admitted = constraint.admits(&candidate.zone) && budgets[candidate.owner] > 0;
            if admitted {
                budgets[candidate.owner] -= 1;
                constraint.add(&candidate.zone);
            }
            admitted
        });
        if chosen.len() < count {
            return None;
        }
        let chosen: Vec<usize> = chosen.into_iter().map(|n| at[n]).collect();
        let estimates = || {
            let candidates = chosen.iter().map(|at| &self.free_capacity.candidates[*at]);
            candidates.map(|candidate| placement::estimate(spec, candidate, factor))
        };
        let fetched = estimates().map(|e| e.fetch).max().unwrap_or_default();
        let complete = estimates().map(|e| e.completion()).max();
        Some(((fetched, complete.unwrap_or_default()), chosen))
    }
}
