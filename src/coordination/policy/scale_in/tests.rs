//! Tests of `coordination::policy::scale_in`.

use super::*;

const THRESHOLDS: Thresholds = Thresholds {
    alpha: 0.05,
    evenness: 0.4,
    utilisation: 0.5,
};

fn machine(
    id: u32,
    type_index: usize,
    utilisation: f64,
    computing_power: f64,
    paid_left_s: u64,
) -> MachineUtilisation<u32> {
    MachineUtilisation {
        id,
        type_index,
        utilisation,
        computing_power,
        shard: 1,
        paid_left: Duration::from_secs(paid_left_s),
    }
}

#[test]
fn evenness_of_two_types() {
    assert!((evenness(&[5, 5]) - 1.0).abs() < 1e-9);
    assert_eq!(evenness(&[5, 0]), 0.0);
    assert_eq!(evenness(&[5]), 0.0);
    // p = 0.9, 0.1: H = 0.0948 + 0.2303 = 0.3251; / ln 2 = 0.4690
    assert!((evenness(&[9, 1]) - 0.4690).abs() < 1e-3);
}

#[test]
fn drains_the_least_used_then_least_powerful_then_soonest_expiring_machine() {
    let machines = [
        machine(1, 0, 0.2, 16.0, 5),
        machine(2, 0, 0.0, 16.0, 9),
        machine(3, 0, 0.0, 4.0, 30),
        machine(4, 0, 0.0, 4.0, 20),
    ];
    assert_eq!(
        select_machine(0.05, 0, &machines, 1, &THRESHOLDS).map(|m| m.id),
        Some(4)
    );
    assert!(select_machine(0.051, 0, &machines, 1, &THRESHOLDS).is_none());
    assert!(select_machine(0.0, 1, &machines, 1, &THRESHOLDS).is_none());
}

#[test]
fn only_a_mixed_fleet_keeps_busy_machines() {
    let mixed = [machine(1, 0, 0.6, 4.0, 5), machine(2, 1, 0.7, 4.0, 5)];
    assert!(select_machine(0.0, 0, &mixed, 2, &THRESHOLDS).is_none());
    let uniform = [machine(1, 0, 0.6, 4.0, 5), machine(2, 0, 0.7, 4.0, 5)];
    assert_eq!(
        select_machine(0.0, 0, &uniform, 2, &THRESHOLDS).map(|m| m.id),
        Some(1)
    );
}

#[test]
fn the_first_paid_period_is_followed_by_renewals() {
    let paid = PaidPeriods {
        first: Duration::from_secs(60),
        renewal: Duration::from_secs(10),
    };
    assert_eq!(paid.time_left(Duration::ZERO).as_secs(), 60);
    assert_eq!(paid.time_left(Duration::from_secs(59)).as_secs(), 1);
    assert_eq!(paid.time_left(Duration::from_secs(60)).as_secs(), 10);
    assert_eq!(paid.time_left(Duration::from_secs(77)).as_secs(), 3);
}
