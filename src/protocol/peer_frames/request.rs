//! Frames of requests.

use rkyv::{Archive, Deserialize, Serialize};

use super::{
    quota::{TeamQuotaFrame, quotas_from_frames, quotas_to_frames},
    status::StatusFrame,
};
use crate::{
    coordination::clients::{Offer, PeerRequest, QuotaRequest, QuotaTargets},
    storage::{ControllerName, JobId, Revision, TaskId},
};

/// A request, see [`PeerRequest`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) enum RequestFrame {
    /// The sender's status.
    Status(StatusFrame),
    /// Tasks to place.
    Offers(Vec<OfferFrame>),
    /// Tasks to stop.
    Preempt(Vec<TaskFrame>),
    /// Address of an agent that the receiver should try to reach.
    Probe(String),
    // The following variants are sent only to peers whose protocol version supports them. No
    // variant may be larger than `Status`: a reader locates an archive's root by the size of
    // this enum, counted back from the end of the frame, so a larger variant would make all
    // frames unreadable for older peers.
    /// Request for the jobs that were cancelled after a revision.
    CancelledSince(u64),
    /// Request for quota.
    Quota(QuotaRequestFrame),
    /// The receiver's planned quota.
    QuotaTargets(QuotaTargetsFrame),
}

/// Tasks of a job, see [`Offer`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct OfferFrame {
    job: String,
    tasks: Vec<u32>,
}

/// A task, see [`TaskId`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct TaskFrame {
    job: String,
    index: u32,
}

/// A request for quota, see [`QuotaRequest`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct QuotaRequestFrame {
    recipient: String,
    process: u64,
    number: u64,
    wanted: Vec<TeamQuotaFrame>,
}

/// The leader's plan for the receiver's quota, see [`QuotaTargets`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct QuotaTargetsFrame {
    leader: u64,
    budgets: Vec<TeamQuotaFrame>,
}

impl From<PeerRequest> for RequestFrame {
    fn from(request: PeerRequest) -> Self {
        match request {
            PeerRequest::Status(status) => Self::Status(status.into()),
            PeerRequest::Offers(offers) => {
                Self::Offers(offers.into_iter().map(OfferFrame::from).collect())
            }
            PeerRequest::Preempt(tasks) => {
                Self::Preempt(tasks.into_iter().map(TaskFrame::from).collect())
            }
            PeerRequest::Probe(address) => Self::Probe(address),
            PeerRequest::CancelledSince(revision) => Self::CancelledSince(revision.0),
            PeerRequest::RequestQuota(request) => Self::Quota(request.into()),
            PeerRequest::SetQuotaTargets(targets) => Self::QuotaTargets(targets.into()),
        }
    }
}

impl From<RequestFrame> for PeerRequest {
    /// Skips offers and tasks with an invalid job id.
    fn from(frame: RequestFrame) -> Self {
        match frame {
            RequestFrame::Status(status) => Self::Status(status.into()),
            RequestFrame::Offers(offers) => Self::Offers(
                offers
                    .into_iter()
                    .filter_map(OfferFrame::into_offer)
                    .collect(),
            ),
            RequestFrame::Preempt(tasks) => Self::Preempt(
                tasks
                    .into_iter()
                    .filter_map(TaskFrame::into_task_id)
                    .collect(),
            ),
            RequestFrame::Probe(address) => Self::Probe(address),
            RequestFrame::CancelledSince(revision) => Self::CancelledSince(Revision(revision)),
            RequestFrame::Quota(request) => Self::RequestQuota(request.into()),
            RequestFrame::QuotaTargets(targets) => Self::SetQuotaTargets(targets.into()),
        }
    }
}

impl From<Offer> for OfferFrame {
    fn from(offer: Offer) -> Self {
        Self {
            job: offer.job.to_string(),
            tasks: offer.tasks,
        }
    }
}

impl OfferFrame {
    fn into_offer(self) -> Option<Offer> {
        Some(Offer {
            job: JobId::parse(&self.job)?,
            tasks: self.tasks,
        })
    }
}

impl From<TaskId> for TaskFrame {
    fn from(task: TaskId) -> Self {
        Self {
            job: task.job.to_string(),
            index: task.index,
        }
    }
}

impl TaskFrame {
    fn into_task_id(self) -> Option<TaskId> {
        Some(TaskId::new(JobId::parse(&self.job)?, self.index))
    }
}

impl From<QuotaRequest> for QuotaRequestFrame {
    fn from(request: QuotaRequest) -> Self {
        Self {
            recipient: request.recipient.to_string(),
            process: request.incarnation,
            number: request.number,
            wanted: quotas_to_frames(request.wanted),
        }
    }
}

impl From<QuotaRequestFrame> for QuotaRequest {
    fn from(frame: QuotaRequestFrame) -> Self {
        Self {
            recipient: ControllerName::new(frame.recipient),
            incarnation: frame.process,
            number: frame.number,
            wanted: quotas_from_frames(frame.wanted),
        }
    }
}

impl From<QuotaTargets> for QuotaTargetsFrame {
    fn from(targets: QuotaTargets) -> Self {
        Self {
            leader: targets.leader.0,
            budgets: quotas_to_frames(targets.budgets),
        }
    }
}

impl From<QuotaTargetsFrame> for QuotaTargets {
    fn from(frame: QuotaTargetsFrame) -> Self {
        Self {
            leader: Revision(frame.leader),
            budgets: quotas_from_frames(frame.budgets),
        }
    }
}
