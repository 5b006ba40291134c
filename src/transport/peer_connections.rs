//! Connections between controllers: length-delimited frames over TCP, one request and one
//! response at a time on a connection. [`PeerConnectionPool`] is the client, [`serve`] the
//! server.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
};

use super::{
    network::SendError,
    sockets::{ConnectionPurpose, SocketBudget, SocketPermit},
};
use crate::{
    coordination::{Controller, clients::PeerResponse},
    protocol::peer_frames::{self, MAX_FRAME_BYTES},
};

/// Maximum number of idle connections kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum number of connections served at a time.
const MAX_INBOUND_CONNECTIONS: usize = 64;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A connection with its socket permit.
struct PeerConnection {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    _permit: SocketPermit,
}

impl PeerConnection {
    fn new(stream: TcpStream, permit: SocketPermit) -> Self {
        // Avoids delays of small messages for which a sender waits. A failure is ignored: without
        // the option messages are only slower.
        let _ = stream.set_nodelay(true);
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_framed(stream);
        Self {
            frames,
            _permit: permit,
        }
    }

    /// Sends a request and waits for the response.
    async fn exchange(&mut self, request: Bytes) -> io::Result<Vec<u8>> {
        self.frames.send(request).await?;
        match self.frames.next().await {
            Some(response) => Ok(response?.to_vec()),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

/// Idle connections to the other controllers, by address.
pub struct PeerConnectionPool {
    idle: Mutex<HashMap<String, Vec<PeerConnection>>>,
    sockets: SocketBudget,
}

impl PeerConnectionPool {
    /// Creates an empty pool; each connection counts against the budget.
    pub fn new(sockets: SocketBudget) -> Self {
        Self {
            idle: Mutex::default(),
            sockets,
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<PeerConnection>>> {
        // A poisoned lock is safe to use: no operation leaves the map in a partial state.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, address: &str) -> Option<PeerConnection> {
        self.idle().get_mut(address)?.pop()
    }

    fn put(&self, address: &str, connection: PeerConnection) {
        let mut idle = self.idle();
        let connections = idle.entry(address.to_owned()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Sends a frame to the controller at the address and waits for the response.
    pub async fn exchange(&self, address: &str, frame: Vec<u8>) -> Result<Vec<u8>, SendError> {
        let frame = Bytes::from(frame);
        // An idle connection may have been closed, for example by a restart of the peer. Then the
        // next idle connection is tried, and finally a new one.
        while let Some(mut connection) = self.take(address) {
            if let Ok(response) = connection.exchange(frame.clone()).await {
                self.put(address, connection);
                return Ok(response);
            }
        }
        let mut connection = self.connect(address).await?;
        let response = connection
            .exchange(frame)
            .await
            .map_err(|error| SendError::NoResponse(error.to_string()))?;
        self.put(address, connection);
        Ok(response)
    }

    async fn connect(&self, address: &str) -> Result<PeerConnection, SendError> {
        let permit = self.sockets.acquire(ConnectionPurpose::Service);
        let permit =
            permit.ok_or_else(|| SendError::NotSent("no socket left in the budget".into()))?;
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        Ok(PeerConnection::new(stream, permit))
    }
}

/// Serves the other controllers' connections until `stop` is cancelled.
pub async fn serve(
    controller: Arc<Controller>,
    listener: TcpListener,
    sockets: SocketBudget,
    stop: CancellationToken,
) {
    let inbound_slots = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let Ok(slot) = inbound_slots.clone().try_acquire_owned() else {
            continue;
        };
        let Some(permit) = sockets.acquire(ConnectionPurpose::Service) else {
            continue;
        };
        let (controller, stop) = (controller.clone(), stop.clone());
        tokio::spawn(async move {
            let _slot = slot;
            tokio::select! {
                biased;
                _ = stop.cancelled() => {}
                _ = serve_connection(&controller, PeerConnection::new(stream, permit)) => {}
            }
        });
    }
}

async fn serve_connection(controller: &Arc<Controller>, mut connection: PeerConnection) {
    let frames = &mut connection.frames;
    while let Ok(Some(Ok(request))) = tokio::time::timeout(IDLE_TIMEOUT, frames.next()).await {
        let Some(response) = handle_frame(controller, &request).await else {
            return;
        };
        if frames.send(Bytes::from(response)).await.is_err() {
            return;
        }
    }
}

/// Handles the frame of another controller's request. Returns the response's frame, or `None`
/// if it cannot be encoded. A request that this version cannot decode gets a response too: if the
/// connection were closed instead, the peer would take this controller for unreachable.
pub async fn handle_frame(controller: &Arc<Controller>, frame: &[u8]) -> Option<Vec<u8>> {
    let response = match peer_frames::decode_request(frame) {
        Ok(request) => controller.peer_exchange.handle_request(request).await,
        Err(error) => {
            tracing::debug!(%error, "cannot decode peer request");
            PeerResponse::Unknown
        }
    };
    peer_frames::encode_response(response).ok()
}
