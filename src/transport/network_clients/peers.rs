//! The client of the other controllers, over TCP connections with length-delimited frames.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::future::{BoxFuture, FutureExt};

use crate::{
    coordination::clients::{NoResponse, PeerClient, PeerRequest, PeerResponse},
    protocol::peer_frames::{self, FrameError},
    storage::ControllerName,
    transport::network::{Network, SendError},
};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);

/// The client of all other controllers.
pub(super) struct TcpPeerClient {
    /// Network that sends the frames.
    pub(super) network: Arc<dyn Network>,
    /// Addresses of the other controllers, as IP:PORT.
    pub(super) addresses: HashMap<ControllerName, String>,
}

/// Why a request to another controller has no response.
#[derive(Debug, thiserror::Error)]
enum PeerRequestError {
    /// The controller is not among the peers in the settings.
    #[error("not a peer")]
    NotAPeer,
    /// The request cannot be encoded or the response cannot be decoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The exchange failed.
    #[error(transparent)]
    Send(#[from] SendError),
}

impl TcpPeerClient {
    async fn exchange(
        &self,
        controller: &ControllerName,
        request: PeerRequest,
    ) -> Result<PeerResponse, PeerRequestError> {
        let address = self.addresses.get(controller);
        let address = address.ok_or(PeerRequestError::NotAPeer)?;
        let frame = peer_frames::encode_request(request)?;
        let response = self
            .network
            .send_frame(address, frame, REQUEST_TIMEOUT)
            .await?;
        Ok(peer_frames::decode_response(&response)?)
    }
}

impl PeerClient for TcpPeerClient {
    fn call<'a>(
        &'a self,
        controller: &'a ControllerName,
        request: PeerRequest,
    ) -> BoxFuture<'a, Result<PeerResponse, NoResponse>> {
        async move {
            self.exchange(controller, request)
                .await
                .map_err(|error| NoResponse(error.to_string()))
        }
        .boxed()
    }
}
