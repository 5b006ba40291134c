//! Tests of `coordination::leader::fleet::draining`.

use serde_json::json;

use super::*;
use crate::storage::Revision;

/// Returns a state cache with the idle machines vm-1 and vm-2.
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

/// Places a task of a job of this kind on vm-1.
fn place_on_vm_1(cache: &mut StateCache, kind: &str) {
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
fn an_idle_machine_that_gets_a_replica_stops_draining() {
    let mut cache = idle_machines();
    let mut draining = both_draining();
    draining.refresh(&cache);
    place_on_vm_1(&mut cache, "Service");
    draining.refresh(&cache);
    assert_eq!(
        draining.machine_ids(),
        BTreeSet::from([MachineId::new("vm-2")]),
        "the machine without a replica keeps draining"
    );
}

#[test]
fn a_machine_that_gets_an_array_task_keeps_draining() {
    let mut cache = idle_machines();
    let mut draining = both_draining();
    draining.refresh(&cache);
    place_on_vm_1(&mut cache, "Array");
    draining.refresh(&cache);
    assert!(draining.contains(&MachineId::new("vm-1")));
}

#[test]
fn a_machine_that_had_replicas_when_chosen_keeps_draining() {
    let mut cache = idle_machines();
    place_on_vm_1(&mut cache, "Service");
    let mut draining = both_draining();
    draining.refresh(&cache);
    draining.refresh(&cache);
    assert!(draining.contains(&MachineId::new("vm-1")));
}

#[test]
fn a_machine_without_a_record_is_removed() {
    let mut draining = both_draining();
    draining.refresh(&StateCache::default());
    assert_eq!(draining.count(), 0);
}
