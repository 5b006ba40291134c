//! What the clients need of a network: the real one is [`super::http`]; the simulator puts
//! another one in its place.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

/// Status codes that the clients tell apart.
pub mod status {
    /// Executed.
    pub const OK: u16 = 200;
    /// The first of those that reject a request.
    pub const BAD_REQUEST: u16 = 400;
    /// There is no such thing.
    pub const NOT_FOUND: u16 = 404;
    /// The conditions of a transaction failed.
    pub const CONFLICT: u16 = 409;
    /// A revision that is kept no more.
    pub const GONE: u16 = 410;
    /// Over the request limit, not executed.
    pub const TOO_MANY_REQUESTS: u16 = 429;
    /// The first of those that say nothing about the request's execution.
    pub const INTERNAL_SERVER_ERROR: u16 = 500;
    /// Not executed.
    pub const SERVICE_UNAVAILABLE: u16 = 503;
}

/// Method of an HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Changes something.
    Post,
    /// Removes something.
    Delete,
}

/// Whom a request is for: idle connections to the many agents are kept only shortly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// The key-value store or the cloud.
    Service,
    /// An agent.
    Agent,
}

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Whom it is for.
    pub destination: Destination,
    /// Where to, as IP:PORT.
    pub address: String,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Its body, JSON; may be empty.
    pub body: Bytes,
    /// Time for the whole exchange, connecting included.
    pub timeout: Duration,
}

/// The answer to an [`HttpRequest`].
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// Why an exchange has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection came about, so that nothing was sent.
    #[error("not connected: {0}")]
    NotSent(String),
    /// Sent, perhaps executed, no answer.
    #[error("{0}")]
    NoAnswer(String),
}

impl SendError {
    /// No answer came within the time allowed.
    pub fn timed_out() -> Self {
        SendError::NoAnswer("timed out".into())
    }
}

/// Carries the requests of a controller's clients.
pub trait Network: Send + Sync {
    /// Sends a request and waits for the response, whatever its status is.
    fn send_request(&self, request: HttpRequest) -> BoxFuture<'_, Result<HttpResponse, SendError>>;

    /// Sends a frame to another controller and waits for the answering one.
    fn send_frame<'a>(
        &'a self,
        address: &'a str,
        frame: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<u8>, SendError>>;
}
