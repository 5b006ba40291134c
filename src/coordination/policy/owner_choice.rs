//! Chooses the shard owner for the tasks of a run record in the leader's trial placement. This
//! is not in the paper, which has a single queue.

use std::collections::BTreeMap;

use super::placement::{CandidateMachine, CompletionOrder, completion_order};
use crate::storage::JobSpec;

/// Capacity of one owner's machines for tasks of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerFit {
    /// Number of tasks that fit on the owner's machines, up to the number requested.
    pub tasks: usize,
    /// Sum of the completion steps of these tasks, see [`CompletionOrder`].
    completion_steps: u64,
    /// Free CPUs on the owner's machines that can take a task of the job.
    pub free_cpus: f64,
}

/// Returns the capacity of each owner's machines for up to `count` tasks of the job, by owner
/// index. Owners without a suitable machine are left out.
pub fn compare_owners(
    spec: &JobSpec,
    candidates: &[CandidateMachine],
    run_time_factor: f64,
    count: usize,
) -> BTreeMap<usize, OwnerFit> {
    let mut machines: BTreeMap<usize, Vec<(CompletionOrder, usize)>> = BTreeMap::new();
    let mut fits: BTreeMap<usize, OwnerFit> = BTreeMap::new();
    for candidate in candidates {
        if let Some(order) = completion_order(spec, candidate, run_time_factor) {
            let tasks = spec.per_task.count_in(&candidate.free) as usize;
            machines
                .entry(candidate.owner)
                .or_default()
                .push((order, tasks));
            fits.entry(candidate.owner).or_default().free_cpus += candidate.free.cpus;
        }
    }
    for (owner, mut machines) in machines {
        machines.sort_unstable();
        let Some(fit) = fits.get_mut(&owner) else {
            continue;
        };
        for (order, tasks) in machines {
            let fitting = tasks.min(count - fit.tasks);
            fit.tasks += fitting;
            fit.completion_steps += order.completion_step * fitting as u64;
            if fit.tasks == count {
                break;
            }
        }
    }
    fits
}

/// Returns the index of the owner for the tasks of one record. Owners that already write the
/// record (`writers`) come first, then the owner that can take most of the tasks, since each
/// additional owner also has to write the record. Ties go to the owner with the earliest mean
/// completion, then to the one with the most free CPUs.
pub fn best_owner(fits: &BTreeMap<usize, OwnerFit>, writers: &[usize]) -> Option<usize> {
    fits.iter()
        .filter(|(_, fit)| fit.tasks > 0)
        .max_by(|(i, a), (j, b)| {
            let mean_completion_step = |fit: &OwnerFit| fit.completion_steps / fit.tasks as u64;
            writers
                .contains(i)
                .cmp(&writers.contains(j))
                .then(a.tasks.cmp(&b.tasks))
                .then(mean_completion_step(b).cmp(&mean_completion_step(a)))
                .then(a.free_cpus.total_cmp(&b.free_cpus))
        })
        .map(|(owner, _)| *owner)
}
