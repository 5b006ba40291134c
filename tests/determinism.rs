//! A scenario run is determined by its seed alone: two runs with the same seed produce the same
//! events in the same order, also under CPU load.
//!
//! Guards against results that cannot be reproduced. Scenario `fleet` failed in one of two runs
//! of the same commit, and no command reproduced it: the order in which a change of the state
//! cache woke the leader's loop and the shard owner's loop of a controller was random in every
//! run. `tokio::sync::watch` distributes its receivers over eight lists with a random generator
//! that the runtime seeds from the operating system. Six runs of `fleet` with the same seed gave
//! six counts of state changes between 996 and 1188.

use std::{
    fs,
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use simulator::{event_trace::EventTrace, scenario::Scenario};

/// Scenarios that together cover every kind of fault, gangs, services, arrays and quota
/// transfers.
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
/// Number of threads that generate CPU load.
const LOAD_THREADS: usize = 4;

fn load_scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.txt"));
    Scenario::parse(&fs::read_to_string(path).expect("the scenario file must be readable"))
}

fn spawn_traced_run(name: &'static str) -> thread::JoinHandle<EventTrace> {
    thread::spawn(move || load_scenario(name).measure_traced().1)
}

/// Stops the load threads when dropped, also when a run panics.
struct StopLoadOnDrop<'a>(&'a AtomicBool);

impl Drop for StopLoadOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs all scenarios in parallel and under additional CPU load; returns their traces.
fn traces_under_load() -> Vec<EventTrace> {
    let stop_load = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stop_guard = StopLoadOnDrop(&stop_load);
        for _ in 0..LOAD_THREADS {
            scope.spawn(|| {
                while !stop_load.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        let runs = SCENARIOS.map(spawn_traced_run);
        runs.into_iter()
            .map(|run| run.join().expect("the run must not panic"))
            .collect()
    })
}

#[test]
fn two_runs_of_a_seed_agree_event_by_event() {
    let traces_under_load = traces_under_load();
    let mut differences = Vec::new();
    for (name, second) in SCENARIOS.into_iter().zip(traces_under_load) {
        let first = spawn_traced_run(name)
            .join()
            .expect("the run must not panic");
        assert!(!first.events().is_empty(), "{name} has no events");
        if let Some(difference) = first.first_difference(&second) {
            differences.push(format!("{name}: {difference}"));
        }
    }
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

#[test]
fn another_seed_gives_other_events() {
    let first = load_scenario("quiet-day").measure_traced().1;
    let second = load_scenario("quiet-day").with_seed(2).measure_traced().1;
    assert_ne!(first.digest(), second.digest());
    assert!(first.first_difference(&second).is_some());
}
