//! Tests of the state cache: attempts of gangs, and cancellations reported by peers.

use serde_json::{Value, json};
use stallcove::storage::*;

fn id(n: u32) -> JobId {
    JobId::new(format!("job-{n}"))
}

fn spec(tasks: u32) -> Value {
    json!({"class": "c", "team": "t", "kind": "Gang", "priority": "Normal",
        "tasks": tasks, "per_task": {"cpus": 1.0, "gpus": 0.0, "memory": 1.0},
        "image": "i", "image_gb": 1.0, "estimate": {"secs": 1, "nanos": 0},
        "checkpoint": {"secs": 0, "nanos": 0}, "save": {"secs": 0, "nanos": 0},
        "accepted_ms": 0})
}

fn placement(machine: &str, attempt: u64) -> Value {
    json!({"a": attempt, "m": machine, "s": 1})
}

/// Returns a cache with a gang of three tasks with this run record. Only vm-1 and vm-2 exist: a
/// task on any other machine is lost.
fn gang(run: Value) -> StateCache {
    let mut cache = StateCache::default();
    let machines = json!({"vm-1": null, "vm-2": null});
    let machine_group = json!({"t": "x", "z": "z", "s": false, "at": 0, "m": machines});
    cache.set("machine/r-1", machine_group, Revision(1));
    cache.set("spec/job-1", spec(3), Revision(2));
    cache.set("run/job-1/0", run, Revision(3));
    cache
}

/// Guards against tasks of a gang that get different attempts and therefore never find each
/// other: some tasks had ended an attempt, others had never been placed.
#[test]
fn all_tasks_of_a_gang_get_the_same_attempt() {
    for (run, may_join, attempt) in [
        (json!({}), true, 1),
        // The placed tasks wait for others that have not been placed for lack of capacity.
        (json!({"p": {"0": placement("vm-1", 4)}}), true, 4),
        (
            json!({"p": {"0": placement("vm-1", 4)}, "w": {"1": 3}}),
            true,
            4,
        ),
        // A task of this attempt has ended or is lost: the other tasks must stop first.
        (
            json!({"p": {"0": placement("vm-1", 4)}, "w": {"1": 4}}),
            false,
            4,
        ),
        (
            json!({"p": {"0": placement("vm-1", 4), "1": placement("vm-9", 4)}}),
            false,
            4,
        ),
        // No task is left on an existing machine: the next attempt is above all earlier ones.
        (json!({"w": {"0": 2, "1": 5}}), true, 6),
        (
            json!({"p": {"1": placement("vm-9", 7)}, "w": {"0": 2}}),
            true,
            8,
        ),
    ] {
        let cache = gang(run.clone());
        let job = &cache.jobs[&id(1)];
        assert_eq!(job.can_place_waiting_gang_tasks(), may_join, "{run}");
        assert_eq!(job.gang_attempt(), Attempt(attempt), "{run}");
    }
}

/// A cancellation reported by a peer applies to the jobs in the cache until the watch has reached
/// the revision that the peer had seen.
#[test]
fn cancellations_of_peers_apply_until_the_watch_reaches_them() {
    let mut cache = gang(json!({"p": {"0": placement("vm-1", 1)}}));
    cache.advance(Revision(5));
    assert_eq!(cache.note_cancelled(vec![id(1), id(2)], Revision(9)), 1);
    assert!(cache.is_cancelled(&id(1)) && !cache.is_cancelled(&id(2)));
    assert_eq!(
        cache.note_cancelled(vec![id(1)], Revision(9)),
        0,
        "already noted"
    );
    // It is included in the answers to other peers.
    assert_eq!(cache.cancelled_since(Revision(5)), vec![id(1)]);
    cache.advance(Revision(8));
    assert!(cache.is_cancelled(&id(1)));
    cache.set("drain/job-1", json!(1), Revision(9));
    cache.advance(Revision(9));
    assert!(cache.is_cancelled(&id(1)));
    assert_eq!(cache.peer_cancelled().count(), 0);
    assert_eq!(cache.cancelled_since(Revision(8)), vec![id(1)]);
    assert!(cache.cancelled_since(Revision(9)).is_empty());
    // A report from an older revision than that of the cache is ignored.
    assert_eq!(cache.note_cancelled(vec![id(1)], Revision(7)), 0);
}
