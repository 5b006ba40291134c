//! Sends commands directly to agents.

use std::sync::Arc;

use tokio::time::Instant;

use super::ShardOwner;
use crate::{
    coordination::{
        agent_state::MessageSource,
        clients::{Command, CommandResponse, NoResponse},
        context::lock,
    },
    storage::{AgentEpoch, FencingToken, MachineId},
};

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
}
