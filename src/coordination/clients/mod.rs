//! What the coordination layer says to agents, the cloud and the other controllers, and
//! the clients through which it does. The transport layer implements them.

mod agents;
mod cloud;
mod peers;
mod protocol_version;

pub use agents::{
    AgentClient, Command, CommandResponse, Exit, Heartbeat, HeartbeatResponse, TaskState,
    TaskStatus,
};
pub use cloud::{CloudClient, CloudError, ListedMachine, MachineStage, ProvisionRequest};
pub use peers::{
    Cancellations, IndirectHeartbeat, Offer, OwnedMachine, PeerClient, PeerRequest, PeerResponse,
    QuotaRequest, QuotaResponse, QuotaTargets, StatusMessage,
};
pub use protocol_version::ProtocolVersion;

/// No usable answer: the call may have been executed, or may yet be. With the reason, for
/// the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer: {0}")]
pub struct NoAnswer(pub String);
