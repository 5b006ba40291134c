//! Whether the key-value store answers this controller.

use std::time::Duration;

use tokio::time::Instant;

use super::{StateError, Store, lock, reads::WATCH_MAX_WAIT};

/// Without an answer for this long the state service counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(2_500);

impl Store {
    /// The state service answers this controller.
    pub fn is_reachable(&self) -> bool {
        let failing = *lock(&self.failing_since);
        failing.is_none_or(|since| since.elapsed() < LOST_AFTER)
            && self
                .confirmed_at()
                .is_some_and(|confirmed_at| confirmed_at.elapsed() < WATCH_MAX_WAIT + LOST_AFTER)
    }

    /// Notes from the result of a request whether the service answers.
    pub(super) fn note_reachability<T>(&self, result: &Result<T, StateError>) {
        let mut failing = lock(&self.failing_since);
        match result {
            Err(StateError::Unavailable | StateError::NoAnswer) => {
                if failing.is_none() {
                    tracing::info!("the state service does not answer");
                    *failing = Some(Instant::now());
                }
            }
            _ => {
                if let Some(since) = failing.take()
                    && since.elapsed() > LOST_AFTER
                {
                    tracing::info!(after = ?since.elapsed(), "the state service answers again");
                }
            }
        }
    }
}
