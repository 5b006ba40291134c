//! Reads: single keys, leases, read barriers, the watch and the full read of the live set.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::{sync::oneshot, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{KeyValue, LeaseId, StateError, Store, WatchEvent, lock};
use crate::storage::{
    ids::{JobId, Revision},
    jitter, keys,
    rate_limiter::RequestPriority,
    records::OutcomeRecord,
    state_cache::StateCache,
};

/// Maximum time for which the service holds a watch open: short enough that an outage is
/// noticed quickly.
pub(super) const WATCH_MAX_WAIT: Duration = Duration::from_millis(1000);
/// Minimum time between a read of changes and the next watch, in read intervals. Above 1, so
/// that the reads of read barriers replace the watch while they continue.
const WATCH_DELAY_FACTOR: f64 = 1.25;
/// Maximum number of callers that wait for a read barrier at a time.
const MAX_BARRIER_WAITERS: usize = 2_000;
/// Maximum number of keys in a log line.
const MAX_LOGGED_KEYS: usize = 8;
/// Time without a read of changes after which the whole live set is read again.
const FULL_READ_AFTER: Duration = Duration::from_secs(12);

impl Store {
    /// Reads one key from the service, not from the cache.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StateError> {
        self.request_limiter
            .acquire(1.0, RequestPriority::User)
            .await;
        let result = self.key_value_store.get(key).await;
        self.note_reachability(&result);
        result
    }

    /// Reads the outcome of a job from the service; `None` if the job has none.
    pub async fn look_up_outcome(&self, job: &JobId) -> Result<Option<OutcomeRecord>, StateError> {
        let Some(item) = self.get(&keys::outcome(job)).await? else {
            return Ok(None);
        };
        // Recorded before the outcome is returned: peers ask for the highest revision that this
        // controller has seen, which must cover every outcome reported to users.
        self.note_revision(item.revision);
        self.looked_up_revision
            .fetch_max(item.revision.0, Ordering::Relaxed);
        let outcome: OutcomeRecord = serde_json::from_value(item.value)
            .map_err(|error| StateError::Rejected(error.to_string()))?;
        self.cache().remember_outcome(job.clone(), outcome);
        Ok(Some(outcome))
    }

    /// Requests a new lease from the service.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StateError> {
        self.request_limiter
            .acquire(1.0, RequestPriority::Fencing)
            .await;
        let result = self.key_value_store.grant_lease(ttl).await;
        self.note_reachability(&result);
        result
    }

    /// Renews a lease of this controller.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), StateError> {
        self.request_limiter
            .acquire(1.0, RequestPriority::Fencing)
            .await;
        let result = self.key_value_store.renew_lease(lease).await;
        self.note_reachability(&result);
        result
    }

    /// Waits for a read of changes that begins after this call. Returns true if the cache then
    /// holds everything that was committed before the call. Concurrent callers share a read.
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

    /// Serves the callers of [`Store::read_barrier`] until `stop` is cancelled, all that wait
    /// with one read.
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
                // Sending fails if the caller has stopped waiting.
                let _ = sender.send(fresh);
            }
            tokio::time::sleep(self.read_interval()).await;
        }
    }

    /// Keeps the cache up to date until `stop` is cancelled.
    pub async fn watch(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let result = tokio::select! {
                biased;
                _ = stop.cancelled() => return,
                result = self.refresh() => result,
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

    /// Reads the changes since the last read when the next read is due, or the whole live set.
    async fn refresh(&self) -> Result<(), StateError> {
        // The response to a watch has no size limit and would be very large after a long time
        // without reads, so the live set is read in pages instead.
        if !self.is_loaded() || lock(&self.last_read_at).elapsed() > FULL_READ_AFTER {
            return self.load().await;
        }
        // The reads of read barriers bring in the changes as well: while they continue, a watch
        // would only use up requests.
        let read_interval = self.read_interval().mul_f64(WATCH_DELAY_FACTOR);
        loop {
            let since_last_read = lock(&self.last_read_at).elapsed();
            if since_last_read >= read_interval {
                return self.read_changes(WATCH_MAX_WAIT).await;
            }
            tokio::time::sleep(read_interval - since_last_read).await;
        }
    }

    /// Reads the changes since the cache's revision, waiting for the first one up to
    /// `max_wait`, and applies them.
    pub(super) async fn read_changes(&self, max_wait: Duration) -> Result<(), StateError> {
        self.request_limiter
            .acquire(1.0, RequestPriority::User)
            .await;
        let started = Instant::now();
        lock(&self.counters).requests += 1;
        let from = self.cache().revision;
        let result = self.key_value_store.watch(from, max_wait).await;
        self.note_reachability(&result);
        let (revision, events) = result?;
        self.note_revision(revision);
        let has_changes = !events.is_empty();
        {
            let mut cache = self.cache();
            // A concurrent full read may have replaced the cache, or a concurrent read of changes
            // may have advanced it. The cache ignores the events that it has passed, but it must
            // not miss any between its revision and `from`.
            if cache.revision < from {
                return Err(StateError::TooOld);
            }
            self.note_late_read(&events, cache.revision, started);
            apply(&mut cache, events);
            cache.advance(revision);
        }
        *lock(&self.last_read_at) = Instant::now();
        // A watch may be held open for a while. Its response is as recent as the time at which
        // it was sent, but only the start of the request is known for certain.
        let mut confirmed_at = lock(&self.confirmed_at);
        *confirmed_at = (*confirmed_at).max(Some(started));
        drop(confirmed_at);
        if has_changes {
            self.notify_changed();
        }
        Ok(())
    }

    /// Counts and logs a read whose response arrived after a newer one: `applied`, the cache's
    /// revision, includes some of its changes.
    fn note_late_read(&self, events: &[WatchEvent], applied: Revision, started: Instant) {
        let late = events.iter().filter(|event| event.revision() <= applied);
        let keys: Vec<&str> = late.take(MAX_LOGGED_KEYS).map(WatchEvent::key).collect();
        if keys.is_empty() {
            return;
        }
        lock(&self.counters).late_reads += 1;
        tracing::debug!(%applied, ?keys, after = ?started.elapsed(), "changes read late");
    }

    /// Reads the whole live set, at the start and after a gap in the watch.
    pub(super) async fn load(&self) -> Result<(), StateError> {
        let started = Instant::now();
        let mut fresh = self.read_live_set().await?;
        tracing::info!(
            jobs = fresh.jobs.len(),
            machines = fresh.machines.len(),
            "read the live set"
        );
        // Until the read of changes below, the new cache may lack commits that this controller
        // made while the pages were read, cancellations among them.
        self.loaded.store(false, Ordering::Relaxed);
        {
            let mut cache = self.cache();
            fresh.take_outcomes(&mut cache);
            *cache = fresh;
        }
        *lock(&self.last_read_at) = Instant::now();
        *lock(&self.confirmed_at) = Some(started);
        // Brings in this controller's own commits made while the pages were read.
        self.read_changes(Duration::ZERO).await?;
        self.loaded.store(true, Ordering::Relaxed);
        self.notify_changed();
        Ok(())
    }

    /// Reads all keys of the live set, page by page, into a new cache.
    async fn read_live_set(&self) -> Result<StateCache, StateError> {
        let mut first_revision: Option<Revision> = None;
        let mut fresh = StateCache::default();
        for prefix in keys::LIVE_PREFIXES {
            let mut after: Option<String> = None;
            loop {
                self.request_limiter
                    .acquire(1.0, RequestPriority::User)
                    .await;
                let result = self.key_value_store.range(prefix, after.as_deref()).await;
                self.note_reachability(&result);
                let page = result?;
                first_revision = Some(first_revision.unwrap_or(page.revision));
                after = page.items.last().map(|item| item.key.clone());
                for item in page.items {
                    fresh.set(&item.key, item.value, item.revision);
                }
                if !page.has_more || after.is_none() {
                    break;
                }
            }
        }
        // The pages were read at different revisions: the watch continues from the first page's
        // and delivers every change since then, including those that later pages show.
        fresh.advance(first_revision.unwrap_or_default());
        Ok(fresh)
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
