//! How soon a job is served.

use std::time::Duration;

use crate::storage::Priority;

/// How soon a job is to be served, the soonest first.
pub(super) type QueueRank = (std::cmp::Reverse<Priority>, bool, u64);

/// A job of which no task has begun for this long is served before others of
/// its priority, and with each further such time as if its priority were one
/// higher; one that has begun but still has tasks waiting rises half as fast.
/// Early-first alone lets bursts of small or important jobs keep it waiting for
/// good (exception to section 4.4.1, see docs/DESIGN.md).
const AGING_INTERVAL: Duration = Duration::from_secs(75);

/// The standing of a job that has waited, with its team's borrowing.
pub(super) fn raised_by_age(
    priority: Priority,
    borrows: bool,
    begun: bool,
    age: Duration,
) -> (Priority, bool) {
    let span = if begun {
        AGING_INTERVAL * 2
    } else {
        AGING_INTERVAL
    };
    let steps = age.as_secs() / span.as_secs();
    let mut raised = priority;
    for _ in 1..steps {
        raised = match raised {
            Priority::BestEffort => Priority::Normal,
            Priority::Normal | Priority::Urgent => Priority::Urgent,
            Priority::Production => Priority::Production,
        };
    }
    (raised, borrows && steps == 0)
}
