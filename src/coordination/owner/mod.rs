//! An owner's work on its shard: records results, places the tasks it was
//! offered, and commands its agents. One loop does all commits, so that the
//! shard's budgets are counted once.

mod commands;
mod commits;
mod failing_jobs;
mod heartbeats;
mod placement;
mod planned_changes;
mod results;
mod stops;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use failing_jobs::FailingJobs;
use planned_changes::PlannedChanges;
use tokio::{sync::Semaphore, time::Instant};

use crate::{
    coordination::{
        agent_state::AgentState,
        clients::{Exit, Offer, OwnedMachine, PeerRequest},
        context::{Context, lock},
        quota_exchange::QuotaExchange,
    },
    storage::{
        Attempt, JobId, MachineId, Quota, Revision, ShardId, StateCache, TaskId, TeamName, Token,
        Transaction, keys,
        rate_limiter::RequestPriority,
        records::{AllocationRecord, ShardRecord},
        state_cache::Versioned,
    },
};

/// Jobs with offers, and tasks to be stopped, that are kept. The leader repeats what is
/// beyond that: a longer wait, no loss. Four passes' worth of its largest.
const MAX_OFFERS: usize = 2_400;
const MAX_PREEMPTIONS: usize = 2_400;
/// Between two rounds of the owner's loop.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(15);
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Unanswered starts wait this long for a heartbeat before the token is raised.
const IN_DOUBT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Direct commands under way at a time.
const MAX_COMMANDS_IN_FLIGHT: usize = 64;

#[derive(Debug)]
struct PendingOffer {
    tasks: BTreeSet<u32>,
    until: Instant,
}

/// What is known of a task of ours that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskOutcome {
    /// It ended, and its agent said so.
    Ended(Exit),
    /// Surely not there: its agent's epoch is over, or it never started and
    /// is not to.
    Terminated,
}

#[derive(Default)]
struct OwnerState {
    agents: BTreeMap<MachineId, AgentState>,
    /// The shards that the agent states were last aligned with.
    aligned: Vec<(ShardId, Revision)>,
    offers: BTreeMap<JobId, PendingOffer>,
    preempting: BTreeMap<TaskId, Attempt>,
    /// Jobs with results to be written, since when.
    results: BTreeMap<JobId, Instant>,
    failing: FailingJobs,
    /// Since when changes of idle work wait for others to leave room for them.
    idle_work_delayed_since: Option<Instant>,
    /// Quota that tasks offered to us lack.
    deficit: BTreeMap<TeamName, Quota>,
    /// The outcome of a commit is unknown: nothing is placed before the allocation
    /// has a new revision, which voids whatever may still be on its way.
    has_commit_in_doubt: bool,
}

impl OwnerState {
    /// Quota of the tasks that are offered to us and not yet placed.
    fn offered_quota(&self, cache: &StateCache) -> BTreeMap<TeamName, Quota> {
        let mut offered: BTreeMap<TeamName, Quota> = BTreeMap::new();
        for (id, offer) in &self.offers {
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            let Some(spec) = job.spec() else { continue };
            let waits = |task: &&u32| job.placement(**task).is_none() && !job.is_task_done(**task);
            let count = offer.tasks.iter().filter(waits).count();
            let quota = Quota::from(&spec.per_task).times(count as f64);
            let sum = offered.entry(spec.team.clone()).or_default();
            *sum = sum.plus(&quota);
        }
        offered
    }

    /// Whether the machine itself seems to be the cause of what failed on it.
    fn is_quarantined(&self, agent: &AgentState, now: Instant) -> bool {
        agent.is_quarantined(now, |job| self.failing.is_crash_looping(job))
    }
}

/// How much an owner has at hand, for the log.
pub(super) struct OwnerSizes {
    /// Machines owned.
    pub(super) owned: usize,
    /// Jobs of which the leader has offered tasks.
    pub(super) offered: usize,
    /// Jobs with results to be written.
    pub(super) results: usize,
}

/// The duty that serves the shards which the leader leases to this process.
pub(super) struct ShardOwner {
    context: Arc<Context>,
    quota: Arc<QuotaExchange>,
    state: Mutex<OwnerState>,
    /// Places for commands sent directly to agents.
    commands_in_flight: Semaphore,
}

impl ShardOwner {
    /// An owner of nothing yet.
    pub(super) fn new(context: Arc<Context>, quota: Arc<QuotaExchange>) -> Self {
        Self {
            context,
            quota,
            state: Mutex::default(),
            commands_in_flight: Semaphore::new(MAX_COMMANDS_IN_FLIGHT),
        }
    }

    /// How much is at hand, for the log.
    pub(super) fn sizes(&self) -> OwnerSizes {
        let state = lock(&self.state);
        OwnerSizes {
            owned: state.agents.len(),
            offered: state.offers.len(),
            results: state.results.len(),
        }
    }

    /// Jobs that fail on several machines, with what is left of their pauses.
    pub(super) fn failing_jobs(&self, now: Instant) -> Vec<(JobId, Duration)> {
        lock(&self.state).failing.paused(now)
    }

    pub(super) fn accept_offers(&self, offers: Vec<Offer>) {
        let until = Instant::now() + self.context.config.tuning.offer;
        let mut state = lock(&self.state);
        for offer in offers {
            if state.offers.len() >= MAX_OFFERS && !state.offers.contains_key(&offer.job) {
                break;
            }
            let pending = state.offers.entry(offer.job).or_insert(PendingOffer {
                tasks: BTreeSet::new(),
                until,
            });
            pending.tasks.extend(offer.tasks);
            pending.until = until;
        }
        drop(state);
        self.context.owner_wakeup.notify_one();
    }

    pub(super) fn accept_preemptions(&self, tasks: Vec<TaskId>) {
        let cache = self.context.store.cache();
        let mut state = lock(&self.state);
        for task in tasks {
            let placement = cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.placement(task.index));
            if let Some(placement) = placement
                && state.preempting.len() < MAX_PREEMPTIONS
            {
                tracing::debug!(%task, machine = %placement.machine, "task preempted");
                state.preempting.insert(task, placement.attempt);
            }
        }
        drop(state);
        drop(cache);
        self.context.owner_wakeup.notify_one();
    }

    pub(super) fn owned_machines(&self, now: Instant) -> Vec<OwnedMachine> {
        let cache = self.context.store.cache();
        let state = lock(&self.state);
        self.context
            .own_shards(&cache)
            .flat_map(|(_, entry)| entry.value.machines.keys())
            .filter_map(|id| Some((id, state.agents.get(id)?)))
            .map(|(id, agent)| OwnedMachine {
                machine: id.clone(),
                since_heartbeat: agent.time_since_heartbeat(now),
                unreachable: agent.unreachable,
                quarantined: state.is_quarantined(agent, now),
                leaving: agent.leaves_at.is_some(),
                command_path_lost: agent
                    .is_command_path_lost(self.context.config.command_path_timeout(), now),
                address: agent
                    .address
                    .clone()
                    .filter(|_| agent.has_heartbeat)
                    .filter(|address| {
                        let known = cache.machines.get(id);
                        known.is_some_and(|known| known.address.as_ref() != Some(address))
                    }),
                epoch: agent.epoch,
                sequence: agent.sequence(),
                images: agent.images(),
                speed: agent.speed,
                freed: cache
                    .on_machine
                    .get(id)
                    .map(|load| agent.freed(load))
                    .unwrap_or_default(),
            })
            .collect()
    }

    /// Duty: the owner's loop.
    pub(super) async fn run(self: &Arc<Self>) {
        let mut changes = self.context.store.changes();
        while !self.context.shutdown.is_cancelled() {
            tokio::select! {
                biased;
                _ = self.context.shutdown.cancelled() => return,
                _ = changes.changed() => {}
                _ = self.context.owner_wakeup.notified() => {}
                _ = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
            changes.mark_unchanged();
            let started = Instant::now();
            if self.context.store.is_loaded() {
                self.run_owner_round().await;
            }
            // Many changes come close together; one round serves them all. On a
            // controller that is short of processor time rounds are fewer.
            let pause = started
                .elapsed()
                .clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
            tokio::time::sleep(pause).await;
        }
    }

    async fn run_owner_round(self: &Arc<Self>) {
        let (allocation, has_commit_in_doubt) = {
            let cache = self.context.store.cache();
            let allocation = self.context.own_allocation(&cache).cloned();
            let mut state = lock(&self.state);
            if allocation.is_some() {
                self.align(&mut state, &cache);
            } else {
                *state = OwnerState {
                    failing: std::mem::take(&mut state.failing),
                    has_commit_in_doubt: state.has_commit_in_doubt,
                    ..OwnerState::default()
                };
            }
            (allocation, state.has_commit_in_doubt)
        };
        let Some(allocation) = allocation else { return };
        if has_commit_in_doubt && !self.resolve_commit_in_doubt(&allocation).await {
            return;
        }
        self.resolve_in_doubt_starts().await;
        if self
            .quota
            .serve_requests(|cache| lock(&self.state).offered_quota(cache))
            .await
        {
            lock(&self.state).has_commit_in_doubt = true;
        }
        if lock(&self.state).has_commit_in_doubt {
            self.context.owner_wakeup.notify_one();
            return;
        }
        let deficit = lock(&self.state).deficit.clone();
        self.quota.seek(&deficit);
        // Changes of the state service are scarce: what is planned only when one
        // may be made is not outdated when it is sent.
        let wait = self.context.store.commit_wait(RequestPriority::Placement);
        let (changes, stops, remote_gang_members) = {
            let cache = self.context.store.cache();
            let Some(allocation) = self.context.own_allocation(&cache) else {
                return;
            };
            let mut state = lock(&self.state);
            let now = Instant::now();
            state.failing.judge(&cache);
            let mut changes = PlannedChanges::default();
            if wait.is_none() {
                self.collect_results(&mut state, &cache, now, &mut changes);
                if self.context.store.is_reachable() {
                    self.place_offers(&mut state, &cache, allocation, now, &mut changes);
                }
            }
            let mut remote_gang_members = BTreeMap::new();
            let stops = self.collect_stops(&mut state, &cache, now, &mut remote_gang_members);
            (changes, stops, remote_gang_members)
        };
        for (controller, tasks) in remote_gang_members {
            let this = self.clone();
            tokio::spawn(async move {
                // Unanswered: the gang falls back to its last checkpoint.
                let _ = this
                    .context
                    .peers
                    .call(&controller, PeerRequest::Preempt(tasks))
                    .await;
            });
        }
        for (machine, commands) in stops {
            self.send_commands(machine, None, commands);
        }
        if let Some(wait) = wait {
            self.context.pause(wait).await;
            self.context.owner_wakeup.notify_one();
            return;
        }
        self.commit_changes(changes).await;
    }

    /// Views exist for our shards' machines and for no others.
    fn align(&self, state: &mut OwnerState, cache: &StateCache) {
        let OwnerState {
            agents, preempting, ..
        } = state;
        preempting.retain(|task, attempt| {
            cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.placement(task.index))
                .is_some_and(|placement| placement.attempt == *attempt)
        });
        let shards: Vec<(ShardId, Revision)> = self
            .context
            .own_shards(cache)
            .map(|(id, entry)| (id, entry.revision))
            .collect();
        if state.aligned == shards {
            return;
        }
        self.context.startup.note_holding();
        let now = Instant::now();
        agents.retain(|id, agent| {
            self.context.own_shard_of(cache, id).is_some()
                && agent.acquired == Token::from(cache.owned_since(id))
        });
        for (_, entry) in self.context.own_shards(cache) {
            for id in entry.value.machines.keys() {
                agents
                    .entry(id.clone())
                    .or_insert_with(|| AgentState::new(cache.owned_since(id).into(), now));
            }
        }
        state.aligned = shards;
    }

    /// Shards with unanswered starts are written anew: a start that may still be
    /// on its way is not executed under a higher token.
    async fn resolve_in_doubt_starts(&self) {
        let in_doubt_start: Vec<(ShardId, Versioned<ShardRecord>)> = {
            let cache = self.context.store.cache();
            let state = lock(&self.state);
            let mut found: BTreeMap<ShardId, Versioned<ShardRecord>> = BTreeMap::new();
            for (id, agent) in &state.agents {
                let is_in_doubt = agent.in_doubt_start.is_some_and(|(token, at)| {
                    at.elapsed() > IN_DOUBT_TIMEOUT
                        && agent.last_heartbeat > at
                        && token >= agent.token
                });
                if is_in_doubt && let Some((shard, entry)) = self.context.own_shard_of(&cache, id) {
                    // Raised already: the agent only has to hear of it.
                    let raised = agent
                        .in_doubt_start
                        .is_some_and(|(token, _)| Token::from(entry.revision) > token);
                    if !raised {
                        found.insert(shard, entry.clone());
                    }
                }
            }
            found.into_iter().take(4).collect()
        };
        for (id, entry) in in_doubt_start {
            let key = keys::shard(id);
            let transaction = Transaction::default()
                .require(key.clone(), entry.revision)
                .set(key, &entry.value);
            match self
                .context
                .store
                .commit(&transaction, RequestPriority::Fencing)
                .await
            {
                Ok(revision) => {
                    tracing::debug!(shard = %id, token = %revision, "fencing token raised")
                }
                Err(error) => {
                    tracing::debug!(shard = %id, %error, "cannot raise the fencing token");
                    return;
                }
            }
        }
    }

    /// Writes the allocation anew: no earlier commit of ours applies to its new
    /// revision.
    async fn resolve_commit_in_doubt(&self, allocation: &Versioned<AllocationRecord>) -> bool {
        let key = keys::allocation(&self.context.config.name);
        let transaction = Transaction::default()
            .require(key.clone(), allocation.revision)
            .set(key, &allocation.value);
        match self
            .context
            .store
            .commit(&transaction, RequestPriority::Fencing)
            .await
        {
            Ok(revision) => {
                tracing::debug!(%revision, "quota allocation rewritten");
                // What was committed before it is in the cache only after this.
                let fresh = self.context.store.read_barrier().await;
                lock(&self.state).has_commit_in_doubt = !fresh;
                fresh
            }
            Err(error) => {
                tracing::debug!(%error, "cannot rewrite the quota allocation");
                lock(&self.state).has_commit_in_doubt |= error.is_unknown();
                if !self.context.store.read_barrier().await {
                    self.context.pause(Duration::from_millis(200)).await;
                }
                false
            }
        }
    }
}
