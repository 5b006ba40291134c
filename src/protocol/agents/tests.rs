//! Tests of `protocol::agents`.

use super::*;

#[test]
fn a_heartbeat_is_parsed() {
    let request: HeartbeatRequest = serde_json::from_str(
        r#"{"mount":"vm-000231","addr":"10.1.0.232:9000","breed":"g8","paddock":"a",
        "loaners":true,"tenure":1,"tally":88,"bridle":41,"recall_s":null,
        "strides":[{"stride":"job-000412/3","heat":2,"stance":"running"},
            {"stride":"job-000398/0","heat":1,"stance":"exited","cause":"done"}]}"#,
    )
    .expect("valid");
    let heartbeat = Heartbeat::try_from(request).expect("a heartbeat");
    assert_eq!(heartbeat.token, FencingToken(41));
    assert_eq!(heartbeat.tasks[1].state, TaskState::Exited(Exit::Done));
}

#[test]
fn a_heartbeat_with_an_unknown_task_state_is_rejected_as_a_whole() {
    let request: HeartbeatRequest = serde_json::from_str(
        r#"{"mount":"vm-1","addr":"a","breed":"b","paddock":"p","tenure":1,"tally":1,
        "bridle":0,"strides":[{"stride":"job-1/0","heat":1,"stance":"dancing"}]}"#,
    )
    .expect("valid");
    let error = Heartbeat::try_from(request).expect_err("an unknown state");
    assert!(matches!(error, HeartbeatError::TaskState(state) if state == "dancing"));
}

/// A gang task that waits for the gang's other tasks is not running yet. If it exits because those
/// have ended or did not arrive, that must not count as a failure of its machine or its job.
#[test]
fn gang_task_states_are_parsed() {
    let request: HeartbeatRequest = serde_json::from_str(
        r#"{"mount":"vm-1","addr":"a","breed":"b","paddock":"p","tenure":1,"tally":1,
        "bridle":0,"strides":[{"stride":"job-1/0","heat":1,"stance":"waiting"},
            {"stride":"job-1/1","heat":1,"stance":"exited","cause":"alone"},
            {"stride":"job-1/2","heat":1,"stance":"exited","cause":"mates_gone"}]}"#,
    )
    .expect("valid");
    let heartbeat = Heartbeat::try_from(request).expect("a heartbeat");
    let states: Vec<TaskState> = heartbeat.tasks.iter().map(|task| task.state).collect();
    assert_eq!(
        states,
        [
            TaskState::Fetching,
            TaskState::Exited(Exit::Other),
            TaskState::Exited(Exit::Other)
        ]
    );
}
