//! What can be provisioned, where, and how much of it is needed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

use crate::{
    coordination::{
        Tuning,
        leader::{
            pool::{Pool, Suited},
            routing::Unplaced,
        },
        policy::{placement, scale_in, suitability, zone_constraint::ZoneConstraint},
        zone_usage,
    },
    storage::{JobKind, JobSpec, MachineId, MachineType, Priority, StateCache, TypeName, ZoneName},
};

/// Where and what kind of machine.
pub(super) type Place = (TypeName, ZoneName, bool);

/// Capacity that was refused is not asked for again for a while, which doubles
/// with each refusal in a row.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRefusal {
    until: Instant,
    streak: u32,
}

impl CapacityRefusal {
    pub(super) fn after(known: Option<&CapacityRefusal>, now: Instant) -> Self {
        let streak = known.map_or(0, |known| known.streak + 1).min(3);
        let pause = REFUSAL_PAUSE * (1 << streak);
        CapacityRefusal {
            until: now + pause.min(MAX_REFUSAL_PAUSE),
            streak,
        }
    }
}

pub(super) const REFUSAL_PAUSE: Duration = Duration::from_secs(10);

pub(super) const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(40);

/// A dear machine of which the waiting tasks fill less than this is not provisioned,
/// unless they are overdue or cannot wait. Dear is one that costs more than
/// [`CHEAP`] times the cheapest machine on which they could run.
pub(super) const MIN_FILL: f64 = 0.6;
const DEAR_PRICE_FACTOR: f64 = 1.6;

/// However short a task, it takes a part of its machine's paid time: start, heartbeat and
/// the record of its end.
const MIN_PAID_FRACTION: f64 = 0.05;

/// Idle work of which nothing runs after this time gets ordinary machines as well, since
/// there may never be a spot machine.
const SPOT_ONLY_PERIOD: Duration = Duration::from_secs(120);

/// What a job with waiting tasks needs of the market.
pub struct Demand {
    spec: Arc<JobSpec>,
    constraint: ZoneConstraint,
    /// No ordinary machines: idle work is provisioned the cheap ones that it may use.
    spot_only: bool,
}

impl Demand {
    /// A job of which nothing runs yet, wherever it may run.
    pub fn of_spec(spec: &Arc<JobSpec>) -> Self {
        Self {
            spec: spec.clone(),
            constraint: ZoneConstraint::of_job(spec),
            spot_only: false,
        }
    }
}

/// What scaling out looks at.
pub struct Market<'a> {
    pub cache: &'a StateCache,
    pub refused: &'a BTreeMap<Place, CapacityRefusal>,
    pub now: Instant,
    pub k: f64,
    /// The time of day, by which jobs age.
    pub wall: SystemTime,
    /// The least time that a machine is paid for.
    pub paid: Duration,
    /// Machines in each zone, counted once: a probe at all of them for each waiting job
    /// took most of a pass in fleets of thousands.
    machines_in: BTreeMap<&'a ZoneName, usize>,
}

impl<'a> Market<'a> {
    pub fn new(
        cache: &'a StateCache,
        refused: &'a BTreeMap<Place, CapacityRefusal>,
        tuning: &Tuning,
        now: Instant,
        wall: SystemTime,
    ) -> Self {
        let mut machines_in: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for machine in cache.machines.values() {
            *machines_in.entry(&machine.zone).or_default() += 1;
        }
        Self {
            cache,
            refused,
            now,
            k: tuning.suitability_k,
            wall,
            paid: tuning.paid.first,
            machines_in,
        }
    }

    fn machines_in(&self, zone: &ZoneName) -> usize {
        self.machines_in.get(zone).copied().unwrap_or(0)
    }
}

impl Market<'_> {
    fn available(&self, place: &Place) -> bool {
        self.refused
            .get(place)
            .is_none_or(|refusal| refusal.until <= self.now)
    }

    /// The pools that suit waiting tasks of a job best (paper, section 5.2). Those of a
    /// job that is bound to zones go to several, as far as its constraint admits them.
    pub fn suited(&self, mut demand: Demand, tasks: u32, only_available: bool) -> Vec<Suited> {
        let spec = demand.spec.clone();
        let by_zone = spec.is_zone_bound() || spec.zone.is_some();
        let mut suited = Vec::new();
        let mut left = tasks.max(1);
        while left > 0 {
            let places = self.places(&demand, only_available);
            let Some(mut pool) = self.best_place(&spec, left, places, by_zone) else {
                break;
            };
            let tasks = match pool.zone.as_ref().filter(|_| by_zone) {
                Some(zone) => left.min(demand.constraint.room(zone)),
                None => left,
            };
            match pool.zone.as_ref().filter(|_| by_zone) {
                Some(zone) => demand.constraint.add_tasks(zone, tasks),
                None => pool.zone = None,
            }
            left -= tasks;
            suited.push(Suited { pool, tasks });
        }
        suited
    }

    /// Where machines for one more of the job's tasks may be, the zones with fewest
    /// machines first.
    fn places(&self, demand: &Demand, only_available: bool) -> Vec<(&MachineType, Place)> {
        let Demand {
            spec, constraint, ..
        } = demand;
        let types = self
            .cache
            .catalog
            .iter()
            .flat_map(|entry| &entry.value.types);
        let types =
            types.filter(|kind| spec.per_task.fits_in(&kind.size) && spec.allows_type(&kind.name));
        let mut places = Vec::new();
        for kind in types {
            for zone in self.zones_by_size(kind) {
                for spot in [true, false] {
                    let place = (kind.name.clone(), zone.clone(), spot);
                    if (!spot || spec.spot)
                        && (spot || !demand.spot_only)
                        && spec.allows_zone(zone)
                        && constraint.admits(zone)
                        && (!only_available || self.available(&place))
                    {
                        places.push((kind, place));
                    }
                }
            }
        }
        places
    }

    fn zones_by_size<'k>(&self, kind: &'k MachineType) -> Vec<&'k ZoneName> {
        let mut zones: Vec<&ZoneName> = kind.zones.iter().collect();
        zones.sort_by_key(|zone| self.machines_in(zone));
        zones
    }

    /// The most suitable of these places for tasks of the job. Cost is what a task
    /// would have to pay for: a machine that is half empty is paid for in full.
    fn best_place(
        &self,
        spec: &JobSpec,
        tasks: u32,
        places: Vec<(&MachineType, Place)>,
        by_zone: bool,
    ) -> Option<Pool> {
        let mut pools: Vec<Pool> = Vec::new();
        let mut candidates = Vec::new();
        for (kind, (name, zone, spot)) in places {
            let known = |pool: &Pool| pool.kind == name && pool.spot == spot;
            if !by_zone && pools.iter().any(known) {
                continue;
            }
            let per = spec.per_task.count_in(&kind.size).max(1);
            let fetch = spec.image_gb / kind.fetch_gb_per_s.max(0.01);
            let time = kind.boot + Duration::from_secs_f64(fetch) + spec.estimate;
            let machines = f64::from(tasks.div_ceil(per)) / f64::from(tasks);
            pools.push(Pool {
                kind: name,
                spot,
                zone: Some(zone),
            });
            candidates.push(suitability::Candidate {
                time,
                cost: machines * kind.rate(spot) * time.as_secs_f64(),
            });
        }
        suitability::best(&candidates, self.k).map(|at| pools.swap_remove(at))
    }

    /// What a job with waiting tasks needs.
    fn demand(&self, waiting: &Unplaced) -> Option<Demand> {
        let job = self.cache.jobs.get(&waiting.job)?;
        let spec = job.spec()?;
        let constraint = zone_usage::of_job(self.cache, job);
        let is_served = job.present() > 0 || spec.age(self.wall) < SPOT_ONLY_PERIOD;
        let spot_only = spec.is_idle_work() && spec.spot && is_served;
        if spec.assigned_zone.is_none() || job.present() > 0 {
            return Some(Demand {
                spec: spec.clone(),
                constraint,
                spot_only,
            });
        }
        // Nothing of it is there yet: it moves to where machines are to be had, since
        // those of its zone may never be enough.
        let anywhere = JobSpec {
            assigned_zone: None,
            ..(**spec).clone()
        };
        Some(Demand {
            constraint: ZoneConstraint::of_job(&anywhere),
            spec: Arc::new(anywhere),
            spot_only,
        })
    }

    /// The pools for those of a job's waiting tasks that the available places take.
    pub fn suited_waiting(&self, waiting: &Unplaced) -> Vec<Suited> {
        let Some(demand) = self.demand(waiting) else {
            return Vec::new();
        };
        self.suited(demand, waiting.tasks, true)
    }

    /// The price of the cheapest machine that the job may run on, to be had or not.
    fn least_rate(&self, spec: &JobSpec) -> f64 {
        let types = self
            .cache
            .catalog
            .iter()
            .flat_map(|entry| &entry.value.types);
        types
            .filter(|kind| spec.allows_type(&kind.name) && spec.per_task.fits_in(&kind.size))
            .map(|kind| {
                if spec.spot {
                    kind.price.min(kind.spot_price)
                } else {
                    kind.price
                }
            })
            .fold(f64::INFINITY, f64::min)
    }

    /// Machines of each pool that the tasks would fill beyond those booting.
    pub fn need(
        &self,
        unplaced: &[Unplaced],
        booting: &mut [placement::CandidateMachine],
    ) -> BTreeMap<Pool, f64> {
        let mut need: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut pressing: BTreeSet<Pool> = BTreeSet::new();
        for waiting in unplaced {
            let Some(mut demand) = self.demand(waiting) else {
                continue;
            };
            let spec = &*demand.spec.clone();
            let left = fill_booting(spec, waiting.tasks, booting, &mut demand.constraint);
            if left == 0 {
                continue;
            }
            for Suited { pool, tasks } in self.suited(demand, left, true) {
                let Some(kind) = self.cache.machine_type(&pool.kind) else {
                    continue;
                };
                let per = spec.per_task.count_in(&kind.size).max(1);
                if self.is_pressing(waiting, spec, kind.rate(pool.spot)) {
                    pressing.insert(pool.clone());
                }
                let machines = f64::from(tasks) / f64::from(per);
                *need.entry(pool).or_default() += machines * self.part_of_period(spec);
            }
        }
        need.retain(|pool, machines| *machines >= MIN_FILL || pressing.contains(pool));
        need
    }

    /// The part of a machine's least paid period for which a task of the job takes its
    /// room. Work of the lowest priority is in no hurry: its short tasks follow one
    /// another on few machines. Provisioned for as if all were to run at once, an array of
    /// thousands of tasks of a few seconds brings a fleet that is idle right after
    /// (exception to section 5.4, see docs/DESIGN.md).
    fn part_of_period(&self, spec: &JobSpec) -> f64 {
        if !spec.is_idle_work() {
            return 1.0;
        }
        let part = spec.estimate.as_secs_f64() / self.paid.as_secs_f64().max(1.0);
        part.clamp(MIN_PAID_FRACTION, 1.0)
    }

    /// Whether tasks get a machine that they do not fill.
    fn is_pressing(&self, waiting: &Unplaced, spec: &JobSpec, rate: f64) -> bool {
        rate <= self.least_rate(spec) * DEAR_PRICE_FACTOR
            || waiting.overdue
            || spec.kind == JobKind::Service
            || spec.priority == Priority::Production
    }

    /// Spreads a provision request over the zones that have not refused, so that they come
    /// to have equally many machines.
    pub fn split(&self, pool: &Pool, count: u32) -> Vec<(ZoneName, u32)> {
        if let Some(zone) = &pool.zone {
            return vec![(zone.clone(), count)];
        }
        let Some(kind) = self.cache.machine_type(&pool.kind) else {
            return Vec::new();
        };
        let mut zones: Vec<(u32, &ZoneName, u32)> = kind
            .zones
            .iter()
            .filter(|zone| self.available(&(pool.kind.clone(), (*zone).clone(), pool.spot)))
            .map(|zone| (self.machines_in(zone) as u32, zone, 0))
            .collect();
        for _ in 0..count {
            if let Some(least) = zones.iter_mut().min_by_key(|zone| zone.0) {
                least.0 += 1;
                least.2 += 1;
            }
        }
        zones
            .into_iter()
            .filter(|(_, _, count)| *count > 0)
            .map(|(_, zone, count)| (zone.clone(), count))
            .collect()
    }
}

/// Puts waiting tasks on booting machines; returns how many have found no room.
fn fill_booting(
    spec: &JobSpec,
    tasks: u32,
    booting: &mut [placement::CandidateMachine],
    constraint: &mut ZoneConstraint,
) -> u32 {
    let mut left = tasks;
    for candidate in booting {
        if left == 0 {
            break;
        }
        if placement::allowed(spec, candidate) {
            let fit = spec.per_task.count_in(&candidate.room).min(left);
            let fit = fit.min(constraint.room(&candidate.zone));
            if fit > 0 {
                candidate.room -= spec.per_task.times(f64::from(fit));
                constraint.add_tasks(&candidate.zone, fit);
                left -= fit;
            }
        }
    }
    left
}

/// Boots usually take up to one and a half times what the catalog says.
const MAX_BOOT_FACTOR: f64 = 1.6;

pub(super) fn empty_candidate(
    kind: &MachineType,
    zone: &ZoneName,
    spot: bool,
) -> placement::CandidateMachine {
    placement::CandidateMachine {
        owner: 0,
        machine: MachineId::new(""),
        kind: kind.name.clone(),
        zone: zone.clone(),
        spot,
        room: kind.size,
        size: kind.size,
        fetch_gb_per_s: kind.fetch_gb_per_s,
        speed: 1.0,
        images: Arc::default(),
        leaves_in: None,
    }
}

/// Provisioned machines whose agents have not been heard of yet. One that takes far
/// longer than usual is no longer counted on: a few take several times as long,
/// or never come up, and what waits for them would wait as long.
pub(super) fn booting_candidates(
    cache: &StateCache,
    now_ms: u64,
    is_up: impl Fn(&MachineId) -> bool,
) -> Vec<placement::CandidateMachine> {
    cache
        .machines
        .iter()
        .filter(|(id, _)| !is_up(id))
        .filter_map(|(_, record)| {
            let kind = cache.machine_type(&record.kind)?;
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            (age < kind.boot.mul_f64(MAX_BOOT_FACTOR))
                .then(|| empty_candidate(kind, &record.zone, record.spot))
        })
        .collect()
}

/// Machines that are up, with their utilisation, and whether a service is on them.
pub(super) fn used_machines(
    cache: &StateCache,
    period: scale_in::PaidPeriods,
    now_ms: u64,
    is_up: impl Fn(&MachineId) -> bool,
) -> Vec<(scale_in::MachineUtilisation<MachineId>, bool)> {
    let kinds: Vec<&MachineType> = cache
        .catalog
        .iter()
        .flat_map(|entry| entry.value.types.iter())
        .collect();
    cache
        .machines
        .iter()
        .filter(|(id, _)| is_up(id))
        .filter_map(|(id, record)| {
            let at = kinds.iter().position(|kind| kind.name == record.kind)?;
            let size = kinds[at].size;
            let load = cache.on_machine.get(id);
            let age = Duration::from_millis(now_ms.saturating_sub(record.provisioned_ms));
            let used = scale_in::MachineUtilisation {
                id: id.clone(),
                kind: at,
                utilisation: load.map_or(0.0, |load| load.taken.cpus) / size.cpus.max(0.001),
                power: size.cpus,
                shard: cache.shard_of(id).map_or(0, |(shard, _)| shard.0),
                paid_left: period.left(age),
            };
            Some((used, load.is_some_and(|load| load.service)))
        })
        .collect()
}
