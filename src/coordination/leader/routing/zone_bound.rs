//! Places tasks of jobs that are bound to zones.

use std::collections::BTreeMap;

use super::{
    RoutingPass, RoutingResult, TrialPlacement, ZoneAssignment, queue_order::QueuedJob,
    quota_use::QuotaUse,
};
use crate::{
    coordination::{
        policy::{
            placement,
            zone_constraint::{ZoneConstraint, ZoneScope},
        },
        zone_usage,
    },
    storage::{JobKind, JobSpec, Quota, ZoneName, keys},
};

impl RoutingPass<'_> {
    /// Chooses the zone of a job of many records that must be in one zone, or has it
    /// chosen anew when its zone has no room while another has. True: nothing of it is
    /// placed in this pass.
    pub(super) fn awaits_zone_assignment(
        &self,
        queued: &QueuedJob<'_>,
        tasks: usize,
        result: &mut RoutingResult,
    ) -> bool {
        let QueuedJob { id, spec, job, .. } = queued;
        if !spec.one_zone || self.scope(spec) == ZoneScope::WholeJob {
            return false;
        }
        let needed = if spec.kind == JobKind::Gang { tasks } else { 1 };
        let room = self.room_by_zone(spec);
        let largest = room.iter().max_by_key(|(_, room)| **room);
        let zone_with_room = largest
            .filter(|(_, room)| **room >= needed)
            .map(|(zone, _)| zone);
        let assignment = |zone| ZoneAssignment {
            job: (*id).clone(),
            zone,
        };
        let Some(assigned_zone) = &spec.assigned_zone else {
            let current = zone_usage::job_constraint(self.cache, job)
                .current_zone()
                .cloned();
            if let Some(zone) = current.or(zone_with_room.cloned()) {
                result.zone_assignments.push(assignment(Some(zone)));
            }
            return true;
        };
        let is_nowhere = job.present() == 0 && !self.offered.contains_key(*id);
        let has_room = room.get(assigned_zone).is_some_and(|room| *room >= needed);
        let moves = is_nowhere && !has_room && zone_with_room.is_some();
        if moves {
            result.zone_assignments.push(assignment(None));
        }
        moves
    }

    /// Tasks of the job that fit in each zone that it allows, wherever it is confined to.
    fn room_by_zone(&self, spec: &JobSpec) -> BTreeMap<ZoneName, usize> {
        let anywhere = JobSpec {
            assigned_zone: None,
            ..spec.clone()
        };
        let mut room: BTreeMap<ZoneName, usize> = BTreeMap::new();
        for candidate in &self.free_capacity.candidates {
            if placement::allowed(&anywhere, candidate) {
                let fit = spec.per_task.count_in(&candidate.room) as usize;
                *room.entry(candidate.zone.clone()).or_default() += fit;
            }
        }
        room
    }

    /// What the placement of a zone-bound job depends on.
    fn scope(&self, spec: &JobSpec) -> ZoneScope {
        ZoneScope::of(spec, self.changes_per_transaction)
    }

    /// The zone constraint for the next task of a job; those under way are as good as
    /// there.
    pub(super) fn constraint(&self, queued: &QueuedJob<'_>) -> ZoneConstraint {
        let mut constraint = zone_usage::job_constraint(self.cache, queued.job);
        self.count_offered(queued, &mut constraint, |_| true);
        constraint
    }

    /// The tasks in parts that share a zone constraint.
    pub(super) fn constrained_parts<'t>(
        &self,
        queued: &QueuedJob<'_>,
        tasks: &'t [u32],
    ) -> Vec<zone_usage::ConstrainedPart<'t>> {
        let scope = self.scope(queued.spec);
        let mut parts = zone_usage::constrained_parts(self.cache, queued.job, scope, tasks);
        for (part, constraint) in &mut parts {
            let record = part.first().map_or(0, |task| task / keys::CHUNK);
            self.count_offered(queued, constraint, |task| {
                scope == ZoneScope::WholeJob || task / keys::CHUNK == record
            });
        }
        parts
    }

    /// Counts the job's tasks under way that `counts` admits as placed.
    fn count_offered(
        &self,
        queued: &QueuedJob<'_>,
        constraint: &mut ZoneConstraint,
        counts: impl Fn(u32) -> bool,
    ) {
        if !queued.spec.is_zone_bound() {
            return;
        }
        let under_way = self.offered.get(queued.id);
        for (task, offered) in under_way.into_iter().flatten() {
            if let Some(record) = self.cache.machines.get(&offered.machine)
                && counts(*task)
            {
                constraint.add(&record.zone);
            }
        }
    }

    /// Tasks that are bound to zones, or to each other's: by least estimated
    /// completion over all owners.
    pub(super) fn place_zone_bound(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUse,
    ) -> Vec<TrialPlacement> {
        let spec = queued.spec;
        let mut budgets: Vec<usize> = (0..self.free_capacity.controllers.len())
            .map(|owner| self.budget_left(owner, spec, used))
            .collect();
        let factor = (self.factor)(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut placed = Vec::with_capacity(tasks.len());
        for (part, mut constraint) in self.constrained_parts(queued, tasks) {
            let candidates = &mut self.free_capacity.candidates;
            let chosen = placement::fill(spec, candidates, factor, part.len(), |candidate| {
                let admitted = constraint.admits(&candidate.zone) && budgets[candidate.owner] > 0;
                if admitted {
                    budgets[candidate.owner] -= 1;
                    constraint.add(&candidate.zone);
                    used.add(candidate.owner, &spec.team, &quota);
                }
                admitted
            });
            let trials = part.iter().zip(chosen);
            placed.extend(trials.map(|(task, candidate)| TrialPlacement {
                task: *task,
                candidate,
            }));
        }
        placed
    }
}
