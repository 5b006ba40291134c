//! Renting, repairing and giving back machines: the policy's rounds, and the
//! calls to the cloud that follow from them.

pub mod faults;
mod lists;
mod market;
mod rents;
mod returns;
mod rounds;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use market::{Place, Refusal};
use tokio::time::Instant;

use crate::{
    coordination::node::{Node, lock},
    storage::{
        MachineId, NodeName, RentName, Revision, Transaction,
        budget::{Budget, Urgency},
        keys,
        records::RentRecord,
    },
};

/// Why a machine goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Not needed: marked, and its paid period is over.
    Unneeded,
    /// Several jobs failed on it.
    Suspect,
    /// Neither reports nor answers: returning it proves its tasks gone.
    Silent,
    /// It does not come up.
    Stuck,
    /// The cloud says that it has stopped.
    Failed,
    /// It reports, but nothing that we say reaches it.
    Deaf,
}

#[derive(Clone, Copy, Debug)]
pub struct Return {
    reason: Reason,
    since: Instant,
    in_flight: bool,
}

impl Return {
    /// Whether it is emptied before it goes.
    pub fn freezes(&self) -> bool {
        matches!(self.reason, Reason::Unneeded | Reason::Suspect)
    }
}

#[derive(Default)]
pub struct FleetState {
    /// To be given back, each at the end of its paid period.
    pub marked: BTreeSet<MachineId>,
    refused: BTreeMap<Place, Refusal>,
    /// Machines that a round asked for and no place had: asked for elsewhere.
    carried: u32,
    in_flight: BTreeSet<RentName>,
    next_try: BTreeMap<RentName, Instant>,
    /// Names of rents that this process has used.
    pub(super) rents: u64,
    last_round: Option<Instant>,
    last_remedy: Option<Instant>,
    last_catalog: Option<Instant>,
    last_list: Option<Instant>,
    /// Machines that no task is routed to now.
    refusing: BTreeSet<MachineId>,
    /// Machines on which several jobs have failed, since when.
    suspects: BTreeMap<MachineId, Instant>,
    /// Silent machines being looked at by all controllers, or lately found up.
    verifying: BTreeMap<MachineId, Instant>,
    /// Machines heard by others than their holder, and who reaches them.
    reached: BTreeMap<MachineId, faults::Look>,
    /// Controllers that have lost blocks of theirs, since when.
    pub shunned: BTreeMap<NodeName, Instant>,
    unknown: BTreeMap<MachineId, Instant>,
    /// Names are never used again: what speaks under one of these is a copy.
    returned: BTreeMap<MachineId, Instant>,
    /// Machines that the latest list of the cloud showed.
    listed: BTreeSet<MachineId>,
    last_addresses: Option<Instant>,
}

const RENTS_PER_COMMIT: usize = 8;

impl Node {
    /// Duty: the leader's slower loop.
    pub(in super::super) async fn keep_fleet(self: &Arc<Self>) {
        let budget = Arc::new(Budget::new((self.config.cloud_rps * 0.8).max(0.5)));
        while self.pause(Duration::from_millis(400)).await {
            if !self.store.is_loaded()
                || !self.store.is_reachable()
                || self.is_leader().is_none()
                || lock(&self.leader).must_void_pending
            {
                continue;
            }
            self.poll_catalog(&budget).await;
            self.judge_fleet().await;
            self.send_rents(&budget);
            self.empty_suspects().await;
            self.move_replicas().await;
            self.send_returns(&budget);
            self.write_addresses().await;
            self.poll_list(&budget);
        }
    }

    /// Decides what to rent, mark, return and move, and writes the rents down.
    async fn judge_fleet(self: &Arc<Self>) {
        let (rents, silent) = {
            let cache = self.store.cache();
            if cache.catalog.is_none() {
                return;
            }
            let mut state = lock(&self.leader);
            let now = Instant::now();
            let silent = self.find_faulty(&cache, &mut state, now);
            self.rebalance(&cache, &mut state, now);
            (self.judge_band(&cache, &mut state, now), silent)
        };
        for suspect in silent {
            let node = self.clone();
            tokio::spawn(async move { node.verify_silent(suspect).await });
        }
        // Recorded before they are sent; several in one commit.
        let parts = rents.chunks(self.config.state.txn_ops.min(RENTS_PER_COMMIT));
        for part in parts {
            let mut transaction = Transaction::default();
            for rental in part {
                let name = {
                    let mut state = lock(&self.leader);
                    state.fleet.rents += 1;
                    // The incarnation is drawn at random for each process.
                    RentName::new(format!(
                        "r-{:016x}-{}",
                        self.config.incarnation.0, state.fleet.rents
                    ))
                };
                let record = RentRecord {
                    kind: rental.pool.kind.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.pool.spot,
                    count: rental.count,
                    at_ms: self.config.now_ms(),
                };
                let key = keys::rent(&name);
                transaction = transaction
                    .require(key.clone(), Revision(0))
                    .set(key, &record);
            }
            let sent = self.commit_as_leader(transaction, Urgency::Place).await;
            if sent.is_err() {
                return;
            }
        }
    }
}
