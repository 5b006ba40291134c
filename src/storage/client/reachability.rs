//! Whether the state service answers this controller.

use std::time::Duration;

use tokio::time::Instant;

use super::{StateError, Store, lock, reads::WATCH_MAX_WAIT};

/// Time without an answer after which the state service counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(2_500);

impl Store {
    /// Whether the state service answers this controller.
    pub fn is_reachable(&self) -> bool {
        let failing = *lock(&self.failing_since);
        failing.is_none_or(|since| since.elapsed() < UNREACHABLE_AFTER)
            && self.confirmed_at().is_some_and(|confirmed_at| {
                confirmed_at.elapsed() < WATCH_MAX_WAIT + UNREACHABLE_AFTER
            })
    }

    /// Records from the result of a request whether the service answers.
    pub(super) fn note_reachability<T>(&self, result: &Result<T, StateError>) {
        let mut failing = lock(&self.failing_since);
        match result {
            Err(StateError::Unavailable | StateError::NoResponse) => {
                if failing.is_none() {
                    tracing::info!("the state service does not answer");
                    *failing = Some(Instant::now());
                }
            }
            _ => {
                if let Some(since) = failing.take()
                    && since.elapsed() > UNREACHABLE_AFTER
                {
                    tracing::info!(after = ?since.elapsed(), "the state service answers again");
                }
            }
        }
    }
}
