//! Messages of the cloud: its catalog of machine types, provisioning and release of
//! machines, and its inventory. The transport layer's cloud client reads and writes them.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::clients::{ListedMachine, MachineStage, ProvisionRequest},
    protocol::seconds,
    storage::{MachineId, MachineType, ProvisionId, Resources, TypeName, ZoneName},
};

/// Where the catalog of machine types is.
pub const CATALOG_PATH: &str = "/catalog";
/// Where machines are provisioned, and listed.
pub const MACHINES_PATH: &str = "/machines";
/// Where machines are released.
pub const RELEASE_PATH: &str = "/machines/return";
/// Machines in a page of the inventory, at most.
const INVENTORY_PAGE_SIZE: usize = 500;

/// Where the page of the inventory is that follows a machine; without one, the first.
pub fn inventory_path(after: Option<&MachineId>) -> String {
    let mut path = format!("{MACHINES_PATH}?most={INVENTORY_PAGE_SIZE}");
    if let Some(machine) = after {
        path.push_str("&from=");
        path.push_str(machine.as_str());
    }
    path
}

/// The catalog.
#[derive(Debug, Deserialize)]
pub struct CatalogResponse {
    /// All machine types that can be provisioned.
    #[serde(rename = "breeds")]
    pub machine_types: Vec<MachineTypeMessage>,
}

/// A machine type with its size, price and zones.
#[derive(Debug, Deserialize)]
pub struct MachineTypeMessage {
    /// Unique among the types.
    #[serde(rename = "label")]
    pub name: String,
    /// Processor cores.
    pub cpus: f64,
    /// Accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    pub ram_gb: f64,
    /// Local storage for images.
    pub cache_gb: f64,
    /// Speed at which images are fetched.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price of a spot machine; absent: that of an on-demand one.
    #[serde(default, rename = "market_price")]
    pub spot_price: Option<f64>,
    /// Usual time from the provision request to the first heartbeat, in seconds.
    #[serde(rename = "boot_s")]
    pub boot_seconds: f64,
    /// Zones that offer the type.
    #[serde(rename = "paddocks")]
    pub zones: Vec<String>,
}

/// The cloud names no usable boot time for a machine type.
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

/// Body of a request to provision machines.
#[derive(Debug, Serialize)]
pub struct ProvisionRequestBody {
    /// Makes the request idempotent.
    #[serde(rename = "hire")]
    pub id: String,
    /// Type of all machines asked for.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of all machines asked for.
    #[serde(rename = "paddock")]
    pub zone: String,
    /// Spot machines in place of on-demand ones.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many machines.
    #[serde(rename = "number")]
    pub count: u32,
}

impl ProvisionRequestBody {
    /// The body of a request under its idempotency key.
    pub fn new(id: &ProvisionId, request: &ProvisionRequest) -> Self {
        Self {
            id: id.to_string(),
            machine_type: request.kind.to_string(),
            zone: request.zone.to_string(),
            spot: request.spot,
            count: request.count,
        }
    }
}

/// Machines by id: those provisioned, or those to be released.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineIdsMessage {
    /// Ids of the machines provisioned or to be released.
    #[serde(rename = "mounts")]
    pub machines: Vec<String>,
}

/// A page of the inventory.
#[derive(Debug, Deserialize)]
pub struct InventoryPage {
    /// In the order that `from` continues: after the last one's id.
    #[serde(rename = "mounts")]
    pub machines: Vec<ListedMachineMessage>,
    /// More machines follow the last one.
    #[serde(default, rename = "truncated")]
    pub has_more: bool,
}

/// A machine of the inventory.
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
    /// Stage of its life; unknown words count as running.
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
            kind: TypeName::new(message.machine_type),
            zone: ZoneName::new(message.zone),
            spot: message.spot,
        }
    }
}

/// Body of the cloud's error answers.
#[derive(Debug, Deserialize)]
pub struct CloudErrorBody {
    /// What is wrong.
    pub error: String,
}

impl CloudErrorBody {
    /// The error of a cloud that has no machines of the type left in the zone.
    pub const NO_CAPACITY: &str = "no capacity";
}
