//! Tests of the holder's pure parts.

use std::time::Duration;

use super::failure_pause;

#[test]
fn failures_wait_longer_each_time() {
    assert_eq!(failure_pause(1), Duration::from_secs(1));
    assert_eq!(failure_pause(4), Duration::from_secs(8));
    assert_eq!(failure_pause(40), Duration::from_secs(60));
}
