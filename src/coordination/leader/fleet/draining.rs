//! The machines that are chosen for scale-in, until they are released.

use std::collections::{BTreeMap, BTreeSet};

use crate::storage::{JobKind, MachineId, StateCache, state_cache::PlacedTask};

/// Machines that are to be released, each at the end of its paid period.
///
/// A machine that was idle when it was chosen is not marked in its shard's record, which
/// would cost a change of the shard. Its owner may therefore place tasks there that it was
/// offered for another machine. If these are replicas the machine is in use again and drains
/// no more: moving them would stop each of them once more.
#[derive(Clone, Debug, Default)]
pub struct DrainingMachines {
    machines: BTreeMap<MachineId, DrainProgress>,
}

/// How far a draining machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainProgress {
    /// It has had tasks ever since it was chosen.
    Emptying,
    /// It has been idle since.
    HasBeenIdle,
}

/// Whether a placed task is known to be a replica of a service.
pub(super) fn is_replica(placed: &PlacedTask) -> bool {
    placed
        .spec
        .as_ref()
        .is_some_and(|spec| spec.kind == JobKind::Service)
}

impl DrainingMachines {
    /// Chooses a machine.
    pub fn insert(&mut self, machine: MachineId) {
        self.machines.insert(machine, DrainProgress::Emptying);
    }

    /// The machine is to stay, or is released.
    pub fn remove(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// All are to stay.
    pub fn clear(&mut self) {
        self.machines.clear();
    }

    /// Whether the machine is draining.
    pub fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// How many are draining.
    pub fn count(&self) -> usize {
        self.machines.len()
    }

    /// Their names, in order.
    pub fn iter(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.keys()
    }

    /// Their names, for a plan.
    pub fn names(&self) -> BTreeSet<MachineId> {
        self.machines.keys().cloned().collect()
    }

    /// Forgets machines that no record names any more, and those that were idle and have
    /// replicas again.
    pub fn observe(&mut self, cache: &StateCache) {
        self.machines.retain(|machine, progress| {
            if !cache.machines.contains_key(machine) {
                return false;
            }
            let Some(load) = cache.on_machine.get(machine) else {
                *progress = DrainProgress::HasBeenIdle;
                return true;
            };
            let is_in_use_again =
                *progress == DrainProgress::HasBeenIdle && load.tasks.values().any(is_replica);
            if is_in_use_again {
                tracing::info!(%machine, "scale-in given up: replicas placed there");
            }
            !is_in_use_again
        });
    }
}

#[cfg(test)]
mod tests;
