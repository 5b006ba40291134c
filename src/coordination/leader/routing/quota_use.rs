//! Quota usage of the teams during a pass.

use std::collections::BTreeMap;

use crate::storage::{AMOUNT_SLACK, ControllerName, Quota, StateCache, TeamName};

/// Quota used by each team, in total and per owner. The offers of a pass are added, so that
/// less is left for later jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct QuotaUsage {
    total: BTreeMap<TeamName, Quota>,
    /// Usage on the machines of each owner, by owner index.
    by_owner: Vec<BTreeMap<TeamName, Quota>>,
}

impl QuotaUsage {
    /// Returns the current usage; owner indices refer to `owners`.
    pub(super) fn of(cache: &StateCache, owners: &[ControllerName]) -> Self {
        let used_by = |owner| cache.quota_used(cache.machines_of(owner));
        Self {
            total: cache.quota_used(cache.machine_loads.keys()),
            by_owner: owners.iter().map(used_by).collect(),
        }
    }

    /// Adds to the usage on the machines of this owner and to the total.
    pub(super) fn add(&mut self, owner: usize, team: &TeamName, quota: &Quota) {
        add_to(&mut self.total, team, quota);
        add_to(&mut self.by_owner[owner], team, quota);
    }

    /// Adds to the total usage only, for tasks without an owner.
    pub(super) fn add_unplaced(&mut self, team: &TeamName, quota: &Quota) {
        add_to(&mut self.total, team, quota);
    }

    /// Returns the total usage of the team.
    pub(super) fn total(&self, team: &TeamName) -> Quota {
        self.total.get(team).copied().unwrap_or_default()
    }

    /// Returns the usage of the team on the machines of one owner.
    pub(super) fn by_owner(&self, owner: usize, team: &TeamName) -> Quota {
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

/// Returns how many tasks of this quota fit between the usage and the limit.
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
