//! Tests that the simulator's rule checkers report violations: each rule gets a history of events
//! that breaks it; most rules also get a similar one that does not.

use std::{collections::BTreeMap, time::Duration};

use simulator::rules::{Event, FreeCapacity, MachineKind, Rules, UserAnswer};
use stallcove::storage::*;

fn spec(spot: bool, spread: bool, one_zone: bool) -> Box<JobSpec> {
    Box::new(JobSpec {
        class: ClassName::new("class"),
        team: TeamName::new("team"),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 2,
        per_task: Resources {
            cpus: 4.0,
            gpus: 0.0,
            memory: 1.0,
        },
        image: ImageName::new("img"),
        image_gb: 1.0,
        types: Some(vec![TypeName::new("small")]),
        zone: None,
        one_zone,
        spread,
        spot,
        estimate: Duration::from_secs(5),
        checkpoint: Duration::ZERO,
        save: Duration::ZERO,
        deadline: None,
        accepted_ms: 0,
        assigned_zone: None,
    })
}

fn job() -> JobId {
    JobId::new("job-1")
}

fn machine_kind(machine_type: &str, zone: &str, spot: bool) -> MachineKind {
    MachineKind {
        machine_type: machine_type.into(),
        zone: zone.into(),
        spot,
    }
}

fn task_started(task: u32, machine: &str, machine_type: &str, zone: &str, spot: bool) -> Event {
    Event::TaskStarted(
        TaskId::new(job(), task),
        MachineId::new(machine),
        machine_kind(machine_type, zone, spot),
    )
}

fn answer(status: u16, state: &str, is_submission: bool) -> Event {
    Event::UserAnswered(UserAnswer {
        // `check_events` and `check_scenario` set it to the time of the event.
        requested_at: Duration::ZERO,
        job: job(),
        status,
        state: (!state.is_empty()).then(|| state.to_owned()),
        is_submission,
    })
}

/// Feeds the events, each with its time in seconds, to the rule checkers; returns the violations.
fn check_events(events: Vec<(u64, Event)>) -> Vec<String> {
    let limits = BTreeMap::from([(TeamName::new("team"), 8.0)]);
    let mut rules = Rules::new(limits, Duration::from_secs(40));
    for (at, mut event) in events {
        let at = Duration::from_secs(at);
        if let Event::UserAnswered(answer) = &mut event {
            answer.requested_at = at;
        }
        rules.record(at, event);
        rules.check_deadlines(at);
    }
    rules.violations
}

/// Feeds the events of a whole scenario of `end` seconds, whose faults are over at `faults_end`, to
/// the rule checkers; returns the violations.
fn check_scenario(end: u64, faults_end: u64, events: Vec<(u64, Event)>) -> Vec<String> {
    let limits = BTreeMap::from([(TeamName::new("team"), 100.0)]);
    let mut rules = Rules::new(limits, Duration::from_secs(40));
    let mut events = events.into_iter().peekable();
    for second in 0..=end {
        let at = Duration::from_secs(second);
        if second == faults_end {
            rules.note_faults_ended(at);
        }
        while let Some((_, mut event)) = events.next_if(|(time, _)| *time <= second) {
            if let Event::UserAnswered(answer) = &mut event {
                answer.requested_at = at;
            }
            rules.record(at, event);
        }
        rules.check_deadlines(at);
    }
    rules.finish(Duration::from_secs(end));
    rules.violations
}

#[test]
fn forgotten_after_no_answer() {
    let history = |answered: u64| {
        vec![
            submitted(),
            (1, answer(201, "queued", true)),
            (2, task_started(0, "vm-1", "small", "a", false)),
            (2, task_started(1, "vm-2", "small", "b", false)),
            (answered, answer(200, "running", false)),
        ]
    };
    assert_eq!(check_scenario(170, 20, history(95)), Vec::<String>::new());
    let violations = check_scenario(200, 20, history(96));
    assert!(violations[0].contains("forgotten"), "{violations:?}");
    // The time without an answer counts only from the end of the faults.
    assert_eq!(check_scenario(200, 126, history(2)), Vec::<String>::new());
}

#[test]
fn unserved_and_began_late() {
    let mut events = Vec::new();
    for n in 0..4 {
        let id = JobId::new(format!("job-{n}"));
        let mut spec = spec(false, false, false);
        spec.tasks = if n == 3 { 5 } else { 1 };
        events.push((0, Event::Submitted(id.clone(), spec)));
        let mut accepted = answer(201, "queued", true);
        if let Event::UserAnswered(answer) = &mut accepted {
            answer.job = id;
        }
        events.push((1, accepted));
    }
    let start = |job: u32, task: u32| {
        let task = TaskId::new(JobId::new(format!("job-{job}")), task);
        let kind = machine_kind("small", "a", false);
        Event::TaskStarted(task, MachineId::new(format!("vm-{job}")), kind)
    };
    events.push((50, start(0, 0)));
    let mut served_events = events.clone();
    served_events.extend((0..5).map(|task| (239, start(3, task))));
    let assert_reported = |events: Vec<(u64, Event)>, what: &str| {
        let violations = check_scenario(300, 290, events);
        assert!(
            violations.iter().any(|line| line.contains(what)),
            "{violations:?}"
        );
    };
    assert_eq!(
        check_scenario(300, 290, served_events.clone()),
        Vec::<String>::new()
    );
    assert_reported(events.clone(), "unserved: class");
    assert_reported(events.clone(), "unserved: team");
    assert_reported(events.clone(), "unserved: largest");
    events.extend((0..5).map(|task| (242, start(3, task))));
    assert_reported(events, "began_late");
}

/// Checks a job of two tasks, one of which is on a machine, for `end` seconds. `free` is the
/// capacity left from the 20th second on; all faults are over at the tenth. Returns the violations.
fn check_waiting_job(spec: Box<JobSpec>, free: &[FreeCapacity], end: u64) -> Vec<String> {
    let limits = BTreeMap::from([(TeamName::new("team"), 8.0)]);
    let mut rules = Rules::new(limits, Duration::from_secs(40));
    let placed = [(TaskId::new(job(), 0), machine_kind("small", "a", false))];
    rules.record(Duration::ZERO, Event::Submitted(job(), spec));
    rules.record(Duration::ZERO, answer(201, "queued", true));
    for second in 0..=end {
        let at = Duration::from_secs(second);
        if second == 10 {
            rules.note_faults_ended(at);
        }
        let free = if second < 20 { &[] } else { free };
        rules.check_waiting(at, free, &placed);
    }
    rules.violations
}

#[test]
fn waited() {
    let free = |cpus: f64, zone: &str, spot: bool| FreeCapacity {
        kind: machine_kind("small", zone, spot),
        cpus,
        memory: 8.0,
    };
    let unconstrained = || spec(false, false, false);
    let violations = check_waiting_job(unconstrained(), &[free(4.0, "b", false)], 111);
    assert!(
        violations[0].contains("waited: job-1: 1 tasks"),
        "{violations:?}"
    );
    let assert_not_reported = |spec: Box<JobSpec>, free: &[FreeCapacity], end: u64| {
        assert_eq!(check_waiting_job(spec, free, end), Vec::<String>::new());
    };
    assert_not_reported(unconstrained(), &[free(4.0, "b", false)], 110);
    assert_not_reported(unconstrained(), &[], 300);
    assert_not_reported(
        unconstrained(),
        &[free(3.0, "b", false), free(3.0, "b", false)],
        300,
    );
    assert_not_reported(unconstrained(), &[free(4.0, "b", true)], 300);
    // The job is confined to the zone of its other task.
    assert_not_reported(spec(false, false, true), &[free(4.0, "b", false)], 300);
    // A spread job may not place both tasks in one zone.
    assert_not_reported(spec(false, true, false), &[free(4.0, "a", false)], 300);
    let mut large = unconstrained();
    large.per_task.cpus = 5.0;
    assert_not_reported(large, &[free(8.0, "b", false)], 300);
}

#[test]
fn reused() {
    let attempt_reused = Event::AttemptReused(TaskId::new(job(), 1), 4);
    assert_violates("reused", vec![submitted(), (2, attempt_reused)]);
}

#[test]
fn unreadable_and_wrong_status() {
    assert_violates(
        "unreadable",
        vec![(1, Event::UnreadableMessage("n1".into()))],
    );
    let answered = |expected, status| Event::InvalidSubmissionAnswered {
        what: "a job".into(),
        expected,
        status,
    };
    assert_violates("wrong_status", vec![(1, answered(400, 201))]);
    assert_violates("wrong_status", vec![(1, answered(422, 400))]);
    assert_no_violations(vec![(1, answered(422, 422)), (2, answered(400, 503))]);
}

fn assert_violates(rule: &str, events: Vec<(u64, Event)>) {
    let violations = check_events(events);
    assert!(
        violations.iter().any(|line| line.contains(rule)),
        "{rule} was not reported: {violations:?}"
    );
}

fn assert_no_violations(events: Vec<(u64, Event)>) {
    assert_eq!(check_events(events), Vec::<String>::new());
}

fn submitted() -> (u64, Event) {
    (0, Event::Submitted(job(), spec(false, false, false)))
}

fn task_stopped(task: u32, machine: &str) -> Event {
    Event::TaskStopped(TaskId::new(job(), task), MachineId::new(machine))
}

fn task_completed(task: u32) -> Event {
    Event::TaskCompleted(TaskId::new(job(), task))
}

#[test]
fn a_correct_history_has_no_violations() {
    assert_no_violations(vec![
        submitted(),
        (1, answer(201, "queued", true)),
        (2, task_started(0, "vm-1", "small", "a", false)),
        (2, task_started(1, "vm-2", "small", "b", false)),
        (4, task_stopped(0, "vm-1")),
        (4, task_completed(0)),
        (5, task_stopped(1, "vm-2")),
        (6, task_started(1, "vm-1", "small", "a", false)),
        (8, task_stopped(1, "vm-1")),
        (8, task_completed(1)),
        (9, answer(200, "done", false)),
        (10, answer(200, "done", true)),
    ]);
}

#[test]
fn ran_twice() {
    assert_violates(
        "ran_twice",
        vec![
            submitted(),
            (1, task_started(0, "vm-1", "small", "a", false)),
            (2, task_started(0, "vm-2", "small", "a", false)),
        ],
    );
}

#[test]
fn quota() {
    let mut big = spec(false, false, false);
    big.per_task.cpus = 5.0;
    assert_violates(
        "quota",
        vec![
            (0, Event::Submitted(job(), big)),
            (1, task_started(0, "vm-1", "small", "a", false)),
            (2, task_started(1, "vm-2", "small", "a", false)),
        ],
    );
}

#[test]
fn wrong_place() {
    assert_violates(
        "wrong_place",
        vec![submitted(), (1, task_started(0, "vm-1", "big", "a", false))],
    );
    assert_violates(
        "wrong_place",
        vec![
            submitted(),
            (1, task_started(0, "vm-1", "small", "a", true)),
        ],
    );
    for (spread, one_zone, second_zone) in [(true, false, "a"), (false, true, "b")] {
        assert_violates(
            "wrong_place",
            vec![
                (0, Event::Submitted(job(), spec(false, spread, one_zone))),
                (1, task_started(0, "vm-1", "small", "a", false)),
                (2, task_started(1, "vm-2", "small", second_zone, false)),
            ],
        );
    }
}

#[test]
fn ran_cancelled() {
    let history = |until| {
        vec![
            submitted(),
            (1, task_started(0, "vm-1", "small", "a", false)),
            (2, Event::CancelRequested(job())),
            (3, answer(200, "cancelled", false)),
            (until, task_completed(7)),
        ]
    };
    assert_no_violations(history(42));
    assert_violates("ran_cancelled", history(44));
    assert_violates(
        "ran_cancelled",
        vec![
            submitted(),
            (2, Event::CancelRequested(job())),
            (3, answer(200, "cancelled", false)),
            (50, task_started(0, "vm-1", "small", "a", false)),
        ],
    );
}

#[test]
fn forgotten() {
    for last in [answer(404, "", false), answer(422, "", true)] {
        assert_violates(
            "forgotten",
            vec![submitted(), (1, answer(201, "queued", true)), (5, last)],
        );
    }
    assert_no_violations(vec![submitted(), (1, answer(422, "", true))]);
}

#[test]
fn invented() {
    assert_violates("invented", vec![(1, answer(200, "queued", false))]);
}

#[test]
fn not_done() {
    assert_violates(
        "not_done",
        vec![
            submitted(),
            (1, answer(201, "queued", true)),
            (2, task_completed(0)),
            (3, answer(200, "done", false)),
        ],
    );
}

#[test]
fn went_back() {
    assert_violates(
        "went_back",
        vec![
            submitted(),
            (1, Event::CancelRequested(job())),
            (2, answer(200, "cancelled", false)),
            (3, answer(200, "running", false)),
        ],
    );
    assert_violates(
        "went_back",
        vec![submitted(), (2, answer(200, "cancelled", false))],
    );
}
