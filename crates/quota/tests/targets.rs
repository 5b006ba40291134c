//! Property tests of quota targets, and of the shares that they are computed from.

use std::{collections::BTreeMap, time::Duration};

use proptest::prelude::*;
use quota::{
    Method, NotSolved, Quota, ShareProblem, SolverLimits, TargetProblem, TaskDemand, TeamDemand,
    TeamLimits, divide_capacity, plan_targets,
};

const SLACK: f64 = 1e-2;

fn ample_limits() -> SolverLimits {
    SolverLimits {
        max_variables: 1_000,
        time_limit: Duration::from_secs(20),
    }
}

/// Limits that force the fallback rule: no problem is small enough for the solver.
fn zero_limits() -> SolverLimits {
    SolverLimits {
        max_variables: 0,
        time_limit: Duration::ZERO,
    }
}

fn problems() -> impl Strategy<Value = ShareProblem> {
    (1usize..6, 1usize..6).prop_flat_map(|(teams, controllers)| {
        let limits = (0.0..60.0f64, 0.0..120.0f64).prop_map(|(guaranteed, more)| TeamLimits {
            guaranteed,
            limit: guaranteed + more,
        });
        let row = prop::collection::vec(0.0..90.0f64, controllers);
        (
            prop::collection::vec(limits, teams),
            prop::collection::vec(0.0..160.0f64, controllers),
            prop::collection::vec(row, teams),
        )
            .prop_map(|(teams, capacity, demand)| ShareProblem {
                teams,
                capacity,
                demand,
            })
    })
}

fn check_bounds(problem: &ShareProblem, served: &[Vec<f64>]) -> Result<(), TestCaseError> {
    for (team, row) in served.iter().enumerate() {
        prop_assert!(row.iter().sum::<f64>() <= problem.teams[team].limit + SLACK);
        for (controller, share) in row.iter().enumerate() {
            prop_assert!(*share >= 0.0 && *share <= problem.demand[team][controller] + SLACK);
        }
    }
    for (controller, capacity) in problem.capacity.iter().enumerate() {
        let sum: f64 = served.iter().map(|row| row[controller]).sum();
        prop_assert!(sum <= capacity + SLACK);
    }
    Ok(())
}

/// Returns the lowest fraction of a guarantee that is met, over the teams that demand any part
/// of theirs.
fn min_guaranteed_fraction(problem: &ShareProblem, served: &[Vec<f64>]) -> f64 {
    (0..problem.teams.len())
        .filter(|team| problem.guaranteed_demand(*team) > SLACK)
        .map(|team| served[team].iter().sum::<f64>() / problem.guaranteed_demand(team))
        .fold(1.0, f64::min)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_never_exceed_demand_limit_or_capacity(problem in problems()) {
        let linear = divide_capacity(&problem, &ample_limits());
        prop_assert_eq!(&linear.method, &Method::Linear);
        check_bounds(&problem, &linear.served)?;
        let fallback = divide_capacity(&problem, &zero_limits());
        prop_assert!(matches!(fallback.method, Method::Fallback(NotSolved::TooLarge(_))));
        check_bounds(&problem, &fallback.served)?;
    }

    /// The linear program meets guarantees at least as well as the fallback rule does, and
    /// leaves no capacity unused that a team below its limit could use.
    #[test]
    fn guarantees_come_first_and_no_capacity_is_wasted(problem in problems()) {
        let linear = divide_capacity(&problem, &ample_limits());
        let fallback = divide_capacity(&problem, &zero_limits());
        let tolerance = 0.01;
        prop_assert!(
            min_guaranteed_fraction(&problem, &linear.served)
                >= min_guaranteed_fraction(&problem, &fallback.served) - tolerance
        );
        for (team, row) in linear.served.iter().enumerate() {
            let is_at_limit = row.iter().sum::<f64>() >= problem.teams[team].limit - SLACK;
            for (controller, share) in row.iter().enumerate() {
                let sum: f64 = linear.served.iter().map(|row| row[controller]).sum();
                let is_at_capacity = sum >= problem.capacity[controller] - SLACK;
                let is_satisfied = *share >= problem.demand[team][controller] - SLACK;
                prop_assert!(is_at_limit || is_at_capacity || is_satisfied);
            }
        }
    }

    /// Targets add up to no more than the limit, and cover whole tasks. They are stable: planning
    /// again, with the targets as the allocations, changes nothing.
    #[test]
    fn targets_observe_the_limit_and_are_stable(mut problem in target_problems()) {
        let first = plan_targets(&problem, &ample_limits());
        for (team, demand) in &problem.teams {
            let targets = &first.targets[team];
            prop_assert!(
                total(targets)
                    <= demand.limit.cpus.max(total(&demand.used_or_in_flight)) + SLACK
            );
            for (controller, used) in &demand.used_or_in_flight {
                prop_assert!(targets[controller].cpus >= used.cpus - SLACK);
            }
            prop_assert!(serves_in_whole_tasks(demand, targets), "{:?} by {:?}", demand, targets);
        }
        for (team, demand) in &mut problem.teams {
            demand.allocated = first.targets[team].clone();
        }
        let second = plan_targets(&problem, &ample_limits());
        for (team, targets) in &second.targets {
            for (controller, target) in targets {
                let before = first.targets[team][controller].cpus;
                prop_assert!((target.cpus - before).abs() <= SLACK);
            }
        }
    }
}

fn total(quotas: &BTreeMap<usize, Quota>) -> f64 {
    quotas.values().map(|quota| quota.cpus).sum()
}

fn cpus(cpus: f64) -> Quota {
    Quota { cpus, gpus: 0.0 }
}

/// Whether no task waits while enough quota for it remains of the limit. Quota of a controller
/// whose tasks cannot use it counts as remaining.
fn serves_in_whole_tasks(demand: &TeamDemand<usize>, targets: &BTreeMap<usize, Quota>) -> bool {
    let mut remaining = demand.limit.cpus - total(&demand.used_or_in_flight);
    let mut wanted: BTreeMap<usize, f64> = BTreeMap::new();
    for (controller, tasks) in demand
        .waiting_tasks
        .iter()
        .flat_map(|tasks| &tasks.tasks_by_controller)
    {
        *wanted.entry(*controller).or_default() += f64::from(*tasks);
    }
    let mut is_any_waiting = false;
    for (controller, tasks) in wanted {
        let given = (targets[&controller].cpus - demand.used_or_in_flight[&controller].cpus
            + SLACK)
            / TASK_CPUS;
        let served = given.floor().min(tasks);
        remaining -= served * TASK_CPUS;
        is_any_waiting |= served < tasks;
    }
    !is_any_waiting || remaining < TASK_CPUS + SLACK
}

/// CPUs of a task of the target problems.
const TASK_CPUS: f64 = 2.0;

fn target_problems() -> impl Strategy<Value = TargetProblem<usize, usize>> {
    (1usize..4, 1usize..6).prop_flat_map(|(teams, controllers)| {
        let demand = (
            (0.0..20.0f64, 1.0..60.0f64),
            prop::collection::vec(0u32..4, controllers),
            prop::collection::vec(0u32..9, controllers),
        )
            .prop_map(move |((guaranteed, more), used, waiting)| {
                let allocated = (guaranteed + more) / controllers as f64;
                let used = used.iter().map(|n| f64::from(*n) * TASK_CPUS);
                TeamDemand {
                    guaranteed: cpus(guaranteed),
                    limit: cpus(guaranteed + more),
                    used_or_in_flight: used.map(cpus).enumerate().collect(),
                    allocated: (0..controllers).map(|c| (c, cpus(allocated))).collect(),
                    waiting_tasks: vec![TaskDemand {
                        tasks_by_controller: waiting.into_iter().enumerate().collect(),
                        per_task: cpus(TASK_CPUS),
                        is_gang: false,
                    }],
                }
            });
        (
            prop::collection::vec(demand, teams),
            prop::collection::vec(0.0..160.0f64, controllers),
        )
            .prop_map(|(teams, capacity)| TargetProblem {
                capacity: capacity.into_iter().map(cpus).enumerate().collect(),
                teams: teams.into_iter().enumerate().collect(),
            })
    })
}

/// Four controllers have a quarter of a limit of ten CPUs each, and two of them have a waiting
/// task of four CPUs. Dividing the limit evenly would leave both with too little for a task;
/// the scenario `transfers-last-slot` starved that way.
#[test]
fn the_rest_of_a_limit_is_assigned_in_whole_tasks() {
    let waiting = |controller, tasks, is_gang| TaskDemand {
        tasks_by_controller: vec![(controller, tasks)],
        per_task: cpus(4.0),
        is_gang,
    };
    let targets = |waiting_tasks| {
        let demand = TeamDemand {
            guaranteed: cpus(0.0),
            limit: cpus(10.0),
            used_or_in_flight: (0..4).map(|c| (c, cpus(0.0))).collect(),
            allocated: (0..4).map(|c| (c, cpus(2.5))).collect(),
            waiting_tasks,
        };
        let problem = TargetProblem {
            capacity: (0..4).map(|c| (c, cpus(16.0))).collect(),
            teams: BTreeMap::from([("team", demand)]),
        };
        let division = plan_targets(&problem, &SolverLimits::default());
        let targets = &division.targets["team"];
        (0..4).map(|c| targets[&c].cpus).collect::<Vec<_>>()
    };
    assert_near(
        &targets(vec![waiting(1, 1, false), waiting(2, 1, false)]),
        &[0.0, 4.0, 4.0, 2.0],
    );
    // The third task waits, and is not assigned the rest of the limit, which is too small.
    let three = vec![
        waiting(1, 1, false),
        waiting(2, 1, false),
        waiting(3, 1, false),
    ];
    let found = targets(three);
    assert!(
        found[1] >= 4.0 && found[2] >= 4.0 && found[3] < 4.0,
        "{found:?}"
    );
    // A gang is not assigned quota for only some of its tasks, and tasks after it are served.
    let found = targets(vec![waiting(1, 3, true), waiting(2, 2, true)]);
    assert!(found[1] < 4.0 && found[2] >= 8.0, "{found:?}");
}

fn one_controller(capacity: f64, demand: &[f64], limits: &[(f64, f64)]) -> ShareProblem {
    ShareProblem {
        teams: limits
            .iter()
            .map(|(guaranteed, limit)| TeamLimits {
                guaranteed: *guaranteed,
                limit: *limit,
            })
            .collect(),
        capacity: vec![capacity],
        demand: demand.iter().map(|n| vec![*n]).collect(),
    }
}

fn totals(problem: &ShareProblem, limits: &SolverLimits) -> Vec<f64> {
    let shares = divide_capacity(problem, limits);
    shares.served.iter().map(|row| row.iter().sum()).collect()
}

fn assert_near(found: &[f64], expected: &[f64]) {
    let is_near = found
        .iter()
        .zip(expected)
        .all(|(found, expected)| (found - expected).abs() < 0.5);
    assert!(is_near, "{found:?} instead of {expected:?}");
}

/// Calculated by hand: the guarantees take 30, and equal weights share the other 30 evenly.
#[test]
fn above_guarantees_capacity_is_shared_by_weight() {
    let problem = one_controller(60.0, &[100.0, 100.0], &[(20.0, 60.0), (10.0, 50.0)]);
    assert_near(&totals(&problem, &ample_limits()), &[35.0, 25.0]);
    assert_near(&totals(&problem, &zero_limits()), &[35.0, 25.0]);
}

/// A team with little demand leaves the rest to the others; one with a hundred times the
/// demand of another gets no more than that one.
#[test]
fn excessive_demand_takes_nothing_from_others() {
    let limits = [(0.0, 50.0), (0.0, 50.0), (0.0, 50.0)];
    let problem = one_controller(60.0, &[5.0, 4_000.0, 40.0], &limits);
    assert_near(&totals(&problem, &ample_limits()), &[5.0, 27.5, 27.5]);
    assert_near(&totals(&problem, &zero_limits()), &[5.0, 27.5, 27.5]);
}

#[test]
fn scarce_capacity_meets_the_same_fraction_of_each_guarantee() {
    let problem = one_controller(15.0, &[20.0, 40.0], &[(10.0, 20.0), (20.0, 40.0)]);
    assert_near(&totals(&problem, &ample_limits()), &[5.0, 10.0]);
}

/// A peer's malformed status may contain demands that are negative or not finite. They must
/// neither crash the process nor take capacity from other teams.
#[test]
fn invalid_amounts_count_as_zero() {
    let limits = [(0.0, 50.0), (0.0, 50.0)];
    for demand in [f64::NAN, f64::INFINITY, -3.0] {
        let problem = one_controller(60.0, &[demand, 40.0], &limits);
        assert_near(&totals(&problem, &ample_limits()), &[0.0, 40.0]);
    }
    let problem = one_controller(f64::NAN, &[10.0, 40.0], &limits);
    assert_near(&totals(&problem, &ample_limits()), &[0.0, 0.0]);
}

/// A hundred teams at nine controllers are too many to solve within a pass of the leader: the
/// fallback rule is used, and the result names the reason.
#[test]
fn a_large_problem_uses_the_fallback_rule() {
    let problem = ShareProblem {
        teams: vec![
            TeamLimits {
                guaranteed: 5.0,
                limit: 40.0
            };
            100
        ],
        capacity: vec![200.0; 9],
        demand: vec![vec![6.0; 9]; 100],
    };
    let shares = divide_capacity(&problem, &SolverLimits::default());
    assert_eq!(shares.method, Method::Fallback(NotSolved::TooLarge(900)));
    let totals = shares.served.iter().map(|row| row.iter().sum::<f64>());
    assert!(totals.fold(f64::MAX, f64::min) > 17.0);
}
