//! Logging of the simulated controllers, with simulated timestamps.

use std::{cell::Cell, fmt};

use tokio::time::Instant;
use tracing_subscriber::fmt::{format::Writer, time::FormatTime};

thread_local! {
    /// Start of the scenario that runs on this thread.
    static START: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Sets the zero point of this thread's log timestamps to now.
pub(crate) fn start_clock() {
    START.set(Some(Instant::now()));
}

/// Formats log timestamps as seconds since the start of this thread's scenario.
struct SimulatedTime;

impl FormatTime for SimulatedTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        match START.get() {
            Some(start) => write!(writer, "{:10.6}", start.elapsed().as_secs_f64()),
            None => Ok(()),
        }
    }
}

/// Enables logging to standard output at the level in `SCENARIO_LOG`, if it is set.
pub fn start_logging() {
    let level = std::env::var("SCENARIO_LOG").ok();
    if let Some(level) = level.and_then(|level| level.parse::<tracing::Level>().ok()) {
        tracing_subscriber::fmt()
            .with_max_level(level)
            .with_ansi(false)
            .with_target(false)
            .with_timer(SimulatedTime)
            .init();
    }
}
