//! Tests of the ownership of shards, and of when changes of it are written.

use super::*;
use crate::storage::{Incarnation, keys, records::MachineUse};

#[test]
fn a_dead_owners_shards_are_fenced_before_they_are_leased_again() {
    let mut cache = cache();
    let teams = [team(24.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    cache.delete("node/n0", Revision(1000));
    cache.advance(Revision(1000));
    let first = plan(&cache, &teams, &ShardPlanInputs::default());
    assert!(first.allocations["n0"].owner.is_none());
    assert!(
        first.shards.is_empty() && !first.allocations.contains_key("n1"),
        "no shard is leased before the fencing commit"
    );
    apply_changes(&mut cache, &first);
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-1"), "n1");
}

#[test]
fn a_restarted_process_is_a_new_owner_with_new_tokens() {
    let mut cache = cache();
    let teams = [team(24.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    let before = cache.shards[&ShardId(1)].revision;
    cache.set(
        "node/n0",
        json!({"incarnation": 99, "zone": "z0"}),
        Revision(1000),
    );
    cache.advance(Revision(1000));
    let next = plan(&cache, &teams, &ShardPlanInputs::default());
    assert_eq!(next.allocations["n0"].owner, Some(Incarnation(99)));
    assert!(
        next.shards.is_empty(),
        "no shard is leased before the old process is fenced"
    );
    apply_changes(&mut cache, &next);
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-1"), "n0");
    assert_eq!(cache.shards[&ShardId(1)].value.owner, Incarnation(99));
    assert!(cache.shards[&ShardId(1)].revision > before);
}

#[test]
fn nothing_is_planned_on_a_cache_that_lags_behind() {
    let mut cache = cache();
    let teams = [team(24.0)];
    let next = plan(&cache, &teams, &ShardPlanInputs::default());
    for (controller, allocation) in &next.allocations {
        let value = serde_json::to_value(allocation).expect("serializable value");
        cache.set(&keys::allocation(controller), value, Revision(500));
    }
    cache.delete("node/n0", Revision(600));
    assert!(plan(&cache, &teams, &ShardPlanInputs::default()).is_empty());
}

/// Guards against a leader that uses up its share of the state service's rate limit for changes
/// that are not urgent.
#[test]
fn changes_of_use_are_deferrable_and_leases_are_not() {
    let mut cache = cache();
    let machine = MachineId::new("vm-1");
    let record = |controller: &str, machine_use: MachineUse| ShardRecord {
        controller: ControllerName::new(controller),
        owner: Incarnation(10),
        cordoned: false,
        machines: BTreeMap::from([(machine.clone(), machine_use)]),
    };
    let value =
        serde_json::to_value(record("n0", MachineUse::Available)).expect("serializable record");
    cache.set("block/1", value, Revision(101));
    let change = |shard: ShardRecord| ShardPlanChanges {
        targets: Targets::default(),
        allocations: BTreeMap::new(),
        shards: BTreeMap::from([(ShardId(1), shard)]),
    };
    assert!(change(record("n0", MachineUse::Draining)).is_deferrable(&cache));
    assert!(!change(record("n1", MachineUse::Available)).is_deferrable(&cache));
    let mut without = record("n0", MachineUse::Available);
    without.machines.clear();
    assert!(
        !change(without.clone()).is_deferrable(&cache),
        "its machine is not terminated"
    );
    cache.delete("machine/r-1", Revision(102));
    assert!(change(without).is_deferrable(&cache));
    let mut with_allocation = change(record("n0", MachineUse::Draining));
    with_allocation
        .allocations
        .insert(ControllerName::new("n0"), AllocationRecord::default());
    assert!(!with_allocation.is_deferrable(&cache));
}

/// Guards against records larger than the state service allows, and against changing the shards
/// of other machines when machines are added.
#[test]
fn many_machines_are_in_shards_of_bounded_size() {
    let mut cache = cache();
    let teams = [team(24.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    let before = cache.shards.clone();
    let machines: serde_json::Map<String, serde_json::Value> = (0..500)
        .map(|n| (format!("vm-{n:06}"), json!("10.100.100.100:65535")))
        .collect();
    cache.set(
        "machine/r-2",
        json!({"t": "x", "z": "z1", "s": false, "at": 0, "m": machines}),
        Revision(200),
    );
    cache.advance(Revision(200));
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(cache.shards.len(), 1 + 500_usize.div_ceil(SHARD_SIZE));
    for (id, entry) in &cache.shards {
        assert!(entry.value.machines.len() <= SHARD_SIZE);
        let text = serde_json::to_string(&entry.value).expect("serializable value");
        assert!(text.len() < 2048, "{}", text.len());
        if let Some(old) = before.get(id) {
            assert_eq!(
                old.revision, entry.revision,
                "a shard of another zone is unchanged"
            );
        }
    }
    assert_eq!(owner_of(&cache, "vm-000400"), "n1");
    // Only n0 is left: it gets all shards, a few in each commit.
    cache.delete("node/n1", Revision(5000));
    cache.advance(Revision(5000));
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-000400"), "n0");
}
