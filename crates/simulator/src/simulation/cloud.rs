//! The cloud of the simulated world: provision requests, boots and lists machines.

use std::sync::Arc;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::{LIST_LAG, ProvisionedMachine, Simulation};
use crate::{agent::Machine, rules::Place};

impl Simulation {
    pub fn set_cloud(&self, down: bool) {
        self.cloud.lock().expect("cloud").down = down;
    }

    pub fn set_no_capacity(&self, none: bool) {
        self.cloud.lock().expect("cloud").no_capacity = none;
    }

    /// The n-th machine ever provisioned fails whatever runs on it.
    pub fn set_faulty(&self, n: usize) {
        self.faulty.lock().expect("faulty").insert(n);
    }

    pub fn machines(&self) -> Vec<Arc<Machine>> {
        let cloud = self.cloud.lock().expect("cloud");
        cloud
            .machines
            .values()
            .filter(|provisioned| {
                provisioned.terminated_at.is_none() && provisioned.up_at.is_some()
            })
            .map(|provisioned| provisioned.machine.clone())
            .filter(|machine| !machine.is_terminated())
            .collect()
    }

    /// Machines that are paid for.
    pub fn paid(&self) -> usize {
        let cloud = self.cloud.lock().expect("cloud");
        cloud
            .machines
            .values()
            .filter(|provisioned| {
                provisioned.terminated_at.is_none() && !provisioned.machine.is_terminated()
            })
            .count()
    }

    /// Machines ever provisioned.
    pub fn provisioned(&self) -> usize {
        self.cloud.lock().expect("cloud").machines.len()
    }

    pub(super) fn machine(&self, id: &str) -> Option<Arc<Machine>> {
        let cloud = self.cloud.lock().expect("cloud");
        let provisioned = cloud.machines.get(id)?;
        provisioned
            .up_at
            .is_some_and(|at| at <= Instant::now())
            .then(|| provisioned.machine.clone())
    }

    pub(super) async fn serve_cloud(
        self: &Arc<Self>,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Value) {
        if self.cloud.lock().expect("cloud").down {
            return (503, json!({"error": "trouble"}));
        }
        match (method, path.split('?').next().unwrap_or(path)) {
            ("GET", "/catalog") => {
                let breeds: Vec<Value> = self
                    .types
                    .iter()
                    .map(|t| {
                        json!({"label": t.name, "cpus": t.cpus, "gpus": 0, "ram_gb": t.memory,
                            "cache_gb": 40.0, "fetch_gb_per_s": 0.5, "rate": t.price,
                            "market_price": t.spot_price, "boot_s": t.boot, "paddocks": t.zones})
                    })
                    .collect();
                (200, json!({"breeds": breeds}))
            }
            ("POST", "/machines") => self.provision(body),
            ("POST", "/machines/return") => {
                let message: Value = serde_json::from_slice(body).expect("a return");
                let names = message["mounts"].as_array().expect("names").clone();
                assert!(names.len() <= 100, "too many names in a return");
                for name in names {
                    self.remove(name.as_str().expect("a name"));
                }
                (200, json!({}))
            }
            ("GET", "/machines") => {
                let then = Instant::now().checked_sub(LIST_LAG).unwrap_or(self.start);
                let cloud = self.cloud.lock().expect("cloud");
                let mounts: Vec<Value> = cloud
                    .machines
                    .iter()
                    .filter(|(_, r)| {
                        r.created <= then && r.terminated_at.is_none_or(|at| at > then)
                    })
                    .map(|(id, r)| {
                        let up = r.up_at.is_some_and(|at| at <= then);
                        json!({"uid": id, "addr": id, "breed": r.machine.place.kind,
                            "paddock": r.machine.place.zone, "loaners": r.machine.place.spot,
                            "stance": if up { "running" } else { "starting" },
                            "age_s": (then - r.created).as_secs_f64()})
                    })
                    .collect();
                (200, json!({"mounts": mounts, "truncated": false}))
            }
            _ => (400, json!({"error": path})),
        }
    }

    pub(super) fn provision(self: &Arc<Self>, body: &[u8]) -> (u16, Value) {
        let message: Value = serde_json::from_slice(body).expect("a rent");
        let name = message["hire"].as_str().expect("hire").to_owned();
        let number = message["number"].as_u64().expect("number") as usize;
        assert!((1..=50).contains(&number), "{number} machines in a request");
        let place = Place {
            kind: message["breed"].as_str().expect("breed").into(),
            zone: message["paddock"].as_str().expect("paddock").into(),
            spot: message["loaners"].as_bool().expect("loaners"),
        };
        let mut cloud = self.cloud.lock().expect("cloud");
        if let Some(known) = cloud.provision_requests.get(&name) {
            return (200, json!({"mounts": known}));
        }
        let kind = self
            .types
            .iter()
            .find(|t| t.name == place.kind)
            .expect("a type of the catalog")
            .clone();
        let taken = cloud
            .machines
            .values()
            .filter(|r| {
                let other = &r.machine.place;
                r.terminated_at.is_none()
                    && other.kind == place.kind
                    && other.zone == place.zone
                    && other.spot == place.spot
            })
            .count();
        let room = if place.spot {
            kind.spot_count
        } else {
            kind.count
        };
        let free = if cloud.no_capacity {
            0
        } else {
            room.saturating_sub(taken).min(number)
        };
        if free == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..free {
            let id = format!("vm-{:06}", cloud.next);
            let faulty = self.faulty.lock().expect("faulty").contains(&cloud.next);
            cloud.next += 1;
            let machine = Arc::new(Machine::new(
                id.clone(),
                place.clone(),
                kind.cpus,
                kind.memory,
                faulty,
            ));
            cloud.machines.insert(
                id.clone(),
                ProvisionedMachine {
                    machine: machine.clone(),
                    created: Instant::now(),
                    up_at: None,
                    terminated_at: None,
                },
            );
            names.push(id.clone());
            let Some(boot) = self.faults.boot_time(kind.boot) else {
                continue;
            };
            let (simulation, booted) = (self.clone(), id.clone());
            tokio::spawn(async move {
                tokio::time::sleep(boot).await;
                {
                    let mut cloud = simulation.cloud.lock().expect("cloud");
                    match cloud.machines.get_mut(&booted) {
                        Some(provisioned) if provisioned.terminated_at.is_none() => {
                            provisioned.up_at = Some(Instant::now());
                        }
                        _ => return,
                    }
                }
                if let Some(loopback) = &simulation.loopback {
                    let address = loopback.serve_machine(&simulation, &machine).await;
                    machine.address.get_or_init(|| address);
                }
                machine.live(simulation).await;
            });
        }
        cloud.provision_requests.insert(name, names.clone());
        (200, json!({"mounts": names}))
    }

    /// The machine and all that was on it are gone.
    pub fn remove(&self, id: &str) {
        let machine = {
            let mut cloud = self.cloud.lock().expect("cloud");
            let Some(provisioned) = cloud.machines.get_mut(id) else {
                return;
            };
            provisioned.terminated_at.get_or_insert(Instant::now());
            provisioned.machine.clone()
        };
        machine.terminate(self);
    }
}
