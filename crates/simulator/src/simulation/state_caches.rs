//! Compares the controllers' state caches with the state service.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use stallcove::{coordination::Controller, storage::Revision};
use tokio::time::Instant;

use super::Simulation;
use crate::rules::Event;

/// Interval between two comparisons.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(3);

impl Simulation {
    /// Compares the state cache of every running controller with the state service, if both are at
    /// the same revision, and reports each key that differs. Must be called periodically. On
    /// loopback the controllers have threads of their own, so that nothing is compared there.
    pub(super) fn check_state_caches(&self) {
        if self.loopback.is_some() || !self.is_comparison_due() {
            return;
        }
        let stored = self.state.live_set();
        for (name, controller) in self.running_controllers() {
            let store = &controller.context.store;
            let cache = store.cache();
            if !store.is_loaded() || cache.revision != stored.revision {
                continue;
            }
            let cached = cache.key_revisions();
            drop(cache);
            for key in differing_keys(&cached, &stored.keys) {
                self.record(Event::CacheDiffers {
                    controller: name.clone(),
                    key: key.clone(),
                });
            }
        }
    }

    fn is_comparison_due(&self) -> bool {
        let mut compared_at = self.caches_compared_at.lock().expect("comparison lock");
        if compared_at.elapsed() < COMPARISON_INTERVAL {
            return false;
        }
        *compared_at = Instant::now();
        true
    }

    fn running_controllers(&self) -> Vec<(String, Arc<Controller>)> {
        let controllers = self.controllers.lock().expect("controllers lock");
        let running = controllers.iter().filter_map(|(name, slot)| {
            let process = slot.running.as_ref()?;
            Some((name.clone(), process.controller.clone()))
        });
        running.collect()
    }
}

/// Returns the keys that have another revision on the two sides, or are missing on one.
fn differing_keys<'a>(
    cached: &'a BTreeMap<String, Revision>,
    stored: &'a BTreeMap<String, Revision>,
) -> impl Iterator<Item = &'a String> {
    let only_cached = cached.keys().filter(|key| !stored.contains_key(*key));
    let other_revision = stored
        .iter()
        .filter(|(key, revision)| cached.get(*key) != Some(revision));
    only_cached.chain(other_revision.map(|(key, _)| key))
}
