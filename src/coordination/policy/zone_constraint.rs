//! Constraints on the zones in which a job's next task may be placed.
//!
//! A job may require all of its tasks in one zone, or at most half of them in any zone. Such a
//! placement depends on one of two scopes:
//!
//! - [`ZoneScope::WholeJob`]: all run records of the job, which are conditions of the
//!   transaction. This needs no additional state, but the number of conditions is limited.
//! - [`ZoneScope::PerRecord`]: only the record that is written and the spec. At most half of
//!   the tasks of each record are in one zone. This adds up to half of the job, since every
//!   record but the last has an even number of tasks. A job that must be in one zone is
//!   confined to the zone in its spec (`assigned_zone`).

use std::collections::{BTreeMap, BTreeSet};

use crate::storage::{JobSpec, ZoneName, client::CONDITIONS_PER_CHANGE, keys};

/// Conditions of a placement besides the job's run records: the controller's quota, the spec,
/// the outcome and one shard.
const NON_RECORD_CONDITIONS: usize = 4;

/// State that the placement of a task of a zone-bound job depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneScope {
    /// All run records of the job.
    WholeJob,
    /// Only the task's own run record; the rule for a record is independent of the other
    /// records.
    PerRecord,
}

impl ZoneScope {
    /// Returns the scope of a job's placements, given the maximum number of changes per
    /// transaction.
    pub fn of(spec: &JobSpec, changes_per_transaction: usize) -> Self {
        let conditions = spec.run_record_count() as usize + NON_RECORD_CONDITIONS;
        if spec.is_zone_bound() && conditions > CONDITIONS_PER_CHANGE * changes_per_transaction {
            ZoneScope::PerRecord
        } else {
            ZoneScope::WholeJob
        }
    }
}

/// Zones in which the next task of a job, or of one of its run records, may be placed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneConstraint {
    /// All tasks must be in the same zone.
    one_zone: bool,
    /// Maximum number of tasks in a zone, if the job is spread over zones.
    max_tasks_per_zone: Option<u32>,
    /// Number of tasks in each zone. A zone that the job is confined to has an entry even
    /// without tasks.
    tasks_by_zone: BTreeMap<ZoneName, u32>,
    /// Zones that take no more tasks, regardless of their number of tasks.
    excluded_zones: BTreeSet<ZoneName>,
}

/// Returns half of the tasks, rounded up.
fn half_rounded_up(tasks: u32) -> u32 {
    tasks.div_ceil(2)
}

impl ZoneConstraint {
    /// Returns the constraint of a whole job without any placed task.
    pub fn of_job(spec: &JobSpec) -> Self {
        Self {
            one_zone: spec.one_zone,
            max_tasks_per_zone: spec.spread.then(|| spec.zone_limit()),
            tasks_by_zone: BTreeMap::new(),
            excluded_zones: BTreeSet::new(),
        }
    }

    /// Returns the constraint of the run record with this index, without any placed task.
    pub fn of_record(spec: &JobSpec, record_index: u32) -> Self {
        let first = record_index * keys::TASKS_PER_RUN_RECORD;
        let tasks = spec
            .tasks
            .saturating_sub(first)
            .min(keys::TASKS_PER_RUN_RECORD);
        Self {
            max_tasks_per_zone: spec.spread.then(|| half_rounded_up(tasks)),
            ..Self::of_job(spec)
        }
    }

    /// Whether one more task may be placed in this zone.
    pub fn admits(&self, zone: &ZoneName) -> bool {
        if self.one_zone && self.tasks_by_zone.keys().any(|other| other != zone) {
            return false;
        }
        let count = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        !self.excluded_zones.contains(zone) && self.max_tasks_per_zone.is_none_or(|max| count < max)
    }

    /// Returns how many more tasks may be placed in this zone.
    pub fn remaining_tasks(&self, zone: &ZoneName) -> u32 {
        if !self.admits(zone) {
            return 0;
        }
        let count = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        self.max_tasks_per_zone.map_or(u32::MAX, |max| max - count)
    }

    /// Counts one more task as placed in this zone.
    pub fn add(&mut self, zone: &ZoneName) {
        self.add_tasks(zone, 1);
    }

    /// Counts more tasks as placed in this zone.
    pub fn add_tasks(&mut self, zone: &ZoneName, tasks: u32) {
        *self.tasks_by_zone.entry(zone.clone()).or_default() += tasks;
    }

    /// Confines a job that must be in one zone to this zone.
    pub fn confine_to(&mut self, zone: ZoneName) {
        self.tasks_by_zone.entry(zone).or_default();
    }

    /// Whether no task is counted and the job is not confined to a zone.
    pub fn has_no_zone(&self) -> bool {
        self.tasks_by_zone.is_empty()
    }

    /// Returns the zone of a job that must be in one zone: the zone of its tasks, or the one
    /// that it is confined to.
    pub fn current_zone(&self) -> Option<&ZoneName> {
        let zone = self.tasks_by_zone.keys().next();
        zone.filter(|_| self.one_zone)
    }

    /// Returns the zones with more tasks than the constraint allows.
    pub fn overfull_zones(&self) -> impl Iterator<Item = &ZoneName> {
        let max = self.max_tasks_per_zone.unwrap_or(u32::MAX);
        let zones = self.tasks_by_zone.iter();
        zones
            .filter(move |(_, count)| **count > max)
            .map(|(zone, _)| zone)
    }

    /// Excludes this zone for further tasks.
    pub fn exclude_zone(&mut self, zone: ZoneName) {
        self.excluded_zones.insert(zone);
    }
}

#[cfg(test)]
mod tests;
