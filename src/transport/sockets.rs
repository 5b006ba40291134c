//! One budget for all of the process's sockets, in and out. Past the platform's limit every
//! new connection fails, those to the key-value store included. So each kind of connection
//! stops at its own share of the whole: connections to agents first, then inbound ones,
//! those between controllers and to the services last.
//!
//! A [`SocketPermit`] is acquired before a connection is made or served, and given back when
//! it is dropped.

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

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// Heartbeats, users and health checks.
    Inbound,
    /// Commands to agents, and probes of them: what they carry goes with the
    /// answers to heartbeats as well.
    Agent,
    /// Key-value store, cloud and controllers.
    Service,
}

/// Share of the budget from which on connections are closed after use.
const PRESSURE_SHARE: f64 = 0.7;
/// Share of the budget from which on no connections to agents are made.
const AGENT_SHARE: f64 = 0.85;
/// Share of the budget from which on no inbound connections are served.
const INBOUND_SHARE: f64 = 0.94;
/// Share of the budget for connections to services and controllers.
const SERVICE_SHARE: f64 = 1.0;
/// Sockets set aside for listeners, the log, and what the runtime needs.
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
    fn of_purpose(&self, purpose: ConnectionPurpose) -> &AtomicUsize {
        match purpose {
            ConnectionPurpose::Inbound => &self.inbound,
            ConnectionPurpose::Agent => &self.agents,
            ConnectionPurpose::Service => &self.services,
        }
    }

    /// Whether so many are in use that this share of the budget is exhausted.
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

/// The process's budget of sockets; clones share it.
#[derive(Clone, Debug)]
pub struct SocketBudget(Arc<Counters>);

/// Permission for one socket, until it is dropped.
#[derive(Debug)]
#[must_use = "a permit that is dropped counts no more"]
pub struct SocketPermit {
    sockets: SocketBudget,
    purpose: ConnectionPurpose,
}

/// Sockets in use by purpose, and connections refused since the counts before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketCounts {
    /// Inbound connections of agents, users and health checks.
    pub inbound: usize,
    /// Connections to agents.
    pub agents: usize,
    /// Connections to services, and with controllers in both directions.
    pub services: usize,
    /// Connections that were refused a permit.
    pub refused: usize,
}

impl SocketBudget {
    /// A budget of as many connections as the platform allows, less those reserved.
    pub fn new(max_connections: usize) -> Self {
        Self(Arc::new(Counters {
            limit: max_connections.saturating_sub(RESERVED_SOCKETS).max(1),
            inbound: AtomicUsize::new(0),
            agents: AtomicUsize::new(0),
            services: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        }))
    }

    /// A permit, or none: the share of the budget for this purpose is exhausted.
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
        self.0.of_purpose(purpose).fetch_add(1, Ordering::Relaxed);
        Some(SocketPermit {
            sockets: self.clone(),
            purpose,
        })
    }

    /// Whether so many are in use that none is to be kept idle.
    pub fn is_under_pressure(&self) -> bool {
        self.0.has_reached(PRESSURE_SHARE)
    }

    /// Counts for the log; begins to count refusals anew.
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
        let count = self.sockets.0.of_purpose(self.purpose);
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream that counts as a socket for as long as it exists.
#[derive(Debug)]
pub struct CountedStream<T> {
    stream: T,
    _permit: SocketPermit,
}

impl<T> CountedStream<T> {
    /// A stream that holds its permit.
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
