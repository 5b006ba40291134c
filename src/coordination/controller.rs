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
        config::Config,
        holder::HolderState,
        leader::LeaderState,
        learning::Learning,
        ports::{CloudPort, Dialect, PeerPort, Sighting, WorkerPort},
        quota_exchange::{QuotaCounts, QuotaExchange},
        startup::Startup,
    },
    storage::{
        BlockId, MachineId, NodeName, Revision, StateCache, StatePort, Store,
        records::{BlockRecord, SeatRecord},
        state_cache::Versioned,
    },
};

/// What is known of the other controllers by talking to them.
#[derive(Default)]
pub struct Links {
    /// Whether the state service answers them, as they said at that time.
    pub heard: BTreeMap<NodeName, (Instant, bool)>,
    /// What each can read, as its living process said last.
    pub dialects: BTreeMap<NodeName, Dialect>,
    /// The start of the latest round in which every peer said that it knows of
    /// nothing newer than we do.
    pub nothing_newer: Option<Instant>,
}

const COUNTERS_EVERY: Duration = Duration::from_secs(10);
/// How often the process looks whether it has stood still, and for how long it must have.
const LOOKS_EVERY: Duration = Duration::from_millis(500);
const STOOD_STILL: Duration = Duration::from_secs(2);
/// Direct commands under way at a time.
const ORDERS_OUT: usize = 64;

pub struct Node {
    pub config: Config,
    pub store: Store,
    pub workers: Box<dyn WorkerPort>,
    pub cloud: Box<dyn CloudPort>,
    pub peers: Box<dyn PeerPort>,
    pub(super) holder: Mutex<HolderState>,
    pub(super) leader: Mutex<LeaderState>,
    pub(super) quota: Mutex<QuotaExchange>,
    pub(super) links: Mutex<Links>,
    pub(super) sightings: Mutex<BTreeMap<MachineId, (Instant, Sighting)>>,
    pub(super) learning: Mutex<Learning>,
    pub(super) holder_kick: Notify,
    pub(super) leader_kick: Notify,
    /// Places for commands sent directly to workers.
    pub(super) orders_out: Semaphore,
    pub(super) stop: CancellationToken,
    pub(super) startup: Startup,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A poisoned lock means a duty has panicked, which ends the process anyway.
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Node {
    pub fn new(
        config: Config,
        state: Box<dyn StatePort>,
        workers: Box<dyn WorkerPort>,
        cloud: Box<dyn CloudPort>,
        peers: Box<dyn PeerPort>,
        stop: CancellationToken,
    ) -> Arc<Self> {
        let store = Store::new(state, config.state.clone());
        Arc::new(Self {
            store,
            workers,
            cloud,
            peers,
            holder: Mutex::default(),
            leader: Mutex::default(),
            quota: Mutex::new(QuotaExchange::new(&config)),
            links: Mutex::default(),
            sightings: Mutex::default(),
            learning: Mutex::default(),
            holder_kick: Notify::new(),
            leader_kick: Notify::new(),
            orders_out: Semaphore::new(ORDERS_OUT),
            stop,
            startup: Startup::new(),
            config,
        })
    }

    /// Starts the long-lived duties. None of them ends by itself before the
    /// node is told to stop; the caller ends the process if one does.
    pub fn start(self: &Arc<Self>, duties: &mut JoinSet<&'static str>) {
        macro_rules! duty {
            ($name:literal, $call:expr) => {{
                let node = self.clone();
                duties.spawn(async move {
                    let run: fn(Arc<Node>) -> _ = $call;
                    run(node).await;
                    $name
                });
            }};
        }
        duty!("follow the state service", |node| async move {
            node.store.follow(node.stop.clone()).await
        });
        duty!("fresh reads", |node| async move {
            node.store.serve_fresh(node.stop.clone()).await
        });
        duty!("session", |node| async move { node.keep_session().await });
        duty!("holder", |node| async move { node.hold().await });
        duty!("leader", |node| async move { node.lead().await });
        duty!("fleet", |node| async move { node.keep_fleet().await });
        duty!("peers", |node| async move { node.talk_to_peers().await });
        duty!("counters", |node| async move { node.log_counters().await });
        duty!(
            "clock watch",
            |node| async move { node.watch_clock().await }
        );
        duty!("probes", |node| async move { node.probe_silent().await });
    }

    /// Duty: a line of figures every ten seconds.
    async fn log_counters(&self) {
        while self.pause(COUNTERS_EVERY).await {
            let counts = self.store.take_counts();
            let (held, offered, results) = lock(&self.holder).sizes();
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
                held,
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
                let lacking_ms = oldest.map_or(0, |age| age.as_millis() as u64);
                tracing::info!(given, refused, received, unserved, lacking_ms, "quota");
            }
        }
    }

    /// Duty: says when the process has stood still while its clocks ran on. What would
    /// have been heard meanwhile is still on its way then; each duty makes sure of the
    /// state service, and so of its role, before it judges anything.
    async fn watch_clock(&self) {
        let mut looked = Instant::now();
        while self.pause(LOOKS_EVERY).await {
            let late = looked.elapsed().saturating_sub(LOOKS_EVERY);
            if late > STOOD_STILL {
                let for_ms = late.as_millis() as u64;
                tracing::info!(for_ms, leads = self.is_leader().is_some(), "stood still");
            }
            looked = Instant::now();
        }
    }

    /// Sleeps, or returns false as soon as the node is to stop.
    pub(super) async fn pause(&self, time: Duration) -> bool {
        tokio::select! {
            biased;
            _ = self.stop.cancelled() => false,
            _ = tokio::time::sleep(time) => true,
        }
    }

    pub(super) fn is_leader(&self) -> Option<Revision> {
        let cache = self.store.cache();
        cache
            .leader
            .as_ref()
            .filter(|leader| {
                leader.value.node == self.config.node
                    && leader.value.incarnation == self.config.incarnation
            })
            .map(|leader| leader.revision)
    }

    /// This node's seat, if this process holds it.
    pub(super) fn own_seat<'a>(&self, cache: &'a StateCache) -> Option<&'a Versioned<SeatRecord>> {
        cache
            .seats
            .get(&self.config.node)
            .filter(|seat| seat.value.holder == Some(self.config.incarnation))
    }

    /// Whether this process holds the block.
    pub(super) fn holds(&self, block: &BlockRecord) -> bool {
        block.node == self.config.node && block.holder == self.config.incarnation
    }

    /// The blocks that this process holds.
    pub(super) fn own_blocks<'a>(
        &'a self,
        cache: &'a StateCache,
    ) -> impl Iterator<Item = (BlockId, &'a Versioned<BlockRecord>)> {
        let seated = self.own_seat(cache).is_some();
        cache
            .blocks
            .iter()
            .filter(move |(_, kept)| seated && self.holds(&kept.value))
            .map(|(id, kept)| (*id, kept))
    }

    /// The block that a machine of ours is in.
    pub(super) fn own_block_of<'a>(
        &self,
        cache: &'a StateCache,
        machine: &MachineId,
    ) -> Option<(BlockId, &'a Versioned<BlockRecord>)> {
        cache
            .block_of(machine)
            .filter(|(_, kept)| self.holds(&kept.value) && self.own_seat(cache).is_some())
    }

    /// Whether reports may be answered with 200, which renews leases: only
    /// while no cancellation can be older than `Config::entitled` unknown to us.
    pub fn is_entitled(&self) -> bool {
        let by_peers = lock(&self.links).nothing_newer;
        self.store
            .confirmed()
            .max(by_peers)
            .is_some_and(|at| at.elapsed() < self.config.entitled())
    }

    /// Whether users should be sent here. A node that alone has lost the state
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
        let links = lock(&self.links);
        let others_serve = links
            .heard
            .values()
            .any(|(at, reachable)| at.elapsed() < Duration::from_secs(3) && *reachable);
        self.store.is_loaded() && !others_serve
    }
}
