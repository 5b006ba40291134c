//! What all duties of a controller share: its configuration, the store, the clients of
//! agents, cloud and peers, wake-ups and the shutdown token. It knows none of the duties.
//!
//! Whoever locks several things takes the store's cache first, then a duty's own state.

use std::{sync::Mutex, time::Duration};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

pub(super) use crate::storage::lock;
use crate::{
    coordination::{
        clients::{AgentClient, CloudClient, PeerClient, ProtocolVersion},
        config::Config,
        run_time_estimator::RunTimeEstimator,
        startup::Startup,
    },
    storage::{
        ControllerName, KeyValueStore, MachineId, Revision, ShardId, StateCache, Store,
        change_signal::ChangeListener,
        records::{AllocationRecord, ShardRecord},
        state_cache::Versioned,
    },
};

/// The clients through which a controller reaches everything outside its process.
pub struct Clients {
    /// The consensus-backed key-value store.
    pub key_value_store: Box<dyn KeyValueStore>,
    /// Agents, for direct commands and probes.
    pub agents: Box<dyn AgentClient>,
    /// The cloud that machines are provisioned from.
    pub cloud: Box<dyn CloudClient>,
    /// The other controllers.
    pub peers: Box<dyn PeerClient>,
}

/// What the duties of one controller share.
pub struct Context {
    /// What the controller was told at its start.
    pub config: Config,
    /// The key-value store with the cache of its live set.
    pub store: Store,
    /// Reaches agents directly.
    pub(super) agent_client: Box<dyn AgentClient>,
    /// Asks the cloud.
    pub(super) cloud: Box<dyn CloudClient>,
    /// Reaches the other controllers.
    pub(super) peers: Box<dyn PeerClient>,
    /// Run times as measured here, for placement by the owner and the leader.
    pub(super) estimator: Mutex<RunTimeEstimator>,
    /// Wakes the shard owner's loop.
    pub(super) owner_wakeup: Notify,
    /// Wakes the leader's loop.
    pub(super) leader_wakeup: Notify,
    /// Cancelled when the controller is to stop.
    pub(super) shutdown: CancellationToken,
    /// Logs the steps of the start.
    pub(super) startup: Startup,
}

impl Context {
    /// A context with an empty cache, before any duty runs.
    pub fn new(config: Config, clients: Clients, shutdown: CancellationToken) -> Self {
        let store = Store::new(clients.key_value_store, config.state.clone());
        Self {
            config,
            store,
            agent_client: clients.agents,
            cloud: clients.cloud,
            peers: clients.peers,
            estimator: Mutex::default(),
            owner_wakeup: Notify::new(),
            leader_wakeup: Notify::new(),
            shutdown,
            startup: Startup::new(),
        }
    }

    /// Sleeps, or returns false as soon as the controller is to stop.
    pub(super) async fn pause(&self, time: Duration) -> bool {
        tokio::select! {
            biased;
            _ = self.shutdown.cancelled() => false,
            _ = tokio::time::sleep(time) => true,
        }
    }

    /// Waits until the cache has changed, `wakeup` is notified or `idle` has passed; all changes
    /// so far then count as seen. Returns false as soon as the controller is to stop.
    pub(super) async fn wait_for_work(
        &self,
        changes: &mut ChangeListener<'_>,
        wakeup: &Notify,
        idle: Duration,
    ) -> bool {
        tokio::select! {
            biased;
            () = self.shutdown.cancelled() => return false,
            () = changes.changed() => {}
            () = wakeup.notified() => {}
            () = tokio::time::sleep(idle) => {}
        }
        changes.mark_seen();
        true
    }

    /// The revision of this process's claim to leadership, if the cache shows that it leads.
    pub(super) fn leadership(&self) -> Option<Revision> {
        let cache = self.store.cache();
        cache
            .leader
            .as_ref()
            .filter(|leader| {
                leader.value.controller == self.config.name
                    && leader.value.incarnation == self.config.incarnation
            })
            .map(|leader| leader.revision)
    }

    /// This controller's quota allocation, if this process holds it.
    pub(super) fn own_allocation<'a>(
        &self,
        cache: &'a StateCache,
    ) -> Option<&'a Versioned<AllocationRecord>> {
        cache
            .allocations
            .get(&self.config.name)
            .filter(|allocation| allocation.value.owner == Some(self.config.incarnation))
    }

    /// Whether this process owns the shard.
    pub(super) fn owns(&self, shard: &ShardRecord) -> bool {
        shard.controller == self.config.name && shard.owner == self.config.incarnation
    }

    /// The shards that this process owns.
    pub(super) fn own_shards<'a>(
        &'a self,
        cache: &'a StateCache,
    ) -> impl Iterator<Item = (ShardId, &'a Versioned<ShardRecord>)> {
        let has_allocation = self.own_allocation(cache).is_some();
        cache
            .shards
            .iter()
            .filter(move |(_, entry)| has_allocation && self.owns(&entry.value))
            .map(|(id, entry)| (*id, entry))
    }

    /// The shard that a machine of ours is in.
    pub(super) fn own_shard_of<'a>(
        &self,
        cache: &'a StateCache,
        machine: &MachineId,
    ) -> Option<(ShardId, &'a Versioned<ShardRecord>)> {
        cache
            .shard_of(machine)
            .filter(|(_, entry)| self.owns(&entry.value) && self.own_allocation(cache).is_some())
    }

    /// Whether all controllers are known to support this version, and to go on doing so.
    pub(super) fn all_support(&self, version: ProtocolVersion) -> bool {
        common_version(&self.store.cache()) >= version
    }

    /// Whether quota transfers have been turned on here, and every controller was known to
    /// support what they need.
    pub(super) fn knows_transfers(&self) -> bool {
        self.config.tuning.quota_transfers && self.all_support(ProtocolVersion::QUOTA_TRANSFERS)
    }

    /// As [`Self::knows_transfers`] for a cache that is locked already.
    pub(super) fn knows_transfers_in(&self, cache: &StateCache) -> bool {
        self.config.tuning.quota_transfers
            && common_version(cache) >= ProtocolVersion::QUOTA_TRANSFERS
    }
}

/// The protocol version that is recorded as common to all controllers.
fn common_version(cache: &StateCache) -> ProtocolVersion {
    cache
        .common_version
        .as_ref()
        .map(|entry| ProtocolVersion(entry.value.protocol_version))
        .unwrap_or_default()
}

/// Whether a living controller takes part in quota transfers, by its registration.
pub(super) fn takes_part_in_transfers(cache: &StateCache, controller: &ControllerName) -> bool {
    cache
        .controllers
        .get(controller)
        .is_some_and(|entry| entry.value.protocol_version >= ProtocolVersion::QUOTA_TRANSFERS.0)
}
