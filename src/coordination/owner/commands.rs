//! Commands sent directly to agents, and probes of unresponsive ones.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::ShardOwner;
use crate::{
    coordination::{
        agent_state::MessageSource,
        clients::{Command, CommandResponse, NoAnswer},
        context::lock,
    },
    storage::{AgentEpoch, MachineId, StateCache, Token},
};

/// Unresponsive machines probed at a time.
const MAX_PROBES: usize = 48;
/// Pause between two looks for machines to probe.
const PROBE_PAUSE: Duration = Duration::from_millis(700);
/// A machine is probed again after this long.
const REPROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A heartbeat is missing after this many heartbeat intervals.
const MISSING_AFTER_INTERVALS: f64 = 1.3;

/// Commands for one agent, with what it needs to check them.
struct AddressedCommands {
    machine: MachineId,
    address: String,
    token: Token,
    epoch: AgentEpoch,
    commands: Vec<Command>,
    /// They start tasks: without an answer these starts are in doubt.
    has_starts: bool,
}

/// A machine to be probed, with its agent's address if that is known.
struct ProbeTarget {
    machine: MachineId,
    address: Option<String>,
}

impl ShardOwner {
    /// Sends commands directly; the next answer to a heartbeat repeats them. A
    /// start is for the epoch that its placement names: executed in a later
    /// one, it would run although the placement counts as gone. `start_epoch`: that epoch;
    /// none: the commands start nothing, and are for the agent's present epoch.
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
            let answer = {
                // Bounds the sockets that commands take.
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
            owner.note_command_answer(&addressed, answer);
        });
    }

    /// Addresses commands to the agent of a machine of ours, and counts starts among them
    /// as under way; none if the machine is not ours or its agent is not known.
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
        let has_starts = start_epoch.is_some();
        if has_starts {
            agent.start_sent();
        }
        Some(AddressedCommands {
            address,
            token: Token::from(shard.revision),
            epoch: start_epoch.unwrap_or(agent.epoch),
            commands,
            has_starts,
            machine,
        })
    }

    /// Applies the agent's answer, or notes that starts are in doubt without one.
    fn note_command_answer(
        &self,
        sent: &AddressedCommands,
        answer: Result<CommandResponse, NoAnswer>,
    ) {
        let AddressedCommands { machine, token, .. } = sent;
        let now = Instant::now();
        let cache = self.context.store.cache();
        let mut state = lock(&self.state);
        let Some(agent) = state.agents.get_mut(machine) else {
            return;
        };
        if sent.has_starts {
            agent.start_answered();
        }
        match answer {
            Ok(answer) => {
                if !answer.executed {
                    tracing::debug!(%machine, %token, "commands not executed");
                }
                agent.apply(&answer.heartbeat, MessageSource::Direct, now);
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

    /// Duty: probes machines whose heartbeats are missing.
    pub(in crate::coordination) async fn probe_unresponsive(&self) {
        while self.context.pause(PROBE_PAUSE).await {
            let targets = {
                let cache = self.context.store.cache();
                self.probe_targets(&cache)
            };
            let probes = targets.into_iter().map(|target| self.probe(target));
            futures::future::join_all(probes).await;
        }
    }

    /// The machines whose heartbeats are missing and that were not probed lately; they
    /// count as probed from now on.
    fn probe_targets(&self, cache: &StateCache) -> Vec<ProbeTarget> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let heartbeat_interval = self.context.config.heartbeat_interval;
        let missing_after = heartbeat_interval.mul_f64(MISSING_AFTER_INTERVALS);
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

    async fn probe(&self, target: ProbeTarget) {
        // Never seen up: it is booting, and the leader minds that.
        let Some(address) = target.address else {
            return;
        };
        let answer = self.context.agent_client.inspect(&address).await;
        let mut state = lock(&self.state);
        let Some(agent) = state.agents.get_mut(&target.machine) else {
            return;
        };
        match answer {
            Ok(heartbeat) => {
                agent.apply(&heartbeat, MessageSource::Direct, Instant::now());
                agent.unreachable = false;
            }
            Err(_) => agent.unreachable = true,
        }
    }
}
