//! The changes of run records that one round of the owner plans: placements and results.
//! `commits` writes them.

use std::collections::BTreeMap;

use crate::{
    coordination::clients::Exit,
    storage::{
        AgentEpoch, Attempt, JobId, MachineId, Revision, ShardId, TaskId, keys, records::RunRecord,
        state_cache,
    },
};

/// The planned change of one run record of a job. Records are changed separately, so that
/// no transaction becomes too large, however many records a job has.
pub(super) struct RecordChange {
    /// The job.
    pub(super) id: JobId,
    /// Index of the run record within the job.
    pub(super) record_index: u32,
    /// The new content of the record.
    pub(super) record: RunRecord,
    /// Whether the change places tasks.
    pub(super) has_placements: bool,
    /// The shards of the machines on which the change places tasks or declares them
    /// terminated, with their revisions in the plan's view of the cache.
    pub(super) shards: BTreeMap<ShardId, Revision>,
    /// Whether the change is valid only while this owner holds the machines; it is then
    /// committed on the condition that the quota allocation has not changed. That is so for
    /// a placement, which is this owner's decision, and for a task that is declared
    /// terminated, since a later owner would start that task. The end that an agent reported
    /// stays true whoever owns the machine.
    pub(super) fenced: bool,
    /// Whether other owners write this record as well, so that a conflict is likely.
    pub(super) shared: bool,
    /// Whether the change completes the job.
    pub(super) finishes_job: bool,
    /// Whether it is a best-effort array job, see
    /// [`JobSpec::is_best_effort_array`](crate::storage::JobSpec::is_best_effort_array).
    pub(super) is_best_effort_array: bool,
    /// Starts to be sent once the change is committed.
    pub(super) starts: Vec<PlannedStart>,
    /// Reported ends from which run times, speeds and failures are learned once the change
    /// is committed.
    pub(super) task_ends: Vec<TaskEnd>,
}

/// A task to be started once its placement is committed.
pub(super) struct PlannedStart {
    /// The machine on which it is placed.
    pub(super) machine: MachineId,
    /// The agent epoch of its placement.
    pub(super) epoch: AgentEpoch,
    /// The task.
    pub(super) task: TaskId,
    /// The attempt of its placement.
    pub(super) attempt: Attempt,
}

/// A task whose end its agent reported.
pub(super) struct TaskEnd {
    /// The task.
    pub(super) task: TaskId,
    /// The machine on which it ran.
    pub(super) machine: MachineId,
    /// How it ended.
    pub(super) exit: Exit,
}

/// The planned changes of a round, by job and index of the run record.
#[derive(Default)]
pub(super) struct PlannedChanges(pub(super) BTreeMap<(JobId, u32), RecordChange>);

impl PlannedChanges {
    /// Returns the change of the run record that contains this task. A new change starts with
    /// the present content of the record.
    pub(super) fn change_for(
        &mut self,
        id: &JobId,
        job: &state_cache::Job,
        task: u32,
    ) -> &mut RecordChange {
        let record_index = task / keys::TASKS_PER_RUN_RECORD;
        let key = (id.clone(), record_index);
        self.0.entry(key).or_insert_with(|| RecordChange {
            id: id.clone(),
            record_index,
            record: job
                .run_records
                .get(&record_index)
                .map(|entry| entry.value.clone())
                .unwrap_or_default(),
            has_placements: false,
            shards: BTreeMap::new(),
            fenced: false,
            shared: false,
            finishes_job: false,
            is_best_effort_array: false,
            starts: Vec::new(),
            task_ends: Vec::new(),
        })
    }
}
