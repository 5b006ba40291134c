//! A holder's view of one machine: what its worker said last, in order, and
//! what can be concluded from it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::ports::{Command, Report, TaskState},
    storage::{Attempt, ImageName, JobId, Resources, Session, TaskId, Token, state_cache::Load},
};

#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub attempt: Attempt,
    pub state: TaskState,
    pub running_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A report that waits for our answer.
    Report,
    /// The answer to a direct command or to a look.
    Direct,
}

/// Failures on one machine before it counts as suspect: from this many jobs.
const SUSPECT_JOBS: usize = 2;
const FAILURES_KEPT: usize = 16;
const REFUSALS_KEPT: usize = 256;
pub const FAILURE_WINDOW: Duration = Duration::from_secs(180);

#[derive(Debug)]
pub struct View {
    /// Our token when the machine came to us: a worker that has seen it drops
    /// every command of earlier holders.
    pub acquired: Token,
    pub address: Option<String>,
    pub session: Session,
    sequence: u64,
    pub token: Token,
    /// Last report, or since when we have held the machine.
    pub heard: Instant,
    pub reported: bool,
    pub unreachable: bool,
    pub probed: Option<Instant>,
    pub leaves_at: Option<Instant>,
    pub tasks: BTreeMap<TaskId, Seen>,
    /// The newest message was a report, so that what it does not list is not
    /// on its way in an earlier answer of ours.
    complete: bool,
    /// Highest token of a direct start that got no answer. It may be executed
    /// as long as the worker has seen no higher one.
    pub unsettled: Option<(Token, Instant)>,
    /// Direct starts that wait for their answer.
    starts_in_flight: u32,
    /// Starts given in the answer to the newest report: executed, or not, only
    /// the next report tells.
    answered_starts: BTreeSet<TaskId>,
    images: Vec<(ImageName, f64)>,
    image_names: Arc<Vec<ImageName>>,
    failures: VecDeque<(JobId, Instant)>,
    refusals: BTreeMap<JobId, Instant>,
    pub stops_sent: BTreeMap<TaskId, Instant>,
    pub speed: f64,
    /// The oldest of our answers whose token the worker has not shown since.
    unheard: Option<(Token, Instant)>,
    /// Until when our last answer to a report is a late one: a lease that runs
    /// out before that was not renewed by it.
    answered_until: Option<Instant>,
    /// The worker's lease ran out although we answered its reports.
    lost_session: Option<Instant>,
}

/// How long after a lease ran out under our answers a worker counts as one that
/// hears nothing of us.
const LOST_LIFE: Duration = Duration::from_secs(90);

impl View {
    pub fn new(acquired: Token, now: Instant) -> Self {
        Self {
            acquired,
            address: None,
            session: Session(0),
            sequence: 0,
            token: Token(0),
            heard: now,
            reported: false,
            unreachable: false,
            probed: None,
            leaves_at: None,
            tasks: BTreeMap::new(),
            complete: false,
            unsettled: None,
            starts_in_flight: 0,
            answered_starts: BTreeSet::new(),
            images: Vec::new(),
            image_names: Arc::default(),
            unheard: None,
            answered_until: None,
            lost_session: None,
            failures: VecDeque::new(),
            refusals: BTreeMap::new(),
            stops_sent: BTreeMap::new(),
            speed: 1.0,
        }
    }

    /// Takes a message in, unless a newer one is known. Messages can be minutes
    /// late; the larger (session, sequence) is the newer.
    pub fn take(&mut self, report: &Report, source: Source, now: Instant) -> bool {
        if (report.session, report.sequence) <= (self.session, self.sequence) {
            return false;
        }
        if report.session > self.session {
            self.tasks.clear();
            self.stops_sent.clear();
            // Its lease ran out, but we have answered lately: it does not hear us.
            if self.session.0 > 0 && self.answered_until.is_some_and(|until| now < until) {
                self.lost_session = Some(now);
            }
        }
        self.session = report.session;
        self.sequence = report.sequence;
        self.token = self.token.max(report.token);
        if self.unheard.is_some_and(|(token, _)| self.token >= token) {
            self.unheard = None;
        }
        if self.address.as_ref() != Some(&report.address) {
            self.address = Some(report.address.clone());
        }
        self.leaves_at = report.notice.map(|notice| now + notice);
        self.complete = source == Source::Report;
        self.unreachable = false;
        if source == Source::Report {
            self.heard = now;
            self.reported = true;
            self.answered_starts.clear();
        }
        let old = std::mem::take(&mut self.tasks);
        for entry in &report.tasks {
            let before = old
                .get(&entry.task)
                .filter(|seen| seen.attempt == entry.attempt);
            let running_since = match entry.state {
                TaskState::Running => before.and_then(|seen| seen.running_since).or(Some(now)),
                _ => before.and_then(|seen| seen.running_since),
            };
            self.tasks.insert(
                entry.task.clone(),
                Seen {
                    attempt: entry.attempt,
                    state: entry.state,
                    running_since,
                },
            );
        }
        self.stops_sent
            .retain(|task, _| report.tasks.iter().any(|t| t.task == *task));
        if self.is_settled() {
            self.unsettled = None;
        }
        true
    }

    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// What placed tasks that have ended still take by the cache: their room is
    /// free as soon as they have, although their results are yet to be written.
    pub fn freed(&self, load: &Load) -> Resources {
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

    /// No command that we or an earlier holder sent can still be executed
    /// unseen: every one carried a lower token than the worker knows, or was
    /// answered.
    pub fn is_settled(&self) -> bool {
        self.token >= self.acquired
            && self.starts_in_flight == 0
            && self.unsettled.is_none_or(|(token, _)| self.token > token)
    }

    /// A task that the newest message does not list is surely not there.
    pub fn absence_is_proof(&self, task: &TaskId) -> bool {
        self.complete && self.is_settled() && !self.answered_starts.contains(task)
    }

    pub fn answer_starts(&mut self, commands: &[Command]) {
        self.answered_starts
            .extend(commands.iter().filter_map(|command| match command {
                Command::Start { task, .. } => Some(task.clone()),
                _ => None,
            }));
    }

    /// A report is answered with this token. `interval`: the workers' longest
    /// pause between two reports, far below their lease.
    pub fn note_answer(&mut self, token: Token, interval: Duration, now: Instant) {
        self.answered_until = Some(now + interval);
        if self.token < token {
            self.unheard.get_or_insert((token, now));
        }
    }

    /// Its reports come, but nothing that we say reaches it: it does not show a
    /// token that it was told `patience` ago, or its lease ran out while we
    /// answered. It looks alive, and yet its tasks end with its lease.
    pub fn is_deaf(&self, patience: Duration, now: Instant) -> bool {
        self.unheard
            .is_some_and(|(_, at)| now.duration_since(at) > patience)
            || self
                .lost_session
                .is_some_and(|at| now.duration_since(at) < LOST_LIFE)
    }

    pub fn start_sent(&mut self) {
        self.starts_in_flight += 1;
    }

    pub fn start_answered(&mut self) {
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
    }

    /// An earlier session's tasks are gone.
    pub fn outlived(&self, session: Session) -> bool {
        self.session > session && self.token >= self.acquired
    }

    pub fn started_unanswered(&mut self, token: Token, now: Instant) {
        let token = self.unsettled.map_or(token, |(known, _)| known.max(token));
        self.unsettled = Some((token, now));
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
        if self.failures.len() > FAILURES_KEPT {
            self.failures.pop_front();
        }
    }

    /// Whether so many jobs have failed here that the machine seems faulty. Jobs that
    /// are to blame themselves do not count: they fail on every machine.
    pub fn is_suspect(&self, now: Instant, is_blamed: impl Fn(&JobId) -> bool) -> bool {
        let mut jobs: Vec<&JobId> = self
            .failures
            .iter()
            .filter(|(job, at)| now.duration_since(*at) < FAILURE_WINDOW && !is_blamed(job))
            .map(|(job, _)| job)
            .collect();
        jobs.sort();
        jobs.dedup();
        jobs.len() >= SUSPECT_JOBS
    }

    /// The job is not tried here again for a while.
    pub fn refuse(&mut self, job: &JobId, until: Instant, now: Instant) {
        if self.refusals.len() >= REFUSALS_KEPT {
            self.refusals.retain(|_, at| *at > now);
        }
        if self.refusals.len() < REFUSALS_KEPT {
            self.refusals.insert(job.clone(), until);
        }
    }

    pub fn refuses(&self, job: &JobId, now: Instant) -> bool {
        self.refusals.get(job).is_some_and(|until| *until > now)
    }

    pub fn silent(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }
}

#[cfg(test)]
mod tests;
