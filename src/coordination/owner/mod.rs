//! The owner of shards: places the tasks that the leader offers to it on the machines of its
//! shards, sends commands to the agents there, and commits the results of the tasks.
//!
//! [`OwnerState`] holds the states of the agents, the pending offers and the preemptions.
//! Heartbeats and peers' requests change it, and the owner's loop (`round`) acts on it.
//! Lock order: code that needs both the state cache and `OwnerState` locks the cache first.

mod candidates;
mod commands;
mod commits;
mod failing_jobs;
mod heartbeats;
mod in_doubt;
mod offered_jobs;
mod placement;
mod planned_changes;
mod probes;
mod record_writes;
mod results;
mod round;
mod stops;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use failing_jobs::FailingJobs;
use tokio::{sync::Semaphore, time::Instant};

use crate::{
    coordination::{
        agent_state::AgentState,
        clients::{Exit, Offer, OwnedMachine},
        context::{Context, lock},
        quota_exchange::QuotaExchange,
    },
    storage::{Attempt, JobId, MachineId, Quota, Revision, ShardId, StateCache, TaskId, TeamName},
};

/// Maximum number of jobs with pending offers: four routing passes of the leader at their
/// maximum size. Offers beyond it are dropped. The leader repeats them, so that their tasks
/// wait longer but are not lost.
const MAX_OFFERED_JOBS: usize = 2_400;
/// Maximum number of pending preemptions. As with offers, the leader repeats the others.
const MAX_PREEMPTIONS: usize = 2_400;
/// Maximum number of direct command requests in flight.
const MAX_COMMANDS_IN_FLIGHT: usize = 64;

/// The tasks of a job that the leader has offered and that are not placed yet.
#[derive(Debug)]
struct PendingOffer {
    tasks: BTreeSet<u32>,
    expires_at: Instant,
}

/// How a placed task on one of this owner's machines turned out to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskOutcome {
    /// The task ended, as its agent reported.
    Ended(Exit),
    /// The task is certainly not on its machine: either the epoch of its agent has ended, or
    /// the task is not to run any more and its agent proves that it has not started it.
    Terminated,
}

/// The mutable state of a [`ShardOwner`].
#[derive(Default)]
struct OwnerState {
    /// The agents on the machines of this owner's shards.
    agents: BTreeMap<MachineId, AgentState>,
    /// The shards with which `agents` was last reconciled.
    reconciled_shards: Vec<(ShardId, Revision)>,
    offers: BTreeMap<JobId, PendingOffer>,
    /// Tasks to be stopped in favour of other work, with the attempt to be stopped.
    preempting: BTreeMap<TaskId, Attempt>,
    /// Jobs with results to be committed, and since when.
    pending_results: BTreeMap<JobId, Instant>,
    /// Jobs with recent task failures on this owner's machines.
    failing: FailingJobs,
    /// Since when changes of best-effort array jobs have been waiting for spare writes.
    best_effort_delayed_since: Option<Instant>,
    /// Missing quota of each team for the tasks that were offered to this owner.
    deficit: BTreeMap<TeamName, Quota>,
    /// The outcome of a commit is unknown. Nothing is placed before the quota allocation has
    /// been rewritten: its new revision makes the conditions of a commit that may still be in
    /// flight fail.
    has_commit_in_doubt: bool,
}

impl OwnerState {
    /// Quota of the offered tasks that are not placed yet, by team.
    fn offered_quota(&self, cache: &StateCache) -> BTreeMap<TeamName, Quota> {
        let mut quota_by_team: BTreeMap<TeamName, Quota> = BTreeMap::new();
        for (id, offer) in &self.offers {
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            let Some(spec) = job.spec() else { continue };
            let is_waiting =
                |task: &&u32| job.placement(**task).is_none() && !job.is_task_done(**task);
            let count = offer.tasks.iter().filter(is_waiting).count();
            let quota = Quota::from(&spec.per_task).times(count as f64);
            let sum = quota_by_team.entry(spec.team.clone()).or_default();
            *sum = sum.plus(&quota);
        }
        quota_by_team
    }

    /// Whether the machine itself is probably the cause of the task failures on it.
    fn is_quarantined(&self, agent: &AgentState, now: Instant) -> bool {
        agent
            .failures
            .requires_quarantine(now, |job| self.failing.is_crash_looping(job))
    }
}

/// Sizes of an owner's state, for the log.
pub(super) struct OwnerSizes {
    /// Number of machines with a known agent state.
    pub(super) owned: usize,
    /// Number of jobs with pending offers.
    pub(super) offered: usize,
    /// Number of jobs with results to be committed.
    pub(super) results: usize,
}

/// The owner of the shards that the leader leases to this process.
pub(super) struct ShardOwner {
    context: Arc<Context>,
    quota: Arc<QuotaExchange>,
    state: Mutex<OwnerState>,
    /// Permits for requests that send commands directly to agents.
    commands_in_flight: Semaphore,
}

impl ShardOwner {
    /// An owner without machines, offers or preemptions.
    pub(super) fn new(context: Arc<Context>, quota: Arc<QuotaExchange>) -> Self {
        Self {
            context,
            quota,
            state: Mutex::default(),
            commands_in_flight: Semaphore::new(MAX_COMMANDS_IN_FLIGHT),
        }
    }

    /// Returns the sizes of the owner's state, for the log.
    pub(super) fn sizes(&self) -> OwnerSizes {
        let state = lock(&self.state);
        OwnerSizes {
            owned: state.agents.len(),
            offered: state.offers.len(),
            results: state.pending_results.len(),
        }
    }

    /// Returns the jobs that fail on several machines, with the rest of their backoff.
    pub(super) fn failing_jobs(&self, now: Instant) -> Vec<(JobId, Duration)> {
        lock(&self.state).failing.backing_off(now)
    }

    /// Adds the leader's offers to the pending ones and wakes the loop that places their tasks.
    pub(super) fn accept_offers(&self, offers: Vec<Offer>) {
        let expires_at = Instant::now() + self.context.config.tuning.offer_ttl;
        let mut state = lock(&self.state);
        for offer in offers {
            if state.offers.len() >= MAX_OFFERED_JOBS && !state.offers.contains_key(&offer.job) {
                break;
            }
            let pending = state.offers.entry(offer.job).or_insert(PendingOffer {
                tasks: BTreeSet::new(),
                expires_at,
            });
            pending.tasks.extend(offer.tasks);
            pending.expires_at = expires_at;
        }
        drop(state);
        self.context.owner_wakeup.notify_one();
    }

    /// Marks the tasks as preempted, as far as they are placed, and wakes the loop that stops
    /// them.
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

    /// Returns the state of this owner's machines, for the leader.
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
                reclaim_announced: agent.reclaim_at.is_some(),
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
                freed_resources: cache
                    .machine_loads
                    .get(id)
                    .map(|load| agent.freed_resources(load))
                    .unwrap_or_default(),
            })
            .collect()
    }
}
