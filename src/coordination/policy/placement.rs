//! Placing by least estimated completion (section 4.3, equation 2). Machines
//! run tasks side by side, so that the queue ahead of a task is what keeps it
//! from having room at all; what is left of equation 2 is the image fetch and
//! the run time on that machine.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use crate::storage::{
    ImageName, JobKind, JobSpec, MachineId, MachineType, Resources, TypeName, ZoneName,
};

/// A machine with free capacity that might take a task.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// Index of its owner: the leader's trial looks at several owners' machines.
    pub owner: usize,
    /// The machine.
    pub machine: MachineId,
    /// Its machine type.
    pub kind: TypeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What is free on it.
    pub room: Resources,
    /// What it has in all.
    pub size: Resources,
    /// How fast it fetches images, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Learned speed; 1 is usual.
    pub speed: f64,
    /// Images in its cache.
    pub images: Arc<Vec<ImageName>>,
    /// A draining machine's paid period ends in this time.
    pub leaves_in: Option<Duration>,
}

/// How long a task would take on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Until it has its image.
    pub fetch: Duration,
    /// From then on.
    pub run: Duration,
}

impl Estimate {
    /// From now until the task is complete.
    pub fn completion(&self) -> Duration {
        self.fetch + self.run
    }
}

/// Completions closer than this are taken as equal. Run times are guesses, and
/// often wrong by half; a service has none, and each second of its start counts.
const MIN_TOLERANCE: Duration = Duration::from_millis(200);
const TOLERANCE: f64 = 0.1;

/// The estimate for a task of the job on a machine. `factor`: measured run time against the
/// owner's estimate, for the job's class.
pub fn estimate(spec: &JobSpec, candidate: &CandidateMachine, factor: f64) -> Estimate {
    let fetch = if candidate.images.contains(&spec.image) || spec.image_gb <= 0.0 {
        Duration::ZERO
    } else {
        Duration::from_secs_f64(spec.image_gb / candidate.fetch_gb_per_s.max(0.01))
    };
    let run = spec
        .estimate
        .mul_f64(factor / candidate.speed.clamp(0.05, 5.0));
    Estimate { fetch, run }
}

/// Whether the job allows the machine at all, its other tasks aside.
pub fn allowed(spec: &JobSpec, candidate: &CandidateMachine) -> bool {
    spec.allows_type(&candidate.kind)
        && spec.allows_zone(&candidate.zone)
        && (spec.spot || !candidate.spot)
}

impl CandidateMachine {
    /// A machine of this type with nothing on it, of the owner with index 0.
    pub fn empty(
        machine: MachineId,
        machine_type: &MachineType,
        zone: &ZoneName,
        spot: bool,
    ) -> Self {
        Self {
            owner: 0,
            machine,
            kind: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
            room: machine_type.size,
            size: machine_type.size,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            speed: 1.0,
            images: Arc::default(),
            leaves_in: None,
        }
    }

    /// One task of the job is put here.
    pub fn put(&mut self, spec: &JobSpec) {
        self.room -= spec.per_task;
        if !self.images.contains(&spec.image) {
            Arc::make_mut(&mut self.images).push(spec.image.clone());
        }
    }
}

/// Least estimated completion; of equals spot machines for tasks that may use
/// them (ordinary ones are kept for those that may not), then the image, then
/// the tightest fit, which leaves other machines empty. The fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CompletionOrder {
    /// Estimated completion in steps of the tolerance; for a gang the image fetch.
    pub(super) completion_step: u64,
    /// An ordinary machine for a task that may use spot machines.
    wastes_ordinary: bool,
    /// The image fetch; for a gang the run time.
    tie_ms: u64,
    /// Bits of the CPUs that would be left free.
    left_cpus_bits: u64,
}

/// The candidate's place in the order for a task of the job; none if it can't take it.
pub(super) fn completion_order(
    spec: &JobSpec,
    candidate: &CandidateMachine,
    factor: f64,
) -> Option<CompletionOrder> {
    if !spec.per_task.fits_in(&candidate.room) || !allowed(spec, candidate) {
        return None;
    }
    let estimate = estimate(spec, candidate, factor);
    if let Some(left) = candidate.leaves_in
        && (spec.kind == JobKind::Service || estimate.completion() > left)
    {
        return None;
    }
    let wastes_ordinary = spec.spot && !candidate.spot;
    // The bits of numbers from zero on are in the numbers' order.
    let left_cpus_bits = (candidate.room.cpus - spec.per_task.cpus)
        .max(0.0)
        .to_bits();
    if spec.kind == JobKind::Gang {
        // All wait for the last image, and run at the slowest machine's pace: a
        // cached image counts before a quicker machine for one of them.
        return Some(CompletionOrder {
            completion_step: (estimate.fetch.as_millis() / MIN_TOLERANCE.as_millis()) as u64,
            wastes_ordinary,
            tie_ms: estimate.run.as_millis() as u64,
            left_cpus_bits,
        });
    }
    let tolerance = spec.estimate.mul_f64(TOLERANCE).max(MIN_TOLERANCE);
    Some(CompletionOrder {
        completion_step: (estimate.completion().as_millis() / tolerance.as_millis()) as u64,
        wastes_ordinary,
        tie_ms: estimate.fetch.as_millis() as u64,
        left_cpus_bits,
    })
}

/// The index of the candidate for one task.
pub fn choose(
    spec: &JobSpec,
    candidates: &[CandidateMachine],
    factor: f64,
    mut admits: impl FnMut(&CandidateMachine) -> bool,
) -> Option<usize> {
    let mut best: Option<(CompletionOrder, usize)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        if let Some(key) = completion_order(spec, candidate, factor)
            && best.is_none_or(|(least, _)| key < least)
            && admits(candidate)
        {
            best = Some((key, at));
        }
    }
    best.map(|(_, at)| at)
}

/// Puts up to `count` tasks of a job, each where [`choose`] would put it one
/// after the other, with one look at each candidate for all of them: one that has
/// taken a task is the best for the next one as well, until it is full, since
/// it then has the image and fits tighter. Replicas and gangs without the image are
/// spread first, see `tasks_at_once`. `admits` is asked for each task; a candidate that it
/// once refuses it must refuse for good.
pub fn fill(
    spec: &JobSpec,
    candidates: &mut [CandidateMachine],
    factor: f64,
    count: usize,
    mut admits: impl FnMut(&CandidateMachine) -> bool,
) -> Vec<usize> {
    let mut order: BinaryHeap<Reverse<(CompletionOrder, usize)>> = candidates
        .iter()
        .enumerate()
        .filter_map(|(at, candidate)| {
            Some(Reverse((completion_order(spec, candidate, factor)?, at)))
        })
        .collect();
    let mut chosen = Vec::with_capacity(count);
    let mut warmed = Vec::new();
    while chosen.len() < count {
        let Some(Reverse((_, at))) = order.pop() else {
            break;
        };
        let candidate = &mut candidates[at];
        let max_tasks = tasks_at_once(spec, candidate).min(count - chosen.len());
        let put = put_tasks(spec, candidate, max_tasks, &mut admits);
        chosen.extend(std::iter::repeat_n(at, put));
        if put == max_tasks {
            warmed.push(at);
        }
    }
    // Fewer machines than tasks: they take more than one after all.
    for at in warmed {
        let left = count - chosen.len();
        let put = put_tasks(spec, &mut candidates[at], left, &mut admits);
        chosen.extend(std::iter::repeat_n(at, put));
    }
    chosen
}

/// Puts up to `max_tasks` tasks on a candidate; returns how many it has taken.
fn put_tasks(
    spec: &JobSpec,
    candidate: &mut CandidateMachine,
    max_tasks: usize,
    admits: &mut impl FnMut(&CandidateMachine) -> bool,
) -> usize {
    let mut put = 0;
    while put < max_tasks && spec.per_task.fits_in(&candidate.room) && admits(candidate) {
        candidate.put(spec);
        put += 1;
    }
    put
}

/// Replicas and gangs whose image a machine has not yet go to several machines, one task
/// each: all of these have the image for the next job that needs it, and one that is lost
/// takes fewer tasks of a job along. Measured effect in docs/DESIGN.md, 15.
fn tasks_at_once(spec: &JobSpec, candidate: &CandidateMachine) -> usize {
    if spec.kind == JobKind::Array || candidate.images.contains(&spec.image) {
        usize::MAX
    } else {
        1
    }
}

#[cfg(test)]
pub(crate) mod tests;
