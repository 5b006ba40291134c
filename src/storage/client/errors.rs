//! Errors of the key-value store.

/// Why the state service did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// It is there, but does not serve now.
    #[error("refused: not executed")]
    Unavailable,
    /// Its request or write rate is exceeded.
    #[error("over the request limit: not executed")]
    Throttled,
    /// Nothing was heard of the request, or its answer was lost.
    #[error("no answer: perhaps executed")]
    NoAnswer,
    /// The lease, and the keys attached to it, are no more.
    #[error("the lease has expired")]
    LeaseExpired,
    /// A watch from this revision would miss changes.
    #[error("too old a revision to follow")]
    TooOld,
    /// The request can never be served; with the reason.
    #[error("rejected: {0}")]
    Rejected(String),
}

/// Why a transaction has not changed anything, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// These keys do not have the revisions that were required.
    #[error("conditions failed on {0:?}")]
    Conflict(Vec<String>),
    /// The service did not do it, or did not say so.
    #[error(transparent)]
    State(#[from] StateError),
}

impl CommitError {
    /// The transaction may have been executed, or may yet be.
    pub fn is_unknown(&self) -> bool {
        matches!(self, CommitError::State(StateError::NoAnswer))
    }
}
