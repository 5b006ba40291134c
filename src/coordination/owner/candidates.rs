//! The machines of our shards that may take tasks now.

use std::time::Duration;

use tokio::time::Instant;

use super::{OwnerState, ShardOwner};
use crate::{
    coordination::{agent_state::AgentState, policy::placement::CandidateMachine},
    storage::{
        AMOUNT_SLACK, MachineType, Resources, StateCache, records::MachineUse,
        state_cache::MachineLoad,
    },
};

/// A machine takes no tasks after so many heartbeat intervals without a heartbeat.
const MAX_SILENCE_INTERVALS: f64 = 1.5;

impl ShardOwner {
    /// Free room on our machines, as far as it may be used now.
    pub(super) fn candidates(
        &self,
        state: &OwnerState,
        cache: &StateCache,
        now: Instant,
    ) -> Vec<CandidateMachine> {
        let now_ms = self.context.config.now_ms();
        self.context
            .own_shards(cache)
            .filter(|(_, entry)| !entry.value.cordoned)
            .flat_map(|(_, entry)| &entry.value.machines)
            .filter_map(|(id, usage)| {
                let agent = state.agents.get(id)?;
                let record = cache.machines.get(id)?;
                let machine_type = cache.machine_type(&record.kind)?;
                if *usage == MachineUse::Cordoned || !self.may_take_tasks(state, agent, now) {
                    return None;
                }
                let room = free_room(machine_type, agent, cache.on_machine.get(id));
                if room.cpus < AMOUNT_SLACK {
                    return None;
                }
                let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
                Some(CandidateMachine {
                    owner: 0,
                    machine: id.clone(),
                    kind: record.kind.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                    free: room,
                    size: machine_type.size,
                    fetch_gb_per_s: machine_type.fetch_gb_per_s,
                    speed: agent.speed,
                    images: agent.images(),
                    time_until_return: (*usage == MachineUse::Draining)
                        .then(|| self.context.config.tuning.paid.time_left(age)),
                })
            })
            .collect()
    }

    /// Whether an agent is up, hears our commands and has nothing in doubt, on a machine
    /// that stays and is not quarantined.
    fn may_take_tasks(&self, state: &OwnerState, agent: &AgentState, now: Instant) -> bool {
        let config = &self.context.config;
        let max_silence = config.heartbeat_interval.mul_f64(MAX_SILENCE_INTERVALS);
        agent.has_heartbeat
            && agent.time_since_heartbeat(now) <= max_silence
            && !agent.unreachable
            && agent.in_doubt_start.is_none()
            && agent.leaves_at.is_none()
            && !state.is_quarantined(agent, now)
            && !agent.is_command_path_lost(config.command_path_timeout(), now)
    }
}

/// What no placed task takes of a machine; the room of ended ones is free.
fn free_room(
    machine_type: &MachineType,
    agent: &AgentState,
    load: Option<&MachineLoad>,
) -> Resources {
    let mut room = machine_type.size;
    if let Some(load) = load {
        room -= load.taken;
        room += agent.freed(load);
    }
    room
}
