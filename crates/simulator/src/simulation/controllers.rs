//! The controllers of the simulated cluster: their processes, versions and leader.

use std::{
    collections::BTreeMap,
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

use super::{ControllerProcess, ControllerSlot, LIST_LAG, SimNet, Simulation};
use crate::{
    loopback::{Loopback, Process},
    state_service::{Limits, StateRates},
    versions::Version,
};

/// Requests that the cloud allows a second.
const CLOUD_RPS: f64 = 5.0;
/// Connections that a controller accepts.
const MAX_CONNECTIONS: usize = 500;
/// Machines that a controller's settings provide for.
const MACHINES_TRACKED: usize = 8_192;
/// The wall clock at the start of a scenario, since the Unix epoch.
const WALL_CLOCK_START: Duration = Duration::from_secs(1_700_000_000);

/// Where a controller is, and the other controllers with their zones.
struct ControllerPlace {
    zone: ZoneName,
    peers: Vec<(ControllerName, ZoneName)>,
}

fn controller_router(controller: &Arc<Controller>) -> Router {
    server::router(controller.clone(), SocketBudget::new(MAX_CONNECTIONS))
}

fn slot_of<'a>(
    controllers: &'a mut BTreeMap<String, ControllerSlot>,
    name: &str,
) -> &'a mut ControllerSlot {
    controllers
        .get_mut(name)
        .expect("a controller of the scenario")
}

impl Simulation {
    /// The names of all controllers, running or not.
    pub fn controller_names(&self) -> Vec<String> {
        self.controllers
            .lock()
            .expect("controllers")
            .keys()
            .cloned()
            .collect()
    }

    /// The sides of a network partition that the controller is on.
    pub(super) fn controller_tags(&self, name: &str) -> Vec<String> {
        let zone = self.controllers.lock().expect("controllers")[name]
            .zone
            .clone();
        vec![name.to_owned(), "controllers".into(), zone]
    }

    /// The server and the incarnation of a running controller.
    pub(super) fn router(&self, name: &str) -> Option<(Router, u64)> {
        let controllers = self.controllers.lock().expect("controllers");
        let running = controllers.get(name)?.running.as_ref()?;
        Some((running.router.clone(), running.incarnation))
    }

    /// Whether this incarnation of the controller still runs.
    pub(super) fn is_alive(&self, name: &str, incarnation: u64) -> bool {
        self.router(name).is_some_and(|(_, now)| now == incarnation)
    }

    /// Starts the controller, unless it runs already.
    pub fn boot_controller(self: &Arc<Self>, name: &str) {
        let Some(place) = self.place_of_stopped(name) else {
            return;
        };
        let incarnation = jitter::uniform(1.0, 1e15) as u64;
        let peers: Vec<ControllerName> = place.peers.iter().map(|(peer, _)| peer.clone()).collect();
        let config = self.controller_config(name, incarnation, place);
        let process = match &self.loopback {
            Some(loopback) => self.start_on_loopback(loopback, name, incarnation, config),
            None => self.start_simulated(name, incarnation, config, &peers),
        };
        let mut controllers = self.controllers.lock().expect("controllers");
        slot_of(&mut controllers, name).running = Some(process);
    }

    /// Zone and peers of a controller that does not run; none: it runs.
    fn place_of_stopped(&self, name: &str) -> Option<ControllerPlace> {
        let controllers = self.controllers.lock().expect("controllers");
        if controllers[name].running.is_some() {
            return None;
        }
        let peers = controllers
            .iter()
            .filter(|(other, _)| *other != name)
            .map(|(other, slot)| {
                let zone = ZoneName::new(slot.zone.as_str());
                (ControllerName::new(other.as_str()), zone)
            })
            .collect();
        Some(ControllerPlace {
            zone: ZoneName::new(controllers[name].zone.as_str()),
            peers,
        })
    }

    fn controller_config(&self, name: &str, incarnation: u64, place: ControllerPlace) -> Config {
        let version = self.version(name);
        let start = self.start;
        Config {
            name: ControllerName::new(name),
            zone: place.zone,
            incarnation: Incarnation(incarnation),
            peers: place.peers,
            teams: self.teams.clone(),
            objectives: Vec::new(),
            heartbeat_interval: self.heartbeat,
            agent_lease: self.lease,
            cancellation_deadline: self.cancel,
            state_limits: self.state_limits_for(version),
            cloud_rps: CLOUD_RPS,
            max_inventory_lag: LIST_LAG,
            max_connections: MAX_CONNECTIONS,
            max_tracked_machines: MACHINES_TRACKED,
            tuning: version.tuning(&self.tuning),
            protocol_version: version.protocol_version(&self.tuning),
            wall_clock: Arc::new(move || {
                SystemTime::UNIX_EPOCH + WALL_CLOCK_START + start.elapsed()
            }),
        }
    }

    /// The state service's limits as the settings of a controller of this version have them.
    fn state_limits_for(&self, version: Version) -> StateLimits {
        let rates = self.state_rates;
        let sizes = self.limits_of(version);
        StateLimits {
            rps: rates.rps,
            write_rps: rates.write_rps,
            next_rps: self.announced_limits.rps.min(rates.rps),
            next_write_rps: self.announced_limits.writes.min(rates.write_rps),
            value_bytes: sizes.value,
            txn_ops: sizes.ops,
        }
    }

    fn start_on_loopback(
        &self,
        loopback: &Loopback,
        name: &str,
        incarnation: u64,
        config: Config,
    ) -> ControllerProcess {
        let ended = {
            let mut controllers = self.controllers.lock().expect("controllers");
            slot_of(&mut controllers, name).ended.take()
        };
        let process = loopback.start(config, ended);
        let controller = process.controller.clone();
        ControllerProcess {
            router: controller_router(&controller),
            controller,
            stop: CancellationToken::new(),
            background_tasks: JoinSet::new(),
            incarnation,
            process: Some(process),
        }
    }

    fn start_simulated(
        self: &Arc<Self>,
        name: &str,
        incarnation: u64,
        config: Config,
        peers: &[ControllerName],
    ) -> ControllerProcess {
        let network = Arc::new(SimNet::new(self, name, incarnation));
        let addresses = Addresses {
            state: "state".into(),
            cloud: "cloud".into(),
            peers: peers
                .iter()
                .map(|peer| (peer.clone(), peer.to_string()))
                .collect(),
        };
        let stop = CancellationToken::new();
        let clients = network_clients::clients(network, addresses);
        let controller = Controller::new(config, clients, stop.clone());
        let mut background_tasks = JoinSet::new();
        controller.start(&mut background_tasks);
        ControllerProcess {
            router: controller_router(&controller),
            controller,
            stop,
            background_tasks,
            incarnation,
            process: None,
        }
    }

    /// Moves this cluster to real sockets.
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

    /// The version that the controller has, or will have from its next start on.
    pub(super) fn version(&self, name: &str) -> Version {
        let versions = self.versions.lock().expect("versions");
        versions.get(name).copied().unwrap_or_default()
    }

    /// What the controller can read and write.
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

    /// Ends the controller's process at once, if it runs.
    pub fn kill_controller(&self, name: &str) {
        let running = {
            let mut controllers = self.controllers.lock().expect("controllers");
            slot_of(&mut controllers, name).running.take()
        };
        let Some(mut running) = running else {
            return;
        };
        running.background_tasks.abort_all();
        running.stop.cancel();
        let ended = running.process.map(Process::kill);
        let mut controllers = self.controllers.lock().expect("controllers");
        slot_of(&mut controllers, name).ended = ended;
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
