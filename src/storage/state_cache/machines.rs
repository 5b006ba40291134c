//! Changes of shards and machine groups, and the state of their machines that follows from
//! them: the shard of each machine, and whether the tasks on it count as lost.

use std::collections::BTreeMap;

use super::{ShardLease, StateCache, Versioned};
use crate::storage::{
    ids::{MachineId, ProvisionId, ShardId, TaskId},
    records::{MachineGroupRecord, MachineRecord, ShardRecord},
};

/// The machines of a group, each with its agent's address once that is known.
type GroupMachines = BTreeMap<MachineId, Option<String>>;

impl StateCache {
    /// Sets or removes a shard, together with the leases of its machines.
    pub(super) fn replace_shard(&mut self, id: ShardId, record: Option<Versioned<ShardRecord>>) {
        let old = self.shards.remove(&id);
        if let Some(record) = record {
            let ShardRecord {
                controller, owner, ..
            } = &record.value;
            for machine in record.value.machines.keys() {
                let same_owner = self
                    .leases
                    .get(machine)
                    .filter(|lease| lease.controller == *controller && lease.owner == *owner);
                let since = same_owner.map_or(record.revision, |lease| lease.since);
                let lease = ShardLease {
                    shard: id,
                    controller: controller.clone(),
                    owner: *owner,
                    since,
                };
                self.leases.insert(machine.clone(), lease);
            }
            self.shards.insert(id, record);
        }
        for machine in old.iter().flat_map(|entry| entry.value.machines.keys()) {
            let stays = self
                .shards
                .get(&id)
                .is_some_and(|entry| entry.value.machines.contains_key(machine));
            if !stays
                && self
                    .leases
                    .get(machine)
                    .is_some_and(|lease| lease.shard == id)
            {
                self.leases.remove(machine);
            }
        }
    }

    /// Sets or removes a machine group, together with its machines. The tasks on removed machines
    /// count as lost and wait again; those on added machines no longer count as lost.
    pub(super) fn replace_machine_group(
        &mut self,
        provision_id: ProvisionId,
        record: Option<Versioned<MachineGroupRecord>>,
    ) {
        let old = self.machine_groups.remove(&provision_id);
        let before = old.as_ref().map(|entry| &entry.value.machines);
        let after = record.as_ref().map(|entry| &entry.value.machines);
        let removed = machines_only_in(before, after);
        let added = machines_only_in(after, before);
        for machine in &removed {
            self.machines.remove(machine);
        }
        if let Some(entry) = record {
            self.add_machines(&provision_id, &entry.value);
            self.machine_groups.insert(provision_id, entry);
        }
        for machine in &removed {
            self.set_machine_lost(machine, true);
        }
        for machine in &added {
            self.set_machine_lost(machine, false);
        }
    }

    fn add_machines(&mut self, provision_id: &ProvisionId, machine_group: &MachineGroupRecord) {
        for (machine, address) in &machine_group.machines {
            let record = MachineRecord {
                machine_type: machine_group.machine_type.clone(),
                zone: machine_group.zone.clone(),
                spot: machine_group.spot,
                provisioned_ms: machine_group.provisioned_ms,
                address: address.clone(),
                machine_group: provision_id.clone(),
            };
            self.machines.insert(machine.clone(), record);
        }
    }

    /// Sets whether the tasks placed on a machine count as lost, so that they wait again.
    fn set_machine_lost(&mut self, machine: &MachineId, lost: bool) {
        let load = self.machine_loads.get(machine).into_iter();
        let tasks: Vec<TaskId> = load.flat_map(|load| load.tasks.keys().cloned()).collect();
        for task in tasks {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if lost {
                    job.lost_tasks.insert(task.index);
                } else {
                    job.lost_tasks.remove(&task.index);
                }
            }
            self.index(&task.job);
        }
    }
}

/// Returns the machines that are in one version of a machine group and not in the other.
fn machines_only_in(one: Option<&GroupMachines>, other: Option<&GroupMachines>) -> Vec<MachineId> {
    one.into_iter()
        .flat_map(BTreeMap::keys)
        .filter(|id| other.is_none_or(|machines| !machines.contains_key(*id)))
        .cloned()
        .collect()
}
