//! The state-service client: paced reads and commits over a [`KeyValueStore`], and the
//! replica that they keep up to date.
//!
//! One [`Store`] serves all duties of a controller. It owns the cache; whoever locks it
//! does so for a moment and never over an await.

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

/// Part of the request limit that all controllers' reads of changes may take.
const READS_SHARE: f64 = 0.33;
/// Least pause between two reads of changes.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the limits that is used by plan; the rest is for what collides.
const PLANNED_SHARE: f64 = 0.9;
/// Part of the limits that one controller uses at most, whatever others leave.
const MAX_SHARE: f64 = 0.75;
/// Part of the limits that a controller counts on before it knows how many live.
const INITIAL_SHARE: f64 = 0.3;
/// What a controller counts on in any case, in calls or changes a second.
const MIN_INITIAL_RATE: f64 = 2.0;

/// The state service as the rest of the program sees it.
pub struct Store {
    /// The service itself.
    key_value_store: Box<dyn KeyValueStore>,
    cache: Mutex<StateCache>,
    /// Counts the changes of the cache.
    changed: ChangeSignal,
    /// See [`Store::is_loaded`].
    loaded: AtomicBool,
    requests: RateLimiter,
    writes: RateLimiter,
    /// Start of the latest read or commit that the service answered and whose
    /// changes are all in the cache.
    confirmed_at: Mutex<Option<Instant>>,
    /// Since when requests have had no answer.
    failing_since: Mutex<Option<Instant>>,
    /// Callers that wait for a read which begins after they asked.
    barrier_waiters: Mutex<Vec<oneshot::Sender<bool>>>,
    /// Wakes the duty that serves read barriers.
    barrier_requested: Notify,
    /// Highest revision that any answer carried.
    highest_revision: AtomicU64,
    /// Highest revision of an outcome that was looked up.
    looked_up: AtomicU64,
    counters: Mutex<StoreCounters>,
    limits: StateLimits,
    /// Pause between two reads of changes, in microseconds: it lets changes
    /// gather, so that busy times do not eat the request limit.
    read_interval: AtomicU64,
    /// When changes were read last.
    last_read: Mutex<Instant>,
}

impl Store {
    /// A store with an empty cache, which [`Self::watch`] fills.
    pub fn new(key_value_store: Box<dyn KeyValueStore>, limits: StateLimits) -> Self {
        let StateLimits { rps, write_rps, .. } = limits;
        Self {
            key_value_store,
            cache: Mutex::default(),
            changed: ChangeSignal::default(),
            loaded: AtomicBool::new(false),
            requests: initial_limiter(rps),
            writes: initial_limiter(write_rps),
            confirmed_at: Mutex::new(None),
            failing_since: Mutex::new(None),
            barrier_waiters: Mutex::default(),
            barrier_requested: Notify::new(),
            highest_revision: AtomicU64::new(0),
            looked_up: AtomicU64::new(0),
            counters: Mutex::default(),
            limits,
            read_interval: AtomicU64::new(MIN_READ_INTERVAL.as_micros() as u64),
            last_read: Mutex::new(Instant::now()),
        }
    }

    /// Divides the service's limits between the controllers that live. The
    /// leader writes for all of them and counts twice.
    /// `lowered`: the limits to come may hold from now on.
    pub fn share_limits(&self, living: usize, leads: bool, lowered: bool) {
        let living = living.max(1) as f64;
        let part = PLANNED_SHARE * if leads { 2.0 } else { 1.0 } / (living + 1.0);
        let limits = &self.limits;
        let (rps, write_rps) = if lowered {
            (limits.next_rps, limits.next_write_rps)
        } else {
            (limits.rps, limits.write_rps)
        };
        self.requests.set_bounds(rps * part, rps * MAX_SHARE);
        self.writes
            .set_bounds(write_rps * part, write_rps * MAX_SHARE);
        let read_interval = Duration::from_secs_f64(living / (rps * READS_SHARE).max(1.0));
        self.read_interval.store(
            read_interval.max(MIN_READ_INTERVAL).as_micros() as u64,
            Ordering::Relaxed,
        );
    }

    fn read_interval(&self) -> Duration {
        Duration::from_micros(self.read_interval.load(Ordering::Relaxed))
    }

    /// Changes of the state service that may be made now without making more
    /// urgent ones wait, as a part of a second's worth.
    pub fn spare_writes(&self) -> f64 {
        self.writes.filled()
    }

    /// How long a commit would have to wait now for the service's limits.
    pub fn commit_wait(&self, priority: RequestPriority) -> Option<Duration> {
        let requests = self.requests.wait(priority);
        requests.max(self.writes.wait(priority))
    }

    /// Locks the cache. It must not be held over an await.
    pub fn cache(&self) -> MutexGuard<'_, StateCache> {
        lock(&self.cache)
    }

    /// The live set has been read once; before that nothing can be decided.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Tells its listener of every change of the cache.
    pub fn changes(&self) -> ChangeListener<'_> {
        self.changed.listen()
    }

    fn notify_changed(&self) {
        self.changed.notify();
    }

    /// Start of the latest read that the service answered and whose changes are all in
    /// the cache.
    pub fn confirmed_at(&self) -> Option<Instant> {
        *lock(&self.confirmed_at)
    }

    /// The highest revision that any answer of the service carried.
    pub fn highest_revision(&self) -> Revision {
        Revision(self.highest_revision.load(Ordering::Relaxed))
    }

    /// The cache has caught up with every outcome that was looked up ahead of it, so
    /// that it shows all cancellations that users were told of here.
    pub fn has_applied_looked_up_outcomes(&self) -> bool {
        self.cache().revision.0 >= self.looked_up.load(Ordering::Relaxed)
    }

    fn note_revision(&self, revision: Revision) {
        self.highest_revision
            .fetch_max(revision.0, Ordering::Relaxed);
    }
}

fn initial_limiter(limit: f64) -> RateLimiter {
    RateLimiter::between(
        (limit * INITIAL_SHARE).max(MIN_INITIAL_RATE),
        (limit * MAX_SHARE).max(MIN_INITIAL_RATE),
    )
}
