//! Computes shares by linear programming: a sequence of maximisations, each of which is
//! constrained by the results of the previous ones.

use std::time::{Duration, Instant};

use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, WithTimeLimit,
    constraint, microlp, variable, variables,
};

use crate::shares::ShareProblem;

/// Limits on the size of a linear program and on the time for solving it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SolverLimits {
    /// Maximum number of teams times number of controllers.
    pub max_variables: usize,
    /// Time limit of all maximisations together.
    pub time_limit: Duration,
}

/// Reason why the linear program was not solved.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NotSolved {
    /// The program has more variables than [`SolverLimits::max_variables`].
    #[error("too many variables: {0}")]
    TooLarge(usize),
    /// The time limit passed before a solution was found.
    #[error("not solved in time")]
    TimedOut,
    /// The solver reported an error.
    #[error("the solver failed: {0}")]
    Failed(String),
}

/// Maximum number of levels of max-min fairness. Teams that are still open after these share
/// the rest without regard to fairness.
const MAX_LEVELS: usize = 16;
/// Tolerance for comparisons, relative to the largest capacity of the problem.
const RELATIVE_TOLERANCE: f64 = 1e-6;

/// State shared by all maximisations: the problem, and the results so far.
struct Program<'a> {
    problem: &'a ShareProblem,
    deadline: Instant,
    /// The fraction of each guarantee that is met, the same for all teams.
    guaranteed_fraction: f64,
    /// The level of each team: its share above its guarantee, relative to its weight.
    levels: Vec<Level>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Level {
    /// The team's level may still rise in the next maximisation.
    Open,
    /// The team's demand is met, or its share cannot grow without reducing that of a team at
    /// the same level. Holds the share above the guarantee, not divided by the weight.
    Fixed(f64),
}

/// The quantity to maximise.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Objective {
    /// The fraction of each guarantee that is met.
    GuaranteedFraction,
    /// The lowest level of the open teams.
    LowestLevel,
    /// The sum of all shares, with open teams at no less than this level.
    Total(f64),
}

struct Maximum {
    /// The maximal fraction or level; meaningless for [`Objective::Total`].
    value: f64,
    served: Vec<Vec<f64>>,
}

/// Computes the shares, indexed by team and controller. Each maximisation is one run of the
/// solver.
pub(crate) fn solve(
    problem: &ShareProblem,
    limits: &SolverLimits,
) -> Result<Vec<Vec<f64>>, NotSolved> {
    let variables = problem.teams.len() * problem.capacity.len();
    if variables > limits.max_variables {
        return Err(NotSolved::TooLarge(variables));
    }
    if variables == 0 {
        return Ok(vec![Vec::new(); problem.teams.len()]);
    }
    let mut program = Program {
        problem,
        deadline: Instant::now() + limits.time_limit,
        guaranteed_fraction: 0.0,
        levels: vec![Level::Open; problem.teams.len()],
    };
    program.guaranteed_fraction = program
        .maximise(Objective::GuaranteedFraction)?
        .value
        .clamp(0.0, 1.0);
    let mut served = program.maximise(Objective::Total(0.0))?.served;
    for _ in 0..MAX_LEVELS {
        if !program.has_open_teams() {
            break;
        }
        let level = program.maximise(Objective::LowestLevel)?.value.max(0.0);
        served = program.maximise(Objective::Total(level))?.served;
        if !program.fix_levels(level, &served) {
            break;
        }
    }
    Ok(served)
}

impl Program<'_> {
    /// Returns the absolute tolerance. It is relative to the largest capacity, since the
    /// numbers of a program may differ by orders of magnitude.
    fn tolerance(&self) -> f64 {
        let capacities = self.problem.capacity.iter().copied();
        RELATIVE_TOLERANCE * capacities.fold(1.0, f64::max)
    }

    /// Returns the part of a team's share that its guarantee secures, according to the results
    /// so far.
    fn guaranteed_share(&self, team: usize) -> f64 {
        self.problem.guaranteed_demand(team) * self.guaranteed_fraction
    }

    /// Returns a team's demand above its guaranteed share.
    fn extra_demand(&self, team: usize) -> f64 {
        (self.problem.demand_of(team) - self.guaranteed_share(team)).max(0.0)
    }

    fn has_open_teams(&self) -> bool {
        self.levels.contains(&Level::Open)
    }

    /// Returns the lowest level at which the demand of an open team is met.
    fn lowest_satisfied_level(&self) -> f64 {
        (0..self.levels.len())
            .filter(|team| self.levels[*team] == Level::Open)
            .map(|team| self.extra_demand(team) / self.problem.weight(team))
            .fold(f64::MAX, f64::min)
    }

    /// Fixes the open teams whose levels cannot rise above `level`: their demand is met, or
    /// they could rise only by reducing teams at the same level. Returns whether there was
    /// any such team.
    fn fix_levels(&mut self, level: f64, served: &[Vec<f64>]) -> bool {
        let mut has_fixed = false;
        for (team, row) in served.iter().enumerate() {
            if self.levels[team] != Level::Open {
                continue;
            }
            let extra = row.iter().sum::<f64>() - self.guaranteed_share(team);
            let reached = level * self.problem.weight(team);
            let wanted = self.extra_demand(team);
            let bound = reached + 4.0 * self.tolerance();
            if wanted <= bound || extra <= bound {
                self.levels[team] = Level::Fixed(wanted.min(reached).max(0.0));
                has_fixed = true;
            }
        }
        has_fixed
    }

    fn maximise(&self, objective: Objective) -> Result<Maximum, NotSolved> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(NotSolved::TimedOut);
        }
        let mut unknowns = variables!();
        let shares = self.share_variables(&mut unknowns);
        let upper_bound = match objective {
            Objective::GuaranteedFraction => 1.0,
            Objective::LowestLevel => self.lowest_satisfied_level(),
            Objective::Total(_) => 0.0,
        };
        let maximum = unknowns.add(variable().min(0.0).max(upper_bound));
        let expression: Expression = match objective {
            Objective::Total(_) => shares.iter().flatten().copied().sum(),
            Objective::GuaranteedFraction | Objective::LowestLevel => maximum.into(),
        };
        let mut model = unknowns
            .maximise(expression)
            .using(microlp)
            .with_time_limit(time_left.as_secs_f64());
        for (team, limits) in self.problem.teams.iter().enumerate() {
            let sum = || shares[team].iter().copied().sum::<Expression>();
            model.add_constraint(constraint!(sum() <= limits.limit));
            model.add_constraint(constraint!(
                sum() >= self.minimum_share(team, objective, maximum)
            ));
        }
        for (controller, capacity) in self.problem.capacity.iter().enumerate() {
            let sum: Expression = shares.iter().map(|row| row[controller]).sum();
            model.add_constraint(constraint!(sum <= *capacity));
        }
        let solution = model.solve().map_err(NotSolved::from)?;
        let value = |unknown: &Variable| solution.value(*unknown);
        Ok(Maximum {
            value: value(&maximum),
            served: shares
                .iter()
                .map(|row| row.iter().map(value).collect())
                .collect(),
        })
    }

    /// Adds a variable for each team and controller: the team's share at the controller,
    /// between zero and its demand there.
    fn share_variables(&self, unknowns: &mut ProblemVariables) -> Vec<Vec<Variable>> {
        self.problem
            .demand
            .iter()
            .map(|row| {
                row.iter()
                    .map(|demand| unknowns.add(variable().min(0.0).max(*demand)))
                    .collect()
            })
            .collect()
    }

    /// Returns the lower bound of a team's total share.
    fn minimum_share(&self, team: usize, objective: Objective, maximum: Variable) -> Expression {
        let guaranteed = self.problem.guaranteed_demand(team);
        // Bounds are relaxed by the tolerance, since the solver's results are not exact.
        let floor = (self.guaranteed_share(team) - self.tolerance()).max(0.0);
        let weight = self.problem.weight(team);
        match (objective, self.levels[team]) {
            (Objective::GuaranteedFraction, _) => guaranteed * maximum,
            (_, Level::Fixed(extra)) => (floor + (extra - self.tolerance()).max(0.0)).into(),
            (Objective::LowestLevel, Level::Open) => floor + weight * maximum,
            (Objective::Total(level), Level::Open) => {
                (floor + (level * weight - self.tolerance()).max(0.0)).into()
            }
        }
    }
}

impl From<ResolutionError> for NotSolved {
    fn from(error: ResolutionError) -> Self {
        match error {
            ResolutionError::Other(reason) => Self::Failed(reason.to_owned()),
            other => Self::Failed(other.to_string()),
        }
    }
}
