//! Tests of `protocol::operator`.

use super::*;

#[test]
fn an_empty_file_keeps_all_defaults() {
    assert_eq!(parse("").expect("valid"), Tuning::default());
}

#[test]
fn values_replace_defaults() {
    let tuning = parse("band { alpha: 0.02 round_s: 5 } timing { silent_s: 9 }").expect("valid");
    assert_eq!(tuning.alpha, 0.02);
    assert_eq!(tuning.evaluation_interval, Duration::from_secs(5));
    assert_eq!(tuning.unresponsive_after, Some(Duration::from_secs(9)));
    assert_eq!(tuning.beta, Tuning::default().beta);
}

/// Operators see these texts.
#[test]
fn errors_contain_the_field_and_its_requirement() {
    for (bad, expected) in [
        (
            "band { alpha: 1.5 }",
            "band.alpha must be between 0 and 1, not 1.5",
        ),
        (
            "band { alpha: 0.5 beta: 0.2 }",
            "band.alpha must not exceed band.beta",
        ),
        ("band { alpha: 0 beta: 0 }", "band.beta must be positive"),
        (
            "band { round_s: 0 }",
            "band.round_s must be a positive number of seconds",
        ),
        (
            "renting { remedial_theta: -1 }",
            "renting.remedial_theta must be positive",
        ),
        (
            "timing { node_lease_s: 0.2 }",
            "timing.node_lease_s must be at least 1",
        ),
    ] {
        assert_eq!(parse(bad).expect_err(bad).to_string(), expected);
    }
}

#[test]
fn invalid_files_are_rejected() {
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
