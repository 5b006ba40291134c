//! State that routing keeps between passes. It is in the memory of the leader; a new leader
//! starts with an empty state.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::storage::{ControllerName, JobId, MachineId, TaskId};

/// An offer of a task to an owner, with the machine that the trial placement chose.
#[derive(Clone, Debug)]
pub struct OutstandingOffer {
    /// The owner.
    pub controller: ControllerName,
    pub(super) machine: MachineId,
    pub(super) offered_at: Instant,
}

/// Tasks offered to owners and not yet placed, by job and task number.
pub type OutstandingOffers = BTreeMap<JobId, BTreeMap<u32, OutstandingOffer>>;

/// Waiting tasks for which other tasks are being preempted, and the tasks being preempted, each
/// with the time of the request.
pub type PendingPreemptions = BTreeMap<TaskId, Instant>;

/// Time within which a preempted task must have freed its resources; after it the preemption is
/// requested again.
pub(super) const PREEMPTION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Run records whose tasks wait for capacity at the owner that writes them, each with the start
/// of the wait.
pub type RecordAffinity = BTreeMap<(JobId, u32), Instant>;

/// Time after which such a record gets a second writer, if another owner has capacity.
pub(super) const RECORD_AFFINITY_TIMEOUT: Duration = Duration::from_secs(4);

/// A gang of which only some tasks are placed.
#[derive(Clone, Copy, Debug)]
pub struct PartialGang {
    pub(super) since: Instant,
    /// When the placed tasks were last preempted.
    pub(super) last_evicted: Option<Instant>,
}

/// Gangs of which only some tasks are placed.
pub type PartialGangs = BTreeMap<JobId, PartialGang>;

/// Consecutive offers of a job that one owner let expire. Its machines may refuse the job after
/// a failure, which the leader does not know.
#[derive(Clone, Debug)]
pub struct ExpiredOffers {
    pub(super) controller: ControllerName,
    pub(super) last: Instant,
    pub(super) count: u32,
}

/// The owners that let offers expire, by job.
pub type ExpiredOffersByJob = BTreeMap<JobId, ExpiredOffers>;

/// Number of consecutive expired offers after which an owner counts as refusing the job. A
/// single one does not show that: an owner that may not write yet also lets offers expire, and
/// waiting for it takes less time than starting over at another owner.
pub(super) const EXPIRED_OFFERS_LIMIT: u32 = 4;

/// Time after which expired offers are no longer considered.
pub(super) const EXPIRED_OFFERS_TTL: Duration = Duration::from_secs(30);
