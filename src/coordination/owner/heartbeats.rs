//! Applies heartbeats of the agents on owned machines, and decides what they are told.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{OwnerState, ShardOwner, stops::grace};
use crate::{
    coordination::{
        agent_state::{AgentState, MessageSource, ObservedTask},
        clients::{Command, Heartbeat, HeartbeatResponse, TaskState},
        context::lock,
    },
    storage::{Attempt, MachineId, StateCache, TaskId, Token, state_cache::PlacedTask},
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
    is_preempted: impl Fn(&TaskId, Attempt) -> bool,
) -> Vec<Command> {
    let none = BTreeMap::new();
    let load = cache.on_machine.get(machine);
    let placed = load.map_or(&none, |load| &load.tasks);
    let mut commands = Vec::new();
    let mut stops = Vec::new();
    for (task, observed) in &agent.tasks {
        let placed = placed.get(task);
        match command_for_observed(agent, cache, (task, observed), placed, &is_preempted) {
            Some(clear @ Command::Clear { .. }) => commands.push(clear),
            Some(stop) => stops.push(stop),
            None => {}
        }
    }
    commands.extend(stops);
    for (task, placed) in placed {
        commands.extend(start_for_placed(agent, cache, task, placed, &is_preempted));
    }
    commands
}

/// The stop or clear for a task that the agent lists, if it needs one.
fn command_for_observed(
    agent: &AgentState,
    cache: &StateCache,
    (task, observed): (&TaskId, &ObservedTask),
    placed: Option<&PlacedTask>,
    is_preempted: impl Fn(&TaskId, Attempt) -> bool,
) -> Option<Command> {
    let attempt = observed.attempt;
    let has_exited = matches!(observed.state, TaskState::Exited(_));
    let is_placed = placed.is_some_and(|placed| placed.placement.attempt == attempt);
    let task = task.clone();
    match (is_placed, has_exited) {
        // Its result is being committed.
        (true, true) => None,
        (true, false) => {
            let is_cancelled = cache.is_cancelled(&task.job);
            if !is_cancelled && !is_preempted(&task, attempt) {
                return None;
            }
            let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
            let grace = grace(spec.map(|spec| &**spec), is_cancelled);
            Some(Command::Stop {
                task,
                attempt,
                grace,
            })
        }
        // Once cleared, a start that is still on its way would run it again.
        (false, true) => agent
            .all_commands_resolved()
            .then_some(Command::Clear { task, attempt }),
        // Nobody's placement: our cache holds all that earlier owners
        // committed, since it holds our shard's record.
        (false, false) => Some(Command::Stop {
            task,
            attempt,
            grace: Duration::ZERO,
        }),
    }
}

/// The start of a placed task that the agent does not list and that is to run.
fn start_for_placed(
    agent: &AgentState,
    cache: &StateCache,
    task: &TaskId,
    placed: &PlacedTask,
    is_preempted: impl Fn(&TaskId, Attempt) -> bool,
) -> Option<Command> {
    let attempt = placed.placement.attempt;
    let is_listed = agent
        .tasks
        .get(task)
        .is_some_and(|observed| observed.attempt == attempt);
    let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
    let is_cancelled = cache.is_cancelled(&task.job) || spec.is_none();
    let is_to_run = !is_listed
        && !is_cancelled
        && placed.placement.epoch == agent.epoch
        && !is_preempted(task, attempt);
    is_to_run.then(|| Command::Start {
        task: task.clone(),
        attempt,
    })
}
