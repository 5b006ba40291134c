//! Tests of moves of shards and machines between controllers.

use super::*;

/// Guards against quota that is used twice: by the task on a moved machine, and by another task
/// within the old owner's budget if that was not lowered.
#[test]
fn an_unreachable_machine_takes_its_budget_along() {
    let mut cache = cache();
    let teams = [team(8.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    let mut inputs = ShardPlanInputs::default();
    inputs
        .owner_unreachable
        .insert(MachineId::new("vm-1"), ControllerName::new("n1"));
    plan_until_stable(&mut cache, &teams, &inputs);
    assert_eq!(owner_of(&cache, "vm-1"), "n1");
}

/// As above, for the move of a whole shard.
#[test]
fn a_shard_is_cordoned_before_it_moves_with_its_budget() {
    let mut cache = cache();
    let teams = [team(8.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    let mut inputs = ShardPlanInputs::default();
    inputs
        .shard_moves
        .insert(ShardId(1), ControllerName::new("n1"));
    let next = plan(&cache, &teams, &inputs);
    assert!(next.shards[&ShardId(1)].cordoned);
    assert_eq!(next.shards[&ShardId(1)].controller.as_str(), "n0");
    plan_until_stable(&mut cache, &teams, &inputs);
    assert_eq!(owner_of(&cache, "vm-1"), "n1");
    assert!(!cache.shards[&ShardId(1)].value.cordoned);
}

#[test]
fn an_abandoned_shard_move_uncordons_the_shard() {
    let mut cache = cache();
    let teams = [team(24.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    let mut inputs = ShardPlanInputs::default();
    inputs
        .shard_moves
        .insert(ShardId(1), ControllerName::new("n1"));
    let next = plan(&cache, &teams, &inputs);
    apply_changes(&mut cache, &next);
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(owner_of(&cache, "vm-1"), "n0");
    assert!(!cache.shards[&ShardId(1)].value.cordoned);
}

/// Reason for which a machine with tasks is moved to another owner.
#[derive(Clone, Copy, Debug)]
enum Departure {
    WithItsShard,
    Alone,
    OwnerDies,
}

impl Departure {
    /// Causes vm-1 to be moved from n0 to n1.
    fn begin(self, cache: &mut StateCache, inputs: &mut ShardPlanInputs) {
        let target = ControllerName::new("n1");
        match self {
            Self::WithItsShard => {
                inputs.shard_moves.insert(ShardId(1), target);
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

/// Plans and applies changes until vm-1 is in a shard of n1, or there are none.
fn plan_until_moved(cache: &mut StateCache, teams: &[Team], inputs: &ShardPlanInputs) {
    for _ in 0..20 {
        let next = plan(cache, teams, inputs);
        if next.is_empty() {
            return;
        }
        apply_changes(cache, &next);
        if recorded_owner_of(cache, "vm-1") == "n1" {
            return;
        }
    }
}

/// Guards against use beyond a team's limit. Before a controller reads that machines with tasks
/// were moved to it, it may place tasks within the budgets that it knows. If the leader
/// counted only max(budget, use) for it and left its budgets unchanged, it granted the quota of
/// these placements to others as well.
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
        plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
        let before = cache.allocations["n1"].clone();
        assert!(cpus(&before.value) > 1.0, "n1 has budget for placements");
        let mut inputs = ShardPlanInputs::default();
        departure.begin(&mut cache, &mut inputs);
        plan_until_moved(&mut cache, &teams, &inputs);
        let after = &cache.allocations["n1"];
        assert_eq!(recorded_owner_of(&cache, "vm-1"), "n1", "{departure:?}");
        assert!(after.revision > before.revision, "{departure:?}");
        // The budget of n1 grows by the task of four CPUs, and that of others does not grow.
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
