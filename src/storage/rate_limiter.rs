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
    /// What this controller may count on.
    fair: f64,
    /// What it never goes beyond.
    most: f64,
    /// What it allows itself now.
    rate: f64,
    level: f64,
    at: Instant,
    /// A call had to wait since the rate was last judged.
    pressed: bool,
    refused: Option<Instant>,
    judged: Instant,
}

/// How often the rate is judged, and how fast it grows and shrinks.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
const GROWTH: f64 = 1.25;
const CUT: f64 = 0.6;
/// A controller always counts on so many calls a second.
const LEAST_RATE: f64 = 2.0;
/// After a refusal the rate does not grow for a moment.
const QUIET: Duration = Duration::from_secs(2);

impl TokenBucket {
    fn refill(&mut self, now: Instant) {
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.at = now;
    }

    /// The others often use less than their part: what they leave may be used
    /// until the service says otherwise.
    fn judge(&mut self, now: Instant) {
        if now.saturating_duration_since(self.judged) < ADJUST_INTERVAL {
            return;
        }
        self.judged = now;
        let refused = self
            .refused
            .is_some_and(|at| now.saturating_duration_since(at) < QUIET);
        if self.pressed && !refused {
            self.rate = (self.rate * GROWTH).min(self.most);
        } else if !self.pressed {
            self.rate = (self.rate / GROWTH).max(self.fair);
        }
        self.pressed = false;
    }
}

/// A token bucket of one second's worth, whose rate adjusts itself between a
/// fair part of the limit and most of it.
#[derive(Debug)]
pub struct RateLimiter(Mutex<TokenBucket>);

impl RateLimiter {
    pub fn new(rate: f64) -> Self {
        Self::between(rate, rate)
    }

    pub fn between(fair: f64, most: f64) -> Self {
        let now = Instant::now();
        Self(Mutex::new(TokenBucket {
            fair,
            most,
            rate: fair,
            level: fair,
            at: now,
            pressed: false,
            refused: None,
            judged: now,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A fair part, and what is never gone beyond.
    pub fn set_bounds(&self, fair: f64, most: f64) {
        let mut bucket = self.lock();
        bucket.refill(Instant::now());
        bucket.most = most.max(LEAST_RATE);
        bucket.fair = fair.clamp(LEAST_RATE, bucket.most);
        bucket.rate = bucket.rate.clamp(bucket.fair, bucket.most);
    }

    /// The service has refused a call as one too many for all of us.
    pub fn refused(&self) {
        let mut bucket = self.lock();
        let now = Instant::now();
        bucket.refill(now);
        bucket.refused = Some(now);
        bucket.rate = (bucket.rate * CUT).max(bucket.fair);
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
        bucket.judge(now);
        let floor = priority.reserve() * bucket.rate;
        if bucket.level >= floor.max(1.0).min(bucket.rate) {
            bucket.level -= amount;
            return Ok(());
        }
        bucket.pressed = true;
        let missing = floor.max(1.0) - bucket.level;
        Err(Duration::from_secs_f64(
            (missing / bucket.rate).clamp(0.005, 0.25),
        ))
    }

    /// How long a call would have to wait now; none: not at all. What is planned
    /// after the wait is planned on newer knowledge than what waits when it is
    /// ready to be sent.
    pub fn wait(&self, priority: RequestPriority) -> Option<Duration> {
        self.take(0.0, priority).err()
    }

    pub async fn acquire(&self, amount: f64, priority: RequestPriority) {
        while let Err(wait) = self.take(amount, priority) {
            tokio::time::sleep(wait).await;
        }
    }
}

#[cfg(test)]
mod tests;
