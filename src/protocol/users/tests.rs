//! Tests of `protocol::users`.

use super::*;

const JOB: &str = r#"{"uid":"job-000412","herd":"train","stable":"vision","gait":"sweep",
    "rank":"urgent","strides":16,"cpus":8.0,"gpus":1.0,"ram_gb":64.0,"tack":"img-07",
    "pull_gb":6.2,"breeds":["g8"],"paddock":null,"same_place":true,"spread":false,
    "loaners":true,"ride_s":240.0,"rest_s":30.0,"saddle_s":4.0,"post_s":900.0,"new":[1]}"#;

#[test]
fn a_submission_is_parsed() {
    let SubmittedJob { id, spec } = parse_submission(JOB.as_bytes()).expect("valid");
    assert_eq!(id.as_str(), "job-000412");
    assert_eq!(spec.tasks, 16);
    assert!(spec.one_zone && spec.spot && !spec.spread);
    assert_eq!(spec.zone, None);
}

#[test]
fn malformed_submissions_are_rejected() {
    for (from, to) in [
        ("\"job-000412\"", "\"job 412\""),
        ("\"job-000412\"", "412"),
        ("\"strides\":16", "\"strides\":0"),
        ("\"strides\":16", "\"strides\":100001"),
        ("\"strides\":16", "\"strides\":1.5"),
        ("\"cpus\":8.0", "\"cpus\":-1"),
        ("\"cpus\":8.0", "\"cpus\":1e300"),
        ("\"cpus\":8.0", "\"cpus\":\"8\""),
        ("\"cpus\":8.0,", ""),
        ("\"gait\":\"sweep\"", "\"gait\":\"trot\""),
        ("\"rank\":\"urgent\"", "\"rank\":\"soon\""),
        ("\"ride_s\":240.0", "\"ride_s\":-2"),
        ("\"post_s\":900.0", "\"post_s\":1e99"),
        ("\"herd\":\"train\"", "\"herd\":\"\""),
        ("\"loaners\":true", "\"loaners\":1"),
        ("\"breeds\":[\"g8\"]", "\"breeds\":\"g8\""),
    ] {
        let body = JOB.replace(from, to);
        assert_ne!(body, JOB, "{from}");
        assert!(parse_submission(body.as_bytes()).is_err(), "{to}");
    }
    for body in ["", "[]", "null", "{", "\"x\""] {
        assert!(parse_submission(body.as_bytes()).is_err(), "{body}");
    }
}

/// Users and their programs see these texts, so they must contain the fields' names on the
/// wire.
#[test]
fn errors_contain_wire_field_names() {
    for (from, to, expected) in [
        ("\"job-000412\"", "\"job 412\"", "uid must be job-DIGITS"),
        ("\"train\"", "\"\"", "herd must be a name"),
        (
            "\"strides\":16",
            "\"strides\":0",
            "strides must be 1 to 100000",
        ),
        ("\"cpus\":8.0", "\"cpus\":-1", "cpus must be an amount"),
        (
            "\"sweep\"",
            "\"trot\"",
            "gait must be sweep, group or daemon",
        ),
        (
            "\"rank\":\"urgent\"",
            "\"rank\":\"soon\"",
            "rank must be prod, urgent, normal or best_effort",
        ),
        (
            "\"ride_s\":240.0",
            "\"ride_s\":-2",
            "ride_s must be a duration in seconds",
        ),
    ] {
        let body = JOB.replace(from, to);
        let error = parse_submission(body.as_bytes()).expect_err(to);
        assert_eq!(error.to_string(), expected);
    }
    for (body, expected) in [
        (
            "null",
            "invalid type: null, expected struct Job at line 1 column 4",
        ),
        (
            "[]",
            "invalid length 0, expected struct Job with 20 elements at line 1 column 2",
        ),
        ("{}", "missing field `uid` at line 1 column 2"),
    ] {
        let error = parse_submission(body.as_bytes()).expect_err(body);
        assert_eq!(error.to_string(), expected);
    }
}
