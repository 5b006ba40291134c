//! Probes agents whose heartbeats are missing.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::ShardOwner;
use crate::{
    coordination::{
        agent_state::{AgentState, MessageSource},
        context::lock,
    },
    storage::{MachineId, StateCache},
};

/// Maximum number of machines probed at a time.
const MAX_PROBES: usize = 48;
/// Pause between two searches for machines to probe.
const PROBE_SCAN_INTERVAL: Duration = Duration::from_millis(700);
/// Minimum time between two probes of one machine.
const REPROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of heartbeat intervals without a heartbeat after which a machine is probed.
const MISSING_HEARTBEAT_INTERVALS: f64 = 1.3;

/// A machine to be probed, with the address of its agent if it is known.
struct ProbeTarget {
    machine: MachineId,
    address: Option<String>,
}

impl ShardOwner {
    /// Probes machines whose heartbeats are missing, until the controller stops.
    pub(in crate::coordination) async fn probe_unresponsive(&self) {
        while self.context.sleep_unless_stopped(PROBE_SCAN_INTERVAL).await {
            let targets = {
                let cache = self.context.store.cache();
                self.probe_targets(&cache)
            };
            let probes = targets.into_iter().map(|target| self.probe(target));
            futures::future::join_all(probes).await;
        }
    }

    /// Returns the machines that are to be probed now, and marks them as probed.
    fn probe_targets(&self, cache: &StateCache) -> Vec<ProbeTarget> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let heartbeat_interval = self.context.config.heartbeat_interval;
        let missing_after = heartbeat_interval.mul_f64(MISSING_HEARTBEAT_INTERVALS);
        select_for_probe(&mut state.agents, missing_after, now)
            .into_iter()
            .map(|(machine, agent)| {
                agent.probed_at = Some(now);
                let recorded = cache
                    .machines
                    .get(machine)
                    .and_then(|record| record.address.clone());
                ProbeTarget {
                    machine: machine.clone(),
                    address: agent.address.clone().or(recorded),
                }
            })
            .collect()
    }

    /// Probes one agent, and applies its response or marks it as unreachable.
    async fn probe(&self, target: ProbeTarget) {
        // Without an address the machine is still booting; the leader handles boot timeouts.
        let Some(address) = target.address else {
            return;
        };
        let response = self.context.agent_client.inspect(&address).await;
        let mut state = lock(&self.state);
        let Some(agent) = state.agents.get_mut(&target.machine) else {
            return;
        };
        match response {
            Ok(heartbeat) => {
                agent.apply(&heartbeat, MessageSource::Direct, Instant::now());
                agent.unreachable = false;
            }
            Err(_) => agent.unreachable = true,
        }
    }
}

/// Returns up to [`MAX_PROBES`] machines without a heartbeat for `missing_after` that were not probed
/// recently, first those whose last probe was longest ago. In the order of their names the same
/// ones would be probed again and again while more of them are unresponsive.
fn select_for_probe(
    agents: &mut BTreeMap<MachineId, AgentState>,
    missing_after: Duration,
    now: Instant,
) -> Vec<(&MachineId, &mut AgentState)> {
    let mut due: Vec<(&MachineId, &mut AgentState)> = agents
        .iter_mut()
        .filter(|(_, agent)| {
            agent.time_since_heartbeat(now) > missing_after
                && agent
                    .probed_at
                    .is_none_or(|probed_at| now.duration_since(probed_at) > REPROBE_INTERVAL)
        })
        .collect();
    due.sort_by_key(|(_, agent)| agent.probed_at);
    due.truncate(MAX_PROBES);
    due
}

#[cfg(test)]
mod tests;
