//! Tests of the state service's client with responses that arrive in another order than their
//! requests were executed.

mod delayed_store;

use std::{collections::BTreeMap, sync::Arc};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::*;
use crate::storage::keys;
use delayed_store::{DelayedStore, HeldResponse, delete, put};

const LIMITS: StateLimits = StateLimits {
    rps: 1e6,
    write_rps: 1e6,
    next_rps: 1e6,
    next_write_rps: 1e6,
    value_bytes: 8 * 1024,
    txn_ops: 16,
};

/// One key of each kind of record that is removed at some time.
const KEYS: [&str; 10] = [
    "spec/job-1",
    "run/job-1/0",
    "drain/job-1",
    "seat/n0",
    "block/1",
    "machine/r-1",
    "rent/r-2",
    "node/n0",
    keys::LEADER,
    keys::CATALOG,
];

/// A valid record for one of [`KEYS`].
fn record(key: &str) -> Value {
    match key.split('/').next() {
        Some("spec") => json!({"class": "c", "team": "t", "kind": "Array", "priority": "Normal",
            "tasks": 2, "per_task": {"cpus": 1.0, "gpus": 0.0, "memory": 1.0},
            "image": "i", "image_gb": 1.0, "estimate": {"secs": 1, "nanos": 0},
            "checkpoint": {"secs": 0, "nanos": 0}, "save": {"secs": 0, "nanos": 0},
            "accepted_ms": 0}),
        Some("run") => json!({"p": {"0": {"a": 1, "m": "vm-1", "s": 1}}}),
        Some("seat") => json!({"holder": 7, "budgets": {}}),
        Some("block") => json!({"node": "n0", "holder": 7, "machines": {"vm-1": "o"}}),
        Some("machine") => json!({"t": "x", "z": "z", "s": false, "at": 0, "m": {"vm-1": null}}),
        Some("rent") => json!({"t": "x", "z": "z", "s": false, "n": 1, "at": 0}),
        Some("node") => json!({"incarnation": 7, "zone": "z"}),
        Some("leader") => json!({"node": "n0", "incarnation": 7}),
        Some("catalog") => json!({"types": []}),
        _ => json!(1),
    }
}

/// A store with an empty cache, and the service that it reads.
fn store() -> (Arc<Store>, DelayedStore) {
    let service = DelayedStore::default();
    let store = Store::new(Box::new(service.clone()), LIMITS);
    (Arc::new(store), service)
}

/// Waits until no task can go on: every request is executed, and every response that is not held
/// back is handled.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

fn start_read(store: &Arc<Store>) -> JoinHandle<()> {
    let store = store.clone();
    tokio::spawn(async move {
        // A read is rejected if a full read has replaced the cache meanwhile.
        let _ = store.read_changes(Duration::ZERO).await;
    })
}

fn start_full_read(store: &Arc<Store>) -> JoinHandle<()> {
    let store = store.clone();
    tokio::spawn(async move { store.load().await.expect("the full read succeeds") })
}

fn start_commit(store: &Arc<Store>, operations: Vec<Operation>) -> JoinHandle<()> {
    let store = store.clone();
    tokio::spawn(async move {
        let transaction = Transaction {
            conditions: Vec::new(),
            operations,
        };
        let committed = store.commit(&transaction, RequestPriority::Placement).await;
        committed.expect("the commit succeeds");
    })
}

async fn read(store: &Arc<Store>) {
    start_read(store).await.expect("the read does not panic");
}

/// Guards against a removed record that a late response to a watch sets again in the cache: a
/// provision request that came back was sent without end, and an accepted job never ran.
#[tokio::test(start_paused = true)]
async fn a_late_response_to_a_watch_does_not_restore_removed_records() {
    let (store, service) = store();
    for key in KEYS {
        service.change(&put(key, record(key)));
    }
    let late_response = service.hold_next_response();
    let watch = start_read(&store);
    settle().await;
    for key in KEYS {
        service.change(&delete(key));
    }
    read(&store).await;
    assert_eq!(store.cache().key_revisions(), BTreeMap::new());
    drop(late_response);
    watch.await.expect("the read does not panic");
    assert_eq!(store.cache().key_revisions(), BTreeMap::new());
    assert_eq!(store.take_counters().late_reads, 1);
}

/// Guards against a removed record that the late response to the commit of an earlier value sets
/// again in the cache.
#[tokio::test(start_paused = true)]
async fn a_late_response_to_a_commit_does_not_restore_removed_records() {
    let (store, service) = store();
    let late_response = service.hold_next_response();
    let puts = KEYS.map(|key| put(key, record(key))).to_vec();
    let commit = start_commit(&store, puts);
    settle().await;
    for key in KEYS {
        service.change(&delete(key));
    }
    read(&store).await;
    drop(late_response);
    commit.await.expect("the commit does not panic");
    assert_eq!(store.cache().key_revisions(), BTreeMap::new());
    assert_eq!(store.take_counters().late_commits, 1);
}

/// Guards against a removed record that the late response to a watch sets again in a cache that a
/// full read has filled meanwhile.
#[tokio::test(start_paused = true)]
async fn a_late_response_to_a_watch_does_not_restore_records_removed_before_a_full_read() {
    let (store, service) = store();
    for key in KEYS {
        service.change(&put(key, record(key)));
    }
    let late_response = service.hold_next_response();
    let watch = start_read(&store);
    settle().await;
    for key in KEYS {
        service.change(&delete(key));
    }
    start_full_read(&store)
        .await
        .expect("the read does not panic");
    drop(late_response);
    watch.await.expect("the read does not panic");
    assert_eq!(store.cache().key_revisions(), BTreeMap::new());
}

/// Starts a random request of the controller, and holds back the response to it.
fn start_random_request(
    rng: &mut StdRng,
    store: &Arc<Store>,
    service: &DelayedStore,
) -> HeldResponse {
    let response = service.hold_next_response();
    match rng.random_range(0..2) {
        0 => start_read(store),
        _ => start_commit(store, vec![random_operation(rng)]),
    };
    response
}

fn random_operation(rng: &mut StdRng) -> Operation {
    let key = KEYS.choose(rng).expect("there are keys");
    if rng.random_bool(0.5) {
        put(key, record(key))
    } else {
        delete(key)
    }
}

/// Compares the cache with the service's records, over random changes by this controller and by
/// others, with responses that arrive in any order.
#[tokio::test(start_paused = true)]
async fn the_cache_agrees_with_the_service_after_responses_in_any_order() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (store, service) = store();
        let mut held: Vec<HeldResponse> = Vec::new();
        for _ in 0..60 {
            match rng.random_range(0..10) {
                0..=3 => service.change(&random_operation(&mut rng)),
                4..=5 => held.push(start_random_request(&mut rng, &store, &service)),
                6..=7 if !held.is_empty() => {
                    held.swap_remove(rng.random_range(0..held.len()));
                }
                8 if rng.random_bool(0.1) => {
                    held.push(service.hold_next_response());
                    start_full_read(&store);
                }
                _ => read(&store).await,
            }
            settle().await;
        }
        held.clear();
        settle().await;
        read(&store).await;
        let cached = store.cache().key_revisions();
        assert_eq!(cached, service.revisions(), "seed {seed}");
    }
}
