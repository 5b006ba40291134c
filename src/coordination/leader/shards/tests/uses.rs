//! Tests of the uses of machines within their shards.

use super::*;
use crate::storage::records::MachineUse;

fn use_of(cache: &StateCache, machine: &str) -> MachineUse {
    let machine = MachineId::new(machine);
    let (_, entry) = cache.shard_of(&machine).expect("in a shard");
    entry.value.machines[&machine]
}

/// Guards against replicas that are moved off a draining machine while others are placed there:
/// it was no longer marked as draining once its last replica had left, and its owner placed
/// others on it until it was released. In scenario fleet, seed 87, vm-000214 was emptied at
/// 130.3 s, got three replicas at 132.8 s and was emptied again at 134.7 s.
#[test]
fn a_draining_machine_stays_marked_when_it_empties() {
    let mut cache = cache();
    let teams = [team(24.0)];
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    let mut inputs = ShardPlanInputs::default();
    inputs.draining_machines.insert(MachineId::new("vm-1"));
    plan_until_stable(&mut cache, &teams, &inputs);
    assert_eq!(use_of(&cache, "vm-1"), MachineUse::Draining);
    let revision = Revision(cache.revision.0 + 1);
    cache.delete("run/job-1/0", revision);
    cache.advance(revision);
    plan_until_stable(&mut cache, &teams, &inputs);
    assert_eq!(use_of(&cache, "vm-1"), MachineUse::Draining);
    plan_until_stable(&mut cache, &teams, &ShardPlanInputs::default());
    assert_eq!(use_of(&cache, "vm-1"), MachineUse::Available);
}

/// Marking an idle machine would need a change of its shard, while the leader routes no tasks to
/// it anyway.
#[test]
fn an_idle_machine_is_not_marked_when_it_drains() {
    let mut cache = cache();
    let teams = [team(24.0)];
    let revision = Revision(cache.revision.0 + 1);
    cache.delete("run/job-1/0", revision);
    cache.advance(revision);
    let mut inputs = ShardPlanInputs::default();
    inputs.draining_machines.insert(MachineId::new("vm-1"));
    plan_until_stable(&mut cache, &teams, &inputs);
    assert_eq!(use_of(&cache, "vm-1"), MachineUse::Available);
}
