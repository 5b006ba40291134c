//! One round of the miss-rate band (paper, section 5.3): above it machines are provisioned,
//! below it some are chosen to drain.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    FleetState,
    autoscaler::MachineNeed,
    drain_selection::DrainRound,
    market::{Market, UsedMachine},
};
use crate::{
    coordination::{
        Tuning,
        leader::{
            Leader,
            miss_rate::{MissRate, MissRateWindow, OverdueTasks},
            pool::{Pool, SuitedTasks, WantedMachines},
            routing::Unplaced,
        },
        policy::band,
    },
    storage::StateCache,
};

/// The waiting tasks, by the pools that suit them.
#[derive(Default)]
struct WaitingTasks {
    by_pool: BTreeMap<Pool, f64>,
    overdue: Vec<OverdueTasks>,
    total: u32,
}

impl WaitingTasks {
    fn new(market: &Market<'_>, unplaced: &[Unplaced]) -> Self {
        let mut waiting = Self::default();
        for item in unplaced {
            if market.cache.jobs.contains_key(&item.job) {
                waiting.add(market, item);
            }
        }
        waiting
    }

    fn add(&mut self, market: &Market<'_>, item: &Unplaced) {
        self.total += item.tasks;
        let mut unsuited = item.tasks;
        for SuitedTasks { pool, tasks } in market.suited_waiting(item) {
            unsuited -= tasks;
            *self.by_pool.entry(pool.clone()).or_default() += f64::from(tasks);
            if item.overdue {
                self.overdue.push(OverdueTasks {
                    pool: Some(pool),
                    tasks,
                });
            }
        }
        if item.overdue && unsuited > 0 {
            self.overdue.push(OverdueTasks {
                pool: None,
                tasks: unsuited,
            });
        }
    }
}

impl Leader {
    /// Evaluates the band. Returns what is to be provisioned; if that is nothing, machines
    /// may be chosen to drain.
    pub(super) fn evaluate_band(
        &self,
        market: &Market<'_>,
        fleet: &mut FleetState,
        miss_rate: &MissRateWindow,
        need: &MachineNeed<'_>,
        machines: Vec<UsedMachine>,
    ) -> Vec<WantedMachines> {
        let tuning = &self.context.config.tuning;
        let waiting = WaitingTasks::new(market, need.unplaced);
        let misses = miss_rate.current_rate(&waiting.overdue);
        let pools = pools_in_demand(&waiting, &misses);
        let loads: Vec<band::TypeLoad> = pools
            .iter()
            .map(|pool| type_load(market.cache, pool, &waiting, &misses, need, &machines))
            .collect();
        let arrivals = miss_rate.arrival_rate(tuning.window);
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
                cache: market.cache,
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

/// Pools that suit waiting tasks, or tasks that missed their target.
fn pools_in_demand(waiting: &WaitingTasks, misses: &MissRate) -> Vec<Pool> {
    let mut pools: BTreeSet<Pool> = waiting.by_pool.keys().cloned().collect();
    pools.extend(misses.shares.keys().cloned());
    pools.into_iter().collect()
}

/// What a pool looks like in this round.
fn type_load(
    cache: &StateCache,
    pool: &Pool,
    waiting: &WaitingTasks,
    misses: &MissRate,
    need: &MachineNeed<'_>,
    machines: &[UsedMachine],
) -> band::TypeLoad {
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
    band::TypeLoad {
        miss_share: misses.shares.get(pool).copied().unwrap_or(0.0),
        queue_share: queued / f64::from(waiting.total.max(1)),
        least_utilisation,
        need: need
            .by_pool
            .get(pool)
            .map_or(0, |machines| machines.ceil() as u32),
    }
}

/// The mean over all machines, weighted by their power.
fn mean_utilisation(machines: &[UsedMachine]) -> f64 {
    let machines = || machines.iter().map(|machine| &machine.utilisation);
    let used: f64 = machines().map(|used| used.utilisation * used.power).sum();
    let power: f64 = machines().map(|used| used.power).sum();
    used / power.max(1.0)
}
