//! Requests of users and agents to controllers.

use std::{sync::Arc, time::Duration};

use axum::{body::Body, http::Request};
use stallcove::storage::jitter;
use tower::ServiceExt;

use super::Simulation;
use crate::request_copies::Link;

/// Interval at which a request that a partition blocks checks whether it has healed.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Beginning of the paths of users' requests.
const USERS_PATH: &str = "/api";
/// Maximum size of a controller's answer.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

impl Simulation {
    /// Sends a request to a controller; returns `None` if the controller is not running, or stops
    /// before it has answered. Waits while a partition blocks the request or its answer. A copy of
    /// a user's request that was carried out may arrive later.
    pub async fn to_controller(
        self: &Arc<Self>,
        from: &[String],
        name: &str,
        method: &str,
        path: &str,
        body: String,
    ) -> Option<(u16, String)> {
        let may_be_copied = method == "POST" && path.starts_with(USERS_PATH);
        let body_of_copy = may_be_copied.then(|| body.clone());
        let answer = self.deliver(from, name, method, path, body).await;
        let is_carried_out = |(status, _): &(u16, String)| matches!(status, 200 | 201);
        if let Some(body) = body_of_copy
            && answer.as_ref().is_some_and(is_carried_out)
            && let Some(delay) = self.faults.request_copies.draw(Link::Users)
        {
            let (simulation, from) = (self.clone(), from.to_vec());
            let (name, path) = (name.to_owned(), path.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                simulation.deliver(&from, &name, "POST", &path, body).await;
            });
        }
        answer
    }

    /// Delivers one request, see [`Self::to_controller`].
    async fn deliver(
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
        self.wait_until_resumed(name).await;
        let (router, incarnation) = self.router(name)?;
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
        if status == 503 && path.starts_with(USERS_PATH) {
            assert!(
                response.headers().contains_key("retry-after"),
                "503 without Retry-After"
            );
        }
        let bytes = axum::body::to_bytes(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .ok()?;
        tokio::time::sleep(jitter::millis(1, 4)).await;
        // An answer computed before a pause of the process is sent after it.
        self.wait_until_resumed(name).await;
        while self.partition_between(from, &tags).is_some() {
            tokio::time::sleep(PARTITION_CHECK_INTERVAL).await;
        }
        if !self.is_alive(name, incarnation) {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        self.trace(|| format!("{name} -> {}: {status} {text}", from.join("/")));
        Some((status, text))
    }
}
