//! The owner of shards: records the results of their tasks, places the tasks that it was
//! offered, and commands their agents.
//!
//! It owns what is known of the agents, the offers and the preemptions; heartbeats and
//! peers' requests change these, and its loop (`round`) acts on them. Whoever needs both
//! locks the cache before the state.

mod candidates;
mod commands;
mod commits;
mod failing_jobs;
mod heartbeats;
mod in_doubt;
mod offered_jobs;
mod placement;
mod planned_changes;
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

/// Jobs with offers that are kept. The leader repeats what is beyond that: a longer wait,
/// no loss. Four passes' worth of its largest.
const MAX_OFFERS: usize = 2_400;
/// Tasks to be stopped that are kept, by the same reasoning.
const MAX_PREEMPTIONS: usize = 2_400;
/// Direct commands under way at a time.
const MAX_COMMANDS_IN_FLIGHT: usize = 64;

/// Tasks of a job that the leader has offered and that are not placed yet.
#[derive(Debug)]
struct PendingOffer {
    tasks: BTreeSet<u32>,
    expires_at: Instant,
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

/// What the owner knows and is to do.
#[derive(Default)]
struct OwnerState {
    /// The agents of our shards' machines.
    agents: BTreeMap<MachineId, AgentState>,
    /// The shards that the agent states were last aligned with.
    aligned: Vec<(ShardId, Revision)>,
    offers: BTreeMap<JobId, PendingOffer>,
    /// Tasks to be stopped for other work, with the attempts that are meant.
    preempting: BTreeMap<TaskId, Attempt>,
    /// Jobs with results to be written, since when.
    results: BTreeMap<JobId, Instant>,
    /// Jobs whose tasks have failed here lately.
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
            let is_waiting =
                |task: &&u32| job.placement(**task).is_none() && !job.is_task_done(**task);
            let count = offer.tasks.iter().filter(is_waiting).count();
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

    /// Takes the leader's offers in, and wakes the loop that places their tasks.
    pub(super) fn accept_offers(&self, offers: Vec<Offer>) {
        let expires_at = Instant::now() + self.context.config.tuning.offer_ttl;
        let mut state = lock(&self.state);
        for offer in offers {
            if state.offers.len() >= MAX_OFFERS && !state.offers.contains_key(&offer.job) {
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

    /// Takes in which tasks are to be stopped for other work, and wakes the loop that does it.
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

    /// What is known of our machines, for the leader.
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
                reclaim_announced: agent.leaves_at.is_some(),
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
}
