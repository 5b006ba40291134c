//! Tests of `coordination::run_time_estimator`.

use super::*;

#[test]
fn factor_starts_at_one_and_approaches_measured_ratio() {
    let mut estimator = RunTimeEstimator::default();
    let class = ClassName::new("c");
    assert_eq!(estimator.factor(&class), 1.0);
    for _ in 0..100 {
        estimator.observe(&class, Duration::from_secs(10), Duration::from_secs(20));
    }
    assert!((estimator.factor(&class) - 2.0).abs() < 0.1);
    assert_eq!(
        estimator.observe(&class, Duration::ZERO, Duration::from_secs(1)),
        None
    );
}
