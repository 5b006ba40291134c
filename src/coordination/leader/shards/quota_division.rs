//! Divides the teams' limits between the allocations.
//!
//! Quota that no allocation can use is granted to allocations with a deficit. If that does not
//! suffice, budget has to come from other allocations: either the leader reclaims unused parts
//! to grant them in its next pass, or it plans targets and the controllers transfer budgets to
//! each other.

use std::collections::{BTreeMap, BTreeSet};

use quota::{Method, NotSolved, SolverLimits, TargetProblem, TeamDemand, plan_targets};

use super::{ShardPlan, ShardPlanInputs};
use crate::storage::{ControllerName, MachineId, Quota, Team, TeamName, records::AllocationRecord};

/// The target budgets of each controller, by team.
pub type Targets = BTreeMap<ControllerName, BTreeMap<TeamName, Quota>>;

/// Minimum amount by which budgets are changed, in CPUs or GPUs.
pub(super) const MIN_QUOTA_STEP: f64 = 0.01;
/// Grant to an allocation, as a multiple of its deficit.
const GRANT_FACTOR: f64 = 1.5;
/// Minimum grant, as a fraction of the unclaimed quota.
const MIN_GRANT_FRACTION: f64 = 0.15;
/// Minimum fraction of an allocation's unused budget that is reclaimed from it when others have
/// a deficit.
const RECLAIM_FRACTION: f64 = 0.5;
/// Fraction of a limit that is retained to be granted on demand. If more than that is unclaimed
/// and no deficit remains, all that is unclaimed is divided equally.
pub(super) const RETAINED_FRACTION: f64 = 0.1;

/// Use of the teams' limits, with each machine counted for its owner after this pass.
struct PlannedUse {
    by_controller: BTreeMap<ControllerName, BTreeMap<TeamName, Quota>>,
    /// Use on machines of no shard.
    outside_shards: BTreeMap<TeamName, Quota>,
}

impl PlannedUse {
    fn by(&self, controller: &ControllerName, team: &TeamName) -> Quota {
        let used = self
            .by_controller
            .get(controller)
            .and_then(|teams| teams.get(team));
        used.copied().unwrap_or_default()
    }

    fn outside_shards(&self, team: &TeamName) -> Quota {
        self.outside_shards.get(team).copied().unwrap_or_default()
    }
}

/// Quota that a controller lacks for tasks that it has capacity for.
struct Deficit {
    controller: ControllerName,
    missing: Quota,
}

impl ShardPlan<'_> {
    /// Grants unclaimed quota to controllers with a deficit. For what is missing beyond that,
    /// either plans targets or reclaims unused budget of other allocations. If there is no
    /// deficit, divides unclaimed quota equally.
    pub(super) fn divide_quota(&mut self, teams: &[Team], inputs: &ShardPlanInputs) {
        let controllers: Vec<ControllerName> = self
            .live_controllers
            .iter()
            .filter(|controller| self.allocations.contains_key(*controller))
            .cloned()
            .collect();
        if controllers.is_empty() {
            return;
        }
        let used = self.planned_use();
        let mut demands: BTreeMap<TeamName, TeamDemand<ControllerName>> = BTreeMap::new();
        for team in teams {
            let claimed = self.claimed(&team.name, &used);
            let mut unclaimed = team.limit.minus(&claimed).at_least_zero();
            let deficits = deficits(&controllers, &team.name, inputs);
            let unmet = self.grant_unclaimed(team, &deficits, &mut unclaimed, &used);
            if unmet.exceeds(MIN_QUOTA_STEP) && inputs.controllers_transfer {
                let demand = self.demand_of(team, &used, inputs);
                demands.insert(team.name.clone(), demand);
            } else if unmet.exceeds(MIN_QUOTA_STEP) {
                self.reclaim_unused(team, &deficits, unmet, &used, inputs);
            } else if exceeds_retained(team, &unclaimed) {
                let part = unclaimed.times(1.0 / controllers.len() as f64);
                for controller in &controllers {
                    self.add_to_budget(controller, &team.name, part, &used);
                }
            }
        }
        if !demands.is_empty() {
            self.targets = self.plan_targets(demands, inputs);
        }
    }

    /// Returns the use of the teams' limits after this pass's moves.
    fn planned_use(&self) -> PlannedUse {
        let mut by_controller: BTreeMap<ControllerName, BTreeMap<TeamName, Quota>> =
            BTreeMap::new();
        let mut in_shards: BTreeSet<&MachineId> = BTreeSet::new();
        for shard in self.shards.values() {
            in_shards.extend(shard.machines.keys());
            let sums = by_controller.entry(shard.controller.clone()).or_default();
            for (team, quota) in self.cache.quota_used(shard.machines.keys()) {
                let sum = sums.entry(team).or_default();
                *sum = sum.plus(&quota);
            }
        }
        let others = self.cache.machine_loads.keys();
        let outside = others.filter(|id| !in_shards.contains(id));
        PlannedUse {
            by_controller,
            outside_shards: self.cache.quota_used(outside),
        }
    }

    /// Returns the part of a team's limit that is claimed: the sum over allocations of max(budget,
    /// use), plus the use on machines of no shard.
    fn claimed(&self, team: &TeamName, used: &PlannedUse) -> Quota {
        let controllers: BTreeSet<&ControllerName> = self
            .allocations
            .keys()
            .chain(used.by_controller.keys())
            .collect();
        controllers
            .into_iter()
            .map(|controller| {
                self.budget_of(controller, team)
                    .max(&used.by(controller, team))
            })
            .fold(used.outside_shards(team), |sum, claim| sum.plus(&claim))
    }

    /// Returns the largest budget within which a controller may place tasks: that of the record
    /// in the cache until this pass is committed, and the planned one afterwards.
    fn budget_of(&self, controller: &ControllerName, team: &TeamName) -> Quota {
        let budget = |allocation: &AllocationRecord| {
            allocation.budgets.get(team).copied().unwrap_or_default()
        };
        let known = self.cache.allocations.get(controller);
        let known = known.map(|entry| budget(&entry.value)).unwrap_or_default();
        let planned = self.allocations.get(controller);
        let planned = planned.map(budget).unwrap_or_default();
        known.max(&planned)
    }

    /// Grants unclaimed quota to controllers with a deficit. Returns the sum of the deficits that
    /// remain.
    fn grant_unclaimed(
        &mut self,
        team: &Team,
        deficits: &[Deficit],
        unclaimed: &mut Quota,
        used: &PlannedUse,
    ) -> Quota {
        let mut unmet = Quota::default();
        for Deficit {
            controller,
            missing,
        } in deficits
        {
            let part = by_resource(missing, unclaimed, grant_amount);
            if part.exceeds(MIN_QUOTA_STEP)
                && self.add_to_budget(controller, &team.name, part, used)
            {
                *unclaimed = unclaimed.minus(&part);
            }
            unmet = unmet.plus(&missing.minus(&part).at_least_zero());
        }
        unmet
    }

    /// Raises a controller's budget for a team. Returns false if this pass's limit of changes
    /// does not allow that.
    fn add_to_budget(
        &mut self,
        controller: &ControllerName,
        team: &TeamName,
        added: Quota,
        used: &PlannedUse,
    ) -> bool {
        if !self.reserve_allocation_change(controller) {
            return false;
        }
        if let Some(allocation) = self.allocations.get_mut(controller) {
            let budget = allocation.budgets.entry(team.clone()).or_default();
            // The controller's use is claimed already, so that raising a lower budget to it
            // claims nothing more.
            *budget = budget.max(&used.by(controller, team)).plus(&added);
        }
        true
    }

    /// Reclaims unused budget of controllers without a deficit, which is granted to others once
    /// the cache shows the lower budgets.
    fn reclaim_unused(
        &mut self,
        team: &Team,
        deficits: &[Deficit],
        mut unmet: Quota,
        used: &PlannedUse,
        inputs: &ShardPlanInputs,
    ) {
        let others: Vec<ControllerName> = self.allocations.keys().cloned().collect();
        for controller in &others {
            if deficits
                .iter()
                .any(|deficit| deficit.controller == *controller)
            {
                continue;
            }
            let allocation = self.allocations.get(controller);
            let Some(budget) = allocation.and_then(|allocation| allocation.budgets.get(&team.name))
            else {
                continue;
            };
            let used_or_reserved = used
                .by(controller, &team.name)
                .plus(&reserved(controller, team, inputs));
            let unused = budget.minus(&used_or_reserved).at_least_zero();
            let part = by_resource(&unused, &unmet, reclaim_amount);
            if part.exceeds(MIN_QUOTA_STEP)
                && self.reserve_allocation_change(controller)
                && let Some(allocation) = self.allocations.get_mut(controller)
                && let Some(budget) = allocation.budgets.get_mut(&team.name)
            {
                *budget = budget.minus(&part);
                unmet = unmet.minus(&part).at_least_zero();
            }
        }
    }

    /// Returns the limit, use, allocations and waiting tasks of a team with a quota deficit.
    fn demand_of(
        &self,
        team: &Team,
        used: &PlannedUse,
        inputs: &ShardPlanInputs,
    ) -> TeamDemand<ControllerName> {
        let name = &team.name;
        let mut demand = TeamDemand {
            guaranteed: team.guaranteed,
            limit: team.limit.minus(&used.outside_shards(name)).at_least_zero(),
            used_or_in_flight: BTreeMap::new(),
            allocated: BTreeMap::new(),
            waiting_tasks: inputs
                .demand
                .iter()
                .filter(|demand| demand.team == *name)
                .map(|demand| demand.tasks.clone())
                .collect(),
        };
        for (controller, allocation) in &self.allocations {
            let budget = allocation.budgets.get(name).copied().unwrap_or_default();
            let in_flight = inputs.in_flight.get(&(controller.clone(), name.clone()));
            let used_or_in_flight = used
                .by(controller, name)
                .plus(&in_flight.copied().unwrap_or_default());
            demand.allocated.insert(controller.clone(), budget);
            demand
                .used_or_in_flight
                .insert(controller.clone(), used_or_in_flight);
        }
        demand
    }

    /// Returns the target budgets of the controllers, for teams with a quota deficit.
    fn plan_targets(
        &self,
        teams: BTreeMap<TeamName, TeamDemand<ControllerName>>,
        inputs: &ShardPlanInputs,
    ) -> Targets {
        let capacity_of = |controller: &ControllerName| {
            let free = inputs
                .free_quota
                .get(controller)
                .copied()
                .unwrap_or_default();
            let used_or_in_flight = teams
                .values()
                .filter_map(|demand| demand.used_or_in_flight.get(controller));
            used_or_in_flight.fold(free, |sum, quota| sum.plus(quota))
        };
        let capacities = self
            .allocations
            .keys()
            .map(|controller| (controller.clone(), capacity_of(controller)));
        let problem = TargetProblem {
            capacity: capacities.collect(),
            teams,
        };
        let solution = plan_targets(&problem, &SolverLimits::default());
        for method in &solution.methods {
            if let Method::Fallback(reason @ (NotSolved::TimedOut | NotSolved::Failed(_))) = method
            {
                tracing::info!(%reason, "quota targets computed by the fallback rule");
            }
        }
        let mut targets = Targets::new();
        for (team, by_controller) in solution.targets {
            for (controller, quota) in by_controller {
                targets
                    .entry(controller)
                    .or_default()
                    .insert(team.clone(), quota);
            }
        }
        targets
    }
}

/// Whether more of a team's limit is unclaimed than the fraction that is retained.
fn exceeds_retained(team: &Team, unclaimed: &Quota) -> bool {
    let exceeds =
        |unclaimed: f64, limit: f64| unclaimed > MIN_QUOTA_STEP.max(limit * RETAINED_FRACTION);
    exceeds(unclaimed.cpus, team.limit.cpus) || exceeds(unclaimed.gpus, team.limit.gpus)
}

/// Computes an amount for each resource separately.
fn by_resource(left: &Quota, right: &Quota, amount: impl Fn(f64, f64) -> f64) -> Quota {
    Quota {
        cpus: amount(left.cpus, right.cpus),
        gpus: amount(left.gpus, right.gpus),
    }
}

/// Returns the amount of unclaimed quota that is granted for a deficit. It is larger than the
/// deficit, to make few changes of the allocation: each makes the controller's placements in
/// flight fail.
fn grant_amount(missing: f64, unclaimed: f64) -> f64 {
    if missing <= MIN_QUOTA_STEP {
        return 0.0;
    }
    (missing * GRANT_FACTOR)
        .max(unclaimed * MIN_GRANT_FRACTION)
        .min(unclaimed)
}

/// Returns the amount that is reclaimed of a controller's unused budget. It may be larger than
/// the unmet deficit, so that the next deficit can be met by changing only one allocation.
fn reclaim_amount(unused: f64, unmet: f64) -> f64 {
    if unmet <= MIN_QUOTA_STEP {
        return 0.0;
    }
    unmet.max(unused * RECLAIM_FRACTION).min(unused)
}

/// Returns the quota of a team that a controller is about to need in addition to what it uses.
fn reserved(controller: &ControllerName, team: &Team, inputs: &ShardPlanInputs) -> Quota {
    let reserved = inputs
        .reserved
        .get(&(controller.clone(), team.name.clone()));
    reserved.copied().unwrap_or_default()
}

/// Returns the controllers that have a deficit of a team's quota.
fn deficits(
    controllers: &[ControllerName],
    team: &TeamName,
    inputs: &ShardPlanInputs,
) -> Vec<Deficit> {
    controllers
        .iter()
        .filter_map(|controller| {
            let missing = *inputs.deficit.get(&(controller.clone(), team.clone()))?;
            Some(Deficit {
                controller: controller.clone(),
                missing,
            })
        })
        .collect()
}
