//! The real network: pooled HTTP/1.1 connections, and peer links.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use super::{
    links::LinkPool,
    network::{Call, Method, Network, Reply, SendError},
};

/// Answers beyond this are not read; a watch's answer has no limit of its own.
const REPLY_LIMIT: usize = 8 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const IDLE_PER_HOST: usize = 6;

pub struct HttpNetwork {
    client: Client<HttpConnector, Full<Bytes>>,
    links: Arc<LinkPool>,
}

impl Default for HttpNetwork {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(IDLE_PER_HOST)
            .build(connector);
        Self {
            client,
            links: Arc::new(LinkPool::default()),
        }
    }
}

impl HttpNetwork {
    async fn send(&self, call: Call) -> Result<Reply, SendError> {
        let not_sent = |error: String| SendError::NotSent(error);
        let request = Request::builder()
            .method(match call.method {
                Method::Get => "GET",
                Method::Post => "POST",
                Method::Delete => "DELETE",
            })
            .uri(format!("http://{}{}", call.address, call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(|error| not_sent(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
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
            match tokio::time::timeout(timeout, self.links.exchange(address, frame)).await {
                Ok(result) => result,
                Err(_) => Err(SendError::NoAnswer("timed out".into())),
            }
        }
        .boxed()
    }
}
