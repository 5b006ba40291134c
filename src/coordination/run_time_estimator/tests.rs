//! Tests of `coordination::learning`.

use super::*;

#[test]
fn starts_at_one_and_follows_measurements() {
    let mut learning = Learning::default();
    let class = ClassName::new("c");
    assert_eq!(learning.factor(&class), 1.0);
    for _ in 0..100 {
        learning.learn(&class, Duration::from_secs(10), Duration::from_secs(20));
    }
    assert!((learning.factor(&class) - 2.0).abs() < 0.1);
    assert_eq!(
        learning.learn(&class, Duration::ZERO, Duration::from_secs(1)),
        None
    );
}
