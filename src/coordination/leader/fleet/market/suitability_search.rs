//! Which pools suit the tasks of a job best (paper, section 5.2).

use std::time::Duration;

use super::{Demand, Market, ProvisionTarget};
use crate::{
    coordination::{
        leader::pool::{Pool, Suited},
        policy::suitability,
    },
    storage::{JobSpec, MachineType, ZoneName},
};

/// The least rate at which images are taken to be fetched.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// A machine type in one zone, spot or ordinary, on which tasks of a job may run.
struct PossibleTarget<'a> {
    kind: &'a MachineType,
    target: ProvisionTarget,
}

impl<'a> Market<'a> {
    /// The pools that suit waiting tasks of a job best (paper, section 5.2). Those of a
    /// job that is bound to zones go to several, as far as its constraint admits them.
    pub fn suited(&self, mut demand: Demand, tasks: u32, only_available: bool) -> Vec<Suited> {
        let spec = demand.spec.clone();
        let by_zone = spec.is_zone_bound() || spec.zone.is_some();
        let mut suited = Vec::new();
        let mut left = tasks.max(1);
        while left > 0 {
            let targets = self.possible_targets(&demand, only_available);
            let Some(mut pool) = self.best_pool(&spec, left, targets, by_zone) else {
                break;
            };
            let tasks = match pool.zone.as_ref().filter(|_| by_zone) {
                Some(zone) => {
                    let tasks = left.min(demand.constraint.room(zone));
                    demand.constraint.add_tasks(zone, tasks);
                    tasks
                }
                None => {
                    pool.zone = None;
                    left
                }
            };
            left -= tasks;
            suited.push(Suited { pool, tasks });
        }
        suited
    }

    /// Where machines for one more of the job's tasks may be, the zones with fewest
    /// machines first.
    fn possible_targets(&self, demand: &Demand, only_available: bool) -> Vec<PossibleTarget<'a>> {
        let spec = &demand.spec;
        let mut targets = Vec::new();
        let types = self
            .machine_types()
            .filter(|kind| spec.per_task.fits_in(&kind.size) && spec.allows_type(&kind.name));
        for kind in types {
            for zone in self.zones_by_size(kind) {
                for spot in [true, false] {
                    let target = ProvisionTarget {
                        kind: kind.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if demand.admits(&target) && (!only_available || self.is_available(&target)) {
                        targets.push(PossibleTarget { kind, target });
                    }
                }
            }
        }
        targets
    }

    /// The zones of a machine type, those with fewest machines first.
    fn zones_by_size(&self, kind: &'a MachineType) -> Vec<&'a ZoneName> {
        let mut zones: Vec<&ZoneName> = kind.zones.iter().collect();
        zones.sort_by_key(|zone| self.machines_in(zone));
        zones
    }

    /// The most suitable of these targets for tasks of the job. Cost is what a task
    /// would have to pay for: a machine that is half empty is paid for in full.
    fn best_pool(
        &self,
        spec: &JobSpec,
        tasks: u32,
        targets: Vec<PossibleTarget<'_>>,
        by_zone: bool,
    ) -> Option<Pool> {
        let mut pools: Vec<Pool> = Vec::new();
        let mut candidates = Vec::new();
        for PossibleTarget { kind, target } in targets {
            let ProvisionTarget {
                kind: type_name,
                zone,
                spot,
            } = target;
            let is_known = |pool: &Pool| pool.kind == type_name && pool.spot == spot;
            if !by_zone && pools.iter().any(is_known) {
                continue;
            }
            pools.push(Pool {
                kind: type_name,
                spot,
                zone: Some(zone),
            });
            candidates.push(candidate(spec, tasks, kind, spot));
        }
        suitability::best(&candidates, self.suitability_k).map(|index| pools.swap_remove(index))
    }
}

impl Demand {
    /// Whether one more of the job's tasks may run on such a machine.
    fn admits(&self, target: &ProvisionTarget) -> bool {
        (!target.spot || self.spec.spot)
            && (target.spot || !self.spot_only)
            && self.spec.allows_zone(&target.zone)
            && self.constraint.admits(&target.zone)
    }
}

/// Time and cost of the tasks on new machines of this type.
fn candidate(spec: &JobSpec, tasks: u32, kind: &MachineType, spot: bool) -> suitability::Candidate {
    let tasks_per_machine = spec.per_task.count_in(&kind.size).max(1);
    let fetch_seconds = spec.image_gb / kind.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
    let time = kind.boot + Duration::from_secs_f64(fetch_seconds) + spec.estimate;
    let machines_per_task = f64::from(tasks.div_ceil(tasks_per_machine)) / f64::from(tasks);
    suitability::Candidate {
        time,
        cost: machines_per_task * kind.hourly_price(spot) * time.as_secs_f64(),
    }
}
