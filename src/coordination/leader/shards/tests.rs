//! Tests of `coordination::leader::shards`.

use serde_json::json;

use super::{quota_division::RETAINED_FRACTION, *};

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

/// The controller whose shard holds the machine.
fn owner_of(cache: &StateCache, machine: &str) -> String {
    let (_, entry) = cache
        .shard_of(&MachineId::new(machine))
        .expect("in a block");
    assert!(cache.has_current_owner(&entry.value));
    entry.value.controller.to_string()
}

/// Two controllers; `n0` runs one task of four CPUs on vm-1.
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

/// Puts a plan into the cache as its commit would.
fn carry_out(cache: &mut StateCache, plan: &ShardPlanChanges) {
    let revision = Revision(cache.revision.0 + 1);
    for op in plan.transaction(cache).ops {
        if let crate::storage::client::Operation::Put { key, value, .. } = op {
            cache.set(&key, value, revision);
        }
    }
    cache.advance(revision);
}

fn settle(cache: &mut StateCache, teams: &[Team], inputs: &ShardPlanInputs) -> usize {
    for pass in 0..20 {
        let next = plan(cache, teams, inputs);
        if next.is_empty() {
            return pass;
        }
        carry_out(cache, &next);
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
    panic!("the plan does not settle");
}

#[test]
fn machines_go_to_their_zone_and_limits_are_shared() {
    let mut cache = cache();
    settle(&mut cache, &[team(24.0)], &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-1"), "n0");
    let sum: f64 = cache
        .allocations
        .values()
        .map(|entry| cpus(&entry.value))
        .sum();
    assert!(
        sum > 24.0 * (1.0 - RETAINED_FRACTION) && sum < 24.001,
        "{sum}"
    );
}

/// Guards against records beyond the state service's limit, and against
/// disturbing every machine when some come.
#[test]
fn many_machines_are_in_shards_of_bounded_size() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
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
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(cache.shards.len(), 1 + 500_usize.div_ceil(SHARD_SIZE));
    for (id, entry) in &cache.shards {
        assert!(entry.value.machines.len() <= SHARD_SIZE);
        let text = serde_json::to_string(&entry.value).expect("plain data");
        assert!(text.len() < 2048, "{}", text.len());
        if let Some(old) = before.get(id) {
            assert_eq!(
                old.revision, entry.revision,
                "a block of another zone is left alone"
            );
        }
    }
    assert_eq!(owner_of(&cache, "vm-000400"), "n1");
    // Nobody but n0 is left: it gets all of them, a few shards a commit.
    cache.delete("node/n1", Revision(5000));
    cache.advance(Revision(5000));
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-000400"), "n0");
}

#[test]
fn a_quota_deficit_takes_two_passes_and_never_exceeds_the_limit() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    let before = cpus(&cache.allocations["n0"].value);
    let mut inputs = ShardPlanInputs::default();
    inputs.deficit.insert(
        (ControllerName::new("n0"), TeamName::new("team")),
        Quota {
            cpus: 6.0,
            gpus: 0.0,
        },
    );
    let first = plan(&cache, &teams, &inputs);
    assert!(
        !first.allocations.contains_key("n0"),
        "nothing is given before it is taken"
    );
    carry_out(&mut cache, &first);
    let second = plan(&cache, &teams, &inputs);
    carry_out(&mut cache, &second);
    assert!(cpus(&cache.allocations["n0"].value) >= before + 6.0 - 0.001);
}

#[test]
fn a_dead_owners_shards_are_fenced_before_they_are_leased_again() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    cache.delete("node/n0", Revision(1000));
    cache.advance(Revision(1000));
    let first = plan(&cache, &teams, &ShardPlanInputs::default());
    assert!(first.allocations["n0"].owner.is_none());
    assert!(
        first.shards.is_empty() && !first.allocations.contains_key("n1"),
        "not before the fence is committed"
    );
    carry_out(&mut cache, &first);
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-1"), "n1");
}

#[test]
fn a_restarted_process_is_a_new_owner_with_new_tokens() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    let before = cache.shards[&ShardId(1)].revision;
    cache.set(
        "node/n0",
        json!({"incarnation": 99, "zone": "z0"}),
        Revision(1000),
    );
    cache.advance(Revision(1000));
    let next = plan(&cache, &teams, &ShardPlanInputs::default());
    assert_eq!(next.allocations["n0"].owner, Some(Incarnation(99)));
    assert!(next.shards.is_empty(), "not before the old one is fenced");
    carry_out(&mut cache, &next);
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-1"), "n0");
    assert_eq!(cache.shards[&ShardId(1)].value.owner, Incarnation(99));
    assert!(cache.shards[&ShardId(1)].revision > before);
}

#[test]
fn nothing_is_planned_on_a_book_that_lags_behind() {
    let mut cache = cache();
    let teams = [team(24.0)];
    let next = plan(&cache, &teams, &ShardPlanInputs::default());
    for (controller, allocation) in &next.allocations {
        let value = serde_json::to_value(allocation).expect("plain data");
        cache.set(&keys::allocation(controller), value, Revision(500));
    }
    cache.delete("node/n0", Revision(600));
    assert!(plan(&cache, &teams, &ShardPlanInputs::default()).is_empty());
}

/// Guards against a quota used twice: by the task that moved with its
/// machine, and by another in the old owner's budget for it.
#[test]
fn an_unreachable_machine_takes_its_budget_along() {
    let mut cache = cache();
    let teams = [team(8.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    let mut inputs = ShardPlanInputs::default();
    inputs
        .owner_unreachable
        .insert(MachineId::new("vm-1"), ControllerName::new("n1"));
    settle(&mut cache, &teams, &inputs);
    assert_eq!(owner_of(&cache, "vm-1"), "n1");
}

/// As above, for a whole shard that goes back to its zone's controller.
#[test]
fn a_shard_moves_cordoned_and_takes_its_budget_along() {
    let mut cache = cache();
    let teams = [team(8.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    let mut inputs = ShardPlanInputs::default();
    inputs.moving.insert(ShardId(1), ControllerName::new("n1"));
    let next = plan(&cache, &teams, &inputs);
    assert!(next.shards[&ShardId(1)].cordoned);
    assert_eq!(next.shards[&ShardId(1)].controller.as_str(), "n0");
    settle(&mut cache, &teams, &inputs);
    assert_eq!(owner_of(&cache, "vm-1"), "n1");
    assert!(!cache.shards[&ShardId(1)].value.cordoned);
}

#[test]
fn a_shard_that_is_to_stay_after_all_is_uncordoned() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    let mut inputs = ShardPlanInputs::default();
    inputs.moving.insert(ShardId(1), ControllerName::new("n1"));
    let next = plan(&cache, &teams, &inputs);
    carry_out(&mut cache, &next);
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-1"), "n0");
    assert!(!cache.shards[&ShardId(1)].value.cordoned);
}

/// Guards against a leader that spends its part of the state service's changes on marks.
#[test]
fn a_change_of_use_can_wait_and_a_lease_cannot() {
    let mut cache = cache();
    let machine = MachineId::new("vm-1");
    let record = |controller: &str, machine_use: MachineUse| ShardRecord {
        controller: ControllerName::new(controller),
        owner: Incarnation(10),
        cordoned: false,
        machines: BTreeMap::from([(machine.clone(), machine_use)]),
    };
    let value = serde_json::to_value(record("n0", MachineUse::Available)).expect("a record");
    cache.set("block/1", value, Revision(90));
    let change = |shard: ShardRecord| ShardPlanChanges {
        targets: Targets::default(),
        allocations: BTreeMap::new(),
        shards: BTreeMap::from([(ShardId(1), shard)]),
    };
    assert!(change(record("n0", MachineUse::Draining)).can_wait(&cache));
    assert!(!change(record("n1", MachineUse::Available)).can_wait(&cache));
    let mut without = record("n0", MachineUse::Available);
    without.machines.clear();
    assert!(
        !change(without.clone()).can_wait(&cache),
        "its machine is there still"
    );
    cache.delete("machine/r-1", Revision(91));
    assert!(change(without).can_wait(&cache));
    let mut allocated_to = change(record("n0", MachineUse::Draining));
    allocated_to
        .allocations
        .insert(ControllerName::new("n0"), AllocationRecord::default());
    assert!(!allocated_to.can_wait(&cache));
}

/// A controller may place within the budgets that it knows before it reads that machines
/// with tasks have come to it. Guards against a leader that counts the larger of its
/// budget and its use, and grants others what it places then: both together exceeded the
/// limit.
#[test]
fn machines_with_tasks_void_what_their_new_owner_has_planned() {
    let teams = [team(8.0)];
    let leave = |cache: &mut StateCache, inputs: &mut ShardPlanInputs, way: &str| match way {
        "block" => {
            inputs.moving.insert(ShardId(1), ControllerName::new("n1"));
        }
        "machine" => {
            let machine = MachineId::new("vm-1");
            inputs
                .owner_unreachable
                .insert(machine, ControllerName::new("n1"));
        }
        _ => {
            cache.delete("node/n0", Revision(1000));
            cache.advance(Revision(1000));
        }
    };
    for way in ["block", "machine", "death"] {
        let mut cache = cache();
        settle(&mut cache, &teams, &ShardPlanInputs::default());
        let before = cache.allocations["n1"].clone();
        assert!(
            cpus(&before.value) > 1.0,
            "it has something to place within"
        );
        let mut inputs = ShardPlanInputs::default();
        leave(&mut cache, &mut inputs, way);
        for _ in 0..20 {
            let next = plan(&cache, &teams, &inputs);
            if next.is_empty() {
                break;
            }
            carry_out(&mut cache, &next);
            if owner_after(&cache, "vm-1") == "n1" {
                break;
            }
        }
        let after = &cache.allocations["n1"];
        assert_eq!(owner_after(&cache, "vm-1"), "n1", "{way}");
        assert!(after.revision > before.revision, "{way}");
        // What it may use grows by the task of four CPUs, and what others may by nothing.
        assert!(
            cpus(&after.value) >= cpus(&before.value) + 4.0 - 0.001,
            "{way}"
        );
        let sum: f64 = cache
            .allocations
            .values()
            .map(|entry| cpus(&entry.value))
            .sum();
        assert!(sum <= 8.001, "{way}: {sum}");
    }
}

/// The controller that a machine's shard names, whoever has its allocation.
fn owner_after(cache: &StateCache, machine: &str) -> String {
    let found = cache.shard_of(&MachineId::new(machine));
    found.map_or_else(String::new, |(_, entry)| entry.value.controller.to_string())
}

/// Teams of which a controller lacks quota get targets in place of what the leader takes.
#[test]
fn controllers_that_transfer_are_sent_targets() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &ShardPlanInputs::default());
    let key = (ControllerName::new("n0"), TeamName::new("team"));
    let quota = |cpus: f64| Quota { cpus, gpus: 0.0 };
    let mut inputs = ShardPlanInputs {
        controllers_transfer: true,
        ..ShardPlanInputs::default()
    };
    inputs.deficit.insert(key.clone(), quota(8.0));
    inputs.free.insert(key.0.clone(), quota(64.0));
    let budget = cpus(&cache.allocations["n0"].value);
    // Five tasks of four CPUs have room; one runs.
    inputs.demand.push(QuotaDemand {
        team: key.1.clone(),
        tasks: ::quota::TaskDemand {
            parts: vec![(key.0.clone(), 5)],
            per_task: quota(4.0),
            is_whole: false,
        },
    });
    let next = plan(&cache, &teams, &inputs);
    assert!(next.allocations.is_empty(), "nothing is taken away");
    let target = |controller: &str| next.targets[controller]["team"].cpus;
    assert!(budget < 20.0 && target("n0") >= 24.0 - 0.001);
    assert!(target("n0") + target("n1") <= 24.001);
}
