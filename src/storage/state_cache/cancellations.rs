//! Which jobs are cancelled, by their records or by the word of a peer that has seen
//! a cancellation ahead of this cache.

use super::StateCache;
use crate::storage::ids::{JobId, Revision};

impl StateCache {
    /// Whether the job's tasks must go and none may start: its user has cancelled
    /// it, or it is over and its keys are being removed.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.peer_cancelled.contains_key(id)
            || self
                .jobs
                .get(id)
                .is_some_and(|job| job.cleanup_since.is_some())
    }

    /// Jobs to be stopped on the word of a peer.
    pub fn peer_cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.peer_cancelled.keys()
    }

    /// A peer that has seen this revision says that these jobs are cancelled. Those
    /// that we have not heard of have no tasks of ours. Returns how many are new.
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

    /// Jobs cancelled by changes after this revision, as long as anything of them is
    /// left: of the others no task can be anywhere.
    pub fn cancelled_since(&self, revision: Revision) -> Vec<JobId> {
        let cleanup_since = self.pending_cleanup.iter().filter(|id| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| job.cleanup_since.is_some_and(|changed| changed > revision))
        });
        cleanup_since
            .chain(self.peer_cancelled.keys())
            .cloned()
            .collect()
    }
}
