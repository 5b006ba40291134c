//! Tests of `storage::state_cache`.

use std::sync::Arc;

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use super::*;
use crate::storage::{
    AgentEpoch, Attempt, ClassName, ImageName, JobKind, JobSpec, Priority, Resources, TeamName,
};

fn run(machine: &str) -> Value {
    json!({"p": {"0": {"a": 1, "m": machine, "s": 1}}})
}

#[test]
fn an_older_value_never_replaces_a_newer_one() {
    let mut cache = StateCache::default();
    cache.set("run/job-1/0", run("vm-2"), Revision(9));
    cache.set("run/job-1/0", run("vm-1"), Revision(5));
    assert!(cache.machine_loads.contains_key(&MachineId::new("vm-2")));
    assert!(!cache.machine_loads.contains_key(&MachineId::new("vm-1")));
}

#[test]
fn own_deletions_are_not_undone_by_a_late_watch() {
    let mut cache = StateCache::default();
    cache.set("run/job-1/0", run("vm-1"), Revision(5));
    cache.delete_ahead("run/job-1/0", Revision(8));
    cache.set("run/job-1/0", run("vm-1"), Revision(7));
    assert!(cache.jobs.is_empty() && cache.machine_loads.is_empty());
    cache.advance(Revision(8));
    assert!(cache.own_deletions.is_empty());
}

/// Guards against a removed key that is set again by a change that arrives after its removal.
#[test]
fn a_change_that_the_cache_has_passed_does_not_restore_a_removed_key() {
    let mut cache = StateCache::default();
    cache.set("run/job-1/0", run("vm-1"), Revision(5));
    cache.delete("run/job-1/0", Revision(8));
    cache.advance(Revision(8));
    for passed in [5, 7, 8] {
        cache.set("run/job-1/0", run("vm-1"), Revision(passed));
        assert!(cache.jobs.is_empty() && cache.machine_loads.is_empty());
    }
    cache.set("run/job-1/0", run("vm-2"), Revision(9));
    assert!(cache.machine_loads.contains_key(&MachineId::new("vm-2")));
}

/// A full read does not include outcomes, so that the response to the commit of an outcome may
/// arrive when the cache has passed it.
#[test]
fn an_outcome_that_the_cache_has_passed_is_remembered() {
    let mut cache = StateCache::default();
    cache.advance(Revision(8));
    let outcome = json!({"fate": "cancelled", "done": 0});
    cache.set("fate/job-1", outcome, Revision(7));
    assert!(cache.outcome(&JobId::new("job-1")).is_some());
}

/// Guards against treating a machine that returned to an earlier owner as continuously owned:
/// commands of the owner in between may still be in flight.
#[test]
fn a_returned_machine_is_owned_since_its_return() {
    let mut cache = StateCache::default();
    let shard = |controller: &str, owner: u64, machines: &[&str]| {
        let machines: serde_json::Map<String, Value> = machines
            .iter()
            .map(|id| ((*id).to_owned(), json!("o")))
            .collect();
        json!({"node": controller, "holder": owner, "machines": machines})
    };
    let vm = MachineId::new("vm-1");
    cache.set("block/1", shard("a", 7, &["vm-1"]), Revision(3));
    cache.set("block/1", shard("a", 7, &["vm-1", "vm-2"]), Revision(4));
    assert_eq!(cache.owned_since(&vm), Revision(3));
    cache.set("block/1", shard("a", 7, &["vm-2"]), Revision(5));
    cache.set("block/2", shard("b", 8, &["vm-1"]), Revision(5));
    assert_eq!(cache.owned_since(&vm), Revision(5));
    cache.set("block/2", shard("b", 8, &[]), Revision(6));
    cache.set("block/1", shard("a", 7, &["vm-1", "vm-2"]), Revision(6));
    assert_eq!(cache.owned_since(&vm), Revision(6));
    cache.set("block/1", shard("a", 9, &["vm-1", "vm-2"]), Revision(7));
    assert_eq!(cache.owned_since(&vm), Revision(7));
}

/// A job's spec as stored.
fn spec(team: &str, cpus: f64) -> Value {
    json!({"class": "c", "team": team, "kind": "Array", "priority": "Normal",
        "tasks": 9, "per_task": {"cpus": cpus, "gpus": 0.0, "memory": 0.7},
        "image": "i", "image_gb": 1.0, "estimate": {"secs": 1, "nanos": 0},
        "checkpoint": {"secs": 0, "nanos": 0}, "save": {"secs": 0, "nanos": 0},
        "accepted_ms": 0})
}

/// A group of this many machines as stored.
fn machine_group(machines: u32) -> Value {
    let names = (0..machines).map(|n| (format!("vm-{n}"), Value::Null));
    json!({"t": "x", "z": "z", "s": false, "at": 0,
        "m": names.collect::<serde_json::Map<_, _>>()})
}

/// Changes a random record of one of six jobs or of one machine group.
fn change_at_random(cache: &mut StateCache, rng: &mut StdRng, revision: Revision) {
    let job = rng.random_range(0..6);
    match rng.random_range(0..5) {
        0 => {
            let team = if job % 2 == 0 { "even" } else { "odd" };
            let value = spec(team, 1.5 + f64::from(job));
            cache.set(&format!("spec/job-{job}"), value, revision);
        }
        2 if rng.random_bool(0.1) => {
            let value = machine_group(rng.random_range(0..5));
            cache.set("machine/r-1", value, revision);
        }
        1 if rng.random_bool(0.2) => {
            cache.delete(&format!("run/job-{job}/0"), revision);
        }
        _ => {
            let mut placed = serde_json::Map::new();
            for task in 0..9 {
                if rng.random_bool(0.5) {
                    let vm = format!("vm-{}", rng.random_range(0..4));
                    placed.insert(task.to_string(), json!({"a": 1, "m": vm, "s": 1}));
                }
            }
            cache.set(&format!("run/job-{job}/0"), json!({"p": placed}), revision);
        }
    }
}

/// Asserts that the sums and sets of the cache equal those recomputed from its records.
fn assert_agrees_with_recount(cache: &StateCache) {
    let mut cpus: BTreeMap<MachineId, f64> = BTreeMap::new();
    for job in cache.jobs.values() {
        let each = job.spec().map_or(0.0, |spec| spec.per_task.cpus);
        for placement in job
            .run_records
            .values()
            .flat_map(|k| k.value.placed.values())
        {
            *cpus.entry(placement.machine.clone()).or_default() += each;
        }
    }
    assert_eq!(cpus.len(), cache.machine_loads.len());
    for (machine, cpus) in cpus {
        assert!((cache.used_resources(&machine).cpus - cpus).abs() < 1e-9);
        let used = cache.quota_used(std::iter::once(&machine));
        let sum: f64 = used.values().map(|quota| quota.cpus).sum();
        assert!((sum - cpus).abs() < 1e-9);
    }
    for (id, job) in &cache.jobs {
        let placed = job
            .run_records
            .values()
            .flat_map(|k| k.value.placed.values());
        let present = placed.filter(|p| cache.machines.contains_key(&p.machine));
        assert_eq!(present.count() as u32, job.present_tasks());
        assert_eq!(cache.waiting.contains(id), job.waiting() > 0);
    }
}

/// Compares the cached sums and sets with recomputed ones, over random changes of records.
#[test]
fn cached_sums_and_sets_agree_with_a_recount() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut cache = StateCache::default();
    for revision in 1..600 {
        change_at_random(&mut cache, &mut rng, Revision(revision));
        assert_agrees_with_recount(&cache);
    }
}

/// Guards against tasks of a removed machine that are placed elsewhere only after a separate change
/// of their run record. That change would only record that the machine is terminated, which its
/// removal from the machine group already shows.
#[test]
fn tasks_of_a_removed_machine_wait_at_once() {
    let mut cache = StateCache::default();
    let machine_group = |machines: &[&str]| {
        let machines: serde_json::Map<String, Value> = machines
            .iter()
            .map(|id| ((*id).to_owned(), Value::Null))
            .collect();
        json!({"t": "x", "z": "z", "s": false, "at": 0, "m": machines})
    };
    let id = JobId::new("job-1");
    // A full read delivers run records before machine groups.
    cache.set(
        "run/job-1/0",
        json!({"p": {"0": {"a": 1, "m": "vm-1", "s": 1}, "1": {"a": 4, "m": "vm-2", "s": 1}}}),
        Revision(5),
    );
    assert_eq!(cache.jobs[&id].present_tasks(), 0);
    cache.set("machine/r-1", machine_group(&["vm-1", "vm-2"]), Revision(2));
    assert_eq!(cache.jobs[&id].present_tasks(), 2);
    assert!(cache.jobs[&id].placement(1).is_some());
    cache.set("machine/r-1", machine_group(&["vm-1"]), Revision(7));
    assert_eq!(cache.jobs[&id].present_tasks(), 1);
    assert!(cache.jobs[&id].placement(1).is_none());
    assert!(cache.jobs[&id].placement(0).is_some());
    // The next placement replaces the old one, with a new attempt.
    let mut record = cache.jobs[&id].run_records[&0].value.clone();
    let attempt = record.next_attempt(1);
    assert_eq!(attempt, Attempt(5));
    record.place(1, MachineId::new("vm-1"), AgentEpoch(1), attempt);
    let value = serde_json::to_value(&record).expect("run records always serialize");
    cache.set("run/job-1/0", value, Revision(8));
    assert_eq!(cache.jobs[&id].present_tasks(), 2);
    cache.delete("machine/r-1", Revision(9));
    assert_eq!(cache.jobs[&id].present_tasks(), 0);
}

#[test]
fn waiting_tasks_are_neither_placed_nor_done() {
    let mut cache = StateCache::default();
    cache.set(
        "run/job-1/0",
        json!({"p": {"1": {"a": 1, "m": "vm-1", "s": 1}}, "d": [[3, 4]]}),
        Revision(5),
    );
    let machine_group = json!({"t": "x", "z": "z", "s": false, "at": 0, "m": {"vm-1": null}});
    cache.set("machine/r-1", machine_group, Revision(4));
    let job = cache
        .jobs
        .get_mut(&JobId::new("job-1"))
        .expect("the job has a run record");
    job.spec = Some(Versioned {
        revision: Revision(1),
        value: Arc::new(JobSpec {
            class: ClassName::new("c"),
            team: TeamName::new("t"),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: 6,
            per_task: Resources::default(),
            image: ImageName::new("i"),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate: Default::default(),
            checkpoint: Default::default(),
            save: Default::default(),
            deadline: None,
            accepted_ms: 0,
            assigned_zone: None,
        }),
    });
    assert_eq!(job.waiting(), 3);
    assert_eq!(job.waiting_tasks(9), vec![0, 2, 5]);
    assert_eq!(job.waiting_tasks(1), vec![0]);
}
