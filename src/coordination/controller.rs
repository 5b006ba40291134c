//! A controller: creates its components and runs their background tasks.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::coordination::{
    config::Config,
    context::{Clients, Context},
    heartbeats::HeartbeatService,
    indirect_heartbeats::IndirectHeartbeats,
    jobs::JobService,
    leader::Leader,
    membership::Membership,
    owner::{OwnerSizes, ShardOwner},
    peer_exchange::PeerExchange,
    peer_liveness::PeerLiveness,
    quota_exchange::{QuotaCounts, QuotaExchange},
};

/// Interval between two log lines of the counters.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between two checks whether the process was paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum length of a process pause that is logged.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// A controller with all its components. Each component owns its state; all share the context.
pub struct Controller {
    /// State shared by all components.
    pub context: Arc<Context>,
    /// Serves users' requests about jobs.
    pub jobs: JobService,
    /// Responds to agents' heartbeats.
    pub heartbeats: HeartbeatService,
    /// Exchanges status with the other controllers and serves their requests.
    pub peer_exchange: PeerExchange,
    membership: Membership,
    leader: Arc<Leader>,
    owner: Arc<ShardOwner>,
    quota: Arc<QuotaExchange>,
    liveness: Arc<PeerLiveness>,
}

impl Controller {
    /// Creates the components; [`Self::start`] runs their background tasks.
    pub fn new(config: Config, clients: Clients, shutdown: CancellationToken) -> Arc<Self> {
        let context = Arc::new(Context::new(config, clients, shutdown));
        let liveness = Arc::new(PeerLiveness::default());
        let indirect_heartbeats = Arc::new(IndirectHeartbeats::default());
        let quota = Arc::new(QuotaExchange::new(context.clone()));
        let owner = Arc::new(ShardOwner::new(context.clone(), quota.clone()));
        let leader = Arc::new(Leader::new(
            context.clone(),
            owner.clone(),
            quota.clone(),
            liveness.clone(),
        ));
        Arc::new(Self {
            jobs: JobService::new(context.clone()),
            heartbeats: HeartbeatService::new(
                context.clone(),
                owner.clone(),
                liveness.clone(),
                indirect_heartbeats.clone(),
            ),
            peer_exchange: PeerExchange::new(
                context.clone(),
                leader.clone(),
                owner.clone(),
                quota.clone(),
                liveness.clone(),
                indirect_heartbeats,
            ),
            membership: Membership::new(context.clone(), leader.clone()),
            leader,
            owner,
            quota,
            liveness,
            context,
        })
    }

    /// Spawns the background tasks of the components. Each runs until the controller is stopped and
    /// returns its name. The caller must end the process if one returns earlier.
    pub fn start(self: &Arc<Self>, background_tasks: &mut JoinSet<&'static str>) {
        macro_rules! background_task {
            ($name:literal, $call:expr) => {{
                let controller = self.clone();
                background_tasks.spawn(async move {
                    let run: fn(Arc<Controller>) -> _ = $call;
                    run(controller).await;
                    $name
                });
            }};
        }
        background_task!("state watch", |controller| async move {
            let context = &controller.context;
            context.store.watch(context.shutdown.clone()).await;
        });
        background_task!("read barriers", |controller| async move {
            let context = &controller.context;
            let shutdown = context.shutdown.clone();
            context.store.serve_read_barriers(shutdown).await;
        });
        background_task!("membership", |controller| async move {
            controller.membership.run().await;
        });
        background_task!("shard owner", |controller| async move {
            controller.owner.run().await;
        });
        background_task!("leader", |controller| async move {
            controller.leader.run().await;
        });
        background_task!("fleet manager", |controller| async move {
            controller.leader.run_fleet_manager().await;
        });
        background_task!("peers", |controller| async move {
            controller.peer_exchange.run().await;
        });
        background_task!("counters", |controller| async move {
            controller.log_counters().await;
        });
        background_task!("process pause detector", |controller| async move {
            controller.detect_process_pause().await;
        });
        background_task!("probes", |controller| async move {
            controller.owner.probe_unresponsive().await;
        });
    }

    /// Background task: logs the counters every [`COUNTERS_INTERVAL`].
    async fn log_counters(&self) {
        while self.context.sleep_unless_stopped(COUNTERS_INTERVAL).await {
            let counts = self.context.store.take_counters();
            let OwnerSizes {
                owned,
                offered,
                results,
            } = self.owner.sizes();
            let (jobs, waiting) = {
                let cache = self.context.store.cache();
                (cache.jobs.len(), cache.waiting.len())
            };
            tracing::info!(
                requests = counts.requests,
                written = ?counts.written,
                refused = counts.conflicted,
                throttled = counts.throttled,
                late_reads = counts.late_reads,
                late_commits = counts.late_commits,
                jobs,
                waiting,
                owned,
                offered,
                results,
                "counters"
            );
            if self.context.config.tuning.quota_transfers {
                self.log_quota_counters();
            }
        }
    }

    fn log_quota_counters(&self) {
        let (counts, oldest) = self.quota.take_counts(Instant::now());
        let QuotaCounts {
            given,
            refused,
            received,
            unserved,
        } = counts;
        let deficit_ms = oldest.map_or(0, |age| age.as_millis() as u64);
        tracing::info!(given, refused, received, unserved, deficit_ms, "quota");
    }

    /// Background task: logs process pauses, in which all threads were stopped while the clocks
    /// advanced. It only logs them: messages that arrived during the pause are not processed yet,
    /// so each component confirms with the state service that it still has its role before it
    /// decides anything.
    async fn detect_process_pause(&self) {
        let mut last_check = Instant::now();
        while self
            .context
            .sleep_unless_stopped(PAUSE_CHECK_INTERVAL)
            .await
        {
            let pause = last_check.elapsed().saturating_sub(PAUSE_CHECK_INTERVAL);
            if pause > PAUSE_THRESHOLD {
                let for_ms = pause.as_millis() as u64;
                let leads = self.context.leadership().is_some();
                tracing::info!(for_ms, leads, "process paused");
            }
            last_check = Instant::now();
        }
    }

    /// Whether the load balancer should send users to this controller. A controller that cannot
    /// reach the state service is not ready while a peer can reach it. If no peer can, it stays
    /// ready: no other controller could serve the users, and readmission is slow.
    pub fn is_ready(&self) -> bool {
        let serves = self.serves_users();
        if serves {
            self.context.startup.note_ready();
        }
        serves
    }

    fn serves_users(&self) -> bool {
        let store = &self.context.store;
        if store.is_loaded() && store.is_reachable() {
            return true;
        }
        let others_serve = self.liveness.any_peer_reaches_state_service();
        store.is_loaded() && !others_serve
    }
}
