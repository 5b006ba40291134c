//! Requests and responses between controllers, encoded as `rkyv` archives in
//! length-delimited frames and validated before they are decoded. The peer client and the
//! server of peer connections write and read them.
//!
//! The order of fields and variants defines the layout of an archive. As controllers of
//! several versions run at the same time during an upgrade, fields must not be added, removed
//! or moved, and variants may only be added at the end.

mod quota;
mod request;
mod response;
mod status;

use rkyv::{rancor, util::AlignedVec};

use self::{request::RequestFrame, response::ResponseFrame};
use crate::coordination::clients::{PeerRequest, PeerResponse};

/// Maximum size of a frame; larger ones are rejected. The largest frame is a status with 8,192
/// owned machines and 8,192 indirect heartbeats, which a unit test encodes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A frame that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("invalid peer frame: {0}")]
pub struct FrameError(#[from] rancor::Error);

/// Encodes a request as a frame.
pub fn encode_request(request: PeerRequest) -> Result<Vec<u8>, FrameError> {
    let frame = RequestFrame::from(request);
    Ok(rkyv::to_bytes::<rancor::Error>(&frame)?.to_vec())
}

/// Decodes the request in a frame.
pub fn decode_request(frame: &[u8]) -> Result<PeerRequest, FrameError> {
    let frame = rkyv::from_bytes::<RequestFrame, rancor::Error>(&aligned_copy(frame))?;
    Ok(frame.into())
}

/// Encodes a response as a frame.
pub fn encode_response(response: PeerResponse) -> Result<Vec<u8>, FrameError> {
    let frame = ResponseFrame::from(response);
    Ok(rkyv::to_bytes::<rancor::Error>(&frame)?.to_vec())
}

/// Decodes the response in a frame.
pub fn decode_response(frame: &[u8]) -> Result<PeerResponse, FrameError> {
    let frame = rkyv::from_bytes::<ResponseFrame, rancor::Error>(&aligned_copy(frame))?;
    Ok(frame.into())
}

/// Copies a frame to aligned memory: `rkyv` accesses archives in place, which requires it.
fn aligned_copy(frame: &[u8]) -> AlignedVec {
    let mut copy = AlignedVec::with_capacity(frame.len());
    copy.extend_from_slice(frame);
    copy
}

#[cfg(test)]
mod tests;
