//! Records the addresses at which agents listen.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::release::write_group;
use crate::{
    coordination::{
        context::lock,
        leader::{Leader, state::LeaderState},
    },
    storage::{
        ProvisionId, StateCache, Transaction, rate_limiter::RequestPriority,
        records::MachineGroupRecord,
    },
};

/// Minimum time between two writes of addresses, each of which covers several machines.
const WRITE_INTERVAL: Duration = Duration::from_millis(2500);

impl Leader {
    /// Writes the addresses of agents to the records of their machine groups. A new owner needs
    /// the address to inspect a machine from which it has never received a heartbeat. Many agents
    /// start within the same few seconds, so their addresses are written in batches.
    pub(super) async fn write_addresses(&self) {
        let transaction = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            let is_recent = state
                .fleet
                .last_address_write
                .is_some_and(|at| at.elapsed() < WRITE_INTERVAL);
            if is_recent {
                return;
            }
            let max_groups = self.context.config.state_limits.txn_ops / 2;
            let changed = groups_with_new_addresses(&cache, &state, max_groups);
            if changed.is_empty() {
                return;
            }
            state.fleet.last_address_write = Some(Instant::now());
            changed
                .iter()
                .fold(Transaction::default(), |transaction, (name, group)| {
                    write_group(transaction, &cache, name, group)
                })
        };
        // Ignoring a failure is safe: records that still lack an address are written again by a
        // later pass.
        let _ = self
            .commit_as_leader(transaction, RequestPriority::Placement)
            .await;
    }
}

/// Returns the records of up to `max_groups` machine groups, completed with the addresses that
/// the owners report and the records lack.
fn groups_with_new_addresses<'a>(
    cache: &'a StateCache,
    state: &LeaderState,
    max_groups: usize,
) -> BTreeMap<&'a ProvisionId, MachineGroupRecord> {
    let mut changed: BTreeMap<&ProvisionId, MachineGroupRecord> = BTreeMap::new();
    for (id, owned) in state.statuses.values().flat_map(|peer| &peer.owned) {
        let (Some(address), Some(record)) = (&owned.address, cache.machines.get(id)) else {
            continue;
        };
        if record.address.as_ref() == Some(address) {
            continue;
        }
        let is_full = changed.len() >= max_groups;
        if is_full && !changed.contains_key(&record.machine_group) {
            continue;
        }
        let Some(entry) = cache.machine_groups.get(&record.machine_group) else {
            continue;
        };
        changed
            .entry(&record.machine_group)
            .or_insert_with(|| entry.value.clone())
            .machines
            .insert(id.clone(), Some(address.clone()));
    }
    changed
}
