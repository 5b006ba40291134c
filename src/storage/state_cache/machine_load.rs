//! The resources that the tasks on one machine use, as precomputed sums.
//!
//! The cache updates the tasks and recomputes the sums with each change.

use std::{collections::BTreeMap, sync::Arc};

use crate::storage::{
    ids::{TaskId, TeamName},
    model::{JobKind, JobSpec, Quota, Resources},
    records::Placement,
};

/// The tasks on one machine, with the sums of their resources.
#[derive(Clone, Debug, Default)]
pub struct MachineLoad {
    /// The tasks that are, or may be, on it.
    pub tasks: BTreeMap<TaskId, PlacedTask>,
    /// The machine's resources that the tasks use.
    pub used_resources: Resources,
    /// The quota that the tasks use, by team.
    pub teams: Vec<(TeamName, Quota)>,
    /// Whether a replica of a service is among the tasks.
    pub has_service: bool,
}

/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// Its placement, as recorded.
    pub placement: Placement,
    /// Its job's spec; `None` if the spec's key is deleted or has not been read yet.
    pub spec: Option<Arc<JobSpec>>,
}

impl MachineLoad {
    /// Recomputes the sums from the tasks. This is cheap, as a machine has few tasks, and
    /// incremental updates would accumulate rounding errors.
    pub(super) fn recount(&mut self) {
        self.used_resources = Resources::default();
        self.teams.clear();
        self.has_service = false;
        for placed in self.tasks.values() {
            let Some(spec) = &placed.spec else { continue };
            self.used_resources += spec.per_task;
            self.has_service |= spec.kind == JobKind::Service;
            let quota = Quota::from(&spec.per_task);
            match self.teams.iter_mut().find(|(team, _)| *team == spec.team) {
                Some((_, sum)) => *sum = sum.plus(&quota),
                None => self.teams.push((spec.team.clone(), quota)),
            }
        }
    }
}
