//! Selects the machines of this owner's shards on which tasks may be placed now.

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

/// Number of heartbeat intervals without a heartbeat after which a machine takes no tasks.
const MAX_HEARTBEAT_AGE_INTERVALS: f64 = 1.5;

impl ShardOwner {
    /// Returns the machines with free resources on which tasks may be placed now.
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
                let machine_type = cache.machine_type(&record.machine_type)?;
                if *usage == MachineUse::Cordoned || !self.may_take_tasks(state, agent, now) {
                    return None;
                }
                let free = free_resources(machine_type, agent, cache.machine_loads.get(id));
                if free.cpus < AMOUNT_SLACK {
                    return None;
                }
                let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
                Some(CandidateMachine {
                    owner: 0,
                    machine: id.clone(),
                    machine_type: record.machine_type.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                    free,
                    size: machine_type.size,
                    fetch_gb_per_s: machine_type.fetch_gb_per_s,
                    speed: agent.speed,
                    images: agent.images(),
                    time_until_return: (*usage == MachineUse::Draining)
                        .then(|| self.context.config.tuning.paid_periods.time_left(age)),
                })
            })
            .collect()
    }

    /// Whether tasks may be placed on the agent's machine: the agent sends heartbeats and
    /// receives commands, no start on it is in doubt, and the machine is neither quarantined
    /// nor about to be reclaimed by the cloud.
    fn may_take_tasks(&self, state: &OwnerState, agent: &AgentState, now: Instant) -> bool {
        let config = &self.context.config;
        let max_heartbeat_age = config
            .heartbeat_interval
            .mul_f64(MAX_HEARTBEAT_AGE_INTERVALS);
        agent.has_heartbeat
            && agent.time_since_heartbeat(now) <= max_heartbeat_age
            && !agent.unreachable
            && agent.in_doubt_start.is_none()
            && agent.reclaim_at.is_none()
            && !state.is_quarantined(agent, now)
            && !agent.is_command_path_lost(config.command_path_timeout(), now)
    }
}

/// Returns the resources of a machine that no placed task uses; those of ended tasks are free.
fn free_resources(
    machine_type: &MachineType,
    agent: &AgentState,
    load: Option<&MachineLoad>,
) -> Resources {
    let mut free = machine_type.size;
    if let Some(load) = load {
        free -= load.used_resources;
        free += agent.freed_resources(load);
    }
    free
}
