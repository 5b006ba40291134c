//! Zone constraints of a job's next tasks, derived from the zones of its placed tasks in the state
//! cache.

use super::policy::zone_constraint::{ZoneConstraint, ZoneScope};
use crate::storage::{
    JobSpec, StateCache, ZoneName, keys,
    records::{Placement, RunRecord},
    state_cache,
};

/// Returns the constraint for the next task of a job, by all its placed tasks.
pub(super) fn job_constraint(cache: &StateCache, job: &state_cache::Job) -> ZoneConstraint {
    let Some(spec) = job.spec().filter(|spec| spec.is_zone_bound()) else {
        return ZoneConstraint::default();
    };
    let mut constraint = ZoneConstraint::of_job(spec);
    confine_to_assigned_zone(&mut constraint, spec);
    for entry in job.run_records.values() {
        count_placed_tasks(cache, &entry.value, &mut constraint);
    }
    constraint
}

/// The constraints for the next task of each run record of a job whose scope is
/// [`ZoneScope::PerRecord`].
pub(super) struct RecordConstraints<'a> {
    cache: &'a StateCache,
    job: &'a state_cache::Job,
    spec: Option<&'a JobSpec>,
    /// Indices of records and zones in which the record has more tasks than its own limit: it was written
    /// by the rule for the whole job, before the state service's limits were lowered. The other
    /// records place no more tasks in these zones, to keep the limit of the whole job.
    exceeded: Vec<(u32, ZoneName)>,
}

impl<'a> RecordConstraints<'a> {
    /// Derives the constraints from all run records of the job.
    pub(super) fn new(cache: &'a StateCache, job: &'a state_cache::Job) -> Self {
        let spec = job.spec().map(|spec| &**spec);
        let mut constraints = Self {
            cache,
            job,
            spec: spec.filter(|spec| spec.is_zone_bound()),
            exceeded: Vec::new(),
        };
        constraints.exceeded = constraints.find_exceeded();
        constraints
    }

    fn find_exceeded(&self) -> Vec<(u32, ZoneName)> {
        let Some(spec) = self.spec.filter(|spec| spec.spread) else {
            return Vec::new();
        };
        let mut exceeded = Vec::new();
        for (record_index, entry) in &self.job.run_records {
            if entry.value.placed.len() > keys::TASKS_PER_RUN_RECORD as usize / 2 {
                let constraint = self.current_constraint(spec, *record_index);
                let zones = constraint.overfull_zones().cloned();
                exceeded.extend(zones.map(|zone| (*record_index, zone)));
            }
        }
        exceeded
    }

    fn current_constraint(&self, spec: &JobSpec, record_index: u32) -> ZoneConstraint {
        let mut constraint = ZoneConstraint::of_record(spec, record_index);
        if let Some(entry) = self.job.run_records.get(&record_index) {
            count_placed_tasks(self.cache, &entry.value, &mut constraint);
        }
        constraint
    }

    /// Returns the constraint for the next task of the run record with this index.
    pub(super) fn for_record(&self, record_index: u32) -> ZoneConstraint {
        let Some(spec) = self.spec else {
            return ZoneConstraint::default();
        };
        let mut constraint = self.current_constraint(spec, record_index);
        confine_to_assigned_zone(&mut constraint, spec);
        for (other, zone) in &self.exceeded {
            if *other != record_index {
                constraint.exclude_zone(zone.clone());
            }
        }
        constraint
    }
}

fn confine_to_assigned_zone(constraint: &mut ZoneConstraint, spec: &JobSpec) {
    if let Some(assigned_zone) = &spec.assigned_zone {
        constraint.confine_to(assigned_zone.clone());
    }
}

fn count_placed_tasks(cache: &StateCache, record: &RunRecord, constraint: &mut ZoneConstraint) {
    for placement in record.placed.values() {
        if let Some(zone) = zone_of(cache, placement) {
            constraint.add(zone);
        }
    }
}

fn zone_of<'a>(cache: &'a StateCache, placement: &Placement) -> Option<&'a ZoneName> {
    let machine = cache.machines.get(&placement.machine)?;
    Some(&machine.zone)
}

/// Tasks of a job that share a zone constraint, with the constraint.
pub(super) type ConstrainedPart<'a> = (&'a [u32], ZoneConstraint);

/// Splits tasks of a job into parts that share a zone constraint.
pub(super) fn constrained_parts<'a>(
    cache: &StateCache,
    job: &state_cache::Job,
    scope: ZoneScope,
    tasks: &'a [u32],
) -> Vec<ConstrainedPart<'a>> {
    if scope == ZoneScope::WholeJob {
        return vec![(tasks, job_constraint(cache, job))];
    }
    let constraints = RecordConstraints::new(cache, job);
    let record_index_of = |task: u32| task / keys::TASKS_PER_RUN_RECORD;
    tasks
        .chunk_by(|a, b| record_index_of(*a) == record_index_of(*b))
        .map(|part| (part, constraints.for_record(record_index_of(part[0]))))
        .collect()
}

/// Whether the leader must choose the job's zone before any of its tasks can be placed.
pub(super) fn needs_zone_assignment(spec: &JobSpec, scope: ZoneScope) -> bool {
    spec.one_zone && spec.assigned_zone.is_none() && scope == ZoneScope::PerRecord
}
