//! What is asked of the cloud, and the client that asks it.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::storage::{MachineId, MachineType, ProvisionId, TypeName, ZoneName};

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
