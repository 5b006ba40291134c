//! Rate limits of our own calls to the state service, so that recovery after an outage
//! starves neither leadership nor users.
//!
//! The service's limits are shared by the controllers that live. Each counts on
//! a fair part and uses what the others leave; where they collide the service's
//! 429 tells, which is never executed and so is safe to repeat.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::Instant;

/// What a call is for; the first are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Lease renewal, leadership, fencing.
    Fencing,
    /// Outcomes and submissions.
    User,
    /// Placements and results.
    Placement,
    /// Everything else.
    Background,
}

impl RequestPriority {
    /// The part of the bucket that is left to more urgent calls.
    fn reserve(self) -> f64 {
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
    /// What this controller may count on, in calls a second.
    fair_rate: f64,
    /// What it never goes beyond.
    max_rate: f64,
    /// What it allows itself now.
    rate: f64,
    /// Calls that may be made now; below zero: a debt.
    level: f64,
    refilled_at: Instant,
    /// A call had to wait since the rate was last adjusted.
    has_delayed_calls: bool,
    /// When the service last refused a call.
    refused_at: Option<Instant>,
    adjusted_at: Instant,
}

/// How often the rate is adjusted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// How fast the rate grows while calls wait, and shrinks while none does.
const GROWTH_FACTOR: f64 = 1.25;
/// What a refusal leaves of the rate.
const REFUSAL_FACTOR: f64 = 0.6;
/// A controller always counts on so many calls a second.
const MIN_RATE: f64 = 2.0;
/// After a refusal the rate does not grow for a moment.
const GROWTH_PAUSE: Duration = Duration::from_secs(2);

/// Bounds of the wait before a call tries again: others may have come in between.
const MIN_WAIT_SECONDS: f64 = 0.005;
const MAX_WAIT_SECONDS: f64 = 0.25;

impl TokenBucket {
    fn refill(&mut self, now: Instant) {
        let gained = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.refilled_at = now;
    }

    /// The others often use less than their part: what they leave may be used
    /// until the service says otherwise.
    fn adjust_rate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let refused_lately = self
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < GROWTH_PAUSE);
        if self.has_delayed_calls && !refused_lately {
            self.rate = (self.rate * GROWTH_FACTOR).min(self.max_rate);
        } else if !self.has_delayed_calls {
            self.rate = (self.rate / GROWTH_FACTOR).max(self.fair_rate);
        }
        self.has_delayed_calls = false;
    }
}

/// A token bucket of one second's worth, whose rate adjusts itself between a
/// fair part of the limit and most of it.
#[derive(Debug)]
pub struct RateLimiter(Mutex<TokenBucket>);

impl RateLimiter {
    /// A limiter of a fixed rate, in calls a second.
    pub fn new(rate: f64) -> Self {
        Self::between(rate, rate)
    }

    /// A limiter that begins with the fair rate and adjusts itself up to `max_rate`, both
    /// in calls a second.
    pub fn between(fair_rate: f64, max_rate: f64) -> Self {
        let now = Instant::now();
        Self(Mutex::new(TokenBucket {
            fair_rate,
            max_rate,
            rate: fair_rate,
            level: fair_rate,
            refilled_at: now,
            has_delayed_calls: false,
            refused_at: None,
            adjusted_at: now,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sets the fair rate, and the one that is never gone beyond.
    pub fn set_bounds(&self, fair_rate: f64, max_rate: f64) {
        let mut bucket = self.lock();
        bucket.refill(Instant::now());
        bucket.max_rate = max_rate.max(MIN_RATE);
        bucket.fair_rate = fair_rate.clamp(MIN_RATE, bucket.max_rate);
        bucket.rate = bucket.rate.clamp(bucket.fair_rate, bucket.max_rate);
    }

    /// The service has refused a call as one too many for all of us.
    pub fn refused(&self) {
        let mut bucket = self.lock();
        let now = Instant::now();
        bucket.refill(now);
        bucket.refused_at = Some(now);
        bucket.rate = (bucket.rate * REFUSAL_FACTOR).max(bucket.fair_rate);
        bucket.level = bucket.level.min(0.0);
    }

    /// The part of the bucket that is there to be taken.
    pub fn filled(&self) -> f64 {
        let mut bucket = self.lock();
        bucket.refill(Instant::now());
        bucket.level / bucket.rate
    }

    /// Takes `amount`, going into debt if need be, or tells how long to wait.
    fn take(&self, amount: f64, priority: RequestPriority) -> Result<(), Duration> {
        let mut bucket = self.lock();
        let now = Instant::now();
        bucket.refill(now);
        bucket.adjust_rate(now);
        let floor = priority.reserve() * bucket.rate;
        if bucket.level >= floor.max(1.0).min(bucket.rate) {
            bucket.level -= amount;
            return Ok(());
        }
        bucket.has_delayed_calls = true;
        let missing = floor.max(1.0) - bucket.level;
        Err(Duration::from_secs_f64(
            (missing / bucket.rate).clamp(MIN_WAIT_SECONDS, MAX_WAIT_SECONDS),
        ))
    }

    /// How long a call would have to wait now; none: not at all. What is planned
    /// after the wait is planned on newer knowledge than what waits when it is
    /// ready to be sent.
    pub fn wait(&self, priority: RequestPriority) -> Option<Duration> {
        self.take(0.0, priority).err()
    }

    /// Waits until a call of this priority may be made, and counts it as so many calls.
    pub async fn acquire(&self, amount: f64, priority: RequestPriority) {
        while let Err(wait) = self.take(amount, priority) {
            tokio::time::sleep(wait).await;
        }
    }
}

#[cfg(test)]
mod tests;
