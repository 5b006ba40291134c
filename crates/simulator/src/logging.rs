//! The log of the simulated controllers, with simulated times.

use std::{cell::Cell, fmt};

use tokio::time::Instant;
use tracing_subscriber::fmt::{format::Writer, time::FormatTime};

thread_local! {
    /// When the play on this thread began.
    static START: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Log lines of this thread count their time from now on.
pub(crate) fn start_clock() {
    START.set(Some(Instant::now()));
}

/// The time since the start of the scenario that this thread plays.
struct SimulatedTime;

impl FormatTime for SimulatedTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        match START.get() {
            Some(start) => write!(writer, "{:10.6}", start.elapsed().as_secs_f64()),
            None => Ok(()),
        }
    }
}

/// Logs to standard output at the level that SCENARIO_LOG names.
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
