//! Controllers as threads over real sockets, in real time: scenarios under
//! `tests/loopback`. `LOOPBACK=file` plays another one, for long runs.

use std::{fs, path::Path, time::Instant};

use simulator::scenario::Scenario;

/// The scenarios that CI plays end within this time.
const MOST_SECONDS: u64 = 100;

#[test]
fn limits_hold_on_real_sockets() {
    simulator::start_logging();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/loopback");
    let asked = std::env::var("LOOPBACK").ok();
    let is_long = asked.is_some();
    let path = asked.map_or_else(|| folder.join("quota-bursts.txt"), Into::into);
    let text = fs::read_to_string(path).expect("a scenario");
    let started = Instant::now();
    let wrong = Scenario::parse(&text).play_on_loopback();
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(is_long || started.elapsed().as_secs() < MOST_SECONDS);
}
