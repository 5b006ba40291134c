//! The network interface of a controller's clients. [`super::http`] implements it for real
//! networks; the simulator replaces it by a simulated one.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

/// HTTP status codes that the clients distinguish.
pub mod status {
    /// The request was executed.
    pub const OK: u16 = 200;
    /// Lowest of the codes that reject a request.
    pub const BAD_REQUEST: u16 = 400;
    /// The requested item does not exist.
    pub const NOT_FOUND: u16 = 404;
    /// A condition of a transaction did not hold.
    pub const CONFLICT: u16 = 409;
    /// The store no longer keeps the requested revision.
    pub const GONE: u16 = 410;
    /// The request exceeds the request limit and was not executed.
    pub const TOO_MANY_REQUESTS: u16 = 429;
    /// Lowest of the codes after which it is unknown whether the request was executed, with the
    /// exception of [`SERVICE_UNAVAILABLE`].
    pub const INTERNAL_SERVER_ERROR: u16 = 500;
    /// The request was not executed.
    pub const SERVICE_UNAVAILABLE: u16 = 503;
}

/// Method of an HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads a resource.
    Get,
    /// Executes an action.
    Post,
    /// Removes a resource.
    Delete,
}

/// Kind of a request's receiver. Idle connections to agents are closed sooner than those to
/// services, as there are many agents.
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
    /// Kind of the receiver.
    pub destination: Destination,
    /// Address of the receiver, as IP:PORT.
    pub address: String,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body as JSON; may be empty.
    pub body: Bytes,
    /// Timeout of the whole exchange, including the connection's setup.
    pub timeout: Duration,
}

/// The response to an [`HttpRequest`].
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// Why an exchange has no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection could be established, so nothing was sent.
    #[error("not connected: {0}")]
    NotSent(String),
    /// The request was or may have been sent, but no response was received: it may have been
    /// executed.
    #[error("{0}")]
    NoResponse(String),
}

impl SendError {
    /// Creates the error of an exchange that exceeded its timeout.
    pub fn timed_out() -> Self {
        SendError::NoResponse("timed out".into())
    }
}

/// Sends the requests of a controller's clients.
pub trait Network: Send + Sync {
    /// Sends a request and waits for the response. A response with an error status is not an
    /// error here.
    fn send_request(&self, request: HttpRequest) -> BoxFuture<'_, Result<HttpResponse, SendError>>;

    /// Sends a request's frame to another controller and waits for the response's frame.
    fn send_frame<'a>(
        &'a self,
        address: &'a str,
        frame: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<u8>, SendError>>;
}
