//! Evaluates one round of the miss-rate band (paper, section 5.3): machines are provisioned if the
//! miss rate is above the band, and some are chosen to drain if it is below.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    FleetState,
    autoscaler::MachineNeed,
    drain_selection::DrainRound,
    provisioning_options::{ProvisioningOptions, UsedMachine},
};
use crate::{
    coordination::{
        Tuning,
        leader::{
            Leader,
            miss_rate::{MissRate, MissRateWindow, OverdueTasks},
            pool::{Pool, SuitedTasks, WantedMachines},
            routing::UnplacedTasks,
        },
        policy::band,
    },
    storage::StateCache,
};

/// The waiting tasks, grouped by the pools that suit them best.
#[derive(Default)]
struct WaitingTasks {
    /// Number of waiting tasks that suit each pool.
    by_pool: BTreeMap<Pool, f64>,
    overdue: Vec<OverdueTasks>,
    /// Number of all waiting tasks, including those that suit no available pool.
    total: u32,
}

impl WaitingTasks {
    fn new(options: &ProvisioningOptions<'_>, unplaced: &[UnplacedTasks]) -> Self {
        let mut waiting = Self::default();
        for unplaced_tasks in unplaced {
            if options.cache.jobs.contains_key(&unplaced_tasks.job) {
                waiting.add(options, unplaced_tasks);
            }
        }
        waiting
    }

    fn add(&mut self, options: &ProvisioningOptions<'_>, unplaced: &UnplacedTasks) {
        self.total += unplaced.tasks;
        let mut tasks_without_pool = unplaced.tasks;
        for SuitedTasks { pool, tasks } in options.suitable_pools_for_waiting(unplaced) {
            tasks_without_pool -= tasks;
            *self.by_pool.entry(pool.clone()).or_default() += f64::from(tasks);
            if unplaced.overdue {
                self.overdue.push(OverdueTasks {
                    pool: Some(pool),
                    tasks,
                });
            }
        }
        if unplaced.overdue && tasks_without_pool > 0 {
            self.overdue.push(OverdueTasks {
                pool: None,
                tasks: tasks_without_pool,
            });
        }
    }
}

impl Leader {
    /// Evaluates the band. Returns the machines to provision. If there are none, machines may be
    /// chosen to drain.
    pub(super) fn evaluate_band(
        &self,
        options: &ProvisioningOptions<'_>,
        fleet: &mut FleetState,
        miss_rate: &MissRateWindow,
        need: &MachineNeed<'_>,
        machines: Vec<UsedMachine>,
    ) -> Vec<WantedMachines> {
        let tuning = &self.context.config.tuning;
        let waiting = WaitingTasks::new(options, need.unplaced);
        let misses = miss_rate.current_rate(&waiting.overdue);
        let pools = pools_in_demand(&waiting, &misses);
        let loads: Vec<band::PoolLoad> = pools
            .iter()
            .map(|pool| pool_load(options.cache, pool, &waiting, &misses, need, &machines))
            .collect();
        let arrivals = miss_rate.arrival_rate(tuning.miss_rate_window);
        let counts = band::scale_out(misses.rate, arrivals, &loads, &band_thresholds(tuning));
        let total: u32 = counts.iter().sum();
        tracing::info!(
            miss_rate = misses.rate,
            arrivals,
            waiting = waiting.total,
            machines = machines.len(),
            utilisation = mean_utilisation(&machines),
            draining = fleet.draining_machines.count(),
            requested = total,
            "band"
        );
        if total == 0 {
            let round = DrainRound {
                cache: options.cache,
                miss_rate: misses.rate,
                tasks_waiting: waiting.total as usize,
            };
            self.select_draining(&round, fleet, machines);
        }
        pools
            .into_iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
            .map(|(pool, count)| WantedMachines { pool, count })
            .collect()
    }
}

fn band_thresholds(tuning: &Tuning) -> band::Thresholds {
    band::Thresholds {
        beta: tuning.beta,
        miss_weight: tuning.miss_weight,
        demand: tuning.demand_threshold,
        utilisation: tuning.utilisation_threshold,
    }
}

/// Returns the pools that suit waiting tasks or tasks that recently missed their target.
fn pools_in_demand(waiting: &WaitingTasks, misses: &MissRate) -> Vec<Pool> {
    let mut pools: BTreeSet<Pool> = waiting.by_pool.keys().cloned().collect();
    pools.extend(misses.shares.keys().cloned());
    pools.into_iter().collect()
}

/// Returns the inputs of the band policy for one pool.
fn pool_load(
    cache: &StateCache,
    pool: &Pool,
    waiting: &WaitingTasks,
    misses: &MissRate,
    need: &MachineNeed<'_>,
    machines: &[UsedMachine],
) -> band::PoolLoad {
    let queued = waiting.by_pool.get(pool).copied().unwrap_or(0.0);
    let least_utilisation = machines
        .iter()
        .map(|machine| &machine.utilisation)
        .filter(|used| {
            let record = cache.machines.get(&used.id);
            record.is_some_and(|record| pool.contains(record))
        })
        .map(|used| used.utilisation)
        .min_by(f64::total_cmp);
    band::PoolLoad {
        miss_share: misses.shares.get(pool).copied().unwrap_or(0.0),
        queue_share: queued / f64::from(waiting.total.max(1)),
        least_utilisation,
        machines_needed: need
            .by_pool
            .get(pool)
            .map_or(0, |machines| machines.ceil() as u32),
    }
}

/// Returns the mean utilisation of all machines, weighted by their power.
fn mean_utilisation(machines: &[UsedMachine]) -> f64 {
    let machines = || machines.iter().map(|machine| &machine.utilisation);
    let used: f64 = machines()
        .map(|used| used.utilisation * used.computing_power)
        .sum();
    let power: f64 = machines().map(|used| used.computing_power).sum();
    used / power.max(1.0)
}
