//! The band's rounds and the remedial rule between them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::market::{Demand, Market, booting_slots, empty_slot, used_machines};
use crate::{
    coordination::{
        leader::{
            LeaderState,
            fleet::FleetState,
            pool::{Pool, Rental, Suited},
            routing::Unplaced,
        },
        node::Node,
        policy::{band, giveback, remedial},
    },
    storage::{MachineId, StateCache},
};

/// Machines rented with one request.
pub(super) const PER_REQUEST: u32 = 50;
/// Requests that one pass writes down.
const REQUESTS: usize = 24;
/// One of so many machines is marked in a round.
const MACHINES_A_MARK: usize = 16;
/// One of so many machines that stand idle is marked in a round.
const IDLE_A_MARK: usize = 3;
/// One of so many machines may stand idle for the next jobs.
const RESERVE: usize = 4;
/// Machines for which replicas' room elsewhere is looked for in one round.
const TRIED: usize = 24;

impl Node {
    /// The band's round, and the remedial rule between rounds.
    pub(super) fn judge_band(
        &self,
        cache: &StateCache,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<Rental> {
        let tuning = &self.config.tuning;
        let wall = (self.config.wall)();
        let up: BTreeSet<MachineId> = cache
            .machines
            .keys()
            .filter(|id| state.is_up(cache, id))
            .cloned()
            .collect();
        let LeaderState {
            fleet,
            stats,
            unplaced,
            tally,
            since,
            ..
        } = state;
        let refused = fleet.refused.clone();
        let market = Market::new(cache, &refused, tuning, now, wall);
        stats.starve(unplaced.iter().map(|item| &item.job), now);
        stats.observe(
            cache,
            now,
            wall,
            tuning.start_target,
            tuning.window,
            |spec| {
                let suited = market.suited(Demand::of_spec(spec), spec.tasks, false);
                suited.into_iter().next().map(|suited| suited.pool)
            },
        );
        let mut booting = booting_slots(cache, self.config.now_ms(), |id| up.contains(id));
        // Rents on their way count as well.
        for kept in cache.rents.values() {
            if let Some(kind) = cache.machine_type(&kept.value.kind) {
                for _ in 0..kept.value.count {
                    booting.push(empty_slot(kind, &kept.value.zone, kept.value.spot));
                }
            }
        }
        let booting_count = booting.len() as u32;
        let mut need = market.need(unplaced, &mut booting);
        let round_due = fleet
            .last_round
            .or(*since)
            .is_none_or(|at| now.duration_since(at) >= tuning.round);
        let remedy_due = fleet
            .last_remedy
            .is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
        let mut wanted: Vec<(Pool, u32)> = Vec::new();
        if round_due {
            fleet.last_round = Some(now);
            let machines = used_machines(cache, tuning.paid, self.config.now_ms(), |id| {
                up.contains(id)
            });
            wanted = self.periodic(&market, fleet, stats, (unplaced, &need), machines);
            tracing::info!(?tally, "waiting tasks");
        } else if remedy_due {
            fleet.last_remedy = Some(now);
            // Exception to section 5.4, see docs/DESIGN.md: a job of many tasks
            // counts as the machines that they fill.
            let fills: f64 = market.need(unplaced, &mut []).values().sum();
            let mut left = remedial::rent(
                unplaced.len().max(fills.ceil() as usize),
                tuning.remedial_theta,
                tuning.beta,
                booting_count,
            );
            left = left.max(std::mem::take(&mut fleet.carried));
            // Exception to section 5.4, see docs/DESIGN.md: never more than the
            // waiting tasks would fill.
            while left > 0
                && let Some((pool, most)) = need
                    .iter()
                    .max_by(|a, b| a.1.total_cmp(b.1))
                    .map(|(pool, most)| (pool.clone(), *most))
                && most > 0.0
            {
                let count = (most.ceil() as u32).min(left);
                left -= count;
                need.remove(&pool);
                tracing::info!(%pool, count, jobs = unplaced.len(),
                    booting = booting_count, "remedial rule rents");
                wanted.push((pool, count));
            }
        }
        if !wanted.is_empty() {
            fleet.marked.clear();
        }
        let mut rents = Vec::new();
        for (pool, count) in wanted {
            for (zone, mut count) in market.split(&pool, count) {
                while count > 0 && rents.len() < REQUESTS {
                    let part = count.min(PER_REQUEST);
                    rents.push(Rental {
                        pool: pool.clone(),
                        zone: zone.clone(),
                        count: part,
                    });
                    count -= part;
                }
            }
        }
        rents
    }

    fn periodic(
        &self,
        market: &Market<'_>,
        fleet: &mut FleetState,
        stats: &super::super::stats::Stats,
        (unplaced, need): (&[Unplaced], &BTreeMap<Pool, f64>),
        machines: Vec<(giveback::Used<MachineId>, bool)>,
    ) -> Vec<(Pool, u32)> {
        let cache = market.cache;
        let tuning = &self.config.tuning;
        let mut queue: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut overdue = Vec::new();
        let mut waiting = 0;
        for item in unplaced {
            if !cache.jobs.contains_key(&item.job) {
                continue;
            }
            waiting += item.tasks;
            let mut nowhere = item.tasks;
            for Suited { pool, tasks } in market.suited_waiting(item) {
                nowhere -= tasks;
                *queue.entry(pool.clone()).or_default() += f64::from(tasks);
                if item.overdue {
                    overdue.push((Some(pool), tasks));
                }
            }
            if item.overdue && nowhere > 0 {
                overdue.push((None, nowhere));
            }
        }
        let misses = stats.misses(&overdue);
        let mut pools: BTreeSet<Pool> = queue.keys().cloned().collect();
        pools.extend(misses.shares.keys().cloned());
        let pools: Vec<Pool> = pools.into_iter().collect();
        let loads: Vec<band::TypeLoad> = pools
            .iter()
            .map(|pool| band::TypeLoad {
                miss_share: misses.shares.get(pool).copied().unwrap_or(0.0),
                queue_share: queue.get(pool).copied().unwrap_or(0.0) / f64::from(waiting.max(1)),
                least_utilisation: machines
                    .iter()
                    .filter(|(used, _)| {
                        let machine = cache.machines.get(&used.id);
                        machine.is_some_and(|machine| pool.holds(machine))
                    })
                    .map(|(used, _)| used.utilisation)
                    .min_by(f64::total_cmp),
                need: need.get(pool).map_or(0, |need| need.ceil() as u32),
            })
            .collect();
        let arrivals = stats.arrival_rate(tuning.window);
        let rents = band::rent(
            misses.rate,
            arrivals,
            &loads,
            &band::Thresholds {
                beta: tuning.beta,
                miss_weight: tuning.miss_weight,
                demand: tuning.demand_threshold,
                utilisation: tuning.utilisation_threshold,
            },
        );
        let total: u32 = rents.iter().sum();
        let used: f64 = machines.iter().map(|(m, _)| m.utilisation * m.power).sum();
        let size: f64 = machines.iter().map(|(m, _)| m.power).sum();
        tracing::info!(
            miss_rate = misses.rate,
            arrivals,
            waiting,
            machines = machines.len(),
            utilisation = used / size.max(1.0),
            marked = fleet.marked.len(),
            renting = total,
            "band"
        );
        let kinds = cache
            .catalog
            .as_ref()
            .map_or(1, |kept| kept.value.types.len());
        // Exception to section 5.3.2, see docs/DESIGN.md: one machine a round would
        // take hours for a large fleet. Of those that stand idle beyond a reserve
        // for the next jobs more are marked, which takes nothing from anybody now.
        let idle = machines
            .iter()
            .filter(|(used, _)| used.utilisation <= 0.0 && !fleet.marked.contains(&used.id))
            .count();
        let spare = idle.saturating_sub(machines.len() / RESERVE);
        let most = (machines.len() / MACHINES_A_MARK)
            .max(spare / IDLE_A_MARK)
            .max(1);
        // A marked machine that is idle already only waits for its paid period's
        // end, which need not keep others from being marked.
        let emptying = fleet
            .marked
            .iter()
            .filter(|id| cache.on_machine.contains_key(*id))
            .count();
        let most = most.saturating_sub(emptying);
        if total == 0 && most > 0 {
            let mut services: BTreeSet<MachineId> = BTreeSet::new();
            let mut candidates: Vec<giveback::Used<MachineId>> = Vec::new();
            for (used, service) in machines {
                if fleet.marked.contains(&used.id) {
                    continue;
                }
                if service {
                    services.insert(used.id.clone());
                }
                candidates.push(used);
            }
            let mut except = fleet.refusing.clone();
            except.extend(fleet.marked.iter().cloned());
            let mut tried = 0;
            let mut marked_now = 0;
            while marked_now < most && tried < TRIED {
                let marked = giveback::mark(
                    misses.rate,
                    waiting as usize,
                    &candidates,
                    kinds,
                    &giveback::Thresholds {
                        alpha: tuning.alpha,
                        evenness: tuning.evenness_threshold,
                        utilisation: tuning.utilisation_threshold,
                    },
                )
                .cloned();
                let Some(used) = marked else {
                    break;
                };
                candidates.retain(|other| other.id != used.id);
                // A replica runs until its job is cancelled, so that a machine
                // with one never goes empty by itself: it is marked only if its
                // replicas have room elsewhere, to where they are moved.
                if services.contains(&used.id) {
                    tried += 1;
                    if !self.can_rehouse(cache, &used.id, &except) {
                        continue;
                    }
                }
                tracing::info!(machine = %used.id, utilisation = used.utilisation,
                    "marked to be given back");
                except.insert(used.id.clone());
                fleet.marked.insert(used.id);
                marked_now += 1;
            }
        }
        pools
            .into_iter()
            .zip(rents)
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
