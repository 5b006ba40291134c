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

/// How long a watch is held open: short enough that an outage shows quickly.
pub(super) const WATCH_MAX_WAIT: Duration = Duration::from_millis(1000);
/// A watch follows another read after this many read intervals.
const WATCH_DELAY_FACTOR: f64 = 1.25;
/// Fresh reads waiting at a time.
const MAX_BARRIER_WAITERS: usize = 2_000;
/// Without reading any changes for this long everything is read anew.
const FULL_READ_AFTER: Duration = Duration::from_secs(12);

impl Store {
    /// Reads one key from the service, not from the cache.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StateError> {
        self.requests.acquire(1.0, RequestPriority::User).await;
        let result = self.key_value_store.get(key).await;
        self.note_reachability(&result);
        result
    }

    /// Looks an outcome up; `None`: the job has none.
    pub async fn look_up_outcome(&self, job: &JobId) -> Result<Option<OutcomeRecord>, StateError> {
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

    /// Has a lease granted.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StateError> {
        self.requests.acquire(1.0, RequestPriority::Fencing).await;
        let result = self.key_value_store.grant_lease(ttl).await;
        self.note_reachability(&result);
        result
    }

    /// Renews a lease of ours.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), StateError> {
        self.requests.acquire(1.0, RequestPriority::Fencing).await;
        let result = self.key_value_store.renew_lease(lease).await;
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
                // A caller that has given up needs no answer.
                let _ = sender.send(fresh);
            }
            tokio::time::sleep(self.read_interval()).await;
        }
    }

    /// Duty: keeps the cache up to date.
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

    /// Reads the changes since the last read once they are due, or everything.
    async fn refresh(&self) -> Result<(), StateError> {
        // After a long absence the changes since would come as one answer
        // without a limit to its size: the live set is read in pages.
        if !self.is_loaded() || lock(&self.last_read).elapsed() > FULL_READ_AFTER {
            return self.load().await;
        }
        // Fresh reads bring changes as well: while they go on, a watch
        // beside them would only cost requests.
        let read_interval = self.read_interval().mul_f64(WATCH_DELAY_FACTOR);
        loop {
            let since_last_read = lock(&self.last_read).elapsed();
            if since_last_read >= read_interval {
                return self.read_changes(WATCH_MAX_WAIT).await;
            }
            tokio::time::sleep(read_interval - since_last_read).await;
        }
    }

    /// Reads the changes since the cache's revision, waiting for the first one up to
    /// `max_wait`, and applies them.
    pub(super) async fn read_changes(&self, max_wait: Duration) -> Result<(), StateError> {
        self.requests.acquire(1.0, RequestPriority::User).await;
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
        if has_changes {
            self.notify_changed();
        }
        Ok(())
    }

    /// Reads the whole live set: at start, and after a gap.
    async fn load(&self) -> Result<(), StateError> {
        let started = Instant::now();
        let mut fresh = self.read_live_set().await?;
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

    async fn read_live_set(&self) -> Result<StateCache, StateError> {
        let mut first_revision: Option<Revision> = None;
        let mut fresh = StateCache::default();
        for prefix in keys::LIVE {
            let mut after: Option<String> = None;
            loop {
                self.requests.acquire(1.0, RequestPriority::User).await;
                let result = self.key_value_store.range(prefix, after.as_deref()).await;
                self.note_reachability(&result);
                let page = result?;
                first_revision = Some(first_revision.unwrap_or(page.revision));
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
