//! Tests of `coordination::agent_state`.

use super::*;
use crate::storage::{MachineId, TypeName, ZoneName};

const INTERVAL: Duration = Duration::from_secs(5);

fn heartbeat(epoch: u64, sequence: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: MachineId::new("vm-1"),
        address: "10.0.0.1:9".into(),
        kind: TypeName::new("t"),
        zone: ZoneName::new("z"),
        spot: false,
        epoch: AgentEpoch(epoch),
        sequence,
        token: Token(token),
        notice: None,
        tasks: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn late_messages_change_nothing() {
    let now = Instant::now();
    let mut agent = AgentState::new(Token(5), now);
    assert!(agent.apply(&heartbeat(1, 7, 0), MessageSource::Heartbeat, now));
    assert!(!agent.apply(&heartbeat(1, 7, 9), MessageSource::Heartbeat, now));
    assert!(!agent.apply(&heartbeat(1, 6, 9), MessageSource::Heartbeat, now));
    assert!(agent.apply(&heartbeat(2, 1, 5), MessageSource::Heartbeat, now));
    assert!(agent.has_ended_epoch(AgentEpoch(1)));
}

/// Guards against a start of ours, or of an earlier owner, that sits in
/// the network and is executed after we took the task for gone.
#[tokio::test(start_paused = true)]
async fn absence_proves_nothing_while_a_start_may_be_on_its_way() {
    let now = Instant::now();
    let mut agent = AgentState::new(Token(5), now);
    let task = TaskId::parse("job-1/0").expect("a task");
    agent.apply(&heartbeat(1, 1, 4), MessageSource::Heartbeat, now);
    assert!(!agent.absence_is_proof(&task), "an earlier holder's start");
    agent.apply(&heartbeat(1, 2, 5), MessageSource::Heartbeat, now);
    assert!(agent.absence_is_proof(&task));
    agent.answer_starts(&[Command::Start {
        task: task.clone(),
        attempt: Attempt(1),
    }]);
    assert!(!agent.absence_is_proof(&task), "told in the last answer");
    agent.apply(&heartbeat(1, 3, 5), MessageSource::Heartbeat, now);
    assert!(agent.absence_is_proof(&task));
    agent.start_sent();
    assert!(!agent.absence_is_proof(&task), "a direct start on its way");
    agent.start_answered();
    agent.note_start_in_doubt(Token(5), now);
    agent.apply(&heartbeat(1, 4, 5), MessageSource::Heartbeat, now);
    assert!(!agent.absence_is_proof(&task), "our own unanswered start");
    agent.apply(&heartbeat(1, 5, 6), MessageSource::Direct, now);
    assert!(
        !agent.absence_is_proof(&task),
        "an answer of ours may be on its way"
    );
    agent.apply(&heartbeat(1, 6, 6), MessageSource::Heartbeat, now);
    assert!(agent.absence_is_proof(&task));
}

/// Guards against a machine that looks alive and can't be told anything.
#[tokio::test(start_paused = true)]
async fn an_agent_that_shows_no_token_has_lost_its_command_path() {
    let now = Instant::now();
    let patience = Duration::from_secs(9);
    let mut agent = AgentState::new(Token(5), now);
    agent.apply(&heartbeat(1, 1, 4), MessageSource::Heartbeat, now);
    agent.note_answer(Token(5), INTERVAL, now);
    agent.apply(
        &heartbeat(1, 2, 4),
        MessageSource::Heartbeat,
        now + patience,
    );
    agent.note_answer(Token(6), INTERVAL, now + patience);
    assert!(!agent.is_command_path_lost(patience, now + patience));
    assert!(agent.is_command_path_lost(patience, now + patience * 2));
    // A later token does as well.
    agent.apply(
        &heartbeat(1, 3, 6),
        MessageSource::Heartbeat,
        now + patience * 2,
    );
    assert!(!agent.is_command_path_lost(patience, now + patience * 2));
}

#[tokio::test(start_paused = true)]
async fn a_lease_that_runs_out_under_our_answers_is_no_health() {
    let now = Instant::now();
    let patience = Duration::from_secs(9);
    let mut agent = AgentState::new(Token(5), now);
    agent.apply(&heartbeat(1, 1, 5), MessageSource::Heartbeat, now);
    // We were away for long: nothing wrong with the agent.
    agent.note_answer(Token(5), INTERVAL, now);
    let later = now + INTERVAL * 2;
    agent.apply(&heartbeat(2, 1, 5), MessageSource::Heartbeat, later);
    assert!(!agent.is_command_path_lost(patience, later));
    agent.note_answer(Token(5), INTERVAL, later);
    agent.apply(
        &heartbeat(3, 1, 5),
        MessageSource::Heartbeat,
        later + Duration::from_secs(4),
    );
    assert!(agent.is_command_path_lost(patience, later + Duration::from_secs(4)));
}

#[tokio::test(start_paused = true)]
async fn failures_of_several_jobs_quarantine_a_machine() {
    let now = Instant::now();
    let mut agent = AgentState::new(Token(5), now);
    agent.note_failure(&JobId::new("job-1"), now);
    agent.note_failure(&JobId::new("job-1"), now);
    assert!(!agent.is_quarantined(now, |_| false));
    agent.note_failure(&JobId::new("job-2"), now);
    assert!(agent.is_quarantined(now, |_| false));
    let broken = JobId::new("job-2");
    assert!(!agent.is_quarantined(now, |job| *job == broken));
    assert!(!agent.is_quarantined(now + FAILURE_WINDOW * 2, |_| false));
}

#[test]
fn the_cache_keeps_the_latest_images() {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime")
        .block_on(async {
            let mut agent = AgentState::new(Token(0), Instant::now());
            for (name, gb) in [("a", 3.0), ("b", 3.0), ("a", 3.0), ("c", 5.0)] {
                agent.note_image(&ImageName::new(name), gb, 9.0);
            }
            assert_eq!(
                *agent.images(),
                vec![ImageName::new("a"), ImageName::new("c")]
            );
        });
}
