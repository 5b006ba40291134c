//! Measures the recent share of tasks that missed their deadline or start target, and the
//! arrival rate. Scaling decisions are based on both (paper, section 5.3).
//!
//! The window is part of the leader's state and is updated in each pass of the fleet manager.
//! It is not stored: a new leader starts with an empty window and counts nothing that
//! happened before its first observation.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use super::pool::Pool;
use crate::storage::{JobId, JobSpec, StateCache, state_cache::Job};

/// Maximum number of samples in a window; the oldest are dropped first. Each observation adds
/// at most two samples per pool and one of arrivals, so that one minute of three observations
/// per second with forty pools fits.
const MAX_SAMPLES: usize = 16_384;

/// A job that waited for capacity no longer than this would have missed its deadline with any
/// number of machines, so that it is not counted as a miss.
const MIN_STARVATION: Duration = Duration::from_secs(1);

/// Number of a job's tasks that have started and that are done.
#[derive(Debug, Default, Clone, Copy)]
struct Progress {
    started: u32,
    done: u32,
}

impl Progress {
    fn of(job: &Job) -> Self {
        Self {
            started: job.placed_tasks + job.completed_tasks,
            done: job.completed_tasks,
        }
    }

    /// Returns the progress to store after an observation that followed `before`. The number
    /// of started tasks never falls, so that a restarted task is not counted again.
    fn without_restarts(self, before: Self) -> Self {
        Self {
            started: self.started.max(before.started),
            done: self.done,
        }
    }
}

/// Tasks of one pool that met or missed their target in one observation.
#[derive(Debug)]
struct TargetSample {
    at: Instant,
    /// The pool that suits the tasks.
    pool: Option<Pool>,
    tasks: u32,
    missed: bool,
}

/// Tasks of jobs that were new in one observation.
#[derive(Debug)]
struct ArrivalSample {
    at: Instant,
    tasks: u32,
}

/// Tasks of one job that have met or missed their target since the last observation.
struct EvaluatedTasks {
    tasks: u32,
    missed: bool,
}

/// Waiting tasks that have already exceeded their target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueTasks {
    /// The pool that suits the tasks, or none if no available place suits them.
    pub pool: Option<Pool>,
    /// Number of tasks.
    pub tasks: u32,
}

/// Met and missed targets and arrivals of tasks over a sliding window of time.
#[derive(Debug, Default)]
pub struct MissRateWindow {
    /// Each job's progress at the last observation.
    progress: BTreeMap<JobId, Progress>,
    evaluated: VecDeque<TargetSample>,
    arrivals: VecDeque<ArrivalSample>,
    /// Whether there was an observation, so that a job without progress is new.
    has_baseline: bool,
    /// Total time for which each job's tasks have waited for capacity.
    starved_for: BTreeMap<JobId, Duration>,
    /// When `starved_for` was last updated.
    starvation_added_at: Option<Instant>,
}

/// The miss rate of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct MissRate {
    /// The share of tasks that missed their target, from 0 to 1.
    pub rate: f64,
    /// Each pool's share of the missed tasks, from 0 to 1.
    pub shares: BTreeMap<Pool, f64>,
}

impl MissRateWindow {
    /// Adds the time since the last call to the time that the given jobs have waited for capacity.
    /// Time spent waiting because of a team's limit must not be included: additional machines would
    /// not shorten it, and counting it kept the miss rate high and idle machines provisioned.
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

    /// Adds samples of the targets met or missed and the jobs that arrived since the last call,
    /// and drops samples older than `window`. `pool_for` returns the pool that suits a job.
    pub fn observe(
        &mut self,
        cache: &StateCache,
        now: Instant,
        wall_time: SystemTime,
        start_target: Duration,
        window: Duration,
        pool_for: impl Fn(&Arc<JobSpec>) -> Option<Pool>,
    ) {
        let mut evaluated: BTreeMap<(Option<Pool>, bool), u32> = BTreeMap::new();
        let mut arrived = 0;
        let mut progress = BTreeMap::new();
        for (id, job) in &cache.jobs {
            let Some(spec) = job.spec() else { continue };
            let current = Progress::of(job);
            if self.has_baseline && !self.progress.contains_key(id) {
                arrived += spec.tasks;
            }
            let before = self.progress_before(id, current);
            let EvaluatedTasks { tasks, missed } =
                self.evaluate_targets(id, spec, before, current, wall_time, start_target);
            if tasks > 0 {
                *evaluated.entry((pool_for(spec), missed)).or_default() += tasks;
            }
            progress.insert(id.clone(), current.without_restarts(before));
        }
        self.starved_for.retain(|id, _| progress.contains_key(id));
        self.progress = progress;
        self.has_baseline = true;
        let samples = evaluated
            .into_iter()
            .map(|((pool, missed), tasks)| TargetSample {
                at: now,
                pool,
                tasks,
                missed,
            });
        self.evaluated.extend(samples);
        if arrived > 0 {
            self.arrivals.push_back(ArrivalSample {
                at: now,
                tasks: arrived,
            });
        }
        self.drop_old_samples(now, window);
    }

    /// Returns a job's progress at the last observation.
    fn progress_before(&self, id: &JobId, current: Progress) -> Progress {
        match self.progress.get(id) {
            Some(progress) => *progress,
            None if self.has_baseline => Progress::default(),
            // The job is older than the first observation, so that it is unknown when its
            // tasks started or ended: they are not counted.
            None => current,
        }
    }

    /// Returns how many of a job's tasks have met or missed their target since `before`. For a
    /// job with a deadline these are the tasks that have ended, otherwise those that have
    /// started.
    fn evaluate_targets(
        &self,
        id: &JobId,
        spec: &JobSpec,
        before: Progress,
        current: Progress,
        wall_time: SystemTime,
        start_target: Duration,
    ) -> EvaluatedTasks {
        match spec.deadline {
            Some(deadline) => EvaluatedTasks {
                tasks: current.done.saturating_sub(before.done),
                missed: spec.age(wall_time) > deadline && self.starved_for(id) > MIN_STARVATION,
            },
            None => EvaluatedTasks {
                tasks: current.started.saturating_sub(before.started),
                missed: self.starved_for(id) > start_target && !spec.is_best_effort_array(),
            },
        }
    }

    /// Drops samples that are older than the window, and the oldest beyond [`MAX_SAMPLES`].
    fn drop_old_samples(&mut self, now: Instant, window: Duration) {
        let is_old = |at: Instant| now - at > window;
        while self.evaluated.len() > MAX_SAMPLES
            || self
                .evaluated
                .front()
                .is_some_and(|sample| is_old(sample.at))
        {
            self.evaluated.pop_front();
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

    /// Returns the number of tasks that arrived per minute of the window.
    pub fn arrival_rate(&self, window: Duration) -> f64 {
        let tasks: u32 = self.arrivals.iter().map(|sample| sample.tasks).sum();
        f64::from(tasks) * 60.0 / window.as_secs_f64().max(1.0)
    }

    /// Returns the miss rate, counting waiting tasks that have exceeded their target as missed.
    pub fn current_rate(&self, overdue: &[OverdueTasks]) -> MissRate {
        let mut all = 0;
        let mut missed = 0;
        let mut shares: BTreeMap<Pool, f64> = BTreeMap::new();
        let recent = self
            .evaluated
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
