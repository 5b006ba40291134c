//! A change notification: wakes loops when something has changed since their last check.
//!
//! Listeners are woken in the order in which they began to wait. `tokio::sync::watch` wakes
//! them in a random order, drawn at each change from a generator that cannot be seeded, so
//! that no run of the simulator would be reproducible.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Notify;

/// Counts changes and wakes the listeners.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    changes: AtomicU64,
    changed: Notify,
}

impl ChangeSignal {
    /// Records a change and wakes all waiting listeners.
    pub fn notify(&self) {
        self.changes.fetch_add(1, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Returns a listener that regards all changes so far as seen.
    pub fn listen(&self) -> ChangeListener<'_> {
        ChangeListener {
            signal: self,
            seen: self.changes.load(Ordering::Acquire),
        }
    }
}

/// Waits for changes that it has not seen yet.
#[derive(Debug)]
pub struct ChangeListener<'a> {
    signal: &'a ChangeSignal,
    seen: u64,
}

impl ChangeListener<'_> {
    /// Waits until there is an unseen change and marks it as seen. Cancel safe: dropping the
    /// future loses no change.
    pub async fn changed(&mut self) {
        loop {
            let notified = self.signal.changed.notified();
            tokio::pin!(notified);
            // Registered before the count is read, so that a change in between is not missed.
            notified.as_mut().enable();
            if self.update_seen() {
                return;
            }
            notified.await;
        }
    }

    /// Marks all changes so far as seen.
    pub fn mark_seen(&mut self) {
        self.update_seen();
    }

    /// Marks all changes so far as seen and returns whether any was unseen.
    fn update_seen(&mut self) -> bool {
        let changes = self.signal.changes.load(Ordering::Acquire);
        std::mem::replace(&mut self.seen, changes) != changes
    }
}
