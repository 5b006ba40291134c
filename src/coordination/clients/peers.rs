//! Requests and responses between controllers, and the client trait.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use quota::Refusal;

use super::{NoResponse, ProtocolVersion};
use crate::storage::{
    AgentEpoch, ControllerName, ImageName, Incarnation, JobId, MachineId, Quota, Resources,
    Revision, TaskId, TeamName, TypeName, ZoneName,
};

/// Status of a machine, as its owner reports it to the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedMachine {
    /// The machine.
    pub machine: MachineId,
    /// Time since the last heartbeat.
    pub since_heartbeat: Duration,
    /// Whether direct calls to its agent fail.
    pub unreachable: bool,
    /// Whether it is quarantined because tasks of several jobs failed on it.
    pub quarantined: bool,
    /// Whether the cloud has announced that it will reclaim the machine.
    pub reclaim_announced: bool,
    /// Whether its heartbeats arrive, but the owner's responses and commands do not reach it.
    pub command_path_lost: bool,
    /// Address of its agent, if it differs from the one in the machine's record.
    pub address: Option<String>,
    /// Agent epoch of its latest message. Indirect heartbeats that are not newer are ignored.
    pub epoch: AgentEpoch,
    /// Sequence number of its latest message within the epoch.
    pub sequence: u64,
    /// Images that are expected in its image cache.
    pub images: Arc<Vec<ImageName>>,
    /// Measured speed relative to other machines of its type.
    pub speed: f64,
    /// Resources of tasks that have ended, but whose results are not written yet. They are free,
    /// although the records still count them as used.
    pub freed_resources: Resources,
}

/// A heartbeat that arrived at a controller that does not own the machine.
#[derive(Clone, Debug, PartialEq)]
pub struct IndirectHeartbeat {
    /// The machine.
    pub machine: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// The zone that it is in.
    pub zone: ZoneName,
    /// Whether it is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// The agent's epoch.
    pub epoch: AgentEpoch,
    /// Sequence number of the message within the epoch.
    pub sequence: u64,
    /// Time since it arrived.
    pub age: Duration,
}

/// Status of a controller, exchanged about once a second.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusMessage {
    /// The sender.
    pub controller: ControllerName,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// The protocol version that it supports.
    pub protocol_version: ProtocolVersion,
    /// Highest revision in any response of the state service to this process. Zero: there was no
    /// response yet, so the process does not know what its predecessor knew.
    pub highest_revision: Revision,
    /// Whether it has loaded the state and the state service responds to it.
    pub state_service_reachable: bool,
    /// Whether the lists below are filled in; they are sent to the leader only.
    pub has_lists: bool,
    /// The machines that it owns.
    pub owned: Vec<OwnedMachine>,
    /// Heartbeats that it received of machines that it does not own.
    pub indirect_heartbeats: Vec<IndirectHeartbeat>,
    /// Jobs whose tasks fail on several machines, with the remaining time of their backoff.
    pub failing: Vec<(JobId, Duration)>,
}

/// Tasks of a job that the leader offers to a shard owner for placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The job.
    pub job: JobId,
    /// Indices of the tasks in the job.
    pub tasks: Vec<u32>,
}

/// A request to transfer parts of the receiver's budgets to the sender.
pub type QuotaRequest = quota::TransferRequest<ControllerName, TeamName>;

/// Result of a request for quota.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaResponse {
    /// The quota was transferred, with the amount for each team.
    Granted(BTreeMap<TeamName, Quota>),
    /// Nothing was transferred.
    Refused(Refusal),
    /// The result is not known yet; the allocation records will show it.
    Undecided,
}

/// Budgets that the leader has planned for the receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaTargets {
    /// Revision of the leader record under which they were planned.
    pub leader: Revision,
    /// Target budget by team, for the teams for which some controller has a deficit.
    pub budgets: BTreeMap<TeamName, Quota>,
}

/// A request from one controller to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// The sender's status. The response is the receiver's status.
    Status(StatusMessage),
    /// Tasks to place.
    Offers(Vec<Offer>),
    /// Tasks to stop, to free capacity for others.
    Preempt(Vec<TaskId>),
    /// Probe the agent at this address.
    Probe(String),
    /// List the jobs that are cancelled by changes after this revision.
    CancelledSince(Revision),
    /// Transfer quota from the receiver's budgets to the sender.
    RequestQuota(QuotaRequest),
    /// Target budgets for the receiver.
    SetQuotaTargets(QuotaTargets),
}

/// The cancellations that a controller knows of beyond the requested revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancellations {
    /// Highest revision in any response of the state service to the controller.
    pub highest_revision: Revision,
    /// The cancelled jobs. None: the controller cannot list all of them.
    pub jobs: Option<Vec<JobId>>,
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    /// The receiver's status.
    Status(StatusMessage),
    /// The request was accepted. The receiver processes it later; its effects appear in the
    /// state records.
    Accepted,
    /// Whether an agent answered at the address.
    ProbeResult(bool),
    /// The cancellations that the receiver knows of.
    CancelledSince(Cancellations),
    /// Result of a request for quota.
    Quota(QuotaResponse),
    /// The receiver's version does not know this request.
    Unknown,
}

/// Client of the other controllers. Each call has a timeout.
pub trait PeerClient: Send + Sync {
    /// Sends a request to a controller and returns its response.
    fn call<'a>(
        &'a self,
        controller: &'a ControllerName,
        request: PeerRequest,
    ) -> BoxFuture<'a, Result<PeerResponse, NoResponse>>;
}
