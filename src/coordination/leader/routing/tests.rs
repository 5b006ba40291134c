//! Tests of `coordination::leader::routing`.

use super::{queue_order::raised_by_age, *};
use crate::storage::Priority;

/// Guards against jobs that wait for good behind others.
#[test]
fn a_job_that_waits_rises() {
    let secs = Duration::from_secs;
    let normal = |age| raised_by_age(Priority::Normal, true, false, secs(age));
    assert_eq!(normal(74), (Priority::Normal, true));
    assert_eq!(normal(75), (Priority::Normal, false));
    assert_eq!(normal(150), (Priority::Urgent, false));
    assert_eq!(
        normal(900),
        (Priority::Urgent, false),
        "never above replicas"
    );
    assert_eq!(
        raised_by_age(Priority::BestEffort, true, false, secs(225)),
        (Priority::Urgent, false)
    );
    let begun = |age| raised_by_age(Priority::Normal, true, true, secs(age));
    assert_eq!(begun(149), (Priority::Normal, true));
    assert_eq!(begun(150), (Priority::Normal, false));
    assert_eq!(begun(300), (Priority::Urgent, false));
}

#[test]
fn what_is_left_of_a_limit() {
    let quota = |cpus| Quota { cpus, gpus: 0.0 };
    assert_eq!(tasks_left(&quota(10.0), &quota(1.0), &quota(4.0)), 2);
    assert_eq!(tasks_left(&quota(10.0), &quota(2.0), &quota(4.0)), 2);
    assert_eq!(tasks_left(&quota(10.0), &quota(12.0), &quota(4.0)), 0);
}
