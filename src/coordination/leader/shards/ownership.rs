//! Assigns allocations to the controllers' current processes, and shards of dead or restarted
//! processes to new owners.

use super::ShardPlan;
use crate::storage::{ControllerName, Incarnation, MachineId, ShardId, ZoneName};

/// The new owner of a shard whose owner's allocation has been fenced.
enum NewOwner {
    /// The restarted process of the same controller.
    SameController(ControllerName),
    /// Another controller, since the old one is dead.
    OtherController(ControllerName),
}

impl ShardPlan<'_> {
    /// Returns the incarnation of a controller's live process, if there is one.
    pub(super) fn incarnation(&self, controller: &ControllerName) -> Option<Incarnation> {
        Some(self.cache.controllers.get(controller)?.value.incarnation)
    }

    /// Assigns each allocation to its controller's live process. The allocation of a dead
    /// controller gets no owner, and its budgets are removed. This change alone fences all
    /// placements of the old process, since they are conditional on the allocation record.
    pub(super) fn assign_allocations(&mut self) {
        for (controller, entry) in &self.cache.controllers {
            let owner = Some(entry.value.incarnation);
            let known = self.allocations.get(controller);
            if known.is_none_or(|allocation| allocation.owner != owner)
                && self.reserve_allocation_change(controller)
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
            if self.reserve_allocation_change(&controller)
                && let Some(allocation) = self.allocations.get_mut(&controller)
            {
                allocation.owner = None;
                allocation.budgets.clear();
            }
        }
    }

    /// Leases shards whose owner's allocation has been fenced according to the cache. A restarted
    /// process gets its controller's shards with new fencing tokens; the shards of a dead
    /// controller go to live controllers.
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

    /// Leases a shard to its new owner if this pass's limit of changes allows it.
    fn lease_to(&mut self, id: ShardId, new_owner: &NewOwner) {
        let (controller, may_lease) = match new_owner {
            // The controller's allocation still contains the budgets for the tasks on the shard.
            NewOwner::SameController(controller) => (controller, self.reserve_shard_change(id)),
            NewOwner::OtherController(controller) => {
                let machines = self.machines_in(id);
                let may_move = self.reserve_move(&[id], None, controller, &machines);
                if may_move {
                    self.raise_budgets(controller, &machines);
                }
                (controller, may_move)
            }
        };
        if may_lease {
            self.assign_shard(id, controller);
        }
    }

    /// Returns the new owner of a shard that a fenced process of this controller owned, or `None`
    /// while the allocation is still being assigned to another process in this pass.
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
            .or_else(|| self.live_controllers.first().cloned())
            .map(NewOwner::OtherController)
    }

    /// Returns the live controller for machines of this zone: preferably not one that recently
    /// lost contact with its machines, then one in the zone, then the one with the fewest
    /// machines.
    pub(super) fn owner_for_zone(&self, zone: &ZoneName) -> Option<ControllerName> {
        let is_in_zone = |controller: &ControllerName| {
            let record = self.cache.controllers.get(controller);
            record.is_some_and(|entry| entry.value.zone == *zone)
        };
        self.live_controllers
            .iter()
            .min_by_key(|controller| {
                let is_avoided = self.avoided_owners.contains(*controller);
                let machine_count = self.machine_counts.get(*controller).copied().unwrap_or(0);
                (
                    is_avoided,
                    !is_in_zone(controller),
                    machine_count,
                    *controller,
                )
            })
            .cloned()
    }

    /// Leases a shard to a controller's live process.
    pub(super) fn assign_shard(&mut self, id: ShardId, to: &ControllerName) {
        let Some(owner) = self.incarnation(to) else {
            return;
        };
        if let Some(shard) = self.shards.get_mut(&id) {
            let count = shard.machines.len();
            if let Some(machine_count) = self.machine_counts.get_mut(&shard.controller) {
                *machine_count = machine_count.saturating_sub(count);
            }
            *self.machine_counts.entry(to.clone()).or_default() += count;
            shard.controller = to.clone();
            shard.owner = owner;
            shard.cordoned = false;
        }
    }

    /// Whether the controller's live process holds its allocation, so that the budgets in it may
    /// be raised.
    pub(super) fn has_current_allocation(&self, controller: &ControllerName) -> bool {
        let owner = self.incarnation(controller);
        let allocation = self.allocations.get(controller);
        owner.is_some() && allocation.is_some_and(|allocation| allocation.owner == owner)
    }

    /// Whether moving these machines to a controller raises its budgets, since tasks run on
    /// them. Until the new owner has read that the machines are its own, it places tasks within
    /// the budgets that it knows, and only a change of its allocation makes these placements
    /// fail. If its budgets stayed the same and only max(budget, use) were counted for it, the
    /// quota of these placements would be granted to others as well.
    fn raises_budgets(&self, machines: &[MachineId]) -> bool {
        !self.cache.quota_used(machines.iter()).is_empty()
    }

    /// Raises a controller's budgets by the quota used on machines that are moved to it. This use
    /// cannot grow in the meantime, since no controller places tasks on these machines.
    pub(super) fn raise_budgets(&mut self, to: &ControllerName, machines: &[MachineId]) {
        let moved = self.cache.quota_used(machines.iter());
        if let Some(allocation) = self.allocations.get_mut(to) {
            for (team, used) in moved {
                let budget = allocation.budgets.entry(team).or_default();
                *budget = budget.plus(&used);
            }
        }
    }

    /// Reserves the changes for moving machines to a controller in this pass: those of the given
    /// shards, and of the allocations whose budgets change. Returns whether the move may happen in
    /// this pass.
    pub(super) fn reserve_move(
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
        self.reserve_changes(shards, &allocations)
    }
}
