//! Placing by least estimated completion (section 4.3, equation 2). Machines
//! run tasks side by side, so that the queue ahead of a task is what keeps it
//! from having room at all; what is left of equation 2 is the image fetch and
//! the run time on that machine.

use std::time::Duration;

use crate::storage::*;

/// A machine that might take a task.
#[derive(Clone, Debug)]
pub struct Slot {
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
    pub images: Vec<ImageName>,
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

/// The slot for a task: least estimated completion; of equals spot machines
/// for tasks that may use them (ordinary ones are kept for those that may
/// not), then the image, then the tightest fit, which leaves other machines empty.
pub fn choose(
    spec: &JobSpec,
    slots: &[Slot],
    factor: f64,
    mut admits: impl FnMut(&Slot) -> bool,
) -> Option<usize> {
    let mut best: Option<(usize, (u128, bool, u128, f64))> = None;
    let tolerance = spec.estimate.mul_f64(TOLERANCE).max(LEAST_TOLERANCE);
    for (i, slot) in slots.iter().enumerate() {
        if !spec.per_task.fits_in(&slot.room) || !allowed(spec, slot) {
            continue;
        }
        let estimate = estimate(spec, slot, factor);
        if let Some(left) = slot.leaves_in
            && (spec.kind == JobKind::Service || estimate.completion() > left)
        {
            continue;
        }
        if !admits(slot) {
            continue;
        }
        let key = (
            estimate.completion().as_millis() / tolerance.as_millis(),
            spec.spot && !slot.spot,
            estimate.fetch.as_millis(),
            slot.room.cpus - spec.per_task.cpus,
        );
        if best.as_ref().is_none_or(|(_, b)| {
            key.0
                .cmp(&b.0)
                .then(key.1.cmp(&b.1))
                .then(key.2.cmp(&b.2))
                .then(key.3.total_cmp(&b.3))
                .is_lt()
        }) {
            best = Some((i, key));
        }
    }
    best.map(|(i, _)| i)
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn spec(cpus: f64, spot: bool) -> JobSpec {
        JobSpec {
            class: ClassName::new("class"),
            team: TeamName::new("team"),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: 4,
            per_task: Resources {
                cpus,
                gpus: 0.0,
                memory: 1.0,
            },
            image: ImageName::new("img"),
            image_gb: 2.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot,
            estimate: Duration::from_secs(10),
            checkpoint: Duration::ZERO,
            save: Duration::ZERO,
            deadline: None,
            accepted_ms: 0,
        }
    }

    pub fn slot(name: &str, cpus: f64, spot: bool) -> Slot {
        let size = Resources {
            cpus,
            gpus: 0.0,
            memory: 64.0,
        };
        Slot {
            machine: MachineId::new(name),
            kind: TypeName::new("type"),
            zone: ZoneName::new("zone"),
            spot,
            room: size,
            size,
            fetch_gb_per_s: 0.5,
            speed: 1.0,
            images: Vec::new(),
            leaves_in: None,
        }
    }

    #[test]
    fn a_cached_image_beats_a_tight_fit() {
        let mut warm = slot("warm", 32.0, false);
        warm.images.push(ImageName::new("img"));
        let slots = [slot("cold", 4.0, false), warm];
        // 2 GB at 0.5 GB/s are four seconds.
        assert_eq!(
            estimate(&spec(4.0, false), &slots[0], 1.0).fetch,
            Duration::from_secs(4)
        );
        assert_eq!(choose(&spec(4.0, false), &slots, 1.0, |_| true), Some(1));
    }

    #[test]
    fn of_equals_spot_then_the_tightest() {
        let slots = [
            slot("big", 32.0, false),
            slot("small", 8.0, false),
            slot("spot", 16.0, true),
        ];
        assert_eq!(choose(&spec(4.0, true), &slots, 1.0, |_| true), Some(2));
        assert_eq!(choose(&spec(4.0, false), &slots, 1.0, |_| true), Some(1));
        assert_eq!(choose(&spec(40.0, false), &slots, 1.0, |_| true), None);
    }

    #[test]
    fn a_marked_machine_takes_only_what_ends_in_time() {
        let mut marked = slot("marked", 8.0, false);
        marked.leaves_in = Some(Duration::from_secs(13));
        // Fetch 4 s and run 10 s.
        assert_eq!(
            choose(&spec(4.0, false), &[marked.clone()], 1.0, |_| true),
            None
        );
        marked.leaves_in = Some(Duration::from_secs(14));
        assert_eq!(choose(&spec(4.0, false), &[marked], 1.0, |_| true), Some(0));
    }
}
