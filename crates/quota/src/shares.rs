//! Divides the capacity of the controllers' machines among teams, for one resource (CPUs or
//! GPUs).

use std::time::Duration;

use crate::{
    fallback,
    linear::{self, NotSolved, SolverLimits},
};

/// A team's guarantee and limit of one resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLimits {
    /// Up to this amount, the team's demand has priority over demand of other teams above
    /// their guarantees.
    pub guaranteed: f64,
    /// Maximum amount that the team may use.
    pub limit: f64,
}

/// Demand and capacity of one resource. The first index of a matrix is the team, the second
/// one the controller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareProblem {
    /// The teams' guarantees and limits.
    pub teams: Vec<TeamLimits>,
    /// What the machines of each controller can provide to these teams, including what their
    /// running tasks use.
    pub capacity: Vec<f64>,
    /// What each team could use at each controller, including what its running tasks use.
    pub demand: Vec<Vec<f64>>,
}

/// The method by which shares were computed.
#[derive(Clone, Debug, PartialEq)]
pub enum Method {
    /// Linear programming.
    Linear,
    /// The fallback rule, used because the linear program was not solved.
    Fallback(NotSolved),
}

/// The amount for each team at each controller. It never exceeds the team's demand there; the
/// sums never exceed the team's limit nor the controller's capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// Shares by team and controller.
    pub served: Vec<Vec<f64>>,
    /// The method by which they were computed.
    pub method: Method,
}

impl ShareProblem {
    /// Returns a team's total demand, capped by its limit.
    pub fn demand_of(&self, team: usize) -> f64 {
        let sum: f64 = self.demand[team].iter().sum();
        sum.min(self.teams[team].limit)
    }

    /// Returns the part of a team's demand that its guarantee covers.
    pub fn guaranteed_demand(&self, team: usize) -> f64 {
        self.demand_of(team).min(self.teams[team].guaranteed)
    }

    /// Returns the weight of a team in the division above the guarantees: the difference between
    /// its limit and its guarantee, within bounds.
    pub fn weight(&self, team: usize) -> f64 {
        let limits = &self.teams[team];
        (limits.limit - limits.guaranteed).clamp(MIN_WEIGHT, MAX_WEIGHT)
    }

    /// Returns the problem with all numbers that are negative or not finite replaced by zero.
    fn sanitized(&self) -> Self {
        let amount = |n: &f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
        Self {
            teams: self
                .teams
                .iter()
                .map(|limits| TeamLimits {
                    guaranteed: amount(&limits.guaranteed),
                    limit: amount(&limits.limit),
                })
                .collect(),
            capacity: self.capacity.iter().map(amount).collect(),
            demand: self
                .demand
                .iter()
                .map(|row| row.iter().map(amount).collect())
                .collect(),
        }
    }
}

/// Bounds of a team's weight. The lower one gives some weight to a team whose limit is its
/// guarantee; the upper one keeps a team without a limit from taking everything.
const MIN_WEIGHT: f64 = 1.0;
const MAX_WEIGHT: f64 = 1e5;

/// Divides the capacity among teams: guarantees first, then weighted max-min fair above them
/// (see [`ShareProblem::weight`]). If the linear program is too large, times out or fails, the
/// fallback rule of progressive filling is used.
pub fn divide_capacity(problem: &ShareProblem, limits: &SolverLimits) -> Shares {
    let problem = problem.sanitized();
    match linear::solve(&problem, limits) {
        Ok(served) => Shares {
            served: clamp_to_bounds(&problem, served),
            method: Method::Linear,
        },
        Err(error) => Shares {
            served: fallback::fill(&problem),
            method: Method::Fallback(error),
        },
    }
}

/// Clamps the shares to their bounds, since the solver satisfies those only within its tolerance.
fn clamp_to_bounds(problem: &ShareProblem, mut served: Vec<Vec<f64>>) -> Vec<Vec<f64>> {
    for (team, row) in served.iter_mut().enumerate() {
        for (controller, part) in row.iter_mut().enumerate() {
            *part = part.clamp(0.0, problem.demand[team][controller]);
        }
        let sum: f64 = row.iter().sum();
        let limit = problem.teams[team].limit;
        if sum > limit {
            row.iter_mut().for_each(|part| *part *= limit / sum);
        }
    }
    for controller in 0..problem.capacity.len() {
        let sum: f64 = served.iter().map(|row| row[controller]).sum();
        let capacity = problem.capacity[controller];
        if sum > capacity {
            served
                .iter_mut()
                .for_each(|row| row[controller] *= capacity / sum);
        }
    }
    served
}

impl Default for SolverLimits {
    fn default() -> Self {
        Self {
            max_variables: 160,
            time_limit: Duration::from_millis(40),
        }
    }
}
