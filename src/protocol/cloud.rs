//! Requests to the cloud and their responses: its catalog of machine types, provisioning and
//! release of machines, and its inventory. The transport layer's cloud client reads and writes
//! them.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::clients::{ListedMachine, MachineStage, ProvisionRequest},
    protocol::seconds,
    storage::{MachineId, MachineType, ProvisionId, Resources, TypeName, ZoneName},
};

/// Path that returns the catalog of machine types.
pub const CATALOG_PATH: &str = "/catalog";
/// Path that provisions machines, and lists them.
pub const MACHINES_PATH: &str = "/machines";
/// Path that releases machines.
pub const RELEASE_PATH: &str = "/machines/return";
/// Maximum number of machines in a page of the inventory.
const INVENTORY_PAGE_SIZE: usize = 500;

/// Path that returns a page of the inventory: the page that starts after the machine `after`, or
/// the first page.
pub fn inventory_path(after: Option<&MachineId>) -> String {
    let mut path = format!("{MACHINES_PATH}?most={INVENTORY_PAGE_SIZE}");
    if let Some(machine) = after {
        path.push_str("&from=");
        path.push_str(machine.as_str());
    }
    path
}

/// The catalog of machine types.
#[derive(Debug, Deserialize)]
pub struct CatalogResponse {
    /// All machine types that can be provisioned.
    #[serde(rename = "breeds")]
    pub machine_types: Vec<MachineTypeMessage>,
}

/// A machine type with its size, price and zones.
#[derive(Debug, Deserialize)]
pub struct MachineTypeMessage {
    /// Unique name of the type.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, in GB.
    pub ram_gb: f64,
    /// Local storage for images, in GB.
    pub cache_gb: f64,
    /// Speed at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price of a spot machine; if absent, the price of an on-demand machine.
    #[serde(default, rename = "market_price")]
    pub spot_price: Option<f64>,
    /// Usual time from the provision request to the first heartbeat, in seconds.
    #[serde(rename = "boot_s")]
    pub boot_seconds: f64,
    /// Zones that offer the type.
    #[serde(rename = "paddocks")]
    pub zones: Vec<String>,
}

/// The boot time of a machine type in the catalog is not a valid duration.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("boot_s is not a duration in seconds")]
pub struct InvalidBootTime;

impl TryFrom<MachineTypeMessage> for MachineType {
    type Error = InvalidBootTime;

    fn try_from(message: MachineTypeMessage) -> Result<Self, InvalidBootTime> {
        Ok(MachineType {
            name: TypeName::new(message.name),
            size: Resources {
                cpus: message.cpus,
                gpus: message.gpus,
                memory: message.ram_gb,
            },
            cache_gb: message.cache_gb,
            fetch_gb_per_s: message.fetch_gb_per_s,
            price: message.price,
            spot_price: message.spot_price.unwrap_or(message.price),
            boot: seconds(message.boot_seconds).ok_or(InvalidBootTime)?,
            zones: message.zones.into_iter().map(ZoneName::new).collect(),
        })
    }
}

/// Body of a request that provisions machines.
#[derive(Debug, Serialize)]
pub struct ProvisionRequestBody {
    /// Idempotency key of the request.
    #[serde(rename = "hire")]
    pub id: String,
    /// Type of the machines.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "paddock")]
    pub zone: String,
    /// Whether to provision spot machines instead of on-demand ones.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

impl ProvisionRequestBody {
    /// Creates the body of a request with its idempotency key.
    pub fn new(id: &ProvisionId, request: &ProvisionRequest) -> Self {
        Self {
            id: id.to_string(),
            machine_type: request.machine_type.to_string(),
            zone: request.zone.to_string(),
            spot: request.spot,
            count: request.count,
        }
    }
}

/// Ids of machines: the response to a provision request, or the body of a release request.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineIdsMessage {
    /// Ids of the provisioned machines, or of those to be released.
    #[serde(rename = "mounts")]
    pub machines: Vec<String>,
}

/// A page of the inventory.
#[derive(Debug, Deserialize)]
pub struct InventoryPage {
    /// Machines, ordered by id: the next page starts after the id of the last one.
    #[serde(rename = "mounts")]
    pub machines: Vec<ListedMachineMessage>,
    /// Whether there are more machines after the last one.
    #[serde(default, rename = "truncated")]
    pub has_more: bool,
}

/// A machine in the inventory.
#[derive(Debug, Deserialize)]
pub struct ListedMachineMessage {
    /// Id of the machine.
    #[serde(rename = "uid")]
    pub id: String,
    /// Type of the machine.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "paddock")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(default, rename = "loaners")]
    pub spot: bool,
    /// Stage of the machine's life cycle; an unknown stage is treated as running.
    #[serde(rename = "stance")]
    pub stage: String,
    /// Seconds since the provision request.
    #[serde(default, rename = "age_s")]
    pub age_seconds: f64,
}

impl From<ListedMachineMessage> for ListedMachine {
    fn from(message: ListedMachineMessage) -> Self {
        ListedMachine {
            stage: match message.stage.as_str() {
                "starting" => MachineStage::Booting,
                "failed" => MachineStage::Failed,
                _ => MachineStage::Running,
            },
            age: seconds(message.age_seconds).unwrap_or_default(),
            id: MachineId::new(message.id),
            machine_type: TypeName::new(message.machine_type),
            zone: ZoneName::new(message.zone),
            spot: message.spot,
        }
    }
}

/// Body of the cloud's error responses.
#[derive(Debug, Deserialize)]
pub struct CloudErrorBody {
    /// Description of the error.
    pub error: String,
}

impl CloudErrorBody {
    /// Error of a provision request if the zone has no machines of the type left.
    pub const NO_CAPACITY: &str = "no capacity";
}
