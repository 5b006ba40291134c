//! Tests of `coordination::policy::remedial`.

use super::*;

#[test]
fn one_machine_per_job_with_the_parameters_of_the_paper() {
    assert_eq!(scale_out(0, 10.0, 0.1, 0), 0);
    assert_eq!(scale_out(3, 10.0, 0.1, 0), 3);
    assert_eq!(scale_out(3, 10.0, 0.1, 2), 1);
    assert_eq!(scale_out(3, 10.0, 0.1, 5), 0);
}

#[test]
fn larger_theta_requests_fewer_machines_and_rounds_up() {
    // 5 / (20·0.1) = 2.5
    assert_eq!(scale_out(5, 20.0, 0.1, 0), 3);
}
