//! One budget for all of the process's sockets, in and out. Past the platform's
//! limit every new connection fails, those to the state service included, so
//! that each kind of connection stops at its own share of the whole: agents
//! that we call first, then those that call us, controllers and the state
//! service last.

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
pub enum Use {
    /// Heartbeats, users and health checks.
    Served,
    /// Commands to agents, and probes of them: what they carry goes with the
    /// answers to heartbeats as well.
    Worker,
    /// State service, cloud and controllers.
    Service,
}

/// Of the whole, from here on connections are closed after use.
const PRESSED: f64 = 0.7;
/// Of the whole, from here on agents are not called.
const WORKERS_END: f64 = 0.85;
/// Of the whole, from here on nobody new is served.
const SERVED_END: f64 = 0.94;
/// Listeners, the log, and what the runtime needs.
const OWN: usize = 16;

#[derive(Debug)]
struct Inner {
    limit: usize,
    served: AtomicUsize,
    workers: AtomicUsize,
    services: AtomicUsize,
    refused: AtomicUsize,
}

impl Inner {
    fn count(&self, purpose: Use) -> &AtomicUsize {
        match purpose {
            Use::Served => &self.served,
            Use::Worker => &self.workers,
            Use::Service => &self.services,
        }
    }

    fn taken(&self) -> usize {
        [&self.served, &self.workers, &self.services]
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }
}

#[derive(Clone, Debug)]
pub struct Sockets(Arc<Inner>);

/// A socket in use.
#[derive(Debug)]
pub struct Taken {
    sockets: Sockets,
    purpose: Use,
}

/// Sockets in use by purpose, and connections refused since the last look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InUse {
    pub served: usize,
    pub workers: usize,
    pub services: usize,
    pub refused: usize,
}

impl Sockets {
    pub fn new(max_connections: usize) -> Self {
        Self(Arc::new(Inner {
            limit: max_connections.saturating_sub(OWN).max(1),
            served: AtomicUsize::new(0),
            workers: AtomicUsize::new(0),
            services: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        }))
    }

    /// A socket, or none: the use's share of the whole is taken.
    pub fn take(&self, purpose: Use) -> Option<Taken> {
        let part = match purpose {
            Use::Served => SERVED_END,
            Use::Worker => WORKERS_END,
            Use::Service => 1.0,
        };
        if self.0.taken() as f64 >= self.0.limit as f64 * part {
            self.0.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.0.count(purpose).fetch_add(1, Ordering::Relaxed);
        Some(Taken {
            sockets: self.clone(),
            purpose,
        })
    }

    /// So many are taken that none is to be kept idle.
    pub fn is_pressed(&self) -> bool {
        self.0.taken() as f64 >= self.0.limit as f64 * PRESSED
    }

    pub fn look(&self) -> InUse {
        InUse {
            served: self.0.served.load(Ordering::Relaxed),
            workers: self.0.workers.load(Ordering::Relaxed),
            services: self.0.services.load(Ordering::Relaxed),
            refused: self.0.refused.swap(0, Ordering::Relaxed),
        }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let count = self.sockets.0.count(self.purpose);
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream that counts as a socket for as long as it exists.
#[derive(Debug)]
pub struct Counted<T> {
    stream: T,
    _taken: Taken,
}

impl<T> Counted<T> {
    pub fn new(stream: T, taken: Taken) -> Self {
        Self {
            stream,
            _taken: taken,
        }
    }
}

impl<T: Read + Unpin> Read for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<T: Write + Unpin> Write for Counted<T> {
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

impl<T: Connection> Connection for Counted<T> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

#[cfg(test)]
mod tests;
