//! The state-service client: paced reads and commits over a port, and the
//! replica that they keep up to date.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::BoxFuture;
use serde::Serialize;
use serde_json::Value;
use tokio::{
    sync::{Notify, oneshot, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::{
    ids::Revision,
    jitter, keys,
    rate_limiter::{RateLimiter, RequestPriority},
    records::OutcomeRecord,
    state_cache::StateCache,
};

/// A lease of the key-value store, to which keys can be attached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    Put {
        key: String,
        value: Value,
        lease: Option<LeaseId>,
    },
    Delete {
        key: String,
    },
}

/// Compares revisions (0: the key is absent), then changes keys, all or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    pub conditions: Vec<(String, Revision)>,
    pub ops: Vec<Operation>,
}

impl Transaction {
    pub fn require(mut self, key: String, revision: Revision) -> Self {
        self.conditions.push((key, revision));
        self
    }

    pub fn set(self, key: String, value: &impl Serialize) -> Self {
        self.set_with(key, value, None)
    }

    pub fn set_with(mut self, key: String, value: &impl Serialize, lease: Option<LeaseId>) -> Self {
        // Our records are plain data with string keys; they always serialise.
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.ops.push(Operation::Put { key, value, lease });
        self
    }

    pub fn remove(mut self, key: String) -> Self {
        self.ops.push(Operation::Delete { key });
        self
    }

    /// Joins another transaction on other keys to this one.
    pub fn absorb(&mut self, other: Transaction) {
        for condition in other.conditions {
            if !self.conditions.contains(&condition) {
                self.conditions.push(condition);
            }
        }
        self.ops.extend(other.ops);
    }
}

/// Why the state service did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    #[error("refused: not executed")]
    Unavailable,
    #[error("over the request limit: not executed")]
    Throttled,
    #[error("no answer: perhaps executed")]
    NoAnswer,
    #[error("the lease has expired")]
    LeaseExpired,
    #[error("too old a revision to follow")]
    TooOld,
    #[error("rejected: {0}")]
    Rejected(String),
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    #[error("conditions failed on {0:?}")]
    Conflict(Vec<String>),
    #[error(transparent)]
    State(#[from] StateError),
}

impl CommitError {
    /// The transaction may have been executed, or may yet be.
    pub fn is_unknown(&self) -> bool {
        matches!(self, CommitError::State(StateError::NoAnswer))
    }
}

/// What the state service allows.
#[derive(Clone, Debug)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    /// The rates that it will allow from some moment on, not above those of now.
    pub next_rps: f64,
    pub next_write_rps: f64,
    /// Largest value and transaction, of now and then: what is too large one day is
    /// never written, since that day is not announced.
    pub value_bytes: usize,
    pub txn_ops: usize,
}

/// A key as read.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    pub key: String,
    pub value: Value,
    pub revision: Revision,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    Put(KeyValue),
    Delete { key: String, revision: Revision },
}

pub struct RangePage {
    pub items: Vec<KeyValue>,
    pub more: bool,
    pub revision: Revision,
}

/// What a state service offers. Each call is bounded in time by its port.
pub trait KeyValueStore: Send + Sync {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KeyValue>, StateError>>;
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<RangePage, StateError>>;
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Revision, CommitError>>;
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StateError>>;
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StateError>>;
    fn watch(
        &self,
        from: Revision,
        max_wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Vec<WatchEvent>), StateError>>;
}

/// How long a watch is held open: short enough that an outage shows quickly.
const WATCH_MAX_WAIT: Duration = Duration::from_millis(1000);
/// Part of the request limit that all controllers' reads of changes may take.
const READS_SHARE: f64 = 0.33;
/// Least pause between two reads of changes.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the limits that is used by plan; the rest is for what collides.
const PLANNED_SHARE: f64 = 0.9;
/// Part of the limits that one controller uses at most, whatever others leave.
const MAX_SHARE: f64 = 0.75;
/// Fresh reads waiting at a time.
const MAX_BARRIER_WAITERS: usize = 2_000;
/// Without reading any changes for this long everything is read anew.
const FULL_READ_AFTER: Duration = Duration::from_secs(12);
/// Without an answer for this long the state service counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(2_500);

/// What was asked of the state service since the last look, for the log.
#[derive(Clone, Debug, Default)]
pub struct StoreCounters {
    pub requests: u32,
    /// Changes made, by the kind of record.
    pub written: BTreeMap<String, u32>,
    /// Changes asked for in transactions whose conditions failed, which the
    /// service counts as well.
    pub refused: u32,
    pub throttled: u32,
}

/// The state service as the rest of the program sees it.
pub struct Store {
    port: Box<dyn KeyValueStore>,
    cache: Mutex<StateCache>,
    changed: watch::Sender<u64>,
    loaded: AtomicBool,
    requests: RateLimiter,
    writes: RateLimiter,
    /// Start of the latest read or commit that the service answered and whose
    /// changes are all in the cache.
    confirmed_at: Mutex<Option<Instant>>,
    failing_since: Mutex<Option<Instant>>,
    barrier_waiters: Mutex<Vec<oneshot::Sender<bool>>>,
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
    last_read: Mutex<Instant>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A poisoned lock means a duty has panicked, which ends the process anyway.
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Store {
    pub fn new(port: Box<dyn KeyValueStore>, limits: StateLimits) -> Self {
        let StateLimits { rps, write_rps, .. } = limits;
        Self {
            port,
            cache: Mutex::default(),
            changed: watch::Sender::new(0),
            loaded: AtomicBool::new(false),
            requests: RateLimiter::between((rps * 0.3).max(2.0), (rps * MAX_SHARE).max(2.0)),
            writes: RateLimiter::between(
                (write_rps * 0.3).max(2.0),
                (write_rps * MAX_SHARE).max(2.0),
            ),
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

    pub fn cache(&self) -> MutexGuard<'_, StateCache> {
        lock(&self.cache)
    }

    /// The live set has been read once; before that nothing can be decided.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Tells its receiver of every change of the cache.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// What was asked of the service since the last call.
    pub fn take_counters(&self) -> StoreCounters {
        std::mem::take(&mut *lock(&self.counters))
    }

    fn count(&self, transaction: &Transaction, result: &Result<Revision, CommitError>) {
        let mut counters = lock(&self.counters);
        counters.requests += 1;
        match result {
            Ok(_) => {
                for op in &transaction.ops {
                    let (sign, key) = match op {
                        Operation::Put { key, .. } => ("+", key),
                        Operation::Delete { key } => ("-", key),
                    };
                    let kind = key.split('/').next().unwrap_or(key);
                    *counters.written.entry(format!("{sign}{kind}")).or_default() += 1;
                }
            }
            Err(CommitError::Conflict(_)) => counters.refused += transaction.ops.len() as u32,
            Err(CommitError::State(StateError::Throttled)) => counters.throttled += 1,
            Err(_) => {}
        }
    }

    fn notify_changed(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn confirmed_at(&self) -> Option<Instant> {
        *lock(&self.confirmed_at)
    }

    pub fn highest_revision(&self) -> Revision {
        Revision(self.highest_revision.load(Ordering::Relaxed))
    }

    /// The cache has caught up with every outcome that was looked up ahead of it, so
    /// that it shows all cancellations that users were told of here.
    pub fn has_applied_looked_up_outcomes(&self) -> bool {
        self.cache().revision.0 >= self.looked_up.load(Ordering::Relaxed)
    }

    /// The state service answers this controller.
    pub fn is_reachable(&self) -> bool {
        let failing = *lock(&self.failing_since);
        failing.is_none_or(|since| since.elapsed() < LOST_AFTER)
            && self
                .confirmed_at()
                .is_some_and(|at| at.elapsed() < WATCH_MAX_WAIT + LOST_AFTER)
    }

    fn note_reachability<T>(&self, result: &Result<T, StateError>) {
        let mut failing = lock(&self.failing_since);
        match result {
            Err(StateError::Unavailable | StateError::NoAnswer) => {
                if failing.is_none() {
                    tracing::info!("the state service does not answer");
                    *failing = Some(Instant::now());
                }
            }
            _ => {
                if let Some(since) = failing.take()
                    && since.elapsed() > LOST_AFTER
                {
                    tracing::info!(after = ?since.elapsed(), "the state service answers again");
                }
            }
        }
    }

    fn note_revision(&self, revision: Revision) {
        self.highest_revision
            .fetch_max(revision.0, Ordering::Relaxed);
    }

    /// Commits, and puts the changes into the cache. Overload answers are never
    /// executed and are repeated a few times here.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        priority: RequestPriority,
    ) -> Result<Revision, CommitError> {
        self.check_size(transaction)?;
        let mut tries = 0;
        loop {
            self.requests.acquire(1.0, priority).await;
            let writes = transaction.ops.len() as f64;
            self.writes.acquire(writes, priority).await;
            let result = self.port.commit(transaction).await;
            self.count(transaction, &result);
            match &result {
                Ok(revision) => {
                    self.note_reachability(&Ok(()));
                    self.note_revision(*revision);
                    self.absorb(transaction, *revision);
                }
                Err(CommitError::State(StateError::Throttled)) if tries < 4 => {
                    tries += 1;
                    // Which of the two limits it was is not told.
                    self.requests.refused();
                    self.writes.refused();
                    tokio::time::sleep(jitter::millis(30, 90) * tries).await;
                    continue;
                }
                Err(CommitError::State(error)) => self.note_reachability::<()>(&Err(error.clone())),
                Err(CommitError::Conflict(_)) => self.note_reachability(&Ok(())),
            }
            return result;
        }
    }

    /// What is too large, now or after the limits have fallen, is not sent: it would
    /// be refused whenever it is repeated.
    fn check_size(&self, transaction: &Transaction) -> Result<(), StateError> {
        let ops = transaction.ops.len();
        let conditions = transaction.conditions.len();
        let most = self.limits.txn_ops;
        let large = transaction.ops.iter().find_map(|op| match op {
            Operation::Put { key, value, .. } => {
                let size = value.to_string().len();
                (size > self.limits.value_bytes).then_some((key, size))
            }
            Operation::Delete { .. } => None,
        });
        if ops <= most && conditions <= 4 * most && large.is_none() {
            return Ok(());
        }
        tracing::error!(
            ops,
            conditions,
            ?large,
            "a transaction is too large to be sent"
        );
        Err(StateError::Rejected("too large".into()))
    }

    fn absorb(&self, transaction: &Transaction, revision: Revision) {
        let mut cache = self.cache();
        for op in &transaction.ops {
            match op {
                Operation::Put { key, value, .. } => cache.set(key, value.clone(), revision),
                Operation::Delete { key } => cache.delete_ahead(key, revision),
            }
        }
        drop(cache);
        self.notify_changed();
    }

    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StateError> {
        self.requests.acquire(1.0, RequestPriority::User).await;
        let result = self.port.get(key).await;
        self.note_reachability(&result);
        result
    }

    /// Looks an outcome up; `None`: the job has none.
    pub async fn look_up_outcome(
        &self,
        job: &super::JobId,
    ) -> Result<Option<OutcomeRecord>, StateError> {
        let Some(item) = self.get(&keys::outcome(job)).await? else {
            return Ok(None);
        };
        // Before anybody is told of it: peers ask what we have seen.
        self.note_revision(item.revision);
        self.looked_up.fetch_max(item.revision.0, Ordering::Relaxed);
        let outcome: OutcomeRecord = serde_json::from_value(item.value)
            .map_err(|error| StateError::Rejected(error.to_string()))?;
        self.cache().remember_outcome(job.clone(), outcome);
        Ok(Some(outcome))
    }

    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StateError> {
        self.requests.acquire(1.0, RequestPriority::Fencing).await;
        let result = self.port.grant_lease(ttl).await;
        self.note_reachability(&result);
        result
    }

    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), StateError> {
        self.requests.acquire(1.0, RequestPriority::Fencing).await;
        let result = self.port.renew_lease(lease).await;
        self.note_reachability(&result);
        result
    }

    /// A read of everything that begins after this call; true when the cache
    /// then holds all that was committed before it. Callers share reads.
    pub async fn read_barrier(&self) -> bool {
        if !self.is_loaded() || !self.is_reachable() {
            return false;
        }
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = lock(&self.barrier_waiters);
            if waiting.len() >= MAX_BARRIER_WAITERS {
                return false;
            }
            waiting.push(sender);
        }
        self.barrier_requested.notify_one();
        receiver.await.unwrap_or(false)
    }

    /// Duty: answers the callers of [`Store::read_barrier`], many with one read.
    pub async fn serve_read_barriers(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::select! {
                biased;
                _ = stop.cancelled() => return,
                _ = self.barrier_requested.notified() => {}
            }
            let waiting = std::mem::take(&mut *lock(&self.barrier_waiters));
            if waiting.is_empty() {
                continue;
            }
            let fresh = self.read_changes(Duration::ZERO).await.is_ok();
            for sender in waiting {
                let _ = sender.send(fresh);
            }
            tokio::time::sleep(self.read_interval()).await;
        }
    }

    /// Duty: keeps the cache up to date.
    pub async fn watch(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let step = async {
                // After a long absence the changes since would come as one answer
                // without a limit to its size: the live set is read in pages.
                if !self.is_loaded() || lock(&self.last_read).elapsed() > FULL_READ_AFTER {
                    return self.load().await;
                }
                // Fresh reads bring changes as well: while they go on, a watch
                // beside them would only cost requests.
                let read_interval = self.read_interval().mul_f64(1.25);
                loop {
                    let since = lock(&self.last_read).elapsed();
                    if since >= read_interval {
                        return self.read_changes(WATCH_MAX_WAIT).await;
                    }
                    tokio::time::sleep(read_interval - since).await;
                }
            };
            let result = tokio::select! {
                biased;
                _ = stop.cancelled() => return,
                result = step => result,
            };
            match result {
                Ok(()) => {}
                Err(StateError::TooOld) => {
                    tracing::info!("watch gap; reading the live set again");
                    self.loaded.store(false, Ordering::Relaxed);
                }
                Err(error) => {
                    tracing::debug!(%error, "watch failed");
                    tokio::time::sleep(jitter::millis(150, 300)).await;
                }
            }
        }
    }

    async fn read_changes(&self, max_wait: Duration) -> Result<(), StateError> {
        self.requests.acquire(1.0, RequestPriority::User).await;
        let started = Instant::now();
        lock(&self.counters).requests += 1;
        let from = self.cache().revision;
        let result = self.port.watch(from, max_wait).await;
        self.note_reachability(&result);
        let (revision, events) = result?;
        self.note_revision(revision);
        let any = !events.is_empty();
        {
            let mut cache = self.cache();
            // The cache may have been read anew meanwhile; older events do no
            // harm, but a gap would.
            if cache.revision < from {
                return Err(StateError::TooOld);
            }
            apply(&mut cache, events);
            cache.advance(revision);
        }
        *lock(&self.last_read) = Instant::now();
        // A held watch answers late; what it tells is as new as its answer, but
        // only its start is certain.
        let mut confirmed_at = lock(&self.confirmed_at);
        *confirmed_at = (*confirmed_at).max(Some(started));
        drop(confirmed_at);
        if any {
            self.notify_changed();
        }
        Ok(())
    }

    /// Reads the whole live set: at start, and after a gap.
    async fn load(&self) -> Result<(), StateError> {
        let started = Instant::now();
        let mut first: Option<Revision> = None;
        let mut fresh = StateCache::default();
        for prefix in keys::LIVE {
            let mut after: Option<String> = None;
            loop {
                self.requests.acquire(1.0, RequestPriority::User).await;
                let result = self.port.range(prefix, after.as_deref()).await;
                self.note_reachability(&result);
                let page = result?;
                first = Some(first.unwrap_or(page.revision));
                after = page.items.last().map(|item| item.key.clone());
                for item in page.items {
                    fresh.set(&item.key, item.value, item.revision);
                }
                if !page.more || after.is_none() {
                    break;
                }
            }
        }
        // Pages were read one after another: everything since the first page
        // comes again from the watch.
        fresh.advance(first.unwrap_or_default());
        tracing::info!(
            jobs = fresh.jobs.len(),
            machines = fresh.machines.len(),
            "read the live set"
        );
        // Until it is read on, the cache may lack commits of our own that were made
        // while the pages were read, cancellations among them.
        self.loaded.store(false, Ordering::Relaxed);
        {
            let mut cache = self.cache();
            fresh.take_outcomes(&mut cache);
            *cache = fresh;
        }
        *lock(&self.last_read) = Instant::now();
        *lock(&self.confirmed_at) = Some(started);
        // Only now does the cache hold our own commits made meanwhile.
        self.read_changes(Duration::ZERO).await?;
        self.loaded.store(true, Ordering::Relaxed);
        self.notify_changed();
        Ok(())
    }
}

fn apply(cache: &mut StateCache, events: Vec<WatchEvent>) {
    for event in events {
        match event {
            WatchEvent::Put(item) => cache.set(&item.key, item.value, item.revision),
            WatchEvent::Delete { key, revision } => cache.delete(&key, revision),
        }
    }
}
