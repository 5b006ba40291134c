//! Places tasks by least estimated completion time (section 4.3, equation 2). Machines run
//! several tasks concurrently, so the queueing term of equation 2 only decides whether a task
//! fits at all; the estimate is the image fetch plus the run time on that machine.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use crate::storage::{
    ImageName, JobKind, JobSpec, MachineId, MachineType, Resources, TypeName, ZoneName,
};

/// A machine that is considered for a task.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// Index of its owner, since the leader's trial placement considers machines of several
    /// owners.
    pub owner: usize,
    /// The machine.
    pub machine: MachineId,
    /// Its machine type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free resources.
    pub free: Resources,
    /// Total resources.
    pub size: Resources,
    /// Image fetch rate in GB per second.
    pub fetch_gb_per_s: f64,
    /// Learned speed relative to other machines of the type; 1 is typical.
    pub speed: f64,
    /// Images in its cache.
    pub images: Arc<Vec<ImageName>>,
    /// Time until the paid period of a draining machine ends and it is released; `None` if the
    /// machine is not draining.
    pub time_until_return: Option<Duration>,
}

/// Estimated duration of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time to fetch the image.
    pub fetch: Duration,
    /// Run time once the image is there.
    pub run: Duration,
}

impl Estimate {
    /// Returns the time until the task is complete.
    pub fn completion(&self) -> Duration {
        self.fetch + self.run
    }
}

/// Minimum tolerance within which completion times count as equal. It is the tolerance for
/// services, which have no run time and for which every second until the start counts.
const MIN_COMPLETION_TOLERANCE: Duration = Duration::from_millis(200);
/// Tolerance within which completion times count as equal, relative to the submitted run time
/// estimate, which is often wrong by half.
const COMPLETION_TOLERANCE_RATIO: f64 = 0.1;

/// Estimates the duration of a task of the job on a machine. `run_time_factor` is the ratio of
/// measured run time to the submitter's estimate for the job's class.
pub fn estimate(spec: &JobSpec, candidate: &CandidateMachine, run_time_factor: f64) -> Estimate {
    let fetch = if candidate.images.contains(&spec.image) || spec.image_gb <= 0.0 {
        Duration::ZERO
    } else {
        Duration::from_secs_f64(spec.image_gb / candidate.fetch_gb_per_s.max(0.01))
    };
    let run = spec
        .estimate
        .mul_f64(run_time_factor / candidate.speed.clamp(0.05, 5.0));
    Estimate { fetch, run }
}

/// Whether the job allows the machine's type, zone and spot status, regardless of free
/// resources and of the job's other tasks.
pub fn is_eligible(spec: &JobSpec, candidate: &CandidateMachine) -> bool {
    spec.allows_type(&candidate.machine_type)
        && spec.allows_zone(&candidate.zone)
        && (spec.spot || !candidate.spot)
}

impl CandidateMachine {
    /// Returns an idle machine of this type with an empty image cache; its owner index is 0.
    pub fn empty(
        machine: MachineId,
        machine_type: &MachineType,
        zone: &ZoneName,
        spot: bool,
    ) -> Self {
        Self {
            owner: 0,
            machine,
            machine_type: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
            free: machine_type.size,
            size: machine_type.size,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            speed: 1.0,
            images: Arc::default(),
            time_until_return: None,
        }
    }

    /// Takes the resources of one task of the job and adds its image to the cached images.
    pub fn place_task(&mut self, spec: &JobSpec) {
        self.free -= spec.per_task;
        if !self.images.contains(&spec.image) {
            Arc::make_mut(&mut self.images).push(spec.image.clone());
        }
    }
}

/// Sort key of candidates for a task, best first; the fields are compared in order. Least
/// estimated completion comes first. Ties go to spot machines if the task may use them
/// (on-demand machines are kept for tasks that may not), then to machines with the image, then
/// to the tightest fit, which leaves other machines empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CompletionOrder {
    /// Estimated completion in steps of the tolerance; for a gang, the image fetch in steps of
    /// the minimum tolerance.
    pub(super) completion_step: u64,
    /// The machine is on-demand although the task may use spot machines.
    uses_on_demand: bool,
    /// Image fetch time; for a gang, the run time.
    tie_breaker_ms: u64,
    /// Bit pattern of the number of CPUs that would be left free.
    left_cpus_bits: u64,
}

/// Returns the sort key of the candidate for a task of the job, or `None` if it cannot take the
/// task. A draining machine takes only tasks that complete before it is released, and no service.
pub(super) fn completion_order(
    spec: &JobSpec,
    candidate: &CandidateMachine,
    run_time_factor: f64,
) -> Option<CompletionOrder> {
    if !spec.per_task.fits_in(&candidate.free) || !is_eligible(spec, candidate) {
        return None;
    }
    let estimate = estimate(spec, candidate, run_time_factor);
    if let Some(left) = candidate.time_until_return
        && (spec.kind == JobKind::Service || estimate.completion() > left)
    {
        return None;
    }
    let uses_on_demand = spec.spot && !candidate.spot;
    // Bit patterns of non-negative floats sort like the floats themselves.
    let left_cpus_bits = (candidate.free.cpus - spec.per_task.cpus)
        .max(0.0)
        .to_bits();
    if spec.kind == JobKind::Gang {
        // All tasks of a gang wait for the last image and run at the pace of the slowest
        // machine, so a cached image matters more than a faster machine for one of them.
        return Some(CompletionOrder {
            completion_step: (estimate.fetch.as_millis() / MIN_COMPLETION_TOLERANCE.as_millis())
                as u64,
            uses_on_demand,
            tie_breaker_ms: estimate.run.as_millis() as u64,
            left_cpus_bits,
        });
    }
    let tolerance = spec
        .estimate
        .mul_f64(COMPLETION_TOLERANCE_RATIO)
        .max(MIN_COMPLETION_TOLERANCE);
    Some(CompletionOrder {
        completion_step: (estimate.completion().as_millis() / tolerance.as_millis()) as u64,
        uses_on_demand,
        tie_breaker_ms: estimate.fetch.as_millis() as u64,
        left_cpus_bits,
    })
}

/// Returns the index of the best candidate for one task of the job among those that `admits`
/// accepts.
pub fn best_candidate(
    spec: &JobSpec,
    candidates: &[CandidateMachine],
    run_time_factor: f64,
    mut admits: impl FnMut(&CandidateMachine) -> bool,
) -> Option<usize> {
    let mut best: Option<(CompletionOrder, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if let Some(order) = completion_order(spec, candidate, run_time_factor)
            && best.is_none_or(|(best_order, _)| order < best_order)
            && admits(candidate)
        {
            best = Some((order, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Places up to `count` tasks of a job and returns the candidate index of each. The result is
/// the same as placing one task after the other with [`best_candidate`], but each candidate is
/// evaluated only once: a candidate that has taken a task remains the best one until it is
/// full, since it then has the image and fits tighter. Services and gangs whose image is not
/// cached are the exception: they are spread first, see `initial_task_limit`.
///
/// `admits` is called for each task. Once it has rejected a candidate, it must keep rejecting
/// it.
pub fn place_tasks(
    spec: &JobSpec,
    candidates: &mut [CandidateMachine],
    run_time_factor: f64,
    count: usize,
    mut admits: impl FnMut(&CandidateMachine) -> bool,
) -> Vec<usize> {
    let mut queue: BinaryHeap<Reverse<(CompletionOrder, usize)>> = candidates
        .iter()
        .enumerate()
        .filter_map(|(index, candidate)| {
            Some(Reverse((
                completion_order(spec, candidate, run_time_factor)?,
                index,
            )))
        })
        .collect();
    let mut chosen = Vec::with_capacity(count);
    let mut image_holders = Vec::new();
    while chosen.len() < count {
        let Some(Reverse((_, index))) = queue.pop() else {
            break;
        };
        let candidate = &mut candidates[index];
        let max_tasks = initial_task_limit(spec, candidate).min(count - chosen.len());
        let placed = place_on_candidate(spec, candidate, max_tasks, &mut admits);
        chosen.extend(std::iter::repeat_n(index, placed));
        if placed == max_tasks {
            image_holders.push(index);
        }
    }
    // Each candidate was tried once. If tasks remain, the limit of one task per machine is lifted.
    for index in image_holders {
        let remaining = count - chosen.len();
        let placed = place_on_candidate(spec, &mut candidates[index], remaining, &mut admits);
        chosen.extend(std::iter::repeat_n(index, placed));
    }
    chosen
}

/// Places up to `max_tasks` tasks on a candidate and returns the number placed.
fn place_on_candidate(
    spec: &JobSpec,
    candidate: &mut CandidateMachine,
    max_tasks: usize,
    admits: &mut impl FnMut(&CandidateMachine) -> bool,
) -> usize {
    let mut placed = 0;
    while placed < max_tasks && spec.per_task.fits_in(&candidate.free) && admits(candidate) {
        candidate.place_task(spec);
        placed += 1;
    }
    placed
}

/// Returns the number of tasks to place on the candidate before other candidates are tried.
/// Services and gangs put only one task on a machine that lacks their image: more machines then
/// have the image for the next job that needs it, and the loss of a machine affects fewer tasks
/// of the job. Measured effect in docs/DESIGN.md, 15.
fn initial_task_limit(spec: &JobSpec, candidate: &CandidateMachine) -> usize {
    if spec.kind == JobKind::Array || candidate.images.contains(&spec.image) {
        usize::MAX
    } else {
        1
    }
}

#[cfg(test)]
pub(crate) mod tests;
