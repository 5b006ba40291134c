//! Tests of the division of the teams' limits between the allocations.

use super::{super::quota_division::RETAINED_FRACTION, *};
use crate::coordination::leader::routing::QuotaDemand;

#[test]
fn machines_go_to_their_zone_and_limits_are_shared() {
    let mut cache = cache();
    plan_until_stable(&mut cache, &[team(24.0)], &ShardPlanInputs::default());
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

#[test]
fn a_quota_deficit_takes_two_passes_and_never_exceeds_the_limit() {
    let mut cache = cache();
    let teams = [team(24.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
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
        "quota is granted only after it was reclaimed"
    );
    apply_changes(&mut cache, &first);
    let second = plan(&cache, &teams, &inputs);
    apply_changes(&mut cache, &second);
    assert!(cpus(&cache.allocations["n0"].value) >= before + 6.0 - 0.001);
}

/// For a team with a quota deficit the leader plans targets instead of reclaiming budget.
#[test]
fn controllers_that_transfer_are_sent_targets() {
    let mut cache = cache();
    let teams = [team(24.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    let key = (ControllerName::new("n0"), TeamName::new("team"));
    let quota = |cpus: f64| Quota { cpus, gpus: 0.0 };
    let mut inputs = ShardPlanInputs {
        controllers_transfer: true,
        ..ShardPlanInputs::default()
    };
    inputs.deficit.insert(key.clone(), quota(8.0));
    inputs.free_quota.insert(key.0.clone(), quota(64.0));
    let budget = cpus(&cache.allocations["n0"].value);
    // There is capacity for five tasks of four CPUs; one task is running.
    inputs.demand.push(QuotaDemand {
        team: key.1.clone(),
        tasks: ::quota::TaskDemand {
            tasks_by_controller: vec![(key.0.clone(), 5)],
            per_task: quota(4.0),
            is_gang: false,
        },
    });
    let next = plan(&cache, &teams, &inputs);
    assert!(next.allocations.is_empty(), "no budget is reclaimed");
    let target = |controller: &str| next.targets[controller]["team"].cpus;
    assert!(budget < 20.0 && target("n0") >= 24.0 - 0.001);
    assert!(target("n0") + target("n1") <= 24.001);
}
