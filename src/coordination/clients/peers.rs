//! What controllers say to each other, and the client that says it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use quota::Refusal;

use super::{NoAnswer, ProtocolVersion};
use crate::storage::{
    AgentEpoch, ControllerName, ImageName, Incarnation, JobId, MachineId, Quota, Resources,
    Revision, TaskId, TeamName, TypeName, ZoneName,
};

/// A machine as the controller that owns it sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedMachine {
    /// The machine.
    pub machine: MachineId,
    /// Since the last heartbeat.
    pub since_heartbeat: Duration,
    /// Direct calls to it fail as well.
    pub unreachable: bool,
    /// Several jobs failed on it.
    pub quarantined: bool,
    /// The cloud has announced to take it.
    pub leaving: bool,
    /// Its heartbeats come, but what we say does not reach it.
    pub command_path_lost: bool,
    /// Where its agent listens, as long as the machine's record lacks it.
    pub address: Option<String>,
    /// Epoch of its newest message; what is no newer says nothing.
    pub epoch: AgentEpoch,
    /// Number of its newest message within the epoch.
    pub sequence: u64,
    /// Images that it should have.
    pub images: Arc<Vec<ImageName>>,
    /// Learned speed against others of its kind.
    pub speed: f64,
    /// Room of ended tasks whose results are yet to be written.
    pub freed: Resources,
}

/// A heartbeat that reached a controller which does not own the machine.
#[derive(Clone, Debug, PartialEq)]
pub struct IndirectHeartbeat {
    /// The machine.
    pub machine: MachineId,
    /// Its type.
    pub kind: TypeName,
    /// Where it is.
    pub zone: ZoneName,
    /// Whether it may be taken back at any time.
    pub spot: bool,
    /// The agent's epoch.
    pub epoch: AgentEpoch,
    /// Number of the message within the epoch.
    pub sequence: u64,
    /// Since it came.
    pub age: Duration,
}

/// What controllers tell each other every second.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusMessage {
    /// The sender.
    pub controller: ControllerName,
    /// Its process.
    pub incarnation: Incarnation,
    /// What it reads.
    pub protocol_version: ProtocolVersion,
    /// Highest revision that any answer of the state service carried; zero: this
    /// process has had none yet, and can't tell what its predecessor knew.
    pub highest_revision: Revision,
    /// The state service answers it.
    pub state_reachable: bool,
    /// The lists below are filled: they are told to the leader only.
    pub full: bool,
    /// The machines that it owns.
    pub owned: Vec<OwnedMachine>,
    /// Heartbeats of machines that it does not own.
    pub indirect_heartbeats: Vec<IndirectHeartbeat>,
    /// Jobs whose tasks fail on several machines, with the pause before the next try.
    pub failing: Vec<(JobId, Duration)>,
}

/// Tasks of a job that the leader gives to an owner to place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The job.
    pub job: JobId,
    /// The tasks, by their numbers.
    pub tasks: Vec<u32>,
}

/// A request for parts of the receiver's budgets.
pub type QuotaRequest = quota::TransferRequest<ControllerName, TeamName>;

/// What became of a request for quota.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaResponse {
    /// Transferred.
    Granted(BTreeMap<TeamName, Quota>),
    /// Nothing has changed.
    Refused(Refusal),
    /// Not decided yet; the records will tell.
    Undecided,
}

/// What the leader has planned the receiver's budgets to be.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaTargets {
    /// The leader's claim under which they were planned.
    pub leader: Revision,
    /// By team, of those of which some controller lacks quota.
    pub budgets: BTreeMap<TeamName, Quota>,
}

/// What a controller asks of another one.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// The sender's status; answered with the receiver's.
    Status(StatusMessage),
    /// Tasks to place.
    Offers(Vec<Offer>),
    /// Tasks to stop, to make room for others.
    Preempt(Vec<TaskId>),
    /// Is there an agent at this address?
    Probe(String),
    /// Which jobs do you know to be cancelled by a change after this revision?
    CancelledSince(Revision),
    /// Transfer quota to me, from your budgets.
    RequestQuota(QuotaRequest),
    /// What your budgets should be.
    SetQuotaTargets(QuotaTargets),
}

/// What a controller knows to be cancelled beyond the asker's revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancellations {
    /// The highest revision that it has seen.
    pub seen: Revision,
    /// The cancelled jobs. None: it cannot name all of them.
    pub jobs: Option<Vec<JobId>>,
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    /// The receiver's status.
    Status(StatusMessage),
    /// Taken in; what follows from it shows in the records.
    Accepted,
    /// Whether an agent answered at the address.
    ProbeResult(bool),
    /// What the receiver knows to be cancelled.
    CancelledSince(Cancellations),
    /// What became of a request for quota.
    Quota(QuotaResponse),
    /// The call is none that this version knows.
    Unknown,
}

/// Reaches the other controllers. Each call is bounded in time.
pub trait PeerClient: Send + Sync {
    /// Sends a request to a controller.
    fn call<'a>(
        &'a self,
        controller: &'a ControllerName,
        call: PeerRequest,
    ) -> BoxFuture<'a, Result<PeerResponse, NoAnswer>>;
}
