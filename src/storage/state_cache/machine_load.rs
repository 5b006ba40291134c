//! What the placements on one machine take of it, as running sums.
//!
//! The cache changes the tasks and has the sums counted anew with each change.

use std::{collections::BTreeMap, sync::Arc};

use crate::storage::{
    ids::{TaskId, TeamName},
    model::{JobKind, JobSpec, Quota, Resources},
    records::Placement,
};

/// What is placed on one machine.
#[derive(Clone, Debug, Default)]
pub struct MachineLoad {
    /// The tasks that are, or may be, on it.
    pub tasks: BTreeMap<TaskId, PlacedTask>,
    /// What the tasks take of it.
    pub taken: Resources,
    /// What they use of each team's limit.
    pub teams: Vec<(TeamName, Quota)>,
    /// Whether a replica of a service is among them.
    pub service: bool,
}

/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// Its placement, as recorded.
    pub placement: Placement,
    /// Its job's spec. None: the job's other keys are gone, or have not been read yet.
    pub spec: Option<Arc<JobSpec>>,
}

impl MachineLoad {
    /// Sums anew. A machine has few tasks, and sums that are only added to
    /// would drift.
    pub(super) fn recount(&mut self) {
        self.taken = Resources::default();
        self.teams.clear();
        self.service = false;
        for placed in self.tasks.values() {
            let Some(spec) = &placed.spec else { continue };
            self.taken += spec.per_task;
            self.service |= spec.kind == JobKind::Service;
            let quota = Quota::from(&spec.per_task);
            match self.teams.iter_mut().find(|(team, _)| *team == spec.team) {
                Some((_, sum)) => *sum = sum.plus(&quota),
                None => self.teams.push((spec.team.clone(), quota)),
            }
        }
    }
}
