//! Logs how long after its start the process became ready and owned machines, so that operators
//! can follow a rolling upgrade.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::time::Instant;

/// Milestones of the startup, each logged once.
pub(super) struct Startup {
    began: Instant,
    is_ready_logged: AtomicBool,
    are_first_machines_logged: AtomicBool,
}

impl Startup {
    /// Starts the measurement at the current time.
    pub(super) fn new() -> Self {
        Self {
            began: Instant::now(),
            is_ready_logged: AtomicBool::new(false),
            are_first_machines_logged: AtomicBool::new(false),
        }
    }

    /// Logs, on the first call, that the controller is ready to serve users.
    pub(super) fn note_ready(&self) {
        self.log_once(&self.is_ready_logged, "ready for users");
    }

    /// Logs, on the first call, that the leader has leased machines to this process.
    pub(super) fn note_first_machines(&self) {
        self.log_once(&self.are_first_machines_logged, "first machines owned");
    }

    fn log_once(&self, is_logged: &AtomicBool, message: &'static str) {
        if !is_logged.swap(true, Ordering::Relaxed) {
            let after_ms = self.began.elapsed().as_millis() as u64;
            tracing::info!(after_ms, "{message}");
        }
    }
}
