//! In which zones a job's next task may be placed.
//!
//! A job may ask for all its tasks to be in one zone, or for at most half of them in
//! any zone. Two scopes decide what such a placement depends on:
//!
//! - [`ZoneScope::WholeJob`]: on all of the job's run records, which the transaction
//!   names as conditions. This needs no more state, but its conditions are limited.
//! - [`ZoneScope::PerRecord`]: on the record that is written and the spec alone. At
//!   most half of each record's tasks are in one zone, which adds up to half of the
//!   job, since every record but the last has an even number of tasks. A job that must
//!   be in one zone is confined to the zone that its spec names (`assigned_zone`).

use std::collections::{BTreeMap, BTreeSet};

use crate::storage::{JobSpec, ZoneName, client::CONDITIONS_PER_CHANGE, keys};

/// Conditions of a placement beside the job's run records: the controller's quota, the
/// spec, the outcome, and one shard.
const OTHER_CONDITIONS: usize = 4;

/// What the placement of a zone-bound job's task is conditional on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneScope {
    /// All of the job's records.
    WholeJob,
    /// The task's own record, by a rule that holds for each record alone.
    PerRecord,
}

impl ZoneScope {
    /// The scope of a job's placements when a transaction may hold this many changes.
    pub fn of(spec: &JobSpec, changes_per_transaction: usize) -> Self {
        let conditions = spec.run_record_count() as usize + OTHER_CONDITIONS;
        if spec.is_zone_bound() && conditions > CONDITIONS_PER_CHANGE * changes_per_transaction {
            ZoneScope::PerRecord
        } else {
            ZoneScope::WholeJob
        }
    }
}

/// The zones that the next task of a job, or of one of its records, may be placed in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneConstraint {
    one_zone: bool,
    /// Tasks that may be in one zone, when the job is to be spread.
    most_in_zone: Option<u32>,
    /// Tasks in each zone. For a job in one zone, its zone stands here even with none.
    counts: BTreeMap<ZoneName, u32>,
    /// Zones that take no more tasks, whatever their count.
    closed: BTreeSet<ZoneName>,
}

/// Half of the tasks, rounded up.
fn half(tasks: u32) -> u32 {
    tasks.div_ceil(2)
}

impl ZoneConstraint {
    /// The constraint of a whole job of which no task is anywhere.
    pub fn of_job(spec: &JobSpec) -> Self {
        Self {
            one_zone: spec.one_zone,
            most_in_zone: spec.spread.then(|| spec.zone_limit()),
            counts: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    /// The constraint of one record of a job of which no task is anywhere.
    pub fn of_record(spec: &JobSpec, record: u32) -> Self {
        let first = record * keys::CHUNK;
        let tasks = spec.tasks.saturating_sub(first).min(keys::CHUNK);
        Self {
            most_in_zone: spec.spread.then(|| half(tasks)),
            ..Self::of_job(spec)
        }
    }

    /// Whether one more task may be in this zone.
    pub fn admits(&self, zone: &ZoneName) -> bool {
        if self.one_zone && self.counts.keys().any(|other| other != zone) {
            return false;
        }
        let count = self.counts.get(zone).copied().unwrap_or(0);
        !self.closed.contains(zone) && self.most_in_zone.is_none_or(|most| count < most)
    }

    /// How many more tasks may be in this zone.
    pub fn room(&self, zone: &ZoneName) -> u32 {
        if !self.admits(zone) {
            return 0;
        }
        let count = self.counts.get(zone).copied().unwrap_or(0);
        self.most_in_zone.map_or(u32::MAX, |most| most - count)
    }

    /// Counts one more task in this zone.
    pub fn add(&mut self, zone: &ZoneName) {
        self.add_tasks(zone, 1);
    }

    /// Counts more tasks in this zone.
    pub fn add_tasks(&mut self, zone: &ZoneName, tasks: u32) {
        *self.counts.entry(zone.clone()).or_default() += tasks;
    }

    /// Confines a job that must be in one zone to this one.
    pub fn confine(&mut self, zone: ZoneName) {
        self.counts.entry(zone).or_default();
    }

    /// Whether no zone is settled yet.
    pub fn is_open(&self) -> bool {
        self.counts.is_empty()
    }

    /// The zone that a job in one zone is in, or confined to.
    pub fn current_zone(&self) -> Option<&ZoneName> {
        let zone = self.counts.keys().next();
        zone.filter(|_| self.one_zone)
    }

    /// Zones that hold more tasks than the constraint allows.
    pub fn exceeded(&self) -> impl Iterator<Item = &ZoneName> {
        let most = self.most_in_zone.unwrap_or(u32::MAX);
        let zones = self.counts.iter();
        zones
            .filter(move |(_, count)| **count > most)
            .map(|(zone, _)| zone)
    }

    /// Keeps further tasks out of this zone.
    pub fn close(&mut self, zone: ZoneName) {
        self.closed.insert(zone);
    }
}

#[cfg(test)]
mod tests;
