//! Tests of `coordination::leader::routing`.

use super::{queue_order::aged_priority, *};
use crate::storage::Priority;

/// Guards against starvation of jobs behind others of higher priority or earlier deadline.
#[test]
fn waiting_raises_the_priority_of_a_job() {
    let secs = Duration::from_secs;
    let normal = |age| aged_priority(Priority::Normal, true, false, secs(age));
    assert_eq!(normal(74), (Priority::Normal, true));
    assert_eq!(normal(75), (Priority::Normal, false));
    assert_eq!(normal(150), (Priority::Urgent, false));
    assert_eq!(
        normal(900),
        (Priority::Urgent, false),
        "never above `Urgent`, so that it stays below replicas"
    );
    assert_eq!(
        aged_priority(Priority::BestEffort, true, false, secs(225)),
        (Priority::Urgent, false)
    );
    let started = |age| aged_priority(Priority::Normal, true, true, secs(age));
    assert_eq!(started(149), (Priority::Normal, true));
    assert_eq!(started(150), (Priority::Normal, false));
    assert_eq!(started(300), (Priority::Urgent, false));
}

#[test]
fn tasks_left_is_limited_by_quota_and_usage() {
    let quota = |cpus| Quota { cpus, gpus: 0.0 };
    assert_eq!(tasks_left(&quota(10.0), &quota(1.0), &quota(4.0)), 2);
    assert_eq!(tasks_left(&quota(10.0), &quota(2.0), &quota(4.0)), 2);
    assert_eq!(tasks_left(&quota(10.0), &quota(12.0), &quota(4.0)), 0);
}
