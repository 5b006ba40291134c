//! How long this process has taken to serve, for the log of a rolled upgrade.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::time::Instant;

/// The steps of a start that are logged, each once.
pub(super) struct Startup {
    began: Instant,
    is_ready_logged: AtomicBool,
    is_holding_logged: AtomicBool,
}

impl Startup {
    /// The process begins now.
    pub(super) fn new() -> Self {
        Self {
            began: Instant::now(),
            is_ready_logged: AtomicBool::new(false),
            is_holding_logged: AtomicBool::new(false),
        }
    }

    /// Users may be sent here.
    pub(super) fn note_ready(&self) {
        self.log_once(&self.is_ready_logged, "ready for users");
    }

    /// The leader has leased machines to this process.
    pub(super) fn note_holding(&self) {
        self.log_once(&self.is_holding_logged, "owns its first machines");
    }

    fn log_once(&self, is_logged: &AtomicBool, message: &'static str) {
        if !is_logged.swap(true, Ordering::Relaxed) {
            let after_ms = self.began.elapsed().as_millis() as u64;
            tracing::info!(after_ms, "{message}");
        }
    }
}
