//! Tests of `coordination::view`.

use super::*;
use crate::storage::{MachineId, TypeName, ZoneName};

const INTERVAL: Duration = Duration::from_secs(5);

fn report(session: u64, sequence: u64, token: u64) -> Report {
    Report {
        machine: MachineId::new("vm-1"),
        address: "10.0.0.1:9".into(),
        kind: TypeName::new("t"),
        zone: ZoneName::new("z"),
        spot: false,
        session: Session(session),
        sequence,
        token: Token(token),
        notice: None,
        tasks: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn late_messages_change_nothing() {
    let now = Instant::now();
    let mut view = View::new(Token(5), now);
    assert!(view.take(&report(1, 7, 0), Source::Report, now));
    assert!(!view.take(&report(1, 7, 9), Source::Report, now));
    assert!(!view.take(&report(1, 6, 9), Source::Report, now));
    assert!(view.take(&report(2, 1, 5), Source::Report, now));
    assert!(view.outlived(Session(1)));
}

/// Guards against a start of ours, or of an earlier holder, that sits in
/// the network and is executed after we took the task for gone.
#[tokio::test(start_paused = true)]
async fn absence_proves_nothing_while_a_start_may_be_on_its_way() {
    let now = Instant::now();
    let mut view = View::new(Token(5), now);
    let task = TaskId::parse("job-1/0").expect("a task");
    view.take(&report(1, 1, 4), Source::Report, now);
    assert!(!view.absence_is_proof(&task), "an earlier holder's start");
    view.take(&report(1, 2, 5), Source::Report, now);
    assert!(view.absence_is_proof(&task));
    view.answer_starts(&[Command::Start {
        task: task.clone(),
        attempt: Attempt(1),
    }]);
    assert!(!view.absence_is_proof(&task), "told in the last answer");
    view.take(&report(1, 3, 5), Source::Report, now);
    assert!(view.absence_is_proof(&task));
    view.start_sent();
    assert!(!view.absence_is_proof(&task), "a direct start on its way");
    view.start_answered();
    view.started_unanswered(Token(5), now);
    view.take(&report(1, 4, 5), Source::Report, now);
    assert!(!view.absence_is_proof(&task), "our own unanswered start");
    view.take(&report(1, 5, 6), Source::Direct, now);
    assert!(
        !view.absence_is_proof(&task),
        "an answer of ours may be on its way"
    );
    view.take(&report(1, 6, 6), Source::Report, now);
    assert!(view.absence_is_proof(&task));
}

/// Guards against a machine that looks alive and can't be told anything.
#[tokio::test(start_paused = true)]
async fn a_worker_that_shows_no_token_hears_nothing() {
    let now = Instant::now();
    let patience = Duration::from_secs(9);
    let mut view = View::new(Token(5), now);
    view.take(&report(1, 1, 4), Source::Report, now);
    view.note_answer(Token(5), INTERVAL, now);
    view.take(&report(1, 2, 4), Source::Report, now + patience);
    view.note_answer(Token(6), INTERVAL, now + patience);
    assert!(!view.is_deaf(patience, now + patience));
    assert!(view.is_deaf(patience, now + patience * 2));
    // A later token does as well.
    view.take(&report(1, 3, 6), Source::Report, now + patience * 2);
    assert!(!view.is_deaf(patience, now + patience * 2));
}

#[tokio::test(start_paused = true)]
async fn a_lease_that_runs_out_under_our_answers_is_no_health() {
    let now = Instant::now();
    let patience = Duration::from_secs(9);
    let mut view = View::new(Token(5), now);
    view.take(&report(1, 1, 5), Source::Report, now);
    // We were away for long: nothing wrong with the worker.
    view.note_answer(Token(5), INTERVAL, now);
    let later = now + INTERVAL * 2;
    view.take(&report(2, 1, 5), Source::Report, later);
    assert!(!view.is_deaf(patience, later));
    view.note_answer(Token(5), INTERVAL, later);
    view.take(
        &report(3, 1, 5),
        Source::Report,
        later + Duration::from_secs(4),
    );
    assert!(view.is_deaf(patience, later + Duration::from_secs(4)));
}

#[tokio::test(start_paused = true)]
async fn failures_of_several_jobs_make_a_machine_suspect() {
    let now = Instant::now();
    let mut view = View::new(Token(5), now);
    view.note_failure(&JobId::new("job-1"), now);
    view.note_failure(&JobId::new("job-1"), now);
    assert!(!view.is_suspect(now, |_| false));
    view.note_failure(&JobId::new("job-2"), now);
    assert!(view.is_suspect(now, |_| false));
    let broken = JobId::new("job-2");
    assert!(!view.is_suspect(now, |job| *job == broken));
    assert!(!view.is_suspect(now + FAILURE_WINDOW * 2, |_| false));
}

#[test]
fn the_cache_keeps_the_latest_images() {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime")
        .block_on(async {
            let mut view = View::new(Token(0), Instant::now());
            for (name, gb) in [("a", 3.0), ("b", 3.0), ("a", 3.0), ("c", 5.0)] {
                view.note_image(&ImageName::new(name), gb, 9.0);
            }
            assert_eq!(
                *view.images(),
                vec![ImageName::new("a"), ImageName::new("c")]
            );
        });
}
