//! Messages between controllers: `rkyv` archives in length-framed messages, validated
//! before they are read. The peer client and the server of peer connections write and read
//! them.
//!
//! Archives are laid out by the order of fields and variants: while controllers of several
//! versions serve together, no field may be added, removed or moved, and variants are added
//! at the end only.

mod quota;
mod request;
mod response;
mod status;

use rkyv::{rancor, util::AlignedVec};

use self::{request::RequestFrame, response::ResponseFrame};
use crate::coordination::clients::{PeerRequest, PeerResponse};

/// Frames beyond this are not read. The largest tells of all machines: of 8,192 owned and
/// 8,192 with indirect heartbeats, see the test.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A frame that cannot be written, or is no message of a controller.
#[derive(Debug, thiserror::Error)]
#[error("not a message of a controller: {0}")]
pub struct FrameError(#[from] rancor::Error);

/// The frame of a request.
pub fn encode_request(request: PeerRequest) -> Result<Vec<u8>, FrameError> {
    let frame = RequestFrame::from(request);
    Ok(rkyv::to_bytes::<rancor::Error>(&frame)?.to_vec())
}

/// The request in a frame.
pub fn decode_request(frame: &[u8]) -> Result<PeerRequest, FrameError> {
    let frame = rkyv::from_bytes::<RequestFrame, rancor::Error>(&aligned(frame))?;
    Ok(frame.into())
}

/// The frame of a response.
pub fn encode_response(response: PeerResponse) -> Result<Vec<u8>, FrameError> {
    let frame = ResponseFrame::from(response);
    Ok(rkyv::to_bytes::<rancor::Error>(&frame)?.to_vec())
}

/// The response in a frame.
pub fn decode_response(frame: &[u8]) -> Result<PeerResponse, FrameError> {
    let frame = rkyv::from_bytes::<ResponseFrame, rancor::Error>(&aligned(frame))?;
    Ok(frame.into())
}

/// Archives are read in place and must lie at a multiple of their alignment.
fn aligned(frame: &[u8]) -> AlignedVec {
    let mut copy = AlignedVec::with_capacity(frame.len());
    copy.extend_from_slice(frame);
    copy
}

#[cfg(test)]
mod tests;
