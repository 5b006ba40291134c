//! Loopback mode: real sockets replace the simulated network. Each controller is a thread with
//! its own runtime, and the state service, the cloud and the agents listen on addresses of the
//! loopback range. Time is real.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
        mpsc,
    },
    thread::JoinHandle,
    time::Duration,
};

use axum::{
    Router,
    body::{Body, Bytes},
    extract::State,
    http::{Request, StatusCode},
    response::{IntoResponse, Response},
};
use stallcove::{
    coordination::{Config, Controller},
    storage::ControllerName,
    transport::{
        HttpRequest, Network,
        http::HttpNetwork,
        network::{Destination, Method},
        network_clients, peer_connections, server,
        sockets::SocketBudget,
    },
};
use tokio::{net::TcpListener, runtime::Handle, task::JoinSet};
use tokio_util::sync::CancellationToken;

use crate::{
    agent::Machine,
    simulation::{SimNet, Simulation},
};

/// Ports on each controller's address.
const PUBLIC_PORT: u16 = 8080;
const PRIVATE_PORT: u16 = 8081;
const STATE_PORT: u16 = 8082;
const CLOUD_PORT: u16 = 8083;
/// Port of the first machine, on the address that all machines share.
const FIRST_MACHINE_PORT: u16 = 10_000;
/// Last octet of the address that all machines share.
const MACHINES_HOST: u8 = 250;
/// Maximum number of open sockets of a controller.
const MAX_SOCKETS: usize = 500;
/// Time after which a request that the simulator leaves unanswered is closed; long polls get a
/// multiple of it.
const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a user or an agent waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The addresses of one simulated cluster.
pub struct Loopback {
    /// Second and third octet of all addresses, derived from the process id, so that test
    /// processes on the same machine use different addresses.
    network_octets: [u8; 2],
    next_machine_port: AtomicU16,
    /// HTTP client of users and agents.
    client: HttpNetwork,
}

impl Default for Loopback {
    fn default() -> Self {
        let process = std::process::id();
        Self {
            network_octets: [(process >> 8) as u8 | 1, process as u8],
            next_machine_port: AtomicU16::new(FIRST_MACHINE_PORT),
            client: HttpNetwork::new(SocketBudget::new(4 * MAX_SOCKETS)),
        }
    }
}

impl Loopback {
    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b] = self.network_octets;
        SocketAddr::from((Ipv4Addr::new(127, a, b, host), port))
    }

    /// Returns a controller's address. Controllers are named `n0`, `n1` and so on.
    fn controller_address(&self, name: &str, port: u16) -> SocketAddr {
        let number: u8 = name[1..].parse().expect("a controller is named n<number>");
        self.address(number + 1, port)
    }

    /// Sends a request of a user or an agent to a controller; returns `None` if there is no
    /// answer.
    pub async fn request(
        &self,
        controller: &str,
        method: &str,
        path: &str,
        body: String,
    ) -> Option<(u16, String)> {
        let request = HttpRequest {
            destination: Destination::Service,
            address: self.controller_address(controller, PUBLIC_PORT).to_string(),
            method: if method == "GET" {
                Method::Get
            } else {
                Method::Post
            },
            path: path.to_owned(),
            body: body.into(),
            timeout: REQUEST_TIMEOUT,
        };
        let reply = self.client.send_request(request).await.ok()?;
        Some((
            reply.status,
            String::from_utf8_lossy(&reply.body).into_owned(),
        ))
    }

    /// Starts listeners of the state service and the cloud for one controller.
    pub async fn serve_services(&self, simulation: &Arc<Simulation>, controller: &str) {
        for (service, port) in [("state", STATE_PORT), ("cloud", CLOUD_PORT)] {
            let gateway = Gateway {
                simulation: simulation.clone(),
                controller: controller.to_owned(),
                service,
            };
            let router = Router::new().fallback(forward).with_state(gateway);
            serve(self.controller_address(controller, port), router).await;
        }
    }

    /// Starts a listener for a machine's agent; returns its address.
    pub async fn serve_machine(
        &self,
        simulation: &Arc<Simulation>,
        machine: &Arc<Machine>,
    ) -> String {
        let port = self.next_machine_port.fetch_add(1, Ordering::Relaxed);
        let address = self.address(MACHINES_HOST, port);
        let state = (simulation.clone(), machine.clone());
        let router = Router::new().fallback(answer_for_machine).with_state(state);
        serve(address, router).await;
        address.to_string()
    }

    /// Starts a controller's process. `previous` is the thread of the process that used the same
    /// addresses before.
    pub fn start(&self, config: Config, previous: Option<JoinHandle<()>>) -> Process {
        let name = config.name.as_str();
        let addresses = Addresses {
            public: self.controller_address(name, PUBLIC_PORT),
            private: self.controller_address(name, PRIVATE_PORT),
            state: self.controller_address(name, STATE_PORT),
            cloud: self.controller_address(name, CLOUD_PORT),
            peers: config
                .peers
                .iter()
                .map(|(peer, _)| {
                    (
                        peer.clone(),
                        self.controller_address(peer.as_str(), PRIVATE_PORT)
                            .to_string(),
                    )
                })
                .collect(),
        };
        let stop = CancellationToken::new();
        let (started, controller) = mpsc::channel();
        let thread = {
            let stop = stop.clone();
            std::thread::spawn(move || run(config, addresses, previous, stop, &started))
        };
        let (controller, handle) = controller.recv().expect("the controller's thread starts");
        Process {
            controller,
            handle,
            stop,
            thread,
        }
    }
}

/// Addresses on which a controller listens, and those of the services and its peers.
struct Addresses {
    public: SocketAddr,
    private: SocketAddr,
    state: SocketAddr,
    cloud: SocketAddr,
    peers: HashMap<ControllerName, String>,
}

/// A controller's process, simulated by a thread with its own runtime.
pub struct Process {
    /// The controller that runs in the process.
    pub controller: Arc<Controller>,
    handle: Handle,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl Process {
    /// Kills the process: it stops at once, without finishing its work, and its sockets are
    /// closed. Returns its thread, which must be joined before its addresses are used again.
    pub fn kill(self) -> JoinHandle<()> {
        self.stop.cancel();
        self.thread
    }

    /// Pauses the process for this long by blocking its only thread; its clocks keep running.
    pub fn pause(&self, time: Duration) {
        self.handle.spawn(async move { std::thread::sleep(time) });
    }
}

/// Runs a controller's thread. Waits for the end of the previous process before it binds the
/// same addresses.
fn run(
    config: Config,
    addresses: Addresses,
    previous: Option<JoinHandle<()>>,
    stop: CancellationToken,
    started: &mpsc::Sender<(Arc<Controller>, Handle)>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let sockets = SocketBudget::new(MAX_SOCKETS);
    let net: Arc<dyn Network> = Arc::new(HttpNetwork::new(sockets.clone()));
    let controller = Controller::new(
        config,
        network_clients::clients(
            net,
            network_clients::Addresses {
                state: addresses.state.to_string(),
                cloud: addresses.cloud.to_string(),
                peers: addresses.peers,
            },
        ),
        stop.clone(),
    );
    // The receiver is gone only if the test has ended.
    let _ = started.send((controller.clone(), runtime.handle().clone()));
    if let Some(previous) = previous {
        // A paused process keeps its addresses until it resumes.
        previous
            .join()
            .expect("the previous process ends without a panic");
    }
    runtime.block_on(serve_controller(
        &controller,
        addresses.public,
        addresses.private,
        &sockets,
        &stop,
    ));
    runtime.shutdown_background();
}

/// Runs the controller's background tasks and its two servers until it is stopped.
async fn serve_controller(
    controller: &Arc<Controller>,
    public: SocketAddr,
    private: SocketAddr,
    sockets: &SocketBudget,
    stop: &CancellationToken,
) {
    let public = TcpListener::bind(public)
        .await
        .expect("the loopback address is free");
    let private = TcpListener::bind(private)
        .await
        .expect("the loopback address is free");
    let mut background_tasks = JoinSet::new();
    controller.start(&mut background_tasks);
    let router = server::router(controller.clone(), sockets.clone());
    background_tasks.spawn({
        let (sockets, stop) = (sockets.clone(), stop.clone());
        async move {
            server::serve(router, public, sockets, stop).await;
            "server"
        }
    });
    background_tasks.spawn({
        let (controller, sockets, stop) = (controller.clone(), sockets.clone(), stop.clone());
        async move {
            peer_connections::serve(controller, private, sockets, stop).await;
            "links"
        }
    });
    stop.cancelled().await;
    background_tasks.abort_all();
}

/// Forwards requests of one controller to a simulated service.
#[derive(Clone)]
struct Gateway {
    simulation: Arc<Simulation>,
    controller: String,
    service: &'static str,
}

async fn serve(address: SocketAddr, router: Router) {
    let listener = TcpListener::bind(address)
        .await
        .expect("the loopback address is free");
    let sockets = SocketBudget::new(4 * MAX_SOCKETS);
    tokio::spawn(server::serve(
        router,
        listener,
        sockets,
        CancellationToken::new(),
    ));
}

async fn forward(State(gateway): State<Gateway>, request: Request<Body>) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let request = HttpRequest {
        destination: Destination::Service,
        address: gateway.service.to_owned(),
        method: match parts.method.as_str() {
            "GET" => Method::Get,
            "DELETE" => Method::Delete,
            _ => Method::Post,
        },
        path: parts
            .uri
            .path_and_query()
            .map_or_else(String::new, ToString::to_string),
        body,
        timeout: UNANSWERED_TIMEOUT,
    };
    let is_long_poll = request.path.starts_with("/follow");
    let network = SimNet::of_running(&gateway.simulation, &gateway.controller);
    let answer = async {
        match network {
            Some(network) => network.send(request).await.ok(),
            None => None,
        }
    };
    let timeout = if is_long_poll {
        UNANSWERED_TIMEOUT * 4
    } else {
        UNANSWERED_TIMEOUT
    };
    match tokio::time::timeout(timeout, answer).await {
        Ok(Some(reply)) => reply_with(reply.status, reply.body),
        // The caller's own timeout has expired by now.
        _ => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

async fn answer_for_machine(
    State((simulation, machine)): State<(Arc<Simulation>, Arc<Machine>)>,
    request: Request<Body>,
) -> Response {
    let path = request.uri().path().to_owned();
    let Ok(body) = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    if machine.is_terminated() {
        std::future::pending::<()>().await;
    }
    let (status, value) = machine.handle(&simulation, &path, &body).await;
    reply_with(status, Bytes::from(value.to_string()))
}

fn reply_with(status: u16, body: Bytes) -> Response {
    let status = StatusCode::from_u16(status).expect("a valid HTTP status");
    (status, body).into_response()
}
