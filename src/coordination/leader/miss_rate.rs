//! The recent share of tasks that missed their deadline or start target, and
//! the arrival rate: what the band is judged by (paper, section 5.3).
//!
//! The window is kept in the leader's state and observed in each pass of the fleet manager.
//! It is not stored: a new leader begins with an empty one, and counts nothing that happened
//! before its first observation.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use super::pool::Pool;
use crate::storage::{JobId, JobSpec, StateCache, state_cache::Job};

/// Samples in a window; older ones go first. Each observation makes at most two for a
/// pool and one of arrivals, so that a minute of three observations a second and forty pools
/// fits.
const MAX_SAMPLES: usize = 16_384;

/// A job that waited for room no longer than this would have been as late with
/// any number of machines.
const MIN_STARVATION: Duration = Duration::from_secs(1);

/// How far a job's tasks have come.
#[derive(Debug, Default, Clone, Copy)]
struct Progress {
    started: u32,
    done: u32,
}

impl Progress {
    fn of(job: &Job) -> Self {
        Self {
            started: job.placed + job.done,
            done: job.done,
        }
    }

    /// What is to be remembered after `before`: a task that is started anew is not counted
    /// again.
    fn following(self, before: Self) -> Self {
        Self {
            started: self.started.max(before.started),
            done: self.done,
        }
    }
}

/// Tasks that have met or missed their target.
#[derive(Debug)]
struct MissSample {
    at: Instant,
    /// The pool that suits them.
    pool: Option<Pool>,
    tasks: u32,
    missed: bool,
}

/// Tasks of jobs that are new.
#[derive(Debug)]
struct ArrivalSample {
    at: Instant,
    tasks: u32,
}

/// Tasks of one job that have met or missed their target since the last observation.
struct JudgedTasks {
    tasks: u32,
    missed: bool,
}

/// Waiting tasks that are beyond their target already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueTasks {
    /// The pool that suits them; none: no available place does.
    pub pool: Option<Pool>,
    /// How many tasks.
    pub tasks: u32,
}

/// What has happened to tasks over a window of time.
#[derive(Debug, Default)]
pub struct MissRateWindow {
    /// How far each job had come at the last observation.
    progress: BTreeMap<JobId, Progress>,
    judged: VecDeque<MissSample>,
    arrivals: VecDeque<ArrivalSample>,
    /// Something has been observed, so that a job not known yet is new.
    is_primed: bool,
    /// How long each job's tasks have waited for room.
    starved_for: BTreeMap<JobId, Duration>,
    /// When time of waiting was added last.
    starvation_added_at: Option<Instant>,
}

/// The miss rate of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct MissRate {
    /// The share of tasks that missed their target, of 1.
    pub rate: f64,
    /// Each pool's share of the misses.
    pub shares: BTreeMap<Pool, f64>,
}

impl MissRateWindow {
    /// Adds to the time that jobs have waited for room. Time spent waiting for a
    /// team's limit is not in it: no machine would shorten that, and counting it
    /// kept the miss rate up and idle machines provisioned.
    pub fn add_starvation<'a>(&mut self, waiting: impl Iterator<Item = &'a JobId>, now: Instant) {
        let last = self.starvation_added_at.replace(now);
        let elapsed = last.map_or(Duration::ZERO, |at| now.duration_since(at));
        for job in waiting {
            *self.starved_for.entry(job.clone()).or_default() += elapsed;
        }
    }

    fn starved_for(&self, job: &JobId) -> Duration {
        self.starved_for.get(job).copied().unwrap_or_default()
    }

    /// Takes note of what has happened since the last call. `suited` names the
    /// pool that suits a job.
    pub fn observe(
        &mut self,
        cache: &StateCache,
        now: Instant,
        wall: SystemTime,
        start_target: Duration,
        window: Duration,
        suited: impl Fn(&Arc<JobSpec>) -> Option<Pool>,
    ) {
        let mut judged: BTreeMap<(Option<Pool>, bool), u32> = BTreeMap::new();
        let mut arrived = 0;
        let mut progress = BTreeMap::new();
        for (id, job) in &cache.jobs {
            let Some(spec) = job.spec() else { continue };
            let current = Progress::of(job);
            if self.is_primed && !self.progress.contains_key(id) {
                arrived += spec.tasks;
            }
            let before = self.progress_before(id, current);
            let JudgedTasks { tasks, missed } =
                self.judge(id, spec, before, current, wall, start_target);
            if tasks > 0 {
                *judged.entry((suited(spec), missed)).or_default() += tasks;
            }
            progress.insert(id.clone(), current.following(before));
        }
        self.starved_for.retain(|id, _| progress.contains_key(id));
        self.progress = progress;
        self.is_primed = true;
        let samples = judged
            .into_iter()
            .map(|((pool, missed), tasks)| MissSample {
                at: now,
                pool,
                tasks,
                missed,
            });
        self.judged.extend(samples);
        if arrived > 0 {
            self.arrivals.push_back(ArrivalSample {
                at: now,
                tasks: arrived,
            });
        }
        self.forget_old(now, window);
    }

    /// How far a job had come at the last observation.
    fn progress_before(&self, id: &JobId, current: Progress) -> Progress {
        match self.progress.get(id) {
            Some(progress) => *progress,
            None if self.is_primed => Progress::default(),
            // Found at our start; who knows when it happened.
            None => current,
        }
    }

    /// Which of a job's tasks have met or missed their target since `before`: with a
    /// deadline those that have ended, else those that have started.
    fn judge(
        &self,
        id: &JobId,
        spec: &JobSpec,
        before: Progress,
        current: Progress,
        wall: SystemTime,
        start_target: Duration,
    ) -> JudgedTasks {
        match spec.deadline {
            Some(deadline) => JudgedTasks {
                tasks: current.done.saturating_sub(before.done),
                missed: spec.age(wall) > deadline && self.starved_for(id) > MIN_STARVATION,
            },
            None => JudgedTasks {
                tasks: current.started.saturating_sub(before.started),
                missed: self.starved_for(id) > start_target && !spec.is_idle_work(),
            },
        }
    }

    /// Drops samples that are older than the window, and the oldest if they are too many.
    fn forget_old(&mut self, now: Instant, window: Duration) {
        let is_old = |at: Instant| now - at > window;
        while self.judged.len() > MAX_SAMPLES
            || self.judged.front().is_some_and(|sample| is_old(sample.at))
        {
            self.judged.pop_front();
        }
        while self.arrivals.len() > MAX_SAMPLES
            || self
                .arrivals
                .front()
                .is_some_and(|sample| is_old(sample.at))
        {
            self.arrivals.pop_front();
        }
    }

    /// Tasks per minute.
    pub fn arrival_rate(&self, window: Duration) -> f64 {
        let tasks: u32 = self.arrivals.iter().map(|sample| sample.tasks).sum();
        f64::from(tasks) * 60.0 / window.as_secs_f64().max(1.0)
    }

    /// The miss rate, with tasks that wait beyond their target counted as
    /// missed already.
    pub fn misses(&self, overdue: &[OverdueTasks]) -> MissRate {
        let mut all = 0;
        let mut missed = 0;
        let mut shares: BTreeMap<Pool, f64> = BTreeMap::new();
        let recent = self
            .judged
            .iter()
            .map(|sample| (&sample.pool, sample.tasks, sample.missed));
        let waiting = overdue
            .iter()
            .map(|overdue| (&overdue.pool, overdue.tasks, true));
        for (pool, tasks, is_missed) in recent.chain(waiting) {
            all += tasks;
            if is_missed {
                missed += tasks;
                if let Some(pool) = pool {
                    *shares.entry(pool.clone()).or_default() += f64::from(tasks);
                }
            }
        }
        if missed > 0 {
            for share in shares.values_mut() {
                *share /= f64::from(missed);
            }
        }
        MissRate {
            rate: f64::from(missed) / f64::from(all.max(1)),
            shares,
        }
    }
}

#[cfg(test)]
mod tests;
