//! Random choices of simulated users.
//!
//! Each action of a user has its own generator, seeded with the scenario's seed, the job and the
//! action. The user's choices therefore do not depend on how many random numbers the program,
//! the network or other users have drawn. With one shared generator, a change to the program made
//! users contact other controllers, and whether a scenario passed depended on that.

use std::{
    cell::Cell,
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use stallcove::storage::JobId;

/// Delay before a request is retried, in seconds.
const RETRY_PAUSE_S: std::ops::Range<f64> = 1.0..2.0;

thread_local! {
    /// Seed of the scenario on this thread; without one, users' choices are not repeatable.
    static SEED: Cell<Option<u64>> = const { Cell::new(None) };
}

/// Makes the random choices of this thread's users repeatable.
pub(crate) fn seed(seed: u64) {
    SEED.set(Some(seed));
}

/// Action of a user; each has its own random generator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum UserAction {
    /// Submits a job and polls its state.
    Submit,
    /// Submits a known job again, `at_ms` milliseconds after the start of the scenario.
    SubmitAgain { at_ms: u128 },
    /// Requests the cancellation of a job.
    Cancel,
    /// Sends invalid submissions.
    SendInvalid,
}

/// Random generator for one action of a user.
pub(crate) struct UserChoices {
    generator: StdRng,
}

impl UserChoices {
    /// Creates the generator for this action on the job.
    pub(crate) fn new(action: UserAction, job: &JobId) -> Self {
        let generator = match SEED.get() {
            Some(seed) => {
                let mut hasher = DefaultHasher::new();
                (seed, action, job.as_str()).hash(&mut hasher);
                StdRng::seed_from_u64(hasher.finish())
            }
            None => StdRng::from_os_rng(),
        };
        Self { generator }
    }

    /// Draws the index of the controller that the load balancer tries first.
    pub(crate) fn first_controller(&mut self, controllers: usize) -> usize {
        self.generator.random_range(0..controllers)
    }

    /// Draws the delay before the request is retried.
    pub(crate) fn retry_pause(&mut self) -> Duration {
        Duration::from_secs_f64(self.generator.random_range(RETRY_PAUSE_S))
    }
}
