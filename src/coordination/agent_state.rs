//! What an owner knows of one machine's agent: what it said last, in order, and
//! what can be concluded from it.
//!
//! The shard owner holds one state for each of its machines and applies every message to
//! it; a state ends when the machine goes to another owner.

mod image_cache;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use image_cache::ImageCache;
use tokio::time::Instant;

use crate::{
    coordination::clients::{Command, Heartbeat, TaskState, TaskStatus},
    storage::{
        AgentEpoch, Attempt, ImageName, JobId, Resources, TaskId, Token, state_cache::MachineLoad,
    },
};

/// A task that the agent lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedTask {
    /// Its attempt there.
    pub attempt: Attempt,
    /// What the agent said of it last.
    pub state: TaskState,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
}

/// How a message of an agent came to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageSource {
    /// A heartbeat that waits for our answer.
    Heartbeat,
    /// The answer to a direct command or to a probe.
    Direct,
}

/// Failures on one machine before it counts as quarantined: from this many jobs.
const QUARANTINE_AFTER_JOBS: usize = 2;
/// Failures remembered of one machine.
const MAX_FAILURES: usize = 16;
/// Jobs that a machine refuses at a time, at most.
const MAX_REFUSALS: usize = 256;
/// A failure counts against a machine, or a job, for this long.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(180);

/// A direct start that got no answer. It may be executed as long as the agent has seen no
/// higher token.
#[derive(Clone, Copy, Debug)]
pub struct InDoubtStart {
    /// The highest token of such a start.
    pub token: Token,
    /// When the latest of them was given up.
    pub since: Instant,
}

/// A token that the agent was told and has not shown since.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedToken {
    token: Token,
    since: Instant,
}

/// A task that failed on the machine.
#[derive(Clone, Debug)]
struct TaskFailure {
    job: JobId,
    at: Instant,
}

/// What is known of one agent.
#[derive(Debug)]
pub struct AgentState {
    /// Our token when the machine came to us: an agent that has seen it drops
    /// every command of earlier owners.
    pub acquired: Token,
    /// Where the agent listens.
    pub address: Option<String>,
    /// Its epoch, by its newest message.
    pub epoch: AgentEpoch,
    /// Number of its newest message within the epoch.
    sequence: u64,
    /// The highest token that it has shown.
    pub token: Token,
    /// Last heartbeat, or since when we have held the machine.
    pub last_heartbeat: Instant,
    /// A heartbeat of it has come since we have held the machine.
    pub has_heartbeat: bool,
    /// The last probe failed, and nothing has come since.
    pub unreachable: bool,
    /// When the machine was probed last.
    pub probed_at: Option<Instant>,
    /// When the cloud takes the machine, if it has given notice.
    pub leaves_at: Option<Instant>,
    /// The tasks that its newest message lists.
    pub tasks: BTreeMap<TaskId, ObservedTask>,
    /// The newest message was a heartbeat, so that what it does not list is not
    /// on its way in an earlier answer of ours.
    lists_all_tasks: bool,
    /// Direct starts that got no answer.
    pub in_doubt_start: Option<InDoubtStart>,
    /// Direct starts that wait for their answer.
    starts_in_flight: u32,
    /// Starts given in the answer to the newest heartbeat: executed, or not, only
    /// the next heartbeat tells.
    answered_starts: BTreeSet<TaskId>,
    /// Images that the machine should have.
    images: ImageCache,
    /// Failures of tasks here, the oldest first.
    failures: VecDeque<TaskFailure>,
    /// Jobs that are not tried here, and until when.
    refusals: BTreeMap<JobId, Instant>,
    /// When a direct stop of a listed task was sent last.
    pub stops_sent: BTreeMap<TaskId, Instant>,
    /// Learned speed of the machine; 1 is usual.
    pub speed: f64,
    /// The oldest of our answers whose token the agent has not shown since.
    unconfirmed_token: Option<UnconfirmedToken>,
    /// Until when our last answer to a heartbeat is a late one: a lease that runs
    /// out before that was not renewed by it.
    answered_until: Option<Instant>,
    /// The agent's lease ran out although we answered its heartbeats.
    lost_epoch_at: Option<Instant>,
}

/// How long after a lease ran out under our answers an agent counts as one that
/// hears nothing of us.
const LOST_EPOCH_TTL: Duration = Duration::from_secs(90);

impl AgentState {
    /// Nothing heard yet of an agent whose machine came to us with this token.
    pub fn new(acquired: Token, now: Instant) -> Self {
        Self {
            acquired,
            address: None,
            epoch: AgentEpoch(0),
            sequence: 0,
            token: Token(0),
            last_heartbeat: now,
            has_heartbeat: false,
            unreachable: false,
            probed_at: None,
            leaves_at: None,
            tasks: BTreeMap::new(),
            lists_all_tasks: false,
            in_doubt_start: None,
            starts_in_flight: 0,
            answered_starts: BTreeSet::new(),
            images: ImageCache::default(),
            unconfirmed_token: None,
            answered_until: None,
            lost_epoch_at: None,
            failures: VecDeque::new(),
            refusals: BTreeMap::new(),
            stops_sent: BTreeMap::new(),
            speed: 1.0,
        }
    }

    /// Takes a message in, unless a newer one is known. Messages can be minutes
    /// late; the larger (epoch, sequence) is the newer.
    pub fn apply(&mut self, heartbeat: &Heartbeat, source: MessageSource, now: Instant) -> bool {
        if (heartbeat.epoch, heartbeat.sequence) <= (self.epoch, self.sequence) {
            return false;
        }
        if heartbeat.epoch > self.epoch {
            self.end_epoch(now);
        }
        self.epoch = heartbeat.epoch;
        self.sequence = heartbeat.sequence;
        self.confirm_token(heartbeat.token);
        if self.address.as_ref() != Some(&heartbeat.address) {
            self.address = Some(heartbeat.address.clone());
        }
        self.leaves_at = heartbeat.notice.map(|notice| now + notice);
        self.lists_all_tasks = source == MessageSource::Heartbeat;
        self.unreachable = false;
        if source == MessageSource::Heartbeat {
            self.last_heartbeat = now;
            self.has_heartbeat = true;
            self.answered_starts.clear();
        }
        self.observe_tasks(&heartbeat.tasks, now);
        if self.all_commands_resolved() {
            self.in_doubt_start = None;
        }
        true
    }

    /// The agent's lease has expired: its tasks are gone.
    fn end_epoch(&mut self, now: Instant) {
        self.tasks.clear();
        self.stops_sent.clear();
        // Its lease ran out, but we have answered lately: it does not hear us.
        if self.epoch.0 > 0 && self.answered_until.is_some_and(|until| now < until) {
            self.lost_epoch_at = Some(now);
        }
    }

    fn confirm_token(&mut self, token: Token) {
        self.token = self.token.max(token);
        if self
            .unconfirmed_token
            .is_some_and(|unconfirmed| self.token >= unconfirmed.token)
        {
            self.unconfirmed_token = None;
        }
    }

    /// Replaces what is known of the machine's tasks.
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

    /// Number of its newest message within its epoch.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// What placed tasks that have ended still take by the cache: their room is
    /// free as soon as they have, although their results are yet to be written.
    pub fn freed(&self, load: &MachineLoad) -> Resources {
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

    /// No command that we or an earlier owner sent can still be executed
    /// unseen: every one carried a lower token than the agent knows, or was
    /// answered.
    pub fn all_commands_resolved(&self) -> bool {
        self.token >= self.acquired
            && self.starts_in_flight == 0
            && self
                .in_doubt_start
                .is_none_or(|start| self.token > start.token)
    }

    /// A task that the newest message does not list is surely not there.
    pub fn absence_is_proof(&self, task: &TaskId) -> bool {
        self.lists_all_tasks && self.all_commands_resolved() && !self.answered_starts.contains(task)
    }

    /// Notes the starts in the answer to its newest heartbeat.
    pub fn answer_starts(&mut self, commands: &[Command]) {
        self.answered_starts
            .extend(commands.iter().filter_map(|command| match command {
                Command::Start { task, .. } => Some(task.clone()),
                _ => None,
            }));
    }

    /// A heartbeat is answered with this token. `interval`: the agents' longest
    /// pause between two heartbeats, far below their lease.
    pub fn note_answer(&mut self, token: Token, interval: Duration, now: Instant) {
        self.answered_until = Some(now + interval);
        if self.token < token {
            self.unconfirmed_token
                .get_or_insert(UnconfirmedToken { token, since: now });
        }
    }

    /// Its heartbeats come, but nothing that we say reaches it: it does not show a
    /// token that it was told `patience` ago, or its lease ran out while we
    /// answered. It looks alive, and yet its tasks end with its lease.
    pub fn is_command_path_lost(&self, patience: Duration, now: Instant) -> bool {
        self.unconfirmed_token
            .is_some_and(|unconfirmed| now.duration_since(unconfirmed.since) > patience)
            || self
                .lost_epoch_at
                .is_some_and(|at| now.duration_since(at) < LOST_EPOCH_TTL)
    }

    /// A direct start is on its way.
    pub fn start_sent(&mut self) {
        self.starts_in_flight += 1;
    }

    /// A direct start got its answer, or will get none.
    pub fn start_answered(&mut self) {
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
    }

    /// An earlier epoch's tasks are terminated.
    pub fn has_ended_epoch(&self, epoch: AgentEpoch) -> bool {
        self.epoch > epoch && self.token >= self.acquired
    }

    /// A direct start under this token got no answer.
    pub fn note_start_in_doubt(&mut self, token: Token, now: Instant) {
        let token = self
            .in_doubt_start
            .map_or(token, |known| known.token.max(token));
        self.in_doubt_start = Some(InDoubtStart { token, since: now });
    }

    /// A task with this image runs; the machine's cache has room for `cache_gb`.
    pub fn note_image(&mut self, name: &ImageName, gb: f64, cache_gb: f64) {
        self.images.note_use(name, gb, cache_gb);
    }

    /// The images that the machine should have.
    pub fn images(&self) -> Arc<Vec<ImageName>> {
        self.images.names()
    }

    /// A task of the job has failed here.
    pub fn note_failure(&mut self, job: &JobId, now: Instant) {
        let job = job.clone();
        self.failures.push_back(TaskFailure { job, at: now });
        if self.failures.len() > MAX_FAILURES {
            self.failures.pop_front();
        }
    }

    /// Whether so many jobs have failed here that the machine seems faulty. Jobs that
    /// are to blame themselves do not count: they fail on every machine.
    pub fn is_quarantined(&self, now: Instant, is_crash_looping: impl Fn(&JobId) -> bool) -> bool {
        let mut jobs: Vec<&JobId> = self
            .failures
            .iter()
            .filter(|failure| now.duration_since(failure.at) < FAILURE_WINDOW)
            .map(|failure| &failure.job)
            .filter(|job| !is_crash_looping(job))
            .collect();
        jobs.sort();
        jobs.dedup();
        jobs.len() >= QUARANTINE_AFTER_JOBS
    }

    /// The job is not tried here again for a while.
    pub fn refuse(&mut self, job: &JobId, until: Instant, now: Instant) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.retain(|_, until| *until > now);
        }
        if self.refusals.len() < MAX_REFUSALS {
            self.refusals.insert(job.clone(), until);
        }
    }

    /// Whether the job is not tried here for now.
    pub fn refuses(&self, job: &JobId, now: Instant) -> bool {
        self.refusals.get(job).is_some_and(|until| *until > now)
    }

    /// Since its last heartbeat, or since the machine came to us.
    pub fn time_since_heartbeat(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heartbeat)
    }
}

#[cfg(test)]
mod tests;
