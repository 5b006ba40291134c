//! Empties machines that are to be released: replicas move off draining machines, and
//! quarantined machines that do not empty by themselves are cleared.
//!
//! The tasks' owners are asked to preempt them. What is not answered is asked for again in a
//! later pass of the fleet manager, as long as it is wanted.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{FleetState, ReleaseReason, draining::is_replica};
use crate::{
    coordination::{
        clients::PeerRequest,
        context::lock,
        leader::{
            Leader,
            routing::{FreeCapacity, UsableMachine, candidate_machines},
        },
        policy::placement,
    },
    storage::{
        ControllerName, JobKind, JobSpec, MachineId, Resources, StateCache, TaskId,
        records::{MachineUse, ShardRecord},
        state_cache::MachineLoad,
    },
};

/// Replicas of younger jobs are not moved.
const MIN_AGE_TO_MOVE: Duration = Duration::from_secs(45);

/// Draining machines whose replicas' room is looked for in one pass.
const MAX_STUCK_PER_PASS: usize = 3;

/// A quarantined machine's tasks are left this long to end by themselves.
const QUARANTINE_EVICTION_DELAY: Duration = Duration::from_secs(15);

/// Speed of a machine, and run time of a task, that are not known to differ from the usual.
const USUAL: f64 = 1.0;

/// Tasks to preempt, by the owner of their machine.
type Preemptions = BTreeMap<ControllerName, Vec<TaskId>>;

/// What is to be done about the replicas on draining machines.
#[derive(Default)]
struct ReplicaMoves {
    preemptions: Preemptions,
    /// Machines whose replicas have no room elsewhere any more.
    stuck: Vec<MachineId>,
}

impl FleetState {
    /// Machines that no replica is to be moved to.
    pub(super) fn unavailable_machines(&self) -> BTreeSet<MachineId> {
        let draining = self.draining_machines.iter();
        self.refusing.iter().chain(draining).cloned().collect()
    }
}

impl Leader {
    /// Quarantined machines that do not empty by themselves are cleared.
    pub(super) async fn evict_quarantined(&self) {
        let mut preemptions = Preemptions::new();
        {
            let cache = self.context.store.cache();
            let state = lock(&self.state);
            for (id, release) in &state.releasing {
                if release.reason() != ReleaseReason::Quarantined
                    || release.since().elapsed() < QUARANTINE_EVICTION_DELAY
                {
                    continue;
                }
                if let (Some(load), Some((_, entry))) =
                    (cache.on_machine.get(id), cache.shard_of(id))
                {
                    preempt_all(&mut preemptions, &entry.value, load);
                }
            }
        }
        self.send_preemptions(preemptions).await;
    }

    /// Replicas leave a draining machine once nothing else is on it.
    pub(super) async fn move_replicas(&self) {
        let preemptions = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            if !state.unplaced.is_empty() {
                return;
            }
            let moves = self.plan_replica_moves(&cache, &state.fleet);
            for id in moves.stuck {
                state.fleet.draining_machines.remove(&id);
            }
            moves.preemptions
        };
        self.send_preemptions(preemptions).await;
    }

    fn plan_replica_moves(&self, cache: &StateCache, fleet: &FleetState) -> ReplicaMoves {
        let unavailable = fleet.unavailable_machines();
        let mut moves = ReplicaMoves::default();
        for id in fleet.draining_machines.iter() {
            let Some((_, entry)) = cache.shard_of(id) else {
                continue;
            };
            let Some(load) = cache.on_machine.get(id) else {
                continue;
            };
            if !is_marked_draining(&entry.value, id) || !load.tasks.values().all(is_replica) {
                continue;
            }
            if !self.can_relocate_replicas(cache, id, &unavailable) {
                moves.stuck.push(id.clone());
                if moves.stuck.len() >= MAX_STUCK_PER_PASS {
                    break;
                }
                continue;
            }
            tracing::info!(machine = %id, replicas = load.tasks.len(), "moving replicas off a draining machine");
            preempt_all(&mut moves.preemptions, &entry.value, load);
            // One at a time: the next finds the room that this one leaves.
            break;
        }
        moves
    }

    /// Whether the replicas on a machine would fit on the others.
    pub(super) fn can_relocate_replicas(
        &self,
        cache: &StateCache,
        machine: &MachineId,
        unavailable: &BTreeSet<MachineId>,
    ) -> bool {
        let mut candidates = self.capacity_beside(cache, machine, unavailable).candidates;
        let tasks = cache
            .on_machine
            .get(machine)
            .into_iter()
            .flat_map(|load| load.tasks.values());
        for placed in tasks {
            let Some(spec) = &placed.spec else {
                return false;
            };
            if spec.kind != JobKind::Service {
                continue;
            }
            if !self.may_move_replica(spec) {
                return false;
            }
            match placement::best_candidate(spec, &candidates, USUAL, |_| true) {
                Some(index) => candidates[index].place_task(spec),
                None => return false,
            }
        }
        true
    }

    /// What is free on the other machines that replicas may be moved to.
    fn capacity_beside(
        &self,
        cache: &StateCache,
        machine: &MachineId,
        unavailable: &BTreeSet<MachineId>,
    ) -> FreeCapacity {
        let usable = |_: &ControllerName, id: &MachineId| {
            (id != machine && !unavailable.contains(id)).then(|| UsableMachine {
                images: Arc::default(),
                speed: USUAL,
                freed: Resources::default(),
            })
        };
        candidate_machines(
            cache,
            &usable,
            self.context.config.now_ms(),
            self.context.config.tuning.paid_periods,
        )
    }

    /// Whether a replica of the job may be stopped to run elsewhere: neither its zone nor the
    /// machines of the job's other replicas matter, and the job is not young.
    fn may_move_replica(&self, spec: &JobSpec) -> bool {
        let now = (self.context.config.wall)();
        let is_spread = spec.spread && spec.tasks > 1;
        !is_spread && !spec.one_zone && spec.age(now) >= MIN_AGE_TO_MOVE
    }

    async fn send_preemptions(&self, mut preemptions: Preemptions) {
        self.add_gang_members(&mut preemptions);
        for (controller, tasks) in preemptions {
            if controller == self.context.config.name {
                self.owner.accept_preemptions(tasks);
            } else {
                // Unanswered: asked for again as long as it is wanted.
                let _ = self
                    .context
                    .peers
                    .call(&controller, PeerRequest::Preempt(tasks))
                    .await;
            }
        }
    }

    /// A gang saves only if all of it is told to stop within `gang_peer_s`.
    fn add_gang_members(&self, preemptions: &mut Preemptions) {
        let cache = self.context.store.cache();
        let preempted: Vec<TaskId> = preemptions.values().flatten().cloned().collect();
        for task in preempted {
            let Some(job) = cache.jobs.get(&task.job) else {
                continue;
            };
            if job.spec().is_none_or(|spec| spec.kind != JobKind::Gang) {
                continue;
            }
            for (index, placement) in job.present_placements() {
                let member = TaskId::new(task.job.clone(), index);
                if let Some((_, entry)) = cache.shard_of(&placement.machine) {
                    let tasks = preemptions
                        .entry(entry.value.controller.clone())
                        .or_default();
                    if !tasks.contains(&member) {
                        tasks.push(member);
                    }
                }
            }
        }
    }
}

/// Adds all tasks on a machine of the shard.
fn preempt_all(preemptions: &mut Preemptions, shard: &ShardRecord, load: &MachineLoad) {
    preemptions
        .entry(shard.controller.clone())
        .or_default()
        .extend(load.tasks.keys().cloned());
}

/// Whether the shard's record says that the machine is draining.
fn is_marked_draining(shard: &ShardRecord, machine: &MachineId) -> bool {
    shard.machines.get(machine) == Some(&MachineUse::Draining)
}
