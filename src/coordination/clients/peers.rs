//! What controllers say to each other, and the client that says it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use quota::Refusal;

use super::{NoAnswer, ProtocolVersion};
use crate::storage::{
    AgentEpoch, ControllerName, ImageName, Incarnation, JobId, MachineId, Quota, Resources,
    Revision, TaskId, TeamName, TypeName, ZoneName,
};

/// A machine as a controller that holds it, or was asked by it, sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedMachine {
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
    /// Its newest message; what is no newer says nothing.
    pub epoch: AgentEpoch,
    pub sequence: u64,
    pub images: Arc<Vec<ImageName>>,
    /// Learned speed against others of its kind.
    pub speed: f64,
    /// Room of ended tasks whose results are yet to be written.
    pub freed: Resources,
}

/// A heartbeat that reached a controller which does not own the machine.
#[derive(Clone, Debug, PartialEq)]
pub struct IndirectHeartbeat {
    pub machine: MachineId,
    pub kind: TypeName,
    pub zone: ZoneName,
    pub spot: bool,
    pub epoch: AgentEpoch,
    pub sequence: u64,
    pub age: Duration,
}

/// What controllers tell each other every second.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusMessage {
    pub controller: ControllerName,
    pub incarnation: Incarnation,
    pub protocol_version: ProtocolVersion,
    /// Highest revision that any answer of the state service carried; zero: this
    /// process has had none yet, and can't tell what its predecessor knew.
    pub highest_revision: Revision,
    pub state_reachable: bool,
    /// This and the lists below are told to the leader only.
    pub full: bool,
    pub owned: Vec<OwnedMachine>,
    pub indirect_heartbeats: Vec<IndirectHeartbeat>,
    /// Jobs whose tasks fail on several machines, with the pause before the next try.
    pub failing: Vec<(JobId, Duration)>,
}

/// Tasks of a job that the leader gives to an owner to place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    pub job: JobId,
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

#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
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
    pub seen: Revision,
    /// None: it cannot name all of them.
    pub jobs: Option<Vec<JobId>>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    Status(StatusMessage),
    Accepted,
    ProbeResult(bool),
    CancelledSince(Cancellations),
    Quota(QuotaResponse),
    /// The call is none that this version knows.
    Unknown,
}

pub trait PeerClient: Send + Sync {
    fn call<'a>(
        &'a self,
        controller: &'a ControllerName,
        call: PeerRequest,
    ) -> BoxFuture<'a, Result<PeerResponse, NoAnswer>>;
}
