//! Capacity that the cloud has refused, and when it may be asked for again.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    coordination::leader::pool::Pool,
    storage::{TypeName, ZoneName, records::ProvisionRecord},
};

const REFUSAL_PAUSE: Duration = Duration::from_secs(10);
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(40);
/// Refusals in a row after which the pause is not doubled any more.
const MAX_REFUSAL_STREAK: u32 = 3;

/// Where and what kind of machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProvisionTarget {
    /// The cloud's machine type.
    pub kind: TypeName,
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is a spot machine.
    pub spot: bool,
}

impl ProvisionTarget {
    /// A pool's machines in this zone.
    pub(super) fn of_pool(pool: &Pool, zone: &ZoneName) -> Self {
        Self {
            kind: pool.kind.clone(),
            zone: zone.clone(),
            spot: pool.spot,
        }
    }
}

impl From<&ProvisionRecord> for ProvisionTarget {
    fn from(record: &ProvisionRecord) -> Self {
        Self {
            kind: record.kind.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        }
    }
}

/// Capacity that was refused is not asked for again for a while, which doubles
/// with each refusal in a row.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRefusal {
    until: Instant,
    /// Refusals in a row before this one.
    streak: u32,
}

impl CapacityRefusal {
    /// A refusal that follows on the known one, if any.
    pub(in crate::coordination::leader::fleet) fn after(
        known: Option<&CapacityRefusal>,
        now: Instant,
    ) -> Self {
        let streak = known
            .map_or(0, |known| known.streak + 1)
            .min(MAX_REFUSAL_STREAK);
        let pause = REFUSAL_PAUSE * (1 << streak);
        CapacityRefusal {
            until: now + pause.min(MAX_REFUSAL_PAUSE),
            streak,
        }
    }

    /// Whether the capacity may be asked for again.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.until <= now
    }
}
