//! The band's rounds and the remedial rule between them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::market::{Demand, Market, booting_candidates, empty_candidate, used_machines};
use crate::{
    coordination::{
        leader::{
            Leader,
            fleet::FleetState,
            pool::{Pool, ProvisionPlan, Suited},
            routing::Unplaced,
            state::LeaderState,
        },
        policy::{band, remedial, scale_in},
    },
    storage::{MachineId, StateCache},
};

/// Machines provisioned with one request.
pub(super) const MACHINES_PER_REQUEST: u32 = 50;
/// Requests that one pass writes down.
const MAX_REQUESTS_PER_PASS: usize = 24;
/// One of so many machines is marked in a round.
const MACHINES_PER_DRAIN: usize = 16;
/// One of so many machines that stand idle is marked in a round.
const IDLE_MACHINES_PER_DRAIN: usize = 3;
/// One of so many machines may stand idle for the next jobs.
const RESERVE_FRACTION: usize = 4;
/// Machines for which replicas' room elsewhere is looked for in one round.
const MAX_RELOCATION_CHECKS: usize = 24;

impl Leader {
    /// The band's round, and the remedial rule between rounds.
    pub(super) fn evaluate_scaling(
        &self,
        cache: &StateCache,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<ProvisionPlan> {
        let tuning = &self.context.config.tuning;
        let wall = (self.context.config.wall)();
        let up: BTreeSet<MachineId> = cache
            .machines
            .keys()
            .filter(|id| state.is_up(cache, id))
            .cloned()
            .collect();
        let LeaderState {
            fleet,
            miss_rate,
            unplaced,
            routing_counts,
            elected_at,
            ..
        } = state;
        let refused = fleet.refused.clone();
        let market = Market::new(cache, &refused, tuning, now, wall);
        miss_rate.add_starvation(unplaced.iter().map(|item| &item.job), now);
        miss_rate.observe(
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
        let mut booting =
            booting_candidates(cache, self.context.config.now_ms(), |id| up.contains(id));
        // Provision requests on their way count as well.
        for entry in cache.provision_requests.values() {
            if let Some(kind) = cache.machine_type(&entry.value.kind) {
                for _ in 0..entry.value.count {
                    booting.push(empty_candidate(kind, &entry.value.zone, entry.value.spot));
                }
            }
        }
        let booting_count = booting.len() as u32;
        let mut need = market.need(unplaced, &mut booting);
        let round_due = fleet
            .last_round
            .or(*elected_at)
            .is_none_or(|at| now.duration_since(at) >= tuning.round);
        let remedial_due = fleet
            .last_remedial
            .is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
        let mut wanted: Vec<(Pool, u32)> = Vec::new();
        if round_due {
            fleet.last_round = Some(now);
            let machines = used_machines(cache, tuning.paid, self.context.config.now_ms(), |id| {
                up.contains(id)
            });
            wanted = self.evaluate_band(&market, fleet, miss_rate, (unplaced, &need), machines);
            tracing::info!(?routing_counts, "waiting tasks");
        } else if remedial_due {
            fleet.last_remedial = Some(now);
            // Exception to section 5.4, see docs/DESIGN.md: a job of many tasks
            // counts as the machines that they fill.
            let fills: f64 = market.need(unplaced, &mut []).values().sum();
            let mut left = remedial::scale_out(
                unplaced.len().max(fills.ceil() as usize),
                tuning.remedial_theta,
                tuning.beta,
                booting_count,
            );
            left = left.max(std::mem::take(&mut fleet.unfilled));
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
                    booting = booting_count, "remedial scale-out");
                wanted.push((pool, count));
            }
        }
        if !wanted.is_empty() {
            fleet.draining_machines.clear();
        }
        let mut provision_requests = Vec::new();
        for (pool, count) in wanted {
            for (zone, mut count) in market.split(&pool, count) {
                while count > 0 && provision_requests.len() < MAX_REQUESTS_PER_PASS {
                    let part = count.min(MACHINES_PER_REQUEST);
                    provision_requests.push(ProvisionPlan {
                        pool: pool.clone(),
                        zone: zone.clone(),
                        count: part,
                    });
                    count -= part;
                }
            }
        }
        provision_requests
    }

    fn evaluate_band(
        &self,
        market: &Market<'_>,
        fleet: &mut FleetState,
        miss_rate: &super::super::miss_rate::MissRateWindow,
        (unplaced, need): (&[Unplaced], &BTreeMap<Pool, f64>),
        machines: Vec<(scale_in::MachineUtilisation<MachineId>, bool)>,
    ) -> Vec<(Pool, u32)> {
        let cache = market.cache;
        let tuning = &self.context.config.tuning;
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
        let misses = miss_rate.misses(&overdue);
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
                        machine.is_some_and(|machine| pool.contains(machine))
                    })
                    .map(|(used, _)| used.utilisation)
                    .min_by(f64::total_cmp),
                need: need.get(pool).map_or(0, |need| need.ceil() as u32),
            })
            .collect();
        let arrivals = miss_rate.arrival_rate(tuning.window);
        let provision_requests = band::scale_out(
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
        let total: u32 = provision_requests.iter().sum();
        let used: f64 = machines.iter().map(|(m, _)| m.utilisation * m.power).sum();
        let size: f64 = machines.iter().map(|(m, _)| m.power).sum();
        tracing::info!(
            miss_rate = misses.rate,
            arrivals,
            waiting,
            machines = machines.len(),
            utilisation = used / size.max(1.0),
            marked = fleet.draining_machines.len(),
            renting = total,
            "band"
        );
        let kinds = cache
            .catalog
            .as_ref()
            .map_or(1, |entry| entry.value.types.len());
        // Exception to section 5.3.2, see docs/DESIGN.md: one machine a round would
        // take hours for a large fleet. Of those that stand idle beyond a reserve
        // for the next jobs more are marked, which takes nothing from anybody now.
        let idle = machines
            .iter()
            .filter(|(used, _)| {
                used.utilisation <= 0.0 && !fleet.draining_machines.contains(&used.id)
            })
            .count();
        let spare = idle.saturating_sub(machines.len() / RESERVE_FRACTION);
        let most = (machines.len() / MACHINES_PER_DRAIN)
            .max(spare / IDLE_MACHINES_PER_DRAIN)
            .max(1);
        // A draining machine that is idle already only waits for its paid period's
        // end, which need not keep others from being marked.
        let emptying = fleet
            .draining_machines
            .iter()
            .filter(|id| cache.on_machine.contains_key(*id))
            .count();
        let most = most.saturating_sub(emptying);
        if total == 0 && most > 0 {
            let mut services: BTreeSet<MachineId> = BTreeSet::new();
            let mut candidates: Vec<scale_in::MachineUtilisation<MachineId>> = Vec::new();
            for (used, service) in machines {
                if fleet.draining_machines.contains(&used.id) {
                    continue;
                }
                if service {
                    services.insert(used.id.clone());
                }
                candidates.push(used);
            }
            let mut except = fleet.refusing.clone();
            except.extend(fleet.draining_machines.iter().cloned());
            let mut tried = 0;
            let mut newly_draining = 0;
            while newly_draining < most && tried < MAX_RELOCATION_CHECKS {
                let selected = scale_in::select_machine(
                    misses.rate,
                    waiting as usize,
                    &candidates,
                    kinds,
                    &scale_in::Thresholds {
                        alpha: tuning.alpha,
                        evenness: tuning.evenness_threshold,
                        utilisation: tuning.utilisation_threshold,
                    },
                )
                .cloned();
                let Some(used) = selected else {
                    break;
                };
                candidates.retain(|other| other.id != used.id);
                // A replica runs until its job is cancelled, so that a machine
                // with one never goes empty by itself: it is marked only if its
                // replicas have room elsewhere, to where they are moved.
                if services.contains(&used.id) {
                    tried += 1;
                    if !self.can_relocate_replicas(cache, &used.id, &except) {
                        continue;
                    }
                }
                tracing::info!(machine = %used.id, utilisation = used.utilisation,
                    "scale-in: machine draining");
                except.insert(used.id.clone());
                fleet.draining_machines.insert(used.id);
                newly_draining += 1;
            }
        }
        pools
            .into_iter()
            .zip(provision_requests)
            .filter(|(_, count)| *count > 0)
            .collect()
    }
}
