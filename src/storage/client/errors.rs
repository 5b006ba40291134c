//! Errors of the state service.

/// Why a request to the state service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The service is unavailable, or the request could not be sent.
    #[error("service unavailable: request not executed")]
    Unavailable,
    /// The service's request or write rate limit is exceeded.
    #[error("rate limit exceeded: request not executed")]
    Throttled,
    /// The request timed out, or its response was lost or reported an internal error.
    #[error("no answer: request may have been executed")]
    NoResponse,
    /// The lease has expired, and the keys attached to it are deleted.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The changes since the requested revision are no longer available: a watch from there
    /// would miss some.
    #[error("revision is too old to watch from")]
    TooOld,
    /// The request is invalid and fails on every retry; with the reason.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// Why a transaction was not committed, or is not known to have been.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The conditions on these keys do not hold: their revisions are not the required ones.
    #[error("revision conditions failed for keys {0:?}")]
    Conflict(Vec<String>),
    /// The request to the state service failed.
    #[error(transparent)]
    State(#[from] StateError),
}

impl CommitError {
    /// Whether the transaction may have been executed, or may still be.
    pub fn is_unknown(&self) -> bool {
        matches!(self, CommitError::State(StateError::NoResponse))
    }
}
