//! The controllers of the simulated cluster: their processes, versions and leader.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use axum::Router;
use stallcove::{
    coordination::{Config, Controller, clients::ProtocolVersion},
    storage::*,
    transport::{
        network_clients::{self, Addresses},
        server,
        sockets::SocketBudget,
    },
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::{ControllerProcess, LIST_LAG, SimNet, Simulation};
use crate::{
    loopback::{Loopback, Process},
    state_service::{Limits, StateRates},
    versions::Version,
};

impl Simulation {
    pub fn controller_names(&self) -> Vec<String> {
        self.controllers
            .lock()
            .expect("controllers")
            .keys()
            .cloned()
            .collect()
    }

    pub(super) fn controller_tags(&self, name: &str) -> Vec<String> {
        let zone = self.controllers.lock().expect("controllers")[name]
            .zone
            .clone();
        vec![name.to_owned(), "controllers".into(), zone]
    }

    pub(super) fn router(&self, name: &str) -> Option<(Router, u64)> {
        let controllers = self.controllers.lock().expect("controllers");
        let running = controllers.get(name)?.running.as_ref()?;
        Some((running.router.clone(), running.incarnation))
    }

    pub(super) fn is_alive(&self, name: &str, incarnation: u64) -> bool {
        self.router(name).is_some_and(|(_, now)| now == incarnation)
    }

    pub fn boot_controller(self: &Arc<Self>, name: &str) {
        let (zone, peers) = {
            let controllers = self.controllers.lock().expect("controllers");
            if controllers[name].running.is_some() {
                return;
            }
            let peers = controllers
                .iter()
                .filter(|(other, _)| *other != name)
                .map(|(other, slot)| {
                    (
                        ControllerName::new(other.as_str()),
                        ZoneName::new(slot.zone.as_str()),
                    )
                })
                .collect::<Vec<_>>();
            (controllers[name].zone.clone(), peers)
        };
        let incarnation = jitter::uniform(1.0, 1e15) as u64;
        let version = self.version(name);
        let start = self.start;
        let config = Config {
            name: ControllerName::new(name),
            zone: ZoneName::new(zone),
            incarnation: Incarnation(incarnation),
            peers: peers.clone(),
            teams: self.teams.clone(),
            objectives: Vec::new(),
            heartbeat_interval: self.heartbeat,
            agent_lease: self.lease,
            cancel: self.cancel,
            state: StateLimits {
                rps: self.state_rates.rps,
                write_rps: self.state_rates.write_rps,
                next_rps: self.announced_limits.rps.min(self.state_rates.rps),
                next_write_rps: self.announced_limits.writes.min(self.state_rates.write_rps),
                value_bytes: self.limits_of(version).value,
                txn_ops: self.limits_of(version).ops,
            },
            cloud_rps: 5.0,
            list_lag: LIST_LAG,
            max_connections: 500,
            machines_tracked: 8_192,
            tuning: version.tuning(&self.tuning),
            protocol_version: version.protocol_version(&self.tuning),
            wall: Arc::new(move || {
                SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000) + start.elapsed()
            }),
        };
        if let Some(loopback) = &self.loopback {
            let ended = {
                let mut controllers = self.controllers.lock().expect("controllers");
                controllers
                    .get_mut(name)
                    .expect("a controller of the scenario")
                    .ended
                    .take()
            };
            let process = loopback.start(config, ended);
            let controller = process.controller.clone();
            self.set_running(
                name,
                controller,
                CancellationToken::new(),
                JoinSet::new(),
                incarnation,
                Some(process),
            );
            return;
        }
        let net = Arc::new(SimNet::new(self, name, incarnation));
        let addresses = peers
            .iter()
            .map(|(peer, _)| (peer.clone(), peer.to_string()))
            .collect();
        let stop = CancellationToken::new();
        let controller = Controller::new(
            config,
            network_clients::clients(
                net,
                Addresses {
                    state: "state".into(),
                    cloud: "cloud".into(),
                    peers: addresses,
                },
            ),
            stop.clone(),
        );
        let mut duties = JoinSet::new();
        controller.start(&mut duties);
        self.set_running(name, controller, stop, duties, incarnation, None);
    }

    fn set_running(
        &self,
        name: &str,
        controller: Arc<Controller>,
        stop: CancellationToken,
        duties: JoinSet<&'static str>,
        incarnation: u64,
        process: Option<Process>,
    ) {
        let running = ControllerProcess {
            router: server::router(controller.clone(), SocketBudget::new(500)),
            controller,
            stop,
            duties,
            incarnation,
            process,
        };
        let mut controllers = self.controllers.lock().expect("controllers");
        controllers
            .get_mut(name)
            .expect("a controller of the scenario")
            .running = Some(running);
    }

    /// Moves this world to real sockets.
    pub fn use_loopback(&mut self) {
        self.loopback = Some(Loopback::default());
    }

    /// With real sockets: lets state service and cloud listen.
    pub async fn serve_services(self: &Arc<Self>) {
        if let Some(loopback) = &self.loopback {
            for name in self.controller_names() {
                loopback.serve_services(self, &name).await;
            }
        }
    }

    /// The sizes that a version keeps to: the oldest knows nothing of limits to come.
    pub(super) fn limits_of(&self, version: Version) -> Limits {
        match version {
            Version::BeforeGangs => Limits::default(),
            Version::Gangs | Version::BeforeTransfers | Version::Current => {
                self.announced_limits.clone()
            }
        }
    }

    /// The controller is of this version from its next start on.
    pub fn set_version(&self, name: &str, version: Version) {
        let mut versions = self.versions.lock().expect("versions");
        versions.insert(name.to_owned(), version);
    }

    pub(super) fn version(&self, name: &str) -> Version {
        let versions = self.versions.lock().expect("versions");
        versions.get(name).copied().unwrap_or_default()
    }

    pub(super) fn protocol_version_of(&self, name: &str) -> ProtocolVersion {
        self.version(name).protocol_version(&self.tuning)
    }

    /// The state service's limits fall to those that were announced.
    pub fn lower_limits(&self) {
        let announced = &self.announced_limits;
        self.state.set_limits(StateRates {
            rps: announced.rps,
            write_rps: announced.writes,
        });
        self.state.set_sizes(announced.ops, announced.value);
    }

    pub fn kill_controller(&self, name: &str) {
        let running = {
            let mut controllers = self.controllers.lock().expect("controllers");
            controllers
                .get_mut(name)
                .expect("a controller of the scenario")
                .running
                .take()
        };
        if let Some(mut running) = running {
            running.duties.abort_all();
            running.stop.cancel();
            let ended = running.process.map(Process::kill);
            let mut controllers = self.controllers.lock().expect("controllers");
            controllers
                .get_mut(name)
                .expect("a controller of the scenario")
                .ended = ended;
        }
    }

    /// The controller that leads, as far as anybody thinks so.
    pub fn leader(&self) -> Option<String> {
        let controllers = self.controllers.lock().expect("controllers");
        controllers
            .iter()
            .filter_map(|(name, slot)| Some((name, slot.running.as_ref()?)))
            .find(|(name, running)| {
                let cache = running.controller.context.store.cache();
                cache
                    .leader
                    .as_ref()
                    .is_some_and(|entry| entry.value.controller.as_str() == name.as_str())
            })
            .map(|(name, _)| name.clone())
    }

    /// The leading process: its controller, and which incarnation of that controller.
    pub fn leader_incarnation(&self) -> Option<String> {
        let name = self.leader()?;
        let controllers = self.controllers.lock().expect("controllers");
        let incarnation = controllers.get(&name)?.running.as_ref()?.incarnation;
        Some(format!("{name}-{incarnation}"))
    }
}
