//! How the teams' limits are divided between the allocations.
//!
//! What no allocation can use is granted to those that lack some. Beyond that, budget has to
//! come from other allocations: either the leader takes unused parts away, to grant them in its
//! next pass, or it names targets and the controllers transfer budgets to each other.

use std::collections::{BTreeMap, BTreeSet};

use quota::{Method, NotSolved, SolverLimits, TargetProblem, TeamDemand, plan_targets};

use super::{ShardPlan, ShardPlanInputs};
use crate::storage::{ControllerName, MachineId, Quota, Team, TeamName, records::AllocationRecord};

/// What each controller's budgets should be.
pub type Targets = BTreeMap<ControllerName, BTreeMap<TeamName, Quota>>;

/// Budgets are only moved in steps of at least this.
pub(super) const MIN_QUOTA_STEP: f64 = 0.01;
/// What an allocation is given, of what it lacks.
const GRANT_FACTOR: f64 = 1.5;
/// ... at least this part of what nobody has.
const MIN_GRANT_FRACTION: f64 = 0.15;
/// Part of its unused budget that an allocation gives up when others lack some.
const RECLAIM_FRACTION: f64 = 0.5;
/// Part of a limit that is retained for those who ask, when the rest is spread over all.
pub(super) const RETAINED_FRACTION: f64 = 0.1;

/// What is used of the teams' limits, with machines where they are after the pass.
struct PlannedUse {
    by_controller: BTreeMap<ControllerName, BTreeMap<TeamName, Quota>>,
    /// On machines of no shard.
    outside: BTreeMap<TeamName, Quota>,
}

impl PlannedUse {
    fn of(&self, controller: &ControllerName, team: &TeamName) -> Quota {
        let used = self
            .by_controller
            .get(controller)
            .and_then(|teams| teams.get(team));
        used.copied().unwrap_or_default()
    }

    fn outside(&self, team: &TeamName) -> Quota {
        self.outside.get(team).copied().unwrap_or_default()
    }
}

/// Quota that a controller lacks for tasks that it has room for.
struct Deficit {
    controller: ControllerName,
    missing: Quota,
}

impl ShardPlan<'_> {
    /// Grants what no allocation can use to those that lack it. For the rest it plans what other
    /// allocations should give.
    pub(super) fn divide_quota(&mut self, teams: &[Team], inputs: &ShardPlanInputs) {
        let controllers: Vec<ControllerName> = self
            .alive
            .iter()
            .filter(|controller| self.allocations.contains_key(*controller))
            .cloned()
            .collect();
        if controllers.is_empty() {
            return;
        }
        let used = self.use_after();
        let mut demands: BTreeMap<TeamName, TeamDemand<ControllerName>> = BTreeMap::new();
        for team in teams {
            let claimed = self.claimed(&team.name, &used);
            let mut unclaimed = team.limit.minus(&claimed).at_least_zero();
            let deficits = deficits(&controllers, &team.name, inputs);
            let unmet = self.grant(team, &deficits, &mut unclaimed, &used);
            if unmet.exceeds(MIN_QUOTA_STEP) && inputs.controllers_transfer {
                let demand = self.demand_of(team, &used, inputs);
                demands.insert(team.name.clone(), demand);
            } else if unmet.exceeds(MIN_QUOTA_STEP) {
                self.reclaim_unused(team, &deficits, unmet, &used, inputs);
            } else if is_beyond_retained(team, &unclaimed) {
                let part = unclaimed.times(1.0 / controllers.len() as f64);
                for controller in &controllers {
                    self.give(controller, &team.name, part, &used);
                }
            }
        }
        if !demands.is_empty() {
            self.targets = self.plan_targets(demands, inputs);
        }
    }

    /// What is used once this pass's moves have happened.
    fn use_after(&self) -> PlannedUse {
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
        let others = self.cache.on_machine.keys();
        let outside = others.filter(|id| !in_shards.contains(id));
        PlannedUse {
            by_controller,
            outside: self.cache.quota_used(outside),
        }
    }

    /// The sum over allocations of the larger of budget and use, and what is used elsewhere.
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
                    .max(&used.of(controller, team))
            })
            .fold(used.outside(team), |sum, claim| sum.plus(&claim))
    }

    /// What a controller may act on: the record of the cache until this pass is written,
    /// the planned one from then on.
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

    /// Gives to those that lack some from what no allocation can use. Returns what is missing
    /// beyond that.
    fn grant(
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
            if part.exceeds(MIN_QUOTA_STEP) && self.give(controller, &team.name, part, used) {
                *unclaimed = unclaimed.minus(&part);
            }
            unmet = unmet.plus(&missing.minus(&part).at_least_zero());
        }
        unmet
    }

    /// Raises a controller's budget. False: its allocation can't be changed any more in this
    /// pass.
    fn give(
        &mut self,
        controller: &ControllerName,
        team: &TeamName,
        added: Quota,
        used: &PlannedUse,
    ) -> bool {
        if !self.touch_allocation(controller) {
            return false;
        }
        if let Some(allocation) = self.allocations.get_mut(controller) {
            let budget = allocation.budgets.entry(team.clone()).or_default();
            // Up to what it uses costs nothing: that is counted already.
            *budget = budget.max(&used.of(controller, team)).plus(&added);
        }
        true
    }

    /// Takes unused budget away, to be granted once the cache shows that it has been.
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
                .of(controller, &team.name)
                .plus(&reserved(controller, team, inputs));
            let unused = budget.minus(&used_or_reserved).at_least_zero();
            let part = by_resource(&unused, &unmet, reclaim_amount);
            if part.exceeds(MIN_QUOTA_STEP)
                && self.touch_allocation(controller)
                && let Some(allocation) = self.allocations.get_mut(controller)
                && let Some(budget) = allocation.budgets.get_mut(&team.name)
            {
                *budget = budget.minus(&part);
                unmet = unmet.minus(&part).at_least_zero();
            }
        }
    }

    /// What a team of which some controller lacks quota uses, could use and holds.
    fn demand_of(
        &self,
        team: &Team,
        used: &PlannedUse,
        inputs: &ShardPlanInputs,
    ) -> TeamDemand<ControllerName> {
        let name = &team.name;
        let mut demand = TeamDemand {
            guaranteed: team.guaranteed,
            limit: team.limit.minus(&used.outside(name)).at_least_zero(),
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
            let fixed = used
                .of(controller, name)
                .plus(&in_flight.copied().unwrap_or_default());
            demand.allocated.insert(controller.clone(), budget);
            demand.used_or_in_flight.insert(controller.clone(), fixed);
        }
        demand
    }

    /// What the controllers' budgets should be, of teams of which some controller lacks quota.
    fn plan_targets(
        &self,
        teams: BTreeMap<TeamName, TeamDemand<ControllerName>>,
        inputs: &ShardPlanInputs,
    ) -> Targets {
        let room_of = |controller: &ControllerName| {
            let free = inputs.free.get(controller).copied().unwrap_or_default();
            let fixed = teams
                .values()
                .filter_map(|demand| demand.used_or_in_flight.get(controller));
            fixed.fold(free, |sum, quota| sum.plus(quota))
        };
        let room = self
            .allocations
            .keys()
            .map(|controller| (controller.clone(), room_of(controller)));
        let problem = TargetProblem {
            capacity: room.collect(),
            teams,
        };
        let division = plan_targets(&problem, &SolverLimits::default());
        for method in &division.methods {
            if let Method::Fallback(reason @ (NotSolved::TimedOut | NotSolved::Failed(_))) = method
            {
                tracing::info!(%reason, "quota targets by the fallback rule");
            }
        }
        let mut targets = Targets::new();
        for (team, by_controller) in division.targets {
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

/// Whether so much of a team's limit is claimed by nobody that it is worth spreading.
fn is_beyond_retained(team: &Team, unclaimed: &Quota) -> bool {
    let exceeds =
        |unclaimed: f64, limit: f64| unclaimed > MIN_QUOTA_STEP.max(limit * RETAINED_FRACTION);
    exceeds(unclaimed.cpus, team.limit.cpus) || exceeds(unclaimed.gpus, team.limit.gpus)
}

/// Computes an amount of each resource by itself.
fn by_resource(left: &Quota, right: &Quota, amount: impl Fn(f64, f64) -> f64) -> Quota {
    Quota {
        cpus: amount(left.cpus, right.cpus),
        gpus: amount(left.gpus, right.gpus),
    }
}

/// What a controller that misses some gets of what nobody claims: more than it lacks now,
/// since a change of its allocation voids the placements that it has under way.
fn grant_amount(missing: f64, unclaimed: f64) -> f64 {
    if missing <= MIN_QUOTA_STEP {
        return 0.0;
    }
    (missing * GRANT_FACTOR)
        .max(unclaimed * MIN_GRANT_FRACTION)
        .min(unclaimed)
}

/// What is taken of a controller's unused budget. What is taken beyond the need is there for
/// the next that lacks some, with one change of one allocation.
fn reclaim_amount(unused: f64, unmet: f64) -> f64 {
    if unmet <= MIN_QUOTA_STEP {
        return 0.0;
    }
    unmet.max(unused * RECLAIM_FRACTION).min(unused)
}

/// Quota that a controller is about to need beside what it uses.
fn reserved(controller: &ControllerName, team: &Team, inputs: &ShardPlanInputs) -> Quota {
    let reserved = inputs
        .reserved
        .get(&(controller.clone(), team.name.clone()));
    reserved.copied().unwrap_or_default()
}

/// The controllers that lack a team's quota.
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
