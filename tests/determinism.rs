//! A play is driven by its seed alone: two plays of one seed agree event by event, alone and
//! beside load.
//!
//! Guards against verdicts that do not repeat. Scenario `fleet` failed in one of two runs of
//! the same commit, and no command showed it again: the order in which a change of the state
//! cache woke the leader's and the owner's loop of a controller was drawn anew in every play.
//! `tokio::sync::watch` spreads its receivers over eight lists by a generator that the runtime
//! seeds from the operating system. Six plays of `fleet` with the same seed gave six
//! counts of changes between 996 and 1188.

use std::{
    fs,
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use simulator::{event_trace::EventTrace, scenario::Scenario};

/// Between them they have every kind of fault, gangs, services and arrays, and quota transfers.
const SCENARIOS: [&str; 8] = [
    "fleet",
    "gangs-compete",
    "upgrade-gangs",
    "ten-leaders",
    "transfers-ten-leaders",
    "one-task-stream",
    "zone-partition-holds-packets",
    "duplicate-heartbeats-next-leader",
];
/// Threads that do nothing but use the processor.
const LOAD_THREADS: usize = 4;

fn scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.txt"));
    Scenario::parse(&fs::read_to_string(path).expect("a scenario"))
}

fn trace_of(name: &'static str) -> thread::JoinHandle<EventTrace> {
    thread::spawn(move || scenario(name).measure_traced().1)
}

/// Uses processor time until dropped.
struct Load<'a>(&'a AtomicBool);

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The traces of all scenarios, played beside each other and beside other load.
fn traces_beside_load() -> Vec<EventTrace> {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let _load = Load(&is_over);
        for _ in 0..LOAD_THREADS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        let playing = SCENARIOS.map(trace_of);
        playing
            .into_iter()
            .map(|play| play.join().expect("a play"))
            .collect()
    })
}

#[test]
fn two_plays_of_a_seed_agree_event_by_event() {
    let beside_load = traces_beside_load();
    let mut differences = Vec::new();
    for (name, second) in SCENARIOS.into_iter().zip(beside_load) {
        let first = trace_of(name).join().expect("a play");
        assert!(!first.events().is_empty(), "{name} has no events");
        if let Some(difference) = first.first_difference(&second) {
            differences.push(format!("{name}: {difference}"));
        }
    }
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

#[test]
fn another_seed_gives_other_events() {
    let first = scenario("quiet-day").measure_traced().1;
    let second = scenario("quiet-day").with_seed(2).measure_traced().1;
    assert_ne!(first.digest(), second.digest());
    assert!(first.first_difference(&second).is_some());
}
