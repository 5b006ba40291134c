//! Tracks the machines that are chosen for scale-in until they are released.

use std::collections::{BTreeMap, BTreeSet};

use crate::storage::{JobKind, MachineId, StateCache, state_cache::PlacedTask};

/// Machines chosen for scale-in, each to be released at the end of its paid period.
///
/// A machine that was idle when it was chosen is not marked as draining in its shard's record, to
/// save a change of that record. Its owner may therefore still place tasks on it that were
/// offered for another machine. If these include service replicas, the machine is in use again
/// and stops draining, because moving the replicas elsewhere would stop each of them once more.
#[derive(Clone, Debug, Default)]
pub struct DrainingMachines {
    machines: BTreeMap<MachineId, DrainProgress>,
}

/// Whether a draining machine has been idle since it was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainProgress {
    /// It has had tasks since it was chosen, or has not been checked yet.
    Emptying,
    /// It has been idle at some time since it was chosen.
    HasBeenIdle,
}

/// Returns whether a placed task is known to be a replica of a service.
pub(super) fn is_replica(placed: &PlacedTask) -> bool {
    placed
        .spec
        .as_ref()
        .is_some_and(|spec| spec.kind == JobKind::Service)
}

impl DrainingMachines {
    /// Adds a machine that is chosen for scale-in.
    pub fn insert(&mut self, machine: MachineId) {
        self.machines.insert(machine, DrainProgress::Emptying);
    }

    /// Removes a machine that is to be kept or is released.
    pub fn remove(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Removes all machines, so that they are kept.
    pub fn clear(&mut self) {
        self.machines.clear();
    }

    /// Returns whether the machine is draining.
    pub fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// Returns the number of draining machines.
    pub fn count(&self) -> usize {
        self.machines.len()
    }

    /// Returns the IDs of the draining machines in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.keys()
    }

    /// Returns a copy of the IDs of the draining machines.
    pub fn machine_ids(&self) -> BTreeSet<MachineId> {
        self.machines.keys().cloned().collect()
    }

    /// Updates the set from the state cache: removes machines that no longer have a record, and
    /// machines on which service replicas were placed after they had been idle.
    pub fn refresh(&mut self, cache: &StateCache) {
        self.machines.retain(|machine, progress| {
            if !cache.machines.contains_key(machine) {
                return false;
            }
            let Some(load) = cache.machine_loads.get(machine) else {
                *progress = DrainProgress::HasBeenIdle;
                return true;
            };
            let is_in_use_again =
                *progress == DrainProgress::HasBeenIdle && load.tasks.values().any(is_replica);
            if is_in_use_again {
                tracing::info!(%machine, "scale-in cancelled: service replicas were placed on the machine");
            }
            !is_in_use_again
        });
    }
}

#[cfg(test)]
mod tests;
