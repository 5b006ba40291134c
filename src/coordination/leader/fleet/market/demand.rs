//! How many machines the waiting tasks need.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::Market;
use crate::{
    coordination::{
        leader::{
            pool::{Pool, Suited},
            routing::Unplaced,
        },
        policy::{placement, zone_constraint::ZoneConstraint},
        zone_usage,
    },
    storage::{JobKind, JobSpec, Priority},
};

/// A dear machine of which the waiting tasks fill less than this is not provisioned,
/// unless they are overdue or cannot wait. Dear is one that costs more than
/// [`DEAR_PRICE_FACTOR`] times the cheapest machine on which they could run.
const MIN_FILL: f64 = 0.6;
const DEAR_PRICE_FACTOR: f64 = 1.6;

/// However short a task, it takes a part of its machine's paid time: start, heartbeat and
/// the record of its end.
const MIN_PAID_FRACTION: f64 = 0.05;

/// Idle work of which nothing runs after this time gets ordinary machines as well, since
/// there may never be a spot machine.
const SPOT_ONLY_PERIOD: Duration = Duration::from_secs(120);

/// What a job with waiting tasks needs of the market.
#[derive(Debug)]
pub struct Demand {
    /// The job, without its assigned zone if it may move to another.
    pub(super) spec: Arc<JobSpec>,
    /// Where more of its tasks may be.
    pub(super) constraint: ZoneConstraint,
    /// No ordinary machines: idle work is provisioned the cheap ones that it may use.
    pub(super) spot_only: bool,
}

impl Demand {
    /// A job of which nothing runs yet, wherever it may run.
    pub fn of_spec(spec: &Arc<JobSpec>) -> Self {
        Self {
            spec: spec.clone(),
            constraint: ZoneConstraint::of_job(spec),
            spot_only: false,
        }
    }
}

impl Market<'_> {
    /// What a job with waiting tasks needs.
    fn demand(&self, waiting: &Unplaced) -> Option<Demand> {
        let job = self.cache.jobs.get(&waiting.job)?;
        let spec = job.spec()?;
        let constraint = zone_usage::of_job(self.cache, job);
        let is_served = job.present() > 0 || spec.age(self.wall) < SPOT_ONLY_PERIOD;
        let spot_only = spec.is_idle_work() && spec.spot && is_served;
        if spec.assigned_zone.is_none() || job.present() > 0 {
            return Some(Demand {
                spec: spec.clone(),
                constraint,
                spot_only,
            });
        }
        // Nothing of it is there yet: it moves to where machines are to be had, since
        // those of its zone may never be enough.
        let anywhere = JobSpec {
            assigned_zone: None,
            ..(**spec).clone()
        };
        Some(Demand {
            constraint: ZoneConstraint::of_job(&anywhere),
            spec: Arc::new(anywhere),
            spot_only,
        })
    }

    /// The pools for those of a job's waiting tasks that the available places take.
    pub fn suited_waiting(&self, waiting: &Unplaced) -> Vec<Suited> {
        let Some(demand) = self.demand(waiting) else {
            return Vec::new();
        };
        self.suited(demand, waiting.tasks, true)
    }

    /// Machines of each pool that the tasks would fill beyond those booting.
    pub fn need(
        &self,
        unplaced: &[Unplaced],
        booting: &mut [placement::CandidateMachine],
    ) -> BTreeMap<Pool, f64> {
        let mut need: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut pressing: BTreeSet<Pool> = BTreeSet::new();
        for waiting in unplaced {
            let Some(mut demand) = self.demand(waiting) else {
                continue;
            };
            let spec = &*demand.spec.clone();
            let left = fill_booting(spec, waiting.tasks, booting, &mut demand.constraint);
            if left == 0 {
                continue;
            }
            for Suited { pool, tasks } in self.suited(demand, left, true) {
                let Some(kind) = self.cache.machine_type(&pool.kind) else {
                    continue;
                };
                let tasks_per_machine = spec.per_task.count_in(&kind.size).max(1);
                if self.is_pressing(waiting, spec, kind.hourly_price(pool.spot)) {
                    pressing.insert(pool.clone());
                }
                let machines = f64::from(tasks) / f64::from(tasks_per_machine);
                *need.entry(pool).or_default() += machines * self.paid_fraction(spec);
            }
        }
        need.retain(|pool, machines| *machines >= MIN_FILL || pressing.contains(pool));
        need
    }

    /// The part of a machine's least paid period for which a task of the job takes its
    /// room. Work of the lowest priority is in no hurry: its short tasks follow one
    /// another on few machines. Provisioned for as if all were to run at once, an array of
    /// thousands of tasks of a few seconds brings a fleet that is idle right after
    /// (exception to section 5.4, see docs/DESIGN.md).
    fn paid_fraction(&self, spec: &JobSpec) -> f64 {
        if !spec.is_idle_work() {
            return 1.0;
        }
        let paid_seconds = self.first_paid_period.as_secs_f64().max(1.0);
        let fraction = spec.estimate.as_secs_f64() / paid_seconds;
        fraction.clamp(MIN_PAID_FRACTION, 1.0)
    }

    /// Whether tasks get a machine that they do not fill. `rate` is its price.
    fn is_pressing(&self, waiting: &Unplaced, spec: &JobSpec, rate: f64) -> bool {
        rate <= self.least_rate(spec) * DEAR_PRICE_FACTOR
            || waiting.overdue
            || spec.kind == JobKind::Service
            || spec.priority == Priority::Production
    }

    /// The price of the cheapest machine that the job may run on, to be had or not.
    fn least_rate(&self, spec: &JobSpec) -> f64 {
        self.machine_types()
            .filter(|kind| spec.allows_type(&kind.name) && spec.per_task.fits_in(&kind.size))
            .map(|kind| {
                if spec.spot {
                    kind.price.min(kind.spot_price)
                } else {
                    kind.price
                }
            })
            .fold(f64::INFINITY, f64::min)
    }
}

/// Puts waiting tasks on booting machines; returns how many have found no room.
fn fill_booting(
    spec: &JobSpec,
    tasks: u32,
    booting: &mut [placement::CandidateMachine],
    constraint: &mut ZoneConstraint,
) -> u32 {
    let mut left = tasks;
    for candidate in booting {
        if left == 0 {
            break;
        }
        if !placement::allowed(spec, candidate) {
            continue;
        }
        let fitting = spec.per_task.count_in(&candidate.room).min(left);
        let fitting = fitting.min(constraint.room(&candidate.zone));
        if fitting > 0 {
            candidate.room -= spec.per_task.times(f64::from(fitting));
            constraint.add_tasks(&candidate.zone, fitting);
            left -= fitting;
        }
    }
    left
}
