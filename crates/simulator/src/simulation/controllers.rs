//! Controllers of the simulated cluster: their processes, configuration, versions and leader.

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

/// Maximum requests per second to the cloud, as configured in the controllers.
const CLOUD_RPS: f64 = 5.0;
/// Maximum number of connections that a controller accepts.
const MAX_CONNECTIONS: usize = 500;
/// Maximum number of machines, as configured in the controllers.
const MACHINES_TRACKED: usize = 8_192;
/// Wall-clock time at the start of a scenario, since the Unix epoch.
const WALL_CLOCK_START: Duration = Duration::from_secs(1_700_000_000);

/// Zone of a controller, and the other controllers with their zones.
struct ControllerLocation {
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
        .expect("the scenario has a controller of this name")
}

impl Simulation {
    /// Returns the names of all controllers, running or not.
    pub fn controller_names(&self) -> Vec<String> {
        self.controllers
            .lock()
            .expect("controllers lock")
            .keys()
            .cloned()
            .collect()
    }

    /// Returns the tags by which network partitions select the controller.
    pub(super) fn controller_tags(&self, name: &str) -> Vec<String> {
        let zone = self.controllers.lock().expect("controllers lock")[name]
            .zone
            .clone();
        vec![name.to_owned(), "controllers".into(), zone]
    }

    /// Returns the HTTP router and the incarnation of a controller, if it is running.
    pub(super) fn router(&self, name: &str) -> Option<(Router, u64)> {
        let controllers = self.controllers.lock().expect("controllers lock");
        let running = controllers.get(name)?.running.as_ref()?;
        Some((running.router.clone(), running.incarnation))
    }

    /// Returns the controller's running process, if there is one.
    pub(super) fn running_controller(&self, name: &str) -> Option<Arc<Controller>> {
        let controllers = self.controllers.lock().expect("controllers lock");
        let running = controllers.get(name)?.running.as_ref()?;
        Some(running.controller.clone())
    }

    /// Whether this incarnation of the controller is still running.
    pub(super) fn is_alive(&self, name: &str, incarnation: u64) -> bool {
        self.router(name).is_some_and(|(_, now)| now == incarnation)
    }

    /// Starts the controller unless it is already running.
    pub fn boot_controller(self: &Arc<Self>, name: &str) {
        let Some(location) = self.location_of_stopped(name) else {
            return;
        };
        let incarnation = jitter::uniform(1.0, 1e15) as u64;
        let peers: Vec<ControllerName> = location
            .peers
            .iter()
            .map(|(peer, _)| peer.clone())
            .collect();
        let config = self.controller_config(name, incarnation, location);
        let process = match &self.loopback {
            Some(loopback) => self.start_on_loopback(loopback, name, incarnation, config),
            None => self.start_simulated(name, incarnation, config, &peers),
        };
        let mut controllers = self.controllers.lock().expect("controllers lock");
        slot_of(&mut controllers, name).running = Some(process);
    }

    /// Returns zone and peers of a stopped controller, or `None` if it is running.
    fn location_of_stopped(&self, name: &str) -> Option<ControllerLocation> {
        let controllers = self.controllers.lock().expect("controllers lock");
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
        Some(ControllerLocation {
            zone: ZoneName::new(controllers[name].zone.as_str()),
            peers,
        })
    }

    fn controller_config(
        &self,
        name: &str,
        incarnation: u64,
        location: ControllerLocation,
    ) -> Config {
        let version = self.version(name);
        let start = self.start;
        Config {
            name: ControllerName::new(name),
            zone: location.zone,
            incarnation: Incarnation(incarnation),
            peers: location.peers,
            teams: self.teams.clone(),
            objectives: Vec::new(),
            heartbeat_interval: self.heartbeat_interval,
            agent_lease: self.agent_lease,
            cancellation_deadline: self.max_cancel_time,
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

    /// Returns the state service's limits as configured in a controller of this version.
    fn state_limits_for(&self, version: Version) -> StateLimits {
        let rates = self.state_rates;
        let sizes = self.limits_of(version);
        StateLimits {
            rps: rates.rps,
            write_rps: rates.write_rps,
            next_rps: self.announced_limits.rps.min(rates.rps),
            next_write_rps: self.announced_limits.write_rps.min(rates.write_rps),
            value_bytes: sizes.value_bytes,
            txn_ops: sizes.txn_ops,
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
            let mut controllers = self.controllers.lock().expect("controllers lock");
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

    /// Switches this cluster to loopback mode (real sockets).
    pub fn use_loopback(&mut self) {
        self.loopback = Some(Loopback::default());
    }

    /// Starts the listeners of the state service and the cloud in loopback mode; does nothing if
    /// the network is simulated.
    pub async fn serve_services(self: &Arc<Self>) {
        if let Some(loopback) = &self.loopback {
            for name in self.controller_names() {
                loopback.serve_services(self, &name).await;
            }
        }
    }

    /// Returns the size limits that controllers of a version respect: the announced ones, or the
    /// defaults for the oldest version, which does not know the announced limits.
    pub(super) fn limits_of(&self, version: Version) -> Limits {
        match version {
            Version::BeforeGangs => Limits::default(),
            Version::Gangs | Version::BeforeTransfers | Version::Current => {
                self.announced_limits.clone()
            }
        }
    }

    /// Sets the version with which the controller runs from its next start.
    pub fn set_version(&self, name: &str, version: Version) {
        let mut versions = self.versions.lock().expect("versions lock");
        versions.insert(name.to_owned(), version);
    }

    /// Returns the controller's version: the one last set, even before the restart.
    pub(super) fn version(&self, name: &str) -> Version {
        let versions = self.versions.lock().expect("versions lock");
        versions.get(name).copied().unwrap_or_default()
    }

    /// Returns the protocol version that the controller announces.
    pub(super) fn protocol_version_of(&self, name: &str) -> ProtocolVersion {
        self.version(name).protocol_version(&self.tuning)
    }

    /// Lowers the state service's limits to the announced ones.
    pub fn lower_limits(&self) {
        let announced = &self.announced_limits;
        self.state.set_limits(StateRates {
            rps: announced.rps,
            write_rps: announced.write_rps,
        });
        self.state
            .set_size_limits(announced.txn_ops, announced.value_bytes);
    }

    /// Kills the controller's process if it is running.
    pub fn kill_controller(&self, name: &str) {
        let running = {
            let mut controllers = self.controllers.lock().expect("controllers lock");
            slot_of(&mut controllers, name).running.take()
        };
        let Some(mut running) = running else {
            return;
        };
        running.background_tasks.abort_all();
        running.stop.cancel();
        let ended = running.process.map(Process::kill);
        let mut controllers = self.controllers.lock().expect("controllers lock");
        slot_of(&mut controllers, name).ended = ended;
    }

    /// Returns the first running controller that is the leader according to its own state cache.
    pub fn leader(&self) -> Option<String> {
        let controllers = self.controllers.lock().expect("controllers lock");
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

    /// Returns name and incarnation of the leading controller, which identify its process.
    pub fn leader_incarnation(&self) -> Option<String> {
        let name = self.leader()?;
        let controllers = self.controllers.lock().expect("controllers lock");
        let incarnation = controllers.get(&name)?.running.as_ref()?.incarnation;
        Some(format!("{name}-{incarnation}"))
    }
}
