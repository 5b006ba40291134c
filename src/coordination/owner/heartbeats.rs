//! Applies heartbeats of the agents on owned machines, and decides what they are told.

use std::time::Duration;

use tokio::time::Instant;

use super::{OwnerState, ShardOwner, stops::grace};
use crate::{
    coordination::{
        agent_state::{AgentState, MessageSource},
        clients::{Command, Heartbeat, HeartbeatResponse, TaskState},
        context::lock,
    },
    storage::{Attempt, MachineId, StateCache, TaskId, Token},
};

/// Commands in one answer; the rest follow with the next.
const MAX_COMMANDS: usize = 400;

impl ShardOwner {
    /// Applies a heartbeat of an agent whose machine this process owns, under `token`, and
    /// answers it with the agent's next commands.
    pub(in crate::coordination) fn accept_heartbeat(
        &self,
        cache: &StateCache,
        heartbeat: &Heartbeat,
        token: Token,
    ) -> HeartbeatResponse {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let acquired = Token::from(cache.owned_since(&heartbeat.machine));
        // It went away and came back before our loop noticed.
        if state
            .agents
            .get(&heartbeat.machine)
            .is_some_and(|agent| agent.acquired != acquired)
        {
            state.agents.remove(&heartbeat.machine);
        }
        let OwnerState {
            agents, preempting, ..
        } = &mut *state;
        let agent = agents
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| AgentState::new(acquired, now));
        if !agent.apply(heartbeat, MessageSource::Heartbeat, now) {
            // Overtaken by the answer to a direct command. The agent may still
            // wait for this one, so it gets its lease, but nothing to do.
            return HeartbeatResponse::Accepted {
                token,
                commands: Vec::new(),
            };
        }
        let mut commands = commands(&heartbeat.machine, agent, cache, |task, attempt| {
            preempting.get(task) == Some(&attempt)
        });
        commands.truncate(MAX_COMMANDS);
        agent.answer_starts(&commands);
        agent.note_answer(token, self.context.config.max_heartbeat_interval(), now);
        if self.note_results(&mut state, cache, &heartbeat.machine, now) {
            self.context.owner_wakeup.notify_one();
        }
        HeartbeatResponse::Accepted { token, commands }
    }
}

/// What to tell an agent in answer to its heartbeat. Starts are given for
/// committed placements only, clears for committed results only.
fn commands(
    machine: &MachineId,
    agent: &AgentState,
    cache: &StateCache,
    preempting: impl Fn(&TaskId, Attempt) -> bool,
) -> Vec<Command> {
    let none = Default::default();
    let placed = &cache.on_machine.get(machine).unwrap_or(&none).tasks;
    let mut clears = Vec::new();
    let mut others = Vec::new();
    for (task, seen) in &agent.tasks {
        let job = cache.jobs.get(&task.job);
        let matching = placed
            .get(task)
            .filter(|placed| placed.placement.attempt == seen.attempt);
        let exited = matches!(seen.state, TaskState::Exited(_));
        let attempt = seen.attempt;
        match (matching, exited) {
            // Its result is being committed.
            (Some(_), true) => {}
            (Some(_), false) => {
                let cancelled = cache.is_cancelled(&task.job);
                if cancelled || preempting(task, attempt) {
                    others.push(Command::Stop {
                        task: task.clone(),
                        attempt,
                        grace: grace(job.and_then(|job| job.spec()).map(|s| &**s), cancelled),
                    });
                }
            }
            // Once cleared, a start that is still on its way would run it again.
            (None, true) if agent.all_commands_resolved() => clears.push(Command::Clear {
                task: task.clone(),
                attempt,
            }),
            (None, true) => {}
            // Nobody's placement: our cache holds all that earlier owners
            // committed, since it holds our shard's record.
            (None, false) => others.push(Command::Stop {
                task: task.clone(),
                attempt,
                grace: Duration::ZERO,
            }),
        }
    }
    for (task, placed) in placed {
        let placement = &placed.placement;
        let listed = agent
            .tasks
            .get(task)
            .is_some_and(|seen| seen.attempt == placement.attempt);
        let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
        let cancelled = cache.is_cancelled(&task.job) || spec.is_none();
        if !listed
            && !cancelled
            && placement.epoch == agent.epoch
            && !preempting(task, placement.attempt)
        {
            others.push(Command::Start {
                task: task.clone(),
                attempt: placement.attempt,
            });
        }
    }
    clears.extend(others);
    clears
}
