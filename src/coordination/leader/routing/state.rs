//! What routing remembers from one pass to the next. The leader keeps it; a new leader
//! begins with nothing.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::storage::{ControllerName, JobId, MachineId, TaskId};

/// A task offered to an owner, with the machine that the trial placement found for it.
#[derive(Clone, Debug)]
pub struct OutstandingOffer {
    /// The owner.
    pub controller: ControllerName,
    pub(super) machine: MachineId,
    pub(super) offered_at: Instant,
}

/// Tasks offered to owners and not yet placed, by job and task number.
pub type OutstandingOffers = BTreeMap<JobId, BTreeMap<u32, OutstandingOffer>>;

/// Waiting tasks for which others are being stopped and the tasks that are stopped, since
/// when.
pub type PendingPreemptions = BTreeMap<TaskId, Instant>;

/// A stopped task's room shows within this time, or it is asked for again.
pub(super) const PREEMPTION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Run records whose tasks wait for room at the owner that writes them, since when.
pub type RecordAffinity = BTreeMap<(JobId, u32), Instant>;

/// After this long such a record gets a second writer, if another has room.
pub(super) const RECORD_AFFINITY_TIMEOUT: Duration = Duration::from_secs(4);

/// A gang of which a part is placed and a part is not.
#[derive(Clone, Copy, Debug)]
pub struct PartialGang {
    pub(super) since: Instant,
    /// When the placed part was last told to leave.
    pub(super) last_evicted: Option<Instant>,
}

/// The gangs of which a part is placed and a part is not.
pub type PartialGangs = BTreeMap<JobId, PartialGang>;

/// Offers of a job that one owner let expire one after the other. Its machines may refuse
/// the job after a failure, which the leader does not know.
#[derive(Clone, Debug)]
pub struct ExpiredOffers {
    pub(super) controller: ControllerName,
    pub(super) last: Instant,
    pub(super) count: u32,
}

/// The owners that let offers expire, by job.
pub type ExpiredOffersByJob = BTreeMap<JobId, ExpiredOffers>;

/// An owner that may not write yet lets offers expire as well, and is quicker than another
/// one that begins anew: only so many in a row say that it refuses the job.
pub(super) const EXPIRED_OFFERS_LIMIT: u32 = 4;

/// An expired offer says nothing any more after this long.
pub(super) const EXPIRED_OFFERS_TTL: Duration = Duration::from_secs(30);
