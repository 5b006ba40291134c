//! Computes shares without a solver, by progressive filling: the guarantees first, then the
//! amounts above them, each in small steps for all teams in turn.

use crate::shares::ShareProblem;

/// Number of steps for filling up the guarantees, and again for the amounts above them.
const FILL_STEPS: u32 = 64;

/// Shares assigned so far, and what remains to be assigned.
struct Remaining<'a> {
    problem: &'a ShareProblem,
    /// Remaining capacity of each controller.
    capacity: Vec<f64>,
    /// Shares by team and controller.
    served: Vec<Vec<f64>>,
    /// Remainder of each team's limit.
    limit: Vec<f64>,
}

impl Remaining<'_> {
    /// Increases a team's shares by up to `amount` in total, within its demand. Controllers
    /// with more remaining capacity come first.
    fn assign(&mut self, team: usize, amount: f64) {
        let mut amount = amount.min(self.limit[team]);
        let mut order: Vec<usize> = (0..self.capacity.len()).collect();
        order.sort_by(|a, b| self.capacity[*b].total_cmp(&self.capacity[*a]));
        for controller in order {
            let unmet = self.problem.demand[team][controller] - self.served[team][controller];
            let added = amount.min(unmet).min(self.capacity[controller]).max(0.0);
            self.served[team][controller] += added;
            self.capacity[controller] -= added;
            self.limit[team] -= added;
            amount -= added;
        }
    }
}

/// Computes the shares, indexed by team and controller.
pub(crate) fn fill(problem: &ShareProblem) -> Vec<Vec<f64>> {
    let teams = problem.teams.len();
    let mut remaining = Remaining {
        problem,
        capacity: problem.capacity.clone(),
        served: vec![vec![0.0; problem.capacity.len()]; teams],
        limit: problem.teams.iter().map(|limits| limits.limit).collect(),
    };
    for _ in 0..FILL_STEPS {
        for team in 0..teams {
            remaining.assign(
                team,
                problem.guaranteed_demand(team) / f64::from(FILL_STEPS),
            );
        }
    }
    for _ in 0..FILL_STEPS {
        for team in 0..teams {
            remaining.assign(team, problem.weight(team) / f64::from(FILL_STEPS));
        }
    }
    remaining.served
}
