//! Which jobs are cancelled, according to their records or to a peer that has seen a
//! cancellation before this cache.

use super::StateCache;
use crate::storage::ids::{JobId, Revision};

impl StateCache {
    /// Whether the job's tasks must be stopped and none may start: its user has cancelled it, or
    /// it is over and its keys are being removed.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.peer_cancelled.contains_key(id)
            || self
                .jobs
                .get(id)
                .is_some_and(|job| job.cleanup_since.is_some())
    }

    /// Jobs that peers have reported as cancelled and whose cancellation the watch has not
    /// delivered yet.
    pub fn peer_cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.peer_cancelled.keys()
    }

    /// Records that a peer that has seen revision `seen` reports these jobs as cancelled. Has no
    /// effect if this cache has reached that revision. Jobs unknown to the cache are skipped,
    /// since this controller has no tasks of theirs. Returns how many cancellations are new.
    pub fn note_cancelled(&mut self, jobs: Vec<JobId>, seen: Revision) -> usize {
        let mut new = 0;
        for id in jobs {
            if seen > self.revision
                && self
                    .jobs
                    .get(&id)
                    .is_some_and(|job| job.cleanup_since.is_none())
            {
                new += usize::from(self.peer_cancelled.insert(id, seen).is_none());
            }
        }
        new
    }

    /// Returns the jobs that were cancelled by changes after this revision, according to their
    /// records or to peers, and that still have records. Jobs without records cannot have tasks
    /// on any machine.
    pub fn cancelled_since(&self, revision: Revision) -> Vec<JobId> {
        let cancelled = self.pending_cleanup.iter().filter(|id| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| job.cleanup_since.is_some_and(|since| since > revision))
        });
        cancelled
            .chain(self.peer_cancelled.keys())
            .cloned()
            .collect()
    }
}
