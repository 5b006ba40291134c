//! Tests of the rule that a controller's state cache has the keys of the state service.

use std::{collections::BTreeMap, time::Duration};

use simulator::rules::{Event, Rules};

/// The caches are compared again and again; a key that differs stays so for long.
#[test]
fn a_key_that_differs_is_reported_once() {
    let mut rules = Rules::new(BTreeMap::new(), Duration::from_secs(40));
    let differs = |controller: &str| Event::CacheDiffers {
        controller: controller.to_owned(),
        key: "rent/r-1".to_owned(),
    };
    rules.record(Duration::from_secs(3), differs("n0"));
    rules.record(Duration::from_secs(6), differs("n0"));
    rules.record(Duration::from_secs(6), differs("n1"));
    let expected = [
        "3.000 cache_differs: n0 has another rent/r-1",
        "6.000 cache_differs: n1 has another rent/r-1",
    ];
    assert_eq!(rules.violations, expected);
}
