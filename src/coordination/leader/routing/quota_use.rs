//! What of the teams' limits is used while a pass goes on.

use std::collections::BTreeMap;

use crate::storage::{AMOUNT_SLACK, Quota, TeamName};

/// What is used of each team's limit, by all and by each owner.
#[derive(Clone, Debug, Default)]
pub(super) struct QuotaUse {
    pub(super) all: BTreeMap<TeamName, Quota>,
    pub(super) by_controller: Vec<BTreeMap<TeamName, Quota>>,
}

impl QuotaUse {
    pub(super) fn add(&mut self, owner: usize, team: &TeamName, quota: &Quota) {
        for map in [&mut self.all, &mut self.by_controller[owner]] {
            match map.get_mut(team) {
                Some(sum) => *sum = sum.plus(quota),
                None => {
                    map.insert(team.clone(), *quota);
                }
            }
        }
    }

    pub(super) fn all(&self, team: &TeamName) -> Quota {
        self.all.get(team).copied().unwrap_or_default()
    }

    pub(super) fn of(&self, owner: usize, team: &TeamName) -> Quota {
        self.by_controller[owner]
            .get(team)
            .copied()
            .unwrap_or_default()
    }
}

/// How many times `quota` fits between `used` and `limit`.
pub(super) fn left(limit: &Quota, used: &Quota, quota: &Quota) -> usize {
    let free = limit.minus(used);
    let part = |free: f64, each: f64| {
        if each <= AMOUNT_SLACK {
            usize::MAX
        } else {
            ((free + AMOUNT_SLACK) / each).floor().max(0.0) as usize
        }
    };
    part(free.cpus, quota.cpus).min(part(free.gpus, quota.gpus))
}
