//! Gangs as agents play them: the tasks of an attempt find each other, start and
//! complete together, and notice when one of them is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stallcove::storage::{JobId, JobSpec};
use tokio::time::Instant;

pub const WAIT: Duration = Duration::from_secs(30);
pub const PEER: Duration = Duration::from_secs(4);

#[derive(Default)]
struct Attempt {
    /// Each task's last sign of life.
    members: BTreeMap<u32, Instant>,
    started: Option<Instant>,
    done: bool,
    /// A member of the running gang is gone.
    lost: Option<Instant>,
    /// The first order to stop, and who has got one and has saved.
    stopped: Option<Instant>,
    told: BTreeSet<u32>,
    saved: BTreeSet<u32>,
    entry: bool,
    over: bool,
}

#[derive(Default)]
pub struct Gangs {
    attempts: BTreeMap<(JobId, u64), Attempt>,
    /// What is saved of each job's run.
    progress: BTreeMap<JobId, Duration>,
}

/// What a task of a gang does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    Stay,
    Run,
    Done,
    Saved,
    MatesGone,
}

impl Gangs {
    /// The task has its image and waits for the others. False: the attempt is over,
    /// and must not be used again.
    pub fn join(&mut self, job: &JobId, attempt: u64, task: u32) -> bool {
        let gang = self.attempts.entry((job.clone(), attempt)).or_default();
        gang.members.insert(task, Instant::now());
        !(gang.over || gang.started.is_some())
    }

    /// The task is gone, by command, with its machine or by its lease.
    pub fn leave(&mut self, job: &JobId, attempt: u64, task: u32) {
        if let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) {
            gang.members.remove(&task);
            let runs = gang.started.is_some() && !gang.done && !gang.entry;
            if runs && gang.lost.is_none() {
                gang.lost = Some(Instant::now());
                gang.over = true;
            }
        }
    }

    /// An order to stop has reached a task of the running gang.
    pub fn stop(&mut self, job: &JobId, attempt: u64, task: u32) {
        if let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) {
            gang.stopped.get_or_insert_with(Instant::now);
            gang.told.insert(task);
        }
    }

    /// A task that waits looks whether all are there.
    pub fn wait(&mut self, job: &JobId, attempt: u64, task: u32, spec: &JobSpec) -> Next {
        let now = Instant::now();
        let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) else {
            return Next::Stay;
        };
        gang.members.insert(task, now);
        let live = |at: &&Instant| now.duration_since(**at) < PEER;
        if gang.members.values().filter(live).count() as u32 == spec.tasks {
            gang.started.get_or_insert(now);
        }
        match gang.started {
            Some(_) => Next::Run,
            None => Next::Stay,
        }
    }

    /// A task that runs, or saves, looks at the others. `saved`: its own save is done.
    pub fn run(
        &mut self,
        job: &JobId,
        attempt: u64,
        task: u32,
        spec: &JobSpec,
        saved: bool,
    ) -> Next {
        let now = Instant::now();
        let before = self.progress.get(job).copied().unwrap_or_default();
        let Some(gang) = self.attempts.get_mut(&(job.clone(), attempt)) else {
            return Next::MatesGone;
        };
        gang.members.insert(task, now);
        let started = gang.started.unwrap_or(now);
        if gang.done {
            return Next::Done;
        }
        if gang.entry {
            return Next::Saved;
        }
        let silent = |at: &Instant| now.duration_since(*at) > PEER / 2;
        if gang.lost.is_none() && gang.members.values().any(silent) {
            gang.lost = Some(now);
        }
        let ran = gang.stopped.unwrap_or(now).duration_since(started);
        let reached = before + ran;
        if let Some(lost) = gang.lost {
            if now.duration_since(lost) < PEER / 2 {
                return Next::Stay;
            }
            gang.over = true;
            let steps = match spec.checkpoint.is_zero() {
                true => 0,
                false => (reached.as_secs_f64() / spec.checkpoint.as_secs_f64()) as u32,
            };
            let safe = spec.checkpoint * steps;
            let progress = self.progress.entry(job.clone()).or_default();
            *progress = (*progress).max(safe);
            return Next::MatesGone;
        }
        if let Some(stopped) = gang.stopped {
            if saved {
                gang.saved.insert(task);
            }
            if gang.saved.len() as u32 == spec.tasks {
                gang.entry = true;
                gang.over = true;
                self.progress.insert(job.clone(), reached);
                return Next::Saved;
            }
            if now.duration_since(stopped) > PEER {
                gang.lost = Some(now);
            }
            return Next::Stay;
        }
        if reached >= spec.estimate {
            gang.done = true;
            gang.over = true;
            return Next::Done;
        }
        Next::Stay
    }
}
