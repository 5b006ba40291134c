//! Empties machines that are to be released: moves service replicas off draining machines, and
//! preempts the tasks that remain on quarantined machines.
//!
//! The owners of the machines are asked to preempt the tasks. A request that is not answered is
//! repeated by a later pass of the fleet manager for as long as it is needed.

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

/// Minimum age of a job whose replicas are moved.
const MIN_AGE_TO_MOVE: Duration = Duration::from_secs(45);

/// A pass stops its search for replicas to move once it has found this many draining machines whose
/// replicas cannot be moved.
const MAX_BLOCKED_PER_PASS: usize = 3;

/// Time after the release of a quarantined machine was decided during which its tasks may end
/// before they are preempted.
const QUARANTINE_EVICTION_DELAY: Duration = Duration::from_secs(15);

/// Relative speed of a machine, and relative run time of a task, when neither is known.
const NOMINAL_RATIO: f64 = 1.0;

/// Tasks to preempt, grouped by the owner of their machine.
type Preemptions = BTreeMap<ControllerName, Vec<TaskId>>;

/// The decisions of one pass about the replicas on draining machines.
#[derive(Default)]
struct ReplicaMoves {
    preemptions: Preemptions,
    /// Machines whose replicas cannot be moved, which therefore stop draining.
    blocked: Vec<MachineId>,
}

impl FleetState {
    /// Returns the machines to which no replica may be moved.
    pub(super) fn unavailable_machines(&self) -> BTreeSet<MachineId> {
        let draining = self.draining_machines.iter();
        self.unusable_machines
            .iter()
            .chain(draining)
            .cloned()
            .collect()
    }
}

impl Leader {
    /// Preempts all tasks on quarantined machines that are still not empty
    /// [`QUARANTINE_EVICTION_DELAY`] after their release was decided.
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
                    (cache.machine_loads.get(id), cache.shard_of(id))
                {
                    preempt_all(&mut preemptions, &entry.value, load);
                }
            }
        }
        self.send_preemptions(preemptions).await;
    }

    /// Moves the replicas off a draining machine that runs nothing else, unless tasks wait for
    /// capacity. Machines whose replicas cannot be moved stop draining.
    pub(super) async fn move_replicas(&self) {
        let preemptions = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            if !state.unplaced.is_empty() {
                return;
            }
            let moves = self.plan_replica_moves(&cache, &state.fleet);
            for id in moves.blocked {
                state.fleet.draining_machines.remove(&id);
            }
            moves.preemptions
        };
        self.send_preemptions(preemptions).await;
    }

    /// Selects the replicas to preempt, of at most one machine.
    fn plan_replica_moves(&self, cache: &StateCache, fleet: &FleetState) -> ReplicaMoves {
        let unavailable = fleet.unavailable_machines();
        let mut moves = ReplicaMoves::default();
        for id in fleet.draining_machines.iter() {
            let Some((_, entry)) = cache.shard_of(id) else {
                continue;
            };
            let Some(load) = cache.machine_loads.get(id) else {
                continue;
            };
            if !is_marked_draining(&entry.value, id) || !load.tasks.values().all(is_replica) {
                continue;
            }
            if !self.can_relocate_replicas(cache, id, &unavailable) {
                moves.blocked.push(id.clone());
                if moves.blocked.len() >= MAX_BLOCKED_PER_PASS {
                    break;
                }
                continue;
            }
            tracing::info!(machine = %id, replicas = load.tasks.len(), "moving replicas off a draining machine");
            preempt_all(&mut moves.preemptions, &entry.value, load);
            // Only one machine per pass, so that the next is checked against the free capacity that
            // is left after this one's replicas have moved.
            break;
        }
        moves
    }

    /// Returns whether all replicas on a machine may be moved and fit on other machines.
    pub(super) fn can_relocate_replicas(
        &self,
        cache: &StateCache,
        machine: &MachineId,
        unavailable: &BTreeSet<MachineId>,
    ) -> bool {
        let mut candidates = self
            .free_capacity_elsewhere(cache, machine, unavailable)
            .candidates;
        let tasks = cache
            .machine_loads
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
            match placement::best_candidate(spec, &candidates, NOMINAL_RATIO, |_| true) {
                Some(index) => candidates[index].place_task(spec),
                None => return false,
            }
        }
        true
    }

    /// Returns the free capacity of all other machines to which replicas may be moved.
    fn free_capacity_elsewhere(
        &self,
        cache: &StateCache,
        machine: &MachineId,
        unavailable: &BTreeSet<MachineId>,
    ) -> FreeCapacity {
        let usable = |_: &ControllerName, id: &MachineId| {
            (id != machine && !unavailable.contains(id)).then(|| UsableMachine {
                images: Arc::default(),
                speed: NOMINAL_RATIO,
                freed_resources: Resources::default(),
            })
        };
        candidate_machines(
            cache,
            &usable,
            self.context.config.now_ms(),
            self.context.config.tuning.paid_periods,
        )
    }

    /// Returns whether a replica of the job may be stopped to run elsewhere: its placement does
    /// not depend on a zone or on the job's other replicas, and the job has reached
    /// [`MIN_AGE_TO_MOVE`].
    fn may_move_replica(&self, spec: &JobSpec) -> bool {
        let now = (self.context.config.wall_clock)();
        let is_spread = spec.spread && spec.tasks > 1;
        !is_spread && !spec.one_zone && spec.age(now) >= MIN_AGE_TO_MOVE
    }

    /// Asks the owners of the tasks' machines to preempt the tasks and the other members of their
    /// gangs.
    async fn send_preemptions(&self, mut preemptions: Preemptions) {
        self.add_gang_members(&mut preemptions);
        for (controller, tasks) in preemptions {
            if controller == self.context.config.name {
                self.owner.accept_preemptions(tasks);
            } else {
                // A request without a response is repeated by a later pass if it is still needed.
                let _ = self
                    .context
                    .peers
                    .call(&controller, PeerRequest::Preempt(tasks))
                    .await;
            }
        }
    }

    /// Adds the other members of each gang of which a task is preempted, because a gang saves its
    /// progress only if all of its members receive the stop within the agents' timeout
    /// `gang_peer_s`.
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

/// Adds the preemption of all tasks on a machine of the shard.
fn preempt_all(preemptions: &mut Preemptions, shard: &ShardRecord, load: &MachineLoad) {
    preemptions
        .entry(shard.controller.clone())
        .or_default()
        .extend(load.tasks.keys().cloned());
}

/// Returns whether the machine is marked as draining in the shard's record.
fn is_marked_draining(shard: &ShardRecord, machine: &MachineId) -> bool {
    shard.machines.get(machine) == Some(&MachineUse::Draining)
}
