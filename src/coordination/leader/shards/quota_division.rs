//! How the teams' limits are divided between the seats.
//!
//! What no seat can use is granted to those that lack some. Beyond that, budget has to
//! come from other seats: either the leader takes unused parts away, to grant them in its
//! next pass, or it names targets and the controllers transfer budgets to each other.

use std::collections::{BTreeMap, BTreeSet};

use quota::{LinearLimits, Method, NotSolved, TargetProblem, TeamDemand, plan_targets};

use super::{Hints, Plan};
use crate::storage::{MachineId, NodeName, Quota, Team, TeamName};

/// What each controller's budgets should be.
pub type Targets = BTreeMap<NodeName, BTreeMap<TeamName, Quota>>;

/// Budgets are only moved in steps of at least this.
pub(super) const STEP: f64 = 0.01;
/// What a seat is given, of what it lacks.
const AMPLE: f64 = 1.5;
/// ... at least this part of what nobody has.
const POOLED: f64 = 0.15;
/// Part of its unused budget that a seat gives up when others lack some.
const TAKEN: f64 = 0.5;
/// Part of a limit below which what is over is kept for those who ask.
pub(super) const SPREAD: f64 = 0.1;

/// What is used of the teams' limits, with machines where they are after the pass.
struct UseAfter {
    by_node: BTreeMap<NodeName, BTreeMap<TeamName, Quota>>,
    /// On machines of no block.
    outside: BTreeMap<TeamName, Quota>,
}

impl UseAfter {
    fn of(&self, node: &NodeName, team: &TeamName) -> Quota {
        let used = self.by_node.get(node).and_then(|teams| teams.get(team));
        used.copied().unwrap_or_default()
    }

    fn outside(&self, team: &TeamName) -> Quota {
        self.outside.get(team).copied().unwrap_or_default()
    }
}

/// A controller that lacks quota for tasks that it has room for.
struct Lacking {
    node: NodeName,
    short: Quota,
}

impl Plan<'_> {
    /// Grants what no seat can use to those that lack it. For the rest it plans what other
    /// seats should give.
    pub(super) fn share_budgets(&mut self, teams: &[Team], hints: &Hints) {
        let seated: Vec<NodeName> = self
            .alive
            .iter()
            .filter(|node| self.seats.contains_key(*node))
            .cloned()
            .collect();
        if seated.is_empty() {
            return;
        }
        let used = self.use_after();
        let mut demands: BTreeMap<TeamName, TeamDemand<NodeName>> = BTreeMap::new();
        for team in teams {
            let claims = self.claims(&team.name, &used);
            let mut slack = team.limit.minus(&claims).at_least_zero();
            let lacking = lacking(&seated, &team.name, hints);
            let unmet = self.grant(team, &lacking, &mut slack, &used);
            if unmet.exceeds(STEP) && hints.controllers_transfer {
                let demand = self.demand_of(team, &used, hints);
                demands.insert(team.name.clone(), demand);
            } else if unmet.exceeds(STEP) {
                self.take_unused(team, &lacking, unmet, &used, hints);
            } else if slack.cpus > STEP.max(team.limit.cpus * SPREAD)
                || slack.gpus > STEP.max(team.limit.gpus * SPREAD)
            {
                let part = slack.times(1.0 / seated.len() as f64);
                for node in &seated {
                    self.give(node, &team.name, part, &used);
                }
            }
        }
        if !demands.is_empty() {
            self.targets = self.plan_targets(demands, hints);
        }
    }

    fn use_after(&self) -> UseAfter {
        let mut by_node: BTreeMap<NodeName, BTreeMap<TeamName, Quota>> = BTreeMap::new();
        let mut in_blocks: BTreeSet<&MachineId> = BTreeSet::new();
        for block in self.blocks.values() {
            in_blocks.extend(block.machines.keys());
            let sums = by_node.entry(block.node.clone()).or_default();
            for (team, quota) in self.cache.quota_used(block.machines.keys()) {
                let sum = sums.entry(team).or_default();
                *sum = sum.plus(&quota);
            }
        }
        let others = self.cache.on_machine.keys();
        let outside = others.filter(|id| !in_blocks.contains(id));
        UseAfter {
            by_node,
            outside: self.cache.quota_used(outside),
        }
    }

    /// The sum over seats of the larger of budget and use, and what is used elsewhere.
    fn claims(&self, team: &TeamName, used: &UseAfter) -> Quota {
        let nodes: BTreeSet<&NodeName> = self.seats.keys().chain(used.by_node.keys()).collect();
        nodes
            .into_iter()
            .map(|node| self.budget_of(node, team).max(&used.of(node, team)))
            .fold(used.outside(team), |sum, claim| sum.plus(&claim))
    }

    /// What a controller may act on: the record of the cache until this pass is written,
    /// the planned one from then on.
    fn budget_of(&self, node: &NodeName, team: &TeamName) -> Quota {
        let kept = self.cache.seats.get(node).map(|kept| &kept.value);
        let budget = |seat: &crate::storage::records::SeatRecord| {
            seat.budgets.get(team).copied().unwrap_or_default()
        };
        let known = kept.map(budget).unwrap_or_default();
        known.max(&self.seats.get(node).map(budget).unwrap_or_default())
    }

    /// Gives to those that lack some from what no seat can use. Returns what is missing
    /// beyond that.
    fn grant(
        &mut self,
        team: &Team,
        lacking: &[Lacking],
        slack: &mut Quota,
        used: &UseAfter,
    ) -> Quota {
        let mut unmet = Quota::default();
        for Lacking { node, short } in lacking {
            // More than it lacks now, since a change of its seat voids the
            // placements that it has under way.
            let ample = |short: f64, slack: f64| {
                if short <= STEP {
                    return 0.0;
                }
                (short * AMPLE).max(slack * POOLED).min(slack)
            };
            let part = Quota {
                cpus: ample(short.cpus, slack.cpus),
                gpus: ample(short.gpus, slack.gpus),
            };
            if part.exceeds(STEP) && self.give(node, &team.name, part, used) {
                *slack = slack.minus(&part);
            }
            unmet = unmet.plus(&short.minus(&part).at_least_zero());
        }
        unmet
    }

    /// False: its seat can't be changed any more in this pass.
    fn give(&mut self, node: &NodeName, team: &TeamName, more: Quota, used: &UseAfter) -> bool {
        if !self.reseat(node) {
            return false;
        }
        if let Some(seat) = self.seats.get_mut(node) {
            let budget = seat.budgets.entry(team.clone()).or_default();
            // Up to what it uses costs nothing: that is counted already.
            *budget = budget.max(&used.of(node, team)).plus(&more);
        }
        true
    }

    /// Takes unused budget away, to be granted once the cache shows that it is gone.
    fn take_unused(
        &mut self,
        team: &Team,
        lacking: &[Lacking],
        mut unmet: Quota,
        used: &UseAfter,
        hints: &Hints,
    ) {
        let others: Vec<NodeName> = self.seats.keys().cloned().collect();
        for node in &others {
            if lacking.iter().any(|lacking| lacking.node == *node) {
                continue;
            }
            let seat = self.seats.get(node);
            let Some(budget) = seat.and_then(|seat| seat.budgets.get(&team.name)) else {
                continue;
            };
            let spoken_for = used.of(node, &team.name).plus(&kept(node, team, hints));
            let unused = budget.minus(&spoken_for).at_least_zero();
            // What is taken beyond the need is there for the next that lacks some,
            // with one change of one seat.
            let half = |unused: f64, unmet: f64| {
                if unmet <= STEP {
                    return 0.0;
                }
                unmet.max(unused * TAKEN).min(unused)
            };
            let part = Quota {
                cpus: half(unused.cpus, unmet.cpus),
                gpus: half(unused.gpus, unmet.gpus),
            };
            if part.exceeds(STEP)
                && self.reseat(node)
                && let Some(seat) = self.seats.get_mut(node)
                && let Some(budget) = seat.budgets.get_mut(&team.name)
            {
                *budget = budget.minus(&part);
                unmet = unmet.minus(&part).at_least_zero();
            }
        }
    }

    /// What a team of which some controller lacks quota uses, could use and holds.
    fn demand_of(&self, team: &Team, used: &UseAfter, hints: &Hints) -> TeamDemand<NodeName> {
        let name = &team.name;
        let mut demand = TeamDemand {
            guaranteed: team.guaranteed,
            limit: team.limit.minus(&used.outside(name)).at_least_zero(),
            fixed: BTreeMap::new(),
            allocated: BTreeMap::new(),
            wanted: hints
                .wanted
                .iter()
                .filter(|wanted| wanted.team == *name)
                .map(|wanted| wanted.tasks.clone())
                .collect(),
        };
        for (node, seat) in &self.seats {
            let budget = seat.budgets.get(name).copied().unwrap_or_default();
            let under_way = hints.under_way.get(&(node.clone(), name.clone()));
            let fixed = used
                .of(node, name)
                .plus(&under_way.copied().unwrap_or_default());
            demand.allocated.insert(node.clone(), budget);
            demand.fixed.insert(node.clone(), fixed);
        }
        demand
    }

    fn plan_targets(
        &self,
        teams: BTreeMap<TeamName, TeamDemand<NodeName>>,
        hints: &Hints,
    ) -> Targets {
        let room_of = |node: &NodeName| {
            let free = hints.free.get(node).copied().unwrap_or_default();
            let fixed = teams.values().filter_map(|demand| demand.fixed.get(node));
            fixed.fold(free, |sum, quota| sum.plus(quota))
        };
        let room = self.seats.keys().map(|node| (node.clone(), room_of(node)));
        let problem = TargetProblem {
            room: room.collect(),
            teams,
        };
        let division = plan_targets(&problem, &LinearLimits::default());
        for method in &division.methods {
            if let Method::Plain(reason @ (NotSolved::Late | NotSolved::Failed(_))) = method {
                tracing::info!(%reason, "quota targets by the plain rule");
            }
        }
        let mut targets = Targets::new();
        for (team, by_node) in division.targets {
            for (node, quota) in by_node {
                targets.entry(node).or_default().insert(team.clone(), quota);
            }
        }
        targets
    }
}

/// Quota that a controller is about to need beside what it uses.
fn kept(node: &NodeName, team: &Team, hints: &Hints) -> Quota {
    let kept = hints.kept.get(&(node.clone(), team.name.clone()));
    kept.copied().unwrap_or_default()
}

fn lacking(seated: &[NodeName], team: &TeamName, hints: &Hints) -> Vec<Lacking> {
    seated
        .iter()
        .filter_map(|node| {
            let short = *hints.short.get(&(node.clone(), team.clone()))?;
            Some(Lacking {
                node: node.clone(),
                short,
            })
        })
        .collect()
}
