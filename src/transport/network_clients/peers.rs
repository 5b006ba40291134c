//! The client of the other controllers, over framed TCP connections.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::future::{BoxFuture, FutureExt};

use crate::{
    coordination::clients::{NoAnswer, PeerClient, PeerRequest, PeerResponse},
    protocol::peer_frames::{self, FrameError},
    storage::ControllerName,
    transport::network::{Network, SendError},
};

/// Time for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);

/// The client of all other controllers.
pub(super) struct TcpPeerClient {
    /// Carries the frames.
    pub(super) network: Arc<dyn Network>,
    /// The other controllers, as IP:PORT.
    pub(super) addresses: HashMap<ControllerName, String>,
}

/// Why a call to another controller has no answer.
#[derive(Debug, thiserror::Error)]
enum PeerCallError {
    /// The settings do not name the controller.
    #[error("not a peer")]
    NotAPeer,
    /// The request cannot be written or the answer cannot be read.
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
    ) -> Result<PeerResponse, PeerCallError> {
        let address = self.addresses.get(controller);
        let address = address.ok_or(PeerCallError::NotAPeer)?;
        let frame = peer_frames::encode_request(request)?;
        let answer = self
            .network
            .send_frame(address, frame, REQUEST_TIMEOUT)
            .await?;
        Ok(peer_frames::decode_response(&answer)?)
    }
}

impl PeerClient for TcpPeerClient {
    fn call<'a>(
        &'a self,
        controller: &'a ControllerName,
        call: PeerRequest,
    ) -> BoxFuture<'a, Result<PeerResponse, NoAnswer>> {
        async move {
            self.exchange(controller, call)
                .await
                .map_err(|error| NoAnswer(error.to_string()))
        }
        .boxed()
    }
}
