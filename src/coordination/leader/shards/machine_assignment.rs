//! Assigns machines to shards and sets their uses.

use std::collections::BTreeMap;

use super::{SHARD_SIZE, ShardPlan, ShardPlanInputs};
use crate::storage::{
    ControllerName, MachineId, ShardId, ZoneName,
    records::{MachineUse, ShardRecord},
};

/// A shard is changed to remove its terminated machines if they are more than one in this many
/// of its machines.
const TERMINATED_DIVISOR: usize = 4;

/// Id of the first shard.
const FIRST_SHARD: ShardId = ShardId(1);

/// A machine whose use within its shard changes.
struct UseChange {
    shard: ShardId,
    machine: MachineId,
    new_use: MachineUse,
}

impl ShardPlan<'_> {
    /// Removes terminated machines, which are those in no machine group, from their shards. They
    /// do no harm there, while each change of a shard makes its placements in flight fail. They are
    /// therefore removed only if they exceed one in [`TERMINATED_DIVISOR`] of the shard, or if
    /// the shard changes anyway.
    pub(super) fn remove_terminated(&mut self) {
        let cache = self.cache;
        let is_terminated = |machine: &MachineId| !cache.machines.contains_key(machine);
        let mut with_terminated: Vec<ShardId> = Vec::new();
        for (id, shard) in &self.shards {
            let count = shard.machines.keys().filter(|m| is_terminated(m)).count();
            let changes_anyway = self.changed_shards.contains(id);
            if count > shard.machines.len() / TERMINATED_DIVISOR || (count > 0 && changes_anyway) {
                with_terminated.push(*id);
            }
        }
        for id in with_terminated {
            if self.reserve_shard_change(id)
                && let Some(shard) = self.shards.get_mut(&id)
            {
                shard.machines.retain(|machine, _| !is_terminated(machine));
            }
        }
    }

    /// Returns a shard of this controller with space for a machine of the zone, or the id of a
    /// new shard if there is none. Returns `None` if the controller has no live process.
    pub(super) fn shard_with_space(
        &self,
        controller: &ControllerName,
        zone: &ZoneName,
    ) -> Option<ShardId> {
        let owner = self.incarnation(controller)?;
        let has_space = |shard: &ShardRecord| {
            shard.controller == *controller
                && shard.owner == owner
                && !shard.cordoned
                && shard.machines.len() < SHARD_SIZE
        };
        let is_in_zone = |id: ShardId| self.zone_of(id).is_none_or(|other| other == *zone);
        // Prefers a shard that changes in this pass anyway, then the fullest, so that changes
        // of shards affect few machines.
        self.shards
            .iter()
            .filter(|(id, shard)| has_space(shard) && is_in_zone(**id))
            .max_by_key(|(id, shard)| (self.changed_shards.contains(id), shard.machines.len()))
            .map(|(id, _)| *id)
            .or_else(|| Some(self.next_shard_id()))
    }

    /// Returns an id that no shard has.
    fn next_shard_id(&self) -> ShardId {
        let last = self.shards.keys().next_back();
        last.map_or(FIRST_SHARD, |id| ShardId(id.0 + 1))
    }

    /// Adds a machine to a shard, which is created if it does not exist.
    pub(super) fn add_machine(
        &mut self,
        id: ShardId,
        controller: &ControllerName,
        machine: &MachineId,
    ) {
        let Some(owner) = self.incarnation(controller) else {
            return;
        };
        let shard = self.shards.entry(id).or_insert_with(|| ShardRecord {
            controller: controller.clone(),
            owner,
            cordoned: false,
            machines: BTreeMap::new(),
        });
        shard
            .machines
            .insert(machine.clone(), MachineUse::Available);
        *self.machine_counts.entry(controller.clone()).or_default() += 1;
    }

    /// Assigns machines that are in no shard to one.
    pub(super) fn assign_new_machines(&mut self) {
        for (machine, record) in &self.cache.machines {
            if self.cache.shard_of(machine).is_some() {
                continue;
            }
            let Some(owner) = self.owner_for_zone(&record.zone) else {
                return;
            };
            let new = std::slice::from_ref(machine);
            if let Some(id) = self.shard_with_space(&owner, &record.zone)
                && self.reserve_move(&[id], None, &owner, new)
            {
                self.raise_budgets(&owner, new);
                self.add_machine(id, &owner, machine);
            }
        }
    }

    /// Marks machines as draining, cordoned or available, as far as their use changes.
    pub(super) fn set_machine_uses(&mut self, inputs: &ShardPlanInputs) {
        let mut changes: Vec<UseChange> = Vec::new();
        for (id, shard) in &self.shards {
            for (machine, current_use) in &shard.machines {
                let new_use = self.machine_use(shard, machine, *current_use, inputs);
                if new_use != *current_use {
                    changes.push(UseChange {
                        shard: *id,
                        machine: machine.clone(),
                        new_use,
                    });
                }
            }
        }
        for change in changes {
            if self.reserve_shard_change(change.shard)
                && let Some(shard) = self.shards.get_mut(&change.shard)
            {
                shard.machines.insert(change.machine, change.new_use);
            }
        }
    }

    /// Returns the use that a machine is to have.
    fn machine_use(
        &self,
        shard: &ShardRecord,
        machine: &MachineId,
        current_use: MachineUse,
        inputs: &ShardPlanInputs,
    ) -> MachineUse {
        let target = inputs.owner_unreachable.get(machine);
        let is_handed_off = target.is_some_and(|target| {
            *target != shard.controller && self.live_controllers.contains(target)
        });
        if is_handed_off || inputs.releasing.contains(machine) {
            return MachineUse::Cordoned;
        }
        // An idle machine is not marked as draining: the leader routes no tasks to it, which
        // needs no change of the shard. A machine that was marked and is now idle keeps the
        // mark, which needs no change either; without it its owner would place replicas there.
        let is_idle = !self.cache.machine_loads.contains_key(machine);
        let is_marked = current_use == MachineUse::Draining;
        if inputs.draining_machines.contains(machine) && (is_marked || !is_idle) {
            return MachineUse::Draining;
        }
        MachineUse::Available
    }
}
