//! A job as the cache shows it: its spec and run records, and what follows from them.
//!
//! The cache fills the fields and keeps `placed`, `done` and `lost` in step with the
//! records; planning, placement and the status of jobs read them.

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

/// A job that is not over, or still has something to clean up.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// What was asked for; none: its key is gone, or has not been read yet.
    pub spec: Option<Versioned<Arc<JobSpec>>>,
    /// Its run records, by the number of the range of tasks (see [`keys::CHUNK`]).
    pub chunks: BTreeMap<u32, Versioned<RunRecord>>,
    /// Its user has cancelled it: tasks are to go, none may start.
    pub cleanup_since: Option<Revision>,
    /// Tasks that its run records call placed.
    pub placed: u32,
    /// Completed tasks.
    pub done: u32,
    /// Placed tasks whose machines are gone: they went out of their machine group only
    /// after their return was answered, or are known to be no more.
    pub lost: BTreeSet<u32>,
}

impl Job {
    /// What was asked for, if it is known.
    pub fn spec(&self) -> Option<&Arc<JobSpec>> {
        self.spec.as_ref().map(|entry| &entry.value)
    }

    /// Revision of one of its run records; 0: there is no such record.
    pub fn run_revision(&self, chunk: u32) -> Revision {
        self.chunks
            .get(&chunk)
            .map_or(Revision(0), |entry| entry.revision)
    }

    /// Placed tasks that are, or may be, on a machine.
    pub fn present(&self) -> u32 {
        self.placed.saturating_sub(self.lost.len() as u32)
    }

    /// Where a task is, or may be. One that is gone with its machine waits again:
    /// its next placement replaces the old one with one change of its record.
    pub fn placement(&self, task: u32) -> Option<&Placement> {
        if self.lost.contains(&task) {
            return None;
        }
        self.recorded(task)
    }

    /// What the record says of a task, wherever that machine is now.
    pub fn recorded(&self, task: u32) -> Option<&Placement> {
        self.chunks
            .get(&(task / keys::CHUNK))?
            .value
            .placed
            .get(&task)
    }

    /// Whether this task has completed.
    pub fn is_task_done(&self, task: u32) -> bool {
        self.chunks
            .get(&(task / keys::CHUNK))
            .is_some_and(|entry| entry.value.is_done(task))
    }

    /// How many of its tasks are neither placed nor done; 0 for a cancelled job.
    pub fn waiting(&self) -> u32 {
        match (&self.spec, self.cleanup_since) {
            (Some(spec), None) => spec.value.tasks.saturating_sub(self.present() + self.done),
            _ => 0,
        }
    }

    /// Up to `limit` tasks that are neither placed nor done, lowest first.
    pub fn waiting_tasks(&self, limit: usize) -> Vec<u32> {
        let Some(spec) = self.spec() else {
            return Vec::new();
        };
        if self.waiting() == 0 {
            return Vec::new();
        }
        let empty = RunRecord::default();
        let mut found = Vec::new();
        for chunk in 0..spec.tasks.div_ceil(keys::CHUNK) {
            let record = self.chunks.get(&chunk).map_or(&empty, |entry| &entry.value);
            let first_task = chunk * keys::CHUNK;
            for task in first_task..(first_task + keys::CHUNK).min(spec.tasks) {
                if found.len() >= limit {
                    return found;
                }
                let is_present = record.placed.contains_key(&task) && !self.lost.contains(&task);
                if !is_present && !record.is_done(task) {
                    found.push(task);
                }
            }
        }
        found
    }

    /// The tasks of a gang that are, or may be, on a machine.
    pub fn present_placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.records()
            .flat_map(|record| &record.placed)
            .map(|(task, placement)| (*task, placement))
            .filter(|(task, _)| !self.lost.contains(task))
    }

    /// Whether a gang's waiting tasks may be placed: when none of it is anywhere, or
    /// when they only complete an attempt that can't have begun, since one part found
    /// no room while the others wait for it. Not when a task of the attempt has ended
    /// or is lost: the other tasks of the gang leave first, and all get the next one.
    pub fn may_join(&self) -> bool {
        let Some(attempt) = self.present_placements().map(|(_, p)| p.attempt).min() else {
            return true;
        };
        self.done == 0
            && self.lost.is_empty()
            && self.last_ended_attempt().is_none_or(|last| last < attempt)
    }

    /// The attempt that a gang's next placements take: the one of those that are
    /// there, else one that no task of it has had. Its tasks find each other by it.
    pub fn gang_attempt(&self) -> Attempt {
        if let Some((_, placement)) = self.present_placements().next() {
            return placement.attempt;
        }
        let placed = self.records().flat_map(|record| record.placed.values());
        let last_lost = placed.map(|placement| placement.attempt).max();
        let last = self.last_ended_attempt().max(last_lost);
        Attempt(last.map_or(0, |attempt| attempt.0) + 1)
    }

    /// The latest attempt of its tasks that were placed before and now are not.
    fn last_ended_attempt(&self) -> Option<Attempt> {
        self.records()
            .flat_map(|record| record.before.values())
            .max()
            .copied()
    }

    fn records(&self) -> impl Iterator<Item = &RunRecord> {
        self.chunks.values().map(|entry| &entry.value)
    }

    /// Whether all its tasks have completed.
    pub fn all_done(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| self.done >= spec.value.tasks)
    }

    /// Counts the placed and the completed tasks of its records.
    pub(super) fn recount(&mut self) {
        self.placed = 0;
        self.done = 0;
        for entry in self.chunks.values() {
            self.placed += entry.value.placed.len() as u32;
            self.done += entry.value.done_count();
        }
    }
}
