//! Tests of `storage::ids`.

use super::*;

#[test]
fn only_well_formed_job_ids_parse() {
    assert!(JobId::parse("job-000412").is_some());
    for bad in [
        "", "job-", "job-12a", "job-1/2", "jobs-1", "job-1 ", "job--1",
    ] {
        assert!(JobId::parse(bad).is_none(), "{bad}");
    }
}

#[test]
fn task_ids_parse_from_their_display_form() {
    let task = TaskId::parse("job-7/13").expect("the task id is well-formed");
    assert_eq!(task.to_string(), "job-7/13");
    assert!(TaskId::parse("job-7").is_none());
    assert!(TaskId::parse("job-7/x").is_none());
}
