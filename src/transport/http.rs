//! The real network: pooled HTTP/1.1 connections, and peer links.

use std::{
    sync::Arc,
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
    network::{Call, Method, Network, Reply, SendError, Target},
    peer_connections::PeerConnectionPool,
    sockets::{Counted, Sockets, Use},
};

/// Answers beyond this are not read; a watch's answer has no limit of its own.
const REPLY_LIMIT: usize = 8 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Idle connections to a service, and how long they are kept.
const SERVICE_IDLE: (usize, Duration) = (6, Duration::from_secs(20));
/// The same for an agent: of these there are hundreds, and commands to one come
/// close together or not at all.
const WORKER_IDLE: (usize, Duration) = (1, Duration::from_secs(2));

/// Connects within the budget of sockets.
#[derive(Clone)]
struct Connector {
    http: HttpConnector,
    sockets: Sockets,
    purpose: Use,
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

impl Service<Uri> for Connector {
    type Response = Counted<TokioIo<TcpStream>>;
    type Error = BoxError;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let taken = self.sockets.take(self.purpose);
        let connecting = self.http.call(uri);
        async move {
            let taken = taken.ok_or("no socket left for this")?;
            Ok(Counted::new(connecting.await?, taken))
        }
        .boxed()
    }
}

type Pool = Client<Connector, Full<Bytes>>;

pub struct HttpNetwork {
    services: Pool,
    workers: Pool,
    liveness: Arc<PeerConnectionPool>,
    sockets: Sockets,
}

impl HttpNetwork {
    pub fn new(sockets: Sockets) -> Self {
        let pool = |purpose, (count, life): (usize, Duration)| {
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
                .pool_idle_timeout(life)
                .pool_max_idle_per_host(count)
                .build(connector)
        };
        Self {
            services: pool(Use::Service, SERVICE_IDLE),
            workers: pool(Use::Worker, WORKER_IDLE),
            liveness: Arc::new(PeerConnectionPool::new(sockets.clone())),
            sockets,
        }
    }
}

impl HttpNetwork {
    async fn send(&self, call: Call) -> Result<Reply, SendError> {
        let not_sent = |error: String| SendError::NotSent(error);
        let mut request = Request::builder()
            .method(match call.method {
                Method::Get => "GET",
                Method::Post => "POST",
                Method::Delete => "DELETE",
            })
            .uri(format!("http://{}{}", call.address, call.path))
            .header(header::CONTENT_TYPE, "application/json");
        let pool = match call.target {
            Target::Service => &self.services,
            Target::Worker => &self.workers,
        };
        if call.target == Target::Worker && self.sockets.is_pressed() {
            request = request.header(header::CONNECTION, "close");
        }
        let request = request
            .body(Full::new(call.body))
            .map_err(|error| not_sent(error.to_string()))?;
        let exchange = async {
            let response = pool.request(request).await.map_err(|error| {
                if error.is_connect() {
                    SendError::NotSent(error.to_string())
                } else {
                    SendError::NoAnswer(error.to_string())
                }
            })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), REPLY_LIMIT)
                .collect()
                .await
                .map_err(|error| SendError::NoAnswer(error.to_string()))?
                .to_bytes();
            Ok(Reply { status, body })
        };
        match tokio::time::timeout(call.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(SendError::NoAnswer("timed out".into())),
        }
    }
}

impl Network for HttpNetwork {
    fn http(&self, call: Call) -> BoxFuture<'_, Result<Reply, SendError>> {
        self.send(call).boxed()
    }

    fn frame<'a>(
        &'a self,
        address: &'a str,
        frame: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<u8>, SendError>> {
        async move {
            match tokio::time::timeout(timeout, self.liveness.exchange(address, frame)).await {
                Ok(result) => result,
                Err(_) => Err(SendError::NoAnswer("timed out".into())),
            }
        }
        .boxed()
    }
}
