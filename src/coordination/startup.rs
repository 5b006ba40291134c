//! How long this process has taken to serve, for the log of a rolled upgrade.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::time::Instant;

/// The steps of a start that are logged, each once.
pub(super) struct Startup {
    began: Instant,
    ready: AtomicBool,
    holding: AtomicBool,
}

impl Startup {
    pub(super) fn new() -> Self {
        Self {
            began: Instant::now(),
            ready: AtomicBool::new(false),
            holding: AtomicBool::new(false),
        }
    }

    /// Users may be sent here.
    pub(super) fn note_ready(&self) {
        self.log_once(&self.ready, "ready for users");
    }

    /// The leader has leased machines to this process.
    pub(super) fn note_holding(&self) {
        self.log_once(&self.holding, "owns its first machines");
    }

    fn log_once(&self, step: &AtomicBool, message: &'static str) {
        if !step.swap(true, Ordering::Relaxed) {
            let after_ms = self.began.elapsed().as_millis() as u64;
            tracing::info!(after_ms, "{message}");
        }
    }
}
