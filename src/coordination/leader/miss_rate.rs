//! The recent share of tasks that missed their deadline or start target, and
//! the arrival rate: what the band is judged by (paper, section 5.3).

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use super::pool::Pool;
use crate::storage::{JobId, JobSpec, StateCache};

#[derive(Debug, Default, Clone, Copy)]
struct Progress {
    started: u32,
    done: u32,
}

#[derive(Debug)]
struct MissSample {
    at: Instant,
    pool: Option<Pool>,
    count: u32,
    missed: bool,
}

/// Entries in a window; older ones go first. Each look makes at most two for a pool and
/// one of arrivals, so that a minute of three looks a second and forty pools fits.
const ENTRIES: usize = 16_384;

#[derive(Debug, Default)]
pub struct MissRateWindow {
    progress: BTreeMap<JobId, Progress>,
    judged: VecDeque<MissSample>,
    arrivals: VecDeque<(Instant, u32)>,
    primed: bool,
    /// How long each job's tasks have waited for room.
    starved_for: BTreeMap<JobId, Duration>,
    looked: Option<Instant>,
}

/// A job that waited for room no longer than this would have been as late with
/// any number of machines.
const STARVED: Duration = Duration::from_secs(1);

pub struct MissRate {
    pub rate: f64,
    /// Each pool's share of the misses.
    pub shares: BTreeMap<Pool, f64>,
}

impl MissRateWindow {
    /// Adds to the time that jobs have waited for room. Time spent waiting for a
    /// team's limit is not in it: no machine would shorten that, and counting it
    /// kept the miss rate up and idle machines provisioned.
    pub fn add_starvation<'a>(&mut self, waiting: impl Iterator<Item = &'a JobId>, now: Instant) {
        let since = self.looked.replace(now);
        let step = since.map_or(Duration::ZERO, |at| now.duration_since(at));
        for job in waiting {
            *self.starved_for.entry(job.clone()).or_default() += step;
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
            let seen = Progress {
                started: job.placed + job.done,
                done: job.done,
            };
            let before = self.progress.get(id).copied();
            if before.is_none() && self.primed {
                arrived += spec.tasks;
            }
            let before = before.unwrap_or(if self.primed {
                Progress::default()
            } else {
                // Found at our start; who knows when it happened.
                seen
            });
            let age = spec.age(wall);
            let (count, missed) = match spec.deadline {
                Some(deadline) => (
                    seen.done.saturating_sub(before.done),
                    age > deadline && self.starved_for(id) > STARVED,
                ),
                None => (
                    seen.started.saturating_sub(before.started),
                    self.starved_for(id) > start_target && !spec.is_idle_work(),
                ),
            };
            if count > 0 {
                *judged.entry((suited(spec), missed)).or_default() += count;
            }
            progress.insert(
                id.clone(),
                Progress {
                    // A task that is started anew is not counted again.
                    started: seen.started.max(before.started),
                    done: seen.done,
                },
            );
        }
        self.starved_for.retain(|id, _| progress.contains_key(id));
        self.progress = progress;
        self.primed = true;
        let judged = judged.into_iter();
        self.judged
            .extend(judged.map(|((pool, missed), count)| MissSample {
                at: now,
                pool,
                count,
                missed,
            }));
        if arrived > 0 {
            self.arrivals.push_back((now, arrived));
        }
        while self.judged.len() > ENTRIES
            || self.judged.front().is_some_and(|j| now - j.at > window)
        {
            self.judged.pop_front();
        }
        while self.arrivals.len() > ENTRIES
            || self
                .arrivals
                .front()
                .is_some_and(|(at, _)| now - *at > window)
        {
            self.arrivals.pop_front();
        }
    }

    /// Tasks per minute.
    pub fn arrival_rate(&self, window: Duration) -> f64 {
        let sum: u32 = self.arrivals.iter().map(|(_, tasks)| tasks).sum();
        f64::from(sum) * 60.0 / window.as_secs_f64().max(1.0)
    }

    /// The miss rate, with tasks that wait beyond their target counted as
    /// missed already.
    pub fn misses(&self, overdue: &[(Option<Pool>, u32)]) -> MissRate {
        let mut all = 0;
        let mut missed = 0;
        let mut shares: BTreeMap<Pool, f64> = BTreeMap::new();
        let recent = self.judged.iter().map(|j| (&j.pool, j.count, j.missed));
        let waiting = overdue.iter().map(|(pool, count)| (pool, *count, true));
        for (pool, count, miss) in recent.chain(waiting) {
            all += count;
            if miss {
                missed += count;
                if let Some(pool) = pool {
                    *shares.entry(pool.clone()).or_default() += f64::from(count);
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
