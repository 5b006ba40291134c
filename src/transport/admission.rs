//! An adaptive limit on users' requests in progress: it shrinks when response times grow
//! against the best that was measured, and grows again while they are short and the limit
//! is in use. What is beyond it is refused at once. The server admits each request of a user.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Smallest limit.
const MIN_LIMIT: f64 = 4.0;
/// Largest limit.
const MAX_LIMIT: f64 = 256.0;
/// Limit of a new process.
const INITIAL_LIMIT: f64 = 48.0;
/// Factor by which the limit shrinks after a slow window.
const DECREASE_FACTOR: f64 = 0.8;
/// Factor by which the limit grows after a quick window in which it was reached.
const INCREASE_FACTOR: f64 = 1.25;
/// Response times are judged this often.
const WINDOW: Duration = Duration::from_millis(1000);
/// Response times below this are acceptable, whatever the best are.
const ACCEPTABLE: Duration = Duration::from_millis(400);
/// Response times up to this multiple of the best median are acceptable.
const ACCEPTABLE_MULTIPLE: f64 = 4.0;
/// Response times are recorded as no longer than this, in milliseconds.
const MAX_RECORDED_MS: u64 = 60_000;
/// Significant digits of the recorded response times.
const RECORDED_DIGITS: u8 = 2;

#[derive(Debug)]
struct State {
    limit: f64,
    in_progress: usize,
    /// Whether a request was refused in this window.
    limit_reached: bool,
    /// Of the requests that ended in this window.
    response_times_ms: Histogram<u64>,
    /// Median response time of the best window.
    best_median_ms: f64,
    window_start: Instant,
}

/// The limit; clones share it.
#[derive(Clone, Debug)]
pub struct Admission(Arc<Mutex<State>>);

/// A request in progress, until it is dropped.
#[must_use = "a request that is dropped counts as ended"]
pub struct Admitted {
    admission: Admission,
    started: Instant,
}

impl Default for Admission {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State {
            limit: INITIAL_LIMIT,
            in_progress: 0,
            limit_reached: false,
            // The bounds are constant and valid.
            response_times_ms: Histogram::new_with_bounds(1, MAX_RECORDED_MS, RECORDED_DIGITS)
                .unwrap_or_else(|_| unreachable!("constant bounds")),
            best_median_ms: f64::INFINITY,
            window_start: Instant::now(),
        })))
    }
}

impl Admission {
    fn state(&self) -> MutexGuard<'_, State> {
        // The state holds after each step: a panic elsewhere does not spoil it.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request, or none: it is to be refused at once.
    pub fn try_admit(&self) -> Option<Admitted> {
        let mut state = self.state();
        if state.in_progress as f64 >= state.limit {
            state.limit_reached = true;
            state.adjust_limit();
            return None;
        }
        state.in_progress += 1;
        drop(state);
        Some(Admitted {
            admission: self.clone(),
            started: Instant::now(),
        })
    }

    /// How many requests may be in progress now.
    pub fn limit(&self) -> f64 {
        self.state().limit
    }
}

impl State {
    /// Adjusts the limit once a window is over and has response times to judge by.
    fn adjust_limit(&mut self) {
        if self.window_start.elapsed() < WINDOW || self.response_times_ms.is_empty() {
            return;
        }
        let median_ms = self.response_times_ms.value_at_quantile(0.5) as f64;
        let slow_ms = self.response_times_ms.value_at_quantile(0.9) as f64;
        self.best_median_ms = self.best_median_ms.min(median_ms.max(1.0));
        let acceptable_ms =
            (self.best_median_ms * ACCEPTABLE_MULTIPLE).max(ACCEPTABLE.as_millis() as f64);
        if slow_ms > acceptable_ms {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if self.limit_reached {
            self.limit = (self.limit * INCREASE_FACTOR).min(MAX_LIMIT);
        }
        self.response_times_ms.reset();
        self.limit_reached = false;
        self.window_start = Instant::now();
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut state = self.admission.state();
        state.in_progress = state.in_progress.saturating_sub(1);
        let elapsed_ms = self.started.elapsed().as_millis();
        let recorded_ms = elapsed_ms.clamp(1, u128::from(MAX_RECORDED_MS)) as u64;
        // In bounds by the clamp.
        let _ = state.response_times_ms.record(recorded_ms);
        state.adjust_limit();
    }
}

#[cfg(test)]
mod tests;
