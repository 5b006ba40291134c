//! Scenarios under `tests/loopback` with controllers that run as threads and communicate over
//! real sockets, in real time. `LOOPBACK=file` runs another scenario file, for long runs.

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use simulator::scenario::Scenario;

/// Maximum time that the scenario that CI runs may take.
const MAX_CI_RUN_TIME: Duration = Duration::from_secs(100);

#[test]
fn quota_limits_hold_on_real_sockets() {
    simulator::start_logging();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/loopback");
    let chosen = std::env::var("LOOPBACK").ok();
    let has_chosen_file = chosen.is_some();
    let path = chosen.map_or_else(|| folder.join("quota-bursts.txt"), Into::into);
    let text = fs::read_to_string(path).expect("the scenario file must be readable");
    let started = Instant::now();
    let violations = Scenario::parse(&text).play_on_loopback();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(has_chosen_file || started.elapsed() < MAX_CI_RUN_TIME);
}
