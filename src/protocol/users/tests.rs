//! Tests of `protocol::users`.

use super::*;

const JOB: &str = r#"{"uid":"job-000412","herd":"train","stable":"vision","gait":"sweep",
    "rank":"urgent","strides":16,"cpus":8.0,"gpus":1.0,"ram_gb":64.0,"tack":"img-07",
    "pull_gb":6.2,"breeds":["g8"],"paddock":null,"same_place":true,"spread":false,
    "loaners":true,"ride_s":240.0,"rest_s":30.0,"saddle_s":4.0,"post_s":900.0,"new":[1]}"#;

#[test]
fn a_job_is_read() {
    let (id, spec) = read_job(JOB.as_bytes()).expect("valid");
    assert_eq!(id.as_str(), "job-000412");
    assert_eq!(spec.tasks, 16);
    assert!(spec.one_zone && spec.spot && !spec.spread);
    assert_eq!(spec.zone, None);
}

#[test]
fn what_is_malformed_is_refused() {
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
        assert!(read_job(body.as_bytes()).is_err(), "{to}");
    }
    for body in ["", "[]", "null", "{", "\"x\""] {
        assert!(read_job(body.as_bytes()).is_err(), "{body}");
    }
}
