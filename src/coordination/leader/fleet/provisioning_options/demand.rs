//! Calculates how many machines of each pool the waiting tasks need.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::ProvisioningOptions;
use crate::{
    coordination::{
        leader::{
            pool::{Pool, SuitedTasks},
            routing::UnplacedTasks,
        },
        policy::{placement, zone_constraint::ZoneConstraint},
        zone_usage,
    },
    storage::{JobKind, JobSpec, Priority},
};

/// An expensive machine of which the waiting tasks fill less than this fraction is not provisioned,
/// unless the tasks are overdue or urgent. A machine is expensive if it costs more than
/// [`EXPENSIVE_PRICE_FACTOR`] times as much as the cheapest machine on which they could run.
const MIN_FILL_FRACTION: f64 = 0.6;
/// Price at which a machine is expensive, relative to the cheapest suitable one; see
/// [`MIN_FILL_FRACTION`].
const EXPENSIVE_PRICE_FACTOR: f64 = 1.6;

/// Lower bound on [`ProvisioningOptions::paid_fraction`]: even the shortest task occupies its
/// machine while it starts, is reported by a heartbeat and has its end recorded.
const MIN_PAID_FRACTION: f64 = 0.05;

/// A best-effort array job of which no task runs after this time may use on-demand machines as
/// well, since spot machines may never become available.
const SPOT_ONLY_PERIOD: Duration = Duration::from_secs(120);

/// The constraints on machines that are provisioned for a job with waiting tasks.
#[derive(Debug)]
pub struct JobDemand {
    /// The job's specification, without its assigned zone if the job may move to another zone.
    pub(super) spec: Arc<JobSpec>,
    /// The zones in which more of its tasks may be placed.
    pub(super) constraint: ZoneConstraint,
    /// Whether only spot machines may be provisioned, as for best-effort array jobs that may use
    /// spot machines.
    pub(super) spot_only: bool,
}

impl JobDemand {
    /// Returns the demand of a job of which no task is placed, on any machine that it may use.
    pub fn of_spec(spec: &Arc<JobSpec>) -> Self {
        Self {
            spec: spec.clone(),
            constraint: ZoneConstraint::of_job(spec),
            spot_only: false,
        }
    }
}

impl ProvisioningOptions<'_> {
    /// Returns the demand of a job with waiting tasks; `None` if the job is not known.
    fn demand(&self, waiting: &UnplacedTasks) -> Option<JobDemand> {
        let job = self.cache.jobs.get(&waiting.job)?;
        let spec = job.spec()?;
        let constraint = zone_usage::job_constraint(self.cache, job);
        let may_wait_for_spot =
            job.present_tasks() > 0 || spec.age(self.wall_time) < SPOT_ONLY_PERIOD;
        let spot_only = spec.is_best_effort_array() && spec.spot && may_wait_for_spot;
        if spec.assigned_zone.is_none() || job.present_tasks() > 0 {
            return Some(JobDemand {
                spec: spec.clone(),
                constraint,
                spot_only,
            });
        }
        // No task of the job is placed yet, so the job may still move to a zone where machines are
        // available. Its assigned zone may never have enough of them.
        let spec_for_any_zone = JobSpec {
            assigned_zone: None,
            ..(**spec).clone()
        };
        Some(JobDemand {
            constraint: ZoneConstraint::of_job(&spec_for_any_zone),
            spec: Arc::new(spec_for_any_zone),
            spot_only,
        })
    }

    /// Returns the pools that best suit a job's waiting tasks, among the targets that the cloud
    /// has not recently refused. Tasks that no available target can run are left out.
    pub fn suitable_pools_for_waiting(&self, waiting: &UnplacedTasks) -> Vec<SuitedTasks> {
        let Some(demand) = self.demand(waiting) else {
            return Vec::new();
        };
        self.suitable_pools(demand, waiting.tasks, true)
    }

    /// Returns how many machines of each pool the tasks would fill in addition to the booting
    /// ones. Places the tasks that fit on the booting machines there.
    pub fn machines_needed(
        &self,
        unplaced: &[UnplacedTasks],
        booting: &mut [placement::CandidateMachine],
    ) -> BTreeMap<Pool, f64> {
        let mut needed: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut may_be_underfilled: BTreeSet<Pool> = BTreeSet::new();
        for waiting in unplaced {
            let Some(mut demand) = self.demand(waiting) else {
                continue;
            };
            let spec = &*demand.spec.clone();
            let remaining = fill_booting(spec, waiting.tasks, booting, &mut demand.constraint);
            if remaining == 0 {
                continue;
            }
            for SuitedTasks { pool, tasks } in self.suitable_pools(demand, remaining, true) {
                let Some(machine_type) = self.cache.machine_type(&pool.machine_type) else {
                    continue;
                };
                let tasks_per_machine = spec.per_task.count_in(&machine_type.size).max(1);
                if self.may_underfill_machine(waiting, spec, machine_type.hourly_price(pool.spot)) {
                    may_be_underfilled.insert(pool.clone());
                }
                let machines = f64::from(tasks) / f64::from(tasks_per_machine);
                *needed.entry(pool).or_default() += machines * self.paid_fraction(spec);
            }
        }
        needed.retain(|pool, machines| {
            *machines >= MIN_FILL_FRACTION || may_be_underfilled.contains(pool)
        });
        needed
    }

    /// Returns the fraction of a machine's minimum paid period for which a task of the job
    /// occupies its share of the machine; 1 unless the job is a best-effort array. The short tasks
    /// of such a job can run one after another on few machines. If machines were provisioned to run
    /// all of them at once, an array of thousands of tasks of a few seconds would bring up a fleet
    /// that is idle right afterwards (exception to section 5.4, see docs/DESIGN.md).
    fn paid_fraction(&self, spec: &JobSpec) -> f64 {
        if !spec.is_best_effort_array() {
            return 1.0;
        }
        let paid_seconds = self.first_paid_period.as_secs_f64().max(1.0);
        let fraction = spec.estimate.as_secs_f64() / paid_seconds;
        fraction.clamp(MIN_PAID_FRACTION, 1.0)
    }

    /// Returns whether a machine with the price `rate` may be provisioned for the tasks even if
    /// they do not fill it: the machine is not expensive, or the tasks are overdue, belong to a
    /// service or have production priority.
    fn may_underfill_machine(&self, waiting: &UnplacedTasks, spec: &JobSpec, rate: f64) -> bool {
        rate <= self.lowest_rate(spec) * EXPENSIVE_PRICE_FACTOR
            || waiting.overdue
            || spec.kind == JobKind::Service
            || spec.priority == Priority::Production
    }

    /// Returns the price of the cheapest machine that the job may run on, whether or not it is
    /// available.
    fn lowest_rate(&self, spec: &JobSpec) -> f64 {
        self.machine_types()
            .filter(|machine_type| {
                spec.allows_type(&machine_type.name) && spec.per_task.fits_in(&machine_type.size)
            })
            .map(|machine_type| {
                if spec.spot {
                    machine_type.price.min(machine_type.spot_price)
                } else {
                    machine_type.price
                }
            })
            .fold(f64::INFINITY, f64::min)
    }
}

/// Places waiting tasks on booting machines. Returns the number of tasks that do not fit.
fn fill_booting(
    spec: &JobSpec,
    tasks: u32,
    booting: &mut [placement::CandidateMachine],
    constraint: &mut ZoneConstraint,
) -> u32 {
    let mut remaining = tasks;
    for candidate in booting {
        if remaining == 0 {
            break;
        }
        if !placement::is_eligible(spec, candidate) {
            continue;
        }
        let fitting = spec.per_task.count_in(&candidate.free).min(remaining);
        let fitting = fitting.min(constraint.remaining_tasks(&candidate.zone));
        if fitting > 0 {
            candidate.free -= spec.per_task.times(f64::from(fitting));
            constraint.add_tasks(&candidate.zone, fitting);
            remaining -= fitting;
        }
    }
    remaining
}
