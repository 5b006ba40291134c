//! Decides which machines to provision: by the miss-rate band in periodic rounds, and by the
//! remedial rule between the rounds.
//!
//! Called in each pass of the fleet manager while the leader's state is locked. The resulting
//! plans are recorded as provision requests before anything is sent to the cloud.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    FleetState,
    provisioning_options::{
        JobDemand, ProvisioningOptions, booting_candidates, requested_candidates, used_machines,
    },
};
use crate::{
    coordination::{
        Tuning,
        leader::{
            Leader,
            miss_rate::MissRateWindow,
            pool::{Pool, ProvisionPlan, WantedMachines},
            routing::UnplacedTasks,
            state::LeaderState,
        },
        policy::remedial,
    },
    storage::{MachineId, StateCache},
};

/// Maximum number of machines in one provision request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Maximum number of provision requests that one pass records.
const MAX_REQUESTS_PER_PASS: usize = 24;
/// Time between two evaluations of the remedial rule.
const REMEDIAL_INTERVAL: Duration = Duration::from_secs(1);

/// The machines that the waiting tasks need.
pub(super) struct MachineNeed<'a> {
    /// Waiting tasks for which no machine has capacity.
    pub(super) unplaced: &'a [UnplacedTasks],
    /// Number of machines of each pool that these tasks would fill in addition to booting and
    /// requested machines.
    pub(super) by_pool: BTreeMap<Pool, f64>,
    /// Number of machines that are booting or requested.
    pub(super) booting_count: u32,
}

impl Leader {
    /// Evaluates the miss-rate band if a round of it is due, or else the remedial rule if that
    /// is due. Returns the provision requests to make. If any machine is wanted, the scale-in of
    /// all draining machines is cancelled.
    pub(super) fn evaluate_scaling(
        &self,
        cache: &StateCache,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<ProvisionPlan> {
        let tuning = &self.context.config.tuning;
        let now_ms = self.context.config.now_ms();
        let up = machines_up(cache, state);
        let LeaderState {
            fleet,
            miss_rate,
            unplaced,
            booting_when_routed,
            routing_counts,
            elected_at,
            ..
        } = state;
        let refused_targets = fleet.refused_targets.clone();
        let wall_time = (self.context.config.wall_clock)();
        let options = ProvisioningOptions::new(cache, &refused_targets, tuning, now, wall_time);
        observe_miss_rate(miss_rate, &options, unplaced, tuning);
        // The last routing pass could not use machines that were booting then. Those that have come
        // up since still have capacity for the tasks that it left unplaced, and are therefore
        // counted as booting.
        let was_up_when_routed =
            |id: &MachineId| up.contains(id) && !booting_when_routed.contains(id);
        let need = machine_need(&options, unplaced, now_ms, was_up_when_routed);
        let wanted_machines = match due_evaluation(fleet, *elected_at, tuning, now) {
            Some(Evaluation::Band) => {
                fleet.last_band_evaluation = Some(now);
                let machines =
                    used_machines(cache, tuning.paid_periods, now_ms, |id| up.contains(id));
                let wanted = self.evaluate_band(&options, fleet, miss_rate, &need, machines);
                tracing::info!(?routing_counts, "waiting tasks");
                wanted
            }
            Some(Evaluation::RemedialRule) => {
                fleet.last_remedial_evaluation = Some(now);
                let unfilled = std::mem::take(&mut fleet.unfilled_machines);
                evaluate_remedial(&options, need, unfilled, tuning)
            }
            None => Vec::new(),
        };
        if !wanted_machines.is_empty() {
            fleet.draining_machines.clear();
        }
        provision_plans(&options, wanted_machines)
    }
}

/// Returns the machines that have come up.
fn machines_up(cache: &StateCache, state: &LeaderState) -> BTreeSet<MachineId> {
    let machines = cache.machines.keys();
    machines
        .filter(|id| state.is_up(cache, id))
        .cloned()
        .collect()
}

/// One of the two rules by which machines are provisioned.
enum Evaluation {
    /// A round of the miss-rate band, which also drains machines.
    Band,
    /// The remedial rule.
    RemedialRule,
}

/// Returns the rule that is due, the band first.
fn due_evaluation(
    fleet: &FleetState,
    elected_at: Option<Instant>,
    tuning: &Tuning,
    now: Instant,
) -> Option<Evaluation> {
    let is_due = |last: Option<Instant>, interval: Duration| {
        last.is_none_or(|at| now.duration_since(at) >= interval)
    };
    let last_round = fleet.last_band_evaluation.or(elected_at);
    if is_due(last_round, tuning.evaluation_interval) {
        Some(Evaluation::Band)
    } else if is_due(fleet.last_remedial_evaluation, REMEDIAL_INTERVAL) {
        Some(Evaluation::RemedialRule)
    } else {
        None
    }
}

/// Adds the tasks that have started, ended or waited for capacity since the last pass to the
/// miss-rate window.
fn observe_miss_rate(
    miss_rate: &mut MissRateWindow,
    options: &ProvisioningOptions<'_>,
    unplaced: &[UnplacedTasks],
    tuning: &Tuning,
) {
    miss_rate.add_starvation(unplaced.iter().map(|waiting| &waiting.job), options.now());
    miss_rate.observe(
        options.cache,
        options.now(),
        options.wall_time(),
        tuning.start_target,
        tuning.miss_rate_window,
        |spec| {
            let suitable = options.suitable_pools(JobDemand::of_spec(spec), spec.tasks, false);
            suitable.into_iter().next().map(|suitable| suitable.pool)
        },
    );
}

/// Determines how many machines the waiting tasks need beyond those booting or requested.
fn machine_need<'a>(
    options: &ProvisioningOptions<'_>,
    unplaced: &'a [UnplacedTasks],
    now_ms: u64,
    was_up_when_routed: impl Fn(&MachineId) -> bool,
) -> MachineNeed<'a> {
    let mut booting = booting_candidates(options.cache, now_ms, was_up_when_routed);
    booting.extend(requested_candidates(options.cache));
    let booting_count = booting.len() as u32;
    MachineNeed {
        unplaced,
        by_pool: options.machines_needed(unplaced, &mut booting),
        booting_count,
    }
}

/// Applies the remedial rule (paper, section 5.4). Returns the machines to provision, at least
/// `unfilled` of them if the waiting tasks need as many: that many were recently refused by the
/// cloud.
fn evaluate_remedial(
    options: &ProvisioningOptions<'_>,
    need: MachineNeed<'_>,
    unfilled: u32,
    tuning: &Tuning,
) -> Vec<WantedMachines> {
    let MachineNeed {
        unplaced,
        mut by_pool,
        booting_count,
    } = need;
    // Exception to section 5.4, see docs/DESIGN.md: a job with many tasks counts as the number
    // of machines that its tasks fill.
    let filled_machines: f64 = options.machines_needed(unplaced, &mut []).values().sum();
    let mut remaining = remedial::scale_out(
        unplaced.len().max(filled_machines.ceil() as usize),
        tuning.remedial_theta,
        tuning.beta,
        booting_count,
    )
    .max(unfilled);
    // Exception to section 5.4, see docs/DESIGN.md: no more machines than the waiting tasks
    // would fill.
    let mut wanted_machines = Vec::new();
    while remaining > 0
        && let Some((pool, machines)) = greatest_need(&by_pool)
    {
        let count = (machines.ceil() as u32).min(remaining);
        remaining -= count;
        by_pool.remove(&pool);
        tracing::info!(%pool, count, jobs = unplaced.len(),
            booting = booting_count, "remedial scale-out");
        wanted_machines.push(WantedMachines { pool, count });
    }
    wanted_machines
}

/// Returns the pool with the greatest number of needed machines, and that number.
fn greatest_need(by_pool: &BTreeMap<Pool, f64>) -> Option<(Pool, f64)> {
    by_pool
        .iter()
        .max_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(pool, machines)| (pool.clone(), *machines))
        .filter(|(_, machines)| *machines > 0.0)
}

/// Divides the wanted machines among zones and into at most [`MAX_REQUESTS_PER_PASS`] provision
/// requests.
fn provision_plans(
    options: &ProvisioningOptions<'_>,
    wanted_machines: Vec<WantedMachines>,
) -> Vec<ProvisionPlan> {
    let mut plans = Vec::new();
    for WantedMachines { pool, count } in wanted_machines {
        for share in options.split_by_zone(&pool, count) {
            let mut remaining = share.count;
            while remaining > 0 && plans.len() < MAX_REQUESTS_PER_PASS {
                let count = remaining.min(MAX_MACHINES_PER_REQUEST);
                plans.push(ProvisionPlan {
                    pool: pool.clone(),
                    zone: share.zone.clone(),
                    count,
                });
                remaining -= count;
            }
        }
    }
    plans
}
