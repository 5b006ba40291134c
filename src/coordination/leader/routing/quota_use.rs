//! What of the teams' limits is used while a pass goes on.

use std::collections::BTreeMap;

use crate::storage::{AMOUNT_SLACK, ControllerName, Quota, StateCache, TeamName};

/// What is used of each team's limit, by all and by each owner. It grows with what the pass
/// offers, so that later jobs find that much less.
#[derive(Clone, Debug, Default)]
pub(super) struct QuotaUse {
    all: BTreeMap<TeamName, Quota>,
    /// By the owner's index.
    by_owner: Vec<BTreeMap<TeamName, Quota>>,
}

impl QuotaUse {
    /// What is used now; owners are counted by their index in `owners`.
    pub(super) fn of(cache: &StateCache, owners: &[ControllerName]) -> Self {
        let used_by = |owner| cache.quota_used(cache.machines_of(owner));
        Self {
            all: cache.quota_used(cache.on_machine.keys()),
            by_owner: owners.iter().map(used_by).collect(),
        }
    }

    /// Counts more as used by this owner, and so by all.
    pub(super) fn add(&mut self, owner: usize, team: &TeamName, quota: &Quota) {
        add_to(&mut self.all, team, quota);
        add_to(&mut self.by_owner[owner], team, quota);
    }

    /// Counts more as used by nobody in particular yet.
    pub(super) fn add_unplaced(&mut self, team: &TeamName, quota: &Quota) {
        add_to(&mut self.all, team, quota);
    }

    /// What all use of the team's limit.
    pub(super) fn all(&self, team: &TeamName) -> Quota {
        self.all.get(team).copied().unwrap_or_default()
    }

    /// What one owner uses of the team's limit.
    pub(super) fn by(&self, owner: usize, team: &TeamName) -> Quota {
        self.by_owner[owner].get(team).copied().unwrap_or_default()
    }
}

fn add_to(sums: &mut BTreeMap<TeamName, Quota>, team: &TeamName, quota: &Quota) {
    match sums.get_mut(team) {
        Some(sum) => *sum = sum.plus(quota),
        None => {
            sums.insert(team.clone(), *quota);
        }
    }
}

/// How many tasks of this quota fit between what is used and the limit.
pub(super) fn tasks_left(limit: &Quota, used: &Quota, per_task: &Quota) -> usize {
    let free = limit.minus(used);
    let fit = |free: f64, each: f64| {
        if each <= AMOUNT_SLACK {
            usize::MAX
        } else {
            ((free + AMOUNT_SLACK) / each).floor().max(0.0) as usize
        }
    };
    fit(free.cpus, per_task.cpus).min(fit(free.gpus, per_task.gpus))
}
