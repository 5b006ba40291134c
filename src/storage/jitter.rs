//! Jitter: random pauses and fractions, from one generator per thread that tests can seed.

use std::{cell::RefCell, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

thread_local! {
    static GENERATOR: RefCell<StdRng> = RefCell::new(StdRng::from_os_rng());
}

/// Seeds this thread's generator, which makes its random numbers reproducible.
pub fn seed(seed: u64) {
    GENERATOR.with(|generator| *generator.borrow_mut() = StdRng::seed_from_u64(seed));
}

/// Returns a random number from `from` up to, but not including, `to`.
pub fn uniform(from: f64, to: f64) -> f64 {
    GENERATOR.with(|generator| generator.borrow_mut().random_range(from..to))
}

/// Returns a random duration in whole milliseconds, from `from` up to, but not including, `to`.
pub fn millis(from: u64, to: u64) -> Duration {
    let millis = GENERATOR.with(|generator| generator.borrow_mut().random_range(from..to));
    Duration::from_millis(millis)
}
