//! Decides which tasks are told to stop ahead of the next heartbeat.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::{OwnerState, ShardOwner};
use crate::{
    coordination::clients::{Command, TaskState},
    storage::{
        ControllerName, JobId, JobKind, JobSpec, MachineId, StateCache, TaskId, records::Placement,
    },
};

/// Before a stop that was not obeyed is sent again directly.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// How long a task may take to save when it is stopped for another reason than
/// its job's cancellation.
pub(super) fn grace(spec: Option<&JobSpec>, cancelled: bool) -> Duration {
    match spec {
        Some(spec) if !cancelled && !spec.checkpoint.is_zero() => spec.save,
        _ => Duration::ZERO,
    }
}

impl ShardOwner {
    /// Tasks to be stopped now, directly rather than with the next answer. `mates`:
    /// those of gangs that other controllers are to stop with them, since a gang
    /// saves only if all of it is told within `gang_peer_s`.
    pub(super) fn collect_stops(
        &self,
        state: &mut OwnerState,
        cache: &StateCache,
        now: Instant,
        remote_gang_members: &mut BTreeMap<ControllerName, Vec<TaskId>>,
    ) -> Vec<(MachineId, Vec<Command>)> {
        let OwnerState {
            agents, preempting, ..
        } = state;
        let mut leaving_gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut wanted: Vec<(TaskId, &Placement)> = Vec::new();
        let pending_cleanup = cache
            .pending_cleanup
            .iter()
            .filter(|id| cache.is_cancelled(id));
        let peer_cancelled = cache
            .peer_cancelled()
            .filter(|id| !cache.pending_cleanup.contains(*id));
        for id in pending_cleanup.chain(peer_cancelled) {
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            for (index, placement) in job.chunks.values().flat_map(|entry| &entry.value.placed) {
                wanted.push((TaskId::new(id.clone(), *index), placement));
            }
        }
        for (task, attempt) in preempting.iter() {
            let job = cache.jobs.get(&task.job);
            if let Some(placement) = job.and_then(|job| job.placement(task.index))
                && placement.attempt == *attempt
            {
                wanted.push((task.clone(), placement));
            }
        }
        // The cloud takes the machine: replicas go to another one before it
        // does, and tasks that can save do so.
        for (machine, agent) in agents.iter() {
            let Some(leaves_at) = agent.leaves_at else {
                continue;
            };
            for (task, placed) in cache.on_machine.get(machine).iter().flat_map(|l| &l.tasks) {
                if let Some(spec) = placed.spec.as_ref().filter(|s| s.kind == JobKind::Gang) {
                    let seen = agent.tasks.get(task);
                    let since = seen.and_then(|seen| seen.running_since);
                    let ends_first = since.is_some_and(|at| at + spec.estimate < leaves_at);
                    let lately = agent.stops_sent.contains_key(task);
                    if !ends_first && !lately && now + spec.save < leaves_at {
                        leaving_gangs.insert(task.job.clone());
                    }
                    continue;
                }
                let leaves = placed.spec.as_ref().is_some_and(|spec| {
                    spec.kind == JobKind::Service
                        || (!spec.checkpoint.is_zero() && now + spec.save < leaves_at)
                });
                if leaves {
                    wanted.push((task.clone(), &placed.placement));
                }
            }
        }
        for id in leaving_gangs {
            let Some(job) = cache.jobs.get(&id) else {
                continue;
            };
            for (index, placement) in job.present_placements() {
                let task = TaskId::new(id.clone(), index);
                if agents.contains_key(&placement.machine) {
                    preempting.insert(task.clone(), placement.attempt);
                    wanted.push((task, placement));
                } else if let Some((_, entry)) = cache.shard_of(&placement.machine) {
                    let there = remote_gang_members
                        .entry(entry.value.controller.clone())
                        .or_default();
                    there.push(task);
                }
            }
        }
        let mut stops: BTreeMap<MachineId, Vec<Command>> = BTreeMap::new();
        for (task, placement) in wanted {
            let Some(agent) = agents.get_mut(&placement.machine) else {
                continue;
            };
            let over = agent.tasks.get(&task).is_some_and(|seen| {
                seen.attempt == placement.attempt && matches!(seen.state, TaskState::Exited(_))
            });
            let lately = agent
                .stops_sent
                .get(&task)
                .is_some_and(|at| now.duration_since(*at) < STOP_RETRY_INTERVAL);
            if over || lately {
                continue;
            }
            agent.stops_sent.insert(task.clone(), now);
            let job = cache.jobs.get(&task.job);
            let cancelled = cache.is_cancelled(&task.job);
            let spec = job.and_then(|job| job.spec()).map(|spec| &**spec);
            stops
                .entry(placement.machine.clone())
                .or_default()
                .push(Command::Stop {
                    task,
                    attempt: placement.attempt,
                    grace: grace(spec, cancelled),
                });
        }
        stops.into_iter().collect()
    }
}
