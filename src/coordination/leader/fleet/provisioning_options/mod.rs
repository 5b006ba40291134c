//! Determines which machines can be provisioned, in which zones, and how many are needed.
//!
//! [`ProvisioningOptions`] is a read-only view of the state cache and of the cloud's recent
//! refusals, created anew for each evaluation of the autoscaler.

mod capacity_refusal;
mod demand;
mod machines;
mod suitability_search;

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

pub(super) use self::machines::{
    UsedMachine, booting_candidates, requested_candidates, used_machines,
};
pub use self::{
    capacity_refusal::{CapacityRefusal, ProvisionTarget},
    demand::JobDemand,
};
use crate::{
    coordination::{Tuning, leader::pool::Pool},
    storage::{MachineType, StateCache, ZoneName},
};

/// The inputs to decisions about scaling out, at one point in time.
#[derive(Debug)]
pub struct ProvisioningOptions<'a> {
    /// The state cache, with the catalog and the machines.
    pub cache: &'a StateCache,
    refused_targets: &'a BTreeMap<ProvisionTarget, CapacityRefusal>,
    now: Instant,
    /// The weight of cost against time (paper, section 5.2).
    suitability_k: f64,
    /// The wall-clock time, from which the age of jobs is calculated.
    wall_time: SystemTime,
    /// The minimum period for which a machine is paid.
    first_paid_period: Duration,
    /// Number of machines in each zone, counted once: counting them for each waiting job took
    /// most of a pass in fleets of thousands of machines.
    machines_by_zone: BTreeMap<&'a ZoneName, usize>,
}

/// Machines of a pool to be provisioned in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ZoneShare {
    /// The zone.
    pub(super) zone: ZoneName,
    /// How many machines.
    pub(super) count: u32,
}

impl<'a> ProvisioningOptions<'a> {
    /// Creates a view of the state at `now`, with the same moment as wall-clock time in
    /// `wall_time`.
    pub fn new(
        cache: &'a StateCache,
        refused_targets: &'a BTreeMap<ProvisionTarget, CapacityRefusal>,
        tuning: &Tuning,
        now: Instant,
        wall_time: SystemTime,
    ) -> Self {
        let mut machines_by_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for machine in cache.machines.values() {
            *machines_by_zone.entry(&machine.zone).or_default() += 1;
        }
        Self {
            cache,
            refused_targets,
            now,
            suitability_k: tuning.suitability_k,
            wall_time,
            first_paid_period: tuning.paid_periods.first,
            machines_by_zone,
        }
    }

    /// Returns the time at which the view was created.
    pub(super) fn now(&self) -> Instant {
        self.now
    }

    /// Returns the wall-clock time at which the view was created.
    pub(super) fn wall_time(&self) -> SystemTime {
        self.wall_time
    }

    fn machine_count(&self, zone: &ZoneName) -> usize {
        self.machines_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Returns all machine types of the catalog.
    fn machine_types(&self) -> impl Iterator<Item = &'a MachineType> {
        self.cache
            .catalog
            .iter()
            .flat_map(|entry| &entry.value.types)
    }

    /// Returns whether the target may be requested, as the cloud has not recently refused it.
    fn is_available(&self, target: &ProvisionTarget) -> bool {
        self.refused_targets
            .get(target)
            .is_none_or(|refusal| refusal.has_expired(self.now))
    }

    /// Divides machines to be provisioned among zones so that these end up with numbers of
    /// machines as equal as possible. Zones in which the cloud has recently refused the pool's
    /// machines get none. All machines go to the pool's own zone if it has one.
    pub(super) fn split_by_zone(&self, pool: &Pool, count: u32) -> Vec<ZoneShare> {
        if let Some(zone) = &pool.zone {
            return vec![ZoneShare {
                zone: zone.clone(),
                count,
            }];
        }
        let Some(machine_type) = self.cache.machine_type(&pool.machine_type) else {
            return Vec::new();
        };
        let mut shares: Vec<ZoneShare> = machine_type
            .zones
            .iter()
            .filter(|zone| self.is_available(&ProvisionTarget::of_pool(pool, zone)))
            .map(|zone| ZoneShare {
                zone: zone.clone(),
                count: 0,
            })
            .collect();
        for _ in 0..count {
            let smallest = shares
                .iter_mut()
                .min_by_key(|share| self.machine_count(&share.zone) as u32 + share.count);
            if let Some(smallest) = smallest {
                smallest.count += 1;
            }
        }
        shares.retain(|share| share.count > 0);
        shares
    }
}
