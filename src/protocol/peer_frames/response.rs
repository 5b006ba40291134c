//! Frames of responses.

use ::quota::Refusal;
use rkyv::{Archive, Deserialize, Serialize};

use super::{
    quota::{TeamQuotaFrame, quotas_from_frames, quotas_to_frames},
    status::StatusFrame,
};
use crate::{
    coordination::clients::{Cancellations, PeerResponse, QuotaResponse},
    storage::{JobId, Revision},
};

/// A response, see [`PeerResponse`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) enum ResponseFrame {
    /// The answering controller's status.
    Status(StatusFrame),
    /// The request was taken over.
    Accepted,
    /// Whether an agent answered.
    ProbeResult(bool),
    // As in requests: only to peers whose protocol version has it, and not larger than
    // `Status`.
    /// Cancelled jobs.
    CancelledSince(CancellationsFrame),
    /// The request is not known to this version.
    Unknown,
    /// Quota that was transferred.
    QuotaGranted(Vec<TeamQuotaFrame>),
    /// Code of the reason why no quota was transferred.
    QuotaRefused(u8),
    /// The transfer is not decided yet.
    QuotaUndecided,
}

/// Cancelled jobs beyond a revision.
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct CancellationsFrame {
    seen: u64,
    /// Whether all of them could be named; if not, none is.
    is_complete: bool,
    jobs: Vec<String>,
}

impl From<PeerResponse> for ResponseFrame {
    fn from(response: PeerResponse) -> Self {
        match response {
            PeerResponse::Status(status) => Self::Status(status.into()),
            PeerResponse::Accepted => Self::Accepted,
            PeerResponse::ProbeResult(is_up) => Self::ProbeResult(is_up),
            PeerResponse::CancelledSince(cancellations) => {
                Self::CancelledSince(cancellations.into())
            }
            PeerResponse::Unknown => Self::Unknown,
            PeerResponse::Quota(QuotaResponse::Granted(amounts)) => {
                Self::QuotaGranted(quotas_to_frames(amounts))
            }
            PeerResponse::Quota(QuotaResponse::Refused(refusal)) => {
                Self::QuotaRefused(refusal.code())
            }
            PeerResponse::Quota(QuotaResponse::Undecided) => Self::QuotaUndecided,
        }
    }
}

impl From<ResponseFrame> for PeerResponse {
    fn from(frame: ResponseFrame) -> Self {
        match frame {
            ResponseFrame::Status(status) => Self::Status(status.into()),
            ResponseFrame::Accepted => Self::Accepted,
            ResponseFrame::ProbeResult(is_up) => Self::ProbeResult(is_up),
            ResponseFrame::CancelledSince(cancellations) => {
                Self::CancelledSince(cancellations.into())
            }
            ResponseFrame::Unknown => Self::Unknown,
            ResponseFrame::QuotaGranted(amounts) => {
                Self::Quota(QuotaResponse::Granted(quotas_from_frames(amounts)))
            }
            // A later version's refusal is a refusal.
            ResponseFrame::QuotaRefused(code) => Self::Quota(QuotaResponse::Refused(
                Refusal::from_code(code).unwrap_or(Refusal::NotReady),
            )),
            ResponseFrame::QuotaUndecided => Self::Quota(QuotaResponse::Undecided),
        }
    }
}

impl From<Cancellations> for CancellationsFrame {
    fn from(cancellations: Cancellations) -> Self {
        let is_complete = cancellations.jobs.is_some();
        let jobs = cancellations.jobs.unwrap_or_default();
        Self {
            seen: cancellations.seen.0,
            is_complete,
            jobs: jobs.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<CancellationsFrame> for Cancellations {
    /// With a name that is no job's, none of them counts as named.
    fn from(frame: CancellationsFrame) -> Self {
        let jobs = frame.jobs.iter().map(|name| JobId::parse(name));
        let jobs: Option<Vec<JobId>> = jobs.collect();
        Self {
            seen: Revision(frame.seen),
            jobs: jobs.filter(|_| frame.is_complete),
        }
    }
}
