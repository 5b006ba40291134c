//! Requests for quota from one controller to another, and the reasons to refuse them.

use std::collections::BTreeMap;

use crate::Quota;

/// A request to the donor to transfer parts of its allocations to the recipient. `C` is the
/// type of controller names and `T` that of team names.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferRequest<C, T> {
    /// The controller that sends the request and lacks the quota.
    pub recipient: C,
    /// The incarnation (process) of that controller: a restarted controller counts as another
    /// recipient.
    pub incarnation: u64,
    /// Sequence number of the request; increases with every request of the incarnation to any
    /// donor.
    pub number: u64,
    /// The amounts that the recipient lacks, by team.
    pub wanted: BTreeMap<T, Quota>,
}

/// Reason why a donor refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// The settings contain no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// The settings contain no such controller, or it is the donor itself.
    #[error("unknown controller")]
    UnknownController,
    /// The request is empty, or contains an amount that is zero, negative or not finite.
    #[error("invalid amount")]
    InvalidAmount,
    /// The donor has received the same or a later request of this incarnation, or the
    /// incarnation no longer owns its controller's allocations.
    #[error("outdated request")]
    Outdated,
    /// The donor's queue of requests is full.
    #[error("too many requests")]
    Busy,
    /// The donor uses or needs its whole allocation.
    #[error("nothing to spare")]
    NothingToSpare,
    /// The donor cannot commit now, or not every controller supports transfers.
    #[error("not ready")]
    NotReady,
    /// One of the records has changed; the recipient may retry.
    #[error("conflicting change")]
    Conflict,
}

impl Refusal {
    /// Every refusal, in the order of [`Refusal::code`].
    pub const ALL: [Refusal; 8] = [
        Refusal::UnknownTeam,
        Refusal::UnknownController,
        Refusal::InvalidAmount,
        Refusal::Outdated,
        Refusal::Busy,
        Refusal::NothingToSpare,
        Refusal::NotReady,
        Refusal::Conflict,
    ];

    /// Returns the number that represents this refusal in messages between controllers.
    pub fn code(self) -> u8 {
        Self::ALL
            .iter()
            .position(|known| *known == self)
            .unwrap_or(0) as u8
    }

    /// Returns the refusal for a number from a message, or none if it is unknown.
    pub fn from_code(code: u8) -> Option<Self> {
        Self::ALL.get(usize::from(code)).copied()
    }

    /// Whether the request itself is invalid. Such requests are logged, and retrying them is
    /// useless.
    pub fn is_invalid_request(self) -> bool {
        matches!(
            self,
            Self::UnknownTeam | Self::UnknownController | Self::InvalidAmount
        )
    }
}
