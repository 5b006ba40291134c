//! The machines that tasks can be routed to.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    coordination::policy::{giveback, placement},
    storage::{ImageName, MachineId, NodeName, Quota, Resources, StateCache, records::MachineUse},
};

/// Machines that tasks can be routed to; a slot's group tells its holder.
#[derive(Clone, Debug, Default)]
pub struct Open {
    pub nodes: Vec<NodeName>,
    pub slots: Vec<placement::Slot>,
}

impl Open {
    /// What is free on each holder's machines.
    pub fn free_quota(&self) -> BTreeMap<NodeName, Quota> {
        let mut free: BTreeMap<NodeName, Quota> = BTreeMap::new();
        for slot in &self.slots {
            let sum = free.entry(self.nodes[slot.group].clone()).or_default();
            *sum = sum.plus(&Quota::from(&slot.room).at_least_zero());
        }
        free
    }
}

/// A holder's machine that takes tasks; none if it takes none now.
pub type Usable<'a> = &'a dyn Fn(&NodeName, &MachineId) -> Option<Usage>;

pub struct Usage {
    pub images: Arc<Vec<ImageName>>,
    pub speed: f64,
    /// Room of ended tasks that the cache still counts.
    pub freed: Resources,
}

/// The machines that the leader may route tasks to. Full ones are among them,
/// since others may be stopped there.
pub fn open_machines(
    cache: &StateCache,
    usable: Usable<'_>,
    now_ms: u64,
    paid: giveback::PaidPeriods,
) -> Open {
    let mut open = Open::default();
    for kept in cache.blocks.values() {
        let block = &kept.value;
        if block.frozen || !cache.is_seated(block) {
            continue;
        }
        let group = match open.nodes.iter().position(|node| *node == block.node) {
            Some(group) => group,
            None => {
                open.nodes.push(block.node.clone());
                open.nodes.len() - 1
            }
        };
        for (id, machine_use) in &block.machines {
            let Some(record) = cache.machines.get(id) else {
                continue;
            };
            let Some(kind) = cache.machine_type(&record.kind) else {
                continue;
            };
            if *machine_use == MachineUse::Frozen {
                continue;
            }
            let Some(usage) = usable(&block.node, id) else {
                continue;
            };
            let mut room = kind.size;
            room -= cache.taken(id);
            // What a holder says is behind by up to a second: never more than
            // the cache counts.
            if cache.on_machine.contains_key(id) {
                room += usage.freed;
                room = room.at_most(&kind.size);
            }
            let age = Duration::from_millis(now_ms.saturating_sub(record.rented_ms));
            open.slots.push(placement::Slot {
                group,
                machine: id.clone(),
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                room,
                size: kind.size,
                fetch_gb_per_s: kind.fetch_gb_per_s,
                speed: usage.speed,
                images: usage.images,
                leaves_in: (*machine_use == MachineUse::Marked).then(|| paid.left(age)),
            });
        }
    }
    open
}
