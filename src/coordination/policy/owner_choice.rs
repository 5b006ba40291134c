//! Which owner gets the tasks of a run record: the comparison between owners that the
//! leader's trial placement makes (ours; the paper has one queue).

use std::collections::BTreeMap;

use super::placement::{CandidateMachine, CompletionOrder, completion_order};
use crate::storage::JobSpec;

/// What one owner's machines offer to tasks of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerFit {
    /// Tasks that it can take, up to the number asked for.
    pub tasks: usize,
    /// Sum of their places in the order of completion.
    cost: u64,
    /// CPUs that are free.
    pub free_cpus: f64,
}

/// What each owner's machines offer to up to `count` tasks of the job, by the owner's index.
pub fn compare_owners(
    spec: &JobSpec,
    candidates: &[CandidateMachine],
    factor: f64,
    count: usize,
) -> BTreeMap<usize, OwnerFit> {
    let mut keys: BTreeMap<usize, Vec<(CompletionOrder, usize)>> = BTreeMap::new();
    let mut fits: BTreeMap<usize, OwnerFit> = BTreeMap::new();
    for candidate in candidates {
        if let Some(key) = completion_order(spec, candidate, factor) {
            let tasks = spec.per_task.count_in(&candidate.room) as usize;
            keys.entry(candidate.owner).or_default().push((key, tasks));
            fits.entry(candidate.owner).or_default().free_cpus += candidate.room.cpus;
        }
    }
    for (owner, mut keys) in keys {
        keys.sort_unstable();
        let Some(fit) = fits.get_mut(&owner) else {
            continue;
        };
        for (key, tasks) in keys {
            let taken = tasks.min(count - fit.tasks);
            fit.tasks += taken;
            fit.cost += key.completion_step * taken as u64;
            if fit.tasks == count {
                break;
            }
        }
    }
    fits
}

/// The index of the owner for the tasks of one record: the one that takes most of them, since
/// each further owner writes the record as well; of equals the one where they
/// complete first, then the one with most room.
/// `writers`: owners that write the record already, which come first.
pub fn best_owner(fits: &BTreeMap<usize, OwnerFit>, writers: &[usize]) -> Option<usize> {
    fits.iter()
        .filter(|(_, fit)| fit.tasks > 0)
        .max_by(|(i, a), (j, b)| {
            let cost = |fit: &OwnerFit| fit.cost / fit.tasks as u64;
            writers
                .contains(i)
                .cmp(&writers.contains(j))
                .then(a.tasks.cmp(&b.tasks))
                .then(cost(b).cmp(&cost(a)))
                .then(a.free_cpus.total_cmp(&b.free_cpus))
        })
        .map(|(owner, _)| *owner)
}
