//! Gives machines back, emptied first where they still work.

use super::*;

/// Replicas of younger jobs are not moved.
pub(super) const SETTLED: Duration = Duration::from_secs(45);

impl Node {
    /// Whether the replicas on a machine would fit on the others.
    pub(super) fn can_rehouse(
        &self,
        book: &Book,
        machine: &MachineId,
        except: &BTreeSet<MachineId>,
    ) -> bool {
        let usable = |_: &NodeName, id: &MachineId| {
            (id != machine && !except.contains(id)).then(|| (Vec::new(), 1.0))
        };
        let mut slots: Vec<placement::Slot> = super::super::routing::open_machines(
            book,
            &usable,
            self.config.now_ms(),
            self.config.tuning.paid,
        )
        .into_iter()
        .map(|open| open.slot)
        .collect();
        for task in book.on_machine.get(machine).into_iter().flatten() {
            let Some(spec) = book.jobs.get(&task.0.job).and_then(|job| job.spec()) else {
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
                Some(at) => slots[at].room -= spec.per_task,
                None => return false,
            }
        }
        true
    }

    /// Replicas leave the marked machine once nothing else is on it.
    pub(super) async fn move_replicas(&self) {
        let (node, tasks) = {
            let book = self.store.book();
            let state = lock(&self.leader);
            let Some(id) = state.fleet.marked.clone() else {
                return;
            };
            let Some((node, kept)) = book.block_of(&id) else {
                return;
            };
            let marked = kept.value.machines.get(&id) == Some(&MachineUse::Marked);
            let tasks: Vec<TaskId> = book
                .on_machine
                .get(&id)
                .into_iter()
                .flat_map(|tasks| tasks.keys().cloned())
                .collect();
            let all_services = tasks.iter().all(|task| {
                book.jobs
                    .get(&task.job)
                    .and_then(|job| job.spec())
                    .is_some_and(|spec| spec.kind == JobKind::Service)
            });
            if !marked
                || tasks.is_empty()
                || !all_services
                || !state.unplaced.is_empty()
                || !self.can_rehouse(&book, &id, &state.fleet.refusing)
            {
                return;
            }
            tracing::info!(machine = %id, replicas = tasks.len(), "its replicas move");
            (node.clone(), tasks)
        };
        if node == self.config.node {
            self.take_preemptions(tasks);
        } else {
            let _ = self.peers.call(&node, PeerCall::Preempt(tasks)).await;
        }
    }

    pub(super) fn send_returns(self: &Arc<Self>, budget: &Arc<Budget>) {
        let due: Vec<MachineId> = {
            let book = self.store.book();
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
                    // Empty for good: frozen by a commit that the book has passed.
                    book.block_of(id).is_some_and(|(_, kept)| {
                        kept.mark <= book.revision
                            && kept.value.machines.get(*id) == Some(&MachineUse::Frozen)
                    }) && !book.on_machine.contains_key(*id)
                })
                .map(|(id, _)| id.clone())
                .take(50)
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
        for part in machines.chunks(self.config.txn_ops) {
            let mut transaction = Transaction::default();
            for id in part {
                transaction = transaction.remove(keys::machine(id));
            }
            if self
                .commit_as_leader(transaction, Urgency::Place)
                .await
                .is_ok()
            {
                tracing::info!(machines = ?part, "returned");
                let mut state = lock(&self.leader);
                for id in part {
                    state.returning.remove(id);
                    state.fleet.returned.insert(id.clone(), Instant::now());
                }
            }
        }
        self.leader_kick.notify_one();
    }
}
