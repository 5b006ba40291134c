//! Controllers as threads over real sockets, in real time: scenarios under
//! `tests/loopback`. `LOOPBACK=file` plays another one, for long runs.

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use simulator::scenario::Scenario;

/// The scenarios that CI plays end within this time.
const MAX_TIME_IN_CI: Duration = Duration::from_secs(100);

#[test]
fn limits_hold_on_real_sockets() {
    simulator::start_logging();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/loopback");
    let chosen = std::env::var("LOOPBACK").ok();
    let is_long = chosen.is_some();
    let path = chosen.map_or_else(|| folder.join("quota-bursts.txt"), Into::into);
    let text = fs::read_to_string(path).expect("a scenario");
    let started = Instant::now();
    let violations = Scenario::parse(&text).play_on_loopback();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(is_long || started.elapsed() < MAX_TIME_IN_CI);
}
