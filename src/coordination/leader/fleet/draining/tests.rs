//! Tests of `coordination::leader::fleet::draining`.

use serde_json::json;

use super::*;
use crate::storage::Revision;

/// vm-1 and vm-2, both idle.
fn idle_machines() -> StateCache {
    let mut cache = StateCache::default();
    cache.set(
        "machine/r-1",
        json!({"t": "x", "z": "z", "s": false, "at": 0, "m": {"vm-1": null, "vm-2": null}}),
        Revision(1),
    );
    cache.advance(Revision(1));
    cache
}

/// A task of a job of this kind runs on vm-1.
fn place_on_first(cache: &mut StateCache, kind: &str) {
    cache.set(
        "spec/job-1",
        json!({"class": "c", "team": "team", "kind": kind, "priority": "Normal",
            "tasks": 1, "per_task": {"cpus": 4.0, "gpus": 0.0, "memory": 1.0},
            "image": "i", "image_gb": 1.0, "estimate": {"secs": 1, "nanos": 0},
            "checkpoint": {"secs": 0, "nanos": 0}, "save": {"secs": 0, "nanos": 0},
            "accepted_ms": 0}),
        Revision(2),
    );
    let run = json!({"p": {"0": {"a": 1, "m": "vm-1", "s": 1}}});
    cache.set("run/job-1/0", run, Revision(3));
    cache.advance(Revision(3));
}

fn both_draining() -> DrainingMachines {
    let mut draining = DrainingMachines::default();
    draining.insert(MachineId::new("vm-1"));
    draining.insert(MachineId::new("vm-2"));
    draining
}

#[test]
fn an_idle_machine_that_gets_a_replica_drains_no_more() {
    let mut cache = idle_machines();
    let mut draining = both_draining();
    draining.observe(&cache);
    place_on_first(&mut cache, "Service");
    draining.observe(&cache);
    assert_eq!(
        draining.names(),
        BTreeSet::from([MachineId::new("vm-2")]),
        "the other one goes on"
    );
}

#[test]
fn an_array_task_ends_by_itself_and_its_machine_drains_on() {
    let mut cache = idle_machines();
    let mut draining = both_draining();
    draining.observe(&cache);
    place_on_first(&mut cache, "Array");
    draining.observe(&cache);
    assert!(draining.contains(&MachineId::new("vm-1")));
}

#[test]
fn a_machine_with_replicas_when_it_was_chosen_goes_on_emptying() {
    let mut cache = idle_machines();
    place_on_first(&mut cache, "Service");
    let mut draining = both_draining();
    draining.observe(&cache);
    draining.observe(&cache);
    assert!(draining.contains(&MachineId::new("vm-1")));
}

#[test]
fn a_machine_that_no_record_names_is_forgotten() {
    let mut draining = both_draining();
    draining.observe(&StateCache::default());
    assert_eq!(draining.count(), 0);
}
