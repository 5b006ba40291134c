//! The rules of the protocol, and how a violation is written.

use std::{fmt, time::Duration};

/// A rule that the controllers must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// A task is on two machines.
    RanTwice,
    /// A task or an answer belongs to a job that nobody has submitted.
    Invented,
    /// A task is on a machine long after its user was told that the job is cancelled.
    RanCancelled,
    /// A task is on a machine that its job does not allow.
    WrongPlace,
    /// A team uses more than its limit.
    Quota,
    /// A job is reported done before all of its tasks have completed.
    NotDone,
    /// A final state was reported that does not hold, or holds no longer.
    WentBack,
    /// An accepted job is not known any more.
    Forgotten,
    /// A job waits although there is capacity and quota for it.
    Waited,
    /// One of the largest jobs began too late.
    BeganLate,
    /// Less than half of a class, of a team or of the largest jobs is served.
    Unserved,
    /// An attempt of a gang is used again.
    Reused,
    /// A controller gets a message that its version cannot read.
    Unreadable,
    /// An invalid submission got another status than it must.
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
            Rule::WrongStatus => "wrong_status",
        })
    }
}

/// One line about a violation: when, which rule, and what was seen.
pub(super) fn describe(at: Duration, rule: Rule, what: impl fmt::Display) -> String {
    format!("{:.3} {rule}: {what}", at.as_secs_f64())
}
