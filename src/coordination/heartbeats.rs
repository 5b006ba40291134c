//! Answers agents' heartbeats.

use tokio::time::Instant;

use crate::{
    coordination::{
        agent_state::{AgentState, MessageSource},
        clients::{Command, Heartbeat, HeartbeatResponse, TaskState},
        controller::{Controller, lock},
        owner::OwnerState,
    },
    storage::{Attempt, JobSpec, MachineId, StateCache, TaskId, Token},
};

/// Commands in one answer; the rest follow with the next.
const MAX_COMMANDS: usize = 400;

impl Controller {
    pub fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatResponse {
        if !self.store.is_loaded() {
            return HeartbeatResponse::Unavailable;
        }
        let now = Instant::now();
        let cache = self.store.cache();
        let Some((_, shard)) = cache.shard_of(&heartbeat.machine) else {
            drop(cache);
            self.note_indirect_heartbeat(heartbeat);
            return HeartbeatResponse::NotHere(None);
        };
        let (controller, owner) = (shard.value.controller.clone(), shard.value.owner);
        let token = Token::from(shard.revision);
        if controller != self.config.name {
            let alive = cache
                .controllers
                .get(&controller)
                .is_some_and(|entry| entry.value.incarnation == owner);
            drop(cache);
            self.note_indirect_heartbeat(heartbeat);
            return HeartbeatResponse::NotHere(alive.then_some(controller));
        }
        // Another process held the shard, our view of it is behind, or our
        // right to renew leases has run out: a 200 would be wrong or dropped.
        if self.own_shard_of(&cache, &heartbeat.machine).is_none()
            || heartbeat.token > token
            || !self.may_renew_leases()
        {
            return HeartbeatResponse::Unavailable;
        }
        let mut state = lock(&self.owner);
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
        let mut commands = commands(&heartbeat.machine, agent, &cache, |task, attempt| {
            preempting.get(task) == Some(&attempt)
        });
        commands.truncate(MAX_COMMANDS);
        agent.answer_starts(&commands);
        agent.note_answer(token, self.config.max_heartbeat_interval(), now);
        let results = self.note_results(&mut state, &cache, &heartbeat.machine, now);
        drop(state);
        drop(cache);
        if results {
            self.owner_wakeup.notify_one();
        }
        HeartbeatResponse::Accepted { token, commands }
    }
}

/// How long a task may take to save when it is stopped for another reason than
/// its job's cancellation.
pub(super) fn grace(spec: Option<&JobSpec>, cancelled: bool) -> std::time::Duration {
    match spec {
        Some(spec) if !cancelled && !spec.checkpoint.is_zero() => spec.save,
        _ => std::time::Duration::ZERO,
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
                grace: std::time::Duration::ZERO,
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
