//! Tests of `storage::records`.

use super::*;

#[test]
fn attempts_never_decrease() {
    let mut run = RunRecord::default();
    let machine = MachineId::new("vm-1");
    assert_eq!(run.next_attempt(3), Attempt(1));
    run.place(3, machine.clone(), AgentEpoch(1), Attempt(1));
    assert_eq!(run.next_attempt(3), Attempt(2));
    run.unplace(3);
    assert_eq!(run.next_attempt(3), Attempt(2));
}

#[test]
fn done_ranges_merge_in_any_order() {
    let mut run = RunRecord::default();
    for task in [5, 3, 4, 9, 0, 4] {
        run.complete(task);
    }
    assert_eq!(run.done, vec![(0, 0), (3, 5), (9, 9)]);
    assert_eq!(run.done_count(), 5);
    assert!(run.is_done(4) && !run.is_done(6));
}

#[test]
fn a_full_run_record_stays_under_2_kib() {
    let mut run = RunRecord::default();
    for task in 99_900..99_900 + super::super::keys::TASKS_PER_RUN_RECORD {
        run.place(
            task,
            MachineId::new("vm-000231999"),
            AgentEpoch(99),
            Attempt(99),
        );
    }
    let text = serde_json::to_string(&run).expect("run records always serialize");
    assert!(text.len() < 2048, "{}", text.len());
}
