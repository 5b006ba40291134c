//! Commands sent directly to agents, and probes of unresponsive ones.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::ShardOwner;
use crate::{
    coordination::{agent_state::MessageSource, clients::Command, context::lock},
    storage::{AgentEpoch, MachineId, Token},
};

/// Unresponsive machines probed at a time.
const MAX_PROBES: usize = 48;

impl ShardOwner {
    /// Sends commands directly; the next answer to a heartbeat repeats them. A
    /// start is for the epoch that its placement names: executed in a later
    /// one, it would run although the placement counts as gone.
    pub(super) fn send_commands(
        self: &Arc<Self>,
        machine: MachineId,
        epoch: Option<AgentEpoch>,
        commands: Vec<Command>,
    ) {
        let starts = epoch.is_some();
        let (address, epoch, token) = {
            let cache = self.context.store.cache();
            let Some((_, shard)) = self.context.own_shard_of(&cache, &machine) else {
                return;
            };
            let mut state = lock(&self.state);
            let Some(agent) = state.agents.get_mut(&machine) else {
                return;
            };
            let Some(address) = agent.address.clone() else {
                return;
            };
            if starts {
                agent.start_sent();
            }
            let epoch = epoch.unwrap_or(agent.epoch);
            (address, epoch, Token::from(shard.revision))
        };
        let owner = self.clone();
        tokio::spawn(async move {
            let answer = {
                // Bounds the sockets that commands take.
                let _place = owner.commands_in_flight.acquire().await;
                owner
                    .context
                    .agent_client
                    .send_commands(&address, token, epoch, &commands)
                    .await
            };
            let now = Instant::now();
            let cache = owner.context.store.cache();
            let mut state = lock(&owner.state);
            let Some(agent) = state.agents.get_mut(&machine) else {
                return;
            };
            if starts {
                agent.start_answered();
            }
            match answer {
                Ok(answer) => {
                    if !answer.executed {
                        tracing::debug!(%machine, %token, "commands not executed");
                    }
                    agent.apply(&answer.heartbeat, MessageSource::Direct, now);
                    owner.note_results(&mut state, &cache, &machine, now);
                    drop(state);
                    drop(cache);
                    owner.context.owner_wakeup.notify_one();
                }
                Err(error) => {
                    tracing::debug!(%machine, %error, "commands unanswered");
                    if starts {
                        agent.note_start_in_doubt(token, now);
                    }
                }
            }
        });
    }

    /// Duty: probes machines whose heartbeats are missing.
    pub(in crate::coordination) async fn probe_unresponsive(&self) {
        while self.context.pause(Duration::from_millis(700)).await {
            let unresponsive: Vec<(MachineId, Option<String>)> = {
                let cache = self.context.store.cache();
                let now = Instant::now();
                let mut state = lock(&self.state);
                let after = self.context.config.heartbeat_interval.mul_f64(1.3);
                state
                    .agents
                    .iter_mut()
                    .filter(|(_, agent)| {
                        agent.time_since_heartbeat(now) > after
                            && agent
                                .probed
                                .is_none_or(|at| now.duration_since(at) > Duration::from_secs(1))
                    })
                    .take(MAX_PROBES)
                    .map(|(id, agent)| {
                        agent.probed = Some(now);
                        let known = cache
                            .machines
                            .get(id)
                            .and_then(|record| record.address.clone());
                        (id.clone(), agent.address.clone().or(known))
                    })
                    .collect()
            };
            let probes = unresponsive.into_iter().map(|(id, address)| async move {
                // Never seen up: it is booting, and the leader minds that.
                let Some(address) = address else { return };
                let answer = self.context.agent_client.inspect(&address).await;
                let mut state = lock(&self.state);
                let Some(agent) = state.agents.get_mut(&id) else {
                    return;
                };
                match answer {
                    Ok(heartbeat) => {
                        agent.apply(&heartbeat, MessageSource::Direct, Instant::now());
                        agent.unreachable = false;
                    }
                    Err(_) => agent.unreachable = true,
                }
            });
            futures::future::join_all(probes).await;
        }
    }
}
