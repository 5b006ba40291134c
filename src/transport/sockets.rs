//! A common budget for all inbound and outbound sockets of the process. Beyond the platform's
//! limit every new connection fails, including those to the key-value store. So each kind of
//! connection is limited to a share of the budget: connections to agents are refused first, then
//! inbound ones, and connections between controllers and to the services last.
//!
//! A [`SocketPermit`] is acquired before a connection is made or served, and released when it is
//! dropped.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// Inbound connections: heartbeats of agents, users and health checks.
    Inbound,
    /// Commands to agents and probes of agents. These are refused first, because heartbeats and
    /// the responses to them carry the same information.
    Agent,
    /// Connections to the key-value store and the cloud, and between controllers in both
    /// directions.
    Service,
}

/// Share of the budget in use at which connections start to be closed after use.
const PRESSURE_SHARE: f64 = 0.7;
/// Share of the budget in use at which no more connections to agents are made.
const AGENT_SHARE: f64 = 0.85;
/// Share of the budget in use at which no more inbound connections are accepted.
const INBOUND_SHARE: f64 = 0.94;
/// Share of the budget in use at which no more connections to services and between controllers
/// are made.
const SERVICE_SHARE: f64 = 1.0;
/// Sockets reserved for listeners, the log and the runtime.
const RESERVED_SOCKETS: usize = 16;

#[derive(Debug)]
struct Counters {
    limit: usize,
    inbound: AtomicUsize,
    agents: AtomicUsize,
    services: AtomicUsize,
    refused: AtomicUsize,
}

impl Counters {
    fn count_for(&self, purpose: ConnectionPurpose) -> &AtomicUsize {
        match purpose {
            ConnectionPurpose::Inbound => &self.inbound,
            ConnectionPurpose::Agent => &self.agents,
            ConnectionPurpose::Service => &self.services,
        }
    }

    /// Returns whether at least this share of the budget is in use.
    fn has_reached(&self, share: f64) -> bool {
        self.in_use() as f64 >= self.limit as f64 * share
    }

    fn in_use(&self) -> usize {
        [&self.inbound, &self.agents, &self.services]
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }
}

/// The process's budget of sockets. Clones share the budget.
#[derive(Clone, Debug)]
pub struct SocketBudget(Arc<Counters>);

/// Permission to use one socket, released when it is dropped.
#[derive(Debug)]
#[must_use = "dropping the permit releases its socket"]
pub struct SocketPermit {
    sockets: SocketBudget,
    purpose: ConnectionPurpose,
}

/// Sockets in use by purpose, and connections refused since the last call of
/// [`SocketBudget::take_counts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketCounts {
    /// Inbound connections of agents, users and health checks.
    pub inbound: usize,
    /// Connections to agents.
    pub agents: usize,
    /// Connections to services, and between controllers in both directions.
    pub services: usize,
    /// Connections for which no permit was available.
    pub refused: usize,
}

impl SocketBudget {
    /// Creates a budget of the connections that the platform allows, less those reserved.
    pub fn new(max_connections: usize) -> Self {
        Self(Arc::new(Counters {
            limit: max_connections.saturating_sub(RESERVED_SOCKETS).max(1),
            inbound: AtomicUsize::new(0),
            agents: AtomicUsize::new(0),
            services: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        }))
    }

    /// Acquires a permit, or returns `None` if the share of the budget for this purpose is in use.
    pub fn acquire(&self, purpose: ConnectionPurpose) -> Option<SocketPermit> {
        let share = match purpose {
            ConnectionPurpose::Inbound => INBOUND_SHARE,
            ConnectionPurpose::Agent => AGENT_SHARE,
            ConnectionPurpose::Service => SERVICE_SHARE,
        };
        if self.0.has_reached(share) {
            self.0.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.0.count_for(purpose).fetch_add(1, Ordering::Relaxed);
        Some(SocketPermit {
            sockets: self.clone(),
            purpose,
        })
    }

    /// Returns whether so many sockets are in use that connections should be closed instead of
    /// kept idle.
    pub fn is_under_pressure(&self) -> bool {
        self.0.has_reached(PRESSURE_SHARE)
    }

    /// Returns the counts for the log, and resets the count of refused connections.
    pub fn take_counts(&self) -> SocketCounts {
        SocketCounts {
            inbound: self.0.inbound.load(Ordering::Relaxed),
            agents: self.0.agents.load(Ordering::Relaxed),
            services: self.0.services.load(Ordering::Relaxed),
            refused: self.0.refused.swap(0, Ordering::Relaxed),
        }
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        let count = self.sockets.0.count_for(self.purpose);
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream that holds a socket permit until it is dropped.
#[derive(Debug)]
pub struct CountedStream<T> {
    stream: T,
    _permit: SocketPermit,
}

impl<T> CountedStream<T> {
    /// Combines a stream with its permit.
    pub fn new(stream: T, permit: SocketPermit) -> Self {
        Self {
            stream,
            _permit: permit,
        }
    }
}

impl<T: Read + Unpin> Read for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<T: Write + Unpin> Write for CountedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}

impl<T: Connection> Connection for CountedStream<T> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

#[cfg(test)]
mod tests;
