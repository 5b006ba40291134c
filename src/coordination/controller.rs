//! One controller: its state, and the duties that run for as long as it lives.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::{
    sync::{Notify, Semaphore},
    task::JoinSet,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::{
        clients::{AgentClient, CloudClient, IndirectHeartbeat, PeerClient, ProtocolVersion},
        config::Config,
        leader::LeaderState,
        owner::OwnerState,
        quota_exchange::{QuotaCounts, QuotaExchange},
        run_time_estimator::RunTimeEstimator,
        startup::Startup,
    },
    storage::{
        ControllerName, KeyValueStore, MachineId, Revision, ShardId, StateCache, Store,
        records::{AllocationRecord, ShardRecord},
        state_cache::Versioned,
    },
};

/// What is known of the other controllers by talking to them.
#[derive(Default)]
pub struct PeerLiveness {
    /// Whether the state service answers them, as they said at that time.
    pub last_status: BTreeMap<ControllerName, (Instant, bool)>,
    /// What each can read, as its living process said last.
    pub protocol_versions: BTreeMap<ControllerName, ProtocolVersion>,
    /// The start of the latest round in which every peer said that it knows of
    /// nothing newer than we do.
    pub read_confirmed_at: Option<Instant>,
}

const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);
/// How often the process checks whether it was paused, and the shortest pause that is logged.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Direct commands under way at a time.
const MAX_COMMANDS_IN_FLIGHT: usize = 64;

pub struct Controller {
    pub config: Config,
    pub store: Store,
    pub agent_client: Box<dyn AgentClient>,
    pub cloud: Box<dyn CloudClient>,
    pub peers: Box<dyn PeerClient>,
    pub(super) owner: Mutex<OwnerState>,
    pub(super) leader: Mutex<LeaderState>,
    pub(super) quota: Mutex<QuotaExchange>,
    pub(super) liveness: Mutex<PeerLiveness>,
    pub(super) indirect_heartbeats: Mutex<BTreeMap<MachineId, (Instant, IndirectHeartbeat)>>,
    pub(super) estimator: Mutex<RunTimeEstimator>,
    pub(super) owner_wakeup: Notify,
    pub(super) leader_wakeup: Notify,
    /// Places for commands sent directly to agents.
    pub(super) commands_in_flight: Semaphore,
    pub(super) stop: CancellationToken,
    pub(super) startup: Startup,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A poisoned lock means a duty has panicked, which ends the process anyway.
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Controller {
    pub fn new(
        config: Config,
        state: Box<dyn KeyValueStore>,
        agent_client: Box<dyn AgentClient>,
        cloud: Box<dyn CloudClient>,
        peers: Box<dyn PeerClient>,
        stop: CancellationToken,
    ) -> Arc<Self> {
        let store = Store::new(state, config.state.clone());
        Arc::new(Self {
            store,
            agent_client,
            cloud,
            peers,
            owner: Mutex::default(),
            leader: Mutex::default(),
            quota: Mutex::new(QuotaExchange::new(&config)),
            liveness: Mutex::default(),
            indirect_heartbeats: Mutex::default(),
            estimator: Mutex::default(),
            owner_wakeup: Notify::new(),
            leader_wakeup: Notify::new(),
            commands_in_flight: Semaphore::new(MAX_COMMANDS_IN_FLIGHT),
            stop,
            startup: Startup::new(),
            config,
        })
    }

    /// Starts the long-lived duties. None of them ends by itself before the
    /// controller is told to stop; the caller ends the process if one does.
    pub fn start(self: &Arc<Self>, duties: &mut JoinSet<&'static str>) {
        macro_rules! duty {
            ($name:literal, $call:expr) => {{
                let controller = self.clone();
                duties.spawn(async move {
                    let run: fn(Arc<Controller>) -> _ = $call;
                    run(controller).await;
                    $name
                });
            }};
        }
        duty!("state watch", |controller| async move {
            controller.store.watch(controller.stop.clone()).await
        });
        duty!("read barriers", |controller| async move {
            controller
                .store
                .serve_read_barriers(controller.stop.clone())
                .await
        });
        duty!("membership", |controller| async move {
            controller.run_membership().await
        });
        duty!("shard owner", |controller| async move {
            controller.run_owner().await
        });
        duty!("leader", |controller| async move {
            controller.run_leader().await
        });
        duty!("fleet manager", |controller| async move {
            controller.run_fleet_manager().await
        });
        duty!("peers", |controller| async move {
            controller.exchange_status().await
        });
        duty!("counters", |controller| async move {
            controller.log_counters().await
        });
        duty!("process pause detector", |controller| async move {
            controller.detect_process_pause().await
        });
        duty!("probes", |controller| async move {
            controller.probe_unresponsive().await
        });
    }

    /// Duty: a line of figures every ten seconds.
    async fn log_counters(&self) {
        while self.pause(COUNTERS_INTERVAL).await {
            let counts = self.store.take_counters();
            let (owned, offered, results) = lock(&self.owner).sizes();
            let (jobs, waiting) = {
                let cache = self.store.cache();
                (cache.jobs.len(), cache.waiting.len())
            };
            tracing::info!(
                requests = counts.requests,
                written = ?counts.written,
                refused = counts.refused,
                throttled = counts.throttled,
                jobs,
                waiting,
                owned,
                offered,
                results,
                "counters"
            );
            if self.config.tuning.quota_transfers {
                let (counts, oldest) = lock(&self.quota).take_counts(Instant::now());
                let QuotaCounts {
                    given,
                    refused,
                    received,
                    unserved,
                } = counts;
                let deficit_ms = oldest.map_or(0, |age| age.as_millis() as u64);
                tracing::info!(given, refused, received, unserved, deficit_ms, "quota");
            }
        }
    }

    /// Duty: logs a process pause: all threads stopped while the clocks ran on. What would
    /// have been heard meanwhile is still on its way then; each duty makes sure of the
    /// state service, and so of its role, before it judges anything.
    async fn detect_process_pause(&self) {
        let mut last_check = Instant::now();
        while self.pause(PAUSE_CHECK_INTERVAL).await {
            let late = last_check.elapsed().saturating_sub(PAUSE_CHECK_INTERVAL);
            if late > PAUSE_THRESHOLD {
                let for_ms = late.as_millis() as u64;
                tracing::info!(
                    for_ms,
                    leads = self.leadership().is_some(),
                    "process paused"
                );
            }
            last_check = Instant::now();
        }
    }

    /// Sleeps, or returns false as soon as the controller is to stop.
    pub(super) async fn pause(&self, time: Duration) -> bool {
        tokio::select! {
            biased;
            _ = self.stop.cancelled() => false,
            _ = tokio::time::sleep(time) => true,
        }
    }

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

    /// This controller's allocation, if this process holds it.
    pub(super) fn own_allocation<'a>(
        &self,
        cache: &'a StateCache,
    ) -> Option<&'a Versioned<AllocationRecord>> {
        cache
            .allocations
            .get(&self.config.name)
            .filter(|allocation| allocation.value.owner == Some(self.config.incarnation))
    }

    /// Whether this process holds the shard.
    pub(super) fn holds(&self, shard: &ShardRecord) -> bool {
        shard.controller == self.config.name && shard.owner == self.config.incarnation
    }

    /// The shards that this process holds.
    pub(super) fn own_shards<'a>(
        &'a self,
        cache: &'a StateCache,
    ) -> impl Iterator<Item = (ShardId, &'a Versioned<ShardRecord>)> {
        let seated = self.own_allocation(cache).is_some();
        cache
            .shards
            .iter()
            .filter(move |(_, entry)| seated && self.holds(&entry.value))
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
            .filter(|(_, entry)| self.holds(&entry.value) && self.own_allocation(cache).is_some())
    }

    /// Whether heartbeats may be answered with 200, which renews leases: only
    /// while no cancellation can be older than `Config::lease_renewal_window` unknown to us.
    pub fn may_renew_leases(&self) -> bool {
        let by_peers = lock(&self.liveness).read_confirmed_at;
        self.store
            .confirmed_at()
            .max(by_peers)
            .is_some_and(|at| at.elapsed() < self.config.lease_renewal_window())
    }

    /// Whether users should be sent here. A controller that alone has lost the state
    /// service leaves the rotation; when all have, they stay, since readmission
    /// is slow and nobody else could serve either.
    pub fn is_ready(&self) -> bool {
        let serves = self.serves_users();
        if serves {
            self.startup.note_ready();
        }
        serves
    }

    fn serves_users(&self) -> bool {
        if self.store.is_loaded() && self.store.is_reachable() {
            return true;
        }
        let liveness = lock(&self.liveness);
        let others_serve = liveness
            .last_status
            .values()
            .any(|(at, reachable)| at.elapsed() < Duration::from_secs(3) && *reachable);
        self.store.is_loaded() && !others_serve
    }
}
