//! Outcomes of jobs that were seen or looked up. They are not in the live set and never
//! change, so that a bounded number of them is kept.

use super::StateCache;
use crate::storage::{ids::JobId, records::OutcomeRecord};

/// Outcomes kept in memory; older ones are looked up again when asked for.
const MAX_OUTCOMES: usize = 20_000;

impl StateCache {
    /// How a job ended, if that is known here.
    pub fn outcome(&self, job: &JobId) -> Option<OutcomeRecord> {
        self.outcomes.get(job).copied()
    }

    /// Outcomes never change: those known to the cache that this one replaces hold.
    pub fn take_outcomes(&mut self, older: &mut StateCache) {
        self.outcomes = std::mem::take(&mut older.outcomes);
        self.outcome_order = std::mem::take(&mut older.outcome_order);
    }

    /// Keeps an outcome; the oldest ones go when there are too many.
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
