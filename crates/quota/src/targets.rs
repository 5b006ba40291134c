//! Computes targets: how large each controller's allocation of each team's limit should be.

use std::collections::BTreeMap;

use crate::{
    AMOUNT_SLACK, Quota,
    linear::SolverLimits,
    shares::{Method, ShareProblem, TeamLimits, divide_capacity},
};

/// Tasks of one job that controllers have free capacity for. Some of them wait for quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskDemand<C> {
    /// The number of tasks that each controller has free capacity for.
    pub tasks_by_controller: Vec<(C, u32)>,
    /// Amount that each task uses.
    pub per_task: Quota,
    /// Whether the tasks form a gang: they start together or not at all, so that quota for
    /// only some of them is useless.
    pub is_gang: bool,
}

/// A team's guarantee and limit, its use and allocations, and its tasks that wait for quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamDemand<C: Ord> {
    /// Amount guaranteed to the team.
    pub guaranteed: Quota,
    /// The team's limit, less what its tasks use on machines that no controller owns.
    pub limit: Quota,
    /// What the team uses at each controller, including placements in flight. Targets are
    /// never lower.
    pub used_or_in_flight: BTreeMap<C, Quota>,
    /// Each controller's current allocation of the team's limit.
    pub allocated: BTreeMap<C, Quota>,
    /// Tasks that wait for quota, the most urgent first.
    pub waiting_tasks: Vec<TaskDemand<C>>,
}

/// The input of [`plan_targets`].
#[derive(Clone, Debug, PartialEq)]
pub struct TargetProblem<C: Ord, T: Ord> {
    /// What the machines of each controller can provide to these teams, including what their
    /// running tasks use.
    pub capacity: BTreeMap<C, Quota>,
    /// The teams whose quota some controller lacks.
    pub teams: BTreeMap<T, TeamDemand<C>>,
}

/// The planned targets, and the methods by which their shares were computed.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetPlan<C: Ord, T: Ord> {
    /// Targets by team and controller.
    pub targets: BTreeMap<T, BTreeMap<C, Quota>>,
    /// The methods for the shares of CPUs and of GPUs, in this order.
    pub methods: [Method; 2],
}

/// Divides each team's limit among controllers by guarantee, demand and capacity. Quota is
/// assigned for whole tasks, the most urgent ones first: dividing the remaining limit evenly
/// could leave every controller with less than one task needs. Quota that no task waits for
/// stays with the controllers that have it.
pub fn plan_targets<C: Clone + Ord, T: Clone + Ord>(
    problem: &TargetProblem<C, T>,
    limits: &SolverLimits,
) -> TargetPlan<C, T> {
    let (cpus, cpus_method) = resource_shares(problem, limits, |quota| quota.cpus);
    let (gpus, gpus_method) = resource_shares(problem, limits, |quota| quota.gpus);
    let shares = cpus.into_iter().zip(gpus);
    let targets = problem
        .teams
        .iter()
        .zip(shares)
        .map(|((team, demand), (cpus, gpus))| {
            let shares = problem.capacity.keys().zip(cpus.into_iter().zip(gpus));
            let shares = shares.map(|(c, (cpus, gpus))| (c.clone(), Quota { cpus, gpus }));
            let assignment = Assignment::new(demand, shares.collect());
            (team.clone(), assignment.targets())
        })
        .collect();
    TargetPlan {
        targets,
        methods: [cpus_method, gpus_method],
    }
}

/// Computes the shares of one resource by team and controller, not rounded to whole tasks.
fn resource_shares<C: Clone + Ord, T: Ord>(
    problem: &TargetProblem<C, T>,
    limits: &SolverLimits,
    resource: impl Fn(&Quota) -> f64,
) -> (Vec<Vec<f64>>, Method) {
    let teams = problem.teams.values();
    let demand = |team: &TeamDemand<C>| -> Vec<f64> {
        let controllers = problem.capacity.keys();
        controllers.map(|c| resource(&team.demand_at(c))).collect()
    };
    let shares = divide_capacity(
        &ShareProblem {
            teams: teams
                .clone()
                .map(|team| TeamLimits {
                    guaranteed: resource(&team.guaranteed),
                    limit: resource(&team.limit),
                })
                .collect(),
            capacity: problem.capacity.values().map(&resource).collect(),
            demand: teams.map(demand).collect(),
        },
        limits,
    );
    (shares.served, shares.method)
}

impl<C: Clone + Ord> TeamDemand<C> {
    fn used_or_in_flight_at(&self, controller: &C) -> Quota {
        self.used_or_in_flight
            .get(controller)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the team's demand at a controller: what it uses there, and what its waiting tasks
    /// could use.
    fn demand_at(&self, controller: &C) -> Quota {
        self.waiting_tasks
            .iter()
            .flat_map(|demand| {
                demand
                    .tasks_by_controller
                    .iter()
                    .map(move |entry| (demand, entry))
            })
            .filter(|(_, (other, _))| other == controller)
            .map(|(demand, (_, tasks))| demand.per_task.times(f64::from(*tasks)))
            .fold(self.used_or_in_flight_at(controller), |sum, quota| {
                sum.plus(&quota)
            })
    }
}

/// Assignment of one team's limit to controllers, in progress.
struct Assignment<'a, C: Ord> {
    demand: &'a TeamDemand<C>,
    /// The computed share of each controller, not rounded to whole tasks.
    shares: BTreeMap<C, Quota>,
    /// The amount assigned to each controller so far.
    targets: BTreeMap<C, Quota>,
    /// Tasks without assigned quota, by index into `TeamDemand::waiting_tasks` and
    /// `TaskDemand::tasks_by_controller`.
    unassigned: Vec<Vec<u32>>,
    /// The part of the limit that is not assigned.
    unassigned_limit: Quota,
}

impl<'a, C: Clone + Ord> Assignment<'a, C> {
    fn new(demand: &'a TeamDemand<C>, shares: BTreeMap<C, Quota>) -> Self {
        let targets: BTreeMap<C, Quota> = shares
            .keys()
            .map(|controller| (controller.clone(), demand.used_or_in_flight_at(controller)))
            .collect();
        let used_or_in_flight = targets
            .values()
            .fold(Quota::default(), |sum, quota| sum.plus(quota));
        let unassigned = demand
            .waiting_tasks
            .iter()
            .map(|demand| {
                demand
                    .tasks_by_controller
                    .iter()
                    .map(|(_, tasks)| *tasks)
                    .collect()
            })
            .collect();
        Self {
            demand,
            shares,
            targets,
            unassigned,
            unassigned_limit: demand.limit.minus(&used_or_in_flight).at_least_zero(),
        }
    }

    fn targets(mut self) -> BTreeMap<C, Quota> {
        self.assign(true);
        // The shares may be lower than this team's limit, because of fairness between teams. The
        // rest of the limit remains usable by this team.
        self.assign(false);
        self.retain_allocated();
        self.targets
    }

    /// Assigns quota to waiting tasks, in order, either within the shares or regardless of
    /// them.
    fn assign(&mut self, within_shares: bool) {
        let demand = self.demand;
        for (index, demand) in demand.waiting_tasks.iter().enumerate() {
            if demand.is_gang {
                self.assign_gang(index, demand);
                continue;
            }
            for (entry, (controller, _)) in demand.tasks_by_controller.iter().enumerate() {
                let mut tasks = self.unassigned[index][entry]
                    .min(tasks_fitting(&self.unassigned_limit, &demand.per_task));
                if within_shares {
                    tasks = tasks.min(self.tasks_within_share(controller, &demand.per_task));
                }
                self.give(controller, &demand.per_task, tasks);
                self.unassigned[index][entry] -= tasks;
            }
        }
    }

    /// Assigns quota to all tasks of a gang, or to none if the limit does not suffice.
    fn assign_gang(&mut self, index: usize, demand: &TaskDemand<C>) {
        let tasks: u32 = self.unassigned[index].iter().sum();
        if tasks == 0 || tasks_fitting(&self.unassigned_limit, &demand.per_task) < tasks {
            return;
        }
        for (entry, (controller, _)) in demand.tasks_by_controller.iter().enumerate() {
            let tasks = std::mem::take(&mut self.unassigned[index][entry]);
            self.give(controller, &demand.per_task, tasks);
        }
    }

    /// Returns how many more tasks to assign to a controller within its share, rounded up: a
    /// remaining part of a task counts as a whole one.
    fn tasks_within_share(&self, controller: &C, per_task: &Quota) -> u32 {
        let share = self.shares.get(controller).copied().unwrap_or_default();
        let target = self.targets.get(controller).copied().unwrap_or_default();
        let free = share.minus(&target).at_least_zero();
        let almost_one = per_task.times(1.0 - ROUNDING_TOLERANCE);
        tasks_fitting(&free.plus(&almost_one), per_task)
    }

    fn give(&mut self, controller: &C, per_task: &Quota, tasks: u32) {
        let quota = per_task.times(f64::from(tasks));
        if let Some(target) = self.targets.get_mut(controller) {
            *target = target.plus(&quota);
            self.unassigned_limit = self.unassigned_limit.minus(&quota).at_least_zero();
        }
    }

    /// Leaves the unassigned part of the limit with the controllers that have it now.
    fn retain_allocated(&mut self) {
        let unassigned = self.unassigned_limit;
        self.retain_resource(unassigned.cpus, |quota| &mut quota.cpus);
        self.retain_resource(unassigned.gpus, |quota| &mut quota.gpus);
    }

    /// Raises the targets towards the current allocations, as far as `unassigned` suffices. What
    /// is missing is taken from the controllers whose allocations exceed their targets most.
    /// If it were taken from all of them in proportion, covering a deficit would need transfers
    /// from all controllers, and ever smaller ones, since targets are replanned between them.
    fn retain_resource(&mut self, unassigned: f64, resource: impl Fn(&mut Quota) -> &mut f64) {
        let mut excesses: Vec<(f64, C)> = Vec::new();
        for (controller, target) in &mut self.targets {
            let mut allocated = self
                .demand
                .allocated
                .get(controller)
                .copied()
                .unwrap_or_default();
            let excess = *resource(&mut allocated) - *resource(target);
            excesses.push((excess.max(0.0), controller.clone()));
        }
        let sum: f64 = excesses.iter().map(|(excess, _)| excess).sum();
        let mut to_take = (sum - unassigned).max(0.0);
        excesses.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (excess, controller) in excesses {
            let taken = excess.min(to_take);
            to_take -= taken;
            if let Some(target) = self.targets.get_mut(&controller) {
                *resource(target) += excess - taken;
            }
        }
    }
}

/// Fraction of a task below which the remainder of a share is rounded down instead of up.
const ROUNDING_TOLERANCE: f64 = 1e-3;

/// Returns how many tasks fit into an amount together.
fn tasks_fitting(amount: &Quota, per_task: &Quota) -> u32 {
    let count = |available: f64, each: f64| {
        if each <= AMOUNT_SLACK {
            return u32::MAX;
        }
        ((available + AMOUNT_SLACK) / each).floor().max(0.0) as u32
    };
    count(amount.cpus, per_task.cpus).min(count(amount.gpus, per_task.gpus))
}
