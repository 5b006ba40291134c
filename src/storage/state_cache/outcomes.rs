//! Outcomes of jobs that were delivered or looked up. They are not part of the live set and
//! never change, so a bounded number of them is cached.

use super::StateCache;
use crate::storage::{ids::JobId, records::OutcomeRecord};

/// Maximum number of outcomes kept in memory. Older ones are looked up again when needed.
const MAX_OUTCOMES: usize = 20_000;

impl StateCache {
    /// The outcome of a job, if it is cached.
    pub fn outcome(&self, job: &JobId) -> Option<OutcomeRecord> {
        self.outcomes.get(job).copied()
    }

    /// Takes over the outcomes of the cache that this one replaces. They are still valid, since
    /// outcomes never change.
    pub fn take_outcomes(&mut self, older: &mut StateCache) {
        self.outcomes = std::mem::take(&mut older.outcomes);
        self.outcome_order = std::mem::take(&mut older.outcome_order);
    }

    /// Caches an outcome, and evicts the oldest one if there are too many.
    pub fn remember_outcome(&mut self, job: JobId, outcome: OutcomeRecord) {
        if self.outcomes.insert(job.clone(), outcome).is_none() {
            self.outcome_order.push_back(job);
            if self.outcome_order.len() > MAX_OUTCOMES
                && let Some(oldest) = self.outcome_order.pop_front()
            {
                self.outcomes.remove(&oldest);
            }
        }
    }
}
