//! Gangs as agents run them: the tasks of an attempt find each other, start and
//! complete together, and notice when one of them is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stallcove::storage::{JobId, JobSpec};
use tokio::time::Instant;

/// How long a task waits for the others of its gang.
pub const GANG_START_TIMEOUT: Duration = Duration::from_secs(30);
/// A task without a sign of life for this long is not counted as there.
const MATE_TIMEOUT: Duration = Duration::from_secs(4);
/// A task of a running gang without a sign of life for this long is lost; the others exit
/// after as long again.
const LOSS_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt to run a gang.
#[derive(Default)]
struct GangAttempt {
    /// Each task's last sign of life.
    members: BTreeMap<u32, Instant>,
    started_at: Option<Instant>,
    is_done: bool,
    /// When a member of the running gang was lost.
    lost_at: Option<Instant>,
    /// When the first command to stop came.
    stopped_at: Option<Instant>,
    /// Tasks that have saved their checkpoint after a command to stop.
    saved: BTreeSet<u32>,
    /// All tasks have saved.
    is_saved: bool,
    /// The attempt has come to its end, and must not be used again.
    is_over: bool,
}

impl GangAttempt {
    fn run_time(&self, now: Instant) -> Duration {
        let started_at = self.started_at.unwrap_or(now);
        self.stopped_at.unwrap_or(now).duration_since(started_at)
    }

    fn has_silent_member(&self, now: Instant) -> bool {
        let is_silent = |seen_at: &Instant| now.duration_since(*seen_at) > LOSS_TIMEOUT;
        self.members.values().any(is_silent)
    }

    /// A task of the gang that is being stopped looks whether all have saved.
    fn advance_stop(
        &mut self,
        now: Instant,
        stopped_at: Instant,
        saved: Option<u32>,
        tasks: u32,
    ) -> GangStep {
        self.saved.extend(saved);
        if self.saved.len() as u32 == tasks {
            self.is_saved = true;
            self.is_over = true;
            return GangStep::Saved;
        }
        if now.duration_since(stopped_at) > MATE_TIMEOUT {
            self.lost_at = Some(now);
        }
        GangStep::Stay
    }
}

/// The gangs of a scenario, with the progress that each job has saved.
#[derive(Default)]
pub struct Gangs {
    attempts: BTreeMap<(JobId, u64), GangAttempt>,
    /// What is saved of each job's run time.
    progress: BTreeMap<JobId, Duration>,
}

/// What a task of a gang does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GangStep {
    /// It goes on with what it does.
    Stay,
    /// All are there: it runs.
    Run,
    /// The gang has completed.
    Done,
    /// The gang was stopped and all tasks have saved.
    Saved,
    /// Another task was lost.
    MatesGone,
}

/// The last whole checkpoint of a job that has run for this long.
fn last_checkpoint(spec: &JobSpec, run_time: Duration) -> Duration {
    if spec.checkpoint.is_zero() {
        return Duration::ZERO;
    }
    let checkpoints = (run_time.as_secs_f64() / spec.checkpoint.as_secs_f64()) as u32;
    spec.checkpoint * checkpoints
}

impl Gangs {
    /// The task has its image and waits for the others. False: the attempt is over,
    /// and must not be used again.
    pub fn join(&mut self, job: &JobId, attempt: u64, task: u32) -> bool {
        let gang = self.attempts.entry((job.clone(), attempt)).or_default();
        gang.members.insert(task, Instant::now());
        !(gang.is_over || gang.started_at.is_some())
    }

    /// The task is gone, by command, with its machine or by its lease.
    pub fn leave(&mut self, job: &JobId, attempt: u64, task: u32) {
        let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) else {
            return;
        };
        gang.members.remove(&task);
        let is_running = gang.started_at.is_some() && !gang.is_done && !gang.is_saved;
        if is_running && gang.lost_at.is_none() {
            gang.lost_at = Some(Instant::now());
            gang.is_over = true;
        }
    }

    /// A command to stop has reached a task of the running gang.
    pub fn stop(&mut self, job: &JobId, attempt: u64) {
        if let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) {
            gang.stopped_at.get_or_insert_with(Instant::now);
        }
    }

    /// A task that waits looks whether all are there.
    pub fn wait(&mut self, job: &JobId, attempt: u64, task: u32, spec: &JobSpec) -> GangStep {
        let now = Instant::now();
        let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) else {
            return GangStep::Stay;
        };
        gang.members.insert(task, now);
        let is_there = |seen_at: &&Instant| now.duration_since(**seen_at) < MATE_TIMEOUT;
        if gang.members.values().filter(is_there).count() as u32 == spec.tasks {
            gang.started_at.get_or_insert(now);
        }
        match gang.started_at {
            Some(_) => GangStep::Run,
            None => GangStep::Stay,
        }
    }

    /// A task that runs, or saves, looks at the others. `has_saved`: its own checkpoint is
    /// saved after a command to stop.
    pub fn run(
        &mut self,
        job: &JobId,
        attempt: u64,
        task: u32,
        spec: &JobSpec,
        has_saved: bool,
    ) -> GangStep {
        let now = Instant::now();
        let progress_before = self.progress.get(job).copied().unwrap_or_default();
        let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) else {
            return GangStep::MatesGone;
        };
        gang.members.insert(task, now);
        if gang.is_done {
            return GangStep::Done;
        }
        if gang.is_saved {
            return GangStep::Saved;
        }
        if gang.lost_at.is_none() && gang.has_silent_member(now) {
            gang.lost_at = Some(now);
        }
        let reached = progress_before + gang.run_time(now);
        if let Some(lost_at) = gang.lost_at {
            if now.duration_since(lost_at) < LOSS_TIMEOUT {
                return GangStep::Stay;
            }
            gang.is_over = true;
            let safe = last_checkpoint(spec, reached);
            let progress = self.progress.entry(job.clone()).or_default();
            *progress = (*progress).max(safe);
            return GangStep::MatesGone;
        }
        if let Some(stopped_at) = gang.stopped_at {
            let saved = has_saved.then_some(task);
            let step = gang.advance_stop(now, stopped_at, saved, spec.tasks);
            if step == GangStep::Saved {
                self.progress.insert(job.clone(), reached);
            }
            return step;
        }
        if reached < spec.estimate {
            return GangStep::Stay;
        }
        gang.is_done = true;
        gang.is_over = true;
        GangStep::Done
    }
}
