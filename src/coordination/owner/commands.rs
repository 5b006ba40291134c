//! Sends commands directly to agents, and probes agents whose heartbeats are missing.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::ShardOwner;
use crate::{
    coordination::{
        agent_state::MessageSource,
        clients::{Command, CommandResponse, NoResponse},
        context::lock,
    },
    storage::{AgentEpoch, FencingToken, MachineId, StateCache},
};

/// Maximum number of machines probed at a time.
const MAX_PROBES: usize = 48;
/// Pause between two searches for machines to probe.
const PROBE_SCAN_INTERVAL: Duration = Duration::from_millis(700);
/// Minimum time between two probes of one machine.
const REPROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of heartbeat intervals without a heartbeat after which a machine is probed.
const MISSING_HEARTBEAT_INTERVALS: f64 = 1.3;

/// Commands for one agent, with its address and the fencing token and epoch by which the
/// agent decides whether to execute them.
struct AddressedCommands {
    machine: MachineId,
    address: String,
    token: FencingToken,
    epoch: AgentEpoch,
    commands: Vec<Command>,
    /// Whether the commands start tasks. If there is no response, these starts are in doubt.
    has_starts: bool,
}

/// A machine to be probed, with the address of its agent if it is known.
struct ProbeTarget {
    machine: MachineId,
    address: Option<String>,
}

impl ShardOwner {
    /// Sends commands directly to an agent; the response to its next heartbeat repeats them.
    ///
    /// `start_epoch` is the epoch of the placements if the commands start tasks: a task that
    /// started in a later epoch would run although its placement counts as terminated.
    /// `None` means that the commands start no tasks and are valid in the agent's present
    /// epoch.
    pub(super) fn send_commands(
        self: &Arc<Self>,
        machine: MachineId,
        start_epoch: Option<AgentEpoch>,
        commands: Vec<Command>,
    ) {
        let Some(addressed) = self.address_commands(machine, start_epoch, commands) else {
            return;
        };
        let owner = self.clone();
        tokio::spawn(async move {
            let response = {
                // Limits the number of sockets that commands use.
                let _permit = owner.commands_in_flight.acquire().await;
                owner
                    .context
                    .agent_client
                    .send_commands(
                        &addressed.address,
                        addressed.token,
                        addressed.epoch,
                        &addressed.commands,
                    )
                    .await
            };
            owner.handle_command_response(&addressed, response);
        });
    }

    /// Addresses commands to the agent of one of this owner's machines, and counts the
    /// request as in flight if it has starts. Returns `None` if this process does not own the
    /// machine, or the address of its agent is not known.
    fn address_commands(
        &self,
        machine: MachineId,
        start_epoch: Option<AgentEpoch>,
        commands: Vec<Command>,
    ) -> Option<AddressedCommands> {
        let cache = self.context.store.cache();
        let (_, shard) = self.context.own_shard_of(&cache, &machine)?;
        let mut state = lock(&self.state);
        let agent = state.agents.get_mut(&machine)?;
        let address = agent.address.clone()?;
        let token = FencingToken::from(shard.revision);
        let epoch = start_epoch.unwrap_or(agent.epoch);
        let has_starts = start_epoch.is_some();
        if has_starts {
            agent.note_starts_sent(&commands, token, epoch);
        }
        Some(AddressedCommands {
            address,
            token,
            epoch,
            commands,
            has_starts,
            machine,
        })
    }

    /// Applies the agent's response. Without one, the starts of the request are in doubt.
    fn handle_command_response(
        &self,
        sent: &AddressedCommands,
        response: Result<CommandResponse, NoResponse>,
    ) {
        let AddressedCommands { machine, token, .. } = sent;
        let now = Instant::now();
        let cache = self.context.store.cache();
        let mut state = lock(&self.state);
        let Some(agent) = state.agents.get_mut(machine) else {
            return;
        };
        if sent.has_starts {
            agent.note_start_request_ended();
        }
        match response {
            Ok(response) => {
                if !response.executed {
                    tracing::debug!(%machine, %token, "commands not executed");
                }
                agent.apply(&response.heartbeat, MessageSource::Direct, now);
                self.note_results(&mut state, &cache, machine, now);
                drop(state);
                drop(cache);
                self.context.owner_wakeup.notify_one();
            }
            Err(error) => {
                tracing::debug!(%machine, %error, "commands unanswered");
                if sent.has_starts {
                    agent.note_start_in_doubt(*token, now);
                }
            }
        }
    }

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

    /// Returns the machines whose heartbeats are missing and that were not probed recently,
    /// and marks them as probed now.
    fn probe_targets(&self, cache: &StateCache) -> Vec<ProbeTarget> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let heartbeat_interval = self.context.config.heartbeat_interval;
        let missing_after = heartbeat_interval.mul_f64(MISSING_HEARTBEAT_INTERVALS);
        state
            .agents
            .iter_mut()
            .filter(|(_, agent)| {
                agent.time_since_heartbeat(now) > missing_after
                    && agent
                        .probed_at
                        .is_none_or(|probed_at| now.duration_since(probed_at) > REPROBE_INTERVAL)
            })
            .take(MAX_PROBES)
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
