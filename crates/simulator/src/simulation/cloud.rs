//! The simulated cloud: it provisions, boots, lists and terminates machines.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use tokio::time::Instant;

use super::{Cloud, LIST_LAG, MachineTypeSpec, ProvisionedMachine, Simulation};
use crate::{
    agent::{Capacity, Machine},
    rules::MachineKind,
};

/// Maximum number of machines in a provision request.
const MAX_MACHINES_IN_REQUEST: usize = 50;
/// Maximum number of machines in a release request.
const MAX_MACHINES_IN_RELEASE: usize = 100;

impl ProvisionedMachine {
    /// Whether the machine existed at this time.
    fn is_listed(&self, at: Instant) -> bool {
        self.created_at <= at && self.terminated_at.is_none_or(|terminated| terminated > at)
    }

    /// Returns the machine's entry in a list as of this time.
    fn list_entry(&self, id: &str, at: Instant) -> Value {
        let is_up = self.booted_at.is_some_and(|booted_at| booted_at <= at);
        let kind = &self.machine.kind;
        json!({"uid": id, "addr": id, "breed": kind.machine_type,
            "paddock": kind.zone, "loaners": kind.spot,
            "stance": if is_up { "running" } else { "starting" },
            "age_s": (at - self.created_at).as_secs_f64()})
    }
}

impl MachineTypeSpec {
    /// Returns the type's entry in the catalog.
    fn catalog_entry(&self) -> Value {
        json!({"label": self.name, "cpus": self.cpus, "gpus": 0, "ram_gb": self.memory,
            "cache_gb": 40.0, "fetch_gb_per_s": 0.5, "rate": self.price,
            "market_price": self.spot_price, "boot_s": self.boot_s, "paddocks": self.zones})
    }
}

/// A controller's request to provision machines.
struct ProvisionRequest {
    name: String,
    number: usize,
    kind: MachineKind,
}

impl ProvisionRequest {
    /// Parses a request; panics if it is invalid, since a controller must send valid ones only.
    fn read(body: &[u8]) -> Self {
        let message: Value = serde_json::from_slice(body).expect("a provision request is JSON");
        let text = |field: &str| {
            let value = message[field].as_str();
            value
                .unwrap_or_else(|| panic!("a provision request has {field}"))
                .to_owned()
        };
        let number = message["number"]
            .as_u64()
            .expect("a provision request has a number") as usize;
        assert!(
            (1..=MAX_MACHINES_IN_REQUEST).contains(&number),
            "{number} machines in a request"
        );
        Self {
            name: text("hire"),
            number,
            kind: MachineKind {
                machine_type: text("breed"),
                zone: text("paddock"),
                spot: message["loaners"]
                    .as_bool()
                    .expect("a provision request says whether it wants spot machines"),
            },
        }
    }
}

impl Cloud {
    /// Returns how many more machines of a kind can be provisioned.
    fn capacity_left(&self, machine_type: &MachineTypeSpec, kind: &MachineKind) -> usize {
        if self.no_capacity {
            return 0;
        }
        let machines = self.machines.values();
        let taken = machines
            .filter(|provisioned| {
                provisioned.terminated_at.is_none() && provisioned.machine.kind == *kind
            })
            .count();
        let existing = if kind.spot {
            machine_type.spot_count
        } else {
            machine_type.count
        };
        existing.saturating_sub(taken)
    }
}

impl Simulation {
    /// Starts or ends an outage of the cloud's API.
    pub fn set_cloud_down(&self, down: bool) {
        self.cloud.lock().expect("cloud lock").is_down = down;
    }

    /// Starts or ends a fault in which the cloud has no capacity for further machines.
    pub fn set_no_capacity(&self, none: bool) {
        self.cloud.lock().expect("cloud lock").no_capacity = none;
    }

    /// Makes every task fail on machine number `n`, counted from 0 in the order of provisioning.
    /// Must be called before that machine is provisioned.
    pub fn set_machine_faulty(&self, n: usize) {
        self.faulty_machines
            .lock()
            .expect("faulty machines lock")
            .insert(n);
    }

    /// Returns the machines that have booted and are not terminated.
    pub fn machines(&self) -> Vec<Arc<Machine>> {
        let cloud = self.cloud.lock().expect("cloud lock");
        cloud
            .machines
            .values()
            .filter(|provisioned| {
                provisioned.terminated_at.is_none() && provisioned.booted_at.is_some()
            })
            .map(|provisioned| provisioned.machine.clone())
            .filter(|machine| !machine.is_terminated())
            .collect()
    }

    /// Returns the number of machines that are paid for: provisioned and not terminated.
    pub fn paid_machines(&self) -> usize {
        let cloud = self.cloud.lock().expect("cloud lock");
        cloud
            .machines
            .values()
            .filter(|provisioned| {
                provisioned.terminated_at.is_none() && !provisioned.machine.is_terminated()
            })
            .count()
    }

    /// Returns the number of machines ever provisioned.
    pub fn provisioned_machines(&self) -> usize {
        self.cloud.lock().expect("cloud lock").machines.len()
    }

    /// Returns a machine that has booted, even if it has been terminated since.
    pub(super) fn machine(&self, id: &str) -> Option<Arc<Machine>> {
        let cloud = self.cloud.lock().expect("cloud lock");
        let provisioned = cloud.machines.get(id)?;
        provisioned
            .booted_at
            .is_some_and(|at| at <= Instant::now())
            .then(|| provisioned.machine.clone())
    }

    /// Answers a controller's request to the cloud; returns HTTP status and body.
    pub(super) fn serve_cloud(
        self: &Arc<Self>,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Value) {
        if self.cloud.lock().expect("cloud lock").is_down {
            return (503, json!({"error": "trouble"}));
        }
        match (method, path.split('?').next().unwrap_or(path)) {
            ("GET", "/catalog") => {
                let types: Vec<Value> = self
                    .types
                    .iter()
                    .map(MachineTypeSpec::catalog_entry)
                    .collect();
                (200, json!({"breeds": types}))
            }
            ("POST", "/machines") => self.provision(body),
            ("POST", "/machines/return") => {
                self.release(body);
                (200, json!({}))
            }
            ("GET", "/machines") => (
                200,
                json!({"mounts": self.list_machines(), "truncated": false}),
            ),
            _ => (400, json!({"error": path})),
        }
    }

    fn release(&self, body: &[u8]) {
        let message: Value = serde_json::from_slice(body).expect("a release is JSON");
        let ids = message["mounts"].as_array().expect("a release has ids");
        assert!(
            ids.len() <= MAX_MACHINES_IN_RELEASE,
            "too many machines in a release"
        );
        for id in ids {
            self.remove_machine(id.as_str().expect("an id is a string"));
        }
    }

    /// Lists the machines as they were `LIST_LAG` ago.
    fn list_machines(&self) -> Vec<Value> {
        let then = Instant::now().checked_sub(LIST_LAG).unwrap_or(self.start);
        let cloud = self.cloud.lock().expect("cloud lock");
        cloud
            .machines
            .iter()
            .filter(|(_, provisioned)| provisioned.is_listed(then))
            .map(|(id, provisioned)| provisioned.list_entry(id, then))
            .collect()
    }

    /// Provisions the requested machines, or fewer if the capacity does not suffice. A repeated
    /// request returns the same machines.
    fn provision(self: &Arc<Self>, body: &[u8]) -> (u16, Value) {
        let request = ProvisionRequest::read(body);
        let mut cloud = self.cloud.lock().expect("cloud lock");
        if let Some(known) = cloud.provision_requests.get(&request.name) {
            return (200, json!({"mounts": known}));
        }
        let machine_type = self
            .types
            .iter()
            .find(|machine_type| machine_type.name == request.kind.machine_type)
            .expect("a controller asks for types of the catalog");
        let number = cloud
            .capacity_left(machine_type, &request.kind)
            .min(request.number);
        if number == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let ids: Vec<String> = (0..number)
            .map(|_| self.provision_machine(&mut cloud, machine_type, &request.kind))
            .collect();
        cloud.provision_requests.insert(request.name, ids.clone());
        (200, json!({"mounts": ids}))
    }

    /// Adds a machine and boots it unless a fault prevents that; returns its id.
    fn provision_machine(
        self: &Arc<Self>,
        cloud: &mut Cloud,
        machine_type: &MachineTypeSpec,
        kind: &MachineKind,
    ) -> String {
        let id = format!("vm-{:06}", cloud.next_number);
        let is_faulty = self
            .faulty_machines
            .lock()
            .expect("faulty machines lock")
            .contains(&cloud.next_number);
        cloud.next_number += 1;
        let capacity = Capacity {
            cpus: machine_type.cpus,
            memory: machine_type.memory,
        };
        let machine = Arc::new(Machine::new(id.clone(), kind.clone(), capacity, is_faulty));
        cloud.machines.insert(
            id.clone(),
            ProvisionedMachine {
                machine: machine.clone(),
                created_at: Instant::now(),
                booted_at: None,
                terminated_at: None,
            },
        );
        if let Some(boot_time) = self.faults.boot_time(machine_type.boot_s) {
            tokio::spawn(self.clone().boot_machine(machine, boot_time));
        }
        id
    }

    /// Waits for the boot time, then runs the machine unless it has been terminated.
    async fn boot_machine(self: Arc<Self>, machine: Arc<Machine>, boot_time: Duration) {
        tokio::time::sleep(boot_time).await;
        if !self.note_booted(&machine.id) {
            return;
        }
        if let Some(loopback) = &self.loopback {
            let address = loopback.serve_machine(&self, &machine).await;
            machine.address.get_or_init(|| address);
        }
        machine.run(self).await;
    }

    /// Marks the machine as booted; returns false if it was terminated.
    fn note_booted(&self, id: &str) -> bool {
        let mut cloud = self.cloud.lock().expect("cloud lock");
        match cloud.machines.get_mut(id) {
            Some(provisioned) if provisioned.terminated_at.is_none() => {
                provisioned.booted_at = Some(Instant::now());
                true
            }
            _ => false,
        }
    }

    /// Terminates a machine and all tasks on it.
    pub fn remove_machine(&self, id: &str) {
        let machine = {
            let mut cloud = self.cloud.lock().expect("cloud lock");
            let Some(provisioned) = cloud.machines.get_mut(id) else {
                return;
            };
            provisioned.terminated_at.get_or_insert(Instant::now());
            provisioned.machine.clone()
        };
        machine.terminate(self);
    }
}
