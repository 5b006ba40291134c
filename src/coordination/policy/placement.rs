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

use crate::storage::{ImageName, JobKind, JobSpec, MachineId, Resources, TypeName, ZoneName};

/// A machine that might take a task.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Whose it is: the leader's trial looks at several holders' machines.
    pub group: usize,
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
    /// A marked machine's paid period ends in this time.
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
const LEAST_TOLERANCE: Duration = Duration::from_millis(200);
const TOLERANCE: f64 = 0.1;

pub fn estimate(spec: &JobSpec, slot: &Slot, factor: f64) -> Estimate {
    let fetch = if slot.images.contains(&spec.image) || spec.image_gb <= 0.0 {
        Duration::ZERO
    } else {
        Duration::from_secs_f64(spec.image_gb / slot.fetch_gb_per_s.max(0.01))
    };
    let run = spec.estimate.mul_f64(factor / slot.speed.clamp(0.05, 5.0));
    Estimate { fetch, run }
}

/// Whether the job allows the machine at all, its other tasks aside.
pub fn allowed(spec: &JobSpec, slot: &Slot) -> bool {
    spec.allows_type(&slot.kind) && spec.allows_zone(&slot.zone) && (spec.spot || !slot.spot)
}

impl Slot {
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
type Key = (u64, bool, u64, u64);

/// The slot's place in the order for a task of the job; none if it can't take it.
fn key(spec: &JobSpec, slot: &Slot, factor: f64) -> Option<Key> {
    if !spec.per_task.fits_in(&slot.room) || !allowed(spec, slot) {
        return None;
    }
    let estimate = estimate(spec, slot, factor);
    if let Some(left) = slot.leaves_in
        && (spec.kind == JobKind::Service || estimate.completion() > left)
    {
        return None;
    }
    let left = (slot.room.cpus - spec.per_task.cpus).max(0.0);
    if spec.kind == JobKind::Gang {
        // All wait for the last image, and run at the slowest machine's pace: a
        // cached image counts before a quicker machine for one of them.
        return Some((
            (estimate.fetch.as_millis() / LEAST_TOLERANCE.as_millis()) as u64,
            spec.spot && !slot.spot,
            estimate.run.as_millis() as u64,
            left.to_bits(),
        ));
    }
    let tolerance = spec.estimate.mul_f64(TOLERANCE).max(LEAST_TOLERANCE);
    Some((
        (estimate.completion().as_millis() / tolerance.as_millis()) as u64,
        spec.spot && !slot.spot,
        estimate.fetch.as_millis() as u64,
        // The bits of numbers from zero on are in the numbers' order.
        left.to_bits(),
    ))
}

/// The slot for one task.
pub fn choose(
    spec: &JobSpec,
    slots: &[Slot],
    factor: f64,
    mut admits: impl FnMut(&Slot) -> bool,
) -> Option<usize> {
    let mut best: Option<(Key, usize)> = None;
    for (at, slot) in slots.iter().enumerate() {
        if let Some(key) = key(spec, slot, factor)
            && best.is_none_or(|(least, _)| key < least)
            && admits(slot)
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
    slots: &mut [Slot],
    factor: f64,
    count: usize,
    mut admits: impl FnMut(&Slot) -> bool,
) -> Vec<usize> {
    let mut order: BinaryHeap<Reverse<(Key, usize)>> = slots
        .iter()
        .enumerate()
        .filter_map(|(at, slot)| Some(Reverse((key(spec, slot, factor)?, at))))
        .collect();
    let mut chosen = Vec::with_capacity(count);
    let mut warmed = Vec::new();
    while chosen.len() < count {
        let Some(Reverse((_, at))) = order.pop() else {
            break;
        };
        let slot = &mut slots[at];
        let most = most_at_once(spec, slot).min(count - chosen.len());
        let put = put_tasks(spec, slot, most, &mut admits);
        chosen.extend(std::iter::repeat_n(at, put));
        if put == most {
            warmed.push(at);
        }
    }
    // Fewer machines than tasks: they take more than one after all.
    for at in warmed {
        let left = count - chosen.len();
        let put = put_tasks(spec, &mut slots[at], left, &mut admits);
        chosen.extend(std::iter::repeat_n(at, put));
    }
    chosen
}

/// Puts up to `most` tasks on a slot; returns how many it has taken.
fn put_tasks(
    spec: &JobSpec,
    slot: &mut Slot,
    most: usize,
    admits: &mut impl FnMut(&Slot) -> bool,
) -> usize {
    let mut put = 0;
    while put < most && spec.per_task.fits_in(&slot.room) && admits(slot) {
        slot.put(spec);
        put += 1;
    }
    put
}

/// Replicas and gangs whose image a machine has not yet go to several machines, one task
/// each: all of these have the image for the next job that needs it, and one that is lost
/// takes fewer tasks of a job along. Measured effect in docs/DESIGN.md, 15.
fn most_at_once(spec: &JobSpec, slot: &Slot) -> usize {
    if spec.kind == JobKind::Array || slot.images.contains(&spec.image) {
        usize::MAX
    } else {
        1
    }
}

/// What one group's slots offer to tasks of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupFit {
    /// Tasks that it can take, up to the number asked for.
    pub tasks: usize,
    /// Sum of their places in the order of completion.
    cost: u64,
    /// CPUs that are free.
    pub free: f64,
}

/// Looks at each slot once for up to `count` tasks of the job.
pub fn compare_groups(
    spec: &JobSpec,
    slots: &[Slot],
    factor: f64,
    count: usize,
) -> BTreeMap<usize, GroupFit> {
    let mut keys: BTreeMap<usize, Vec<(Key, usize)>> = BTreeMap::new();
    let mut fits: BTreeMap<usize, GroupFit> = BTreeMap::new();
    for slot in slots {
        if let Some(key) = key(spec, slot, factor) {
            let tasks = spec.per_task.count_in(&slot.room) as usize;
            keys.entry(slot.group).or_default().push((key, tasks));
            fits.entry(slot.group).or_default().free += slot.room.cpus;
        }
    }
    for (group, mut keys) in keys {
        keys.sort_unstable();
        let Some(fit) = fits.get_mut(&group) else {
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
/// each further holder writes the record as well; of equals the one where they
/// complete first, then the one with most room.
/// `writers`: groups that write the record already, which come first.
pub fn best_group(fits: &BTreeMap<usize, GroupFit>, writers: &[usize]) -> Option<usize> {
    fits.iter()
        .filter(|(_, fit)| fit.tasks > 0)
        .max_by(|(i, a), (j, b)| {
            let cost = |fit: &GroupFit| fit.cost / fit.tasks as u64;
            writers
                .contains(i)
                .cmp(&writers.contains(j))
                .then(a.tasks.cmp(&b.tasks))
                .then(cost(b).cmp(&cost(a)))
                .then(a.free.total_cmp(&b.free))
        })
        .map(|(group, _)| *group)
}

#[cfg(test)]
pub(crate) mod tests;
