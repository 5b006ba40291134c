//! Real sockets in place of the simulated network: each controller is a thread with a
//! runtime of its own, and the state service, the cloud and the agents listen on
//! addresses of the loopback range. Time is real.

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

/// Ports of each controller's address.
const PUBLIC_PORT: u16 = 8080;
const PRIVATE_PORT: u16 = 8081;
const STATE_PORT: u16 = 8082;
const CLOUD_PORT: u16 = 8083;
/// The first machine's port, on the address of the machines.
const FIRST_MACHINE_PORT: u16 = 10_000;
/// The host number of all machines.
const MACHINES_HOST: u8 = 250;
/// Sockets that a controller may have open.
const SOCKETS: usize = 500;
/// A request that the simulator leaves unanswered ends by then.
const UNANSWERED: Duration = Duration::from_secs(6);
/// How long a user or an agent waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest body of a request.
const BODY_LIMIT: usize = 1 << 20;

/// The addresses of one simulated cluster.
pub struct Loopback {
    /// Two bytes that tell this test process from others on the machine.
    network: [u8; 2],
    next_machine: AtomicU16,
    /// For users and agents.
    client: HttpNetwork,
}

impl Default for Loopback {
    fn default() -> Self {
        let process = std::process::id();
        Self {
            network: [(process >> 8) as u8 | 1, process as u8],
            next_machine: AtomicU16::new(FIRST_MACHINE_PORT),
            client: HttpNetwork::new(SocketBudget::new(4 * SOCKETS)),
        }
    }
}

impl Loopback {
    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b] = self.network;
        SocketAddr::from((Ipv4Addr::new(127, a, b, host), port))
    }

    /// Controllers are named `n0`, `n1` and so on.
    fn of_controller(&self, name: &str, port: u16) -> SocketAddr {
        let number: u8 = name[1..].parse().expect("a controller's number");
        self.address(number + 1, port)
    }

    /// A request of a user or an agent to a controller; none: no answer.
    pub async fn request(
        &self,
        controller: &str,
        method: &str,
        path: &str,
        body: String,
    ) -> Option<(u16, String)> {
        let request = HttpRequest {
            destination: Destination::Service,
            address: self.of_controller(controller, PUBLIC_PORT).to_string(),
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

    /// Lets the state service and the cloud listen for one controller.
    pub async fn serve_services(&self, simulation: &Arc<Simulation>, controller: &str) {
        for (service, port) in [("state", STATE_PORT), ("cloud", CLOUD_PORT)] {
            let gateway = Gateway {
                simulation: simulation.clone(),
                controller: controller.to_owned(),
                service,
            };
            let router = Router::new().fallback(forward).with_state(gateway);
            serve(self.of_controller(controller, port), router).await;
        }
    }

    /// Lets a machine's agent listen; its address.
    pub async fn serve_machine(
        &self,
        simulation: &Arc<Simulation>,
        machine: &Arc<Machine>,
    ) -> String {
        let port = self.next_machine.fetch_add(1, Ordering::Relaxed);
        let address = self.address(MACHINES_HOST, port);
        let state = (simulation.clone(), machine.clone());
        let router = Router::new().fallback(answer_for_machine).with_state(state);
        serve(address, router).await;
        address.to_string()
    }

    /// Starts a controller's process. `before`: the process that had its addresses.
    pub fn start(&self, config: Config, before: Option<JoinHandle<()>>) -> Process {
        let name = config.name.as_str();
        let addresses = Addresses {
            public: self.of_controller(name, PUBLIC_PORT),
            private: self.of_controller(name, PRIVATE_PORT),
            state: self.of_controller(name, STATE_PORT),
            cloud: self.of_controller(name, CLOUD_PORT),
            peers: config
                .peers
                .iter()
                .map(|(peer, _)| {
                    (
                        peer.clone(),
                        self.of_controller(peer.as_str(), PRIVATE_PORT).to_string(),
                    )
                })
                .collect(),
        };
        let stop = CancellationToken::new();
        let (started, controller) = mpsc::channel();
        let thread = {
            let stop = stop.clone();
            std::thread::spawn(move || run(config, addresses, before, stop, &started))
        };
        let (controller, handle) = controller.recv().expect("the process starts");
        Process {
            controller,
            handle,
            stop,
            thread,
        }
    }
}

/// Where a controller listens, and where it reaches the others.
struct Addresses {
    public: SocketAddr,
    private: SocketAddr,
    state: SocketAddr,
    cloud: SocketAddr,
    peers: HashMap<ControllerName, String>,
}

/// A controller, as a thread with a runtime of its own.
pub struct Process {
    /// The controller that runs in it.
    pub controller: Arc<Controller>,
    handle: Handle,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl Process {
    /// Ends it at once: its sockets close, whatever it was about to do. Its thread, to wait for.
    pub fn kill(self) -> JoinHandle<()> {
        self.stop.cancel();
        self.thread
    }

    /// The process stands still while its clocks run on.
    pub fn pause(&self, time: Duration) {
        self.handle.spawn(async move { std::thread::sleep(time) });
    }
}

/// The thread of a controller: the process that had its addresses before must have ended.
fn run(
    config: Config,
    addresses: Addresses,
    before: Option<JoinHandle<()>>,
    stop: CancellationToken,
    started: &mpsc::Sender<(Arc<Controller>, Handle)>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let sockets = SocketBudget::new(SOCKETS);
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
    // Nobody waits for it only if the test has ended.
    let _ = started.send((controller.clone(), runtime.handle().clone()));
    if let Some(before) = before {
        // A paused process keeps its addresses until it goes on.
        before.join().expect("the process before ends in order");
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
    let public = TcpListener::bind(public).await.expect("a free port");
    let private = TcpListener::bind(private).await.expect("a free port");
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

/// What a service answers to one controller.
#[derive(Clone)]
struct Gateway {
    simulation: Arc<Simulation>,
    controller: String,
    service: &'static str,
}

async fn serve(address: SocketAddr, router: Router) {
    let listener = TcpListener::bind(address).await.expect("a free port");
    let sockets = SocketBudget::new(4 * SOCKETS);
    tokio::spawn(server::serve(
        router,
        listener,
        sockets,
        CancellationToken::new(),
    ));
}

async fn forward(State(gateway): State<Gateway>, request: Request<Body>) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, BODY_LIMIT).await else {
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
        timeout: UNANSWERED,
    };
    let held = request.path.starts_with("/follow");
    let network = SimNet::of_living(&gateway.simulation, &gateway.controller);
    let answer = async {
        match network {
            Some(network) => network.send(request).await.ok(),
            None => None,
        }
    };
    let patience = if held { UNANSWERED * 4 } else { UNANSWERED };
    match tokio::time::timeout(patience, answer).await {
        Ok(Some(reply)) => reply_with(reply.status, reply.body),
        // The caller has given up by now.
        _ => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

async fn answer_for_machine(
    State((simulation, machine)): State<(Arc<Simulation>, Arc<Machine>)>,
    request: Request<Body>,
) -> Response {
    let path = request.uri().path().to_owned();
    let Ok(body) = axum::body::to_bytes(request.into_body(), BODY_LIMIT).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    if machine.is_terminated() {
        std::future::pending::<()>().await;
    }
    let (status, value) = machine.handle(&simulation, &path, &body).await;
    reply_with(status, Bytes::from(value.to_string()))
}

fn reply_with(status: u16, body: Bytes) -> Response {
    let status = StatusCode::from_u16(status).expect("a status");
    (status, body).into_response()
}
