//! Tests of the zone constraints, with expected values calculated by hand.

use super::{super::placement::tests::spec, ZoneConstraint, ZoneScope, half_rounded_up};
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
fn a_job_confined_to_one_zone_is_admitted_only_there() {
    let (a, b) = zones();
    let mut constraint = ZoneConstraint::of_job(&bound(5, false, true));
    assert!(constraint.has_no_zone() && constraint.admits(&a) && constraint.admits(&b));
    constraint.confine_to(a.clone());
    assert!(!constraint.has_no_zone() && constraint.admits(&a) && !constraint.admits(&b));
}

#[test]
fn a_job_without_zone_constraint_is_admitted_in_any_zone() {
    let (a, _) = zones();
    let mut constraint = ZoneConstraint::of_job(&bound(2, false, false));
    for _ in 0..10 {
        constraint.add(&a);
    }
    assert!(constraint.admits(&a));
    assert_eq!(constraint.overfull_zones().count(), 0);
}

/// Guards the assumption behind [`ZoneScope::PerRecord`]: the maxima of the records add up to
/// half of the job, so that a record can be written without reading the others.
#[test]
fn limits_of_records_add_up_to_half_of_the_job() {
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
        assert_eq!(in_one_zone, half_rounded_up(tasks), "{tasks} tasks");
    }
}

#[test]
fn an_overfull_zone_is_reported_and_can_be_excluded() {
    let (a, b) = zones();
    let spec = bound(80, true, false);
    let mut record = ZoneConstraint::of_record(&spec, 0);
    for _ in 0..19 {
        record.add(&a);
    }
    assert_eq!(record.overfull_zones().collect::<Vec<_>>(), [&a]);
    let mut other = ZoneConstraint::of_record(&spec, 1);
    other.exclude_zone(a.clone());
    assert!(!other.admits(&a) && other.admits(&b));
}

#[test]
fn only_jobs_of_many_records_are_placed_record_by_record() {
    let scope = |tasks, spread, changes| ZoneScope::of(&bound(tasks, spread, false), changes);
    // 5 changes allow 20 conditions: 16 run records and 4 others.
    let most = 16 * keys::TASKS_PER_RUN_RECORD;
    assert_eq!(scope(most, true, 5), ZoneScope::WholeJob);
    assert_eq!(scope(most + 1, true, 5), ZoneScope::PerRecord);
    assert_eq!(scope(most + 1, true, 16), ZoneScope::WholeJob);
    assert_eq!(
        scope(100_000, false, 5),
        ZoneScope::WholeJob,
        "no zone constraint"
    );
}
