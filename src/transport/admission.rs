//! A limit on users' requests in progress that adjusts itself to measured
//! times: it shrinks when answers get slow against the best that was seen, and
//! grows again while they are quick and the limit is in use. What is beyond it
//! is refused at once.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hdrhistogram::Histogram;
use tokio::time::Instant;

const LEAST: f64 = 4.0;
const MOST: f64 = 256.0;
const START: f64 = 48.0;
/// Measured times are judged this often.
const WINDOW: Duration = Duration::from_millis(1000);
/// Times below this are good, whatever the best is.
const GOOD: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct State {
    limit: f64,
    running: usize,
    /// The limit was reached in this window.
    pressed: bool,
    times: Histogram<u64>,
    /// Median of the best window, in milliseconds.
    best: f64,
    since: Instant,
}

#[derive(Clone, Debug)]
pub struct Admission(Arc<Mutex<State>>);

/// A request in progress.
pub struct Admitted {
    admission: Admission,
    started: Instant,
}

impl Default for Admission {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State {
            limit: START,
            running: 0,
            pressed: false,
            // One to sixty thousand milliseconds at two digits: valid bounds.
            times: Histogram::new_with_bounds(1, 60_000, 2)
                .unwrap_or_else(|_| unreachable!("constant bounds")),
            best: f64::INFINITY,
            since: Instant::now(),
        })))
    }
}

impl Admission {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A place, or none: the request is to be refused at once.
    pub fn enter(&self) -> Option<Admitted> {
        let mut state = self.state();
        if state.running as f64 >= state.limit {
            state.pressed = true;
            state.judge();
            return None;
        }
        state.running += 1;
        drop(state);
        Some(Admitted {
            admission: self.clone(),
            started: Instant::now(),
        })
    }

    pub fn limit(&self) -> f64 {
        self.state().limit
    }
}

impl State {
    fn judge(&mut self) {
        if self.since.elapsed() < WINDOW || self.times.is_empty() {
            return;
        }
        let median = self.times.value_at_quantile(0.5) as f64;
        let slow = self.times.value_at_quantile(0.9) as f64;
        self.best = self.best.min(median.max(1.0));
        let good = (self.best * 4.0).max(GOOD.as_millis() as f64);
        if slow > good {
            self.limit = (self.limit * 0.8).max(LEAST);
        } else if self.pressed {
            self.limit = (self.limit * 1.25).min(MOST);
        }
        self.times.reset();
        self.pressed = false;
        self.since = Instant::now();
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut state = self.admission.state();
        state.running = state.running.saturating_sub(1);
        let millis = self.started.elapsed().as_millis().clamp(1, 60_000) as u64;
        // In bounds by the clamp.
        let _ = state.times.record(millis);
        state.judge();
    }
}

#[cfg(test)]
mod tests;
