//! Requests of users and agents to a controller's server.

use std::{sync::Arc, time::Duration};

use axum::{body::Body, http::Request};
use stallcove::storage::jitter;
use tower::ServiceExt;

use super::Simulation;

/// How often a sender on the other side of a partition looks whether it has healed.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The largest answer that a controller may give.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

impl Simulation {
    /// A request to a controller's server; none: no connection.
    pub async fn to_controller(
        self: &Arc<Self>,
        from: &[String],
        name: &str,
        method: &str,
        path: &str,
        body: String,
    ) -> Option<(u16, String)> {
        tokio::time::sleep(jitter::millis(1, 4)).await;
        let tags = self.controller_tags(name);
        while self.partition_between(from, &tags).is_some() {
            tokio::time::sleep(PARTITION_CHECK_INTERVAL).await;
        }
        self.until_resumed(name).await;
        let (router, life) = self.router(name)?;
        if let Some(loopback) = &self.loopback {
            return loopback.request(name, method, path, body).await;
        }
        self.trace(|| format!("{} -> {name}: {method} {path} {body}", from.join("/")));
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(Body::from(body))
            .expect("method and path are valid");
        let response = router.oneshot(request).await.expect("a router never fails");
        let status = response.status().as_u16();
        if status == 503 && path.starts_with("/api") {
            assert!(
                response.headers().contains_key("retry-after"),
                "503 without Retry-After"
            );
        }
        let bytes = axum::body::to_bytes(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .ok()?;
        tokio::time::sleep(jitter::millis(1, 4)).await;
        // Decided before the pause, sent after it.
        self.until_resumed(name).await;
        while self.partition_between(from, &tags).is_some() {
            tokio::time::sleep(PARTITION_CHECK_INTERVAL).await;
        }
        if !self.is_alive(name, life) {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        self.trace(|| format!("{name} -> {}: {status} {text}", from.join("/")));
        Some((status, text))
    }
}
