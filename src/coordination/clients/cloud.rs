//! What is asked of the cloud, and the client that asks it.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::storage::{MachineId, MachineType, ProvisionId, TypeName, ZoneName};

/// Why the cloud did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// It has no such machine there now.
    #[error("no capacity")]
    NoCapacity,
    /// It does not serve now, or its request limit is exceeded.
    #[error("refused: not executed")]
    Unavailable,
    /// Nothing was heard of the request, or its answer was lost.
    #[error("no answer: perhaps executed")]
    NoAnswer,
    /// The request can never be served; with the reason.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// Where the cloud says a machine is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStage {
    /// Its agent is not up yet.
    Booting,
    /// Up.
    Running,
    /// Broken; it stays listed until it is released.
    Failed,
}

/// A machine in the cloud's inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub kind: TypeName,
    /// Where it is.
    pub zone: ZoneName,
    /// Whether it may be taken back at any time.
    pub spot: bool,
    /// Where it is in its life.
    pub stage: MachineStage,
    /// Since it was provisioned.
    pub age: Duration,
}

/// What to provision.
#[derive(Clone, Debug, PartialEq)]
pub struct ProvisionRequest {
    /// The machine type.
    pub kind: TypeName,
    /// Where.
    pub zone: ZoneName,
    /// As spot machines, at their price.
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// Asks the cloud. Each call is bounded in time.
pub trait CloudClient: Send + Sync {
    /// The machine types on offer, at their present prices.
    fn catalog(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>>;
    /// Has machines provisioned. A request that is repeated under its name has one effect.
    fn provision<'a>(
        &'a self,
        name: &'a ProvisionId,
        request: &'a ProvisionRequest,
    ) -> BoxFuture<'a, Result<Vec<MachineId>, CloudError>>;
    /// Gives machines back.
    fn release<'a>(&'a self, machines: &'a [MachineId]) -> BoxFuture<'a, Result<(), CloudError>>;
    /// All machines that are ours to pay for, as of some time ago.
    fn list_machines(&self) -> BoxFuture<'_, Result<Vec<ListedMachine>, CloudError>>;
}
