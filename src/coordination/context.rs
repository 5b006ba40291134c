//! State shared by all components of a controller: the configuration, the store, the clients of
//! agents, cloud and peers, wake-up signals and the shutdown token. This module depends on none of
//! the components.
//!
//! Lock order: the store's cache first, then the state of a component.

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
    /// Client of the agents, for direct commands and probes.
    pub agents: Box<dyn AgentClient>,
    /// Client of the cloud that machines are provisioned from.
    pub cloud: Box<dyn CloudClient>,
    /// Client of the other controllers.
    pub peers: Box<dyn PeerClient>,
}

/// State shared by all components of one controller.
pub struct Context {
    /// Configuration of the controller.
    pub config: Config,
    /// Client of the key-value store, with a cache of all live records.
    pub store: Store,
    /// Client of the agents, for direct commands and probes.
    pub(super) agent_client: Box<dyn AgentClient>,
    /// Client of the cloud.
    pub(super) cloud: Box<dyn CloudClient>,
    /// Client of the other controllers.
    pub(super) peers: Box<dyn PeerClient>,
    /// Run times measured by this controller, for placement by its shard owner and leader.
    pub(super) estimator: Mutex<RunTimeEstimator>,
    /// Wakes the shard owner's loop.
    pub(super) owner_wakeup: Notify,
    /// Wakes the leader's loop.
    pub(super) leader_wakeup: Notify,
    /// Cancelled to stop the controller.
    pub(super) shutdown: CancellationToken,
    /// Logs the milestones of the startup.
    pub(super) startup: Startup,
}

impl Context {
    /// Creates a context with an empty cache.
    pub fn new(config: Config, clients: Clients, shutdown: CancellationToken) -> Self {
        let store = Store::new(clients.key_value_store, config.state_limits.clone());
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

    /// Sleeps for this time and returns true, or returns false as soon as the controller is
    /// stopped.
    pub(super) async fn sleep_unless_stopped(&self, time: Duration) -> bool {
        tokio::select! {
            biased;
            _ = self.shutdown.cancelled() => false,
            _ = tokio::time::sleep(time) => true,
        }
    }

    /// Waits until the cache has changed, `wakeup` is notified or `idle` has passed, then marks
    /// all changes so far as seen. Returns false as soon as the controller is stopped.
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

    /// Returns the revision of this process's leader record, if the cache shows that it leads.
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

    /// Returns this controller's quota allocation, if this process owns it.
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

    /// Returns the shards that this process owns.
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

    /// Returns the shard that contains this machine, if this process owns it.
    pub(super) fn own_shard_of<'a>(
        &self,
        cache: &'a StateCache,
        machine: &MachineId,
    ) -> Option<(ShardId, &'a Versioned<ShardRecord>)> {
        cache
            .shard_of(machine)
            .filter(|(_, entry)| self.owns(&entry.value) && self.own_allocation(cache).is_some())
    }

    /// Whether the recorded common protocol version, which never falls, shows that all
    /// controllers support this version.
    pub(super) fn all_controllers_support(&self, version: ProtocolVersion) -> bool {
        common_version(&self.store.cache()) >= version
    }

    /// Whether quota transfers are enabled on this controller and all controllers support the
    /// protocol version that transfers need.
    pub(super) fn quota_transfers_active(&self) -> bool {
        self.config.tuning.quota_transfers
            && self.all_controllers_support(ProtocolVersion::QUOTA_TRANSFERS)
    }

    /// As [`Self::quota_transfers_active`] for a cache that is already locked.
    pub(super) fn quota_transfers_active_in(&self, cache: &StateCache) -> bool {
        self.config.tuning.quota_transfers
            && common_version(cache) >= ProtocolVersion::QUOTA_TRANSFERS
    }
}

/// Returns the protocol version that is recorded as supported by all controllers.
fn common_version(cache: &StateCache) -> ProtocolVersion {
    cache
        .common_version
        .as_ref()
        .map(|entry| ProtocolVersion(entry.value.protocol_version))
        .unwrap_or_default()
}

/// Whether this controller is registered with a protocol version that supports quota transfers.
pub(super) fn supports_quota_transfers(cache: &StateCache, controller: &ControllerName) -> bool {
    cache
        .controllers
        .get(controller)
        .is_some_and(|entry| entry.value.protocol_version >= ProtocolVersion::QUOTA_TRANSFERS.0)
}
