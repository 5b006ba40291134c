//! Placing by least estimated completion (section 4.3, equation 2). Machines
//! run tasks side by side, so that the queue ahead of a task is what keeps it
//! from having room at all; what is left of equation 2 is the image fetch and
//! the run time on that machine.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use crate::storage::{
    ImageName, JobKind, JobSpec, MachineId, MachineType, Resources, TypeName, ZoneName,
};

/// A machine that might take a task.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// Whose it is: the leader's trial looks at several owners' machines.
    pub owner: usize,
    pub machine: MachineId,
    pub kind: TypeName,
    pub zone: ZoneName,
    pub spot: bool,
    pub room: Resources,
    /// Share of the machine's CPUs that would still be free.
    pub size: Resources,
    pub fetch_gb_per_s: f64,
    /// Learned speed; 1 is usual.
    pub speed: f64,
    pub images: Arc<Vec<ImageName>>,
    /// A draining machine's paid period ends in this time.
    pub leaves_in: Option<Duration>,
}

/// What a task would be there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub fetch: Duration,
    pub run: Duration,
}

impl Estimate {
    pub fn completion(&self) -> Duration {
        self.fetch + self.run
    }
}

/// Completions closer than this are taken as equal. Run times are guesses, and
/// often wrong by half; a service has none, and each second of its start counts.
const MIN_TOLERANCE: Duration = Duration::from_millis(200);
const TOLERANCE: f64 = 0.1;

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
/// the tightest fit, which leaves other machines empty.
type CompletionOrder = (u64, bool, u64, u64);

/// The slot's place in the order for a task of the job; none if it can't take it.
fn key(spec: &JobSpec, candidate: &CandidateMachine, factor: f64) -> Option<CompletionOrder> {
    if !spec.per_task.fits_in(&candidate.room) || !allowed(spec, candidate) {
        return None;
    }
    let estimate = estimate(spec, candidate, factor);
    if let Some(left) = candidate.leaves_in
        && (spec.kind == JobKind::Service || estimate.completion() > left)
    {
        return None;
    }
    let left = (candidate.room.cpus - spec.per_task.cpus).max(0.0);
    if spec.kind == JobKind::Gang {
        // All wait for the last image, and run at the slowest machine's pace: a
        // cached image counts before a quicker machine for one of them.
        return Some((
            (estimate.fetch.as_millis() / MIN_TOLERANCE.as_millis()) as u64,
            spec.spot && !candidate.spot,
            estimate.run.as_millis() as u64,
            left.to_bits(),
        ));
    }
    let tolerance = spec.estimate.mul_f64(TOLERANCE).max(MIN_TOLERANCE);
    Some((
        (estimate.completion().as_millis() / tolerance.as_millis()) as u64,
        spec.spot && !candidate.spot,
        estimate.fetch.as_millis() as u64,
        // The bits of numbers from zero on are in the numbers' order.
        left.to_bits(),
    ))
}

/// The slot for one task.
pub fn choose(
    spec: &JobSpec,
    candidates: &[CandidateMachine],
    factor: f64,
    mut admits: impl FnMut(&CandidateMachine) -> bool,
) -> Option<usize> {
    let mut best: Option<(CompletionOrder, usize)> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        if let Some(key) = key(spec, candidate, factor)
            && best.is_none_or(|(least, _)| key < least)
            && admits(candidate)
        {
            best = Some((key, at));
        }
    }
    best.map(|(_, at)| at)
}

/// Puts up to `count` tasks of a job, each where [`choose`] would put it one
/// after the other, with one look at each slot for all of them: a slot that has
/// taken a task is the best for the next one as well, until it is full, since
/// it then has the image and fits tighter. Replicas and gangs without the image are
/// spread first, see [`most_at_once`]. `admits` is asked for each task; a slot that it
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
        .filter_map(|(at, candidate)| Some(Reverse((key(spec, candidate, factor)?, at))))
        .collect();
    let mut chosen = Vec::with_capacity(count);
    let mut warmed = Vec::new();
    while chosen.len() < count {
        let Some(Reverse((_, at))) = order.pop() else {
            break;
        };
        let candidate = &mut candidates[at];
        let most = most_at_once(spec, candidate).min(count - chosen.len());
        let put = put_tasks(spec, candidate, most, &mut admits);
        chosen.extend(std::iter::repeat_n(at, put));
        if put == most {
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

/// Puts up to `most` tasks on a slot; returns how many it has taken.
fn put_tasks(
    spec: &JobSpec,
    candidate: &mut CandidateMachine,
    most: usize,
    admits: &mut impl FnMut(&CandidateMachine) -> bool,
) -> usize {
    let mut put = 0;
    while put < most && spec.per_task.fits_in(&candidate.room) && admits(candidate) {
        candidate.put(spec);
        put += 1;
    }
    put
}

/// Replicas and gangs whose image a machine has not yet go to several machines, one task
/// each: all of these have the image for the next job that needs it, and one that is lost
/// takes fewer tasks of a job along. Measured effect in docs/DESIGN.md, 15.
fn most_at_once(spec: &JobSpec, candidate: &CandidateMachine) -> usize {
    if spec.kind == JobKind::Array || candidate.images.contains(&spec.image) {
        usize::MAX
    } else {
        1
    }
}

/// What one group's slots offer to tasks of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerFit {
    /// Tasks that it can take, up to the number asked for.
    pub tasks: usize,
    /// Sum of their places in the order of completion.
    cost: u64,
    /// CPUs that are free.
    pub free: f64,
}

/// Looks at each slot once for up to `count` tasks of the job.
pub fn compare_owners(
    spec: &JobSpec,
    candidates: &[CandidateMachine],
    factor: f64,
    count: usize,
) -> BTreeMap<usize, OwnerFit> {
    let mut keys: BTreeMap<usize, Vec<(CompletionOrder, usize)>> = BTreeMap::new();
    let mut fits: BTreeMap<usize, OwnerFit> = BTreeMap::new();
    for candidate in candidates {
        if let Some(key) = key(spec, candidate, factor) {
            let tasks = spec.per_task.count_in(&candidate.room) as usize;
            keys.entry(candidate.owner).or_default().push((key, tasks));
            fits.entry(candidate.owner).or_default().free += candidate.room.cpus;
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
            fit.cost += key.0 * taken as u64;
            if fit.tasks == count {
                break;
            }
        }
    }
    fits
}

/// The group for the tasks of one record: the one that takes most of them, since
/// each further owner writes the record as well; of equals the one where they
/// complete first, then the one with most room.
/// `writers`: groups that write the record already, which come first.
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
                .then(a.free.total_cmp(&b.free))
        })
        .map(|(owner, _)| *owner)
}

#[cfg(test)]
pub(crate) mod tests;
