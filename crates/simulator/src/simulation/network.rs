//! The simulated network of one controller's process: applies delays, partitions, lost answers
//! and process pauses to its traffic with the simulated services and other controllers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use serde_json::Value;
use stallcove::{
    coordination::clients::{PeerRequest, ProtocolVersion},
    protocol::peer_frames,
    storage::jitter,
    transport::{HttpRequest, HttpResponse, Network, SendError, network::Method, peer_connections},
};

use super::Simulation;
use crate::{request_copies::Link, rules::Event};

/// Interval at which a held request checks whether its partition has healed.
const HELD_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the minimum protocol version that a controller needs to read a request.
fn needed_version(request: &PeerRequest) -> ProtocolVersion {
    match request {
        PeerRequest::CancelledSince(_) => ProtocolVersion::CANCELLATIONS,
        PeerRequest::RequestQuota(_) | PeerRequest::SetQuotaTargets(_) => {
            ProtocolVersion::QUOTA_TRANSFERS
        }
        PeerRequest::Status(_)
        | PeerRequest::Offers(_)
        | PeerRequest::Preempt(_)
        | PeerRequest::Probe(_) => ProtocolVersion::default(),
    }
}

fn method_name(method: Method) -> &'static str {
    match method {
        Method::Get => "GET",
        Method::Post => "POST",
        Method::Delete => "DELETE",
    }
}

/// Simulated network of one controller's process.
pub struct SimNet {
    simulation: Arc<Simulation>,
    controller: String,
    incarnation: u64,
}

impl SimNet {
    /// Creates the network of one process of a controller.
    pub fn new(simulation: &Arc<Simulation>, controller: &str, incarnation: u64) -> Self {
        Self {
            simulation: simulation.clone(),
            controller: controller.to_owned(),
            incarnation,
        }
    }

    /// Creates the network of the controller's running process, if there is one.
    pub fn of_running(simulation: &Arc<Simulation>, controller: &str) -> Option<Self> {
        let (_, incarnation) = simulation.router(controller)?;
        Some(Self::new(simulation, controller, incarnation))
    }

    async fn execute(
        simulation: &Arc<Simulation>,
        controller: &str,
        request: &HttpRequest,
    ) -> (u16, Value) {
        let method = method_name(request.method);
        simulation.trace(|| {
            let body = String::from_utf8_lossy(&request.body);
            format!(
                "{controller} -> {}: {method} {} {body}",
                request.address, request.path
            )
        });
        match request.address.as_str() {
            "state" => {
                let latency = *simulation.max_latency.lock().expect("latency lock");
                if !latency.is_zero() {
                    tokio::time::sleep(latency.mul_f64(jitter::uniform(0.1, 1.0))).await;
                }
                simulation
                    .state
                    .handle(controller, method, &request.path, &request.body)
                    .await
            }
            "cloud" => simulation.serve_cloud(method, &request.path, &request.body),
            machine => match simulation.machine(machine) {
                Some(machine) => {
                    machine
                        .handle(simulation, &request.path, &request.body)
                        .await
                }
                None => futures::future::pending().await,
            },
        }
    }

    fn tags(&self, address: &str) -> Vec<String> {
        match self.simulation.machine(address) {
            Some(machine) => machine.tags(),
            None => vec![address.to_owned()],
        }
    }

    /// Sends a request. The future never completes if the request or its answer is lost.
    pub async fn send(&self, request: HttpRequest) -> Result<HttpResponse, SendError> {
        let from_tags = self.simulation.controller_tags(&self.controller);
        let to_tags = self.tags(&request.address);
        tokio::time::sleep(jitter::millis(1, 5)).await;
        if !self.simulation.is_alive(&self.controller, self.incarnation) {
            return futures::future::pending().await;
        }
        if let Some(partition) = self.simulation.partition_between(&from_tags, &to_tags) {
            if partition.holds_packets {
                self.execute_once_healed(request, from_tags, to_tags);
            }
            return futures::future::pending().await;
        }
        if let Some(delay) = self.draw_delay(&request) {
            self.execute_later(request, delay);
            return futures::future::pending().await;
        }
        let (status, value) = Self::execute(&self.simulation, &self.controller, &request).await;
        self.simulation.trace(|| {
            let (from, to) = (&request.address, &self.controller);
            format!("{from} -> {to}: {status} {value}")
        });
        if (200..300).contains(&status) {
            self.copy_later(&request);
        }
        tokio::time::sleep(jitter::millis(1, 5)).await;
        if request.address == "state"
            && let Some(delay) = self.simulation.draw_response_delay()
        {
            tokio::time::sleep(delay).await;
        }
        if self.draw_response_loss(&request)
            || self
                .simulation
                .partition_between(&from_tags, &to_tags)
                .is_some()
        {
            return futures::future::pending().await;
        }
        Ok(HttpResponse {
            status,
            body: Bytes::from(value.to_string()),
        })
    }

    /// Draws the delay of a request that is executed late and never answered; `None` if the
    /// request is not affected.
    fn draw_delay(&self, request: &HttpRequest) -> Option<Duration> {
        if request.path == "/orders"
            && let Some(delay) = self.simulation.faults.draw_command_delay()
        {
            return Some(delay);
        }
        let delay = *self
            .simulation
            .commit_delay
            .lock()
            .expect("commit delay lock");
        if request.path == "/commit" && jitter::uniform(0.0, 1.0) < delay.share {
            return Some(delay.max.mul_f64(jitter::uniform(0.0, 1.0)));
        }
        None
    }

    /// Draws whether the answer to an executed request is lost.
    fn draw_response_loss(&self, request: &HttpRequest) -> bool {
        let share = *self
            .simulation
            .response_loss
            .lock()
            .expect("response loss lock");
        request.address == "state"
            && !request.path.starts_with("/follow")
            && jitter::uniform(0.0, 1.0) < share
    }

    fn execute_later(&self, request: HttpRequest, delay: Duration) {
        let (simulation, controller) = (self.simulation.clone(), self.controller.clone());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            Self::execute(&simulation, &controller, &request).await;
        });
    }

    /// Draws whether a copy of a request that was carried out arrives later. It arrives even if
    /// this process has ended by then; a partition holds it back.
    fn copy_later(&self, request: &HttpRequest) {
        if request.method == Method::Get {
            return;
        }
        let link = Link::of_address(&request.address);
        let Some(delay) = self.simulation.faults.request_copies.draw(link) else {
            return;
        };
        let copy = request.clone();
        let (simulation, controller) = (self.simulation.clone(), self.controller.clone());
        let from_tags = simulation.controller_tags(&controller);
        let to_tags = self.tags(&copy.address);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            while simulation.partition_between(&from_tags, &to_tags).is_some() {
                tokio::time::sleep(HELD_REQUEST_INTERVAL).await;
            }
            simulation.trace(|| format!("a copy arrives at {}", copy.address));
            if link == Link::State {
                let (path, body) = (&copy.path, &copy.body);
                simulation
                    .state
                    .handle_copy(&controller, method_name(copy.method), path, body)
                    .await;
            } else {
                Self::execute(&simulation, &controller, &copy).await;
            }
        });
    }

    /// Like [`Self::copy_later`], for a frame. The copy is handled by the process that then runs at
    /// the address, if there is one that can read it.
    fn copy_frame_later(&self, address: &str, frame: &[u8], needed: ProtocolVersion) {
        let copies = &self.simulation.faults.request_copies;
        let Some(delay) = copies.draw(Link::Controllers) else {
            return;
        };
        let simulation = self.simulation.clone();
        let (address, frame) = (address.to_owned(), frame.to_vec());
        let from_tags = simulation.controller_tags(&self.controller);
        let to_tags = simulation.controller_tags(&address);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            while simulation.partition_between(&from_tags, &to_tags).is_some() {
                tokio::time::sleep(HELD_REQUEST_INTERVAL).await;
            }
            simulation.wait_until_resumed(&address).await;
            let Some(controller) = simulation.running_controller(&address) else {
                return;
            };
            if simulation.protocol_version_of(&address) < needed {
                return;
            }
            simulation.trace(|| format!("a copy of a frame arrives at {address}"));
            peer_connections::handle_frame(&controller, &frame).await;
        });
    }

    /// Delivers a request once the partition has healed, even if its sender has timed out by then.
    fn execute_once_healed(
        &self,
        request: HttpRequest,
        from_tags: Vec<String>,
        to_tags: Vec<String>,
    ) {
        let (simulation, controller) = (self.simulation.clone(), self.controller.clone());
        tokio::spawn(async move {
            while simulation.partition_between(&from_tags, &to_tags).is_some() {
                tokio::time::sleep(HELD_REQUEST_INTERVAL).await;
            }
            Self::execute(&simulation, &controller, &request).await;
        });
    }
}

impl Network for SimNet {
    fn send_request(&self, request: HttpRequest) -> BoxFuture<'_, Result<HttpResponse, SendError>> {
        async move {
            self.simulation.wait_until_resumed(&self.controller).await;
            let timeout = request.timeout;
            let sending = self.send(request);
            tokio::pin!(sending);
            let mut answer = tokio::time::timeout(timeout, sending.as_mut()).await;
            if self.simulation.is_paused(&self.controller) {
                // When the process resumes, it may find both an answer and an expired timeout. The
                // answer takes precedence.
                self.simulation.wait_until_resumed(&self.controller).await;
                if answer.is_err() {
                    let at_once = Duration::from_millis(1);
                    answer = tokio::time::timeout(at_once, sending.as_mut()).await;
                }
            }
            answer.unwrap_or_else(|_| Err(SendError::NoResponse("timed out".into())))
        }
        .boxed()
    }

    fn send_frame<'a>(
        &'a self,
        address: &'a str,
        frame: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<u8>, SendError>> {
        async move {
            let exchange = async {
                tokio::time::sleep(jitter::millis(1, 3)).await;
                self.simulation.wait_until_resumed(&self.controller).await;
                self.simulation.wait_until_resumed(address).await;
                let from_tags = self.simulation.controller_tags(&self.controller);
                let to_tags = self.simulation.controller_tags(address);
                if self
                    .simulation
                    .partition_between(&from_tags, &to_tags)
                    .is_some()
                    || !self.simulation.is_alive(&self.controller, self.incarnation)
                {
                    return futures::future::pending().await;
                }
                let Some(controller) = self.simulation.running_controller(address) else {
                    return Err(SendError::NotSent("refused".into()));
                };
                let request =
                    peer_frames::decode_request(&frame).expect("a controller sends valid frames");
                self.simulation
                    .trace(|| format!("{} -> {address}: {request:?}", self.controller));
                let needed = needed_version(&request);
                if self.simulation.protocol_version_of(address) < needed {
                    if needed == ProtocolVersion::QUOTA_TRANSFERS {
                        self.simulation
                            .record(Event::UnreadableMessage(address.to_owned()));
                    }
                    return Err(SendError::NoResponse("closed".into()));
                }
                let answer = peer_connections::handle_frame(&controller, &frame).await;
                self.copy_frame_later(address, &frame, needed);
                tokio::time::sleep(jitter::millis(1, 3)).await;
                answer.ok_or_else(|| SendError::NoResponse("closed".into()))
            };
            tokio::time::timeout(timeout, exchange)
                .await
                .unwrap_or_else(|_| Err(SendError::NoResponse("timed out".into())))
        }
        .boxed()
    }
}
