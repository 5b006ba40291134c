//! Capacity that the cloud has refused, and when it may be requested again.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    coordination::leader::pool::Pool,
    storage::{TypeName, ZoneName, records::ProvisionRecord},
};

/// Backoff after the first refusal; doubled for each further refusal in a row.
const INITIAL_REFUSAL_BACKOFF: Duration = Duration::from_secs(10);
/// Upper bound on the backoff.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(40);
/// Number of refusals in a row after which the backoff is no longer doubled.
const MAX_REFUSAL_STREAK: u32 = 3;

/// A machine type, spot or on-demand, in one zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProvisionTarget {
    /// The cloud's machine type.
    pub machine_type: TypeName,
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is a spot machine.
    pub spot: bool,
}

impl ProvisionTarget {
    /// Returns the target for a pool's machines in this zone.
    pub(super) fn of_pool(pool: &Pool, zone: &ZoneName) -> Self {
        Self {
            machine_type: pool.machine_type.clone(),
            zone: zone.clone(),
            spot: pool.spot,
        }
    }
}

impl From<&ProvisionRecord> for ProvisionTarget {
    fn from(record: &ProvisionRecord) -> Self {
        Self {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        }
    }
}

/// A refusal of capacity by the cloud. The capacity is not requested again until the backoff,
/// which doubles with each refusal in a row, has expired.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRefusal {
    until: Instant,
    /// Number of refusals in a row before this one, up to [`MAX_REFUSAL_STREAK`].
    streak: u32,
}

impl CapacityRefusal {
    /// Creates a refusal at `now` that follows `previous`, if there is one.
    pub(in crate::coordination::leader::fleet) fn after(
        previous: Option<&CapacityRefusal>,
        now: Instant,
    ) -> Self {
        let streak = previous
            .map_or(0, |previous| previous.streak + 1)
            .min(MAX_REFUSAL_STREAK);
        let backoff = INITIAL_REFUSAL_BACKOFF * (1 << streak);
        CapacityRefusal {
            until: now + backoff.min(MAX_REFUSAL_BACKOFF),
            streak,
        }
    }

    /// Returns whether the backoff has expired, so that the capacity may be requested again.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        self.until <= now
    }
}
