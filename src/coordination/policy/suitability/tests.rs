//! Tests of `coordination::policy::suitability`.

use super::*;

fn candidate(secs: u64, cost: f64) -> Candidate {
    Candidate {
        time: Duration::from_secs(secs),
        cost,
    }
}

#[test]
fn suitability_weighs_speed_against_cost() {
    // T = (40-10)/30 = 1, (40-25)/30 = 0.5, 0; C = 0, (8-5)/6 = 0.5, 1.
    let candidates = [candidate(10, 8.0), candidate(25, 5.0), candidate(40, 2.0)];
    let scores = suitabilities(&candidates, 0.3);
    for (actual, expected) in scores.iter().zip([0.3, 0.5, 0.7]) {
        assert!((actual - expected).abs() < 1e-9, "{scores:?}");
    }
    assert_eq!(best(&candidates, 0.3), Some(2));
    assert_eq!(best(&candidates, 0.9), Some(0));
}

#[test]
fn equal_candidates_all_score_one_and_the_first_is_chosen() {
    let equal = [candidate(10, 1.0), candidate(10, 1.0)];
    assert_eq!(suitabilities(&equal, 0.5), vec![1.0, 1.0]);
    assert_eq!(best(&equal, 0.5), Some(0));
    assert_eq!(best(&[], 0.5), None);
}
