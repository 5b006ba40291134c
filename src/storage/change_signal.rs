//! Tells loops that something has changed since they last looked.
//!
//! Listeners are woken in the order in which they began to wait. `tokio::sync::watch` would
//! wake them in an order drawn anew at each change, from a generator that nothing can seed:
//! no play of the simulator could be repeated then.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Notify;

/// Counts changes and wakes whoever listens.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    changes: AtomicU64,
    changed: Notify,
}

impl ChangeSignal {
    /// Something has changed.
    pub fn notify(&self) {
        self.changes.fetch_add(1, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// A listener that has seen all changes so far.
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
    /// Returns once there is a change that has not been seen, and marks it seen. Nothing is
    /// lost when the wait is given up.
    pub async fn changed(&mut self) {
        loop {
            let notified = self.signal.changed.notified();
            tokio::pin!(notified);
            // From here on a change wakes us, even if it comes before the count is read.
            notified.as_mut().enable();
            if self.take_news() {
                return;
            }
            notified.await;
        }
    }

    /// All changes so far count as seen.
    pub fn mark_seen(&mut self) {
        self.take_news();
    }

    fn take_news(&mut self) -> bool {
        let changes = self.signal.changes.load(Ordering::Acquire);
        std::mem::replace(&mut self.seen, changes) != changes
    }
}
