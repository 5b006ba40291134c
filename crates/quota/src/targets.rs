//! Targets: what each controller's allocation of each team's limit should be.

use std::collections::BTreeMap;

use crate::{
    AMOUNT_SLACK, Quota,
    linear::LinearLimits,
    shares::{Method, ShareProblem, TeamTerms, divide},
};

/// Tasks that some controllers have room for and that wait for quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskDemand<C> {
    /// How many tasks each controller has room for.
    pub parts: Vec<(C, u32)>,
    /// What one of them takes.
    pub per_task: Quota,
    /// They begin together or not at all, so that a part of the quota is of no use.
    pub is_whole: bool,
}

/// What a team may use, uses and holds now.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamDemand<C: Ord> {
    /// Guaranteed to the team.
    pub guaranteed: Quota,
    /// Its limit, less what tasks on machines of no controller use.
    pub limit: Quota,
    /// What it uses at each controller, or is about to.
    pub fixed: BTreeMap<C, Quota>,
    /// Each controller's allocation.
    pub allocated: BTreeMap<C, Quota>,
    /// What waits, the most pressing first.
    pub wanted: Vec<TaskDemand<C>>,
}

/// All that targets depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetProblem<C: Ord, T: Ord> {
    /// What each controller's machines have for these teams, running tasks included.
    pub room: BTreeMap<C, Quota>,
    /// The teams of which some controller lacks quota.
    pub teams: BTreeMap<T, TeamDemand<C>>,
}

/// The targets, and how they were found.
#[derive(Clone, Debug, PartialEq)]
pub struct Division<C: Ord, T: Ord> {
    /// By team and controller.
    pub targets: BTreeMap<T, BTreeMap<C, Quota>>,
    /// How the shares of CPUs and of GPUs were found.
    pub methods: [Method; 2],
}

/// Divides each team's limit by guarantee, demand and room. Quota is given in whole tasks,
/// the most pressing ones first: an even division of what is left of a limit would leave
/// every controller with less than one task takes. Of what nobody waits for, controllers
/// keep what they have.
pub fn plan_targets<C: Clone + Ord, T: Clone + Ord>(
    problem: &TargetProblem<C, T>,
    limits: &LinearLimits,
) -> Division<C, T> {
    let (cpus, by_cpus) = shares_of(problem, limits, |quota| quota.cpus);
    let (gpus, by_gpus) = shares_of(problem, limits, |quota| quota.gpus);
    let shares = cpus.into_iter().zip(gpus);
    let targets = problem
        .teams
        .iter()
        .zip(shares)
        .map(|((team, demand), (cpus, gpus))| {
            let shares = problem.room.keys().zip(cpus.into_iter().zip(gpus));
            let shares = shares.map(|(c, (cpus, gpus))| (c.clone(), Quota { cpus, gpus }));
            let assignment = Assignment::new(demand, shares.collect());
            (team.clone(), assignment.targets())
        })
        .collect();
    Division {
        targets,
        methods: [by_cpus, by_gpus],
    }
}

/// Fluid shares of one kind of amount, by team and controller.
fn shares_of<C: Clone + Ord, T: Ord>(
    problem: &TargetProblem<C, T>,
    limits: &LinearLimits,
    kind: impl Fn(&Quota) -> f64,
) -> (Vec<Vec<f64>>, Method) {
    let teams = problem.teams.values();
    let demand = |team: &TeamDemand<C>| -> Vec<f64> {
        let controllers = problem.room.keys();
        controllers.map(|c| kind(&team.demand_at(c))).collect()
    };
    let shares = divide(
        &ShareProblem {
            teams: teams
                .clone()
                .map(|team| TeamTerms {
                    guaranteed: kind(&team.guaranteed),
                    limit: kind(&team.limit),
                })
                .collect(),
            room: problem.room.values().map(&kind).collect(),
            demand: teams.map(demand).collect(),
        },
        limits,
    );
    (shares.served, shares.method)
}

impl<C: Clone + Ord> TeamDemand<C> {
    fn fixed_at(&self, controller: &C) -> Quota {
        self.fixed.get(controller).copied().unwrap_or_default()
    }

    /// What the team uses and could use at a controller.
    fn demand_at(&self, controller: &C) -> Quota {
        self.wanted
            .iter()
            .flat_map(|wanted| wanted.parts.iter().map(move |part| (wanted, part)))
            .filter(|(_, (at, _))| at == controller)
            .map(|(wanted, (_, tasks))| wanted.per_task.times(f64::from(*tasks)))
            .fold(self.fixed_at(controller), |sum, quota| sum.plus(&quota))
    }
}

/// How one team's limit is assigned.
struct Assignment<'a, C: Ord> {
    demand: &'a TeamDemand<C>,
    /// What each controller is to get, if whole tasks allow it.
    shares: BTreeMap<C, Quota>,
    /// What each controller gets.
    targets: BTreeMap<C, Quota>,
    /// Tasks of each wanted part that are yet without quota.
    waiting: Vec<Vec<u32>>,
    /// Of the limit.
    left: Quota,
}

impl<'a, C: Clone + Ord> Assignment<'a, C> {
    fn new(demand: &'a TeamDemand<C>, shares: BTreeMap<C, Quota>) -> Self {
        let targets: BTreeMap<C, Quota> = shares
            .keys()
            .map(|controller| (controller.clone(), demand.fixed_at(controller)))
            .collect();
        let fixed = targets
            .values()
            .fold(Quota::default(), |sum, quota| sum.plus(quota));
        let waiting = demand
            .wanted
            .iter()
            .map(|wanted| wanted.parts.iter().map(|(_, tasks)| *tasks).collect())
            .collect();
        Self {
            demand,
            shares,
            targets,
            waiting,
            left: demand.limit.minus(&fixed).at_least_zero(),
        }
    }

    fn targets(mut self) -> BTreeMap<C, Quota> {
        self.assign(true);
        // What fairness between teams leaves of this team's own limit is still its own.
        self.assign(false);
        self.keep_the_rest();
        self.targets
    }

    /// Gives quota to what waits, in order; within the shares or without regard to them.
    fn assign(&mut self, by_shares: bool) {
        let demand = self.demand;
        for (at, wanted) in demand.wanted.iter().enumerate() {
            if wanted.is_whole {
                self.assign_whole(at, wanted);
                continue;
            }
            for (part, (controller, _)) in wanted.parts.iter().enumerate() {
                let mut fitting =
                    self.waiting[at][part].min(tasks_in(&self.left, &wanted.per_task));
                if by_shares {
                    fitting = fitting.min(self.tasks_in_share(controller, &wanted.per_task));
                }
                self.give(controller, &wanted.per_task, fitting);
                self.waiting[at][part] -= fitting;
            }
        }
    }

    fn assign_whole(&mut self, at: usize, wanted: &TaskDemand<C>) {
        let tasks: u32 = self.waiting[at].iter().sum();
        if tasks == 0 || tasks_in(&self.left, &wanted.per_task) < tasks {
            return;
        }
        for (part, (controller, _)) in wanted.parts.iter().enumerate() {
            let tasks = std::mem::take(&mut self.waiting[at][part]);
            self.give(controller, &wanted.per_task, tasks);
        }
    }

    /// How many more tasks a controller's share has place for; a part of one counts whole.
    fn tasks_in_share(&self, controller: &C, per_task: &Quota) -> u32 {
        let share = self.shares.get(controller).copied().unwrap_or_default();
        let target = self.targets.get(controller).copied().unwrap_or_default();
        let free = share.minus(&target).at_least_zero();
        let almost_one = per_task.times(1.0 - PART_OF_A_TASK);
        tasks_in(&free.plus(&almost_one), per_task)
    }

    fn give(&mut self, controller: &C, per_task: &Quota, tasks: u32) {
        let quota = per_task.times(f64::from(tasks));
        if let Some(target) = self.targets.get_mut(controller) {
            *target = target.plus(&quota);
            self.left = self.left.minus(&quota).at_least_zero();
        }
    }

    /// What nobody waits for stays where it is, as far as it lasts.
    fn keep_the_rest(&mut self) {
        let left = self.left;
        self.keep_kind(left.cpus, |quota| &mut quota.cpus);
        self.keep_kind(left.gpus, |quota| &mut quota.gpus);
    }

    /// What is taken comes from those who have most beyond their targets: from each in
    /// proportion, every want would need transfers by all, ever smaller ones as targets are
    /// planned anew between them.
    fn keep_kind(&mut self, left: f64, kind: impl Fn(&mut Quota) -> &mut f64) {
        let mut beyond: Vec<(f64, C)> = Vec::new();
        for (controller, target) in &mut self.targets {
            let mut allocated = self
                .demand
                .allocated
                .get(controller)
                .copied()
                .unwrap_or_default();
            let more = *kind(&mut allocated) - *kind(target);
            beyond.push((more.max(0.0), controller.clone()));
        }
        let sum: f64 = beyond.iter().map(|(more, _)| more).sum();
        let mut taken = (sum - left).max(0.0);
        beyond.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (more, controller) in beyond {
            let part = more.min(taken);
            taken -= part;
            if let Some(target) = self.targets.get_mut(&controller) {
                *kind(target) += more - part;
            }
        }
    }
}

/// A share's rest of less than this part of a task gives no task.
const PART_OF_A_TASK: f64 = 1e-3;

/// How many tasks fit into an amount side by side.
fn tasks_in(amount: &Quota, per_task: &Quota) -> u32 {
    let part = |have: f64, each: f64| {
        if each <= AMOUNT_SLACK {
            return u32::MAX;
        }
        ((have + AMOUNT_SLACK) / each).floor().max(0.0) as u32
    };
    part(amount.cpus, per_task.cpus).min(part(amount.gpus, per_task.gpus))
}
