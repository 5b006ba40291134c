//! Messages between the coordination layer and the agents, the cloud and the other controllers,
//! and the client traits that carry them. The transport layer implements these traits.

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

/// A call got no usable response: it may have been executed, or may be executed later. Holds the
/// reason for the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer: {0}")]
pub struct NoResponse(pub String);
