//! Tests of `protocol::operator`.

use super::*;

#[test]
fn an_empty_file_changes_nothing() {
    assert_eq!(parse("").expect("valid"), Tuning::default());
}

#[test]
fn values_replace_defaults() {
    let tuning = parse("band { alpha: 0.02 round_s: 5 } timing { silent_s: 9 }").expect("valid");
    assert_eq!(tuning.alpha, 0.02);
    assert_eq!(tuning.round, Duration::from_secs(5));
    assert_eq!(tuning.unresponsive_after, Some(Duration::from_secs(9)));
    assert_eq!(tuning.beta, Tuning::default().beta);
}

#[test]
fn what_is_wrong_is_an_error() {
    for bad in [
        "bund { alpha: 0.1 }",
        "band { alfa: 0.1 }",
        "band { alpha: 1.5 }",
        "band { alpha: 0.5 beta: 0.2 }",
        "band { round_s: 0 }",
        "renting { remedial_theta: -1 }",
        "timing { node_lease_s: 0.2 }",
    ] {
        assert!(parse(bad).is_err(), "{bad}");
    }
}
