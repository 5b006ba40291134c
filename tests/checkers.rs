//! The simulator's rule checkers are proven to fire: each rule is fed a history
//! that breaks it, and one beside it that does not.

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

fn on(task: u32, machine: &str, kind: &str, zone: &str, spot: bool) -> Event {
    Event::TaskStarted(
        TaskId::new(job(), task),
        MachineId::new(machine),
        machine_kind(kind, zone, spot),
    )
}

fn answer(status: u16, state: &str, is_submission: bool) -> Event {
    Event::UserAnswered(UserAnswer {
        // Set to the time of the event by `play`.
        requested_at: Duration::ZERO,
        job: job(),
        status,
        state: (!state.is_empty()).then(|| state.to_owned()),
        is_submission,
    })
}

fn play(events: Vec<(u64, Event)>) -> Vec<String> {
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

/// A whole scenario, with all faults over at `faults_end`.
fn play_to(end: u64, faults_end: u64, events: Vec<(u64, Event)>) -> Vec<String> {
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
fn forgotten_by_silence() {
    let history = |answered: u64| {
        vec![
            submitted(),
            (1, answer(201, "queued", true)),
            (2, on(0, "vm-1", "small", "a", false)),
            (2, on(1, "vm-2", "small", "b", false)),
            (answered, answer(200, "running", false)),
        ]
    };
    assert_eq!(play_to(170, 20, history(95)), Vec::<String>::new());
    let violations = play_to(200, 20, history(96));
    assert!(violations[0].contains("forgotten"), "{violations:?}");
    // What was refused while faults lasted does not count.
    assert_eq!(play_to(200, 126, history(2)), Vec::<String>::new());
}

#[test]
fn unserved_and_late() {
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
    let mut served = events.clone();
    served.extend((0..5).map(|task| (239, start(3, task))));
    let fired = |events: Vec<(u64, Event)>, what: &str| {
        let violations = play_to(300, 290, events);
        assert!(
            violations.iter().any(|line| line.contains(what)),
            "{violations:?}"
        );
    };
    assert_eq!(play_to(300, 290, served.clone()), Vec::<String>::new());
    fired(events.clone(), "unserved: class");
    fired(events.clone(), "unserved: team");
    fired(events.clone(), "unserved: largest");
    events.extend((0..5).map(|task| (242, start(3, task))));
    fired(events, "began_late");
}

/// A job of two tasks, one of them on a machine, with this capacity left from the 20th
/// second on; all faults are over at the tenth.
fn watch(spec: Box<JobSpec>, free: &[FreeCapacity], end: u64) -> Vec<String> {
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
    let plain = || spec(false, false, false);
    let violations = watch(plain(), &[free(4.0, "b", false)], 111);
    assert!(
        violations[0].contains("waited: job-1: 1 tasks"),
        "{violations:?}"
    );
    let quiet = |spec: Box<JobSpec>, free: &[FreeCapacity], end: u64| {
        assert_eq!(watch(spec, free, end), Vec::<String>::new());
    };
    quiet(plain(), &[free(4.0, "b", false)], 110);
    quiet(plain(), &[], 300);
    quiet(
        plain(),
        &[free(3.0, "b", false), free(3.0, "b", false)],
        300,
    );
    quiet(plain(), &[free(4.0, "b", true)], 300);
    // Bound to the zone of the other one.
    quiet(spec(false, false, true), &[free(4.0, "b", false)], 300);
    quiet(spec(false, true, false), &[free(4.0, "a", false)], 300);
    let mut large = plain();
    large.per_task.cpus = 5.0;
    quiet(large, &[free(8.0, "b", false)], 300);
}

#[test]
fn reused() {
    let again = Event::AttemptReused(TaskId::new(job(), 1), 4);
    fires("reused", vec![submitted(), (2, again)]);
}

#[test]
fn unreadable_and_wrong_status() {
    fires(
        "unreadable",
        vec![(1, Event::UnreadableMessage("n1".into()))],
    );
    let answered = |expected, status| Event::InvalidSubmissionAnswered {
        what: "a job".into(),
        expected,
        status,
    };
    fires("wrong_status", vec![(1, answered(400, 201))]);
    fires("wrong_status", vec![(1, answered(422, 400))]);
    quiet(vec![(1, answered(422, 422)), (2, answered(400, 503))]);
}

fn fires(rule: &str, events: Vec<(u64, Event)>) {
    let violations = play(events);
    assert!(
        violations.iter().any(|line| line.contains(rule)),
        "{rule} did not fire: {violations:?}"
    );
}

fn quiet(events: Vec<(u64, Event)>) {
    assert_eq!(play(events), Vec::<String>::new());
}

fn submitted() -> (u64, Event) {
    (0, Event::Submitted(job(), spec(false, false, false)))
}

fn off(task: u32, machine: &str) -> Event {
    Event::TaskStopped(TaskId::new(job(), task), MachineId::new(machine))
}

fn done(task: u32) -> Event {
    Event::TaskCompleted(TaskId::new(job(), task))
}

#[test]
fn a_sound_history_is_quiet() {
    quiet(vec![
        submitted(),
        (1, answer(201, "queued", true)),
        (2, on(0, "vm-1", "small", "a", false)),
        (2, on(1, "vm-2", "small", "b", false)),
        (4, off(0, "vm-1")),
        (4, done(0)),
        (5, off(1, "vm-2")),
        (6, on(1, "vm-1", "small", "a", false)),
        (8, off(1, "vm-1")),
        (8, done(1)),
        (9, answer(200, "done", false)),
        (10, answer(200, "done", true)),
    ]);
}

#[test]
fn ran_twice() {
    fires(
        "ran_twice",
        vec![
            submitted(),
            (1, on(0, "vm-1", "small", "a", false)),
            (2, on(0, "vm-2", "small", "a", false)),
        ],
    );
}

#[test]
fn quota() {
    let mut big = spec(false, false, false);
    big.per_task.cpus = 5.0;
    fires(
        "quota",
        vec![
            (0, Event::Submitted(job(), big)),
            (1, on(0, "vm-1", "small", "a", false)),
            (2, on(1, "vm-2", "small", "a", false)),
        ],
    );
}

#[test]
fn wrong_place() {
    fires(
        "wrong_place",
        vec![submitted(), (1, on(0, "vm-1", "big", "a", false))],
    );
    fires(
        "wrong_place",
        vec![submitted(), (1, on(0, "vm-1", "small", "a", true))],
    );
    for (spread, one_zone, second) in [(true, false, "a"), (false, true, "b")] {
        fires(
            "wrong_place",
            vec![
                (0, Event::Submitted(job(), spec(false, spread, one_zone))),
                (1, on(0, "vm-1", "small", "a", false)),
                (2, on(1, "vm-2", "small", second, false)),
            ],
        );
    }
}

#[test]
fn ran_cancelled() {
    let history = |until| {
        vec![
            submitted(),
            (1, on(0, "vm-1", "small", "a", false)),
            (2, Event::CancelRequested(job())),
            (3, answer(200, "cancelled", false)),
            (until, done(7)),
        ]
    };
    quiet(history(42));
    fires("ran_cancelled", history(44));
    fires(
        "ran_cancelled",
        vec![
            submitted(),
            (2, Event::CancelRequested(job())),
            (3, answer(200, "cancelled", false)),
            (50, on(0, "vm-1", "small", "a", false)),
        ],
    );
}

#[test]
fn forgotten() {
    for last in [answer(404, "", false), answer(422, "", true)] {
        fires(
            "forgotten",
            vec![submitted(), (1, answer(201, "queued", true)), (5, last)],
        );
    }
    quiet(vec![submitted(), (1, answer(422, "", true))]);
}

#[test]
fn invented() {
    fires("invented", vec![(1, answer(200, "queued", false))]);
}

#[test]
fn not_done() {
    fires(
        "not_done",
        vec![
            submitted(),
            (1, answer(201, "queued", true)),
            (2, done(0)),
            (3, answer(200, "done", false)),
        ],
    );
}

#[test]
fn went_back() {
    fires(
        "went_back",
        vec![
            submitted(),
            (1, Event::CancelRequested(job())),
            (2, answer(200, "cancelled", false)),
            (3, answer(200, "running", false)),
        ],
    );
    fires(
        "went_back",
        vec![submitted(), (2, answer(200, "cancelled", false))],
    );
}
