//! Tests of `coordination::owner::probes`.

use std::collections::BTreeSet;

use super::*;
use crate::storage::FencingToken;

/// Guards against probes of the same 48 machines, those with the first names, while more machines
/// are unresponsive: the others were never found to be unreachable, nor were the results of their
/// tasks learned.
#[tokio::test(start_paused = true)]
async fn all_unresponsive_machines_are_probed_in_turn() {
    let begin = Instant::now();
    let machine = |n: usize| MachineId::new(format!("vm-{n:06}"));
    let count = 3 * MAX_PROBES + 1;
    let mut agents: BTreeMap<MachineId, AgentState> = (0..count)
        .map(|n| (machine(n), AgentState::new(FencingToken(1), begin)))
        .collect();
    let missing_after = Duration::from_secs(4);
    let mut probed = BTreeSet::new();
    for round in 1..=4 {
        // Each round takes as long as the probes of terminated machines.
        let now = begin + missing_after + Duration::from_secs(2) * round;
        let selected = select_for_probe(&mut agents, missing_after, now);
        assert!(selected.len() <= MAX_PROBES);
        for (machine, agent) in selected {
            agent.probed_at = Some(now);
            probed.insert(machine.clone());
        }
    }
    assert_eq!(probed.len(), count);
}

#[tokio::test(start_paused = true)]
async fn a_machine_is_probed_only_without_heartbeats_and_not_again_at_once() {
    let begin = Instant::now();
    let mut agents: BTreeMap<MachineId, AgentState> = BTreeMap::new();
    let agent = AgentState::new(FencingToken(1), begin);
    agents.insert(MachineId::new("vm-1"), agent);
    let missing_after = Duration::from_secs(4);
    let mut count_at = |now: Instant| {
        let selected = select_for_probe(&mut agents, missing_after, now);
        let count = selected.len();
        for (_, agent) in selected {
            agent.probed_at = Some(now);
        }
        count
    };
    assert_eq!(count_at(begin + missing_after), 0);
    let due = begin + missing_after + Duration::from_millis(1);
    assert_eq!(count_at(due), 1);
    assert_eq!(count_at(due + REPROBE_INTERVAL), 0);
    assert_eq!(count_at(due + REPROBE_INTERVAL * 2), 1);
}
