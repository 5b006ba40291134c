//! Jitter: random pauses, from one generator that tests can seed.

use std::{cell::RefCell, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

thread_local! {
    static GENERATOR: RefCell<StdRng> = RefCell::new(StdRng::from_os_rng());
}

/// Makes this thread's random pauses repeatable.
pub fn seed(seed: u64) {
    GENERATOR.with(|generator| *generator.borrow_mut() = StdRng::seed_from_u64(seed));
}

/// A random number from `from` up to, but not including, `to`.
pub fn uniform(from: f64, to: f64) -> f64 {
    GENERATOR.with(|generator| generator.borrow_mut().random_range(from..to))
}

/// A random duration of so many milliseconds, `to` not included.
pub fn millis(from: u64, to: u64) -> Duration {
    let millis = GENERATOR.with(|generator| generator.borrow_mut().random_range(from..to));
    Duration::from_millis(millis)
}
