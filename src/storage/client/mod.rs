//! The client of the state service: rate-limited reads and commits over a [`KeyValueStore`],
//! and the local replica (the cache) that they keep up to date.
//!
//! One [`Store`] serves all background tasks of a controller. It owns the cache, whose lock is
//! held only briefly and never across an await.

mod commits;
mod counters;
mod errors;
mod key_value_store;
mod reachability;
mod reads;
mod transaction;

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

pub use commits::CONDITIONS_PER_CHANGE;
pub use counters::StoreCounters;
pub use errors::{CommitError, StateError};
pub use key_value_store::{KeyValue, KeyValueStore, RangePage, StateLimits, WatchEvent};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};
pub use transaction::{LeaseId, Operation, Transaction};

use super::{
    change_signal::{ChangeListener, ChangeSignal},
    ids::Revision,
    locking::lock,
    rate_limiter::{RateLimiter, RequestPriority},
    state_cache::StateCache,
};

/// Maximum fraction of the request limit that the reads of changes of all controllers use.
const READS_SHARE: f64 = 0.33;
/// Minimum interval between two reads of changes.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Fraction of the limits that is divided between the controllers. The rest absorbs collisions
/// when controllers use more than their shares.
const PLANNED_SHARE: f64 = 0.9;
/// Maximum fraction of the limits that one controller uses, even if the others are idle.
const MAX_SHARE: f64 = 0.75;
/// Fraction of the limits that a controller uses before it knows how many controllers there are.
const INITIAL_SHARE: f64 = 0.3;
/// Lower bound of a controller's initial rates, in requests or changes per second.
const MIN_INITIAL_RATE_PER_S: f64 = 2.0;

/// The controller's client of the state service, with its local replica.
pub struct Store {
    /// Sends the requests.
    key_value_store: Box<dyn KeyValueStore>,
    cache: Mutex<StateCache>,
    /// Notifies listeners of changes of the cache.
    changed: ChangeSignal,
    /// See [`Store::is_loaded`].
    loaded: AtomicBool,
    request_limiter: RateLimiter,
    write_limiter: RateLimiter,
    /// See [`Store::confirmed_at`].
    confirmed_at: Mutex<Option<Instant>>,
    /// Start of the current series of unanswered requests; `None` if the last one was answered.
    failing_since: Mutex<Option<Instant>>,
    /// Callers of [`Store::read_barrier`] whose read has not begun.
    barrier_waiters: Mutex<Vec<oneshot::Sender<bool>>>,
    /// Wakes [`Store::serve_read_barriers`].
    barrier_requested: Notify,
    /// Highest revision in any response.
    highest_revision: AtomicU64,
    /// Highest revision of an outcome that was looked up.
    looked_up_revision: AtomicU64,
    counters: Mutex<StoreCounters>,
    limits: StateLimits,
    /// Minimum interval between two reads of changes, in microseconds. One read then returns
    /// many changes, so that reads do not exhaust the request limit under load.
    read_interval_us: AtomicU64,
    /// Time of the last read of changes.
    last_read_at: Mutex<Instant>,
}

impl Store {
    /// Creates a store with an empty cache, which [`Self::watch`] fills.
    pub fn new(key_value_store: Box<dyn KeyValueStore>, limits: StateLimits) -> Self {
        let StateLimits { rps, write_rps, .. } = limits;
        Self {
            key_value_store,
            cache: Mutex::default(),
            changed: ChangeSignal::default(),
            loaded: AtomicBool::new(false),
            request_limiter: initial_limiter(rps),
            write_limiter: initial_limiter(write_rps),
            confirmed_at: Mutex::new(None),
            failing_since: Mutex::new(None),
            barrier_waiters: Mutex::default(),
            barrier_requested: Notify::new(),
            highest_revision: AtomicU64::new(0),
            looked_up_revision: AtomicU64::new(0),
            counters: Mutex::default(),
            limits,
            read_interval_us: AtomicU64::new(MIN_READ_INTERVAL.as_micros() as u64),
            last_read_at: Mutex::new(Instant::now()),
        }
    }

    /// Sets this controller's share of the service's limits, which are divided between the
    /// registered controllers. The leader also writes on behalf of the others and gets two
    /// shares. `lowered`: the announced limits may be in effect and replace the current ones.
    pub fn share_limits(&self, controllers: usize, is_leader: bool, lowered: bool) {
        let controllers = controllers.max(1) as f64;
        let share = PLANNED_SHARE * if is_leader { 2.0 } else { 1.0 } / (controllers + 1.0);
        let limits = &self.limits;
        let (rps, write_rps) = if lowered {
            (limits.next_rps, limits.next_write_rps)
        } else {
            (limits.rps, limits.write_rps)
        };
        self.request_limiter
            .set_bounds(rps * share, rps * MAX_SHARE);
        self.write_limiter
            .set_bounds(write_rps * share, write_rps * MAX_SHARE);
        let read_interval = Duration::from_secs_f64(controllers / (rps * READS_SHARE).max(1.0));
        self.read_interval_us.store(
            read_interval.max(MIN_READ_INTERVAL).as_micros() as u64,
            Ordering::Relaxed,
        );
    }

    fn read_interval(&self) -> Duration {
        Duration::from_micros(self.read_interval_us.load(Ordering::Relaxed))
    }

    /// Returns how many changes can be made now without delaying more urgent ones, as a
    /// fraction of the changes that this controller can make in one second.
    pub fn spare_writes(&self) -> f64 {
        self.write_limiter.available_fraction()
    }

    /// Returns how long the rate limits would delay a commit now; `None` if not at all.
    pub fn commit_wait(&self, priority: RequestPriority) -> Option<Duration> {
        let requests = self.request_limiter.wait(priority);
        requests.max(self.write_limiter.wait(priority))
    }

    /// Locks the cache. The guard must not be held across an await.
    pub fn cache(&self) -> MutexGuard<'_, StateCache> {
        lock(&self.cache)
    }

    /// Whether the cache holds the whole live set. Until it does, no decision may rely on it.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Returns a listener for changes of the cache.
    pub fn changes(&self) -> ChangeListener<'_> {
        self.changed.listen()
    }

    fn notify_changed(&self) {
        self.changed.notify();
    }

    /// Start of the latest read of changes that the service answered and whose changes are all
    /// in the cache.
    pub fn confirmed_at(&self) -> Option<Instant> {
        *lock(&self.confirmed_at)
    }

    /// The highest revision in any response of the service.
    pub fn highest_revision(&self) -> Revision {
        Revision(self.highest_revision.load(Ordering::Relaxed))
    }

    /// Whether the cache has reached the revision of every outcome that was looked up in the
    /// service, so that it shows all cancellations that this controller has reported to users.
    pub fn has_applied_looked_up_outcomes(&self) -> bool {
        self.cache().revision.0 >= self.looked_up_revision.load(Ordering::Relaxed)
    }

    fn note_revision(&self, revision: Revision) {
        self.highest_revision
            .fetch_max(revision.0, Ordering::Relaxed);
    }
}

fn initial_limiter(limit: f64) -> RateLimiter {
    RateLimiter::adaptive(
        (limit * INITIAL_SHARE).max(MIN_INITIAL_RATE_PER_S),
        (limit * MAX_SHARE).max(MIN_INITIAL_RATE_PER_S),
    )
}

#[cfg(test)]
mod tests;
