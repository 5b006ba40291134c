//! Chooses the machines that are to drain, in a round of the band that provisions none
//! (paper, section 5.3.2).

use std::collections::BTreeSet;

use super::{FleetState, market::UsedMachine};
use crate::{
    coordination::{leader::Leader, policy::scale_in},
    storage::{MachineId, StateCache},
};

/// One of so many machines is chosen in a round.
const MACHINES_PER_DRAIN: usize = 16;
/// One of so many machines that stand idle is chosen in a round.
const IDLE_MACHINES_PER_DRAIN: usize = 3;
/// One of so many machines may stand idle for the next jobs.
const RESERVE_FRACTION: usize = 4;
/// Machines for which replicas' room elsewhere is looked for in one round.
const MAX_RELOCATION_CHECKS: usize = 24;

/// What a round of the band has found.
pub(super) struct DrainRound<'a> {
    /// The replica.
    pub(super) cache: &'a StateCache,
    /// The miss rate, of 1.
    pub(super) miss_rate: f64,
    /// Tasks that found no room.
    pub(super) tasks_waiting: usize,
}

/// The machines that may be chosen, and those whose replicas must move first.
struct DrainCandidates {
    machines: Vec<scale_in::MachineUtilisation<MachineId>>,
    with_services: BTreeSet<MachineId>,
}

impl Leader {
    /// Chooses machines to drain, as many as the round allows.
    pub(super) fn select_draining(
        &self,
        round: &DrainRound<'_>,
        fleet: &mut FleetState,
        machines: Vec<UsedMachine>,
    ) {
        let max_chosen = max_newly_draining(round.cache, fleet, &machines);
        let mut candidates = drain_candidates(fleet, machines);
        let mut unavailable = fleet.unavailable_machines();
        let mut relocation_checks = 0;
        let mut chosen = 0;
        while chosen < max_chosen && relocation_checks < MAX_RELOCATION_CHECKS {
            let Some(selected) = self.select_for_scale_in(round, &candidates) else {
                break;
            };
            candidates.machines.retain(|other| other.id != selected.id);
            // A replica runs until its job is cancelled, so that a machine
            // with one never goes empty by itself: it is chosen only if its
            // replicas have room elsewhere, to where they are moved.
            if candidates.with_services.contains(&selected.id) {
                relocation_checks += 1;
                if !self.can_relocate_replicas(round.cache, &selected.id, &unavailable) {
                    continue;
                }
            }
            tracing::info!(machine = %selected.id, utilisation = selected.utilisation,
                "scale-in: machine draining");
            unavailable.insert(selected.id.clone());
            fleet.draining_machines.insert(selected.id);
            chosen += 1;
        }
    }

    /// The machine that the policy would choose next, if any.
    fn select_for_scale_in(
        &self,
        round: &DrainRound<'_>,
        candidates: &DrainCandidates,
    ) -> Option<scale_in::MachineUtilisation<MachineId>> {
        let tuning = &self.context.config.tuning;
        let kinds = round
            .cache
            .catalog
            .as_ref()
            .map_or(1, |entry| entry.value.types.len());
        scale_in::select_machine(
            round.miss_rate,
            round.tasks_waiting,
            &candidates.machines,
            kinds,
            &scale_in::Thresholds {
                alpha: tuning.alpha,
                evenness: tuning.evenness_threshold,
                utilisation: tuning.utilisation_threshold,
            },
        )
        .cloned()
    }
}

/// How many machines one round may choose.
///
/// Exception to section 5.3.2, see docs/DESIGN.md: one machine a round would
/// take hours for a large fleet. Of those that stand idle beyond a reserve
/// for the next jobs more are chosen, which takes nothing from anybody now.
fn max_newly_draining(cache: &StateCache, fleet: &FleetState, machines: &[UsedMachine]) -> usize {
    let idle = machines
        .iter()
        .map(|machine| &machine.utilisation)
        .filter(|used| used.utilisation <= 0.0 && !fleet.draining_machines.contains(&used.id))
        .count();
    let spare = idle.saturating_sub(machines.len() / RESERVE_FRACTION);
    let max_draining = (machines.len() / MACHINES_PER_DRAIN)
        .max(spare / IDLE_MACHINES_PER_DRAIN)
        .max(1);
    // A draining machine that is idle already only waits for its paid period's
    // end, which need not keep others from being chosen.
    let emptying = fleet
        .draining_machines
        .iter()
        .filter(|id| cache.on_machine.contains_key(*id))
        .count();
    max_draining.saturating_sub(emptying)
}

fn drain_candidates(fleet: &FleetState, machines: Vec<UsedMachine>) -> DrainCandidates {
    let mut candidates = DrainCandidates {
        machines: Vec::new(),
        with_services: BTreeSet::new(),
    };
    for machine in machines {
        let id = &machine.utilisation.id;
        if fleet.draining_machines.contains(id) {
            continue;
        }
        if machine.runs_service {
            candidates.with_services.insert(id.clone());
        }
        candidates.machines.push(machine.utilisation);
    }
    candidates
}
