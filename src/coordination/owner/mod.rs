//! A holder's work on its block: records results, places the tasks it was
//! offered, and commands its workers. One loop does all commits, so that the
//! block's budgets are counted once.

mod change;
mod commits;
mod failing;
mod orders;
mod placing;
mod results;
mod stopping;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use change::Changes;
use failing::FailingJobs;
use tokio::time::Instant;

use crate::{
    coordination::{
        node::{Node, lock},
        ports::{Exit, HeldMachine, Offer, PeerCall},
        view::View,
    },
    storage::{
        Attempt, BlockId, JobId, MachineId, Quota, Revision, StateCache, TaskId, TeamName, Token,
        Transaction,
        budget::Urgency,
        keys,
        records::{BlockRecord, SeatRecord},
        state_cache::Versioned,
    },
};

/// Jobs with offers, and tasks to be stopped, that are kept. The leader repeats what is
/// beyond that: a longer wait, no loss. Four passes' worth of its largest.
const OFFERS: usize = 2_400;
const PREEMPTIONS: usize = 2_400;
/// Between two rounds of the holder's loop.
const LEAST_PAUSE: Duration = Duration::from_millis(15);
const MOST_PAUSE: Duration = Duration::from_millis(150);
/// Unanswered starts wait this long for a report before the token is raised.
const SETTLE_AFTER: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct OfferHeld {
    tasks: BTreeSet<u32>,
    until: Instant,
}

/// What is known of a task of ours that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskOutcome {
    /// It ended, and its worker said so.
    Ended(Exit),
    /// Surely not there: its worker's session is over, or it never started and
    /// is not to.
    Gone,
}

#[derive(Default)]
pub struct HolderState {
    pub(super) views: BTreeMap<MachineId, View>,
    /// The blocks that the views were last aligned with.
    aligned: Vec<(BlockId, Revision)>,
    offers: BTreeMap<JobId, OfferHeld>,
    pub(super) preempting: BTreeMap<TaskId, Attempt>,
    /// Jobs with results to be written, since when.
    results: BTreeMap<JobId, Instant>,
    failing: FailingJobs,
    /// Since when changes of idle work wait for others to leave room for them.
    idle_work_held: Option<Instant>,
    /// Quota that tasks offered to us lack.
    pub(super) lacking: BTreeMap<TeamName, Quota>,
    /// The outcome of a commit is unknown: nothing is placed before the seat
    /// has a new revision, which voids whatever may still be on its way.
    pub(super) must_void_pending: bool,
}

impl HolderState {
    /// Machines held, jobs offered, jobs with results to be written.
    pub(super) fn sizes(&self) -> (usize, usize, usize) {
        (self.views.len(), self.offers.len(), self.results.len())
    }

    /// Quota of the tasks that are offered to us and not yet placed.
    pub(super) fn offered_quota(&self, cache: &StateCache) -> BTreeMap<TeamName, Quota> {
        let mut offered: BTreeMap<TeamName, Quota> = BTreeMap::new();
        for (id, offer) in &self.offers {
            let Some(job) = cache.jobs.get(id) else {
                continue;
            };
            let Some(spec) = job.spec() else { continue };
            let waits = |task: &&u32| job.placement(**task).is_none() && !job.is_task_done(**task);
            let count = offer.tasks.iter().filter(waits).count();
            let quota = Quota::from(&spec.per_task).times(count as f64);
            let sum = offered.entry(spec.team.clone()).or_default();
            *sum = sum.plus(&quota);
        }
        offered
    }

    /// Jobs that fail on several machines, with what is left of their pauses.
    pub(super) fn failing(&self, now: Instant) -> Vec<(JobId, Duration)> {
        self.failing.paused(now)
    }

    /// Whether the machine itself seems to be the cause of what failed on it.
    fn is_suspect(&self, view: &View, now: Instant) -> bool {
        view.is_suspect(now, |job| self.failing.is_blamed(job))
    }
}

impl Node {
    pub(super) fn take_offers(&self, offers: Vec<Offer>) {
        let until = Instant::now() + self.config.tuning.offer;
        let mut state = lock(&self.holder);
        for offer in offers {
            if state.offers.len() >= OFFERS && !state.offers.contains_key(&offer.job) {
                break;
            }
            let held = state.offers.entry(offer.job).or_insert(OfferHeld {
                tasks: BTreeSet::new(),
                until,
            });
            held.tasks.extend(offer.tasks);
            held.until = until;
        }
        drop(state);
        self.holder_kick.notify_one();
    }

    pub(super) fn take_preemptions(&self, tasks: Vec<TaskId>) {
        let cache = self.store.cache();
        let mut state = lock(&self.holder);
        for task in tasks {
            let placement = cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.placement(task.index));
            if let Some(placement) = placement
                && state.preempting.len() < PREEMPTIONS
            {
                tracing::debug!(%task, machine = %placement.machine, "stopping for others");
                state.preempting.insert(task, placement.attempt);
            }
        }
        drop(state);
        drop(cache);
        self.holder_kick.notify_one();
    }

    pub(super) fn held_machines(&self, now: Instant) -> Vec<HeldMachine> {
        let cache = self.store.cache();
        let state = lock(&self.holder);
        self.own_blocks(&cache)
            .flat_map(|(_, kept)| kept.value.machines.keys())
            .filter_map(|id| Some((id, state.views.get(id)?)))
            .map(|(id, view)| HeldMachine {
                machine: id.clone(),
                silent: view.silent(now),
                unreachable: view.unreachable,
                suspect: state.is_suspect(view, now),
                leaving: view.leaves_at.is_some(),
                deaf: view.is_deaf(self.config.deaf_after(), now),
                address: view
                    .address
                    .clone()
                    .filter(|_| view.reported)
                    .filter(|address| {
                        let known = cache.machines.get(id);
                        known.is_some_and(|known| known.address.as_ref() != Some(address))
                    }),
                session: view.session,
                sequence: view.sequence(),
                images: view.images(),
                speed: view.speed,
                freed: cache
                    .on_machine
                    .get(id)
                    .map(|load| view.freed(load))
                    .unwrap_or_default(),
            })
            .collect()
    }

    /// Duty: the holder's loop.
    pub(super) async fn hold(self: &Arc<Self>) {
        let mut changes = self.store.changes();
        while !self.stop.is_cancelled() {
            tokio::select! {
                biased;
                _ = self.stop.cancelled() => return,
                _ = changes.changed() => {}
                _ = self.holder_kick.notified() => {}
                _ = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
            changes.mark_unchanged();
            let started = Instant::now();
            if self.store.is_loaded() {
                self.hold_once().await;
            }
            // Many changes come close together; one round serves them all. On a
            // controller that is short of processor time rounds are fewer.
            let pause = started.elapsed().clamp(LEAST_PAUSE, MOST_PAUSE);
            tokio::time::sleep(pause).await;
        }
    }

    async fn hold_once(self: &Arc<Self>) {
        let (seat, must_void_pending) = {
            let cache = self.store.cache();
            let seat = self.own_seat(&cache).cloned();
            let mut state = lock(&self.holder);
            if seat.is_some() {
                self.align(&mut state, &cache);
            } else {
                *state = HolderState {
                    failing: std::mem::take(&mut state.failing),
                    must_void_pending: state.must_void_pending,
                    ..HolderState::default()
                };
            }
            (seat, state.must_void_pending)
        };
        let Some(seat) = seat else { return };
        if must_void_pending && !self.void_pending_commits(&seat).await {
            return;
        }
        self.settle_blocks().await;
        self.serve_quota_requests().await;
        if lock(&self.holder).must_void_pending {
            self.holder_kick.notify_one();
            return;
        }
        self.seek_quota();
        // Changes of the state service are scarce: what is planned only when one
        // may be made is not outdated when it is sent.
        let wait = self.store.commit_wait(Urgency::Place);
        let (changes, stops, mates) = {
            let cache = self.store.cache();
            let Some(seat) = self.own_seat(&cache) else {
                return;
            };
            let mut state = lock(&self.holder);
            let now = Instant::now();
            state.failing.judge(&cache);
            let mut changes = Changes::default();
            if wait.is_none() {
                self.collect_results(&mut state, &cache, now, &mut changes);
                if self.store.is_reachable() {
                    self.place_offers(&mut state, &cache, seat, now, &mut changes);
                }
            }
            let mut mates = BTreeMap::new();
            let stops = self.collect_stops(&mut state, &cache, now, &mut mates);
            (changes, stops, mates)
        };
        for (node, tasks) in mates {
            let this = self.clone();
            tokio::spawn(async move {
                // Unanswered: the gang falls back to its last checkpoint.
                let _ = this.peers.call(&node, PeerCall::Preempt(tasks)).await;
            });
        }
        for (machine, commands) in stops {
            self.send_orders(machine, None, commands);
        }
        if let Some(wait) = wait {
            self.pause(wait).await;
            self.holder_kick.notify_one();
            return;
        }
        self.commit_changes(changes).await;
    }

    /// Views exist for our blocks' machines and for no others.
    fn align(&self, state: &mut HolderState, cache: &StateCache) {
        let HolderState {
            views, preempting, ..
        } = state;
        preempting.retain(|task, attempt| {
            cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.placement(task.index))
                .is_some_and(|placement| placement.attempt == *attempt)
        });
        let blocks: Vec<(BlockId, Revision)> = self
            .own_blocks(cache)
            .map(|(id, kept)| (id, kept.revision))
            .collect();
        if state.aligned == blocks {
            return;
        }
        self.startup.note_holding();
        let now = Instant::now();
        views.retain(|id, view| {
            self.own_block_of(cache, id).is_some()
                && view.acquired == Token::from(cache.held_since(id))
        });
        for (_, kept) in self.own_blocks(cache) {
            for id in kept.value.machines.keys() {
                views
                    .entry(id.clone())
                    .or_insert_with(|| View::new(cache.held_since(id).into(), now));
            }
        }
        state.aligned = blocks;
    }

    /// Blocks with unanswered starts are written anew: a start that may still be
    /// on its way is not executed under a higher token.
    async fn settle_blocks(&self) {
        let unsettled: Vec<(BlockId, Versioned<BlockRecord>)> = {
            let cache = self.store.cache();
            let state = lock(&self.holder);
            let mut found: BTreeMap<BlockId, Versioned<BlockRecord>> = BTreeMap::new();
            for (id, view) in &state.views {
                let wants = view.unsettled.is_some_and(|(token, at)| {
                    at.elapsed() > SETTLE_AFTER && view.heard > at && token >= view.token
                });
                if wants && let Some((block, kept)) = self.own_block_of(&cache, id) {
                    // Raised already: the worker only has to hear of it.
                    let raised = view
                        .unsettled
                        .is_some_and(|(token, _)| Token::from(kept.revision) > token);
                    if !raised {
                        found.insert(block, kept.clone());
                    }
                }
            }
            found.into_iter().take(4).collect()
        };
        for (id, kept) in unsettled {
            let key = keys::block(id);
            let transaction = Transaction::default()
                .require(key.clone(), kept.revision)
                .set(key, &kept.value);
            match self.store.commit(&transaction, Urgency::Fence).await {
                Ok(mark) => tracing::debug!(block = %id, token = %mark, "raised its token"),
                Err(error) => {
                    tracing::debug!(block = %id, %error, "cannot raise its token");
                    return;
                }
            }
        }
    }

    /// Writes the seat anew: no earlier commit of ours applies to its new
    /// revision.
    async fn void_pending_commits(&self, seat: &Versioned<SeatRecord>) -> bool {
        let key = keys::seat(&self.config.node);
        let transaction = Transaction::default()
            .require(key.clone(), seat.revision)
            .set(key, &seat.value);
        match self.store.commit(&transaction, Urgency::Fence).await {
            Ok(mark) => {
                tracing::debug!(%mark, "wrote our seat anew");
                // What was committed before it is in the cache only after this.
                let fresh = self.store.fresh().await;
                lock(&self.holder).must_void_pending = !fresh;
                fresh
            }
            Err(error) => {
                tracing::debug!(%error, "cannot write our seat anew");
                lock(&self.holder).must_void_pending |= error.is_unknown();
                if !self.store.fresh().await {
                    self.pause(Duration::from_millis(200)).await;
                }
                false
            }
        }
    }
}
