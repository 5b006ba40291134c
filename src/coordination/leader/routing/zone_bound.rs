//! Places tasks of jobs with zone constraints.

use std::collections::BTreeMap;

use super::{
    RoutingPass, RoutingResult, TrialPlacement, ZoneAssignment, queue_order::QueuedJob,
    quota_use::QuotaUsage,
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
    /// Handles the zone assignment of a job that must be in one zone and is placed record by
    /// record. Assigns a zone if there is none, and revokes the assignment if its zone has no
    /// capacity while another one has. Returns true if no task of the job is to be placed in
    /// this pass.
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
        let capacity = self.task_capacity_by_zone(spec);
        let largest = capacity.iter().max_by_key(|(_, tasks)| **tasks);
        let zone_with_capacity = largest
            .filter(|(_, tasks)| **tasks >= needed)
            .map(|(zone, _)| zone);
        let assignment = |zone| ZoneAssignment {
            job: (*id).clone(),
            zone,
        };
        let Some(assigned_zone) = &spec.assigned_zone else {
            let current = zone_usage::job_constraint(self.cache, job)
                .current_zone()
                .cloned();
            if let Some(zone) = current.or(zone_with_capacity.cloned()) {
                result.zone_assignments.push(assignment(Some(zone)));
            }
            return true;
        };
        let is_unplaced = job.present_tasks() == 0 && !self.outstanding_offers.contains_key(*id);
        let has_capacity = capacity
            .get(assigned_zone)
            .is_some_and(|tasks| *tasks >= needed);
        let revokes_assignment = is_unplaced && !has_capacity && zone_with_capacity.is_some();
        if revokes_assignment {
            result.zone_assignments.push(assignment(None));
        }
        revokes_assignment
    }

    /// Returns how many tasks of the job fit in each zone that it allows, regardless of its
    /// assigned zone.
    fn task_capacity_by_zone(&self, spec: &JobSpec) -> BTreeMap<ZoneName, usize> {
        let unconfined = JobSpec {
            assigned_zone: None,
            ..spec.clone()
        };
        let mut capacity: BTreeMap<ZoneName, usize> = BTreeMap::new();
        for candidate in &self.free_capacity.candidates {
            if placement::is_eligible(&unconfined, candidate) {
                let fit = spec.per_task.count_in(&candidate.free) as usize;
                *capacity.entry(candidate.zone.clone()).or_default() += fit;
            }
        }
        capacity
    }

    /// Returns the scope that the placement of a zone-bound job depends on.
    fn scope(&self, spec: &JobSpec) -> ZoneScope {
        ZoneScope::of(spec, self.changes_per_transaction)
    }

    /// Returns the zone constraint for the next task of a job. Outstanding offers count as
    /// placed.
    pub(super) fn constraint(&self, queued: &QueuedJob<'_>) -> ZoneConstraint {
        let mut constraint = zone_usage::job_constraint(self.cache, queued.job);
        self.count_outstanding_offers(queued, &mut constraint, |_| true);
        constraint
    }

    /// Splits the tasks into parts that share a zone constraint. Outstanding offers count as
    /// placed.
    pub(super) fn constrained_parts<'t>(
        &self,
        queued: &QueuedJob<'_>,
        tasks: &'t [u32],
    ) -> Vec<zone_usage::ConstrainedPart<'t>> {
        let scope = self.scope(queued.spec);
        let mut parts = zone_usage::constrained_parts(self.cache, queued.job, scope, tasks);
        for (part, constraint) in &mut parts {
            let record_index = part
                .first()
                .map_or(0, |task| task / keys::TASKS_PER_RUN_RECORD);
            self.count_outstanding_offers(queued, constraint, |task| {
                scope == ZoneScope::WholeJob || task / keys::TASKS_PER_RUN_RECORD == record_index
            });
        }
        parts
    }

    /// Counts the job's outstanding offers as placed, for those tasks that `counts` accepts.
    fn count_outstanding_offers(
        &self,
        queued: &QueuedJob<'_>,
        constraint: &mut ZoneConstraint,
        counts: impl Fn(u32) -> bool,
    ) {
        if !queued.spec.is_zone_bound() {
            return;
        }
        let outstanding = self.outstanding_offers.get(queued.id);
        for (task, offer) in outstanding.into_iter().flatten() {
            if let Some(record) = self.cache.machines.get(&offer.machine)
                && counts(*task)
            {
                constraint.add(&record.zone);
            }
        }
    }

    /// Places tasks with zone constraints by least estimated completion over all owners.
    pub(super) fn place_zone_bound(
        &mut self,
        queued: &QueuedJob<'_>,
        tasks: &[u32],
        used: &mut QuotaUsage,
    ) -> Vec<TrialPlacement> {
        let spec = queued.spec;
        let mut budgets: Vec<usize> = (0..self.free_capacity.controllers.len())
            .map(|owner| self.budget_left(owner, spec, used))
            .collect();
        let run_time_factor = (self.run_time_factor)(&spec.class);
        let quota = Quota::from(&spec.per_task);
        let mut placed = Vec::with_capacity(tasks.len());
        for (part, mut constraint) in self.constrained_parts(queued, tasks) {
            let candidates = &mut self.free_capacity.candidates;
            let chosen = placement::place_tasks(
                spec,
                candidates,
                run_time_factor,
                part.len(),
                |candidate| {
                    let admitted =
                        constraint.admits(&candidate.zone) && budgets[candidate.owner] > 0;
                    if admitted {
                        budgets[candidate.owner] -= 1;
                        constraint.add(&candidate.zone);
                        used.add(candidate.owner, &spec.team, &quota);
                    }
                    admitted
                },
            );
            let trials = part.iter().zip(chosen);
            placed.extend(trials.map(|(task, candidate)| TrialPlacement {
                task: *task,
                candidate,
            }));
        }
        placed
    }
}
