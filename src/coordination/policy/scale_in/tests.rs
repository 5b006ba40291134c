//! Tests of `coordination::policy::scale_in`.

use super::*;

const AT: Thresholds = Thresholds {
    alpha: 0.05,
    evenness: 0.4,
    utilisation: 0.5,
};

fn used(id: u32, kind: usize, utilisation: f64, power: f64, left: u64) -> MachineUtilisation<u32> {
    MachineUtilisation {
        id,
        kind,
        utilisation,
        power,
        shard: 1,
        paid_left: Duration::from_secs(left),
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
fn the_least_used_then_weakest_then_soonest_paid_up() {
    let machines = [
        used(1, 0, 0.2, 16.0, 5),
        used(2, 0, 0.0, 16.0, 9),
        used(3, 0, 0.0, 4.0, 30),
        used(4, 0, 0.0, 4.0, 20),
    ];
    assert_eq!(
        select_machine(0.05, 0, &machines, 1, &AT).map(|m| m.id),
        Some(4)
    );
    assert!(select_machine(0.051, 0, &machines, 1, &AT).is_none());
    assert!(select_machine(0.0, 1, &machines, 1, &AT).is_none());
}

#[test]
fn a_mixed_fleet_keeps_busy_machines_and_a_uniform_one_does_not() {
    let mixed = [used(1, 0, 0.6, 4.0, 5), used(2, 1, 0.7, 4.0, 5)];
    assert!(select_machine(0.0, 0, &mixed, 2, &AT).is_none());
    let uniform = [used(1, 0, 0.6, 4.0, 5), used(2, 0, 0.7, 4.0, 5)];
    assert_eq!(
        select_machine(0.0, 0, &uniform, 2, &AT).map(|m| m.id),
        Some(1)
    );
}

#[test]
fn paid_periods_run_from_the_provision_request() {
    let paid = PaidPeriods {
        first: Duration::from_secs(60),
        then: Duration::from_secs(10),
    };
    assert_eq!(paid.left(Duration::ZERO).as_secs(), 60);
    assert_eq!(paid.left(Duration::from_secs(59)).as_secs(), 1);
    assert_eq!(paid.left(Duration::from_secs(60)).as_secs(), 10);
    assert_eq!(paid.left(Duration::from_secs(77)).as_secs(), 3);
}
