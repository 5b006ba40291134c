//! The machines that tasks can be routed to.

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
    /// The owners; a candidate names its own by the index in here.
    pub controllers: Vec<ControllerName>,
    /// The machines. Full ones are among them, since others may be preempted there.
    pub candidates: Vec<CandidateMachine>,
}

impl FreeCapacity {
    /// What is free on each owner's machines.
    pub fn free_quota(&self) -> BTreeMap<ControllerName, Quota> {
        let mut free: BTreeMap<ControllerName, Quota> = BTreeMap::new();
        for candidate in &self.candidates {
            let owner = self.controllers[candidate.owner].clone();
            let sum = free.entry(owner).or_default();
            *sum = sum.plus(&Quota::from(&candidate.room).at_least_zero());
        }
        free
    }

    /// The index of an owner that has candidates.
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

/// What an owner said last of a machine that takes tasks.
pub struct UsableMachine {
    /// Images in its cache.
    pub images: Arc<Vec<ImageName>>,
    /// Learned speed; 1 is usual.
    pub speed: f64,
    /// Room of ended tasks that the cache still counts.
    pub freed: Resources,
}

/// Looks up an owner's machine; none if it takes no tasks now.
pub type UsableMachines<'a> = &'a dyn Fn(&ControllerName, &MachineId) -> Option<UsableMachine>;

/// The machines that the leader may route tasks to. Full ones are among them,
/// since others may be stopped there.
pub fn candidate_machines(
    cache: &StateCache,
    usable: UsableMachines<'_>,
    now_ms: u64,
    paid: PaidPeriods,
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
                    leaves_in: (*machine_use == MachineUse::Draining).then(|| paid.left(age)),
                    ..candidate
                }
            }));
        }
    }
    capacity
}

fn age_of(cache: &StateCache, id: &MachineId, now_ms: u64) -> Duration {
    let provisioned_ms = cache.machines.get(id).map_or(now_ms, |m| m.provisioned_ms);
    Duration::from_millis(now_ms.saturating_sub(provisioned_ms))
}

/// The machine with what is free on it; none if it takes no tasks now.
fn candidate(
    cache: &StateCache,
    usable: UsableMachines<'_>,
    shard: &ShardRecord,
    id: &MachineId,
) -> Option<CandidateMachine> {
    let record = cache.machines.get(id)?;
    let machine_type = cache.machine_type(&record.kind)?;
    let machine = usable(&shard.controller, id)?;
    let mut room = machine_type.size;
    room -= cache.taken(id);
    // What an owner says is behind by up to a second: never more than
    // the cache counts.
    if cache.on_machine.contains_key(id) {
        room += machine.freed;
        room = room.at_most(&machine_type.size);
    }
    Some(CandidateMachine {
        room,
        speed: machine.speed,
        images: machine.images,
        ..CandidateMachine::empty(id.clone(), machine_type, &record.zone, record.spot)
    })
}
