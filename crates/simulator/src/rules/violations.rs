//! The rules of the protocol, and the text of a violation.

use std::{fmt, time::Duration};

/// A rule that the controllers must not violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// A task runs on two machines at the same time.
    RanTwice,
    /// A task or an answer belongs to a job that was never submitted.
    Invented,
    /// A task is on a machine later than the maximum time after its user was informed that the
    /// job is cancelled.
    RanCancelled,
    /// A task is on a machine that its job does not allow.
    WrongPlace,
    /// A team uses more than its limit.
    Quota,
    /// A job is reported done before all of its tasks have completed.
    NotDone,
    /// A job is reported cancelled without a request of its user, or in another state after a
    /// final one.
    WentBack,
    /// An accepted job is unknown to the controllers, or requests about it are no longer answered.
    Forgotten,
    /// A job waits too long although there is capacity and quota for it.
    Waited,
    /// One of the largest jobs started too late.
    BeganLate,
    /// Less than half of the jobs of a class, of a team or of a class's largest jobs are served.
    Unserved,
    /// A task joins a gang's attempt that has already started or ended.
    Reused,
    /// A controller was sent a message that its version cannot read.
    Unreadable,
    /// A controller's state cache differs from the state service at the same revision.
    CacheDiffers,
    /// An invalid submission was answered with an unexpected HTTP status.
    WrongStatus,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::RanTwice => "ran_twice",
            Rule::Invented => "invented",
            Rule::RanCancelled => "ran_cancelled",
            Rule::WrongPlace => "wrong_place",
            Rule::Quota => "quota",
            Rule::NotDone => "not_done",
            Rule::WentBack => "went_back",
            Rule::Forgotten => "forgotten",
            Rule::Waited => "waited",
            Rule::BeganLate => "began_late",
            Rule::Unserved => "unserved",
            Rule::Reused => "reused",
            Rule::Unreadable => "unreadable",
            Rule::CacheDiffers => "cache_differs",
            Rule::WrongStatus => "wrong_status",
        })
    }
}

/// Returns a line that describes a violation: time in seconds, rule and details.
pub(super) fn describe(at: Duration, rule: Rule, what: impl fmt::Display) -> String {
    format!("{:.3} {rule}: {what}", at.as_secs_f64())
}
