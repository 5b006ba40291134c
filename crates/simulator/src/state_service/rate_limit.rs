//! Rate limit of the state service on requests or changes.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket that holds up to one second's worth of tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
    per_second: f64,
    /// Amount that may be used now.
    available: f64,
    updated_at: Option<Instant>,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self {
            per_second: f64::MAX,
            available: f64::MAX,
            updated_at: None,
        }
    }
}

impl RateLimit {
    /// Creates a limit whose bucket is full.
    pub(super) fn new(per_second: f64) -> Self {
        Self {
            per_second,
            available: per_second,
            updated_at: None,
        }
    }

    /// Uses this amount if it is available now; returns whether it was.
    #[must_use]
    pub(super) fn try_use(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        let elapsed = self
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now - at);
        let regained = elapsed.as_secs_f64() * self.per_second;
        self.available = (self.available + regained).min(self.per_second);
        if self.available < amount {
            return false;
        }
        self.available -= amount;
        true
    }
}
