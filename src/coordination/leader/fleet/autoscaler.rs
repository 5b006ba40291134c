//! Decides what to provision: by the miss-rate band in rounds, and by the remedial rule
//! between them.
//!
//! Called in each pass of the fleet manager with the state locked. What it returns is written
//! down as provision requests before anything is sent to the cloud.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::market::{Demand, Market, booting_candidates, requested_candidates, used_machines};
use crate::{
    coordination::{
        Tuning,
        leader::{
            Leader,
            miss_rate::MissRateWindow,
            pool::{Pool, ProvisionPlan, WantedMachines},
            routing::Unplaced,
            state::LeaderState,
        },
        policy::remedial,
    },
    storage::{MachineId, StateCache},
};

/// Machines provisioned with one request.
const MACHINES_PER_REQUEST: u32 = 50;
/// Requests that one pass writes down.
const MAX_REQUESTS_PER_PASS: usize = 24;
/// Between two evaluations of the remedial rule.
const REMEDIAL_INTERVAL: Duration = Duration::from_secs(1);

/// The machines that the waiting tasks need.
pub(super) struct MachineNeed<'a> {
    /// Waiting tasks that found no room.
    pub(super) unplaced: &'a [Unplaced],
    /// Machines of each pool that these would fill beyond those booting.
    pub(super) by_pool: BTreeMap<Pool, f64>,
    /// Machines booting or requested.
    pub(super) booting_count: u32,
}

impl Leader {
    /// Evaluates the miss-rate band if its round is due, else the remedial rule if that is
    /// due. Returns what is to be provisioned.
    pub(super) fn evaluate_scaling(
        &self,
        cache: &StateCache,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<ProvisionPlan> {
        let tuning = &self.context.config.tuning;
        let now_ms = self.context.config.now_ms();
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
            booting_when_routed,
            routing_counts,
            elected_at,
            ..
        } = state;
        let refused = fleet.refused.clone();
        let wall = (self.context.config.wall)();
        let market = Market::new(cache, &refused, tuning, now, wall);
        observe_miss_rate(miss_rate, &market, unplaced, tuning);
        // A machine that has come up since the last routing pass still has room for tasks that
        // were unplaced in it.
        let was_up = |id: &MachineId| up.contains(id) && !booting_when_routed.contains(id);
        let need = machine_need(&market, unplaced, now_ms, was_up);
        let is_round_due = fleet
            .last_round
            .or(*elected_at)
            .is_none_or(|at| now.duration_since(at) >= tuning.evaluation_interval);
        let is_remedial_due = fleet
            .last_remedial
            .is_none_or(|at| now.duration_since(at) >= REMEDIAL_INTERVAL);
        let mut wanted: Vec<WantedMachines> = Vec::new();
        if is_round_due {
            fleet.last_round = Some(now);
            let machines = used_machines(cache, tuning.paid_periods, now_ms, |id| up.contains(id));
            wanted = self.evaluate_band(&market, fleet, miss_rate, &need, machines);
            tracing::info!(?routing_counts, "waiting tasks");
        } else if is_remedial_due {
            fleet.last_remedial = Some(now);
            let unfilled = std::mem::take(&mut fleet.unfilled);
            wanted = evaluate_remedial(&market, need, unfilled, tuning);
        }
        if !wanted.is_empty() {
            fleet.draining_machines.clear();
        }
        provision_plans(&market, wanted)
    }
}

/// Takes note of which tasks have started, ended and waited since the last pass.
fn observe_miss_rate(
    miss_rate: &mut MissRateWindow,
    market: &Market<'_>,
    unplaced: &[Unplaced],
    tuning: &Tuning,
) {
    miss_rate.add_starvation(unplaced.iter().map(|waiting| &waiting.job), market.now());
    miss_rate.observe(
        market.cache,
        market.now(),
        market.wall(),
        tuning.start_target,
        tuning.miss_rate_window,
        |spec| {
            let suited = market.suited(Demand::of_spec(spec), spec.tasks, false);
            suited.into_iter().next().map(|suited| suited.pool)
        },
    );
}

fn machine_need<'a>(
    market: &Market<'_>,
    unplaced: &'a [Unplaced],
    now_ms: u64,
    was_up: impl Fn(&MachineId) -> bool,
) -> MachineNeed<'a> {
    let mut booting = booting_candidates(market.cache, now_ms, was_up);
    booting.extend(requested_candidates(market.cache));
    let booting_count = booting.len() as u32;
    MachineNeed {
        unplaced,
        by_pool: market.need(unplaced, &mut booting),
        booting_count,
    }
}

/// The remedial rule (paper, section 5.4). `unfilled` machines were asked for and no place
/// had them.
fn evaluate_remedial(
    market: &Market<'_>,
    need: MachineNeed<'_>,
    unfilled: u32,
    tuning: &Tuning,
) -> Vec<WantedMachines> {
    let MachineNeed {
        unplaced,
        mut by_pool,
        booting_count,
    } = need;
    // Exception to section 5.4, see docs/DESIGN.md: a job of many tasks
    // counts as the machines that they fill.
    let filled_machines: f64 = market.need(unplaced, &mut []).values().sum();
    let mut left = remedial::scale_out(
        unplaced.len().max(filled_machines.ceil() as usize),
        tuning.remedial_theta,
        tuning.beta,
        booting_count,
    )
    .max(unfilled);
    // Exception to section 5.4, see docs/DESIGN.md: never more than the
    // waiting tasks would fill.
    let mut wanted = Vec::new();
    while left > 0
        && let Some((pool, machines)) = greatest_need(&by_pool)
    {
        let count = (machines.ceil() as u32).min(left);
        left -= count;
        by_pool.remove(&pool);
        tracing::info!(%pool, count, jobs = unplaced.len(),
            booting = booting_count, "remedial scale-out");
        wanted.push(WantedMachines { pool, count });
    }
    wanted
}

/// The pool of which most machines are needed, with their number.
fn greatest_need(by_pool: &BTreeMap<Pool, f64>) -> Option<(Pool, f64)> {
    by_pool
        .iter()
        .max_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(pool, machines)| (pool.clone(), *machines))
        .filter(|(_, machines)| *machines > 0.0)
}

/// Spreads what is wanted over zones and requests, as many as one pass writes down.
fn provision_plans(market: &Market<'_>, wanted: Vec<WantedMachines>) -> Vec<ProvisionPlan> {
    let mut plans = Vec::new();
    for WantedMachines { pool, count } in wanted {
        for share in market.split(&pool, count) {
            let mut left = share.count;
            while left > 0 && plans.len() < MAX_REQUESTS_PER_PASS {
                let count = left.min(MACHINES_PER_REQUEST);
                plans.push(ProvisionPlan {
                    pool: pool.clone(),
                    zone: share.zone.clone(),
                    count,
                });
                left -= count;
            }
        }
    }
    plans
}
