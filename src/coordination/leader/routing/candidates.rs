//! The machines that tasks can be routed to.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    coordination::policy::{placement, scale_in},
    storage::{
        ControllerName, ImageName, MachineId, Quota, Resources, StateCache, records::MachineUse,
    },
};

/// Machines that tasks can be routed to; a slot's group tells its owner.
#[derive(Clone, Debug, Default)]
pub struct FreeCapacity {
    pub controllers: Vec<ControllerName>,
    pub candidates: Vec<placement::CandidateMachine>,
}

impl FreeCapacity {
    /// What is free on each owner's machines.
    pub fn free_quota(&self) -> BTreeMap<ControllerName, Quota> {
        let mut free: BTreeMap<ControllerName, Quota> = BTreeMap::new();
        for candidate in &self.candidates {
            let sum = free
                .entry(self.controllers[candidate.owner].clone())
                .or_default();
            *sum = sum.plus(&Quota::from(&candidate.room).at_least_zero());
        }
        free
    }
}

/// An owner's machine that takes tasks; none if it takes none now.
pub type UsableMachines<'a> = &'a dyn Fn(&ControllerName, &MachineId) -> Option<UsableMachine>;

pub struct UsableMachine {
    pub images: Arc<Vec<ImageName>>,
    pub speed: f64,
    /// Room of ended tasks that the cache still counts.
    pub freed: Resources,
}

/// The machines that the leader may route tasks to. Full ones are among them,
/// since others may be stopped there.
pub fn candidate_machines(
    cache: &StateCache,
    usable: UsableMachines<'_>,
    now_ms: u64,
    paid: scale_in::PaidPeriods,
) -> FreeCapacity {
    let mut open = FreeCapacity::default();
    for entry in cache.shards.values() {
        let shard = &entry.value;
        if shard.cordoned || !cache.has_current_owner(shard) {
            continue;
        }
        let owner = match open
            .controllers
            .iter()
            .position(|controller| *controller == shard.controller)
        {
            Some(owner) => owner,
            None => {
                open.controllers.push(shard.controller.clone());
                open.controllers.len() - 1
            }
        };
        for (id, machine_use) in &shard.machines {
            let Some(record) = cache.machines.get(id) else {
                continue;
            };
            let Some(kind) = cache.machine_type(&record.kind) else {
                continue;
            };
            if *machine_use == MachineUse::Cordoned {
                continue;
            }
            let Some(usage) = usable(&shard.controller, id) else {
                continue;
            };
            let mut room = kind.size;
            room -= cache.taken(id);
            // What an owner says is behind by up to a second: never more than
            // the cache counts.
            if cache.on_machine.contains_key(id) {
                room += usage.freed;
                room = room.at_most(&kind.size);
            }
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            open.candidates.push(placement::CandidateMachine {
                owner,
                machine: id.clone(),
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                room,
                size: kind.size,
                fetch_gb_per_s: kind.fetch_gb_per_s,
                speed: usage.speed,
                images: usage.images,
                leaves_in: (*machine_use == MachineUse::Draining).then(|| paid.left(age)),
            });
        }
    }
    open
}
