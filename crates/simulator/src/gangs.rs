//! Execution of gangs by agents: the tasks of an attempt wait for each other, start and
//! complete together, and detect the loss of one of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stallcove::storage::{JobId, JobSpec};
use tokio::time::Instant;

/// How long a task waits for the other tasks of its gang before it exits.
pub const GANG_START_TIMEOUT: Duration = Duration::from_secs(30);
/// A task of a waiting gang that was last seen longer ago than this does not count as present.
/// Also the time that all tasks of a stopped gang have to save their checkpoints, from the first
/// stop command.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(4);
/// A task of a running gang that was last seen longer ago than this is lost. The other tasks exit
/// this long after the loss is noticed.
const LOSS_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt to run a gang.
#[derive(Default)]
struct GangAttempt {
    /// When each task was last seen.
    members: BTreeMap<u32, Instant>,
    started_at: Option<Instant>,
    is_done: bool,
    /// When a task of the running gang was lost.
    lost_at: Option<Instant>,
    /// When the first stop command arrived.
    stopped_at: Option<Instant>,
    /// Tasks that have saved their checkpoint after a stop command.
    saved: BTreeSet<u32>,
    /// Whether all tasks have saved their checkpoints.
    is_saved: bool,
    /// Whether the attempt has ended, so that no task may join it.
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

    /// Advances a gang that is being stopped. `saved` is the calling task's index if its
    /// checkpoint is saved; `tasks` is the size of the gang.
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
        if now.duration_since(stopped_at) > MEMBER_TIMEOUT {
            self.lost_at = Some(now);
        }
        GangStep::Stay
    }
}

/// All gang attempts of a scenario, and the saved progress of each job.
#[derive(Default)]
pub struct Gangs {
    attempts: BTreeMap<(JobId, u64), GangAttempt>,
    /// Saved run time of each job.
    progress: BTreeMap<JobId, Duration>,
}

/// Next step of a task of a gang.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GangStep {
    /// The task remains in its stage.
    Stay,
    /// All tasks of the gang are present: the task starts running.
    Run,
    /// The gang has completed.
    Done,
    /// The gang was stopped and all tasks have saved their checkpoints.
    Saved,
    /// Another task of the gang was lost.
    MemberLost,
}

/// Returns the run time covered by the last periodic checkpoint of a job that has run for
/// `run_time`.
fn last_checkpoint(spec: &JobSpec, run_time: Duration) -> Duration {
    if spec.checkpoint.is_zero() {
        return Duration::ZERO;
    }
    let checkpoints = (run_time.as_secs_f64() / spec.checkpoint.as_secs_f64()) as u32;
    spec.checkpoint * checkpoints
}

impl Gangs {
    /// Adds a task that has its image and waits for the other tasks. Returns false if the attempt
    /// has already started or ended: a controller must not reuse an attempt.
    pub fn join(&mut self, job: &JobId, attempt: u64, task: u32) -> bool {
        let gang = self.attempts.entry((job.clone(), attempt)).or_default();
        gang.members.insert(task, Instant::now());
        !(gang.is_over || gang.started_at.is_some())
    }

    /// Removes a task that ended because of a command, its machine's termination, the expiry of
    /// its agent's lease or the start timeout.
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

    /// Records that a task of the running gang has received a stop command.
    pub fn stop(&mut self, job: &JobId, attempt: u64) {
        if let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) {
            gang.stopped_at.get_or_insert_with(Instant::now);
        }
    }

    /// Marks a waiting task as present, and starts the gang if all tasks are present.
    pub fn wait(&mut self, job: &JobId, attempt: u64, task: u32, spec: &JobSpec) -> GangStep {
        let now = Instant::now();
        let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) else {
            return GangStep::Stay;
        };
        gang.members.insert(task, now);
        let is_present = |seen_at: &&Instant| now.duration_since(**seen_at) < MEMBER_TIMEOUT;
        if gang.members.values().filter(is_present).count() as u32 == spec.tasks {
            gang.started_at.get_or_insert(now);
        }
        match gang.started_at {
            Some(_) => GangStep::Run,
            None => GangStep::Stay,
        }
    }

    /// Returns the next step of a task that is running or saving. `has_saved` means that the
    /// task's own checkpoint is saved after a stop command.
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
            return GangStep::MemberLost;
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
        let progress_now = progress_before + gang.run_time(now);
        if let Some(lost_at) = gang.lost_at {
            if now.duration_since(lost_at) < LOSS_TIMEOUT {
                return GangStep::Stay;
            }
            gang.is_over = true;
            let checkpointed = last_checkpoint(spec, progress_now);
            let progress = self.progress.entry(job.clone()).or_default();
            *progress = (*progress).max(checkpointed);
            return GangStep::MemberLost;
        }
        if let Some(stopped_at) = gang.stopped_at {
            let saved = has_saved.then_some(task);
            let step = gang.advance_stop(now, stopped_at, saved, spec.tasks);
            if step == GangStep::Saved {
                self.progress.insert(job.clone(), progress_now);
            }
            return step;
        }
        if progress_now < spec.estimate {
            return GangStep::Stay;
        }
        gang.is_done = true;
        gang.is_over = true;
        GangStep::Done
    }
}
