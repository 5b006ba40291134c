//! Tests of `coordination::leader::blocks`.

use serde_json::json;

use super::{budgets::SPREAD, *};

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

fn cpus(seat: &SeatRecord) -> f64 {
    seat.budgets.get("team").map_or(0.0, |quota| quota.cpus)
}

/// The node whose block holds the machine.
fn holder_of(cache: &StateCache, machine: &str) -> String {
    let (_, kept) = cache
        .block_of(&MachineId::new(machine))
        .expect("in a block");
    assert!(cache.is_seated(&kept.value));
    kept.value.node.to_string()
}

/// Two nodes; `n0` runs one task of four CPUs on vm-1.
fn cache() -> StateCache {
    let mut cache = StateCache::default();
    let mut mark = 0;
    let mut set = |key: &str, value| {
        mark += 1;
        cache.set(key, value, Revision(mark));
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
fn carry_out(cache: &mut StateCache, plan: &Changed) {
    let mark = Revision(cache.revision.0 + 1);
    for op in plan.transaction(cache).ops {
        if let crate::storage::client::Op::Set { key, value, .. } = op {
            cache.set(&key, value, mark);
        }
    }
    cache.advance(mark);
}

fn settle(cache: &mut StateCache, teams: &[Team], hints: &Hints) -> usize {
    for pass in 0..20 {
        let next = plan(cache, teams, hints);
        if next.is_empty() {
            return pass;
        }
        carry_out(cache, &next);
        let by_node = cache.quota_by_node();
        let bound: f64 = cache
            .seats
            .iter()
            .map(|(node, kept)| {
                let used = by_node[node].get("team").map_or(0.0, |quota| quota.cpus);
                cpus(&kept.value).max(used)
            })
            .sum();
        assert!(bound <= teams[0].limit.cpus + 0.001, "pass {pass}: {bound}");
    }
    panic!("the plan does not settle");
}

#[test]
fn machines_go_to_their_zone_and_limits_are_shared() {
    let mut cache = cache();
    settle(&mut cache, &[team(24.0)], &Hints::default());
    assert_eq!(holder_of(&cache, "vm-1"), "n0");
    let sum: f64 = cache.seats.values().map(|kept| cpus(&kept.value)).sum();
    assert!(sum > 24.0 * (1.0 - SPREAD) && sum < 24.001, "{sum}");
}

/// Guards against records beyond the state service's limit, and against
/// disturbing every machine when some come.
#[test]
fn many_machines_stand_in_blocks_of_bounded_size() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &Hints::default());
    let before = cache.blocks.clone();
    let machines: serde_json::Map<String, serde_json::Value> = (0..500)
        .map(|n| (format!("vm-{n:06}"), json!("10.100.100.100:65535")))
        .collect();
    cache.set(
        "machine/r-2",
        json!({"t": "x", "z": "z1", "s": false, "at": 0, "m": machines}),
        Revision(200),
    );
    cache.advance(Revision(200));
    settle(&mut cache, &teams, &Hints::default());
    assert_eq!(cache.blocks.len(), 1 + 500_usize.div_ceil(BLOCK_SIZE));
    for (id, kept) in &cache.blocks {
        assert!(kept.value.machines.len() <= BLOCK_SIZE);
        let text = serde_json::to_string(&kept.value).expect("plain data");
        assert!(text.len() < 2048, "{}", text.len());
        if let Some(old) = before.get(id) {
            assert_eq!(
                old.revision, kept.revision,
                "a block of another zone is left alone"
            );
        }
    }
    assert_eq!(holder_of(&cache, "vm-000400"), "n1");
    // Nobody but n0 is left: it gets all of them, a few blocks a commit.
    cache.drop_key("node/n1", Revision(5000));
    cache.advance(Revision(5000));
    settle(&mut cache, &teams, &Hints::default());
    assert_eq!(holder_of(&cache, "vm-000400"), "n0");
}

#[test]
fn a_shortage_takes_two_passes_and_never_exceeds_the_limit() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &Hints::default());
    let before = cpus(&cache.seats["n0"].value);
    let mut hints = Hints::default();
    hints.short.insert(
        (NodeName::new("n0"), TeamName::new("team")),
        Quota {
            cpus: 6.0,
            gpus: 0.0,
        },
    );
    let first = plan(&cache, &teams, &hints);
    assert!(
        !first.seats.contains_key("n0"),
        "nothing is given before it is taken"
    );
    carry_out(&mut cache, &first);
    let second = plan(&cache, &teams, &hints);
    carry_out(&mut cache, &second);
    assert!(cpus(&cache.seats["n0"].value) >= before + 6.0 - 0.001);
}

#[test]
fn a_dead_holders_blocks_are_fenced_before_they_are_given_on() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &Hints::default());
    cache.drop_key("node/n0", Revision(1000));
    cache.advance(Revision(1000));
    let first = plan(&cache, &teams, &Hints::default());
    assert!(first.seats["n0"].holder.is_none());
    assert!(
        first.blocks.is_empty() && !first.seats.contains_key("n1"),
        "not before the fence is committed"
    );
    carry_out(&mut cache, &first);
    settle(&mut cache, &teams, &Hints::default());
    assert_eq!(holder_of(&cache, "vm-1"), "n1");
}

#[test]
fn a_restarted_process_is_a_new_holder_with_new_tokens() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &Hints::default());
    let before = cache.blocks[&BlockId(1)].revision;
    cache.set(
        "node/n0",
        json!({"incarnation": 99, "zone": "z0"}),
        Revision(1000),
    );
    cache.advance(Revision(1000));
    let next = plan(&cache, &teams, &Hints::default());
    assert_eq!(next.seats["n0"].holder, Some(Incarnation(99)));
    assert!(next.blocks.is_empty(), "not before the old one is fenced");
    carry_out(&mut cache, &next);
    settle(&mut cache, &teams, &Hints::default());
    assert_eq!(holder_of(&cache, "vm-1"), "n0");
    assert_eq!(cache.blocks[&BlockId(1)].value.holder, Incarnation(99));
    assert!(cache.blocks[&BlockId(1)].revision > before);
}

#[test]
fn nothing_is_planned_on_a_book_that_lags_behind() {
    let mut cache = cache();
    let teams = [team(24.0)];
    let next = plan(&cache, &teams, &Hints::default());
    for (node, seat) in &next.seats {
        let value = serde_json::to_value(seat).expect("plain data");
        cache.set(&keys::seat(node), value, Revision(500));
    }
    cache.drop_key("node/n0", Revision(600));
    assert!(plan(&cache, &teams, &Hints::default()).is_empty());
}

/// Guards against a quota used twice: by the task that moved with its
/// machine, and by another in the old holder's budget for it.
#[test]
fn a_stranded_machine_takes_its_budget_along() {
    let mut cache = cache();
    let teams = [team(8.0)];
    settle(&mut cache, &teams, &Hints::default());
    let mut hints = Hints::default();
    hints
        .stranded
        .insert(MachineId::new("vm-1"), NodeName::new("n1"));
    settle(&mut cache, &teams, &hints);
    assert_eq!(holder_of(&cache, "vm-1"), "n1");
}

/// As above, for a whole block that goes back to its zone's controller.
#[test]
fn a_block_moves_frozen_and_takes_its_budget_along() {
    let mut cache = cache();
    let teams = [team(8.0)];
    settle(&mut cache, &teams, &Hints::default());
    let mut hints = Hints::default();
    hints.moving.insert(BlockId(1), NodeName::new("n1"));
    let next = plan(&cache, &teams, &hints);
    assert!(next.blocks[&BlockId(1)].frozen);
    assert_eq!(next.blocks[&BlockId(1)].node.as_str(), "n0");
    settle(&mut cache, &teams, &hints);
    assert_eq!(holder_of(&cache, "vm-1"), "n1");
    assert!(!cache.blocks[&BlockId(1)].value.frozen);
}

#[test]
fn a_block_that_is_to_stay_after_all_is_thawed() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &Hints::default());
    let mut hints = Hints::default();
    hints.moving.insert(BlockId(1), NodeName::new("n1"));
    let next = plan(&cache, &teams, &hints);
    carry_out(&mut cache, &next);
    settle(&mut cache, &teams, &Hints::default());
    assert_eq!(holder_of(&cache, "vm-1"), "n0");
    assert!(!cache.blocks[&BlockId(1)].value.frozen);
}

/// Guards against a leader that spends its part of the state service's changes on marks.
#[test]
fn a_change_of_use_can_wait_and_a_lease_cannot() {
    let mut cache = cache();
    let machine = MachineId::new("vm-1");
    let record = |node: &str, machine_use: MachineUse| BlockRecord {
        node: NodeName::new(node),
        holder: Incarnation(10),
        frozen: false,
        machines: BTreeMap::from([(machine.clone(), machine_use)]),
    };
    let value = serde_json::to_value(record("n0", MachineUse::Open)).expect("a record");
    cache.set("block/1", value, Revision(90));
    let change = |block: BlockRecord| Changed {
        targets: Targets::default(),
        seats: BTreeMap::new(),
        blocks: BTreeMap::from([(BlockId(1), block)]),
    };
    assert!(change(record("n0", MachineUse::Marked)).can_wait(&cache));
    assert!(!change(record("n1", MachineUse::Open)).can_wait(&cache));
    let mut without = record("n0", MachineUse::Open);
    without.machines.clear();
    assert!(
        !change(without.clone()).can_wait(&cache),
        "its machine is there still"
    );
    cache.drop_key("machine/r-1", Revision(91));
    assert!(change(without).can_wait(&cache));
    let mut seated = change(record("n0", MachineUse::Marked));
    seated
        .seats
        .insert(NodeName::new("n0"), SeatRecord::default());
    assert!(!seated.can_wait(&cache));
}

/// A controller may place within the budgets that it knows before it reads that machines
/// with tasks have come to it. Guards against a leader that counts the larger of its
/// budget and its use, and grants others what it places then: both together exceeded the
/// limit.
#[test]
fn machines_with_tasks_void_what_their_new_holder_has_planned() {
    let teams = [team(8.0)];
    let leave = |cache: &mut StateCache, hints: &mut Hints, way: &str| match way {
        "block" => {
            hints.moving.insert(BlockId(1), NodeName::new("n1"));
        }
        "machine" => {
            let machine = MachineId::new("vm-1");
            hints.stranded.insert(machine, NodeName::new("n1"));
        }
        _ => {
            cache.drop_key("node/n0", Revision(1000));
            cache.advance(Revision(1000));
        }
    };
    for way in ["block", "machine", "death"] {
        let mut cache = cache();
        settle(&mut cache, &teams, &Hints::default());
        let before = cache.seats["n1"].clone();
        assert!(
            cpus(&before.value) > 1.0,
            "it has something to place within"
        );
        let mut hints = Hints::default();
        leave(&mut cache, &mut hints, way);
        for _ in 0..20 {
            let next = plan(&cache, &teams, &hints);
            if next.is_empty() {
                break;
            }
            carry_out(&mut cache, &next);
            if holder_after(&cache, "vm-1") == "n1" {
                break;
            }
        }
        let after = &cache.seats["n1"];
        assert_eq!(holder_after(&cache, "vm-1"), "n1", "{way}");
        assert!(after.revision > before.revision, "{way}");
        // What it may use grows by the task of four CPUs, and what others may by nothing.
        assert!(
            cpus(&after.value) >= cpus(&before.value) + 4.0 - 0.001,
            "{way}"
        );
        let sum: f64 = cache.seats.values().map(|kept| cpus(&kept.value)).sum();
        assert!(sum <= 8.001, "{way}: {sum}");
    }
}

/// The node that a machine's block names, whoever has its seat.
fn holder_after(cache: &StateCache, machine: &str) -> String {
    let found = cache.block_of(&MachineId::new(machine));
    found.map_or_else(String::new, |(_, kept)| kept.value.node.to_string())
}

/// Teams of which a controller lacks quota get targets in place of what the leader takes.
#[test]
fn controllers_that_transfer_are_told_targets() {
    let mut cache = cache();
    let teams = [team(24.0)];
    settle(&mut cache, &teams, &Hints::default());
    let key = (NodeName::new("n0"), TeamName::new("team"));
    let quota = |cpus: f64| Quota { cpus, gpus: 0.0 };
    let mut hints = Hints {
        controllers_transfer: true,
        ..Hints::default()
    };
    hints.short.insert(key.clone(), quota(8.0));
    hints.free.insert(key.0.clone(), quota(64.0));
    let budget = cpus(&cache.seats["n0"].value);
    // Five tasks of four CPUs have room; one runs.
    hints.wanted.push(WantedQuota {
        team: key.1.clone(),
        tasks: ::quota::Wanted {
            parts: vec![(key.0.clone(), 5)],
            per_task: quota(4.0),
            is_whole: false,
        },
    });
    let next = plan(&cache, &teams, &hints);
    assert!(next.seats.is_empty(), "nothing is taken away");
    let target = |node: &str| next.targets[node]["team"].cpus;
    assert!(budget < 20.0 && target("n0") >= 24.0 - 0.001);
    assert!(target("n0") + target("n1") <= 24.001);
}
