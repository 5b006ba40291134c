//! Finds the machines that tasks can be routed to.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    coordination::policy::{placement::CandidateMachine, scale_in::PaidPeriods},
    storage::{
        ControllerName, ImageName, MachineId, Quota, Resources, StateCache,
        records::{MachineUse, ShardRecord},
    },
};

/// Machines that tasks can be routed to, with their owners.
#[derive(Clone, Debug, Default)]
pub struct FreeCapacity {
    /// The owners. Candidates refer to their owner by index.
    pub controllers: Vec<ControllerName>,
    /// The machines, including those without free resources, since tasks may be preempted
    /// there.
    pub candidates: Vec<CandidateMachine>,
}

impl FreeCapacity {
    /// Returns the free quota on each owner's machines.
    pub fn free_quota(&self) -> BTreeMap<ControllerName, Quota> {
        let mut free: BTreeMap<ControllerName, Quota> = BTreeMap::new();
        for candidate in &self.candidates {
            let owner = self.controllers[candidate.owner].clone();
            let sum = free.entry(owner).or_default();
            *sum = sum.plus(&Quota::from(&candidate.free).at_least_zero());
        }
        free
    }

    /// Returns the index of an owner that has candidates.
    pub(super) fn owner_index(&self, controller: &ControllerName) -> Option<usize> {
        self.controllers
            .iter()
            .position(|other| other == controller)
    }

    fn owner_index_or_new(&mut self, controller: &ControllerName) -> usize {
        self.owner_index(controller).unwrap_or_else(|| {
            self.controllers.push(controller.clone());
            self.controllers.len() - 1
        })
    }
}

/// A machine that takes tasks, as of its owner's last status.
pub struct UsableMachine {
    /// Images in its cache.
    pub images: Arc<Vec<ImageName>>,
    /// Learned speed relative to other machines of the type; 1 is typical.
    pub speed: f64,
    /// Resources of ended tasks that the state cache still counts as used.
    pub freed_resources: Resources,
}

/// Looks up an owner's machine; returns `None` if it takes no tasks at present.
pub type UsableMachines<'a> = &'a dyn Fn(&ControllerName, &MachineId) -> Option<UsableMachine>;

/// Returns the machines that the leader may route tasks to, including those without free
/// resources, since tasks may be preempted there.
pub fn candidate_machines(
    cache: &StateCache,
    usable: UsableMachines<'_>,
    now_ms: u64,
    paid_periods: PaidPeriods,
) -> FreeCapacity {
    let mut capacity = FreeCapacity::default();
    let shards = cache.shards.values().map(|entry| &entry.value);
    for shard in shards.filter(|shard| !shard.cordoned && cache.has_current_owner(shard)) {
        let owner = capacity.owner_index_or_new(&shard.controller);
        for (id, machine_use) in &shard.machines {
            if *machine_use == MachineUse::Cordoned {
                continue;
            }
            let candidate = candidate(cache, usable, shard, id);
            capacity.candidates.extend(candidate.map(|candidate| {
                let age = age_of(cache, id, now_ms);
                CandidateMachine {
                    owner,
                    time_until_return: (*machine_use == MachineUse::Draining)
                        .then(|| paid_periods.time_left(age)),
                    ..candidate
                }
            }));
        }
    }
    capacity
}

fn age_of(cache: &StateCache, id: &MachineId, now_ms: u64) -> Duration {
    let provisioned_ms = cache
        .machines
        .get(id)
        .map_or(now_ms, |record| record.provisioned_ms);
    Duration::from_millis(now_ms.saturating_sub(provisioned_ms))
}

/// Returns the machine with its free resources, or `None` if it takes no tasks at present.
fn candidate(
    cache: &StateCache,
    usable: UsableMachines<'_>,
    shard: &ShardRecord,
    id: &MachineId,
) -> Option<CandidateMachine> {
    let record = cache.machines.get(id)?;
    let machine_type = cache.machine_type(&record.machine_type)?;
    let machine = usable(&shard.controller, id)?;
    let mut free = machine_type.size;
    free -= cache.used_resources(id);
    // An owner's status is up to one second old and may still report freed resources that the
    // cache no longer counts as used. The free resources are therefore limited to the machine's
    // size.
    if cache.machine_loads.contains_key(id) {
        free += machine.freed_resources;
        free = free.at_most(&machine_type.size);
    }
    Some(CandidateMachine {
        free,
        speed: machine.speed,
        images: machine.images,
        ..CandidateMachine::empty(id.clone(), machine_type, &record.zone, record.spot)
    })
}
