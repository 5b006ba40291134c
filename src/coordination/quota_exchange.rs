//! Transfers of quota between controllers, in both roles.
//!
//! A controller that lacks quota, by the leader's targets or for tasks that it was
//! offered, asks the one that seems to have most to spare. That one decides in its
//! shard owner's loop, between its own placements, and commits both budgets in one
//! transaction. `docs/quota.md` has the argument why no limit is exceeded.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant as StdInstant},
};

use quota::{
    Allocations, Condition, Deficits, Donor, DonorView, Holding, Outcome, PENDING_REQUESTS,
    Refusal, Transfer,
};
use tokio::{sync::oneshot, time::Instant};

use super::{
    clients::{PeerRequest, PeerResponse, QuotaRequest, QuotaResponse, QuotaTargets},
    config::Config,
    context::{Context, lock, takes_part_in_transfers},
};
use crate::storage::{
    AMOUNT_SLACK, CommitError, ControllerName, Quota, Revision, StateCache, TeamName, Transaction,
    keys, rate_limiter::RequestPriority, records::AllocationRecord, state_cache::Versioned,
};

/// A decision takes a commit; an asker hears of it within this time or reads it.
const DECIDED_WITHIN: Duration = Duration::from_millis(800);
/// Targets that the leader has not repeated for this long hold no more.
const TARGET_LIFE: Duration = Duration::from_secs(3);
/// Less than this is not asked for: tasks fit without it.
const MIN_DEFICIT: f64 = AMOUNT_SLACK;

/// What became of requests since the last look, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Transfers that this controller committed as the donor.
    pub given: u32,
    /// Requests that it refused.
    pub refused: u32,
    /// Transfers that it was granted.
    pub received: u32,
    /// Its own requests that were refused or got no answer.
    pub unserved: u32,
}

/// A budget that the leader has planned.
#[derive(Clone, Copy, Debug)]
struct Target {
    budget: Quota,
    until: Instant,
}

/// What a controller has asked for and been asked for.
struct State {
    donor: Donor<ControllerName, TeamName>,
    deficits: Deficits<ControllerName, TeamName>,
    /// Askers that wait for a decision.
    askers: BTreeMap<(ControllerName, u64), oneshot::Sender<QuotaResponse>>,
    targets: BTreeMap<TeamName, Target>,
    /// The leader's claim that the targets come from; those of an earlier one are late.
    targets_of: Revision,
    counts: QuotaCounts,
}

impl State {
    /// Nothing asked, nothing known.
    fn new(config: &Config) -> Self {
        let controllers = config.peers.iter().map(|(name, _)| name.clone());
        let teams = config.teams.iter().map(|team| team.name.clone());
        Self {
            donor: Donor::new(controllers, teams),
            deficits: Deficits::new(config.name.clone(), config.incarnation.0),
            askers: BTreeMap::new(),
            targets: BTreeMap::new(),
            targets_of: Revision(0),
            counts: QuotaCounts::default(),
        }
    }

    /// Takes a request in; the answer comes from the owner's loop.
    fn receive(
        &mut self,
        request: QuotaRequest,
    ) -> Result<oneshot::Receiver<QuotaResponse>, Refusal> {
        let key = (request.recipient.clone(), request.number);
        self.donor.receive(request)?;
        self.askers.retain(|_, asker| !asker.is_closed());
        let (asker, answer) = oneshot::channel();
        self.askers.insert(key, asker);
        Ok(answer)
    }

    fn decided(&mut self, request: &QuotaRequest, answer: QuotaResponse) {
        match &answer {
            QuotaResponse::Granted(_) => self.counts.given += 1,
            QuotaResponse::Refused(_) => self.counts.refused += 1,
            QuotaResponse::Undecided => {}
        }
        let key = (request.recipient.clone(), request.number);
        if let Some(asker) = self.askers.remove(&key) {
            // One that has given up reads the records.
            let _ = asker.send(answer);
        }
    }

    fn take_targets(&mut self, targets: QuotaTargets, now: Instant) -> bool {
        if targets.leader < self.targets_of {
            return false;
        }
        if targets.leader > self.targets_of {
            self.targets.clear();
            self.targets_of = targets.leader;
        }
        let until = now + TARGET_LIFE;
        for (team, budget) in targets.budgets {
            self.targets.insert(team, Target { budget, until });
        }
        true
    }

    fn target(&self, team: &TeamName, now: Instant) -> Option<Quota> {
        let target = self.targets.get(team)?;
        (target.until > now).then_some(target.budget)
    }

    /// What a tenth of a minute has brought, and for how long the oldest shortage lasts.
    fn take_counts(&mut self, now: Instant) -> (QuotaCounts, Option<Duration>) {
        let oldest = self.deficits.oldest(now.into_std());
        (std::mem::take(&mut self.counts), oldest)
    }
}

/// Records that a transfer of ours depends on, beside both budgets.
struct Fence {
    leader: Revision,
    registration: Revision,
}

/// The duty that transfers quota between this controller and others, in both roles.
pub(super) struct QuotaExchange {
    context: Arc<Context>,
    state: Mutex<State>,
}

impl QuotaExchange {
    /// Nothing asked, nothing known.
    pub(super) fn new(context: Arc<Context>) -> Self {
        let state = Mutex::new(State::new(&context.config));
        Self { context, state }
    }

    /// The counts since the last call, and for how long the oldest deficit has lasted.
    pub(super) fn take_counts(&self, now: Instant) -> (QuotaCounts, Option<Duration>) {
        lock(&self.state).take_counts(now)
    }

    /// What our transfers must be conditional on; none: we may not transfer now.
    ///
    /// A leader that takes no part hands machines over without the budgets for their
    /// tasks, so that no transfer may be decided under it, nor take effect. Nor without
    /// any leader: one that takes no part may have come and gone since, unknown to us.
    /// A leader's claim stands until its lease is over, so that transfers go on for as
    /// long after its death.
    fn fence(&self, cache: &StateCache) -> Option<Fence> {
        let registered = cache.controllers.get(&self.context.config.name)?;
        if registered.value.incarnation != self.context.config.incarnation {
            return None;
        }
        let leader = cache.leader.as_ref()?;
        if !takes_part_in_transfers(cache, &leader.value.controller)
            || cache.revision < leader.revision
        {
            return None;
        }
        Some(Fence {
            leader: leader.revision,
            registration: registered.revision,
        })
    }

    /// Answers a controller that asks for quota.
    pub(super) async fn handle_request(&self, request: QuotaRequest) -> QuotaResponse {
        let recipient = request.recipient.clone();
        let received = if self.context.knows_transfers() {
            lock(&self.state).receive(request)
        } else {
            Err(Refusal::NotReady)
        };
        let answer = match received {
            Ok(answer) => answer,
            Err(refusal) => {
                lock(&self.state).counts.refused += 1;
                if refusal.is_fault() {
                    tracing::warn!(%recipient, %refusal, "quota request refused");
                }
                return QuotaResponse::Refused(refusal);
            }
        };
        self.context.owner_wakeup.notify_one();
        match tokio::time::timeout(DECIDED_WITHIN, answer).await {
            Ok(Ok(answer)) => answer,
            _ => QuotaResponse::Undecided,
        }
    }

    /// Takes the leader's targets in.
    pub(super) fn accept_targets(&self, targets: QuotaTargets) {
        let is_known = |team: &TeamName| self.context.config.team(team).is_some();
        if let Some(team) = targets.budgets.keys().find(|team| !is_known(team)) {
            tracing::warn!(%team, "quota targets for an unknown team ignored");
            return;
        }
        if lock(&self.state).take_targets(targets, Instant::now()) {
            self.context.owner_wakeup.notify_one();
        }
    }

    /// Decides the requests that wait. Called between two rounds of placements, so that
    /// all that we have placed is in the cache, or voided.
    ///
    /// `offered` is the quota of tasks that are offered to this controller and not yet placed.
    /// True: the outcome of a transfer's commit is unknown, and the caller must rewrite the
    /// allocation before it decides anything else.
    #[must_use]
    pub(super) async fn serve_requests(
        &self,
        offered: impl Fn(&StateCache) -> BTreeMap<TeamName, Quota>,
    ) -> bool {
        for _ in 0..PENDING_REQUESTS {
            if self
                .context
                .store
                .commit_wait(RequestPriority::Placement)
                .is_some()
            {
                return false;
            }
            let Some(request) = lock(&self.state).donor.next_request() else {
                return false;
            };
            let answer = self.transfer_quota(&request, &offered).await;
            let is_unknown = answer == QuotaResponse::Undecided;
            lock(&self.state).decided(&request, answer);
            if is_unknown {
                // Our allocation is rewritten before anything else is decided.
                return true;
            }
        }
        false
    }

    async fn transfer_quota(
        &self,
        request: &QuotaRequest,
        offered: &impl Fn(&StateCache) -> BTreeMap<TeamName, Quota>,
    ) -> QuotaResponse {
        let planned = {
            let cache = self.context.store.cache();
            self.plan_transfer(&cache, request, offered)
        };
        let (transfer, transaction) = match planned {
            Ok(planned) => planned,
            Err(refusal) => return QuotaResponse::Refused(refusal),
        };
        match self
            .context
            .store
            .commit(&transaction, RequestPriority::Placement)
            .await
        {
            Ok(revision) => {
                let recipient = &transfer.recipient;
                tracing::debug!(%recipient, %revision, amounts = ?transfer.amounts, "quota transferred");
                QuotaResponse::Granted(transfer.amounts)
            }
            Err(CommitError::Conflict(failed)) => {
                tracing::debug!(?failed, "quota transfer conflicted with another change");
                self.context.store.read_barrier().await;
                QuotaResponse::Refused(Refusal::Conflict)
            }
            Err(error) if error.is_unknown() => QuotaResponse::Undecided,
            Err(error) => {
                tracing::debug!(%error, "quota transfer not possible now");
                QuotaResponse::Refused(Refusal::NotReady)
            }
        }
    }

    fn plan_transfer(
        &self,
        cache: &StateCache,
        request: &QuotaRequest,
        offered: impl Fn(&StateCache) -> BTreeMap<TeamName, Quota>,
    ) -> Result<(Transfer<ControllerName, TeamName>, Transaction), Refusal> {
        let fence = self.fence(cache).ok_or(Refusal::NotReady)?;
        let allocation = self
            .context
            .own_allocation(cache)
            .ok_or(Refusal::NotReady)?;
        // What came to us with this change of our allocation is known only once the cache has
        // passed it.
        if cache.revision < allocation.revision {
            return Err(Refusal::Conflict);
        }
        let recipient = cache.allocations.get(&request.recipient);
        let recipient = recipient.ok_or(Refusal::Outdated)?;
        // All machines of this controller, also those leased to the process before us.
        let used = cache.quota_used(cache.machines_of(&self.context.config.name));
        let offered = offered(cache);
        let exchange = lock(&self.state);
        let now = Instant::now();
        let holding = |team: &TeamName| {
            let used = used.get(team).copied().unwrap_or_default();
            let under_way = offered.get(team).copied().unwrap_or_default();
            let target = exchange.target(team, now).unwrap_or_default();
            Holding {
                allocated: allocation
                    .value
                    .budgets
                    .get(team)
                    .copied()
                    .unwrap_or_default(),
                used,
                reserved: used.plus(&under_way).max(&target),
            }
        };
        let transfer = Transfer::decide(
            request,
            &allocations(allocation),
            &allocations(recipient),
            holding,
            fence.leader.0,
            fence.registration.0,
        )?;
        let transaction = self.transaction_of(&transfer, allocation, recipient);
        Ok((transfer, transaction))
    }

    /// The transaction that carries a transfer out: both allocations, on all its conditions.
    fn transaction_of(
        &self,
        transfer: &Transfer<ControllerName, TeamName>,
        donor: &Versioned<AllocationRecord>,
        recipient: &Versioned<AllocationRecord>,
    ) -> Transaction {
        let own = &self.context.config.name;
        let allocation = |of: &Versioned<AllocationRecord>, budgets: &BTreeMap<TeamName, Quota>| {
            AllocationRecord {
                owner: of.value.owner,
                budgets: budgets.clone(),
            }
        };
        let transaction = Transaction::default()
            .set(
                keys::allocation(own),
                &allocation(donor, &transfer.donor_budgets),
            )
            .set(
                keys::allocation(&transfer.recipient),
                &allocation(recipient, &transfer.recipient_budgets),
            );
        transfer
            .conditions
            .iter()
            .fold(transaction, |transaction, condition| {
                let (key, revision) = match condition {
                    Condition::Donor(revision) => (keys::allocation(own), *revision),
                    Condition::Recipient(revision) => {
                        (keys::allocation(&transfer.recipient), *revision)
                    }
                    Condition::Leader(revision) => (keys::LEADER.into(), *revision),
                    Condition::Registration(revision) => (keys::controller(own), *revision),
                };
                transaction.require(key, Revision(revision))
            })
    }

    /// Notes what is lacking now, by the leader's targets and for the tasks that we were
    /// offered, and asks for it.
    pub(super) fn seek(self: &Arc<Self>, owner_deficit: &BTreeMap<TeamName, Quota>) {
        if !self.context.config.tuning.quota_transfers {
            return;
        }
        let request = {
            let cache = self.context.store.cache();
            let Some(allocation) = self.context.own_allocation(&cache) else {
                return;
            };
            let mut exchange = lock(&self.state);
            let now = Instant::now();
            for team in &self.context.config.teams {
                let budget = allocation.value.budgets.get(&team.name).copied();
                let target = exchange.target(&team.name, now).unwrap_or_default();
                let target_deficit = target.minus(&budget.unwrap_or_default()).at_least_zero();
                let offered = owner_deficit.get(&team.name).copied().unwrap_or_default();
                exchange.note_deficit(&team.name, target_deficit.max(&offered), now.into_std());
            }
            if exchange.deficits.is_empty() || !self.context.knows_transfers_in(&cache) {
                return;
            }
            let donors = self.donor_views(&cache);
            exchange.deficits.next_request(&donors, now.into_std())
        };
        if let Some(addressed) = request {
            let this = self.clone();
            tokio::spawn(async move {
                this.request_quota(addressed.donor, addressed.request).await;
            });
        }
    }

    /// What the other controllers seem to have to spare.
    fn donor_views(&self, cache: &StateCache) -> Vec<DonorView<ControllerName, TeamName>> {
        cache
            .allocations
            .iter()
            .filter(|(controller, entry)| {
                **controller != self.context.config.name
                    && entry.value.owner.is_some()
                    && takes_part_in_transfers(cache, controller)
            })
            .map(|(controller, entry)| {
                let used = cache.quota_used(cache.machines_of(controller));
                let spare = |(team, budget): (&TeamName, &Quota)| {
                    let used = used.get(team).copied().unwrap_or_default();
                    (team.clone(), budget.minus(&used).at_least_zero())
                };
                DonorView {
                    donor: controller.clone(),
                    spare: entry.value.budgets.iter().map(spare).collect(),
                }
            })
            .collect()
    }

    async fn request_quota(self: Arc<Self>, donor: ControllerName, request: QuotaRequest) {
        let number = request.number;
        let answer = self
            .context
            .peers
            .call(&donor, PeerRequest::RequestQuota(request))
            .await;
        let outcome = match answer {
            Ok(PeerResponse::Quota(QuotaResponse::Granted(amounts))) => Outcome::Granted(amounts),
            Ok(PeerResponse::Quota(QuotaResponse::Refused(refusal))) => Outcome::Refused(refusal),
            _ => Outcome::Lost,
        };
        tracing::debug!(%donor, ?outcome, "asked for quota");
        let is_granted = matches!(outcome, Outcome::Granted(_));
        if is_granted || outcome == Outcome::Refused(Refusal::Conflict) {
            // Our allocation has a new revision, with which the next round plans.
            self.context.store.read_barrier().await;
        }
        {
            let mut exchange = lock(&self.state);
            match is_granted {
                true => exchange.counts.received += 1,
                false => exchange.counts.unserved += 1,
            }
            let now = Instant::now().into_std();
            exchange.deficits.answered(number, &outcome, now);
        }
        self.context.owner_wakeup.notify_one();
    }
}

impl State {
    fn note_deficit(&mut self, team: &TeamName, deficit: Quota, now: StdInstant) {
        if deficit.exceeds(MIN_DEFICIT) {
            self.deficits.note(team, deficit, now);
        } else if let Some(lasted) = self.deficits.met(team, now) {
            tracing::debug!(%team, ms = lasted.as_millis() as u64, "quota deficit met");
        }
    }
}

fn allocations(allocation: &Versioned<AllocationRecord>) -> Allocations<TeamName> {
    Allocations {
        process: allocation.value.owner.map(|owner| owner.0),
        revision: allocation.revision.0,
        budgets: allocation.value.budgets.clone(),
    }
}
