//! Client-side rate limits of a controller's calls to a service, with priorities, so that
//! recovery after an outage starves neither leadership nor users.
//!
//! The state service's limits are shared by all controllers. Each controller is entitled to a
//! fair share and also uses capacity that the others leave idle. If together they exceed a
//! limit, the service answers 429; such a call was not executed and is safe to retry.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::Instant;

/// The purpose of a call, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Lease renewal, leadership, fencing.
    Fencing,
    /// Submissions, cancellations and lookups for users, and reads of the live set.
    User,
    /// Task placements and task results.
    Placement,
    /// Everything else.
    Background,
}

impl RequestPriority {
    /// The fraction of the bucket that is reserved for more urgent calls.
    fn reserved_fraction(self) -> f64 {
        match self {
            RequestPriority::Fencing => 0.0,
            RequestPriority::User => 0.1,
            RequestPriority::Placement => 0.25,
            RequestPriority::Background => 0.4,
        }
    }
}

#[derive(Debug)]
struct TokenBucket {
    /// Fair share of this controller, in calls per second. The rate does not fall below it.
    fair_rate: f64,
    /// Upper bound of the rate, in calls per second.
    max_rate: f64,
    /// Current rate, in calls per second; also the size of the bucket.
    rate: f64,
    /// Calls that can be made now; negative while the bucket is in debt.
    available: f64,
    refilled_at: Instant,
    /// Whether a call had to wait since the rate was last adjusted.
    has_delayed_calls: bool,
    /// When the service last throttled a call.
    throttled_at: Option<Instant>,
    adjusted_at: Instant,
}

/// Minimum interval between two adjustments of the rate.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// Factor by which an adjustment raises the rate if calls had to wait, and lowers it if none
/// had to.
const GROWTH_FACTOR: f64 = 1.25;
/// Factor that is applied to the rate when the service throttles a call.
const THROTTLED_FACTOR: f64 = 0.6;
/// Lower bound of the rates set by [`RateLimiter::set_bounds`], in calls per second.
const MIN_RATE_PER_S: f64 = 2.0;
/// Time after a throttled call during which the rate does not grow.
const GROWTH_PAUSE: Duration = Duration::from_secs(2);

/// Bounds of the wait before a delayed call tries again. The wait is only an estimate, since
/// other calls may take from the bucket during the wait.
const MIN_WAIT_SECONDS: f64 = 0.005;
const MAX_WAIT_SECONDS: f64 = 0.25;

impl TokenBucket {
    /// Adds the calls that have become available since the last refill.
    fn refill(&mut self, now: Instant) {
        let gained = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * self.rate;
        self.available = (self.available + gained).min(self.rate);
        self.refilled_at = now;
    }

    /// Adjusts the rate to the demand. Other controllers often use less than their shares:
    /// while calls wait here, the rate grows beyond the fair share until the service throttles.
    fn adjust_rate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let recently_throttled = self
            .throttled_at
            .is_some_and(|at| now.saturating_duration_since(at) < GROWTH_PAUSE);
        if self.has_delayed_calls && !recently_throttled {
            self.rate = (self.rate * GROWTH_FACTOR).min(self.max_rate);
        } else if !self.has_delayed_calls {
            self.rate = (self.rate / GROWTH_FACTOR).max(self.fair_rate);
        }
        self.has_delayed_calls = false;
    }
}

/// A token bucket that holds the calls of one second, with a rate that adapts to the demand
/// between a fair share of the service's limit and a maximum.
#[derive(Debug)]
pub struct RateLimiter(Mutex<TokenBucket>);

impl RateLimiter {
    /// Creates a limiter with a fixed rate, in calls per second.
    pub fn new(rate: f64) -> Self {
        Self::adaptive(rate, rate)
    }

    /// Creates a limiter that starts at the fair rate and adapts up to `max_rate`, both in calls
    /// per second.
    pub fn adaptive(fair_rate: f64, max_rate: f64) -> Self {
        let now = Instant::now();
        Self(Mutex::new(TokenBucket {
            fair_rate,
            max_rate,
            rate: fair_rate,
            available: fair_rate,
            refilled_at: now,
            has_delayed_calls: false,
            throttled_at: None,
            adjusted_at: now,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sets the fair rate and the maximum rate, in calls per second.
    pub fn set_bounds(&self, fair_rate: f64, max_rate: f64) {
        let mut bucket = self.lock();
        bucket.refill(Instant::now());
        bucket.max_rate = max_rate.max(MIN_RATE_PER_S);
        bucket.fair_rate = fair_rate.clamp(MIN_RATE_PER_S, bucket.max_rate);
        bucket.rate = bucket.rate.clamp(bucket.fair_rate, bucket.max_rate);
    }

    /// Records that the service has throttled a call: lowers the rate and empties the bucket.
    pub fn note_throttled(&self) {
        let mut bucket = self.lock();
        let now = Instant::now();
        bucket.refill(now);
        bucket.throttled_at = Some(now);
        bucket.rate = (bucket.rate * THROTTLED_FACTOR).max(bucket.fair_rate);
        bucket.available = bucket.available.min(0.0);
    }

    /// Returns the available fraction of the bucket; negative while it is in debt.
    pub fn available_fraction(&self) -> f64 {
        let mut bucket = self.lock();
        bucket.refill(Instant::now());
        bucket.available / bucket.rate
    }

    /// Takes `amount` calls from the bucket if at least the priority's reserve is available, or
    /// returns how long to wait. A large amount may leave the bucket in debt.
    fn try_acquire(&self, amount: f64, priority: RequestPriority) -> Result<(), Duration> {
        let mut bucket = self.lock();
        let now = Instant::now();
        bucket.refill(now);
        bucket.adjust_rate(now);
        let reserved = priority.reserved_fraction() * bucket.rate;
        if bucket.available >= reserved.max(1.0).min(bucket.rate) {
            bucket.available -= amount;
            return Ok(());
        }
        bucket.has_delayed_calls = true;
        let missing = reserved.max(1.0) - bucket.available;
        Err(Duration::from_secs_f64(
            (missing / bucket.rate).clamp(MIN_WAIT_SECONDS, MAX_WAIT_SECONDS),
        ))
    }

    /// Returns how long a call would have to wait now; `None` if not at all. Callers that wait
    /// before they plan a call, rather than when it is ready to be sent, plan on newer state.
    pub fn wait(&self, priority: RequestPriority) -> Option<Duration> {
        self.try_acquire(0.0, priority).err()
    }

    /// Waits until a call of this priority may be made, and counts it as `amount` calls.
    pub async fn acquire(&self, amount: f64, priority: RequestPriority) {
        while let Err(wait) = self.try_acquire(amount, priority) {
            tokio::time::sleep(wait).await;
        }
    }
}

#[cfg(test)]
mod tests;
