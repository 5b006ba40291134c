//! Changes of jobs' run records and specs, and the derived state that follows from them: the
//! load of the machines, the counts of the job, and the sets of jobs that need attention.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{HashMap, MachineLoad, PlacedTask, StateCache, Versioned};
use crate::storage::{
    ids::{JobId, MachineId, TaskId},
    keys,
    model::JobSpec,
    records::{Placement, RunRecord},
};

/// The placements in one run record of a job, before and after a change.
struct PlacementChange<'a> {
    id: &'a JobId,
    spec: Option<Arc<JobSpec>>,
    before: &'a BTreeMap<u32, Placement>,
    after: &'a BTreeMap<u32, Placement>,
}

impl PlacementChange<'_> {
    /// Moves the tasks between the machines' loads and recomputes the sums of these. Only the
    /// entries that differ are moved, since a change leaves most of a record's entries as they
    /// are.
    fn apply(&self, loads: &mut HashMap<MachineId, MachineLoad>) {
        let mut changed: Vec<&MachineId> = Vec::new();
        for (task, placement) in self.before {
            if self.after.get(task) != Some(placement)
                && let Some(load) = loads.get_mut(&placement.machine)
            {
                load.tasks.remove(&TaskId::new(self.id.clone(), *task));
                changed.push(&placement.machine);
            }
        }
        for (task, placement) in self.after {
            if self.before.get(task) != Some(placement) {
                let placed = PlacedTask {
                    placement: placement.clone(),
                    spec: self.spec.clone(),
                };
                let load = loads.entry(placement.machine.clone()).or_default();
                load.tasks
                    .insert(TaskId::new(self.id.clone(), *task), placed);
                changed.push(&placement.machine);
            }
        }
        changed.sort();
        changed.dedup();
        for machine in changed {
            if let Some(load) = loads.get_mut(machine) {
                load.recount();
                if load.tasks.is_empty() {
                    loads.remove(machine);
                }
            }
        }
    }
}

impl StateCache {
    /// Adds the job's spec to its placed tasks and recomputes the loads of their machines. Needed
    /// because the spec may arrive after the run records.
    pub(super) fn reload_runs(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec().cloned();
        let placed: Vec<(u32, MachineId)> = job
            .run_records
            .values()
            .flat_map(|entry| &entry.value.placed)
            .map(|(task, placement)| (*task, placement.machine.clone()))
            .collect();
        for (task, machine) in placed {
            if let Some(load) = self.machine_loads.get_mut(&machine) {
                if let Some(placed) = load.tasks.get_mut(&TaskId::new(id.clone(), task)) {
                    placed.spec = spec.clone();
                }
                load.recount();
            }
        }
    }

    /// Sets or removes one run record of a job.
    pub(super) fn replace_run(
        &mut self,
        id: JobId,
        record_index: u32,
        record: Option<Versioned<RunRecord>>,
    ) {
        let job = self.jobs.entry(id.clone()).or_default();
        let old = job.run_records.remove(&record_index);
        let none = BTreeMap::new();
        let before = old.as_ref().map_or(&none, |entry| &entry.value.placed);
        let after = record.as_ref().map_or(&none, |entry| &entry.value.placed);
        let change = PlacementChange {
            id: &id,
            spec: job.spec().cloned(),
            before,
            after,
        };
        change.apply(&mut self.machine_loads);
        let range = record_index * keys::TASKS_PER_RUN_RECORD
            ..(record_index + 1) * keys::TASKS_PER_RUN_RECORD;
        job.lost_tasks.retain(|task| !range.contains(task));
        for (task, placement) in after {
            if !self.machines.contains_key(&placement.machine) {
                job.lost_tasks.insert(*task);
            }
        }
        if let Some(record) = record {
            job.run_records.insert(record_index, record);
        }
        job.recount();
        self.forget_if_empty(&id);
    }

    /// Removes a job that has no key left in the live set.
    pub(super) fn forget_if_empty(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id)
            && job.spec.is_none()
            && job.run_records.is_empty()
            && job.cleanup_since.is_none()
        {
            self.jobs.remove(id);
        }
        self.index(id);
    }

    /// Updates the job's membership in the sets `waiting` and `pending_cleanup`.
    pub(super) fn index(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        set_member(
            &mut self.waiting,
            id,
            job.is_some_and(|job| job.waiting() > 0),
        );
        let pending_cleanup = job.is_some_and(|job| job.cleanup_since.is_some() || job.all_done());
        set_member(&mut self.pending_cleanup, id, pending_cleanup);
    }
}

/// Adds or removes a job, so that the set contains it if and only if `is_member`.
fn set_member(set: &mut BTreeSet<JobId>, id: &JobId, is_member: bool) {
    if is_member {
        if !set.contains(id) {
            set.insert(id.clone());
        }
    } else {
        set.remove(id);
    }
}
