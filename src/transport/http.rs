//! The implementation of [`Network`] for real networks: pooled HTTP/1.1 connections to services
//! and agents, and the pool of connections to the other controllers. All connections count
//! against the process's [`SocketBudget`].

use std::{
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Uri, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use tokio::net::TcpStream;
use tower::Service;

use super::{
    network::{Destination, HttpRequest, HttpResponse, Method, Network, SendError},
    peer_connections::PeerConnectionPool,
    sockets::{ConnectionPurpose, CountedStream, SocketBudget},
};

/// Maximum size of a response's body; larger ones are rejected. It bounds the response to a watch,
/// which the request does not limit.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Limits on the idle connections that a pool keeps.
struct IdleLimits {
    per_host: usize,
    timeout: Duration,
}

/// Limits for the two services (key-value store and cloud).
const SERVICE_IDLE_LIMITS: IdleLimits = IdleLimits {
    per_host: 6,
    timeout: Duration::from_secs(20),
};
/// Limits for the agents. There are hundreds of them, and the commands to one agent come in
/// short bursts.
const AGENT_IDLE_LIMITS: IdleLimits = IdleLimits {
    per_host: 1,
    timeout: Duration::from_secs(2),
};

/// Establishes connections that count against the budget of sockets.
#[derive(Clone)]
struct Connector {
    http: HttpConnector,
    sockets: SocketBudget,
    purpose: ConnectionPurpose,
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

impl Service<Uri> for Connector {
    type Response = CountedStream<TokioIo<TcpStream>>;
    type Error = BoxError;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let permit = self.sockets.acquire(self.purpose);
        let connecting = self.http.call(uri);
        async move {
            let permit =
                permit.ok_or("no socket left in the budget for this kind of connection")?;
            Ok(CountedStream::new(connecting.await?, permit))
        }
        .boxed()
    }
}

type ConnectionPool = Client<Connector, Full<Bytes>>;

fn connection_pool(
    sockets: &SocketBudget,
    purpose: ConnectionPurpose,
    idle_limits: IdleLimits,
) -> ConnectionPool {
    let mut http = HttpConnector::new();
    http.set_nodelay(true);
    http.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let connector = Connector {
        http,
        sockets: sockets.clone(),
        purpose,
    };
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_limits.timeout)
        .pool_max_idle_per_host(idle_limits.per_host)
        .build(connector)
}

/// The network interface of a process.
pub struct HttpNetwork {
    services: ConnectionPool,
    agents: ConnectionPool,
    peers: PeerConnectionPool,
    sockets: SocketBudget,
}

impl HttpNetwork {
    /// Creates a network interface without connections; each connection counts against the budget.
    pub fn new(sockets: SocketBudget) -> Self {
        Self {
            services: connection_pool(&sockets, ConnectionPurpose::Service, SERVICE_IDLE_LIMITS),
            agents: connection_pool(&sockets, ConnectionPurpose::Agent, AGENT_IDLE_LIMITS),
            peers: PeerConnectionPool::new(sockets.clone()),
            sockets,
        }
    }

    async fn send(&self, request: HttpRequest) -> Result<HttpResponse, SendError> {
        let pool = match request.destination {
            Destination::Service => &self.services,
            Destination::Agent => &self.agents,
        };
        let close_after =
            request.destination == Destination::Agent && self.sockets.is_under_pressure();
        let timeout = request.timeout;
        let request = hyper_request(request, close_after)?;
        match tokio::time::timeout(timeout, exchange(pool, request)).await {
            Ok(result) => result,
            Err(_) => Err(SendError::timed_out()),
        }
    }
}

fn hyper_request(
    request: HttpRequest,
    close_after: bool,
) -> Result<Request<Full<Bytes>>, SendError> {
    let mut builder = Request::builder()
        .method(match request.method {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        })
        .uri(format!("http://{}{}", request.address, request.path))
        .header(header::CONTENT_TYPE, "application/json");
    if close_after {
        builder = builder.header(header::CONNECTION, "close");
    }
    builder
        .body(Full::new(request.body))
        .map_err(|error| SendError::NotSent(error.to_string()))
}

async fn exchange(
    pool: &ConnectionPool,
    request: Request<Full<Bytes>>,
) -> Result<HttpResponse, SendError> {
    let response = pool.request(request).await.map_err(|error| {
        if error.is_connect() {
            SendError::NotSent(error.to_string())
        } else {
            SendError::NoResponse(error.to_string())
        }
    })?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| SendError::NoResponse(error.to_string()))?
        .to_bytes();
    Ok(HttpResponse { status, body })
}

impl Network for HttpNetwork {
    fn send_request(&self, request: HttpRequest) -> BoxFuture<'_, Result<HttpResponse, SendError>> {
        self.send(request).boxed()
    }

    fn send_frame<'a>(
        &'a self,
        address: &'a str,
        frame: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<u8>, SendError>> {
        async move {
            match tokio::time::timeout(timeout, self.peers.exchange(address, frame)).await {
                Ok(result) => result,
                Err(_) => Err(SendError::timed_out()),
            }
        }
        .boxed()
    }
}
