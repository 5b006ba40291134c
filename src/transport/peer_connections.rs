//! Links between controllers: length-framed messages over TCP, one question and
//! one answer at a time on a connection.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex},
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
    sockets::{Sockets, Taken, Use},
};
use crate::{
    coordination::{Controller, clients::PeerResponse},
    protocol::peer_frames::{self, FRAME_LIMIT},
};

type PeerConnection = (Framed<TcpStream, LengthDelimitedCodec>, Taken);

const MAX_IDLE_CONNECTIONS: usize = 4;
const MAX_INBOUND_CONNECTIONS: usize = 64;
const IDLE: Duration = Duration::from_secs(30);

fn framed(stream: TcpStream, taken: Taken) -> PeerConnection {
    // Small messages that somebody waits for.
    let _ = stream.set_nodelay(true);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_framed(stream);
    (framed, taken)
}

/// Idle links by address.
pub struct PeerConnectionPool {
    idle: Mutex<HashMap<String, Vec<PeerConnection>>>,
    sockets: Sockets,
}

impl PeerConnectionPool {
    pub fn new(sockets: Sockets) -> Self {
        Self {
            idle: Mutex::default(),
            sockets,
        }
    }

    fn take(&self, address: &str) -> Option<PeerConnection> {
        let mut pool = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        pool.get_mut(address)?.pop()
    }

    fn put(&self, address: &str, link: PeerConnection) {
        let mut pool = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let idle = pool.entry(address.to_owned()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(link);
        }
    }

    pub async fn exchange(&self, address: &str, frame: Vec<u8>) -> Result<Vec<u8>, SendError> {
        let frame = Bytes::from(frame);
        // A kept link may have been closed meanwhile, by a restart for example;
        // then one more try on a new one.
        while let Some(mut link) = self.take(address) {
            if let Ok(answer) = ask(&mut link, frame.clone()).await {
                self.put(address, link);
                return Ok(answer);
            }
        }
        let taken = self.sockets.take(Use::Service);
        let taken = taken.ok_or_else(|| SendError::NotSent("no socket left".into()))?;
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let mut link = framed(stream, taken);
        let answer = ask(&mut link, frame)
            .await
            .map_err(|error| SendError::NoAnswer(error.to_string()))?;
        self.put(address, link);
        Ok(answer)
    }
}

async fn ask((link, _): &mut PeerConnection, frame: Bytes) -> io::Result<Vec<u8>> {
    link.send(frame).await?;
    match link.next().await {
        Some(answer) => Ok(answer?.to_vec()),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Serves the peers' links until told to stop.
pub async fn serve(
    controller: Arc<Controller>,
    listener: TcpListener,
    sockets: Sockets,
    stop: CancellationToken,
) {
    let places = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let Some(taken) = sockets.take(Use::Service) else {
            continue;
        };
        let (controller, stop) = (controller.clone(), stop.clone());
        tokio::spawn(async move {
            let _place = place;
            tokio::select! {
                biased;
                _ = stop.cancelled() => {}
                _ = serve_link(&controller, framed(stream, taken)) => {}
            }
        });
    }
}

async fn serve_link(controller: &Arc<Controller>, (mut link, _taken): PeerConnection) {
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE, link.next()).await {
        let Some(answer) = answer(controller, &frame).await else {
            return;
        };
        if link.send(Bytes::from(answer)).await.is_err() {
            return;
        }
    }
}

/// Answers a peer's message. One that this version can't read is answered too: a
/// dropped link would look like a controller that is gone.
pub async fn answer(controller: &Arc<Controller>, frame: &[u8]) -> Option<Vec<u8>> {
    let answer = match peer_frames::decode_request(frame) {
        Ok(call) => controller.peer_exchange.handle_request(call).await,
        Err(error) => {
            tracing::debug!(%error, "unreadable peer message");
            PeerResponse::Unknown
        }
    };
    peer_frames::encode_response(answer).ok()
}
