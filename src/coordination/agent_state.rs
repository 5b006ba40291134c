//! An owner's view of one machine: what its agent said last, in order, and
//! what can be concluded from it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::clients::{Command, Heartbeat, TaskState},
    storage::{
        AgentEpoch, Attempt, ImageName, JobId, Resources, TaskId, Token, state_cache::MachineLoad,
    },
};

#[derive(Clone, Debug, PartialEq)]
pub struct ObservedTask {
    pub attempt: Attempt,
    pub state: TaskState,
    pub running_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageSource {
    /// A heartbeat that waits for our answer.
    Heartbeat,
    /// The answer to a direct command or to a probe.
    Direct,
}

/// Failures on one machine before it counts as quarantined: from this many jobs.
const QUARANTINE_AFTER_JOBS: usize = 2;
const MAX_FAILURES: usize = 16;
const MAX_REFUSALS: usize = 256;
pub const FAILURE_WINDOW: Duration = Duration::from_secs(180);

#[derive(Debug)]
pub struct AgentState {
    /// Our token when the machine came to us: an agent that has seen it drops
    /// every command of earlier owners.
    pub acquired: Token,
    pub address: Option<String>,
    pub epoch: AgentEpoch,
    sequence: u64,
    pub token: Token,
    /// Last heartbeat, or since when we have held the machine.
    pub last_heartbeat: Instant,
    pub has_heartbeat: bool,
    pub unreachable: bool,
    pub probed: Option<Instant>,
    pub leaves_at: Option<Instant>,
    pub tasks: BTreeMap<TaskId, ObservedTask>,
    /// The newest message was a heartbeat, so that what it does not list is not
    /// on its way in an earlier answer of ours.
    complete: bool,
    /// Highest token of a direct start that got no answer. It may be executed
    /// as long as the agent has seen no higher one.
    pub in_doubt_start: Option<(Token, Instant)>,
    /// Direct starts that wait for their answer.
    starts_in_flight: u32,
    /// Starts given in the answer to the newest heartbeat: executed, or not, only
    /// the next heartbeat tells.
    answered_starts: BTreeSet<TaskId>,
    images: Vec<(ImageName, f64)>,
    image_names: Arc<Vec<ImageName>>,
    failures: VecDeque<(JobId, Instant)>,
    refusals: BTreeMap<JobId, Instant>,
    pub stops_sent: BTreeMap<TaskId, Instant>,
    pub speed: f64,
    /// The oldest of our answers whose token the agent has not shown since.
    unconfirmed_token: Option<(Token, Instant)>,
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
            probed: None,
            leaves_at: None,
            tasks: BTreeMap::new(),
            complete: false,
            in_doubt_start: None,
            starts_in_flight: 0,
            answered_starts: BTreeSet::new(),
            images: Vec::new(),
            image_names: Arc::default(),
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
            self.tasks.clear();
            self.stops_sent.clear();
            // Its lease ran out, but we have answered lately: it does not hear us.
            if self.epoch.0 > 0 && self.answered_until.is_some_and(|until| now < until) {
                self.lost_epoch_at = Some(now);
            }
        }
        self.epoch = heartbeat.epoch;
        self.sequence = heartbeat.sequence;
        self.token = self.token.max(heartbeat.token);
        if self
            .unconfirmed_token
            .is_some_and(|(token, _)| self.token >= token)
        {
            self.unconfirmed_token = None;
        }
        if self.address.as_ref() != Some(&heartbeat.address) {
            self.address = Some(heartbeat.address.clone());
        }
        self.leaves_at = heartbeat.notice.map(|notice| now + notice);
        self.complete = source == MessageSource::Heartbeat;
        self.unreachable = false;
        if source == MessageSource::Heartbeat {
            self.last_heartbeat = now;
            self.has_heartbeat = true;
            self.answered_starts.clear();
        }
        let old = std::mem::take(&mut self.tasks);
        for entry in &heartbeat.tasks {
            let before = old
                .get(&entry.task)
                .filter(|seen| seen.attempt == entry.attempt);
            let running_since = match entry.state {
                TaskState::Running => before.and_then(|seen| seen.running_since).or(Some(now)),
                _ => before.and_then(|seen| seen.running_since),
            };
            self.tasks.insert(
                entry.task.clone(),
                ObservedTask {
                    attempt: entry.attempt,
                    state: entry.state,
                    running_since,
                },
            );
        }
        self.stops_sent
            .retain(|task, _| heartbeat.tasks.iter().any(|t| t.task == *task));
        if self.all_commands_resolved() {
            self.in_doubt_start = None;
        }
        true
    }

    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// What placed tasks that have ended still take by the cache: their room is
    /// free as soon as they have, although their results are yet to be written.
    pub fn freed(&self, load: &MachineLoad) -> Resources {
        let mut freed = Resources::default();
        for (task, seen) in &self.tasks {
            if matches!(seen.state, TaskState::Exited(_))
                && let Some(placed) = load.tasks.get(task)
                && placed.placement.attempt == seen.attempt
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
                .is_none_or(|(token, _)| self.token > token)
    }

    /// A task that the newest message does not list is surely not there.
    pub fn absence_is_proof(&self, task: &TaskId) -> bool {
        self.complete && self.all_commands_resolved() && !self.answered_starts.contains(task)
    }

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
            self.unconfirmed_token.get_or_insert((token, now));
        }
    }

    /// Its heartbeats come, but nothing that we say reaches it: it does not show a
    /// token that it was told `patience` ago, or its lease ran out while we
    /// answered. It looks alive, and yet its tasks end with its lease.
    pub fn is_command_path_lost(&self, patience: Duration, now: Instant) -> bool {
        self.unconfirmed_token
            .is_some_and(|(_, at)| now.duration_since(at) > patience)
            || self
                .lost_epoch_at
                .is_some_and(|at| now.duration_since(at) < LOST_EPOCH_TTL)
    }

    pub fn start_sent(&mut self) {
        self.starts_in_flight += 1;
    }

    pub fn start_answered(&mut self) {
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
    }

    /// An earlier epoch's tasks are terminated.
    pub fn has_ended_epoch(&self, epoch: AgentEpoch) -> bool {
        self.epoch > epoch && self.token >= self.acquired
    }

    pub fn note_start_in_doubt(&mut self, token: Token, now: Instant) {
        let token = self
            .in_doubt_start
            .map_or(token, |(known, _)| known.max(token));
        self.in_doubt_start = Some((token, now));
    }

    pub fn note_image(&mut self, image: &ImageName, gb: f64, cache_gb: f64) {
        if self.images.last().is_some_and(|(known, _)| known == image) {
            return;
        }
        self.images.retain(|(known, _)| known != image);
        self.images.push((image.clone(), gb));
        // The machine keeps the most recently used ones.
        let mut sum: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while sum > cache_gb && self.images.len() > 1 {
            sum -= self.images.remove(0).1;
        }
        let names = self.images.iter().map(|(name, _)| name.clone());
        self.image_names = Arc::new(names.collect());
    }

    pub fn images(&self) -> Arc<Vec<ImageName>> {
        self.image_names.clone()
    }

    pub fn note_failure(&mut self, job: &JobId, now: Instant) {
        self.failures.push_back((job.clone(), now));
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
            .filter(|(job, at)| now.duration_since(*at) < FAILURE_WINDOW && !is_crash_looping(job))
            .map(|(job, _)| job)
            .collect();
        jobs.sort();
        jobs.dedup();
        jobs.len() >= QUARANTINE_AFTER_JOBS
    }

    /// The job is not tried here again for a while.
    pub fn refuse(&mut self, job: &JobId, until: Instant, now: Instant) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.retain(|_, at| *at > now);
        }
        if self.refusals.len() < MAX_REFUSALS {
            self.refusals.insert(job.clone(), until);
        }
    }

    pub fn refuses(&self, job: &JobId, now: Instant) -> bool {
        self.refusals.get(job).is_some_and(|until| *until > now)
    }

    pub fn time_since_heartbeat(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heartbeat)
    }
}

#[cfg(test)]
mod tests;
