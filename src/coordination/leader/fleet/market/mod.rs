//! What can be provisioned, where, and how much of it is needed.
//!
//! A view of the replica and of what the cloud has lately refused, made anew for each
//! evaluation of the autoscaler. It changes nothing.

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
    demand::Demand,
};
use crate::{
    coordination::{Tuning, leader::pool::Pool},
    storage::{MachineType, StateCache, ZoneName},
};

/// What scaling out looks at.
#[derive(Debug)]
pub struct Market<'a> {
    /// The replica, with the catalog and the machines.
    pub cache: &'a StateCache,
    refused: &'a BTreeMap<ProvisionTarget, CapacityRefusal>,
    now: Instant,
    /// The weight of cost against time (paper, section 5.2).
    suitability_k: f64,
    /// The time of day, by which jobs age.
    wall: SystemTime,
    /// The least time that a machine is paid for.
    first_paid_period: Duration,
    /// Machines in each zone, counted once: a probe at all of them for each waiting job
    /// took most of a pass in fleets of thousands.
    machines_in: BTreeMap<&'a ZoneName, usize>,
}

/// Machines of a pool to be provisioned in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ZoneShare {
    /// The zone.
    pub(super) zone: ZoneName,
    /// How many machines.
    pub(super) count: u32,
}

impl<'a> Market<'a> {
    /// The market as it is now.
    pub fn new(
        cache: &'a StateCache,
        refused: &'a BTreeMap<ProvisionTarget, CapacityRefusal>,
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
            suitability_k: tuning.suitability_k,
            wall,
            first_paid_period: tuning.paid_periods.first,
            machines_in,
        }
    }

    /// When the market was looked at.
    pub(super) fn now(&self) -> Instant {
        self.now
    }

    /// The time of day then.
    pub(super) fn wall(&self) -> SystemTime {
        self.wall
    }

    fn machines_in(&self, zone: &ZoneName) -> usize {
        self.machines_in.get(zone).copied().unwrap_or(0)
    }

    /// All machine types of the catalog.
    fn machine_types(&self) -> impl Iterator<Item = &'a MachineType> {
        self.cache
            .catalog
            .iter()
            .flat_map(|entry| &entry.value.types)
    }

    /// Whether the cloud has not refused it lately.
    fn is_available(&self, target: &ProvisionTarget) -> bool {
        self.refused
            .get(target)
            .is_none_or(|refusal| refusal.is_over(self.now))
    }

    /// Spreads a provision request over the zones that have not refused, so that they come
    /// to have equally many machines.
    pub(super) fn split(&self, pool: &Pool, count: u32) -> Vec<ZoneShare> {
        if let Some(zone) = &pool.zone {
            return vec![ZoneShare {
                zone: zone.clone(),
                count,
            }];
        }
        let Some(kind) = self.cache.machine_type(&pool.kind) else {
            return Vec::new();
        };
        let mut shares: Vec<ZoneShare> = kind
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
                .min_by_key(|share| self.machines_in(&share.zone) as u32 + share.count);
            if let Some(smallest) = smallest {
                smallest.count += 1;
            }
        }
        shares.retain(|share| share.count > 0);
        shares
    }
}
