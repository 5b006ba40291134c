//! The leader's work: blocks and budgets, routing, renting and giving back.

pub mod blocks;
pub mod fleet;
pub mod routing;
pub mod stats;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    node::{Node, lock},
    ports::*,
};
use crate::storage::{budget::Urgency, client::GrantId, keys, records::*, *};

/// A status older than this says nothing about now.
const STATUS_LIFE: Duration = Duration::from_secs(4);

#[derive(Default)]
pub struct LeaderState {
    grant: Option<GrantId>,
    since: Option<Instant>,
    statuses: HashMap<NodeName, (Instant, Status)>,
    offered: routing::Offered,
    clearing: routing::Clearing,
    unplaced: Vec<routing::Unplaced>,
    short: BTreeMap<(NodeName, TeamName), Quota>,
    moving: BTreeMap<MachineId, (NodeName, Instant)>,
    pub(super) returning: BTreeMap<MachineId, fleet::Return>,
    stranded: BTreeMap<MachineId, NodeName>,
    stats: stats::Stats,
    pub(super) fleet: fleet::FleetState,
    /// The outcome of a commit is unknown: our record is written anew, which
    /// voids it, before anything else is decided.
    refence: bool,
}

impl LeaderState {
    pub(super) fn reset(&mut self, _mark: Revision, grant: GrantId) {
        let statuses = std::mem::take(&mut self.statuses);
        *self = Self {
            grant: Some(grant),
            since: Some(Instant::now()),
            statuses,
            ..Self::default()
        };
    }

    pub(super) fn take_status(&mut self, status: Status, at: Instant) {
        self.statuses.insert(status.node.clone(), (at, status));
    }

    /// What a holder says of a machine of its.
    fn held(&self, node: &NodeName, machine: &MachineId) -> Option<(&HeldMachine, Duration)> {
        let (at, status) = self.statuses.get(node)?;
        let held = status.held.iter().find(|held| held.machine == *machine)?;
        (at.elapsed() < STATUS_LIFE).then(|| (held, held.silent + at.elapsed()))
    }

    /// Other controllers that hear the machine's worker, the latest first.
    fn sighted_by(&self, machine: &MachineId) -> Option<(NodeName, Duration)> {
        self.statuses
            .iter()
            .filter(|(_, (at, _))| at.elapsed() < STATUS_LIFE)
            .filter_map(|(node, (at, status))| {
                let seen = status.sightings.iter().find(|s| s.machine == *machine)?;
                Some((node.clone(), seen.age + at.elapsed()))
            })
            .min_by_key(|(_, age)| *age)
    }
}

impl Node {
    /// Duty: the leader's quick loop. On a node that does not lead it waits.
    pub(super) async fn lead(self: &Arc<Self>) {
        let mut changes = self.store.changes();
        while !self.stop.is_cancelled() {
            tokio::select! {
                _ = self.stop.cancelled() => return,
                _ = changes.changed() => {}
                _ = self.leader_kick.notified() => {}
                _ = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
            changes.mark_unchanged();
            if self.store.is_loaded() && self.store.is_reachable() && self.is_leader().is_some() {
                self.lead_once().await;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }

    async fn lead_once(self: &Arc<Self>) {
        if lock(&self.leader).refence && !self.refence_leader().await {
            return;
        }
        self.plan_blocks().await;
        self.clean_up().await;
        self.route().await;
    }

    /// Commits as the leader: void once another leads.
    pub(super) async fn commit_as_leader(
        &self,
        transaction: Transaction,
        urgency: Urgency,
    ) -> Result<Revision, CommitError> {
        let Some(mark) = self.is_leader() else {
            return Err(CommitError::Conflict(vec![keys::LEADER.into()]));
        };
        let transaction = transaction.require(keys::LEADER.into(), mark);
        let result = self.store.commit(&transaction, urgency).await;
        if let Err(error) = &result {
            tracing::debug!(%error, "leader's commit failed");
            if error.is_unknown() {
                lock(&self.leader).refence = true;
            }
        }
        result
    }

    /// Writes our record anew: commits of ours that may still be on their way
    /// are conditional on the old one.
    async fn refence_leader(&self) -> bool {
        let Some(grant) = lock(&self.leader).grant else {
            return false;
        };
        let Some(mark) = self.is_leader() else {
            return false;
        };
        let record = LeaderRecord {
            node: self.config.node.clone(),
            incarnation: self.config.incarnation,
        };
        let transaction = Transaction::default()
            .require(keys::LEADER.into(), mark)
            .set_with(keys::LEADER.into(), &record, Some(grant));
        let done = self
            .store
            .commit(&transaction, Urgency::Fence)
            .await
            .is_ok();
        if done && self.store.fresh().await {
            lock(&self.leader).refence = false;
            return true;
        }
        false
    }

    async fn plan_blocks(&self) {
        let (changed, marks) = {
            let book = self.store.book();
            let mut state = lock(&self.leader);
            state.moving.retain(|id, (_, at)| {
                at.elapsed() < Duration::from_secs(20) && book.machines.contains_key(id)
            });
            let hints = blocks::Hints {
                moving: state
                    .moving
                    .iter()
                    .map(|(id, (node, _))| (id.clone(), node.clone()))
                    .collect(),
                returning: state
                    .returning
                    .iter()
                    .filter(|(_, r)| r.freezes())
                    .map(|(id, _)| id.clone())
                    .collect::<BTreeSet<_>>(),
                marked: state.fleet.marked.clone(),
                stranded: state.stranded.clone(),
                short: std::mem::take(&mut state.short),
            };
            drop(state);
            let changed = blocks::plan(&book, &self.config.teams, &hints);
            let marks: BTreeMap<NodeName, Revision> = changed
                .keys()
                .map(|node| {
                    let mark = book.blocks.get(node).map_or(Revision(0), |kept| kept.mark);
                    (node.clone(), mark)
                })
                .collect();
            (changed, marks)
        };
        if changed.is_empty() {
            return;
        }
        let mut transaction = Transaction::default();
        for (node, block) in &changed {
            transaction = transaction
                .require(keys::block(node), marks[node])
                .set(keys::block(node), block);
        }
        match self.commit_as_leader(transaction, Urgency::Fence).await {
            Ok(mark) => {
                for (node, block) in &changed {
                    tracing::info!(
                        %node, token = %mark, holder = ?block.holder.map(|i| i.0),
                        machines = block.machines.len(), "block granted"
                    );
                }
                // The next pass wants the book to have caught up.
                self.store.fresh().await;
                self.leader_kick.notify_one();
            }
            Err(_) => {
                self.store.fresh().await;
            }
        }
    }

    /// Removes what is left of jobs that are over, places of tasks whose
    /// machines are gone, and ends jobs of many records.
    async fn clean_up(&self) {
        let mut parts: Vec<Transaction> = Vec::new();
        {
            let book = self.store.book();
            let caught_up = book
                .machines
                .values()
                .all(|kept| kept.mark <= book.revision);
            for (id, job) in &book.jobs {
                if parts.len() >= 8 {
                    break;
                }
                // Its fate was written with the drain key, so that nothing is
                // placed after that; what was placed before it the book holds
                // only once it has passed that revision.
                if job.draining.is_some_and(|mark| mark <= book.revision) && job.placed == 0 {
                    let mut part = Transaction::default();
                    for chunk in job.chunks.keys().take(self.config.txn_ops - 2) {
                        part = part.remove(keys::run(id, *chunk));
                    }
                    if job.chunks.len() <= self.config.txn_ops - 2 {
                        part = part.remove(keys::spec(id)).remove(keys::drain(id));
                    }
                    parts.push(part);
                } else if job.draining.is_none() && job.all_done() {
                    let fate = FateRecord {
                        fate: Fate::Done,
                        done: job.done,
                    };
                    parts.push(
                        Transaction::default()
                            .require(keys::fate(id), Revision(0))
                            .set(keys::fate(id), &fate)
                            .set(keys::drain(id), &1),
                    );
                }
            }
            if caught_up {
                for (machine, tasks) in &book.on_machine {
                    if book.machines.contains_key(machine) {
                        continue;
                    }
                    // Its record went after its return was answered: all that
                    // was on it is gone.
                    let Some(task) = tasks.keys().next() else {
                        continue;
                    };
                    let chunk = task.index / keys::CHUNK;
                    let Some(kept) = book
                        .jobs
                        .get(&task.job)
                        .and_then(|job| job.chunks.get(&chunk))
                    else {
                        continue;
                    };
                    let mut record = kept.value.clone();
                    for other in tasks.keys().filter(|other| other.job == task.job) {
                        if other.index / keys::CHUNK == chunk {
                            record.unplace(other.index);
                        }
                    }
                    tracing::debug!(%task, %machine, "gone with its machine");
                    let key = keys::run(&task.job, chunk);
                    parts.push(
                        Transaction::default()
                            .require(key.clone(), kept.mark)
                            .set(key, &record),
                    );
                    if parts.len() >= 24 {
                        break;
                    }
                }
            }
        }
        let more = parts.len() >= 8;
        for part in parts {
            if self.commit_as_leader(part, Urgency::Place).await.is_err() {
                self.store.fresh().await;
                break;
            }
        }
        if more {
            self.leader_kick.notify_one();
        }
    }

    async fn route(self: &Arc<Self>) {
        let routed = {
            let book = self.store.book();
            let now = Instant::now();
            let wall = (self.config.wall)();
            let learning = lock(&self.learning);
            let mut state = lock(&self.leader);
            let LeaderState {
                statuses,
                offered,
                clearing,
                ..
            } = &mut *state;
            let mut failing: HashMap<JobId, Instant> = HashMap::new();
            let mut machines: HashMap<&MachineId, (&NodeName, &HeldMachine, Duration)> =
                HashMap::new();
            for (node, (at, status)) in statuses.iter() {
                if at.elapsed() > STATUS_LIFE {
                    continue;
                }
                for held in &status.held {
                    machines.insert(&held.machine, (node, held, held.silent + at.elapsed()));
                }
                for (job, pause) in &status.failing {
                    failing.insert(job.clone(), *at + *pause);
                }
            }
            let silent = self.config.tuning.silent;
            let usable = |node: &NodeName, id: &MachineId| {
                let (holder, held, quiet) = machines.get(id)?;
                (*holder == node
                    && *quiet < silent
                    && !held.unreachable
                    && !held.suspect
                    && !held.leaving)
                    .then(|| (held.images.clone(), held.speed))
            };
            let routing = routing::Routing {
                book: &book,
                teams: &self.config.teams,
                open: routing::open_machines(
                    &book,
                    &usable,
                    self.config.now_ms(),
                    self.config.tuning.paid,
                ),
                offered,
                clearing,
                failing: &failing,
                start_target: self.config.tuning.start_target,
                offer_life: self.config.tuning.offer,
                now,
                wall,
                factor: &|class| learning.factor(class),
            };
            let mut routed = routing.run();
            state.short = std::mem::take(&mut routed.short);
            state.unplaced = std::mem::take(&mut routed.unplaced);
            if !state.short.is_empty() {
                self.leader_kick.notify_one();
            }
            routed
        };
        for (node, tasks) in routed.preempt {
            if node == self.config.node {
                self.take_preemptions(tasks);
                continue;
            }
            let this = self.clone();
            tokio::spawn(async move {
                // Unanswered: the room does not show and is asked for again.
                let _ = this.peers.call(&node, PeerCall::Preempt(tasks)).await;
            });
        }
        for (node, offers) in routed.offers {
            if node == self.config.node {
                self.take_offers(offers);
                continue;
            }
            let this = self.clone();
            tokio::spawn(async move {
                let jobs: Vec<JobId> = offers.iter().map(|offer| offer.job.clone()).collect();
                let sent = this.peers.call(&node, PeerCall::Offers(offers)).await;
                if sent.is_err() {
                    // It may have got them all the same; its commits would then
                    // win or lose like any other's.
                    let mut state = lock(&this.leader);
                    for job in jobs {
                        if let Some(tasks) = state.offered.get_mut(&job) {
                            tasks.retain(|_, (to, _)| *to != node);
                        }
                    }
                    state.statuses.remove(&node);
                }
            });
        }
    }
}
