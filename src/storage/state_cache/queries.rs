//! Queries of the cache: its keys, owners of machines, resources in use, and quota in use.

use std::collections::BTreeMap;

use super::{StateCache, Versioned};
use crate::storage::{
    ids::{ControllerName, MachineId, Revision, ShardId, TeamName, TypeName},
    keys,
    model::{MachineType, Quota, Resources},
    records::ShardRecord,
};

impl StateCache {
    /// The keys of the live set, each with the revision of its cached value. A cache at the
    /// service's revision has exactly the keys of the service.
    pub fn key_revisions(&self) -> BTreeMap<String, Revision> {
        let mut revisions = BTreeMap::new();
        for (id, job) in &self.jobs {
            revisions.extend(job.spec.iter().map(|spec| (keys::spec(id), spec.revision)));
            revisions.extend(job.cleanup_since.map(|since| (keys::cleanup(id), since)));
            let runs = job.run_records.iter();
            revisions.extend(runs.map(|(index, run)| (keys::run(id, *index), run.revision)));
        }
        revisions.extend(keyed(&self.allocations, keys::allocation));
        revisions.extend(keyed(&self.shards, |id| keys::shard(*id)));
        revisions.extend(keyed(&self.machine_groups, keys::machine_group));
        revisions.extend(keyed(&self.provision_requests, keys::provision_request));
        revisions.extend(keyed(&self.controllers, keys::controller));
        revisions.extend(single(keys::LEADER, self.leader.as_ref()));
        revisions.extend(single(keys::CATALOG, self.catalog.as_ref()));
        revisions.extend(single(keys::COMMON_VERSION, self.common_version.as_ref()));
        revisions
    }

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

/// The keys of a map's entries, each with the revision of its value.
fn keyed<K, T>(
    entries: &BTreeMap<K, Versioned<T>>,
    key: impl Fn(&K) -> String,
) -> impl Iterator<Item = (String, Revision)> {
    entries
        .iter()
        .map(move |(id, entry)| (key(id), entry.revision))
}

/// The key of a record that has a single key, with the revision of its value, if it is cached.
fn single<T>(key: &str, entry: Option<&Versioned<T>>) -> Option<(String, Revision)> {
    entry.map(|entry| (key.to_owned(), entry.revision))
}
