//! What the clients need of a network: the real one is [`super::http`]; tests put
//! a simulated one in its place.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Get,
    Post,
    Delete,
}

/// Whom a request is for: connections to many agents are kept but shortly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Service,
    Worker,
}

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Call {
    pub target: Target,
    pub address: String,
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    pub timeout: Duration,
}

#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection came about, so that nothing was sent.
    #[error("not connected: {0}")]
    NotSent(String),
    /// Sent, perhaps executed, no answer.
    #[error("{0}")]
    NoAnswer(String),
}

pub trait Network: Send + Sync {
    fn http(&self, call: Call) -> BoxFuture<'_, Result<Reply, SendError>>;

    /// Sends a frame to a peer's link and waits for the answering one.
    fn frame<'a>(
        &'a self,
        address: &'a str,
        frame: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<u8>, SendError>>;
}
