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
    /// The responding controller's status.
    Status(StatusFrame),
    /// The receiver has accepted the request.
    Accepted,
    /// Whether an agent answered at the probed address.
    ProbeResult(bool),
    // As with requests, the following variants are sent only to peers whose protocol version
    // supports them, and must not be larger than `Status`.
    /// The cancelled jobs that the receiver knows.
    CancelledSince(CancellationsFrame),
    /// The receiver's version cannot decode the request.
    Unknown,
    /// The quota that was transferred.
    QuotaGranted(Vec<TeamQuotaFrame>),
    /// No quota was transferred, with the code of the [`Refusal`].
    QuotaRefused(u8),
    /// The outcome of the transfer is not known yet.
    QuotaUndecided,
}

/// Jobs cancelled after the requested revision, see [`Cancellations`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct CancellationsFrame {
    seen: u64,
    /// Whether `jobs` contains all cancelled jobs; otherwise it is empty.
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
            PeerResponse::Quota(QuotaResponse::Granted(quotas)) => {
                Self::QuotaGranted(quotas_to_frames(quotas))
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
            ResponseFrame::QuotaGranted(quotas) => {
                Self::Quota(QuotaResponse::Granted(quotas_from_frames(quotas)))
            }
            // An unknown code comes from a later version and still means a refusal.
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
            seen: cancellations.highest_revision.0,
            is_complete,
            jobs: jobs.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<CancellationsFrame> for Cancellations {
    /// Treats the list of jobs as incomplete if it contains an invalid job id.
    fn from(frame: CancellationsFrame) -> Self {
        let jobs = frame.jobs.iter().map(|name| JobId::parse(name));
        let jobs: Option<Vec<JobId>> = jobs.collect();
        Self {
            highest_revision: Revision(frame.seen),
            jobs: jobs.filter(|_| frame.is_complete),
        }
    }
}
