//! Finds machines that must go back or elsewhere for a reason of their own.

use super::*;

/// A machine that seems to be gone.
pub(super) struct Suspect {
    pub(super) machine: MachineId,
    pub(super) address: String,
    pub(super) neighbours: Vec<String>,
}

/// A silent machine heard elsewhere this lately is not gone.
pub(super) const SIGHTED: Duration = Duration::from_secs(6);

/// A silent machine that another controller reaches is left alone this long.
pub(super) const FOUND_UP: Duration = Duration::from_secs(3);

/// A suspect machine's tasks are left this long to end by themselves.
pub(super) const EMPTY_AFTER: Duration = Duration::from_secs(15);

/// Machines looked at beside a silent one, to tell a hang from a cut.
pub(super) const NEIGHBOURS: usize = 6;

/// Machines on their way to another block at a time.
pub(super) const MOVES: usize = 2;

impl Node {
    /// Every controller looks at a machine that is silent to its holder: only
    /// one that nobody reaches is returned. If most of its neighbours do not
    /// answer either, that is a cut which the others have not shown yet, since
    /// reports come at different times.
    pub(super) async fn verify_silent(&self, suspect: Suspect) {
        let Suspect {
            machine,
            address,
            neighbours,
        } = suspect;
        let looks = neighbours
            .iter()
            .map(|address| self.workers.inspect(address));
        let others = self.config.peers.iter().map(|(peer, _)| {
            let call = PeerCall::Probe(address.clone());
            async move {
                matches!(
                    self.peers.call(peer, call).await,
                    Ok(PeerAnswer::Probed(true))
                )
            }
        });
        let (own, others, looks) = futures::future::join3(
            self.workers.inspect(&address),
            futures::future::join_all(others),
            futures::future::join_all(looks),
        )
        .await;
        let dark = looks.iter().filter(|look| look.is_err()).count();
        let is_cut = dark * 2 > neighbours.len();
        let now = Instant::now();
        let mut state = lock(&self.leader);
        if own.is_ok() || others.contains(&true) || is_cut {
            tracing::debug!(%machine, is_cut, "silent to its holder, but not gone");
            state.fleet.verifying.insert(machine, now + FOUND_UP);
            return;
        }
        state.fleet.verifying.remove(&machine);
        tracing::info!(%machine, reason = ?Reason::Silent, "to be returned");
        state.returning.insert(
            machine,
            Return {
                reason: Reason::Silent,
                since: now,
                in_flight: false,
            },
        );
    }

    /// Finds machines that must go back for a reason of their own, and the
    /// marked one whose time has come. Returns those that seem to be gone.
    pub(super) fn find_faulty(
        &self,
        book: &Book,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<Suspect> {
        let tuning = &self.config.tuning;
        let now_ms = self.config.now_ms();
        let mut silent = Vec::new();
        let mut refusing = BTreeSet::new();
        let mut unreachable = 0;
        let mut stranded = BTreeMap::new();
        let mut found: Vec<(MachineId, Reason)> = Vec::new();
        state
            .returning
            .retain(|id, _| book.machines.contains_key(id));
        for (node, kept) in &book.blocks {
            for (id, usage) in &kept.value.machines {
                let Some(record) = book.machines.get(id).map(|kept| &kept.value) else {
                    continue;
                };
                let age = Duration::from_millis(now_ms.saturating_sub(record.rented_ms));
                let Some(address) = &record.address else {
                    let boot = book
                        .machine_type(&record.kind)
                        .map_or(Duration::from_secs(60), |kind| kind.boot);
                    if age > boot.mul_f64(2.5) + Duration::from_secs(15) {
                        found.push((id.clone(), Reason::Stuck));
                    }
                    continue;
                };
                if let Some((held, quiet)) = state.held(node, id) {
                    let sighted = state
                        .sighted_by(id)
                        .filter(|(other, age)| *age < SIGHTED && other != node);
                    match sighted {
                        Some((other, _)) if quiet > tuning.silent.mul_f64(0.7) => {
                            stranded.insert(id.clone(), other);
                        }
                        Some(_) => {}
                        None if held.unreachable => {
                            unreachable += usize::from(!record.spot);
                            if quiet > tuning.silent {
                                silent.push((id.clone(), address.clone(), quiet, record.spot));
                            }
                        }
                        None => {}
                    }
                    if held.unreachable || held.suspect || held.leaving || quiet > tuning.silent {
                        refusing.insert(id.clone());
                    }
                    if held.suspect {
                        found.push((id.clone(), Reason::Suspect));
                    }
                }
                let idle = !book.on_machine.contains_key(id);
                if state.fleet.marked.as_ref() == Some(id)
                    && *usage != MachineUse::Open
                    && idle
                    && tuning.paid.left(age) < Duration::from_secs(3)
                {
                    found.push((id.clone(), Reason::Unneeded));
                }
            }
        }
        // One silent machine is a hang, and returning it is the quick proof
        // that its tasks are gone. Many at once are rather a cut, in which they
        // go on working until their leases end; only spot machines are taken in
        // numbers. They cross the threshold one after the other, so all that
        // cannot be reached count.
        let ordinary = book.machines.values().filter(|kept| !kept.value.spot);
        let many = unreachable > 2.max(ordinary.count() / 4);
        let patience = self.config.worker_lease + self.config.worker_report;
        state.fleet.verifying.retain(|_, until| *until > now);
        let mut to_verify = Vec::new();
        for (id, address, quiet, spot) in silent {
            let known = state
                .returning
                .get(&id)
                .is_some_and(|item| item.reason == Reason::Silent);
            if (spot || !many || quiet > patience)
                && !known
                && !state.fleet.verifying.contains_key(&id)
            {
                state.fleet.verifying.insert(id.clone(), now + FOUND_UP);
                let zone = book.machines.get(&id).map(|kept| &kept.value.zone);
                let neighbours = book
                    .machines
                    .iter()
                    .filter(|(other, kept)| {
                        **other != id && !kept.value.spot && Some(&kept.value.zone) == zone
                    })
                    .filter_map(|(_, kept)| kept.value.address.clone())
                    .filter(|_| !spot && quiet <= patience)
                    .take(NEIGHBOURS)
                    .collect();
                to_verify.push(Suspect {
                    machine: id,
                    address,
                    neighbours,
                });
            }
        }
        state.stranded = stranded;
        state.fleet.refusing = refusing;
        for (id, reason) in found {
            if !state.returning.contains_key(&id) {
                tracing::info!(machine = %id, ?reason, "to be returned");
                state.returning.insert(
                    id.clone(),
                    Return {
                        reason,
                        since: now,
                        in_flight: false,
                    },
                );
            }
            if state.fleet.marked.as_ref() == Some(&id) {
                state.fleet.marked = None;
            }
        }
        let gone = |id: &MachineId| !book.machines.contains_key(id);
        if state.fleet.marked.as_ref().is_some_and(gone) {
            state.fleet.marked = None;
        }
        to_verify
    }

    /// Idle machines go to a controller of their own zone, and evenly.
    pub(super) fn rebalance(&self, book: &Book, state: &mut LeaderState, now: Instant) {
        if state.moving.len() >= MOVES {
            return;
        }
        for (node, kept) in &book.blocks {
            if kept.value.holder.is_none() {
                continue;
            }
            let own_zone = book.nodes.get(node).map(|kept| &kept.value.zone);
            for (id, usage) in &kept.value.machines {
                let Some(record) = book.machines.get(id) else {
                    continue;
                };
                if *usage != MachineUse::Open
                    || book.on_machine.contains_key(id)
                    || state.returning.contains_key(id)
                    || state.moving.contains_key(id)
                {
                    continue;
                }
                let zone = &record.value.zone;
                let count = kept.value.machines.len();
                let near = own_zone == Some(zone);
                let better = book
                    .nodes
                    .iter()
                    .filter(|(other, _)| *other != node)
                    .filter_map(|(other, record)| {
                        let theirs = book
                            .blocks
                            .get(other)
                            .map_or(0, |kept| kept.value.machines.len());
                        let nearer = record.value.zone == *zone;
                        ((nearer && !near) || (nearer == near && theirs + 3 <= count))
                            .then_some((theirs, other))
                    })
                    .min();
                if let Some((_, other)) = better {
                    tracing::debug!(machine = %id, from = %node, to = %other, "moves");
                    state.moving.insert(id.clone(), (other.clone(), now));
                    if state.moving.len() >= MOVES {
                        return;
                    }
                }
            }
        }
    }

    /// Suspect machines that do not empty by themselves are cleared.
    pub(super) async fn empty_suspects(&self) {
        let mut orders: BTreeMap<NodeName, Vec<TaskId>> = BTreeMap::new();
        {
            let book = self.store.book();
            let state = lock(&self.leader);
            for (id, item) in &state.returning {
                if item.reason != Reason::Suspect || item.since.elapsed() < EMPTY_AFTER {
                    continue;
                }
                if let (Some(tasks), Some((node, _))) = (book.on_machine.get(id), book.block_of(id))
                {
                    orders
                        .entry(node.clone())
                        .or_default()
                        .extend(tasks.keys().cloned());
                }
            }
        }
        for (node, tasks) in orders {
            if node == self.config.node {
                self.take_preemptions(tasks);
            } else {
                let _ = self.peers.call(&node, PeerCall::Preempt(tasks)).await;
            }
        }
    }
}
