//! Releases machines, emptied first where they still work.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::{clients::PeerRequest, context::lock, leader::Leader, policy::placement},
    storage::{
        ControllerName, JobKind, MachineId, ProvisionId, Resources, Revision, StateCache, TaskId,
        Transaction, jitter, keys,
        rate_limiter::{RateLimiter, RequestPriority},
        records::{MachineGroupRecord, MachineUse},
    },
};

/// Replicas of younger jobs are not moved.
pub(super) const MIN_AGE_TO_MOVE: Duration = Duration::from_secs(45);

/// Draining machines whose replicas' room is looked for in one pass.
const TRIED_AT_ONCE: usize = 3;

/// Names in one call of the cloud.
const MAX_MACHINES_PER_RELEASE: usize = 100;

impl Leader {
    /// Whether the replicas on a machine would fit on the others.
    pub(super) fn can_relocate_replicas(
        &self,
        cache: &StateCache,
        machine: &MachineId,
        except: &BTreeSet<MachineId>,
    ) -> bool {
        let usable = |_: &ControllerName, id: &MachineId| {
            (id != machine && !except.contains(id)).then(|| super::super::routing::UsableMachine {
                images: Arc::default(),
                speed: 1.0,
                freed: Resources::default(),
            })
        };
        let mut candidates = super::super::routing::candidate_machines(
            cache,
            &usable,
            self.context.config.now_ms(),
            self.context.config.tuning.paid,
        )
        .candidates;
        for placed in cache
            .on_machine
            .get(machine)
            .iter()
            .flat_map(|load| load.tasks.values())
        {
            let Some(spec) = &placed.spec else {
                return false;
            };
            if spec.kind != JobKind::Service {
                continue;
            }
            let now = (self.context.config.wall)();
            if spec.spread && spec.tasks > 1 || spec.one_zone || spec.age(now) < MIN_AGE_TO_MOVE {
                return false;
            }
            match placement::choose(spec, &candidates, 1.0, |_| true) {
                Some(at) => candidates[at].put(spec),
                None => return false,
            }
        }
        true
    }

    /// Replicas leave a draining machine once nothing else is on it.
    pub(super) async fn move_replicas(&self) {
        let mut preemptions: BTreeMap<ControllerName, Vec<TaskId>> = BTreeMap::new();
        {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            if !state.unplaced.is_empty() {
                return;
            }
            let mut except = state.fleet.refusing.clone();
            except.extend(state.fleet.draining_machines.iter().cloned());
            let mut stuck = Vec::new();
            for id in &state.fleet.draining_machines {
                let Some((_, entry)) = cache.shard_of(id) else {
                    continue;
                };
                let Some(load) = cache.on_machine.get(id) else {
                    continue;
                };
                let marked = entry.value.machines.get(id) == Some(&MachineUse::Draining);
                let all_services = load.tasks.values().all(|placed| {
                    placed
                        .spec
                        .as_ref()
                        .is_some_and(|spec| spec.kind == JobKind::Service)
                });
                if !marked || !all_services {
                    continue;
                }
                if !self.can_relocate_replicas(&cache, id, &except) {
                    // Its replicas have no room elsewhere any more.
                    stuck.push(id.clone());
                    if stuck.len() >= TRIED_AT_ONCE {
                        break;
                    }
                    continue;
                }
                tracing::info!(machine = %id, replicas = load.tasks.len(), "moving replicas off a draining machine");
                let tasks = load.tasks.keys().cloned();
                preemptions
                    .entry(entry.value.controller.clone())
                    .or_default()
                    .extend(tasks);
                // One at a time: the next finds the room that this one leaves.
                break;
            }
            for id in stuck {
                state.fleet.draining_machines.remove(&id);
            }
        }
        self.send_preemptions(preemptions).await;
    }

    pub(super) async fn send_preemptions(
        &self,
        mut preemptions: BTreeMap<ControllerName, Vec<TaskId>>,
    ) {
        self.add_mates(&mut preemptions);
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
    fn add_mates(&self, preemptions: &mut BTreeMap<ControllerName, Vec<TaskId>>) {
        let cache = self.context.store.cache();
        let stopped: Vec<TaskId> = preemptions.values().flatten().cloned().collect();
        for task in stopped {
            let Some(job) = cache.jobs.get(&task.job) else {
                continue;
            };
            if job.spec().is_none_or(|spec| spec.kind != JobKind::Gang) {
                continue;
            }
            for (index, placement) in job.present_placements() {
                let mate = TaskId::new(task.job.clone(), index);
                if let Some((_, entry)) = cache.shard_of(&placement.machine) {
                    let tasks = preemptions
                        .entry(entry.value.controller.clone())
                        .or_default();
                    if !tasks.contains(&mate) {
                        tasks.push(mate);
                    }
                }
            }
        }
    }

    pub(super) fn send_releases(self: &Arc<Self>, budget: &Arc<RateLimiter>) {
        let due: Vec<MachineId> = {
            let cache = self.context.store.cache();
            let mut state = lock(&self.state);
            let due: Vec<MachineId> = state
                .releasing
                .iter()
                .filter(|(id, item)| {
                    if item.in_flight {
                        return false;
                    }
                    if !item.drains_first() {
                        return true;
                    }
                    // Empty for good: cordoned by a commit that the cache has passed.
                    cache.shard_of(id).is_some_and(|(_, entry)| {
                        entry.revision <= cache.revision
                            && entry.value.machines.get(*id) == Some(&MachineUse::Cordoned)
                    }) && !cache.on_machine.contains_key(*id)
                })
                .map(|(id, _)| id.clone())
                .take(MAX_MACHINES_PER_RELEASE)
                .collect();
            for id in &due {
                if let Some(item) = state.releasing.get_mut(id) {
                    item.in_flight = true;
                }
            }
            due
        };
        if due.is_empty() {
            return;
        }
        let leader = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            budget.acquire(1.0, RequestPriority::Fencing).await;
            let answer = leader.context.cloud.release(&due).await;
            match answer {
                Ok(()) => leader.record_terminated(&due).await,
                Err(error) => {
                    tracing::info!(%error, machines = due.len(), "release to be retried");
                    leader.context.pause(jitter::millis(800, 1600)).await;
                }
            }
            let mut state = lock(&leader.state);
            for id in &due {
                if let Some(item) = state.releasing.get_mut(id) {
                    item.in_flight = false;
                }
            }
        });
    }

    /// Their return was answered: they and all on them are gone.
    pub(super) async fn record_terminated(&self, machines: &[MachineId]) {
        let parts = {
            let cache = self.context.store.cache();
            let mut groups: BTreeMap<&ProvisionId, MachineGroupRecord> = BTreeMap::new();
            for id in machines {
                if let Some(record) = cache.machines.get(id)
                    && let Some(entry) = cache.machine_groups.get(&record.machine_group)
                {
                    groups
                        .entry(&record.machine_group)
                        .or_insert_with(|| entry.value.clone())
                        .machines
                        .remove(id);
                }
            }
            let groups: Vec<(&ProvisionId, MachineGroupRecord)> = groups.into_iter().collect();
            let parts = groups
                .chunks((self.context.config.state.txn_ops / 2).max(1))
                .map(|part| {
                    let mut transaction = Transaction::default();
                    for (name, group) in part {
                        let revision = cache
                            .machine_groups
                            .get(*name)
                            .map_or(Revision(0), |k| k.revision);
                        let key = keys::machine_group(name);
                        transaction = transaction.require(key.clone(), revision);
                        transaction = if group.machines.is_empty() {
                            transaction.remove(key)
                        } else {
                            transaction.set(key, group)
                        };
                    }
                    transaction
                });
            parts.collect::<Vec<_>>()
        };
        {
            let mut state = lock(&self.state);
            let now = Instant::now();
            state
                .fleet
                .released
                .extend(machines.iter().map(|id| (id.clone(), now)));
        }
        for transaction in parts {
            if self
                .commit_as_leader(transaction, RequestPriority::Placement)
                .await
                .is_err()
            {
                // They are returned again, which changes nothing, until the
                // records say so.
                self.context.store.read_barrier().await;
            }
        }
        tracing::info!(?machines, "machines released");
        self.context.leader_wakeup.notify_one();
    }
}
