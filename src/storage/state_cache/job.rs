//! A cached job: its spec and run records, and the figures derived from them.
//!
//! The cache sets the fields and keeps `placed_tasks`, `completed_tasks` and `lost_tasks`
//! consistent with the records; planning, placement and the status of jobs read them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::Versioned;
use crate::storage::{
    ids::{Attempt, Revision},
    keys,
    model::JobSpec,
    records::{Placement, RunRecord},
};

/// A job that is not over, or whose records are not all removed.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Its spec; `None` if the key is deleted or has not been read yet.
    pub spec: Option<Versioned<Arc<JobSpec>>>,
    /// Its run records, by their index (see [`keys::TASKS_PER_RUN_RECORD`]).
    pub run_records: BTreeMap<u32, Versioned<RunRecord>>,
    /// Revision of the cleanup mark, if there is one: the job is cancelled, or over. Its tasks
    /// must be stopped and none may start.
    pub cleanup_since: Option<Revision>,
    /// Number of tasks that are placed according to its run records.
    pub placed_tasks: u32,
    /// Number of completed tasks.
    pub completed_tasks: u32,
    /// Placed tasks whose machines are terminated. A machine is removed from its machine group only
    /// after the cloud has confirmed its release, or when it is known that it no longer exists.
    pub lost_tasks: BTreeSet<u32>,
}

impl Job {
    /// Its spec, if it is known.
    pub fn spec(&self) -> Option<&Arc<JobSpec>> {
        self.spec.as_ref().map(|entry| &entry.value)
    }

    /// Revision of one of its run records; 0 if there is no such record.
    pub fn run_revision(&self, record_index: u32) -> Revision {
        self.run_records
            .get(&record_index)
            .map_or(Revision(0), |entry| entry.revision)
    }

    /// Number of placed tasks that are, or may be, on a machine.
    pub fn present_tasks(&self) -> u32 {
        self.placed_tasks
            .saturating_sub(self.lost_tasks.len() as u32)
    }

    /// The machine on which a task is, or may be. A task whose machine is terminated has none and
    /// waits again: its next placement replaces the recorded one in a single change of the record.
    pub fn placement(&self, task: u32) -> Option<&Placement> {
        if self.lost_tasks.contains(&task) {
            return None;
        }
        self.recorded_placement(task)
    }

    /// The placement of a task in its run record, even if the machine is terminated.
    pub fn recorded_placement(&self, task: u32) -> Option<&Placement> {
        self.run_records
            .get(&(task / keys::TASKS_PER_RUN_RECORD))?
            .value
            .placed
            .get(&task)
    }

    /// Whether this task has completed.
    pub fn is_task_done(&self, task: u32) -> bool {
        self.run_records
            .get(&(task / keys::TASKS_PER_RUN_RECORD))
            .is_some_and(|entry| entry.value.is_done(task))
    }

    /// Number of its tasks that are neither present nor done; 0 for a cancelled job.
    pub fn waiting(&self) -> u32 {
        match (&self.spec, self.cleanup_since) {
            (Some(spec), None) => spec
                .value
                .tasks
                .saturating_sub(self.present_tasks() + self.completed_tasks),
            _ => 0,
        }
    }

    /// Returns up to `limit` tasks that are neither present nor done, lowest first.
    pub fn waiting_tasks(&self, limit: usize) -> Vec<u32> {
        let Some(spec) = self.spec() else {
            return Vec::new();
        };
        if self.waiting() == 0 {
            return Vec::new();
        }
        let empty = RunRecord::default();
        let mut waiting = Vec::new();
        for record_index in 0..spec.tasks.div_ceil(keys::TASKS_PER_RUN_RECORD) {
            let record = self
                .run_records
                .get(&record_index)
                .map_or(&empty, |entry| &entry.value);
            let first_task = record_index * keys::TASKS_PER_RUN_RECORD;
            for task in first_task..(first_task + keys::TASKS_PER_RUN_RECORD).min(spec.tasks) {
                if waiting.len() >= limit {
                    return waiting;
                }
                let is_present =
                    record.placed.contains_key(&task) && !self.lost_tasks.contains(&task);
                if !is_present && !record.is_done(task) {
                    waiting.push(task);
                }
            }
        }
        waiting
    }

    /// The tasks that are, or may be, on a machine, with their placements.
    pub fn present_placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.records()
            .flat_map(|record| &record.placed)
            .map(|(task, placement)| (*task, placement))
            .filter(|(task, _)| !self.lost_tasks.contains(task))
    }

    /// Whether a gang's waiting tasks may be placed. They may if no task of the gang is present, or
    /// if they complete an attempt that cannot have started: some of its tasks found no capacity,
    /// and the others wait for them. They may not if a task of the attempt has ended or is lost:
    /// then the remaining tasks must leave their machines first, and all tasks are placed again
    /// with the next attempt.
    pub fn can_place_waiting_gang_tasks(&self) -> bool {
        let Some(attempt) = self.present_placements().map(|(_, p)| p.attempt).min() else {
            return true;
        };
        self.completed_tasks == 0
            && self.lost_tasks.is_empty()
            && self.last_ended_attempt().is_none_or(|last| last < attempt)
    }

    /// Returns the attempt of a gang's next placements: that of its present tasks, or else one
    /// above those of all earlier placements. The gang's tasks recognize each other by it.
    pub fn gang_attempt(&self) -> Attempt {
        if let Some((_, placement)) = self.present_placements().next() {
            return placement.attempt;
        }
        let placed = self.records().flat_map(|record| record.placed.values());
        let last_lost = placed.map(|placement| placement.attempt).max();
        let last = self.last_ended_attempt().max(last_lost);
        Attempt(last.map_or(0, |attempt| attempt.0) + 1)
    }

    /// The highest attempt of its tasks that were placed before and are not placed now.
    fn last_ended_attempt(&self) -> Option<Attempt> {
        self.records()
            .flat_map(|record| record.last_attempts.values())
            .max()
            .copied()
    }

    fn records(&self) -> impl Iterator<Item = &RunRecord> {
        self.run_records.values().map(|entry| &entry.value)
    }

    /// Whether all its tasks have completed.
    pub fn all_done(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| self.completed_tasks >= spec.value.tasks)
    }

    /// Updates the counts of placed and completed tasks from the records.
    pub(super) fn recount(&mut self) {
        self.placed_tasks = 0;
        self.completed_tasks = 0;
        for entry in self.run_records.values() {
            self.placed_tasks += entry.value.placed.len() as u32;
            self.completed_tasks += entry.value.done_count();
        }
    }
}
