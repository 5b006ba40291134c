//! Chooses the tasks to which a stop is sent directly, before their agents' next heartbeats:
//! tasks of cancelled jobs, preempted tasks, and tasks on machines that the cloud is about to
//! reclaim.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{OwnerState, ShardOwner};
use crate::{
    coordination::{
        agent_state::AgentState,
        clients::{Command, TaskState},
    },
    storage::{
        Attempt, ControllerName, JobId, JobKind, JobSpec, MachineId, StateCache, TaskId,
        records::Placement,
        state_cache::{Job, PlacedTask},
    },
};

/// How long after a direct stop it is sent again if the task has not ended.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Returns how long a task may take to save a checkpoint when it is stopped. It is zero if the
/// job is cancelled, takes no checkpoints, or has no known spec.
pub(super) fn stop_grace_period(spec: Option<&JobSpec>, cancelled: bool) -> Duration {
    match spec {
        Some(spec) if !cancelled && !spec.checkpoint.is_zero() => spec.save,
        _ => Duration::ZERO,
    }
}

/// The stops of a round that are sent directly rather than in responses to heartbeats.
pub(super) struct PlannedStops {
    /// Stop commands for this owner's machines.
    pub(super) commands: BTreeMap<MachineId, Vec<Command>>,
    /// Gang members that other controllers are to stop together with those on this owner's
    /// machines: a gang can save a checkpoint only if all of its tasks get the stop within the
    /// agents' timeout `gang_peer_s`.
    pub(super) remote_gang_members: BTreeMap<ControllerName, Vec<TaskId>>,
}

/// A placed task that is to stop.
struct StopTarget<'a> {
    task: TaskId,
    placement: &'a Placement,
}

/// Returns all placed tasks of a job.
fn placed_tasks<'a>(id: &'a JobId, job: &'a Job) -> impl Iterator<Item = StopTarget<'a>> {
    let placed = job
        .run_records
        .values()
        .flat_map(|entry| &entry.value.placed);
    placed.map(|(index, placement)| StopTarget {
        task: TaskId::new(id.clone(), *index),
        placement,
    })
}

/// Returns the placed tasks of jobs that are cancelled according to their records or to a
/// peer.
fn cancelled_tasks(cache: &StateCache) -> impl Iterator<Item = StopTarget<'_>> {
    let pending_cleanup = cache
        .pending_cleanup
        .iter()
        .filter(|id| cache.is_cancelled(id));
    let peer_cancelled = cache
        .peer_cancelled()
        .filter(|id| !cache.pending_cleanup.contains(*id));
    pending_cleanup
        .chain(peer_cancelled)
        .filter_map(|id| Some((id, cache.jobs.get(id)?)))
        .flat_map(|(id, job)| placed_tasks(id, job))
}

/// Returns the preempted tasks that are still placed with the preempted attempt.
fn preempted_tasks<'a>(
    cache: &'a StateCache,
    preempting: &BTreeMap<TaskId, Attempt>,
) -> impl Iterator<Item = StopTarget<'a>> {
    preempting.iter().filter_map(|(task, attempt)| {
        let placement = cache.jobs.get(&task.job)?.placement(task.index)?;
        (placement.attempt == *attempt).then(|| StopTarget {
            task: task.clone(),
            placement,
        })
    })
}

/// A machine that the cloud is about to reclaim.
struct ReclaimedMachine<'agents, 'cache> {
    agent: &'agents AgentState,
    reclaim_at: Instant,
    tasks: &'cache BTreeMap<TaskId, PlacedTask>,
}

fn reclaimed_machines<'agents, 'cache>(
    agents: &'agents BTreeMap<MachineId, AgentState>,
    cache: &'cache StateCache,
) -> impl Iterator<Item = ReclaimedMachine<'agents, 'cache>> {
    agents.iter().filter_map(|(machine, agent)| {
        Some(ReclaimedMachine {
            agent,
            reclaim_at: agent.reclaim_at?,
            tasks: &cache.machine_loads.get(machine)?.tasks,
        })
    })
}

impl<'cache> ReclaimedMachine<'_, 'cache> {
    /// Returns the tasks to be stopped before the cloud reclaims the machine: replicas of
    /// services, which are placed on another machine, and array tasks that still have the
    /// time to save a checkpoint. Gangs are stopped as a whole, see [`Self::gangs_to_stop`].
    fn tasks_to_stop(&self, now: Instant) -> impl Iterator<Item = StopTarget<'cache>> {
        let reclaim_at = self.reclaim_at;
        self.tasks.iter().filter_map(move |(task, placed)| {
            let spec = placed.spec.as_ref()?;
            let must_stop = match spec.kind {
                JobKind::Gang => false,
                JobKind::Service => true,
                JobKind::Array => !spec.checkpoint.is_zero() && now + spec.save < reclaim_at,
            };
            must_stop.then(|| StopTarget {
                task: task.clone(),
                placement: &placed.placement,
            })
        })
    }

    /// Returns the gangs that have a task on this machine which is not expected to end before
    /// the cloud reclaims it, as long as there is time to save a checkpoint.
    fn gangs_to_stop(&self, now: Instant) -> impl Iterator<Item = JobId> {
        self.tasks.iter().filter_map(move |(task, placed)| {
            let spec = placed.spec.as_ref()?;
            if spec.kind != JobKind::Gang {
                return None;
            }
            let observed = self.agent.tasks.get(task);
            let running_since = observed.and_then(|observed| observed.running_since);
            let ends_first = running_since.is_some_and(|at| at + spec.estimate < self.reclaim_at);
            let is_stop_sent = self.agent.stops_sent.contains_key(task);
            let can_save = now + spec.save < self.reclaim_at;
            (!ends_first && !is_stop_sent && can_save).then(|| task.job.clone())
        })
    }
}

impl ShardOwner {
    /// Returns the stops to be sent directly now. Marks the gangs to be stopped on machines
    /// that the cloud is about to reclaim as preempted.
    pub(super) fn collect_stops(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        now: Instant,
    ) -> PlannedStops {
        let OwnerState {
            agents, preempting, ..
        } = state;
        let mut targets: Vec<StopTarget<'_>> = cancelled_tasks(cache).collect();
        targets.extend(preempted_tasks(cache, preempting));
        let mut gangs_to_stop: BTreeSet<JobId> = BTreeSet::new();
        for machine in reclaimed_machines(agents, cache) {
            targets.extend(machine.tasks_to_stop(now));
            gangs_to_stop.extend(machine.gangs_to_stop(now));
        }
        let mut remote_gang_members: BTreeMap<ControllerName, Vec<TaskId>> = BTreeMap::new();
        for id in gangs_to_stop {
            let Some(job) = cache.jobs.get(&id) else {
                continue;
            };
            for (index, placement) in job.present_placements() {
                let task = TaskId::new(id.clone(), index);
                if agents.contains_key(&placement.machine) {
                    preempting.insert(task.clone(), placement.attempt);
                    targets.push(StopTarget { task, placement });
                } else if let Some((_, entry)) = cache.shard_of(&placement.machine) {
                    remote_gang_members
                        .entry(entry.value.controller.clone())
                        .or_default()
                        .push(task);
                }
            }
        }
        PlannedStops {
            commands: stop_commands(agents, cache, targets, now),
            remote_gang_members,
        }
    }
}

/// Returns stop commands for the targets on this owner's machines that are not over, except
/// those to which a stop was sent recently.
fn stop_commands(
    agents: &mut BTreeMap<MachineId, AgentState>,
    cache: &StateCache,
    targets: Vec<StopTarget<'_>>,
    now: Instant,
) -> BTreeMap<MachineId, Vec<Command>> {
    let mut commands: BTreeMap<MachineId, Vec<Command>> = BTreeMap::new();
    for StopTarget { task, placement } in targets {
        let Some(agent) = agents.get_mut(&placement.machine) else {
            continue;
        };
        let is_over = agent.tasks.get(&task).is_some_and(|observed| {
            observed.attempt == placement.attempt && matches!(observed.state, TaskState::Exited(_))
        });
        let is_stop_recent = agent
            .stops_sent
            .get(&task)
            .is_some_and(|sent_at| now.duration_since(*sent_at) < STOP_RETRY_INTERVAL);
        if is_over || is_stop_recent {
            continue;
        }
        agent.stops_sent.insert(task.clone(), now);
        let spec = cache.jobs.get(&task.job).and_then(|job| job.spec());
        let grace = stop_grace_period(spec.map(|spec| &**spec), cache.is_cancelled(&task.job));
        commands
            .entry(placement.machine.clone())
            .or_default()
            .push(Command::Stop {
                task,
                attempt: placement.attempt,
                grace,
            });
    }
    commands
}
