//! Tests of the zone constraints, with numbers worked out by hand.

use super::{super::placement::tests::spec, ZoneConstraint, ZoneScope, half};
use crate::storage::{JobSpec, ZoneName, keys};

fn bound(tasks: u32, spread: bool, one_zone: bool) -> JobSpec {
    JobSpec {
        tasks,
        spread,
        one_zone,
        ..spec(1.0, false)
    }
}

fn zones() -> (ZoneName, ZoneName) {
    (ZoneName::new("a"), ZoneName::new("b"))
}

#[test]
fn a_spread_job_has_at_most_half_in_one_zone() {
    let (a, b) = zones();
    let mut constraint = ZoneConstraint::of_job(&bound(5, true, false));
    for _ in 0..3 {
        assert!(constraint.admits(&a));
        constraint.add(&a);
    }
    assert!(!constraint.admits(&a) && constraint.admits(&b));
}

#[test]
fn a_job_in_one_zone_stays_there() {
    let (a, b) = zones();
    let mut constraint = ZoneConstraint::of_job(&bound(5, false, true));
    assert!(constraint.is_open() && constraint.admits(&a) && constraint.admits(&b));
    constraint.confine(a.clone());
    assert!(!constraint.is_open() && constraint.admits(&a) && !constraint.admits(&b));
}

#[test]
fn an_unbound_job_may_be_anywhere() {
    let (a, _) = zones();
    let mut constraint = ZoneConstraint::of_job(&bound(2, false, false));
    for _ in 0..10 {
        constraint.add(&a);
    }
    assert!(constraint.admits(&a));
    assert_eq!(constraint.exceeded().count(), 0);
}

/// Guards the argument that lets a record be written without the others: its halves
/// add up to the half of the job.
#[test]
fn halves_of_records_add_up_to_half_of_the_job() {
    let (a, _) = zones();
    for tasks in [1, 2, 35, 36, 37, 71, 72, 73, 540, 541, 100_000] {
        let spec = bound(tasks, true, false);
        let mut in_one_zone = 0;
        for record in 0..spec.run_record_count() {
            let mut constraint = ZoneConstraint::of_record(&spec, record);
            while constraint.admits(&a) {
                constraint.add(&a);
                in_one_zone += 1;
            }
        }
        assert_eq!(in_one_zone, half(tasks), "{tasks} tasks");
    }
}

#[test]
fn a_zone_with_too_many_is_found_and_closed() {
    let (a, b) = zones();
    let spec = bound(80, true, false);
    let mut record = ZoneConstraint::of_record(&spec, 0);
    for _ in 0..19 {
        record.add(&a);
    }
    assert_eq!(record.exceeded().collect::<Vec<_>>(), [&a]);
    let mut other = ZoneConstraint::of_record(&spec, 1);
    other.close(a.clone());
    assert!(!other.admits(&a) && other.admits(&b));
}

#[test]
fn only_jobs_of_many_records_are_placed_record_by_record() {
    let scope = |tasks, spread, changes| ZoneScope::of(&bound(tasks, spread, false), changes);
    // Five changes allow 20 conditions: 16 records and four more.
    let most = 16 * keys::CHUNK;
    assert_eq!(scope(most, true, 5), ZoneScope::WholeJob);
    assert_eq!(scope(most + 1, true, 5), ZoneScope::PerRecord);
    assert_eq!(scope(most + 1, true, 16), ZoneScope::WholeJob);
    assert_eq!(scope(100_000, false, 5), ZoneScope::WholeJob, "not bound");
}
