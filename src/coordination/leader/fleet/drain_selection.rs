//! Chooses machines to drain in a round of the miss-rate band that provisions none (paper,
//! section 5.3.2).

use std::collections::BTreeSet;

use super::{FleetState, provisioning_options::UsedMachine};
use crate::{
    coordination::{leader::Leader, policy::scale_in},
    storage::{MachineId, StateCache},
};

/// One in this many machines may be chosen in a round, less the machines that are still being
/// emptied.
const MACHINES_PER_DRAIN: usize = 16;
/// One in this many idle machines beyond the reserve may be chosen in a round, if that is more than
/// [`MACHINES_PER_DRAIN`] allows.
const IDLE_MACHINES_PER_DRAIN: usize = 3;
/// One in this many machines may stay idle as a reserve for the next jobs.
const MACHINES_PER_IDLE_RESERVE: usize = 4;
/// Maximum number of machines in one round for which other machines are searched for capacity for
/// their replicas.
const MAX_RELOCATION_CHECKS: usize = 24;

/// The inputs to the choice of draining machines from a round of the miss-rate band.
pub(super) struct DrainRound<'a> {
    /// The state cache.
    pub(super) cache: &'a StateCache,
    /// The miss rate, from 0 to 1.
    pub(super) miss_rate: f64,
    /// Number of tasks for which no machine has capacity.
    pub(super) tasks_waiting: usize,
}

/// The machines that may be chosen to drain.
struct DrainCandidates {
    machines: Vec<scale_in::MachineUtilisation<MachineId>>,
    /// Those that run service replicas, which must be moved before the machine is released.
    running_services: BTreeSet<MachineId>,
}

impl Leader {
    /// Chooses machines to drain, up to the limit of the round.
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
            // A replica runs until its job is cancelled, so a machine that runs replicas never
            // becomes empty by itself. It is chosen only if its replicas can be moved to other
            // machines.
            if candidates.running_services.contains(&selected.id) {
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

    /// Returns the machine that the scale-in policy chooses next, if any.
    fn select_for_scale_in(
        &self,
        round: &DrainRound<'_>,
        candidates: &DrainCandidates,
    ) -> Option<scale_in::MachineUtilisation<MachineId>> {
        let tuning = &self.context.config.tuning;
        let type_count = round
            .cache
            .catalog
            .as_ref()
            .map_or(1, |entry| entry.value.types.len());
        scale_in::select_machine(
            round.miss_rate,
            round.tasks_waiting,
            &candidates.machines,
            type_count,
            &scale_in::Thresholds {
                alpha: tuning.alpha,
                evenness: tuning.evenness_threshold,
                utilisation: tuning.utilisation_threshold,
            },
        )
        .cloned()
    }
}

/// Returns how many machines one round may choose.
///
/// Exception to section 5.3.2, see docs/DESIGN.md: choosing one machine per round would take hours
/// for a large fleet. More are chosen if many machines are idle beyond a reserve for the next
/// jobs, which takes no capacity from running tasks.
fn max_newly_draining(cache: &StateCache, fleet: &FleetState, machines: &[UsedMachine]) -> usize {
    let idle = machines
        .iter()
        .map(|machine| &machine.utilisation)
        .filter(|used| used.utilisation <= 0.0 && !fleet.draining_machines.contains(&used.id))
        .count();
    let spare = idle.saturating_sub(machines.len() / MACHINES_PER_IDLE_RESERVE);
    let max_draining = (machines.len() / MACHINES_PER_DRAIN)
        .max(spare / IDLE_MACHINES_PER_DRAIN)
        .max(1);
    // A draining machine that is already idle only waits for the end of its paid period, and
    // does not count against the limit.
    let emptying = fleet
        .draining_machines
        .iter()
        .filter(|id| cache.machine_loads.contains_key(*id))
        .count();
    max_draining.saturating_sub(emptying)
}

fn drain_candidates(fleet: &FleetState, machines: Vec<UsedMachine>) -> DrainCandidates {
    let mut candidates = DrainCandidates {
        machines: Vec::new(),
        running_services: BTreeSet::new(),
    };
    for machine in machines {
        let id = &machine.utilisation.id;
        if fleet.draining_machines.contains(id) {
            continue;
        }
        if machine.runs_service {
            candidates.running_services.insert(id.clone());
        }
        candidates.machines.push(machine.utilisation);
    }
    candidates
}
