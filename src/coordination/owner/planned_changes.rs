//! What one round of the owner wants to write. Placements and results are noted here and
//! written by `commits`.

use std::collections::BTreeMap;

use crate::{
    coordination::clients::Exit,
    storage::{
        AgentEpoch, Attempt, JobId, MachineId, Revision, ShardId, TaskId, keys, records::RunRecord,
        state_cache,
    },
};

/// What one round wants to write about one record of a job. Each record by itself,
/// so that no transaction is too large however many a job has.
pub(super) struct RecordChange {
    /// The job.
    pub(super) id: JobId,
    /// Which of its run records.
    pub(super) chunk: u32,
    /// The record as it is to be.
    pub(super) record: RunRecord,
    /// It places tasks.
    pub(super) places: bool,
    /// The shards on whose machines it places, or finds tasks missing, as the
    /// plan saw them.
    pub(super) shards: BTreeMap<ShardId, Revision>,
    /// It holds only as long as we hold the machines: what it says is a decision
    /// of ours, or that a task is missing which a next owner would start. That a
    /// task has ended stays true whoever holds its machine.
    pub(super) fenced: bool,
    /// Others write its records as well, so that it may well be refused.
    pub(super) shared: bool,
    /// It ends the job.
    pub(super) finishes: bool,
    /// Its job is idle work, see `JobSpec::is_idle_work`.
    pub(super) idle_work: bool,
    /// Starts that follow once it is committed.
    pub(super) starts: Vec<PlannedStart>,
    /// Ends that are learned from once they are written down.
    pub(super) ends: Vec<TaskEnd>,
}

/// A task to be started once its placement is committed.
pub(super) struct PlannedStart {
    /// The machine that it was placed on.
    pub(super) machine: MachineId,
    /// The agent epoch that its placement names.
    pub(super) epoch: AgentEpoch,
    /// The task.
    pub(super) task: TaskId,
    /// The attempt that its placement names.
    pub(super) attempt: Attempt,
}

/// A task whose end its agent reported.
pub(super) struct TaskEnd {
    /// The task.
    pub(super) task: TaskId,
    /// The machine that it was on.
    pub(super) machine: MachineId,
    /// How it ended.
    pub(super) exit: Exit,
}

/// The changes of a round, by job and run record.
#[derive(Default)]
pub(super) struct PlannedChanges(pub(super) BTreeMap<(JobId, u32), RecordChange>);

impl PlannedChanges {
    /// The change of the record that lists this task.
    pub(super) fn of(
        &mut self,
        id: &JobId,
        job: &state_cache::Job,
        task: u32,
    ) -> &mut RecordChange {
        let chunk = task / keys::CHUNK;
        let key = (id.clone(), chunk);
        self.0.entry(key).or_insert_with(|| RecordChange {
            id: id.clone(),
            chunk,
            record: job
                .chunks
                .get(&chunk)
                .map(|entry| entry.value.clone())
                .unwrap_or_default(),
            places: false,
            shards: BTreeMap::new(),
            fenced: false,
            shared: false,
            finishes: false,
            idle_work: false,
            starts: Vec::new(),
            ends: Vec::new(),
        })
    }
}
