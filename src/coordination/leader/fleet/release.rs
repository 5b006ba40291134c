//! Gives machines back, emptied first where they still work.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    coordination::{
        node::{Node, lock},
        policy::placement,
        ports::PeerCall,
    },
    storage::{
        JobKind, MachineId, NodeName, RentName, Resources, Revision, StateCache, TaskId,
        Transaction,
        budget::{Budget, Urgency},
        chance, keys,
        records::{MachineUse, RentalRecord},
    },
};

/// Replicas of younger jobs are not moved.
pub(super) const SETTLED: Duration = Duration::from_secs(45);

/// Marked machines whose replicas' room is looked for in one pass.
const TRIED_AT_ONCE: usize = 3;

/// Names in one call of the cloud.
const RETURNED_AT_ONCE: usize = 100;

impl Node {
    /// Whether the replicas on a machine would fit on the others.
    pub(super) fn can_rehouse(
        &self,
        cache: &StateCache,
        machine: &MachineId,
        except: &BTreeSet<MachineId>,
    ) -> bool {
        let usable = |_: &NodeName, id: &MachineId| {
            (id != machine && !except.contains(id)).then(|| super::super::routing::Usage {
                images: Arc::default(),
                speed: 1.0,
                freed: Resources::default(),
            })
        };
        let mut slots = super::super::routing::open_machines(
            cache,
            &usable,
            self.config.now_ms(),
            self.config.tuning.paid,
        )
        .slots;
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
            let now = (self.config.wall)();
            if spec.spread && spec.tasks > 1 || spec.one_zone || spec.age(now) < SETTLED {
                return false;
            }
            match placement::choose(spec, &slots, 1.0, |_| true) {
                Some(at) => slots[at].put(spec),
                None => return false,
            }
        }
        true
    }

    /// Replicas leave a marked machine once nothing else is on it.
    pub(super) async fn move_replicas(&self) {
        let mut orders: BTreeMap<NodeName, Vec<TaskId>> = BTreeMap::new();
        {
            let cache = self.store.cache();
            let mut state = lock(&self.leader);
            if !state.unplaced.is_empty() {
                return;
            }
            let mut except = state.fleet.refusing.clone();
            except.extend(state.fleet.marked.iter().cloned());
            let mut stuck = Vec::new();
            for id in &state.fleet.marked {
                let Some((_, kept)) = cache.block_of(id) else {
                    continue;
                };
                let Some(load) = cache.on_machine.get(id) else {
                    continue;
                };
                let marked = kept.value.machines.get(id) == Some(&MachineUse::Marked);
                let all_services = load.tasks.values().all(|placed| {
                    placed
                        .spec
                        .as_ref()
                        .is_some_and(|spec| spec.kind == JobKind::Service)
                });
                if !marked || !all_services {
                    continue;
                }
                if !self.can_rehouse(&cache, id, &except) {
                    // Its replicas have no room elsewhere any more.
                    stuck.push(id.clone());
                    if stuck.len() >= TRIED_AT_ONCE {
                        break;
                    }
                    continue;
                }
                tracing::info!(machine = %id, replicas = load.tasks.len(), "its replicas move");
                let tasks = load.tasks.keys().cloned();
                orders
                    .entry(kept.value.node.clone())
                    .or_default()
                    .extend(tasks);
                // One at a time: the next finds the room that this one leaves.
                break;
            }
            for id in stuck {
                state.fleet.marked.remove(&id);
            }
        }
        self.send_preemptions(orders).await;
    }

    pub(super) async fn send_preemptions(&self, mut orders: BTreeMap<NodeName, Vec<TaskId>>) {
        self.add_mates(&mut orders);
        for (node, tasks) in orders {
            if node == self.config.node {
                self.take_preemptions(tasks);
            } else {
                // Unanswered: asked for again as long as it is wanted.
                let _ = self.peers.call(&node, PeerCall::Preempt(tasks)).await;
            }
        }
    }

    /// A gang saves only if all of it is told to stop within `gang_peer_s`.
    fn add_mates(&self, orders: &mut BTreeMap<NodeName, Vec<TaskId>>) {
        let cache = self.store.cache();
        let stopped: Vec<TaskId> = orders.values().flatten().cloned().collect();
        for task in stopped {
            let Some(job) = cache.jobs.get(&task.job) else {
                continue;
            };
            if job.spec().is_none_or(|spec| spec.kind != JobKind::Gang) {
                continue;
            }
            for (index, placement) in job.present_placements() {
                let mate = TaskId::new(task.job.clone(), index);
                if let Some((_, kept)) = cache.block_of(&placement.machine) {
                    let tasks = orders.entry(kept.value.node.clone()).or_default();
                    if !tasks.contains(&mate) {
                        tasks.push(mate);
                    }
                }
            }
        }
    }

    pub(super) fn send_returns(self: &Arc<Self>, budget: &Arc<Budget>) {
        let due: Vec<MachineId> = {
            let cache = self.store.cache();
            let mut state = lock(&self.leader);
            let due: Vec<MachineId> = state
                .returning
                .iter()
                .filter(|(id, item)| {
                    if item.in_flight {
                        return false;
                    }
                    if !item.freezes() {
                        return true;
                    }
                    // Empty for good: frozen by a commit that the cache has passed.
                    cache.block_of(id).is_some_and(|(_, kept)| {
                        kept.revision <= cache.revision
                            && kept.value.machines.get(*id) == Some(&MachineUse::Frozen)
                    }) && !cache.on_machine.contains_key(*id)
                })
                .map(|(id, _)| id.clone())
                .take(RETURNED_AT_ONCE)
                .collect();
            for id in &due {
                if let Some(item) = state.returning.get_mut(id) {
                    item.in_flight = true;
                }
            }
            due
        };
        if due.is_empty() {
            return;
        }
        let node = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            budget.acquire(1.0, Urgency::Fence).await;
            let answer = node.cloud.give_back(&due).await;
            match answer {
                Ok(()) => node.machines_gone(&due).await,
                Err(error) => {
                    tracing::info!(%error, machines = due.len(), "return to be repeated");
                    node.pause(chance::millis(800, 1600)).await;
                }
            }
            let mut state = lock(&node.leader);
            for id in &due {
                if let Some(item) = state.returning.get_mut(id) {
                    item.in_flight = false;
                }
            }
        });
    }

    /// Their return was answered: they and all on them are gone.
    pub(super) async fn machines_gone(&self, machines: &[MachineId]) {
        let parts = {
            let cache = self.store.cache();
            let mut rentals: BTreeMap<&RentName, RentalRecord> = BTreeMap::new();
            for id in machines {
                if let Some(record) = cache.machines.get(id)
                    && let Some(kept) = cache.rentals.get(&record.rental)
                {
                    rentals
                        .entry(&record.rental)
                        .or_insert_with(|| kept.value.clone())
                        .machines
                        .remove(id);
                }
            }
            let rentals: Vec<(&RentName, RentalRecord)> = rentals.into_iter().collect();
            let parts = rentals
                .chunks((self.config.state.txn_ops / 2).max(1))
                .map(|part| {
                    let mut transaction = Transaction::default();
                    for (name, rental) in part {
                        let mark = cache.rentals.get(*name).map_or(Revision(0), |k| k.revision);
                        let key = keys::machines(name);
                        transaction = transaction.require(key.clone(), mark);
                        transaction = if rental.machines.is_empty() {
                            transaction.remove(key)
                        } else {
                            transaction.set(key, rental)
                        };
                    }
                    transaction
                });
            parts.collect::<Vec<_>>()
        };
        {
            let mut state = lock(&self.leader);
            let now = Instant::now();
            state
                .fleet
                .returned
                .extend(machines.iter().map(|id| (id.clone(), now)));
        }
        for transaction in parts {
            if self
                .commit_as_leader(transaction, Urgency::Place)
                .await
                .is_err()
            {
                // They are returned again, which changes nothing, until the
                // records say so.
                self.store.fresh().await;
            }
        }
        tracing::info!(?machines, "returned");
        self.leader_kick.notify_one();
    }
}
