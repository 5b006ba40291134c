//! Gives all who wait their turn in passes that try a bounded number of them.
//!
//! A pass goes through a queue from its head. If those at the head are tried in vain, each pass would
//! try the same ones, and those behind them would never be tried. [`Turns`] remembers who was tried
//! in vain: half of a pass's tries are made in the queue's order, and the other half only by those
//! who have not had their turn, until all have had one.

use std::collections::BTreeSet;

/// The turns of all who wait, kept between passes.
#[derive(Debug)]
pub struct Turns<K> {
    /// Maximum number of tries in this pass.
    max_tries: usize,
    /// Number of tries in this pass.
    tries: usize,
    /// Who was tried in vain since everyone last had a turn.
    tried_in_vain: BTreeSet<K>,
    /// Whether this pass left somebody out who has not had a turn.
    has_left_out: bool,
}

impl<K> Default for Turns<K> {
    fn default() -> Self {
        Self {
            max_tries: 0,
            tries: 0,
            tried_in_vain: BTreeSet::new(),
            has_left_out: false,
        }
    }
}

impl<K: Ord> Turns<K> {
    /// Begins a pass with this maximum number of tries. If the last one left nobody out, everyone
    /// has had a turn.
    pub fn begin_pass(&mut self, max_tries: usize) {
        if !self.has_left_out {
            self.tried_in_vain.clear();
        }
        self.max_tries = max_tries;
        self.tries = 0;
        self.has_left_out = false;
    }

    /// Whether this pass has tries left for those who have not had a turn.
    #[must_use]
    pub fn has_tries_left(&self) -> bool {
        self.tries < self.max_tries
    }

    /// Whether `key` may be tried now; counts a try if so. Must be called in the queue's order.
    pub fn may_try(&mut self, key: &K) -> bool {
        let had_turn = self.tried_in_vain.contains(key);
        let max_tries = if had_turn {
            self.max_tries / 2
        } else {
            self.max_tries
        };
        let may_try = self.tries < max_tries;
        if may_try {
            self.tries += 1;
        } else {
            self.leave_out(key);
        }
        may_try
    }

    /// Notes that this pass does not try `key`.
    pub fn leave_out(&mut self, key: &K) {
        self.has_left_out |= !self.tried_in_vain.contains(key);
    }

    /// Notes that `key` was tried in vain.
    pub fn note_in_vain(&mut self, key: K) {
        self.tried_in_vain.insert(key);
    }
}

#[cfg(test)]
mod tests;
