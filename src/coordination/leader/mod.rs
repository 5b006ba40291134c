//! The leader's work: shards and budgets, routing, scaling out and scaling in.

pub mod fleet;
pub mod miss_rate;
pub mod pool;
mod quota_targets;
pub mod routing;
pub mod shards;
mod zone_assignment;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::{
        clients::{IndirectHeartbeat, OwnedMachine, PeerRequest, ProtocolVersion, StatusMessage},
        context::{Context, lock},
        owner::ShardOwner,
        peer_liveness::PeerLiveness,
        quota_exchange::QuotaExchange,
    },
    storage::{
        CommitError, ControllerName, Incarnation, JobId, JobOutcome, MachineId, Quota, Revision,
        ShardId, StateCache, TeamName, Transaction,
        client::LeaseId,
        keys,
        rate_limiter::RequestPriority,
        records::{CommonVersionRecord, LeaderRecord, OutcomeRecord},
    },
};

/// A status older than this says nothing about now.
const STATUS_TTL: Duration = Duration::from_secs(4);
/// Between two passes of the leader's quick loop.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(25);
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(200);
/// Changes in one commit at most, for the service's 64 KiB.
const OPS_PER_COMMIT: usize = 12;
/// Between two writes of changes of shards that nobody waits for.
const USE_WRITE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Tasks that went with their machine and found no other place for this long are
/// written down as waiting.
const LOST_TASK_TIMEOUT: Duration = Duration::from_secs(10);
/// Transactions of a pass of cleaning up.
const MAX_CLEANUP_TRANSACTIONS: usize = 24;

/// The last status of a peer controller.
struct PeerStatus {
    at: Instant,
    /// Since when this process tells us.
    since: Instant,
    incarnation: Incarnation,
    owned: BTreeMap<MachineId, OwnedMachine>,
    indirect_heartbeats: BTreeMap<MachineId, IndirectHeartbeat>,
    failing: Vec<(JobId, Duration)>,
}

#[derive(Default)]
struct LeaderState {
    lease: Option<LeaseId>,
    since: Option<Instant>,
    statuses: BTreeMap<ControllerName, PeerStatus>,
    offered: routing::OutstandingOffers,
    pending_preemptions: routing::PendingPreemptions,
    reclaiming: routing::Reclaiming,
    record_affinity: routing::RecordAffinity,
    gangs: routing::PartialGangs,
    expired_offers: routing::ExpiredOffersByJob,
    /// When the zone of a job was last written or taken back.
    zone_assignments: BTreeMap<JobId, Instant>,
    unplaced: Vec<routing::Unplaced>,
    routing_counts: routing::RoutingCounts,
    /// Machines that are gone with tasks on them, since when.
    lost_since: BTreeMap<MachineId, Instant>,
    deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks with room that lack quota, the most pressing first.
    demand: Vec<routing::QuotaDemand>,
    /// What is free on each controller's machines.
    free: BTreeMap<ControllerName, Quota>,
    /// The quota targets told last, and when.
    sent_targets: Option<(shards::Targets, Instant)>,
    moving: BTreeMap<ShardId, (ControllerName, Instant)>,
    /// When changes of machines' use within their shards were last written.
    last_use_write: Option<Instant>,
    releasing: BTreeMap<MachineId, fleet::PendingRelease>,
    owner_unreachable: BTreeMap<MachineId, ControllerName>,
    miss_rate: miss_rate::MissRateWindow,
    fleet: fleet::FleetState,
    /// The outcome of a commit is unknown: our record is written anew, which
    /// voids it, before anything else is decided.
    has_commit_in_doubt: bool,
}

impl LeaderState {
    fn reset(&mut self, lease: LeaseId) {
        let statuses = std::mem::take(&mut self.statuses);
        // A process may lead a second time. Names of provision requests contain its incarnation
        // and this number, and must never be used again: the cloud would answer
        // with the machines of the first time, and provision none.
        let provision_count = self.fleet.provision_count;
        *self = Self {
            lease: Some(lease),
            since: Some(Instant::now()),
            statuses,
            ..Self::default()
        };
        self.fleet.provision_count = provision_count;
    }

    /// The lease that our claim is attached to once it is next written anew. Without
    /// it a leader that was elected unawares could never write its record anew,
    /// and so could not act after its first commit without an answer.
    fn adopt_lease(&mut self, lease: LeaseId) {
        if self.lease != Some(lease) {
            self.lease = Some(lease);
            self.since.get_or_insert_with(Instant::now);
            self.has_commit_in_doubt = true;
        }
    }

    fn record_status(&mut self, status: StatusMessage, at: Instant) {
        let known = self
            .statuses
            .get(&status.controller)
            .filter(|peer| peer.incarnation == status.incarnation);
        if known.is_some_and(|peer| peer.at > at) {
            // An earlier word of this process.
            return;
        }
        let since = known.map_or(at, |peer| peer.since);
        let held = status.owned.into_iter();
        let indirect_heartbeats = status.indirect_heartbeats.into_iter();
        let peer = PeerStatus {
            at,
            since,
            incarnation: status.incarnation,
            owned: held.map(|held| (held.machine.clone(), held)).collect(),
            indirect_heartbeats: indirect_heartbeats
                .map(|heartbeat| (heartbeat.machine.clone(), heartbeat))
                .collect(),
            failing: status.failing,
        };
        self.statuses.insert(status.controller, peer);
    }

    /// What an owner says of a machine of its.
    fn owned_machine(
        &self,
        controller: &ControllerName,
        machine: &MachineId,
    ) -> Option<(&OwnedMachine, Duration)> {
        let peer = self.statuses.get(controller)?;
        let held = peer.owned.get(machine)?;
        let age = peer.at.elapsed();
        (age < STATUS_TTL).then(|| (held, held.since_heartbeat + age))
    }

    /// Whether an owner has heard this machine's agent, so that it is up.
    fn is_up(&self, cache: &StateCache, machine: &MachineId) -> bool {
        cache
            .machines
            .get(machine)
            .is_some_and(|record| record.address.is_some())
            || cache.shard_of(machine).is_some_and(|(_, entry)| {
                self.owned_machine(&entry.value.controller, machine)
                    .is_some_and(|(held, _)| held.address.is_some())
            })
    }

    /// Another controller that hears the machine's agent, by a newer heartbeat
    /// than the owner has: copies of old ones arrive late.
    fn indirectly_heard_by(
        &self,
        owner: &ControllerName,
        machine: &MachineId,
    ) -> Option<(ControllerName, Duration)> {
        let known = self
            .statuses
            .get(owner)
            .and_then(|peer| peer.owned.get(machine))
            .map(|held| (held.epoch, held.sequence));
        self.statuses
            .iter()
            .filter(|(controller, peer)| *controller != owner && peer.at.elapsed() < STATUS_TTL)
            .filter_map(|(controller, peer)| {
                let heartbeat = peer.indirect_heartbeats.get(machine)?;
                let newer = known.is_none_or(|known| (heartbeat.epoch, heartbeat.sequence) > known);
                newer.then(|| (controller.clone(), heartbeat.age + peer.at.elapsed()))
            })
            .min_by_key(|(_, age)| *age)
    }
}

/// Quota of the tasks that are offered to owners and not yet placed.
fn quota_in_flight(
    cache: &StateCache,
    offered: &routing::OutstandingOffers,
) -> BTreeMap<(ControllerName, TeamName), Quota> {
    let mut in_flight: BTreeMap<(ControllerName, TeamName), Quota> = BTreeMap::new();
    for (id, tasks) in offered {
        let Some(job) = cache.jobs.get(id) else {
            continue;
        };
        let Some(spec) = job.spec() else { continue };
        for (task, offered) in tasks {
            if job.placement(*task).is_some() || job.is_task_done(*task) {
                continue;
            }
            let key = (offered.controller.clone(), spec.team.clone());
            let sum = in_flight.entry(key).or_default();
            *sum = sum.plus(&Quota::from(&spec.per_task));
        }
    }
    in_flight
}

/// The duty that leads the cluster, while this process is its leader.
pub(super) struct Leader {
    context: Arc<Context>,
    /// The shard owner of this very process, which needs no message.
    owner: Arc<ShardOwner>,
    quota: Arc<QuotaExchange>,
    liveness: Arc<PeerLiveness>,
    state: Mutex<LeaderState>,
}

impl Leader {
    /// Not elected yet.
    pub(super) fn new(
        context: Arc<Context>,
        owner: Arc<ShardOwner>,
        quota: Arc<QuotaExchange>,
        liveness: Arc<PeerLiveness>,
    ) -> Self {
        Self {
            context,
            owner,
            quota,
            liveness,
            state: Mutex::default(),
        }
    }

    /// This process was elected; its claim is attached to this lease.
    pub(super) fn reset(&self, lease: LeaseId) {
        lock(&self.state).reset(lease);
    }

    /// The lease of a process that leads, however it learned of its election.
    pub(super) fn adopt_lease(&self, lease: LeaseId) {
        lock(&self.state).adopt_lease(lease);
    }

    /// Keeps a controller's full status.
    pub(super) fn record_status(&self, status: StatusMessage, at: Instant) {
        lock(&self.state).record_status(status, at);
    }

    /// Duty: the leader's quick loop. On a controller that does not lead it waits.
    pub(super) async fn run(self: &Arc<Self>) {
        let mut changes = self.context.store.changes();
        while !self.context.shutdown.is_cancelled() {
            tokio::select! {
                biased;
                _ = self.context.shutdown.cancelled() => return,
                _ = changes.changed() => {}
                _ = self.context.leader_wakeup.notified() => {}
                _ = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
            changes.mark_unchanged();
            let started = Instant::now();
            if self.context.store.is_loaded()
                && self.context.store.is_reachable()
                && self.context.leadership().is_some()
            {
                self.run_leader_pass().await;
            }
            // A controller that is short of processor time makes fewer passes.
            let pause = started
                .elapsed()
                .clamp(MIN_PASS_INTERVAL, MAX_PASS_INTERVAL);
            tokio::time::sleep(pause).await;
        }
    }

    async fn run_leader_pass(self: &Arc<Self>) {
        if lock(&self.state).has_commit_in_doubt && !self.resolve_leader_commit_in_doubt().await {
            return;
        }
        // Routing never waits for the state service's limit of changes: what has to
        // be written waits for a pass in which it may be.
        if self
            .context
            .store
            .commit_wait(RequestPriority::Fencing)
            .is_none()
        {
            self.write_format().await;
            self.plan_shards().await;
        }
        if self
            .context
            .store
            .commit_wait(RequestPriority::Placement)
            .is_none()
        {
            self.clean_up().await;
        }
        self.route().await;
    }

    /// Commits as the leader: void once another leads.
    pub(super) async fn commit_as_leader(
        &self,
        transaction: Transaction,
        priority: RequestPriority,
    ) -> Result<Revision, CommitError> {
        let Some(revision) = self.context.leadership() else {
            return Err(CommitError::Conflict(vec![keys::LEADER.into()]));
        };
        let transaction = transaction.require(keys::LEADER.into(), revision);
        let result = self.context.store.commit(&transaction, priority).await;
        if let Err(error) = &result {
            tracing::debug!(%error, "leader's commit failed");
            if error.is_unknown() {
                lock(&self.state).has_commit_in_doubt = true;
            }
        }
        result
    }

    /// Writes our record anew: commits of ours that may still be on their way
    /// are conditional on the old one.
    async fn resolve_leader_commit_in_doubt(&self) -> bool {
        let Some(lease) = lock(&self.state).lease else {
            return false;
        };
        let Some(revision) = self.context.leadership() else {
            return false;
        };
        let record = LeaderRecord {
            controller: self.context.config.name.clone(),
            incarnation: self.context.config.incarnation,
        };
        let transaction = Transaction::default()
            .require(keys::LEADER.into(), revision)
            .set_with(keys::LEADER.into(), &record, Some(lease));
        let done = self
            .context
            .store
            .commit(&transaction, RequestPriority::Fencing)
            .await
            .is_ok();
        if done && self.context.store.read_barrier().await {
            lock(&self.state).has_commit_in_doubt = false;
            return true;
        }
        false
    }

    /// Writes down what all controllers can read, as soon as each has said so.
    async fn write_format(&self) {
        let common = {
            let cache = self.context.store.cache();
            self.liveness.common_protocol_version(&self.context, &cache)
        };
        let common = common.unwrap_or_default();
        if common == ProtocolVersion::default() {
            return;
        }
        let revision = {
            let cache = self.context.store.cache();
            match &cache.common_version {
                Some(entry) if entry.value.protocol_version >= common.0 => return,
                Some(entry) => entry.revision,
                None => Revision(0),
            }
        };
        let record = CommonVersionRecord {
            protocol_version: common.0,
        };
        let transaction = Transaction::default()
            .require(keys::COMMON_VERSION.into(), revision)
            .set(keys::COMMON_VERSION.into(), &record);
        if self
            .commit_as_leader(transaction, RequestPriority::Fencing)
            .await
            .is_ok()
        {
            tracing::info!(
                protocol_version = common.0,
                "protocol version common to all controllers"
            );
        }
    }

    async fn plan_shards(self: &Arc<Self>) {
        let transfers = self.controllers_transfer();
        let (changed, transaction) = {
            let cache = self.context.store.cache();
            if !self.has_applied_election(&cache) {
                return;
            }
            let mut state = lock(&self.state);
            state.moving.retain(|id, (to, at)| {
                at.elapsed() < Duration::from_secs(20)
                    && cache
                        .shards
                        .get(id)
                        .is_some_and(|entry| entry.value.controller != *to)
            });
            let inputs = shards::ShardPlanInputs {
                moving: state
                    .moving
                    .iter()
                    .map(|(id, (controller, _))| (*id, controller.clone()))
                    .collect(),
                releasing: state
                    .releasing
                    .iter()
                    .filter(|(_, r)| r.drains_first())
                    .map(|(id, _)| id.clone())
                    .collect::<BTreeSet<_>>(),
                draining_machines: state.fleet.draining_machines.clone(),
                owner_unreachable: state.owner_unreachable.clone(),
                avoided_owners: state.fleet.avoided_owners.keys().cloned().collect(),
                deficit: std::mem::take(&mut state.deficit),
                reserved: state.reserved.clone(),
                max_changes: self.context.config.state.txn_ops.min(OPS_PER_COMMIT),
                controllers_transfer: transfers,
                free: state.free.clone(),
                in_flight: quota_in_flight(&cache, &state.offered),
                demand: state.demand.clone(),
            };
            drop(state);
            let changed = shards::plan(&cache, &self.context.config.teams, &inputs);
            let transaction = changed.transaction(&cache);
            (changed, transaction)
        };
        self.send_quota_targets(&changed.targets);
        if changed.is_empty() || self.is_deferred(&changed) {
            return;
        }
        match self
            .commit_as_leader(transaction, RequestPriority::Fencing)
            .await
        {
            Ok(revision) => {
                for (controller, allocation) in &changed.allocations {
                    tracing::debug!(%controller, owner = ?allocation.owner.map(|i| i.0), "quota allocation granted");
                }
                for (id, shard) in &changed.shards {
                    tracing::info!(
                        shard = %id, controller = %shard.controller, token = %revision, owner = shard.owner.0,
                        machines = shard.machines.len(), cordoned = shard.cordoned, "shard lease granted"
                    );
                }
                // The next pass wants the cache to have caught up.
                self.context.store.read_barrier().await;
                self.context.leader_wakeup.notify_one();
            }
            Err(_) => {
                self.context.store.read_barrier().await;
            }
        }
    }

    /// Whether changes of shards that nobody waits for are put off, so that those of one
    /// shard come together. A shrinking fleet marks, cordons and loses a machine at a time:
    /// written one by one that took so much of the leader's part of the state service's
    /// changes that the machines it held itself were not served.
    fn is_deferred(&self, changed: &shards::ShardPlanChanges) -> bool {
        let can_wait = changed.can_wait(&self.context.store.cache());
        let mut state = lock(&self.state);
        let is_due = state
            .last_use_write
            .is_none_or(|at| at.elapsed() >= USE_WRITE_INTERVAL);
        if !can_wait {
            return false;
        }
        if is_due {
            state.last_use_write = Some(Instant::now());
        }
        !is_due
    }

    /// Removes what is left of jobs that are over, places of tasks whose
    /// machines are gone, and ends jobs of many records.
    async fn clean_up(&self) {
        let mut parts: Vec<Transaction> = Vec::new();
        {
            let cache = self.context.store.cache();
            let caught_up = cache
                .machine_groups
                .values()
                .all(|entry| entry.revision <= cache.revision);
            let most = self.context.config.state.txn_ops;
            for id in &cache.pending_cleanup {
                if parts.len() >= MAX_CLEANUP_TRANSACTIONS / 2 {
                    break;
                }
                let Some(job) = cache.jobs.get(id) else {
                    continue;
                };
                // Its outcome was written with the drain key, so that nothing is
                // placed after that; what was placed before it the cache holds
                // only once it has passed that revision.
                let gone = job.placed == 0 || (caught_up && job.present() == 0);
                if job
                    .cleanup_since
                    .is_some_and(|revision| revision <= cache.revision)
                    && gone
                {
                    let mut part = Transaction::default();
                    for chunk in job.chunks.keys().take(most - 2) {
                        part = part.remove(keys::run(id, *chunk));
                    }
                    if job.chunks.len() <= most - 2 {
                        part = part.remove(keys::spec(id)).remove(keys::cleanup(id));
                    }
                    parts.push(part);
                } else if job.cleanup_since.is_none() && job.all_done() {
                    let outcome = OutcomeRecord {
                        outcome: JobOutcome::Done,
                        done: job.done,
                    };
                    let mut part = Transaction::default()
                        .require(keys::outcome(id), Revision(0))
                        .set(keys::outcome(id), &outcome);
                    if job.chunks.len() + 2 <= most {
                        // All of it at once.
                        for chunk in job.chunks.keys() {
                            part = part.remove(keys::run(id, *chunk));
                        }
                        part = part.remove(keys::spec(id));
                    } else {
                        part = part.set(keys::cleanup(id), &1);
                    }
                    parts.push(part);
                }
            }
            if caught_up {
                let mut state = lock(&self.state);
                self.unplace_lost_tasks(&cache, &mut state.lost_since, &mut parts);
            }
        }
        let more = parts.len() >= MAX_CLEANUP_TRANSACTIONS / 2;
        let mut parts = parts.into_iter().peekable();
        while let Some(mut group) = parts.next() {
            // Several in one commit, as far as they have room in it.
            while let Some(next) = parts.next_if(|next| {
                group.ops.len() + next.ops.len()
                    <= self.context.config.state.txn_ops.min(OPS_PER_COMMIT)
                    && group.conditions.len() + next.conditions.len()
                        < 3 * self.context.config.state.txn_ops
            }) {
                group.absorb(next);
            }
            if self
                .commit_as_leader(group, RequestPriority::Placement)
                .await
                .is_err()
            {
                self.context.store.read_barrier().await;
                break;
            }
            if self
                .context
                .store
                .commit_wait(RequestPriority::Placement)
                .is_some()
            {
                break;
            }
        }
        if more {
            self.context.leader_wakeup.notify_one();
        }
    }

    /// Places of tasks whose machines are gone: their records went after their
    /// return was answered, so that all that was on them is gone. Such tasks wait
    /// at once, and their next placement replaces the old one; what has found none
    /// for a while uses quota for nothing and is freed here.
    fn unplace_lost_tasks(
        &self,
        cache: &StateCache,
        since: &mut BTreeMap<MachineId, Instant>,
        parts: &mut Vec<Transaction>,
    ) {
        let now = Instant::now();
        since.retain(|machine, _| cache.on_machine.contains_key(machine));
        let mut lost: BTreeMap<(&JobId, u32), Vec<u32>> = BTreeMap::new();
        for (machine, load) in &cache.on_machine {
            if !cache.machines.contains_key(machine) {
                let at = *since.entry(machine.clone()).or_insert(now);
                if now.duration_since(at) < LOST_TASK_TIMEOUT {
                    continue;
                }
                for task in load.tasks.keys() {
                    lost.entry((&task.job, task.index / keys::CHUNK))
                        .or_default()
                        .push(task.index);
                }
            }
        }
        for ((id, chunk), tasks) in lost {
            if parts.len() >= MAX_CLEANUP_TRANSACTIONS {
                return;
            }
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            // Of a job that is over the whole record goes, perhaps in this very
            // pass; no transaction may change a key twice.
            let Some(entry) = job
                .chunks
                .get(&chunk)
                .filter(|_| job.cleanup_since.is_none())
            else {
                continue;
            };
            tracing::debug!(job = %id, ?tasks, "tasks lost with their machines");
            let mut record = entry.value.clone();
            for task in tasks {
                record.unplace(task);
            }
            let key = keys::run(id, chunk);
            parts.push(
                Transaction::default()
                    .require(key.clone(), entry.revision)
                    .set(key, &record),
            );
        }
    }

    async fn route(self: &Arc<Self>) {
        let routed = {
            let cache = self.context.store.cache();
            if cache.waiting.is_empty() {
                let mut state = lock(&self.state);
                state.offered.clear();
                state.unplaced.clear();
                state.routing_counts = Default::default();
                state.deficit.clear();
                state.reserved.clear();
                state.demand.clear();
                return;
            }
            let now = Instant::now();
            let wall = (self.context.config.wall)();
            let estimator = lock(&self.context.estimator);
            let mut state = lock(&self.state);
            let LeaderState {
                statuses,
                fleet,
                offered,
                pending_preemptions,
                reclaiming,
                record_affinity,
                gangs,
                expired_offers,
                free,
                ..
            } = &mut *state;
            let mut failing: BTreeMap<JobId, Instant> = BTreeMap::new();
            for peer in statuses.values() {
                if peer.at.elapsed() <= STATUS_TTL {
                    for (job, pause) in &peer.failing {
                        failing.insert(job.clone(), peer.at + *pause);
                    }
                }
            }
            let unresponsive_after = self.context.config.unresponsive_after();
            let usable = |controller: &ControllerName, id: &MachineId| {
                let peer = statuses.get(controller)?;
                let held = peer.owned.get(id)?;
                let age = peer.at.elapsed();
                // Draining and idle: it is to stay so.
                let leaves =
                    fleet.draining_machines.contains(id) && !cache.on_machine.contains_key(id);
                (age <= STATUS_TTL
                    && !leaves
                    && held.since_heartbeat + age < unresponsive_after
                    && !held.unreachable
                    && !held.quarantined
                    && !held.leaving
                    && !held.command_path_lost)
                    .then(|| routing::UsableMachine {
                        images: held.images.clone(),
                        speed: held.speed,
                        freed: held.freed,
                    })
            };
            let free_capacity = routing::candidate_machines(
                &cache,
                &usable,
                self.context.config.now_ms(),
                self.context.config.tuning.paid,
            );
            *free = free_capacity.free_quota();
            let routing = routing::RoutingPass {
                cache: &cache,
                teams: &self.context.config.teams,
                free_capacity,
                offered,
                pending_preemptions,
                reclaiming,
                record_affinity,
                gangs,
                expired_offers,
                failing: &failing,
                changes_per_transaction: self.context.config.state.txn_ops,
                start_target: self.context.config.tuning.start_target,
                offer_ttl: self.context.config.tuning.offer,
                now,
                wall,
                factor: &|class| estimator.factor(class),
                full: BTreeSet::new(),
            };
            let mut routed = routing.run();
            state.deficit = std::mem::take(&mut routed.deficit);
            state.reserved = std::mem::take(&mut routed.reserved);
            state.demand = std::mem::take(&mut routed.demand);
            state.unplaced = std::mem::take(&mut routed.unplaced);
            state.routing_counts = routed.counts;
            if !state.deficit.is_empty() {
                self.context.leader_wakeup.notify_one();
            }
            routed
        };
        self.write_zone_assignments(routed.zone_assignments).await;
        for (controller, tasks) in routed.preempt {
            if controller == self.context.config.name {
                self.owner.accept_preemptions(tasks);
                continue;
            }
            let this = self.clone();
            tokio::spawn(async move {
                // Unanswered: the room does not show and is asked for again.
                let _ = this
                    .context
                    .peers
                    .call(&controller, PeerRequest::Preempt(tasks))
                    .await;
            });
        }
        for (controller, offers) in routed.offers {
            if controller == self.context.config.name {
                self.owner.accept_offers(offers);
                continue;
            }
            let this = self.clone();
            tokio::spawn(async move {
                let jobs: Vec<JobId> = offers.iter().map(|offer| offer.job.clone()).collect();
                let sent = this
                    .context
                    .peers
                    .call(&controller, PeerRequest::Offers(offers))
                    .await;
                if sent.is_err() {
                    // It may have got them all the same; its commits would then
                    // win or lose like any other's.
                    let mut state = lock(&this.state);
                    for job in jobs {
                        if let Some(tasks) = state.offered.get_mut(&job) {
                            tasks.retain(|_, offered| offered.controller != controller);
                        }
                    }
                    state.statuses.remove(&controller);
                }
            });
        }
    }
}
