//! Tests of `coordination::policy::suitability`.

use super::*;

fn candidate(secs: u64, cost: f64) -> Candidate {
    Candidate {
        time: Duration::from_secs(secs),
        cost,
    }
}

#[test]
fn speed_is_weighed_against_cost() {
    // T = (40-10)/30 = 1, (40-25)/30 = 0.5, 0; C = 0, (8-5)/6 = 0.5, 1.
    let three = [candidate(10, 8.0), candidate(25, 5.0), candidate(40, 2.0)];
    let s = suitabilities(&three, 0.3);
    for (got, want) in s.iter().zip([0.3, 0.5, 0.7]) {
        assert!((got - want).abs() < 1e-9, "{s:?}");
    }
    assert_eq!(best(&three, 0.3), Some(2));
    assert_eq!(best(&three, 0.9), Some(0));
}

#[test]
fn equals_are_all_perfect_and_the_first_wins() {
    let same = [candidate(10, 1.0), candidate(10, 1.0)];
    assert_eq!(suitabilities(&same, 0.5), vec![1.0, 1.0]);
    assert_eq!(best(&same, 0.5), Some(0));
    assert_eq!(best(&[], 0.5), None);
}
