//! The simulator' rule checkers are proven to fire: each rule is fed a history
//! that breaks it, and one beside it that does not.

use std::{collections::BTreeMap, time::Duration};

use simulator::rules::{Event, Place, Room, Rules};
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

fn on(task: u32, machine: &str, kind: &str, zone: &str, spot: bool) -> Event {
    Event::On(
        TaskId::new(job(), task),
        MachineId::new(machine),
        Place {
            kind: kind.into(),
            zone: zone.into(),
            spot,
        },
    )
}

fn answer(code: u16, state: &str, submission: bool) -> Event {
    Event::Answer {
        // Set to the time of the event by `play`.
        asked: Duration::ZERO,
        job: job(),
        code,
        state: (!state.is_empty()).then(|| state.to_owned()),
        submission,
    }
}

fn play(events: Vec<(u64, Event)>) -> Vec<String> {
    let limits = BTreeMap::from([(TeamName::new("team"), 8.0)]);
    let mut rules = Rules::new(limits, Duration::from_secs(40));
    for (at, mut event) in events {
        let at = Duration::from_secs(at);
        if let Event::Answer { asked, .. } = &mut event {
            *asked = at;
        }
        rules.see(at, event);
        rules.tick(at);
    }
    rules.broken
}

/// A whole day of it, with all troubles over at `calm`.
fn play_to(end: u64, calm: u64, events: Vec<(u64, Event)>) -> Vec<String> {
    let limits = BTreeMap::from([(TeamName::new("team"), 100.0)]);
    let mut rules = Rules::new(limits, Duration::from_secs(40));
    let mut events = events.into_iter().peekable();
    for second in 0..=end {
        let at = Duration::from_secs(second);
        if second == calm {
            rules.calm(at);
        }
        while let Some((_, mut event)) = events.next_if(|(time, _)| *time <= second) {
            if let Event::Answer { asked, .. } = &mut event {
                *asked = at;
            }
            rules.see(at, event);
        }
        rules.tick(at);
    }
    rules.finish(Duration::from_secs(end));
    rules.broken
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
    let broken = play_to(200, 20, history(96));
    assert!(broken[0].contains("forgotten"), "{broken:?}");
    // What was refused while troubles lasted does not count.
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
        if let Event::Answer { job, .. } = &mut accepted {
            *job = id;
        }
        events.push((1, accepted));
    }
    let start = |job: u32, task: u32| {
        let task = TaskId::new(JobId::new(format!("job-{job}")), task);
        let place = Place {
            kind: "small".into(),
            zone: "a".into(),
            spot: false,
        };
        Event::On(task, MachineId::new(format!("vm-{job}")), place)
    };
    events.push((50, start(0, 0)));
    let mut served = events.clone();
    served.extend((0..5).map(|task| (239, start(3, task))));
    let fired = |events: Vec<(u64, Event)>, what: &str| {
        let broken = play_to(300, 290, events);
        assert!(broken.iter().any(|line| line.contains(what)), "{broken:?}");
    };
    assert_eq!(play_to(300, 290, served.clone()), Vec::<String>::new());
    fired(events.clone(), "unserved: class");
    fired(events.clone(), "unserved: team");
    fired(events.clone(), "unserved: largest");
    events.extend((0..5).map(|task| (242, start(3, task))));
    fired(events, "began_late");
}

/// A job of two tasks, one of them on a machine, with this room left from the 20th
/// second on; all troubles are over at the tenth.
fn watch(spec: Box<JobSpec>, rooms: &[Room], end: u64) -> Vec<String> {
    let limits = BTreeMap::from([(TeamName::new("team"), 8.0)]);
    let mut rules = Rules::new(limits, Duration::from_secs(40));
    let there = [(
        TaskId::new(job(), 0),
        Place {
            kind: "small".into(),
            zone: "a".into(),
            spot: false,
        },
    )];
    rules.see(Duration::ZERO, Event::Submitted(job(), spec));
    rules.see(Duration::ZERO, answer(201, "queued", true));
    for second in 0..=end {
        let at = Duration::from_secs(second);
        if second == 10 {
            rules.calm(at);
        }
        let rooms = if second < 20 { &[] } else { rooms };
        rules.watch_waiting(at, rooms, &there);
    }
    rules.broken
}

#[test]
fn waited() {
    let room = |cpus: f64, zone: &str, spot: bool| Room {
        place: Place {
            kind: "small".into(),
            zone: zone.into(),
            spot,
        },
        cpus,
        memory: 8.0,
    };
    let plain = || spec(false, false, false);
    let broken = watch(plain(), &[room(4.0, "b", false)], 111);
    assert!(broken[0].contains("waited: job-1: 1 tasks"), "{broken:?}");
    let quiet = |spec: Box<JobSpec>, rooms: &[Room], end: u64| {
        assert_eq!(watch(spec, rooms, end), Vec::<String>::new());
    };
    quiet(plain(), &[room(4.0, "b", false)], 110);
    quiet(plain(), &[], 300);
    quiet(
        plain(),
        &[room(3.0, "b", false), room(3.0, "b", false)],
        300,
    );
    quiet(plain(), &[room(4.0, "b", true)], 300);
    // Bound to the zone of the other one.
    quiet(spec(false, false, true), &[room(4.0, "b", false)], 300);
    quiet(spec(false, true, false), &[room(4.0, "a", false)], 300);
    let mut large = plain();
    large.per_task.cpus = 5.0;
    quiet(large, &[room(8.0, "b", false)], 300);
}

#[test]
fn reused() {
    let again = Event::Reused(TaskId::new(job(), 1), 4);
    fires("reused", vec![submitted(), (2, again)]);
}

#[test]
fn odd() {
    fires("unreadable", vec![(1, Event::Unreadable("n1".into()))]);
    let answered = |expected, code| Event::InvalidAnswered("a job".into(), expected, code);
    fires("odd", vec![(1, answered(400, 201))]);
    fires("odd", vec![(1, answered(422, 400))]);
    quiet(vec![(1, answered(422, 422)), (2, answered(400, 503))]);
}

fn fires(rule: &str, events: Vec<(u64, Event)>) {
    let broken = play(events);
    assert!(
        broken.iter().any(|line| line.contains(rule)),
        "{rule} did not fire: {broken:?}"
    );
}

fn quiet(events: Vec<(u64, Event)>) {
    assert_eq!(play(events), Vec::<String>::new());
}

fn submitted() -> (u64, Event) {
    (0, Event::Submitted(job(), spec(false, false, false)))
}

fn off(task: u32, machine: &str) -> Event {
    Event::Off(TaskId::new(job(), task), MachineId::new(machine))
}

fn done(task: u32) -> Event {
    Event::Completed(TaskId::new(job(), task))
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
