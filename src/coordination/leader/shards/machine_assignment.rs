//! Which shard each machine is in, and what it may be used for there.

use std::collections::BTreeMap;

use super::{SHARD_SIZE, ShardPlan, ShardPlanInputs};
use crate::storage::{
    ControllerName, MachineId, ShardId, ZoneName,
    records::{MachineUse, ShardRecord},
};

/// One of so many machines of a shard terminated is reason enough to change the shard.
const TERMINATED_FRACTION: usize = 4;

/// The first shard of all.
const FIRST_SHARD: ShardId = ShardId(1);

/// A machine whose use within its shard changes.
struct UseChange {
    shard: ShardId,
    machine: MachineId,
    new_use: MachineUse,
}

impl ShardPlan<'_> {
    /// Machines that stand in no machine group have been released. They do no harm in a
    /// shard, while each change of it voids placements that are under way: they
    /// go when there are several, or when the shard changes anyway.
    pub(super) fn remove_terminated(&mut self) {
        let cache = self.cache;
        let is_terminated = |machine: &MachineId| !cache.machines.contains_key(machine);
        let mut with_terminated: Vec<ShardId> = Vec::new();
        for (id, shard) in &self.shards {
            let count = shard.machines.keys().filter(|m| is_terminated(m)).count();
            let changes_anyway = self.touched.contains(id);
            if count > shard.machines.len() / TERMINATED_FRACTION || (count > 0 && changes_anyway) {
                with_terminated.push(*id);
            }
        }
        for id in with_terminated {
            if self.touch(id)
                && let Some(shard) = self.shards.get_mut(&id)
            {
                shard.machines.retain(|machine, _| !is_terminated(machine));
            }
        }
    }

    /// A shard of this controller for one more machine of the zone; a new one if
    /// need be.
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
        let is_of_zone = |id: ShardId| self.zone_of(id).is_none_or(|other| other == *zone);
        // One that changes in this pass anyway, else the fullest, so that few
        // machines are disturbed.
        self.shards
            .iter()
            .filter(|(id, shard)| has_space(shard) && is_of_zone(**id))
            .max_by_key(|(id, shard)| (self.touched.contains(id), shard.machines.len()))
            .map(|(id, _)| *id)
            .or_else(|| Some(self.next_shard_id()))
    }

    /// A name that no shard has.
    fn next_shard_id(&self) -> ShardId {
        let last = self.shards.keys().next_back();
        last.map_or(FIRST_SHARD, |id| ShardId(id.0 + 1))
    }

    /// Puts a machine into a shard, which may be new.
    pub(super) fn put_machine(
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
        *self.load.entry(controller.clone()).or_default() += 1;
    }

    /// Machines that are in no shard come into one.
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
                && self.touch_move(&[id], None, &owner, new)
            {
                self.raise_budgets(&owner, new);
                self.put_machine(id, &owner, machine);
            }
        }
    }

    /// Drains, cordons and uncordons machines.
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
            if self.touch(change.shard)
                && let Some(shard) = self.shards.get_mut(&change.shard)
            {
                shard.machines.insert(change.machine, change.new_use);
            }
        }
    }

    /// What a machine is to be used for.
    fn machine_use(
        &self,
        shard: &ShardRecord,
        machine: &MachineId,
        current_use: MachineUse,
        inputs: &ShardPlanInputs,
    ) -> MachineUse {
        let target = inputs.owner_unreachable.get(machine);
        let is_handed_off =
            target.is_some_and(|target| *target != shard.controller && self.alive.contains(target));
        if is_handed_off || inputs.releasing.contains(machine) {
            return MachineUse::Cordoned;
        }
        // One that is idle gets no more offers, which costs no change. One that has emptied
        // keeps its mark, which costs none either: its owner would place replicas there.
        let is_idle = !self.cache.on_machine.contains_key(machine);
        let is_marked = current_use == MachineUse::Draining;
        if inputs.draining_machines.contains(machine) && (is_marked || !is_idle) {
            return MachineUse::Draining;
        }
        MachineUse::Available
    }
}
