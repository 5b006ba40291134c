//! Applies heartbeats of the agents on owned machines, and chooses the commands in the
//! responses.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{OwnerState, ShardOwner, stops::stop_grace_period};
use crate::{
    coordination::{
        agent_state::{AgentState, MessageSource, ObservedTask},
        clients::{Command, Exit, Heartbeat, HeartbeatResponse, TaskState},
        context::lock,
    },
    storage::{Attempt, FencingToken, MachineId, StateCache, TaskId, state_cache::PlacedTask},
};

/// Maximum number of commands in one response; the next response has the rest.
const MAX_COMMANDS: usize = 400;

impl ShardOwner {
    /// Applies a heartbeat of an agent whose machine this process owns, and returns the
    /// response with the agent's next commands. `token` is this owner's fencing token for the
    /// machine's shard.
    pub(in crate::coordination) fn accept_heartbeat(
        &self,
        cache: &StateCache,
        heartbeat: &Heartbeat,
        token: FencingToken,
    ) -> HeartbeatResponse {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let acquisition_token = FencingToken::from(cache.owned_since(&heartbeat.machine));
        // The machine was lost and acquired anew before the owner's loop noticed.
        if let Some(agent) = state.agents.get_mut(&heartbeat.machine)
            && agent.acquisition_token != acquisition_token
        {
            *agent = agent.reacquired(acquisition_token, now);
        }
        let OwnerState {
            agents, preempting, ..
        } = &mut *state;
        let agent = agents
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| AgentState::new(acquisition_token, now));
        if !agent.apply(heartbeat, MessageSource::Heartbeat, now) {
            // A newer message, such as a response to a direct command, has overtaken this
            // heartbeat. The agent may still wait for the response, which renews its lease,
            // but the heartbeat is too old to choose commands from.
            return HeartbeatResponse::Accepted {
                token,
                commands: Vec::new(),
            };
        }
        let mut commands = next_commands(&heartbeat.machine, agent, cache, |task, attempt| {
            preempting.get(task) == Some(&attempt)
        });
        commands.truncate(MAX_COMMANDS);
        agent.note_held_clears(ended_attempts(heartbeat, cache), now);
        agent.note_starts_in_response(&commands);
        agent.note_response(token, self.context.config.max_heartbeat_interval(), now);
        if self.note_results(&mut state, cache, &heartbeat.machine, now) {
            self.context.owner_wakeup.notify_one();
        }
        HeartbeatResponse::Accepted { token, commands }
    }
}

/// Returns the commands for the response to an agent's heartbeat. Starts are sent only for
/// committed placements, clears only for committed results.
fn next_commands(
    machine: &MachineId,
    agent: &AgentState,
    cache: &StateCache,
    is_preempted: impl Fn(&TaskId, Attempt) -> bool,
) -> Vec<Command> {
    let none = BTreeMap::new();
    let load = cache.machine_loads.get(machine);
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

/// Returns the stop or clear for a task that the agent lists, if it needs one.
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
        // The result is not committed yet.
        (true, true) => None,
        (true, false) => {
            let is_cancelled = cache.is_cancelled(&task.job);
            if !is_cancelled && !is_preempted(&task, attempt) {
                return None;
            }
            let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
            let grace = stop_grace_period(spec.map(|spec| &**spec), is_cancelled);
            Some(Command::Stop {
                task,
                attempt,
                grace,
            })
        }
        // An agent does not remember a cleared task, so that a start that is still in flight, or a
        // late copy of one, would run it again.
        (false, true) => agent
            .may_clear(&task, attempt)
            .then_some(Command::Clear { task, attempt }),
        // This attempt has no placement. The cache cannot have missed one: it holds this
        // owner's shard record and therefore all that earlier owners committed.
        (false, false) => Some(Command::Stop {
            task,
            attempt,
            grace: Duration::ZERO,
        }),
    }
}

/// Returns the attempts that the agent lists as ended, each with whether its task has to run once
/// more: until the attempt is cleared, the task cannot be placed on this machine.
fn ended_attempts<'a>(
    heartbeat: &'a Heartbeat,
    cache: &'a StateCache,
) -> impl Iterator<Item = (&'a TaskId, Attempt, bool)> {
    heartbeat.tasks.iter().filter_map(|status| {
        let TaskState::Exited(exit) = status.state else {
            return None;
        };
        let is_retried = exit != Exit::Done && is_wanted(cache, &status.task, status.attempt);
        Some((&status.task, status.attempt, is_retried))
    })
}

/// Whether a task of which this attempt has ended is to run, and runs nowhere else.
fn is_wanted(cache: &StateCache, task: &TaskId, attempt: Attempt) -> bool {
    let Some(job) = cache.jobs.get(&task.job) else {
        return false;
    };
    let placement = job.placement(task.index);
    job.spec.is_some()
        && job.cleanup_since.is_none()
        && !job.is_task_done(task.index)
        && placement.is_none_or(|placement| placement.attempt == attempt)
}

/// Returns the start of a placed task, if it is to run and the agent does not list it.
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
    let needs_start = !is_listed
        && !is_cancelled
        && placed.placement.epoch == agent.epoch
        && !is_preempted(task, attempt);
    needs_start.then(|| Command::Start {
        task: task.clone(),
        attempt,
    })
}
