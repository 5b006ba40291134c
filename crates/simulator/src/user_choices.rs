//! What simulated users draw at random.
//!
//! Each errand of a user has a generator of its own, seeded by the play's seed, the job and the
//! errand: what the user does next does not depend on how much the program, the network or other
//! users have drawn. With one generator for all, a change of the program had users turn to other
//! controllers, and a scenario failed or held by that.

use std::{
    cell::Cell,
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use stallcove::storage::JobId;

/// The pause before a request is repeated, in seconds.
const RETRY_PAUSE_S: std::ops::Range<f64> = 1.0..2.0;

thread_local! {
    /// The seed of the play on this thread; none: what users draw does not repeat.
    static SEED: Cell<Option<u64>> = const { Cell::new(None) };
}

/// Makes what this thread's users draw repeatable.
pub(crate) fn seed(seed: u64) {
    SEED.set(Some(seed));
}

/// What a user is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Errand {
    /// Submits a job, and polls.
    Submit,
    /// Submits a known job once more, so many milliseconds after the start.
    SubmitAgain { at_ms: u128 },
    /// Asks to cancel a job.
    Cancel,
    /// Sends submissions that are invalid.
    SendInvalid,
}

/// The generator of one errand.
pub(crate) struct UserChoices {
    generator: StdRng,
}

impl UserChoices {
    /// The generator for this errand about the job.
    pub(crate) fn new(errand: Errand, job: &JobId) -> Self {
        let generator = match SEED.get() {
            Some(seed) => {
                let mut hasher = DefaultHasher::new();
                (seed, errand, job.as_str()).hash(&mut hasher);
                StdRng::seed_from_u64(hasher.finish())
            }
            None => StdRng::from_os_rng(),
        };
        Self { generator }
    }

    /// The one of so many controllers that the load balancer tries first.
    pub(crate) fn first_controller(&mut self, controllers: usize) -> usize {
        self.generator.random_range(0..controllers)
    }

    /// The pause before the request is repeated.
    pub(crate) fn retry_pause(&mut self) -> Duration {
        Duration::from_secs_f64(self.generator.random_range(RETRY_PAUSE_S))
    }
}
