//! The state that a shard owner keeps for the agent of one machine: the content of the
//! agent's newest message, and what follows from the messages and commands so far.
//!
//! The shard owner keeps one `AgentState` for each of its machines and applies every message
//! of the agent to it. It drops the state when the machine moves to another owner.

mod command_path;
mod image_cache;
mod machine_failures;
mod repeatable_starts;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use command_path::CommandPath;
use image_cache::ImageCache;
pub use machine_failures::{FAILURE_WINDOW, MachineFailures};
pub use repeatable_starts::HeldClears;
use repeatable_starts::RepeatableStarts;
use tokio::time::Instant;

use crate::{
    coordination::clients::{Command, Heartbeat, TaskState, TaskStatus},
    storage::{
        AgentEpoch, Attempt, FencingToken, ImageName, Resources, TaskId, state_cache::MachineLoad,
    },
};

/// A task that the agent's newest message lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedTask {
    /// The attempt that the agent has.
    pub attempt: Attempt,
    /// The state that the agent reported.
    pub state: TaskState,
    /// When this attempt was first reported as running.
    pub running_since: Option<Instant>,
}

/// How a message of an agent reached its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageSource {
    /// A heartbeat that waits for the owner's response.
    Heartbeat,
    /// The response to a direct command or to a probe.
    Direct,
}

/// Direct starts that got no response. The agent may still execute them until it has seen a
/// higher fencing token.
#[derive(Clone, Copy, Debug)]
pub struct InDoubtStart {
    /// The highest fencing token that such a start carried.
    pub token: FencingToken,
    /// When the latest of these requests failed without a response.
    pub since: Instant,
}

/// What an owner knows about one agent.
#[derive(Debug)]
pub struct AgentState {
    /// The fencing token with which this owner acquired the machine. An agent that has
    /// seen it rejects all commands of earlier owners.
    pub acquisition_token: FencingToken,
    /// The address at which the agent listens.
    pub address: Option<String>,
    /// The agent's epoch, from its newest message.
    pub epoch: AgentEpoch,
    /// Sequence number of the newest message within the epoch.
    sequence: u64,
    /// The highest fencing token that the agent has reported.
    pub token: FencingToken,
    /// Time of the last heartbeat; before the first one, when this owner acquired the machine.
    pub last_heartbeat: Instant,
    /// Whether a heartbeat has arrived since this owner acquired the machine.
    pub has_heartbeat: bool,
    /// Whether the last probe failed and no message has arrived since.
    pub unreachable: bool,
    /// When the agent was probed last.
    pub probed_at: Option<Instant>,
    /// When the cloud reclaims the machine, if it has given notice.
    pub reclaim_at: Option<Instant>,
    /// The tasks that the newest message lists.
    pub tasks: BTreeMap<TaskId, ObservedTask>,
    /// Whether the newest message is a heartbeat. Then no start in a response to an earlier
    /// heartbeat can still be in flight, as it can be after a response to a direct command.
    newest_is_heartbeat: bool,
    /// Direct starts that got no response.
    pub in_doubt_start: Option<InDoubtStart>,
    /// Number of direct starts that wait for their response.
    starts_in_flight: u32,
    /// Direct starts of which a copy would be executed once their tasks are cleared.
    repeatable_starts: RepeatableStarts,
    /// Clears that these starts hold back.
    pub held_clears: Option<HeldClears>,
    /// Tasks whose starts were sent in the response to the newest heartbeat. Only the next
    /// heartbeat shows whether they were executed.
    unconfirmed_starts: BTreeSet<TaskId>,
    /// Images that the machine is expected to have in its cache.
    images: ImageCache,
    /// Failures of tasks on this machine, and the jobs excluded from it.
    pub failures: MachineFailures,
    /// When the last direct stop of each listed task was sent.
    pub stops_sent: BTreeMap<TaskId, Instant>,
    /// Speed of the machine, learned from run times; at 1 tasks take the expected time.
    pub speed: f64,
    /// Whether the owner's responses reach the agent.
    command_path: CommandPath,
}

impl AgentState {
    /// Creates the state of an agent that has sent no message yet, on a machine that was acquired
    /// with this token.
    pub fn new(acquisition_token: FencingToken, now: Instant) -> Self {
        Self {
            acquisition_token,
            address: None,
            epoch: AgentEpoch(0),
            sequence: 0,
            token: FencingToken(0),
            last_heartbeat: now,
            has_heartbeat: false,
            unreachable: false,
            probed_at: None,
            reclaim_at: None,
            tasks: BTreeMap::new(),
            newest_is_heartbeat: false,
            in_doubt_start: None,
            starts_in_flight: 0,
            repeatable_starts: RepeatableStarts::default(),
            held_clears: None,
            unconfirmed_starts: BTreeSet::new(),
            images: ImageCache::default(),
            command_path: CommandPath::default(),
            failures: MachineFailures::default(),
            stops_sent: BTreeMap::new(),
            speed: 1.0,
        }
    }

    /// Creates the state of the same agent after its machine was acquired anew, or after the cache
    /// was replaced and shows another acquisition. Direct starts that this process sent before may
    /// still be executed, unless the agent has seen a higher token since.
    pub fn reacquired(&self, acquisition_token: FencingToken, now: Instant) -> Self {
        Self {
            in_doubt_start: self.in_doubt_start,
            starts_in_flight: self.starts_in_flight,
            repeatable_starts: self.repeatable_starts.clone(),
            ..Self::new(acquisition_token, now)
        }
    }

    /// Applies a message, unless a newer one was applied before; returns whether it was
    /// applied. Messages can be minutes late; the one with the larger (epoch, sequence) is
    /// the newer one.
    pub fn apply(&mut self, heartbeat: &Heartbeat, source: MessageSource, now: Instant) -> bool {
        if (heartbeat.epoch, heartbeat.sequence) <= (self.epoch, self.sequence) {
            return false;
        }
        if heartbeat.epoch > self.epoch {
            self.end_epoch(now);
        }
        self.epoch = heartbeat.epoch;
        self.sequence = heartbeat.sequence;
        self.token = self.token.max(heartbeat.token);
        self.command_path.confirm(self.token);
        self.repeatable_starts
            .remove_rejected(self.token, self.epoch);
        if self.address.as_ref() != Some(&heartbeat.address) {
            self.address = Some(heartbeat.address.clone());
        }
        self.reclaim_at = heartbeat.notice.map(|notice| now + notice);
        self.newest_is_heartbeat = source == MessageSource::Heartbeat;
        self.unreachable = false;
        if source == MessageSource::Heartbeat {
            self.last_heartbeat = now;
            self.has_heartbeat = true;
            self.unconfirmed_starts.clear();
        }
        self.observe_tasks(&heartbeat.tasks, now);
        if self.all_starts_resolved() {
            self.in_doubt_start = None;
        }
        true
    }

    /// Resets what belongs to the previous epoch: the agent's lease expired, and the agent
    /// terminated its tasks.
    fn end_epoch(&mut self, now: Instant) {
        self.tasks.clear();
        self.stops_sent.clear();
        if self.epoch.0 > 0 {
            self.command_path.note_lease_expired(now);
        }
    }

    /// Replaces the listed tasks by those of a newer message.
    fn observe_tasks(&mut self, statuses: &[TaskStatus], now: Instant) {
        let old = std::mem::take(&mut self.tasks);
        for status in statuses {
            let running_since = old
                .get(&status.task)
                .filter(|observed| observed.attempt == status.attempt)
                .and_then(|observed| observed.running_since);
            let observed = ObservedTask {
                attempt: status.attempt,
                state: status.state,
                running_since: match status.state {
                    TaskState::Running => running_since.or(Some(now)),
                    _ => running_since,
                },
            };
            self.tasks.insert(status.task.clone(), observed);
        }
        self.stops_sent
            .retain(|task, _| statuses.iter().any(|status| status.task == *task));
    }

    /// Sequence number of the newest message within the agent's epoch.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the resources of placed tasks that have ended but that the state cache still
    /// counts as running. They are free as soon as the task has ended, even though its
    /// result is not committed yet.
    pub fn freed_resources(&self, load: &MachineLoad) -> Resources {
        let mut freed = Resources::default();
        for (task, observed) in &self.tasks {
            if matches!(observed.state, TaskState::Exited(_))
                && let Some(placed) = load.tasks.get(task)
                && placed.placement.attempt == observed.attempt
                && let Some(spec) = &placed.spec
            {
                freed += spec.per_task;
            }
        }
        freed
    }

    /// Whether no start of an earlier owner and no direct start of this owner can still be
    /// executed unnoticed. Each one either got its response, or carried a fencing token that
    /// the agent now rejects because it has seen a higher one.
    pub fn all_starts_resolved(&self) -> bool {
        self.token >= self.acquisition_token
            && self.starts_in_flight == 0
            && self
                .in_doubt_start
                .is_none_or(|start| self.token > start.token)
    }

    /// Whether a task is certainly not on the machine if the newest message does not list
    /// it. Otherwise a start of it may still be in flight.
    pub fn is_absence_conclusive(&self, task: &TaskId) -> bool {
        self.newest_is_heartbeat
            && self.all_starts_resolved()
            && !self.unconfirmed_starts.contains(task)
    }

    /// Notes the starts among the commands in the response to the newest heartbeat.
    pub fn note_starts_in_response(&mut self, commands: &[Command]) {
        self.unconfirmed_starts
            .extend(commands.iter().filter_map(|command| match command {
                Command::Start { task, .. } => Some(task.clone()),
                _ => None,
            }));
    }

    /// Notes that a heartbeat is answered with this fencing token. `max_interval` is the
    /// longest pause between two heartbeats of an agent, which is far shorter than the
    /// agents' lease.
    pub fn note_response(&mut self, token: FencingToken, max_interval: Duration, now: Instant) {
        let reported = self.token;
        self.command_path
            .note_response(token, reported, max_interval, now);
    }

    /// Whether the agent's heartbeats arrive but the responses to them do not reach it. This
    /// is so if the agent does not report a fencing token that was sent more than `timeout`
    /// ago, or if its lease expired recently although its heartbeats were answered.
    pub fn is_command_path_lost(&self, timeout: Duration, now: Instant) -> bool {
        self.command_path.is_lost(timeout, now)
    }

    /// Notes that direct starts are sent in one request, under this token and for this epoch.
    pub fn note_starts_sent(
        &mut self,
        commands: &[Command],
        token: FencingToken,
        epoch: AgentEpoch,
    ) {
        self.starts_in_flight += 1;
        for command in commands {
            if let Command::Start { task, attempt } = command {
                let starts = &mut self.repeatable_starts;
                starts.note(task.clone(), *attempt, token, epoch);
            }
        }
    }

    /// Whether an attempt may be cleared: no start of it can be executed any more, neither one
    /// that is still in flight nor a copy of one that was carried out.
    pub fn may_clear(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.all_starts_resolved() && self.repeatable_starts.token_of(task, attempt).is_none()
    }

    /// Notes which of the attempts that have ended cannot be cleared because a copy of their start
    /// could be executed. `ended` names each with whether its task has to run once more.
    pub fn note_held_clears<'a>(
        &mut self,
        ended: impl Iterator<Item = (&'a TaskId, Attempt, bool)>,
        now: Instant,
    ) {
        let before = self.held_clears;
        let mut held: Option<HeldClears> = None;
        for (task, attempt, is_retried) in ended {
            if let Some(token) = self.repeatable_starts.token_of(task, attempt) {
                held = Some(HeldClears::add(held, token, is_retried, now));
            }
        }
        if let (Some(held), Some(before)) = (&mut held, before)
            && held.token == before.token
        {
            held.since = before.since;
        }
        self.held_clears = held;
    }

    /// Notes that the request of a direct start has ended, with or without a response.
    pub fn note_start_request_ended(&mut self) {
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
    }

    /// Whether this epoch of the agent has ended, so that its tasks are terminated, and the
    /// agent rejects commands of earlier owners.
    pub fn has_ended_epoch(&self, epoch: AgentEpoch) -> bool {
        self.epoch > epoch && self.token >= self.acquisition_token
    }

    /// Notes that a direct start with this fencing token got no response.
    pub fn note_start_in_doubt(&mut self, token: FencingToken, now: Instant) {
        let token = self
            .in_doubt_start
            .map_or(token, |known| known.token.max(token));
        self.in_doubt_start = Some(InDoubtStart { token, since: now });
    }

    /// Notes that a task with this image runs; `cache_gb` is the size of the machine's image
    /// cache.
    pub fn note_image(&mut self, name: &ImageName, gb: f64, cache_gb: f64) {
        self.images.note_use(name, gb, cache_gb);
    }

    /// The images that the machine is expected to have in its cache.
    pub fn images(&self) -> Arc<Vec<ImageName>> {
        self.images.names()
    }

    /// Time since the last heartbeat or, before the first one, since this owner acquired the
    /// machine.
    pub fn time_since_heartbeat(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heartbeat)
    }
}

#[cfg(test)]
mod tests;
