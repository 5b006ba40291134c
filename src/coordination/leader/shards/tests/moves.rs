//! Tests of moves of shards and machines between controllers.

use super::*;

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

/// How a machine with tasks leaves its owner.
#[derive(Clone, Copy, Debug)]
enum Departure {
    WithItsShard,
    Alone,
    OwnerDies,
}

impl Departure {
    /// Has vm-1 leave n0 for n1.
    fn begin(self, cache: &mut StateCache, inputs: &mut ShardPlanInputs) {
        let target = ControllerName::new("n1");
        match self {
            Self::WithItsShard => {
                inputs.moving.insert(ShardId(1), target);
            }
            Self::Alone => {
                let machine = MachineId::new("vm-1");
                inputs.owner_unreachable.insert(machine, target);
            }
            Self::OwnerDies => {
                cache.delete("node/n0", Revision(1000));
                cache.advance(Revision(1000));
            }
        }
    }
}

/// Plans until n1 has vm-1, or nothing is left to do.
fn plan_until_moved(cache: &mut StateCache, teams: &[Team], inputs: &ShardPlanInputs) {
    for _ in 0..20 {
        let next = plan(cache, teams, inputs);
        if next.is_empty() {
            return;
        }
        carry_out(cache, &next);
        if owner_after(cache, "vm-1") == "n1" {
            return;
        }
    }
}

/// A controller may place within the budgets that it knows before it reads that machines
/// with tasks have come to it. Guards against a leader that counts the larger of its
/// budget and its use, and grants others what it places then: both together exceeded the
/// limit.
#[test]
fn machines_with_tasks_void_what_their_new_owner_has_planned() {
    let teams = [team(8.0)];
    let departures = [
        Departure::WithItsShard,
        Departure::Alone,
        Departure::OwnerDies,
    ];
    for departure in departures {
        let mut cache = cache();
        settle(&mut cache, &teams, &ShardPlanInputs::default());
        let before = cache.allocations["n1"].clone();
        assert!(
            cpus(&before.value) > 1.0,
            "it has something to place within"
        );
        let mut inputs = ShardPlanInputs::default();
        departure.begin(&mut cache, &mut inputs);
        plan_until_moved(&mut cache, &teams, &inputs);
        let after = &cache.allocations["n1"];
        assert_eq!(owner_after(&cache, "vm-1"), "n1", "{departure:?}");
        assert!(after.revision > before.revision, "{departure:?}");
        // What it may use grows by the task of four CPUs, and what others may by nothing.
        assert!(
            cpus(&after.value) >= cpus(&before.value) + 4.0 - 0.001,
            "{departure:?}"
        );
        let sum: f64 = cache
            .allocations
            .values()
            .map(|entry| cpus(&entry.value))
            .sum();
        assert!(sum <= 8.001, "{departure:?}: {sum}");
    }
}
