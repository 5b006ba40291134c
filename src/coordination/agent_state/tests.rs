//! Tests of `coordination::agent_state`.

use super::*;
use crate::storage::{JobId, MachineId, TypeName, ZoneName};

const INTERVAL: Duration = Duration::from_secs(5);

fn heartbeat(epoch: u64, sequence: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: MachineId::new("vm-1"),
        address: "10.0.0.1:9".into(),
        machine_type: TypeName::new("t"),
        zone: ZoneName::new("z"),
        spot: false,
        epoch: AgentEpoch(epoch),
        sequence,
        token: FencingToken(token),
        notice: None,
        tasks: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn outdated_messages_are_ignored() {
    let now = Instant::now();
    let mut agent = AgentState::new(FencingToken(5), now);
    assert!(agent.apply(&heartbeat(1, 7, 0), MessageSource::Heartbeat, now));
    assert!(!agent.apply(&heartbeat(1, 7, 9), MessageSource::Heartbeat, now));
    assert!(!agent.apply(&heartbeat(1, 6, 9), MessageSource::Heartbeat, now));
    assert!(agent.apply(&heartbeat(2, 1, 5), MessageSource::Heartbeat, now));
    assert!(agent.has_ended_epoch(AgentEpoch(1)));
}

/// Guards against a start of this or an earlier owner that is delayed in the network and
/// executed after the owner has concluded that the task is not on the machine.
#[tokio::test(start_paused = true)]
async fn absence_is_inconclusive_while_a_start_may_be_in_flight() {
    let now = Instant::now();
    let mut agent = AgentState::new(FencingToken(5), now);
    let task = TaskId::parse("job-1/0").expect("valid task id");
    agent.apply(&heartbeat(1, 1, 4), MessageSource::Heartbeat, now);
    assert!(
        !agent.is_absence_conclusive(&task),
        "a start of an earlier owner may be in flight"
    );
    agent.apply(&heartbeat(1, 2, 5), MessageSource::Heartbeat, now);
    assert!(agent.is_absence_conclusive(&task));
    agent.note_starts_in_response(&[Command::Start {
        task: task.clone(),
        attempt: Attempt(1),
    }]);
    assert!(
        !agent.is_absence_conclusive(&task),
        "the start is in the last response"
    );
    agent.apply(&heartbeat(1, 3, 5), MessageSource::Heartbeat, now);
    assert!(agent.is_absence_conclusive(&task));
    agent.note_starts_sent(&[], FencingToken(5), AgentEpoch(1));
    assert!(
        !agent.is_absence_conclusive(&task),
        "a direct start is in flight"
    );
    agent.note_start_request_ended();
    agent.note_start_in_doubt(FencingToken(5), now);
    agent.apply(&heartbeat(1, 4, 5), MessageSource::Heartbeat, now);
    assert!(
        !agent.is_absence_conclusive(&task),
        "a direct start got no response"
    );
    agent.apply(&heartbeat(1, 5, 6), MessageSource::Direct, now);
    assert!(
        !agent.is_absence_conclusive(&task),
        "a response to a heartbeat may be in flight"
    );
    agent.apply(&heartbeat(1, 6, 6), MessageSource::Heartbeat, now);
    assert!(agent.is_absence_conclusive(&task));
}

/// Guards against a machine that counts as healthy because its heartbeats arrive, although
/// no response reaches its agent.
#[tokio::test(start_paused = true)]
async fn an_agent_that_does_not_report_the_sent_token_has_lost_its_command_path() {
    let now = Instant::now();
    let timeout = Duration::from_secs(9);
    let mut agent = AgentState::new(FencingToken(5), now);
    agent.apply(&heartbeat(1, 1, 4), MessageSource::Heartbeat, now);
    agent.note_response(FencingToken(5), INTERVAL, now);
    agent.apply(&heartbeat(1, 2, 4), MessageSource::Heartbeat, now + timeout);
    agent.note_response(FencingToken(6), INTERVAL, now + timeout);
    assert!(!agent.is_command_path_lost(timeout, now + timeout));
    assert!(agent.is_command_path_lost(timeout, now + timeout * 2));
    // Reporting a later token than the one that was sent first also confirms the path.
    agent.apply(
        &heartbeat(1, 3, 6),
        MessageSource::Heartbeat,
        now + timeout * 2,
    );
    assert!(!agent.is_command_path_lost(timeout, now + timeout * 2));
}

#[tokio::test(start_paused = true)]
async fn an_agent_whose_lease_expires_despite_responses_has_lost_its_command_path() {
    let now = Instant::now();
    let timeout = Duration::from_secs(9);
    let mut agent = AgentState::new(FencingToken(5), now);
    agent.apply(&heartbeat(1, 1, 5), MessageSource::Heartbeat, now);
    // The last response is too old to have kept the lease: the command path may be fine.
    agent.note_response(FencingToken(5), INTERVAL, now);
    let later = now + INTERVAL * 2;
    agent.apply(&heartbeat(2, 1, 5), MessageSource::Heartbeat, later);
    assert!(!agent.is_command_path_lost(timeout, later));
    agent.note_response(FencingToken(5), INTERVAL, later);
    agent.apply(
        &heartbeat(3, 1, 5),
        MessageSource::Heartbeat,
        later + Duration::from_secs(4),
    );
    assert!(agent.is_command_path_lost(timeout, later + Duration::from_secs(4)));
}

#[tokio::test(start_paused = true)]
async fn failures_of_several_jobs_quarantine_a_machine() {
    let now = Instant::now();
    let mut agent = AgentState::new(FencingToken(5), now);
    agent.failures.note(&JobId::new("job-1"), now);
    agent.failures.note(&JobId::new("job-1"), now);
    assert!(!agent.failures.requires_quarantine(now, |_| false));
    agent.failures.note(&JobId::new("job-2"), now);
    assert!(agent.failures.requires_quarantine(now, |_| false));
    let broken = JobId::new("job-2");
    assert!(
        !agent
            .failures
            .requires_quarantine(now, |job| *job == broken)
    );
    assert!(
        !agent
            .failures
            .requires_quarantine(now + FAILURE_WINDOW * 2, |_| false)
    );
}

#[test]
fn the_cache_keeps_the_latest_images() {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("runtime builds")
        .block_on(async {
            let mut agent = AgentState::new(FencingToken(0), Instant::now());
            for (name, gb) in [("a", 3.0), ("b", 3.0), ("a", 3.0), ("c", 5.0)] {
                agent.note_image(&ImageName::new(name), gb, 9.0);
            }
            assert_eq!(
                *agent.images(),
                vec![ImageName::new("a"), ImageName::new("c")]
            );
        });
}

fn start(attempt: u64) -> Command {
    Command::Start {
        task: TaskId::parse("job-1/0").expect("valid task id"),
        attempt: Attempt(attempt),
    }
}

/// Guards against a late copy of a start that was carried out: the agent had cleared the attempt
/// under the same fencing token, and ran it again beside the next attempt.
#[tokio::test(start_paused = true)]
async fn an_attempt_is_not_cleared_while_a_copy_of_its_start_would_be_executed() {
    let now = Instant::now();
    let task = TaskId::parse("job-1/0").expect("valid task id");
    let mut agent = AgentState::new(FencingToken(5), now);
    agent.apply(&heartbeat(1, 1, 5), MessageSource::Heartbeat, now);
    agent.note_starts_sent(&[start(1)], FencingToken(5), AgentEpoch(1));
    agent.note_start_request_ended();
    agent.apply(&heartbeat(1, 2, 5), MessageSource::Heartbeat, now);
    assert!(!agent.may_clear(&task, Attempt(1)));
    assert!(agent.may_clear(&task, Attempt(2)), "was not sent directly");
    agent.apply(&heartbeat(1, 3, 6), MessageSource::Heartbeat, now);
    assert!(agent.may_clear(&task, Attempt(1)));
    agent.note_starts_sent(&[start(2)], FencingToken(6), AgentEpoch(1));
    agent.note_start_request_ended();
    assert!(!agent.may_clear(&task, Attempt(2)));
    agent.apply(&heartbeat(2, 1, 6), MessageSource::Heartbeat, now);
    assert!(
        agent.may_clear(&task, Attempt(2)),
        "the agent rejects commands for an earlier epoch"
    );
}

/// Guards against clears, and conclusions from absence, by a state that was created anew while the
/// process kept its shard, for example after a full read of the records.
#[tokio::test(start_paused = true)]
async fn a_reacquired_machine_keeps_the_starts_that_may_be_executed() {
    let now = Instant::now();
    let task = TaskId::parse("job-1/0").expect("valid task id");
    let mut agent = AgentState::new(FencingToken(5), now);
    agent.apply(&heartbeat(1, 1, 5), MessageSource::Heartbeat, now);
    agent.note_starts_sent(&[start(1)], FencingToken(7), AgentEpoch(1));
    let mut reacquired = agent.reacquired(FencingToken(7), now);
    reacquired.apply(&heartbeat(1, 2, 7), MessageSource::Heartbeat, now);
    assert!(!reacquired.is_absence_conclusive(&task));
    reacquired.note_start_request_ended();
    assert!(reacquired.is_absence_conclusive(&task));
    assert!(!reacquired.may_clear(&task, Attempt(1)));
    reacquired.apply(&heartbeat(1, 3, 8), MessageSource::Heartbeat, now);
    assert!(reacquired.may_clear(&task, Attempt(1)));
}

/// Guards against clears that are held back without end, and against a change of the state service
/// for each of them.
#[tokio::test(start_paused = true)]
async fn held_clears_are_due_early_for_tasks_that_have_to_run_once_more() {
    let now = Instant::now();
    let task = TaskId::parse("job-1/0").expect("valid task id");
    let mut agent = AgentState::new(FencingToken(5), now);
    agent.apply(&heartbeat(1, 1, 5), MessageSource::Heartbeat, now);
    agent.note_starts_sent(&[start(1)], FencingToken(5), AgentEpoch(1));
    let held_for = |agent: &mut AgentState, is_retried: bool, at: Instant| {
        agent.note_held_clears([(&task, Attempt(1), is_retried)].into_iter(), at);
        agent
            .held_clears
            .expect("the clear is held back")
            .is_due(at)
    };
    let second = Duration::from_secs(1);
    assert!(!held_for(&mut agent, false, now));
    assert!(!held_for(&mut agent, false, now + second));
    assert!(held_for(&mut agent, true, now + second));
    assert!(held_for(&mut agent, false, now + second * 60));
    let ended = std::iter::repeat_n((&task, Attempt(1), false), 200);
    agent.note_held_clears(ended, now);
    assert!(agent.held_clears.is_some_and(|held| held.is_due(now)));
    agent.apply(&heartbeat(1, 2, 6), MessageSource::Heartbeat, now);
    agent.note_held_clears([(&task, Attempt(1), true)].into_iter(), now);
    assert_eq!(agent.held_clears, None);
}
