//! What the coordination layer says to agents, the cloud and its peers, and
//! the ports through which it does. The transport layer implements them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use quota::Refusal;

use crate::storage::{
    AgentEpoch, Attempt, ControllerName, ImageName, Incarnation, JobId, MachineId, MachineType,
    ProvisionId, Quota, Resources, Revision, TaskId, TeamName, Token, TypeName, ZoneName,
};

/// How a task's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done,
    /// Stopped by command.
    Stopped,
    Failed,
    /// Start refused: not enough room.
    NoRoom,
    /// Start refused: the task is there with another attempt.
    Busy,
    /// Start refused: the agent found no description of the job.
    Unknown,
    /// Another reason of the agent's.
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    Running,
    Saving,
    Exited(Exit),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: Attempt,
    pub state: TaskState,
}

/// What an agent tells of its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub machine: MachineId,
    pub address: String,
    pub kind: TypeName,
    pub zone: ZoneName,
    pub spot: bool,
    pub epoch: AgentEpoch,
    pub sequence: u64,
    pub token: Token,
    pub notice: Option<Duration>,
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Start {
        task: TaskId,
        attempt: Attempt,
    },
    Stop {
        task: TaskId,
        attempt: Attempt,
        grace: Duration,
    },
    Clear {
        task: TaskId,
        attempt: Attempt,
    },
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    Accepted {
        token: Token,
        commands: Vec<Command>,
    },
    /// Another controller holds the machine, if it is known which.
    NotHere(Option<ControllerName>),
    /// Cannot tell now.
    Unavailable,
}

/// No usable answer: the call may have been executed, or may yet be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer: {0}")]
pub struct NoAnswer(pub String);

pub struct CommandResponse {
    /// False: nothing was executed, as token or epoch did not match.
    pub executed: bool,
    pub heartbeat: Heartbeat,
}

pub trait AgentClient: Send + Sync {
    fn send_commands<'a>(
        &'a self,
        address: &'a str,
        token: Token,
        epoch: AgentEpoch,
        commands: &'a [Command],
    ) -> BoxFuture<'a, Result<CommandResponse, NoAnswer>>;

    fn inspect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Heartbeat, NoAnswer>>;
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    #[error("no capacity")]
    NoCapacity,
    #[error("refused: not executed")]
    Unavailable,
    #[error("no answer: perhaps executed")]
    NoAnswer,
    #[error("rejected: {0}")]
    Rejected(String),
}

/// Where the cloud says a machine is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStage {
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    pub id: MachineId,
    pub kind: TypeName,
    pub zone: ZoneName,
    pub spot: bool,
    pub stage: MachineStage,
    pub age: Duration,
}

/// What to provision.
#[derive(Clone, Debug, PartialEq)]
pub struct ProvisionRequest {
    pub kind: TypeName,
    pub zone: ZoneName,
    pub spot: bool,
    pub count: u32,
}

pub trait CloudClient: Send + Sync {
    fn catalog(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>>;
    fn provision<'a>(
        &'a self,
        name: &'a ProvisionId,
        request: &'a ProvisionRequest,
    ) -> BoxFuture<'a, Result<Vec<MachineId>, CloudError>>;
    fn release<'a>(&'a self, machines: &'a [MachineId]) -> BoxFuture<'a, Result<(), CloudError>>;
    fn list_machines(&self) -> BoxFuture<'_, Result<Vec<ListedMachine>, CloudError>>;
}

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

/// What a controller can read of its peers, in steps: one that says nothing of it
/// reads the frames of the first version only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProtocolVersion(pub u64);

impl ProtocolVersion {
    /// Reads [`PeerRequest::CancelledSince`], and answers what it cannot read.
    pub const CANCELLATIONS: ProtocolVersion = ProtocolVersion(1);
    /// Runs gangs by their common attempt, and keeps within the limits to come.
    pub const GANGS: ProtocolVersion = ProtocolVersion(2);
    /// Places zone-bound jobs of any number of records, some by the zone in their spec.
    pub const LARGE_ZONE_BOUND: ProtocolVersion = ProtocolVersion(3);
    /// What this version reads in any case.
    pub const CURRENT: ProtocolVersion = Self::LARGE_ZONE_BOUND;
    /// Transfers quota on request, and moves machines together with the quota for their
    /// tasks; said only if the operator has turned transfers on.
    pub const QUOTA_TRANSFERS: ProtocolVersion = ProtocolVersion(4);
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
