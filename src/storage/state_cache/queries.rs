//! Queries of the cache: owners of machines, resources in use, and quota in use.

use std::collections::BTreeMap;

use super::{StateCache, Versioned};
use crate::storage::{
    ids::{ControllerName, MachineId, Revision, ShardId, TeamName, TypeName},
    model::{MachineType, Quota, Resources},
    records::ShardRecord,
};

impl StateCache {
    /// The shard that a machine is in.
    pub fn shard_of(&self, machine: &MachineId) -> Option<(ShardId, &Versioned<ShardRecord>)> {
        let id = self.leases.get(machine)?.shard;
        Some((id, self.shards.get(&id)?))
    }

    /// The revision of the change that gave the machine to its present owner. Commands of earlier
    /// owners carry a lower fencing token.
    pub fn owned_since(&self, machine: &MachineId) -> Revision {
        self.leases
            .get(machine)
            .map_or(Revision(0), |lease| lease.since)
    }

    /// Whether the owner in the shard's record may still act, that is, whether its controller's
    /// quota allocation still names that process.
    pub fn has_current_owner(&self, shard: &ShardRecord) -> bool {
        self.allocations
            .get(&shard.controller)
            .is_some_and(|allocation| allocation.value.owner == Some(shard.owner))
    }

    /// All machines of a controller's shards.
    pub fn machines_of<'a>(
        &'a self,
        controller: &'a ControllerName,
    ) -> impl Iterator<Item = &'a MachineId> {
        self.shards
            .values()
            .filter(move |entry| entry.value.controller == *controller)
            .flat_map(|entry| entry.value.machines.keys())
    }

    /// The machine type with this name in the catalog.
    pub fn machine_type(&self, name: &TypeName) -> Option<&MachineType> {
        self.catalog
            .as_ref()?
            .value
            .types
            .iter()
            .find(|machine_type| machine_type.name == *name)
    }

    /// The resources of a machine that the tasks placed on it use.
    pub fn used_resources(&self, machine: &MachineId) -> Resources {
        self.machine_loads
            .get(machine)
            .map(|load| load.used_resources)
            .unwrap_or_default()
    }

    /// The quota that the tasks placed on these machines use, by team.
    pub fn quota_used<'a>(
        &self,
        machines: impl Iterator<Item = &'a MachineId>,
    ) -> BTreeMap<TeamName, Quota> {
        let mut used: BTreeMap<TeamName, Quota> = BTreeMap::new();
        for machine in machines {
            for (team, quota) in self
                .machine_loads
                .get(machine)
                .iter()
                .flat_map(|load| &load.teams)
            {
                match used.get_mut(team) {
                    Some(sum) => *sum = sum.plus(quota),
                    None => {
                        used.insert(team.clone(), *quota);
                    }
                }
            }
        }
        used
    }

    /// The quota that the tasks on each controller's machines use, by team.
    pub fn quota_by_controller(&self) -> BTreeMap<ControllerName, BTreeMap<TeamName, Quota>> {
        self.allocations
            .keys()
            .map(|controller| {
                (
                    controller.clone(),
                    self.quota_used(self.machines_of(controller)),
                )
            })
            .collect()
    }
}
