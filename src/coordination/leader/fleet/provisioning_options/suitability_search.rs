//! Finds the pools that suit the tasks of a job best (paper, section 5.2).

use std::time::Duration;

use super::{JobDemand, ProvisionTarget, ProvisioningOptions};
use crate::{
    coordination::{
        leader::pool::{Pool, SuitedTasks},
        policy::suitability,
    },
    storage::{JobSpec, MachineType, ZoneName},
};

/// Lower bound on the rate at which images are assumed to be fetched.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// A machine type in one zone, spot or on-demand, on which tasks of a job may run.
struct PossibleTarget<'a> {
    machine_type: &'a MachineType,
    target: ProvisionTarget,
}

impl<'a> ProvisioningOptions<'a> {
    /// Returns the pools that suit waiting tasks of a job best (paper, section 5.2), with the
    /// number of tasks for each. The tasks of a job that is bound to zones may be divided among
    /// pools in several zones, as far as its zone constraint admits them. Considers only targets
    /// that the cloud has not recently refused if `only_available` is set.
    pub fn suitable_pools(
        &self,
        mut demand: JobDemand,
        tasks: u32,
        only_available: bool,
    ) -> Vec<SuitedTasks> {
        let spec = demand.spec.clone();
        let by_zone = spec.is_zone_bound() || spec.zone.is_some();
        let mut suitable = Vec::new();
        let mut remaining = tasks.max(1);
        while remaining > 0 {
            let targets = self.possible_targets(&demand, only_available);
            let Some(mut pool) = self.best_pool(&spec, remaining, targets, by_zone) else {
                break;
            };
            let tasks = match pool.zone.as_ref().filter(|_| by_zone) {
                Some(zone) => {
                    let tasks = remaining.min(demand.constraint.remaining_tasks(zone));
                    demand.constraint.add_tasks(zone, tasks);
                    tasks
                }
                None => {
                    pool.zone = None;
                    remaining
                }
            };
            remaining -= tasks;
            suitable.push(SuitedTasks { pool, tasks });
        }
        suitable
    }

    /// Returns the targets that may run one more of the job's tasks, ordered by machine type and
    /// then by the number of machines in the zone, fewest first.
    fn possible_targets(
        &self,
        demand: &JobDemand,
        only_available: bool,
    ) -> Vec<PossibleTarget<'a>> {
        let spec = &demand.spec;
        let mut targets = Vec::new();
        let types = self.machine_types().filter(|machine_type| {
            spec.per_task.fits_in(&machine_type.size) && spec.allows_type(&machine_type.name)
        });
        for machine_type in types {
            for zone in self.zones_by_machine_count(machine_type) {
                for spot in [true, false] {
                    let target = ProvisionTarget {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if demand.admits(&target) && (!only_available || self.is_available(&target)) {
                        targets.push(PossibleTarget {
                            machine_type,
                            target,
                        });
                    }
                }
            }
        }
        targets
    }

    /// Returns the zones of a machine type, those with the fewest machines first.
    fn zones_by_machine_count(&self, machine_type: &'a MachineType) -> Vec<&'a ZoneName> {
        let mut zones: Vec<&ZoneName> = machine_type.zones.iter().collect();
        zones.sort_by_key(|zone| self.machine_count(zone));
        zones
    }

    /// Returns the pool of the most suitable of these targets for tasks of the job. The cost of a
    /// task includes the unused part of its machine: a machine that is half empty is paid for in
    /// full. Unless `by_zone` is set, only the first zone of each machine type is considered.
    fn best_pool(
        &self,
        spec: &JobSpec,
        tasks: u32,
        targets: Vec<PossibleTarget<'_>>,
        by_zone: bool,
    ) -> Option<Pool> {
        let mut pools: Vec<Pool> = Vec::new();
        let mut candidates = Vec::new();
        for PossibleTarget {
            machine_type,
            target,
        } in targets
        {
            let ProvisionTarget {
                machine_type: type_name,
                zone,
                spot,
            } = target;
            let is_known = |pool: &Pool| pool.machine_type == type_name && pool.spot == spot;
            if !by_zone && pools.iter().any(is_known) {
                continue;
            }
            pools.push(Pool {
                machine_type: type_name,
                spot,
                zone: Some(zone),
            });
            candidates.push(candidate(spec, tasks, machine_type, spot));
        }
        suitability::best(&candidates, self.suitability_k).map(|index| pools.swap_remove(index))
    }
}

impl JobDemand {
    /// Returns whether one more of the job's tasks may run on a machine of the target.
    fn admits(&self, target: &ProvisionTarget) -> bool {
        (!target.spot || self.spec.spot)
            && (target.spot || !self.spot_only)
            && self.spec.allows_zone(&target.zone)
            && self.constraint.admits(&target.zone)
    }
}

/// Returns the time and the cost per task of running the tasks on new machines of this type.
fn candidate(
    spec: &JobSpec,
    tasks: u32,
    machine_type: &MachineType,
    spot: bool,
) -> suitability::Candidate {
    let tasks_per_machine = spec.per_task.count_in(&machine_type.size).max(1);
    let fetch_seconds = spec.image_gb / machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
    let time = machine_type.boot + Duration::from_secs_f64(fetch_seconds) + spec.estimate;
    let machines_per_task = f64::from(tasks.div_ceil(tasks_per_machine)) / f64::from(tasks);
    suitability::Candidate {
        time,
        cost: machines_per_task * machine_type.hourly_price(spot) * time.as_secs_f64(),
    }
}
