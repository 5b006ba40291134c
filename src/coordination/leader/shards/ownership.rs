//! Which process holds which allocation, and which of them get the shards of one that is dead.

use super::ShardPlan;
use crate::storage::{ControllerName, Incarnation, MachineId, ShardId, ZoneName};

/// Who is to own a shard whose owner's allocation is fenced.
enum NewOwner {
    /// The restarted process of the controller that has it.
    SameController(ControllerName),
    /// Another controller, since that one is dead.
    OtherController(ControllerName),
}

impl ShardPlan<'_> {
    /// The living process of a controller.
    pub(super) fn incarnation(&self, controller: &ControllerName) -> Option<Incarnation> {
        Some(self.cache.controllers.get(controller)?.value.incarnation)
    }

    /// Each living process holds its controller's allocation; a dead one holds nothing, and
    /// its budgets are void. This alone fences all placements of the old process.
    pub(super) fn assign_allocations(&mut self) {
        for (controller, entry) in &self.cache.controllers {
            let owner = Some(entry.value.incarnation);
            let known = self.allocations.get(controller);
            if known.is_none_or(|allocation| allocation.owner != owner)
                && self.touch_allocation(controller)
            {
                self.allocations
                    .entry(controller.clone())
                    .or_default()
                    .owner = owner;
            }
        }
        let dead = self.allocations.iter().filter(|(controller, allocation)| {
            !self.cache.controllers.contains_key(*controller) && allocation.owner.is_some()
        });
        let dead: Vec<ControllerName> = dead.map(|(controller, _)| controller.clone()).collect();
        for controller in dead {
            if self.touch_allocation(&controller)
                && let Some(allocation) = self.allocations.get_mut(&controller)
            {
                allocation.owner = None;
                allocation.budgets.clear();
            }
        }
    }

    /// Shards whose owner's allocation is fenced, as the cache shows: a restarted
    /// process gets its controller's shards with new tokens, those of a dead one go to
    /// living controllers.
    pub(super) fn lease_unowned(&mut self) {
        let unowned: Vec<(ShardId, ControllerName)> = self
            .cache
            .shards
            .iter()
            .filter(|(_, entry)| !self.cache.has_current_owner(&entry.value))
            .map(|(id, entry)| (*id, entry.value.controller.clone()))
            .collect();
        for (id, controller) in unowned {
            if let Some(new_owner) = self.new_owner(id, controller) {
                self.lease_to(id, &new_owner);
            }
        }
    }

    /// Leases a shard to its new owner if that may be done in this pass.
    fn lease_to(&mut self, id: ShardId, new_owner: &NewOwner) {
        let (controller, may_lease) = match new_owner {
            // Its allocation has kept the budgets for what is on them.
            NewOwner::SameController(controller) => (controller, self.touch(id)),
            NewOwner::OtherController(controller) => {
                let machines = self.machines_in(id);
                let may_move = self.touch_move(&[id], None, controller, &machines);
                if may_move {
                    self.raise_budgets(controller, &machines);
                }
                (controller, may_move)
            }
        };
        if may_lease {
            self.hand_over(id, controller);
        }
    }

    /// Who is to own a shard that a fenced process of this controller owned. None while its
    /// allocation passes to another process, in this pass.
    fn new_owner(&self, id: ShardId, controller: ControllerName) -> Option<NewOwner> {
        let allocated_to = self
            .cache
            .allocations
            .get(&controller)
            .and_then(|allocation| allocation.value.owner);
        if allocated_to.is_some() {
            let is_restarted = allocated_to == self.incarnation(&controller);
            return is_restarted.then_some(NewOwner::SameController(controller));
        }
        let zone = self.zone_of(id);
        zone.and_then(|zone| self.owner_for_zone(&zone))
            .or_else(|| self.alive.first().cloned())
            .map(NewOwner::OtherController)
    }

    /// The living controller for machines of this zone: one of the zone, else
    /// the one with the fewest machines.
    pub(super) fn owner_for_zone(&self, zone: &ZoneName) -> Option<ControllerName> {
        let is_near = |controller: &ControllerName| {
            let record = self.cache.controllers.get(controller);
            record.is_some_and(|entry| entry.value.zone == *zone)
        };
        self.alive
            .iter()
            .min_by_key(|controller| {
                let is_avoided = self.avoided_owners.contains(*controller);
                let load = self.load.get(*controller).copied().unwrap_or(0);
                (is_avoided, !is_near(controller), load, *controller)
            })
            .cloned()
    }

    /// Leases a shard to a controller's living process.
    pub(super) fn hand_over(&mut self, id: ShardId, to: &ControllerName) {
        let Some(owner) = self.incarnation(to) else {
            return;
        };
        if let Some(shard) = self.shards.get_mut(&id) {
            let count = shard.machines.len();
            if let Some(load) = self.load.get_mut(&shard.controller) {
                *load = load.saturating_sub(count);
            }
            *self.load.entry(to.clone()).or_default() += count;
            shard.controller = to.clone();
            shard.owner = owner;
            shard.cordoned = false;
        }
    }

    /// Whether the controller's allocation may be changed at all: the living process holds it.
    pub(super) fn has_current_allocation(&self, controller: &ControllerName) -> bool {
        let owner = self.incarnation(controller);
        let allocation = self.allocations.get(controller);
        owner.is_some() && allocation.is_some_and(|allocation| allocation.owner == owner)
    }

    /// Whether machines that move to a controller raise its budgets, as they bring tasks
    /// along. It may not have read yet what came to it, and places within the budgets
    /// that it knows: only a change of its allocation voids that. By the larger of budget and
    /// use alone, what it places then would be granted to others as well.
    fn raises_budgets(&self, machines: &[MachineId]) -> bool {
        !self.cache.quota_used(machines.iter()).is_empty()
    }

    /// Raises a controller's budgets by what is used on machines that come to it. What is
    /// used there can only shrink meanwhile: nobody places on them.
    pub(super) fn raise_budgets(&mut self, to: &ControllerName, machines: &[MachineId]) {
        let moved = self.cache.quota_used(machines.iter());
        if let Some(allocation) = self.allocations.get_mut(to) {
            for (team, used) in moved {
                let budget = allocation.budgets.entry(team).or_default();
                *budget = budget.plus(&used);
            }
        }
    }

    /// Whether a shard and its machines may move to a controller in this pass, with the
    /// allocations that change for it; they then count.
    pub(super) fn touch_move(
        &mut self,
        shards: &[ShardId],
        from: Option<&ControllerName>,
        to: &ControllerName,
        machines: &[MachineId],
    ) -> bool {
        let raises_budgets = self.raises_budgets(machines);
        if raises_budgets && !self.has_current_allocation(to) {
            return false;
        }
        let mut allocations: Vec<&ControllerName> = from.into_iter().collect();
        if raises_budgets {
            allocations.push(to);
        }
        self.touch_all(shards, &allocations)
    }
}
