//! How the teams' limits are divided between the allocations.
//!
//! What no allocation can use is granted to those that lack some. Beyond that, budget has to
//! come from other allocations: either the leader takes unused parts away, to grant them in its
//! next pass, or it names targets and the controllers transfer budgets to each other.

use std::collections::{BTreeMap, BTreeSet};

use quota::{LinearLimits, Method, NotSolved, TargetProblem, TeamDemand, plan_targets};

use super::{ShardPlan, ShardPlanInputs};
use crate::storage::{ControllerName, MachineId, Quota, Team, TeamName};

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
/// Part of a limit below which what is over is kept for those who ask.
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

/// A controller that lacks quota for tasks that it has room for.
struct Deficit {
    controller: ControllerName,
    short: Quota,
}

impl ShardPlan<'_> {
    /// Grants what no allocation can use to those that lack it. For the rest it plans what other
    /// allocations should give.
    pub(super) fn divide_quota(&mut self, teams: &[Team], inputs: &ShardPlanInputs) {
        let allocated_to: Vec<ControllerName> = self
            .alive
            .iter()
            .filter(|controller| self.allocations.contains_key(*controller))
            .cloned()
            .collect();
        if allocated_to.is_empty() {
            return;
        }
        let used = self.use_after();
        let mut demands: BTreeMap<TeamName, TeamDemand<ControllerName>> = BTreeMap::new();
        for team in teams {
            let claims = self.claims(&team.name, &used);
            let mut slack = team.limit.minus(&claims).at_least_zero();
            let deficits = deficits(&allocated_to, &team.name, inputs);
            let unmet = self.grant(team, &deficits, &mut slack, &used);
            if unmet.exceeds(MIN_QUOTA_STEP) && inputs.controllers_transfer {
                let demand = self.demand_of(team, &used, inputs);
                demands.insert(team.name.clone(), demand);
            } else if unmet.exceeds(MIN_QUOTA_STEP) {
                self.take_unused(team, &deficits, unmet, &used, inputs);
            } else if slack.cpus > MIN_QUOTA_STEP.max(team.limit.cpus * RETAINED_FRACTION)
                || slack.gpus > MIN_QUOTA_STEP.max(team.limit.gpus * RETAINED_FRACTION)
            {
                let part = slack.times(1.0 / allocated_to.len() as f64);
                for controller in &allocated_to {
                    self.give(controller, &team.name, part, &used);
                }
            }
        }
        if !demands.is_empty() {
            self.targets = self.plan_targets(demands, inputs);
        }
    }

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
    fn claims(&self, team: &TeamName, used: &PlannedUse) -> Quota {
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
        let entry = self
            .cache
            .allocations
            .get(controller)
            .map(|entry| &entry.value);
        let budget = |allocation: &crate::storage::records::AllocationRecord| {
            allocation.budgets.get(team).copied().unwrap_or_default()
        };
        let known = entry.map(budget).unwrap_or_default();
        known.max(
            &self
                .allocations
                .get(controller)
                .map(budget)
                .unwrap_or_default(),
        )
    }

    /// Gives to those that lack some from what no allocation can use. Returns what is missing
    /// beyond that.
    fn grant(
        &mut self,
        team: &Team,
        deficits: &[Deficit],
        slack: &mut Quota,
        used: &PlannedUse,
    ) -> Quota {
        let mut unmet = Quota::default();
        for Deficit { controller, short } in deficits {
            // More than it lacks now, since a change of its allocation voids the
            // placements that it has under way.
            let ample = |short: f64, slack: f64| {
                if short <= MIN_QUOTA_STEP {
                    return 0.0;
                }
                (short * GRANT_FACTOR)
                    .max(slack * MIN_GRANT_FRACTION)
                    .min(slack)
            };
            let part = Quota {
                cpus: ample(short.cpus, slack.cpus),
                gpus: ample(short.gpus, slack.gpus),
            };
            if part.exceeds(MIN_QUOTA_STEP) && self.give(controller, &team.name, part, used) {
                *slack = slack.minus(&part);
            }
            unmet = unmet.plus(&short.minus(&part).at_least_zero());
        }
        unmet
    }

    /// False: its allocation can't be changed any more in this pass.
    fn give(
        &mut self,
        controller: &ControllerName,
        team: &TeamName,
        more: Quota,
        used: &PlannedUse,
    ) -> bool {
        if !self.touch_allocation(controller) {
            return false;
        }
        if let Some(allocation) = self.allocations.get_mut(controller) {
            let budget = allocation.budgets.entry(team.clone()).or_default();
            // Up to what it uses costs nothing: that is counted already.
            *budget = budget.max(&used.of(controller, team)).plus(&more);
        }
        true
    }

    /// Takes unused budget away, to be granted once the cache shows that it is gone.
    fn take_unused(
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
                .any(|deficits| deficits.controller == *controller)
            {
                continue;
            }
            let allocation = self.allocations.get(controller);
            let Some(budget) = allocation.and_then(|allocation| allocation.budgets.get(&team.name))
            else {
                continue;
            };
            let spoken_for = used
                .of(controller, &team.name)
                .plus(&reserved(controller, team, inputs));
            let unused = budget.minus(&spoken_for).at_least_zero();
            // What is taken beyond the need is there for the next that lacks some,
            // with one change of one allocation.
            let half = |unused: f64, unmet: f64| {
                if unmet <= MIN_QUOTA_STEP {
                    return 0.0;
                }
                unmet.max(unused * RECLAIM_FRACTION).min(unused)
            };
            let part = Quota {
                cpus: half(unused.cpus, unmet.cpus),
                gpus: half(unused.gpus, unmet.gpus),
            };
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
            fixed: BTreeMap::new(),
            allocated: BTreeMap::new(),
            wanted: inputs
                .demand
                .iter()
                .filter(|wanted| wanted.team == *name)
                .map(|wanted| wanted.tasks.clone())
                .collect(),
        };
        for (controller, allocation) in &self.allocations {
            let budget = allocation.budgets.get(name).copied().unwrap_or_default();
            let in_flight = inputs.in_flight.get(&(controller.clone(), name.clone()));
            let fixed = used
                .of(controller, name)
                .plus(&in_flight.copied().unwrap_or_default());
            demand.allocated.insert(controller.clone(), budget);
            demand.fixed.insert(controller.clone(), fixed);
        }
        demand
    }

    fn plan_targets(
        &self,
        teams: BTreeMap<TeamName, TeamDemand<ControllerName>>,
        inputs: &ShardPlanInputs,
    ) -> Targets {
        let room_of = |controller: &ControllerName| {
            let free = inputs.free.get(controller).copied().unwrap_or_default();
            let fixed = teams
                .values()
                .filter_map(|demand| demand.fixed.get(controller));
            fixed.fold(free, |sum, quota| sum.plus(quota))
        };
        let room = self
            .allocations
            .keys()
            .map(|controller| (controller.clone(), room_of(controller)));
        let problem = TargetProblem {
            room: room.collect(),
            teams,
        };
        let division = plan_targets(&problem, &LinearLimits::default());
        for method in &division.methods {
            if let Method::Plain(reason @ (NotSolved::Late | NotSolved::Failed(_))) = method {
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

/// Quota that a controller is about to need beside what it uses.
fn reserved(controller: &ControllerName, team: &Team, inputs: &ShardPlanInputs) -> Quota {
    let reserved = inputs
        .reserved
        .get(&(controller.clone(), team.name.clone()));
    reserved.copied().unwrap_or_default()
}

fn deficits(
    allocated_to: &[ControllerName],
    team: &TeamName,
    inputs: &ShardPlanInputs,
) -> Vec<Deficit> {
    allocated_to
        .iter()
        .filter_map(|controller| {
            let short = *inputs.deficit.get(&(controller.clone(), team.clone()))?;
            Some(Deficit {
                controller: controller.clone(),
                short,
            })
        })
        .collect()
}
