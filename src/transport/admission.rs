//! Admission control: an adaptive limit on the number of users' requests in progress. The limit
//! decreases when response times exceed a multiple of the best median measured so far, and
//! increases while they are acceptable and requests are refused. Requests beyond the limit are
//! refused at once.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Minimum of the limit, in requests in progress.
const MIN_LIMIT: f64 = 4.0;
/// Maximum of the limit, in requests in progress.
const MAX_LIMIT: f64 = 256.0;
/// Limit at the start of a process, in requests in progress.
const INITIAL_LIMIT: f64 = 48.0;
/// Factor applied to the limit after a window with unacceptable response times.
const DECREASE_FACTOR: f64 = 0.8;
/// Factor applied to the limit after a window with acceptable response times in which a request
/// was refused.
const INCREASE_FACTOR: f64 = 1.25;
/// Minimum length of a window, after which its response times are evaluated.
const WINDOW: Duration = Duration::from_millis(1000);
/// Response time that is always acceptable, even if it exceeds the acceptable multiple of the
/// best median.
const ACCEPTABLE_RESPONSE_TIME: Duration = Duration::from_millis(400);
/// Multiple of the best median up to which response times are acceptable.
const ACCEPTABLE_MULTIPLE: f64 = 4.0;
/// Maximum recorded response time, in milliseconds; longer ones are recorded as this.
const MAX_RECORDED_MS: u64 = 60_000;
/// Significant digits of the recorded response times.
const RECORDED_DIGITS: u8 = 2;

#[derive(Debug)]
struct State {
    limit: f64,
    in_progress: usize,
    /// Whether a request was refused in this window.
    limit_reached: bool,
    /// Response times of the requests that ended in this window.
    response_times_ms: Histogram<u64>,
    /// Lowest median response time of all windows.
    best_median_ms: f64,
    window_start: Instant,
}

/// The admission limit and the requests in progress. Clones share them.
#[derive(Clone, Debug)]
pub struct Admission(Arc<Mutex<State>>);

/// Permission to handle one request, which counts as in progress until the permit is dropped.
#[must_use = "dropping the permit ends the request"]
pub struct AdmissionPermit {
    admission: Admission,
    started: Instant,
}

impl Default for Admission {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State {
            limit: INITIAL_LIMIT,
            in_progress: 0,
            limit_reached: false,
            // Cannot fail: the bounds are constant and valid.
            response_times_ms: Histogram::new_with_bounds(1, MAX_RECORDED_MS, RECORDED_DIGITS)
                .unwrap_or_else(|_| unreachable!("histogram bounds are constant and valid")),
            best_median_ms: f64::INFINITY,
            window_start: Instant::now(),
        })))
    }
}

impl Admission {
    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: the state is consistent after each statement.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request. Returns `None` if the limit is reached and the request must be refused.
    pub fn try_admit(&self) -> Option<AdmissionPermit> {
        let mut state = self.state();
        if state.in_progress as f64 >= state.limit {
            state.limit_reached = true;
            state.adjust_limit();
            return None;
        }
        state.in_progress += 1;
        drop(state);
        Some(AdmissionPermit {
            admission: self.clone(),
            started: Instant::now(),
        })
    }

    /// Returns the present limit on requests in progress.
    pub fn limit(&self) -> f64 {
        self.state().limit
    }
}

impl State {
    /// Adjusts the limit and starts a new window if the window is over and has response times.
    fn adjust_limit(&mut self) {
        if self.window_start.elapsed() < WINDOW || self.response_times_ms.is_empty() {
            return;
        }
        let median_ms = self.response_times_ms.value_at_quantile(0.5) as f64;
        let p90_ms = self.response_times_ms.value_at_quantile(0.9) as f64;
        self.best_median_ms = self.best_median_ms.min(median_ms.max(1.0));
        let acceptable_ms = (self.best_median_ms * ACCEPTABLE_MULTIPLE)
            .max(ACCEPTABLE_RESPONSE_TIME.as_millis() as f64);
        if p90_ms > acceptable_ms {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if self.limit_reached {
            self.limit = (self.limit * INCREASE_FACTOR).min(MAX_LIMIT);
        }
        self.response_times_ms.reset();
        self.limit_reached = false;
        self.window_start = Instant::now();
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut state = self.admission.state();
        state.in_progress = state.in_progress.saturating_sub(1);
        let elapsed_ms = self.started.elapsed().as_millis();
        let recorded_ms = elapsed_ms.clamp(1, u128::from(MAX_RECORDED_MS)) as u64;
        // Cannot fail: the value is clamped to the bounds.
        let _ = state.response_times_ms.record(recorded_ms);
        state.adjust_limit();
    }
}

#[cfg(test)]
mod tests;
