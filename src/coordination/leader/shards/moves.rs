//! Moves of shards and of single machines between live controllers.
//!
//! A shard or machine is first cordoned, and is moved once the cache shows it as cordoned, since
//! only then is it certain which tasks are on it.

use super::{ShardPlan, ShardPlanInputs};
use crate::storage::{
    ControllerName, MachineId, ShardId, ZoneName,
    records::{MachineUse, ShardRecord},
    state_cache::Versioned,
};

/// A single machine that moves to another controller.
struct MachineMove<'a> {
    machine: &'a MachineId,
    zone: &'a ZoneName,
    shard: ShardId,
    from: &'a ControllerName,
    to: &'a ControllerName,
}

impl<'a> ShardPlan<'a> {
    /// Moves shards to other live controllers. A shard is first cordoned, and moved once the
    /// cache shows it as cordoned. Uncordons shards that are no longer to be moved.
    pub(super) fn move_shards(&mut self, inputs: &ShardPlanInputs) {
        for (id, entry) in &self.cache.shards {
            let target = inputs
                .shard_moves
                .get(id)
                .filter(|target| self.may_move(&entry.value, target));
            match target {
                Some(target) if entry.value.cordoned => self.move_shard(*id, entry, target),
                Some(_) => self.set_cordoned(*id, true),
                None => self.set_cordoned(*id, false),
            }
        }
    }

    /// Whether a shard may move to this controller: it is another one than the owner, and both
    /// are alive.
    fn may_move(&self, shard: &ShardRecord, to: &ControllerName) -> bool {
        *to != shard.controller
            && self.live_controllers.contains(to)
            && self.cache.has_current_owner(shard)
    }

    fn move_shard(&mut self, id: ShardId, entry: &Versioned<ShardRecord>, to: &ControllerName) {
        let shard = &entry.value;
        let machines: Vec<MachineId> = shard.machines.keys().cloned().collect();
        if self.reserve_move(&[id], Some(&shard.controller), to, &machines) {
            self.lower_budgets(&shard.controller, &machines);
            self.raise_budgets(to, &machines);
            self.assign_shard(id, to);
        }
    }

    fn set_cordoned(&mut self, id: ShardId, cordoned: bool) {
        let known = self.shards.get(&id);
        let differs = known.is_some_and(|shard| shard.cordoned != cordoned);
        if differs
            && self.reserve_shard_change(id)
            && let Some(shard) = self.shards.get_mut(&id)
        {
            shard.cordoned = cordoned;
        }
    }

    /// Lowers a controller's budgets by the quota used on machines that leave it. Otherwise the
    /// old owner could use the same quota a second time.
    fn lower_budgets(&mut self, from: &ControllerName, machines: &[MachineId]) {
        let moved = self.cache.quota_used(machines.iter());
        if let Some(allocation) = self.allocations.get_mut(from) {
            for (team, used) in moved {
                if let Some(budget) = allocation.budgets.get_mut(&team) {
                    *budget = budget.minus(&used).at_least_zero();
                }
            }
        }
    }

    /// Moves single machines that their owner cannot reach to the controller that can, once the
    /// cache shows them as cordoned.
    pub(super) fn hand_off_unreachable(&mut self, inputs: &'a ShardPlanInputs) {
        for (machine, target) in &inputs.owner_unreachable {
            if let Some(hand_off) = self.hand_off(machine, target) {
                self.move_machine(&hand_off);
            }
        }
    }

    /// Returns the move of a machine, if it may happen now.
    fn hand_off(&self, machine: &'a MachineId, to: &'a ControllerName) -> Option<MachineMove<'a>> {
        let (shard, entry) = self.cache.shard_of(machine)?;
        let is_cordoned = entry.value.machines.get(machine) == Some(&MachineUse::Cordoned);
        if !is_cordoned || !self.may_move(&entry.value, to) {
            return None;
        }
        let record = self.cache.machines.get(machine)?;
        Some(MachineMove {
            machine,
            zone: &record.zone,
            shard,
            from: &entry.value.controller,
            to,
        })
    }

    fn move_machine(&mut self, hand_off: &MachineMove<'_>) {
        let MachineMove {
            machine,
            zone,
            shard,
            from,
            to,
        } = *hand_off;
        let Some(new_shard) = self.shard_with_space(to, zone) else {
            return;
        };
        let moved = std::slice::from_ref(machine);
        if !self.reserve_move(&[shard, new_shard], Some(from), to, moved) {
            return;
        }
        self.lower_budgets(from, moved);
        self.raise_budgets(to, moved);
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.machines.remove(machine);
        }
        self.add_machine(new_shard, to, machine);
    }
}
