//! Tests of `coordination::leader::shards`, on a cluster of two controllers.

mod leases;
mod moves;
mod quota;
mod uses;

use serde_json::json;

use super::*;
use crate::storage::{Quota, Revision, TeamName, client::Operation};

fn team(limit: f64) -> Team {
    Team {
        name: TeamName::new("team"),
        guaranteed: Quota::default(),
        limit: Quota {
            cpus: limit,
            gpus: 0.0,
        },
    }
}

fn cpus(allocation: &AllocationRecord) -> f64 {
    allocation
        .budgets
        .get("team")
        .map_or(0.0, |quota| quota.cpus)
}

/// Returns the controller whose shard contains the machine, which must be its current owner.
fn owner_of(cache: &StateCache, machine: &str) -> String {
    let (_, entry) = cache
        .shard_of(&MachineId::new(machine))
        .expect("in a shard");
    assert!(cache.has_current_owner(&entry.value));
    entry.value.controller.to_string()
}

/// Returns a cache with two controllers, and one task of four CPUs on vm-1 in the zone of `n0`.
fn cache() -> StateCache {
    let mut cache = StateCache::default();
    let mut revision = 0;
    let mut set = |key: &str, value| {
        revision += 1;
        cache.set(key, value, Revision(revision));
    };
    for n in 0..2 {
        set(
            &format!("node/n{n}"),
            json!({"incarnation": n + 10, "zone": format!("z{n}")}),
        );
    }
    set(
        "machine/r-1",
        json!({"t": "x", "z": "z0", "s": false, "at": 0, "m": {"vm-1": null}}),
    );
    set(
        "spec/job-1",
        json!({"class": "c", "team": "team", "kind": "Array", "priority": "Normal",
            "tasks": 3, "per_task": {"cpus": 4.0, "gpus": 0.0, "memory": 1.0},
            "image": "i", "image_gb": 1.0, "estimate": {"secs": 1, "nanos": 0},
            "checkpoint": {"secs": 0, "nanos": 0}, "save": {"secs": 0, "nanos": 0},
            "accepted_ms": 0}),
    );
    set(
        "run/job-1/0",
        json!({"p": {"0": {"a": 1, "m": "vm-1", "s": 1}}}),
    );
    cache.advance(Revision(100));
    cache
}

/// Applies planned changes to the cache as their commit would.
fn apply_changes(cache: &mut StateCache, plan: &ShardPlanChanges) {
    let revision = Revision(cache.revision.0 + 1);
    for op in plan.transaction(cache).operations {
        if let Operation::Put { key, value, .. } = op {
            cache.set(&key, value, revision);
        }
    }
    cache.advance(revision);
}

/// Plans and applies changes until there are none; returns the number of passes with changes.
/// Asserts after each that the sum of max(budget, use) stays within the limit.
fn plan_until_stable(cache: &mut StateCache, teams: &[Team], inputs: &ShardPlanInputs) -> usize {
    for pass in 0..20 {
        let next = plan(cache, teams, inputs);
        if next.is_empty() {
            return pass;
        }
        apply_changes(cache, &next);
        let by_controller = cache.quota_by_controller();
        let bound: f64 = cache
            .allocations
            .iter()
            .map(|(controller, entry)| {
                let used = by_controller[controller]
                    .get("team")
                    .map_or(0.0, |quota| quota.cpus);
                cpus(&entry.value).max(used)
            })
            .sum();
        assert!(bound <= teams[0].limit.cpus + 0.001, "pass {pass}: {bound}");
    }
    panic!("the plan does not become stable");
}

/// Returns the controller in the record of the machine's shard, which may be fenced; empty if
/// the machine is in no shard.
fn recorded_owner_of(cache: &StateCache, machine: &str) -> String {
    let found = cache.shard_of(&MachineId::new(machine));
    found.map_or_else(String::new, |(_, entry)| entry.value.controller.to_string())
}
