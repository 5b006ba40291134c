//! The cloud's messages.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::clients::{ListedMachine, MachineStage},
    protocol::seconds,
    storage::{MachineId, MachineType, Resources, TypeName, ZoneName},
};

#[derive(Debug, Deserialize, Serialize)]
pub struct Catalog {
    pub breeds: Vec<Breed>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Breed {
    pub label: String,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub ram_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub rate: f64,
    #[serde(default)]
    pub market_price: Option<f64>,
    pub boot_s: f64,
    pub paddocks: Vec<String>,
}

impl Breed {
    pub fn into_type(self) -> Option<MachineType> {
        Some(MachineType {
            name: TypeName::new(self.label),
            size: Resources {
                cpus: self.cpus,
                gpus: self.gpus,
                memory: self.ram_gb,
            },
            cache_gb: self.cache_gb,
            fetch_gb_per_s: self.fetch_gb_per_s,
            price: self.rate,
            spot_price: self.market_price.unwrap_or(self.rate),
            boot: seconds(self.boot_s)?,
            zones: self.paddocks.into_iter().map(ZoneName::new).collect(),
        })
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Hire {
    pub hire: String,
    pub breed: String,
    pub paddock: String,
    pub loaners: bool,
    pub number: u32,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Mounts {
    pub mounts: Vec<String>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct List {
    pub mounts: Vec<Listed>,
    #[serde(default)]
    pub truncated: bool,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Listed {
    pub uid: String,
    pub breed: String,
    pub paddock: String,
    #[serde(default)]
    pub loaners: bool,
    pub stance: String,
    #[serde(default)]
    pub age_s: f64,
}

impl Listed {
    pub fn into_machine(self) -> ListedMachine {
        ListedMachine {
            stage: match self.stance.as_str() {
                "starting" => MachineStage::Booting,
                "failed" => MachineStage::Failed,
                _ => MachineStage::Running,
            },
            age: seconds(self.age_s).unwrap_or_default(),
            id: MachineId::new(self.uid),
            kind: TypeName::new(self.breed),
            zone: ZoneName::new(self.paddock),
            spot: self.loaners,
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Trouble {
    pub error: String,
}
