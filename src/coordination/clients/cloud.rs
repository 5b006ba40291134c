//! Requests to the cloud, its inventory, and the client trait.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::storage::{MachineId, MachineType, ProvisionId, TypeName, ZoneName};

/// Reason why a request to the cloud failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// No machine of this type is available in the zone now.
    #[error("no capacity")]
    NoCapacity,
    /// The cloud does not serve requests now, or its request limit is exceeded.
    #[error("refused: request not executed")]
    Unavailable,
    /// No response arrived; the request may have been executed.
    #[error("no answer: request may have been executed")]
    NoResponse,
    /// The request is invalid and can never be served; with the reason.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// State of a machine in its lifecycle, as reported by the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStage {
    /// Its agent does not run yet.
    Booting,
    /// In service.
    Running,
    /// Failed; it stays in the inventory until it is released.
    Failed,
}

/// A machine in the cloud's inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// Its identifier.
    pub id: MachineId,
    /// Its type.
    pub machine_type: TypeName,
    /// The zone that it is in.
    pub zone: ZoneName,
    /// Whether it is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// State of the machine in its lifecycle.
    pub stage: MachineStage,
    /// Time since it was provisioned.
    pub age: Duration,
}

/// Machines to provision.
#[derive(Clone, Debug, PartialEq)]
pub struct ProvisionRequest {
    /// The machine type.
    pub machine_type: TypeName,
    /// The zone to provision them in.
    pub zone: ZoneName,
    /// Whether to provision spot machines, at the spot price.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Client of the cloud. Each call has a timeout.
pub trait CloudClient: Send + Sync {
    /// Returns the available machine types with their current prices.
    fn catalog(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>>;
    /// Provisions machines. Idempotent: repeated requests with the same id are executed once.
    fn provision<'a>(
        &'a self,
        id: &'a ProvisionId,
        request: &'a ProvisionRequest,
    ) -> BoxFuture<'a, Result<Vec<MachineId>, CloudError>>;
    /// Releases machines, which returns them to the cloud.
    fn release<'a>(&'a self, machines: &'a [MachineId]) -> BoxFuture<'a, Result<(), CloudError>>;
    /// Returns the inventory: all machines that the cluster pays for. It may be out of date by
    /// up to [`Config::max_inventory_lag`](crate::coordination::Config::max_inventory_lag).
    fn list_machines(&self) -> BoxFuture<'_, Result<Vec<ListedMachine>, CloudError>>;
}
