//! A holder's work on its block: records results, places the tasks it was
//! offered, and commands its workers. One loop does all commits, so that the
//! block's budgets are counted once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    node::{Node, lock},
    policy::placement,
    ports::*,
    reports::grace,
    view::{Source, View},
};
use crate::storage::{book::Kept, budget::Urgency, keys, records::*, *};

/// Run records in one transaction at most, for the service's 64 KiB.
const RECORDS_PER_COMMIT: usize = 12;
/// Offers and preemptions kept.
const OFFERS: usize = 512;
const PREEMPTIONS: usize = 512;
/// Before a stop that was not obeyed is sent again directly.
const STOP_AGAIN: Duration = Duration::from_secs(2);
/// Silent machines looked at at a time.
const PROBES: usize = 48;
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

/// A job whose tasks fail.
#[derive(Debug)]
struct Failing {
    machines: BTreeSet<MachineId>,
    count: u32,
    until: Instant,
}

/// Pause before a task that failed is tried again: 1 s, 2 s, 4 s … 60 s.
fn failure_pause(count: u32) -> Duration {
    Duration::from_secs(1 << count.saturating_sub(1).min(6)).min(Duration::from_secs(60))
}

/// What is known of a task of ours that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
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
    failing: BTreeMap<JobId, Failing>,
    /// The outcome of a commit is unknown: nothing is placed before the seat
    /// has a new revision, which voids whatever may still be on its way.
    refence: bool,
}

impl HolderState {
    /// Machines held, jobs offered, jobs with results to be written.
    pub(super) fn sizes(&self) -> (usize, usize, usize) {
        (self.views.len(), self.offers.len(), self.results.len())
    }

    pub(super) fn failing(&self, now: Instant) -> Vec<(JobId, Duration)> {
        self.failing
            .iter()
            .filter(|(_, failing)| failing.machines.len() > 1 && failing.until > now)
            .map(|(job, failing)| (job.clone(), failing.until - now))
            .collect()
    }

    fn note_failure(&mut self, task: &TaskId, machine: &MachineId, now: Instant) {
        if self.failing.len() >= 512 {
            self.failing.retain(|_, failing| failing.until > now);
        }
        let failing = self.failing.entry(task.job.clone()).or_insert(Failing {
            machines: BTreeSet::new(),
            count: 0,
            until: now,
        });
        failing.machines.insert(machine.clone());
        failing.count += 1;
        failing.until = now + failure_pause(failing.count);
    }
}

/// What one round wants to write about one record of a job. Each record by itself,
/// so that no transaction is too large however many a job has.
struct JobChange {
    id: JobId,
    chunk: u32,
    record: RunRecord,
    places: bool,
    /// The blocks on whose machines it places, or finds tasks missing, as the
    /// plan saw them.
    blocks: BTreeMap<BlockId, Revision>,
    /// It holds only as long as we hold the machines: what it says is a decision
    /// of ours, or that a task is missing which a next holder would start. That a
    /// task has ended stays true whoever holds its machine.
    fenced: bool,
    /// Others write its records as well, so that it may well be refused.
    shared: bool,
    /// It ends the job.
    finishes: bool,
    starts: Vec<(MachineId, Session, Command)>,
    /// Ends that are learned from once they are written down.
    ends: Vec<(TaskId, MachineId, Exit)>,
}

#[derive(Default)]
struct Changes(BTreeMap<(JobId, u32), JobChange>);

impl Changes {
    /// The change of the record that this task stands in.
    fn of(&mut self, id: &JobId, job: &book::Job, task: u32) -> &mut JobChange {
        let chunk = task / keys::CHUNK;
        let key = (id.clone(), chunk);
        self.0.entry(key).or_insert_with(|| JobChange {
            id: id.clone(),
            chunk,
            record: job
                .chunks
                .get(&chunk)
                .map(|kept| kept.value.clone())
                .unwrap_or_default(),
            places: false,
            blocks: BTreeMap::new(),
            fenced: false,
            shared: false,
            finishes: false,
            starts: Vec::new(),
            ends: Vec::new(),
        })
    }
}

/// What the holder's tasks use of a team's limit, and may use.
struct TeamUse {
    used: Quota,
    budget: Quota,
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
        let book = self.store.book();
        let mut state = lock(&self.holder);
        for task in tasks {
            let placement = book
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
        drop(book);
        self.holder_kick.notify_one();
    }

    pub(super) fn held_machines(&self, now: Instant) -> Vec<HeldMachine> {
        let book = self.store.book();
        let state = lock(&self.holder);
        self.own_blocks(&book)
            .flat_map(|(_, kept)| kept.value.machines.keys())
            .filter_map(|id| Some((id, state.views.get(id)?)))
            .map(|(id, view)| HeldMachine {
                machine: id.clone(),
                silent: view.silent(now),
                unreachable: view.unreachable,
                suspect: view.is_suspect(now),
                leaving: view.leaves_at.is_some(),
                deaf: view.is_deaf(self.config.deaf_after(), now),
                address: view
                    .address
                    .clone()
                    .filter(|_| view.reported)
                    .filter(|address| {
                        let known = book.machines.get(id);
                        known.is_some_and(|known| known.address.as_ref() != Some(address))
                    }),
                session: view.session,
                sequence: view.sequence(),
                images: view.images(),
                speed: view.speed,
                freed: book
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
        let (seat, refence) = {
            let book = self.store.book();
            let seat = self.own_seat(&book).cloned();
            let mut state = lock(&self.holder);
            if seat.is_some() {
                self.align(&mut state, &book);
            } else {
                *state = HolderState {
                    failing: std::mem::take(&mut state.failing),
                    refence: state.refence,
                    ..HolderState::default()
                };
            }
            (seat, state.refence)
        };
        let Some(seat) = seat else { return };
        if refence && !self.refence(&seat).await {
            return;
        }
        self.settle_blocks().await;
        // Changes of the state service are scarce: what is planned only when one
        // may be made is not outdated when it is sent.
        let wait = self.store.commit_wait(Urgency::Place);
        let (changes, stops, mates) = {
            let book = self.store.book();
            let Some(seat) = self.own_seat(&book) else {
                return;
            };
            let mut state = lock(&self.holder);
            let now = Instant::now();
            let mut changes = Changes::default();
            if wait.is_none() {
                self.collect_results(&mut state, &book, now, &mut changes);
                if self.store.is_reachable() {
                    self.place_offers(&mut state, &book, seat, now, &mut changes);
                }
            }
            let mut mates = BTreeMap::new();
            let stops = self.collect_stops(&mut state, &book, now, &mut mates);
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
    fn align(&self, state: &mut HolderState, book: &Book) {
        let HolderState {
            views, preempting, ..
        } = state;
        preempting.retain(|task, attempt| {
            book.jobs
                .get(&task.job)
                .and_then(|job| job.placement(task.index))
                .is_some_and(|placement| placement.attempt == *attempt)
        });
        let blocks: Vec<(BlockId, Revision)> = self
            .own_blocks(book)
            .map(|(id, kept)| (id, kept.mark))
            .collect();
        if state.aligned == blocks {
            return;
        }
        let now = Instant::now();
        views.retain(|id, view| {
            self.own_block_of(book, id).is_some()
                && view.acquired == Token::from(book.held_since(id))
        });
        for (_, kept) in self.own_blocks(book) {
            for id in kept.value.machines.keys() {
                views
                    .entry(id.clone())
                    .or_insert_with(|| View::new(book.held_since(id).into(), now));
            }
        }
        state.aligned = blocks;
    }

    /// Blocks with unanswered starts are written anew: a start that may still be
    /// on its way is not executed under a higher token.
    async fn settle_blocks(&self) {
        let unsettled: Vec<(BlockId, Kept<BlockRecord>)> = {
            let book = self.store.book();
            let state = lock(&self.holder);
            let mut found: BTreeMap<BlockId, Kept<BlockRecord>> = BTreeMap::new();
            for (id, view) in &state.views {
                let wants = view.unsettled.is_some_and(|(token, at)| {
                    at.elapsed() > SETTLE_AFTER && view.heard > at && token >= view.token
                });
                if wants && let Some((block, kept)) = self.own_block_of(&book, id) {
                    // Raised already: the worker only has to hear of it.
                    let raised = view
                        .unsettled
                        .is_some_and(|(token, _)| Token::from(kept.mark) > token);
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
                .require(key.clone(), kept.mark)
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
    async fn refence(&self, seat: &Kept<SeatRecord>) -> bool {
        let key = keys::seat(&self.config.node);
        let transaction = Transaction::default()
            .require(key.clone(), seat.mark)
            .set(key, &seat.value);
        match self.store.commit(&transaction, Urgency::Fence).await {
            Ok(mark) => {
                tracing::debug!(%mark, "wrote our seat anew");
                // What was committed before it is in the book only after this.
                let fresh = self.store.fresh().await;
                lock(&self.holder).refence = !fresh;
                fresh
            }
            Err(error) => {
                tracing::debug!(%error, "cannot write our seat anew");
                lock(&self.holder).refence |= error.is_unknown();
                if !self.store.fresh().await {
                    self.pause(Duration::from_millis(200)).await;
                }
                false
            }
        }
    }

    /// Whether a placed task of ours is over, as far as its machine's view tells.
    pub(super) fn outcome(
        &self,
        view: &View,
        job: Option<&book::Job>,
        task: &TaskId,
        placement: &Placement,
        preempting: &BTreeMap<TaskId, Attempt>,
    ) -> Option<Outcome> {
        if !view.reported {
            return None;
        }
        if view.outlived(placement.session) {
            return Some(Outcome::Gone);
        }
        let seen = view
            .tasks
            .get(task)
            .filter(|seen| seen.attempt == placement.attempt);
        match seen.map(|seen| seen.state) {
            Some(TaskState::Exited(exit)) => Some(Outcome::Ended(exit)),
            Some(_) => None,
            None => {
                let unwanted = job.is_none_or(|job| job.draining.is_some())
                    || preempting.get(task) == Some(&placement.attempt);
                (unwanted && placement.session == view.session && view.absence_is_proof(task))
                    .then_some(Outcome::Gone)
            }
        }
    }

    /// Notes which jobs have results on a machine whose view has just changed;
    /// true if there are any.
    pub(super) fn note_results(
        &self,
        state: &mut HolderState,
        book: &Book,
        machine: &MachineId,
        now: Instant,
    ) -> bool {
        let HolderState {
            views,
            results,
            preempting,
            ..
        } = state;
        let (Some(load), Some(view)) = (book.on_machine.get(machine), views.get_mut(machine))
        else {
            return false;
        };
        let mut any = false;
        let cache = book
            .machines
            .get(machine)
            .and_then(|record| book.machine_type(&record.kind))
            .map(|kind| kind.cache_gb);
        for (task, placed) in &load.tasks {
            let running = view
                .tasks
                .get(task)
                .is_some_and(|seen| seen.state == TaskState::Running);
            if running && let (Some(spec), Some(cache)) = (&placed.spec, cache) {
                view.note_image(&spec.image, spec.image_gb, cache);
            }
            let job = book.jobs.get(&task.job);
            let outcome = self.outcome(view, job, task, &placed.placement, preempting);
            if outcome.is_some() {
                any = true;
                if !results.contains_key(&task.job) {
                    results.insert(task.job.clone(), now);
                }
            }
        }
        any
    }

    /// Results of a job may wait for others of it, as each record written costs
    /// one of the scarce changes; the longer, the fewer of these are left. Room
    /// does not wait for them, nor does a result that ends the job, or our part
    /// of it.
    fn result_patience(&self) -> Duration {
        match self.store.spare_writes() {
            spare if spare > 0.85 => Duration::from_millis(200),
            spare if spare > 0.6 => Duration::from_millis(1500),
            spare if spare > 0.3 => Duration::from_millis(4000),
            _ => Duration::from_millis(8000),
        }
    }

    fn collect_results(
        &self,
        state: &mut HolderState,
        book: &Book,
        now: Instant,
        changes: &mut Changes,
    ) {
        let patience = self.result_patience();
        let HolderState {
            views,
            results,
            preempting,
            ..
        } = state;
        results.retain(|id, since| {
            let Some(job) = book.jobs.get(id) else {
                return false;
            };
            let mut found: Vec<(u32, &Placement, Outcome)> = Vec::new();
            let mut open = 0;
            for (index, placement) in job.chunks.values().flat_map(|kept| &kept.value.placed) {
                let Some(view) = views.get(&placement.machine) else {
                    continue;
                };
                let task = TaskId::new(id.clone(), *index);
                match self.outcome(view, Some(job), &task, placement, preempting) {
                    Some(outcome) => found.push((*index, placement, outcome)),
                    None => open += 1,
                }
            }
            if found.is_empty() {
                return false;
            }
            if open > 0 && now.duration_since(*since) < patience {
                return true;
            }
            for (index, placement, outcome) in found {
                let change = changes.of(id, job, index);
                if outcome == Outcome::Gone
                    && let Some((block, kept)) = self.own_block_of(book, &placement.machine)
                {
                    if !self.has_condition_for(change, job, block) {
                        // In the next round.
                        continue;
                    }
                    change.fenced = true;
                    change.blocks.insert(block, kept.mark);
                }
                match outcome {
                    Outcome::Ended(Exit::Done) => change.record.complete(index),
                    _ => change.record.unplace(index),
                }
                if let Outcome::Ended(exit) = outcome {
                    let task = TaskId::new(id.clone(), index);
                    change.ends.push((task, placement.machine.clone(), exit));
                }
            }
            // It stays until the book shows the result.
            true
        });
    }

    /// What a written end of a task tells about its class and its machine. Only
    /// now, so that a result whose commit is repeated counts once.
    fn learn_from(
        &self,
        state: &mut HolderState,
        book: &Book,
        task: &TaskId,
        machine: &MachineId,
        exit: Exit,
    ) {
        let now = Instant::now();
        let Some(view) = state.views.get_mut(machine) else {
            return;
        };
        if exit == Exit::Done {
            let spec = book.jobs.get(&task.job).and_then(|job| job.spec());
            let since = view.tasks.get(task).and_then(|seen| seen.running_since);
            if let (Some(spec), Some(since)) = (spec, since)
                && let Some(ratio) = lock(&self.learning).learn(
                    &spec.class,
                    spec.estimate,
                    now.duration_since(since),
                )
            {
                view.speed += 0.1 * (1.0 / ratio.clamp(0.2, 5.0) - view.speed);
            }
            return;
        }
        tracing::debug!(%task, %machine, ?exit, "ended");
        match exit {
            Exit::Failed => {
                view.note_failure(&task.job, now);
                view.refuse(&task.job, now + Duration::from_secs(60), now);
                state.note_failure(task, machine, now);
            }
            // Something is on the machine that we do not know of yet.
            Exit::NoRoom | Exit::Busy => view.refuse(&task.job, now + Duration::from_secs(3), now),
            // Its user has not uploaded the description yet, or never will.
            Exit::Unknown => state.note_failure(task, machine, now),
            Exit::Stopped | Exit::Other | Exit::Done => {}
        }
    }

    /// Free room on our machines, as far as it may be used now.
    fn slots(&self, state: &HolderState, book: &Book, now: Instant) -> Vec<placement::Slot> {
        let mut slots = Vec::new();
        let now_ms = self.config.now_ms();
        let quiet = self.config.worker_report.mul_f64(1.5);
        let patience = self.config.deaf_after();
        let blocks = self.own_blocks(book).filter(|(_, kept)| !kept.value.frozen);
        for (id, usage) in blocks.flat_map(|(_, kept)| &kept.value.machines) {
            let (Some(view), Some(record)) = (state.views.get(id), book.machines.get(id)) else {
                continue;
            };
            let Some(kind) = book.machine_type(&record.kind) else {
                continue;
            };
            if *usage == MachineUse::Frozen
                || !view.reported
                || view.silent(now) > quiet
                || view.unreachable
                || view.unsettled.is_some()
                || view.leaves_at.is_some()
                || view.is_suspect(now)
                || view.is_deaf(patience, now)
            {
                continue;
            }
            let mut room = kind.size;
            if let Some(load) = book.on_machine.get(id) {
                room -= load.taken;
                room += view.freed(load);
            }
            if room.cpus < AMOUNT_SLACK {
                continue;
            }
            let age = Duration::from_millis(now_ms.saturating_sub(record.rented_ms));
            slots.push(placement::Slot {
                group: 0,
                machine: id.clone(),
                kind: record.kind.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                room,
                size: kind.size,
                fetch_gb_per_s: kind.fetch_gb_per_s,
                speed: view.speed,
                images: view.images(),
                leaves_in: (*usage == MachineUse::Marked)
                    .then(|| self.config.tuning.paid.left(age)),
            });
        }
        slots
    }

    fn place_offers(
        &self,
        state: &mut HolderState,
        book: &Book,
        seat: &Kept<SeatRecord>,
        now: Instant,
        changes: &mut Changes,
    ) {
        state.offers.retain(|_, offer| offer.until > now);
        if state.offers.is_empty() {
            return;
        }
        let mut slots = self.slots(state, book, now);
        let mut used = book.quota_used(
            self.own_blocks(book)
                .flat_map(|(_, kept)| kept.value.machines.keys()),
        );
        let mut order: Vec<(&JobId, &Arc<JobSpec>, &book::Job)> = state
            .offers
            .keys()
            .filter_map(|id| {
                let job = book.jobs.get(id)?;
                Some((id, job.spec()?, job))
            })
            .filter(|(_, _, job)| job.draining.is_none())
            .collect();
        order.sort_by_key(|(id, spec, _)| {
            (
                std::cmp::Reverse(spec.priority),
                spec.accepted_ms + spec.deadline.map_or(0, |d| d.as_millis() as u64),
                (*id).clone(),
            )
        });
        for (id, spec, job) in order {
            let Some(offer) = state.offers.get(id) else {
                continue;
            };
            let tasks: Vec<u32> = offer
                .tasks
                .iter()
                .copied()
                .filter(|task| {
                    // Not while this very round writes about it.
                    let now_written = changes
                        .0
                        .get(&(id.clone(), task / keys::CHUNK))
                        .is_some_and(|change| {
                            let record = &change.record;
                            record.is_done(*task) || record.placed.get(task) != job.recorded(*task)
                        });
                    *task < spec.tasks
                        && job.placement(*task).is_none()
                        && !job.is_task_done(*task)
                        && !now_written
                })
                .collect();
            let gang = spec.kind == JobKind::Gang;
            if gang && (tasks.is_empty() || !job.may_join()) {
                continue;
            }
            let before = gang.then(|| (slots.clone(), used.clone()));
            let budget = seat
                .value
                .budgets
                .get(&spec.team)
                .copied()
                .unwrap_or_default();
            let zones = zone_counts(book, job);
            let mut team = TeamUse {
                used: used.get(&spec.team).copied().unwrap_or_default(),
                budget,
            };
            let chosen = if gang && spec.one_zone && zones.is_empty() {
                self.choose_zone(&state.views, (id, job), &tasks, &mut slots, &mut team)
            } else {
                self.choose_slots(
                    &state.views,
                    (id, job),
                    &tasks,
                    &mut slots,
                    &mut team,
                    zones,
                )
            };
            used.insert(spec.team.clone(), team.used);
            if let Some((old_slots, old_used)) = before
                && chosen.len() < tasks.len()
            {
                // A gang's part is placed whole or not at all.
                slots = old_slots;
                used = old_used;
                continue;
            }
            for (task, at) in chosen {
                let machine = &slots[at].machine;
                let (Some(view), Some((block, kept))) =
                    (state.views.get(machine), self.own_block_of(book, machine))
                else {
                    continue;
                };
                let session = view.session;
                let change = changes.of(id, job, task);
                if !self.has_condition_for(change, job, block) {
                    continue;
                }
                let attempt = if gang {
                    job.gang_attempt()
                } else {
                    change.record.next_attempt(task)
                };
                change.record.place(task, machine.clone(), session, attempt);
                change.places = true;
                change.fenced = true;
                change.blocks.insert(block, kept.mark);
                let task = TaskId::new(id.clone(), task);
                let start = Command::Start { task, attempt };
                change.starts.push((machine.clone(), session, start));
            }
        }
    }

    /// As [`Self::choose_slots`] for a gang that is bound to one zone and has no task
    /// anywhere yet: the first zone that has room for all of them.
    fn choose_zone(
        &self,
        views: &BTreeMap<MachineId, View>,
        (id, job): (&JobId, &book::Job),
        tasks: &[u32],
        slots: &mut Vec<placement::Slot>,
        team: &mut TeamUse,
    ) -> Vec<(u32, usize)> {
        let zones: BTreeSet<ZoneName> = slots.iter().map(|slot| slot.zone.clone()).collect();
        for zone in zones {
            let before = (slots.clone(), team.used);
            let only = BTreeMap::from([(zone, 0)]);
            let chosen = self.choose_slots(views, (id, job), tasks, slots, team, only);
            if chosen.len() == tasks.len() {
                return chosen;
            }
            (*slots, team.used) = before;
        }
        Vec::new()
    }

    /// Whether a transaction that writes this record can be conditional on one more
    /// block, beside its seat, spec, fate and the job's records.
    fn has_condition_for(&self, change: &JobChange, job: &book::Job, block: BlockId) -> bool {
        let records = match job.spec() {
            Some(spec) if spec.one_zone || spec.spread => spec.tasks.div_ceil(keys::CHUNK) as usize,
            _ => 1,
        };
        let most = (4 * self.config.state.txn_ops).saturating_sub(3 + records);
        change.blocks.contains_key(&block) || change.blocks.len() < most.max(1)
    }

    /// A slot for each of the tasks, as far as room and budget last.
    fn choose_slots(
        &self,
        views: &BTreeMap<MachineId, View>,
        (id, job): (&JobId, &book::Job),
        tasks: &[u32],
        slots: &mut [placement::Slot],
        team: &mut TeamUse,
        mut zones: BTreeMap<ZoneName, u32>,
    ) -> Vec<(u32, usize)> {
        let Some(spec) = job.spec() else {
            return Vec::new();
        };
        let now = Instant::now();
        let factor = lock(&self.learning).factor(&spec.class);
        let quota = Quota::of(&spec.per_task);
        let mut admits = |slot: &placement::Slot| {
            let after = team.used.plus(&quota);
            let admitted = team.budget.covers(&after)
                && zone_admits(spec, &zones, &slot.zone)
                && views
                    .get(&slot.machine)
                    .is_some_and(|view| !view.refuses(id, now));
            if admitted {
                team.used = after;
                *zones.entry(slot.zone.clone()).or_default() += 1;
            }
            admitted
        };
        // A task that was placed before may still be listed by a machine, which
        // would refuse it: such tasks look at each machine by themselves.
        let (again, fresh): (Vec<u32>, Vec<u32>) = tasks.iter().partition(|task| {
            job.chunks.get(&(**task / keys::CHUNK)).is_some_and(|kept| {
                kept.value.before.contains_key(task) || kept.value.placed.contains_key(task)
            })
        });
        let mut chosen = Vec::with_capacity(tasks.len());
        for task in again {
            let task_id = TaskId::new(id.clone(), task);
            let at = placement::choose(spec, slots, factor, |slot| {
                let listed = views
                    .get(&slot.machine)
                    .is_some_and(|view| view.tasks.contains_key(&task_id));
                !listed
                    && views
                        .get(&slot.machine)
                        .is_some_and(|view| !view.refuses(id, now))
            });
            if let Some(at) = at
                && admits(&slots[at])
            {
                slots[at].put(spec);
                chosen.push((task, at));
            }
        }
        let filled = placement::fill(spec, slots, factor, fresh.len(), admits);
        chosen.extend(fresh.into_iter().zip(filled));
        chosen
    }

    /// Tasks to be stopped now, directly rather than with the next answer. `mates`:
    /// those of gangs that other controllers are to stop with them, since a gang
    /// saves only if all of it is told within `gang_peer_s`.
    fn collect_stops(
        &self,
        state: &mut HolderState,
        book: &Book,
        now: Instant,
        mates: &mut BTreeMap<NodeName, Vec<TaskId>>,
    ) -> Vec<(MachineId, Vec<Command>)> {
        let HolderState {
            views, preempting, ..
        } = state;
        let mut leaving_gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut wanted: Vec<(TaskId, &Placement)> = Vec::new();
        let ending = book.ending.iter().filter(|id| book.is_cancelled(id));
        let told = book
            .told_cancelled()
            .filter(|id| !book.ending.contains(*id));
        for id in ending.chain(told) {
            let Some(job) = book.jobs.get(id) else {
                continue;
            };
            for (index, placement) in job.chunks.values().flat_map(|kept| &kept.value.placed) {
                wanted.push((TaskId::new(id.clone(), *index), placement));
            }
        }
        for (task, attempt) in preempting.iter() {
            let job = book.jobs.get(&task.job);
            if let Some(placement) = job.and_then(|job| job.placement(task.index))
                && placement.attempt == *attempt
            {
                wanted.push((task.clone(), placement));
            }
        }
        // The cloud takes the machine: replicas go to another one before it
        // does, and tasks that can save do so.
        for (machine, view) in views.iter() {
            let Some(leaves_at) = view.leaves_at else {
                continue;
            };
            for (task, placed) in book.on_machine.get(machine).iter().flat_map(|l| &l.tasks) {
                if let Some(spec) = placed.spec.as_ref().filter(|s| s.kind == JobKind::Gang) {
                    let seen = view.tasks.get(task);
                    let since = seen.and_then(|seen| seen.running_since);
                    let ends_first = since.is_some_and(|at| at + spec.estimate < leaves_at);
                    let lately = view.stops_sent.contains_key(task);
                    if !ends_first && !lately && now + spec.save < leaves_at {
                        leaving_gangs.insert(task.job.clone());
                    }
                    continue;
                }
                let leaves = placed.spec.as_ref().is_some_and(|spec| {
                    spec.kind == JobKind::Service
                        || (!spec.checkpoint.is_zero() && now + spec.save < leaves_at)
                });
                if leaves {
                    wanted.push((task.clone(), &placed.placement));
                }
            }
        }
        for id in leaving_gangs {
            let Some(job) = book.jobs.get(&id) else {
                continue;
            };
            for (index, placement) in job.present_placements() {
                let task = TaskId::new(id.clone(), index);
                if views.contains_key(&placement.machine) {
                    preempting.insert(task.clone(), placement.attempt);
                    wanted.push((task, placement));
                } else if let Some((_, kept)) = book.block_of(&placement.machine) {
                    let there = mates.entry(kept.value.node.clone()).or_default();
                    there.push(task);
                }
            }
        }
        let mut stops: BTreeMap<MachineId, Vec<Command>> = BTreeMap::new();
        for (task, placement) in wanted {
            let Some(view) = views.get_mut(&placement.machine) else {
                continue;
            };
            let over = view.tasks.get(&task).is_some_and(|seen| {
                seen.attempt == placement.attempt && matches!(seen.state, TaskState::Exited(_))
            });
            let lately = view
                .stops_sent
                .get(&task)
                .is_some_and(|at| now.duration_since(*at) < STOP_AGAIN);
            if over || lately {
                continue;
            }
            view.stops_sent.insert(task.clone(), now);
            let job = book.jobs.get(&task.job);
            let cancelled = book.is_cancelled(&task.job);
            let spec = job.and_then(|job| job.spec()).map(|spec| &**spec);
            stops
                .entry(placement.machine.clone())
                .or_default()
                .push(Command::Stop {
                    task,
                    attempt: placement.attempt,
                    grace: grace(spec, cancelled),
                });
        }
        stops.into_iter().collect()
    }

    /// Writes what it can of the changes: the most pressing first, and no more
    /// than the state service's limits allow now. The rest is planned again.
    async fn commit_changes(self: &Arc<Self>, changes: Changes) {
        let mut parts: Vec<(Transaction, JobChange)> = Vec::new();
        let seat = {
            let book = self.store.book();
            let Some(seat) = self.own_seat(&book).map(|kept| kept.mark) else {
                return;
            };
            for (_, mut change) in changes.0 {
                if let Some(transaction) = self.write_job(&book, &mut change) {
                    parts.push((transaction, change));
                }
            }
            parts.sort_by_cached_key(|(_, change)| {
                let job = book.jobs.get(&change.id);
                let spec = job.and_then(|job| job.spec());
                let pressing = match spec {
                    _ if change.finishes => 1,
                    Some(spec) if change.places && spec.priority == Priority::Production => 0,
                    _ if change.places => 2,
                    _ => 3,
                };
                // Urgent jobs are young: by age alone they would come last.
                let priority = std::cmp::Reverse(spec.map(|spec| spec.priority));
                (pressing, priority, spec.map_or(0, |spec| spec.accepted_ms))
            });
            seat
        };
        while !parts.is_empty() {
            let group = self.next_group(&mut parts);
            if !self.commit_group(seat, group).await {
                return;
            }
            if !parts.is_empty() && self.store.commit_wait(Urgency::Place).is_some() {
                self.holder_kick.notify_one();
                return;
            }
        }
    }

    /// The first part with others that go in one transaction with it. One that
    /// may well be refused goes alone: all that is in a refused transaction counts
    /// against the limit of changes.
    fn next_group(
        &self,
        parts: &mut Vec<(Transaction, JobChange)>,
    ) -> Vec<(Transaction, JobChange)> {
        let first = parts.remove(0);
        let (fenced, shared) = (first.1.fenced, first.1.shared);
        let mut ops = first.0.ops.len();
        let mut conditions = 1 + first.0.conditions.len();
        let mut group = vec![first];
        if shared {
            return group;
        }
        let most = self.config.state.txn_ops.min(RECORDS_PER_COMMIT);
        let mut at = 0;
        while at < parts.len() && ops < most {
            let (part, change) = &parts[at];
            if change.fenced == fenced
                && !change.shared
                && ops + part.ops.len() <= most
                && conditions + part.conditions.len() <= 4 * self.config.state.txn_ops
            {
                ops += part.ops.len();
                conditions += part.conditions.len();
                group.push(parts.remove(at));
            } else {
                at += 1;
            }
        }
        group
    }

    /// The transaction part for one job, without the seat's condition.
    fn write_job(&self, book: &Book, change: &mut JobChange) -> Option<Transaction> {
        let job = book.jobs.get(&change.id)?;
        let spec = job.spec();
        let kept = job.chunks.get(&change.chunk);
        let placed = kept.iter().flat_map(|kept| kept.value.placed.values());
        let mut machines = placed.map(|placement| &placement.machine);
        change.shared = machines.any(|machine| {
            book.machines.contains_key(machine) && self.own_block_of(book, machine).is_none()
        });
        let key = keys::run(&change.id, change.chunk);
        let mut part = Transaction::default().require(key.clone(), job.run_mark(change.chunk));
        let done = change.record.done_count();
        let finished = spec.is_some_and(|spec| spec.tasks <= keys::CHUNK && done >= spec.tasks);
        for (block, mark) in &change.blocks {
            part = part.require(keys::block(*block), *mark);
        }
        if finished && job.draining.is_none() {
            change.finishes = true;
            // The end of a job of one record takes its keys with it.
            let fate = FateRecord {
                fate: Fate::Done,
                done: spec.map_or(0, |spec| spec.tasks),
            };
            return Some(
                part.require(keys::fate(&change.id), Revision(0))
                    .set(keys::fate(&change.id), &fate)
                    .remove(keys::run(&change.id, 0))
                    .remove(keys::spec(&change.id)),
            );
        }
        part = part.set(key, &change.record);
        if change.places {
            let spec = spec?;
            part = part
                .require(keys::fate(&change.id), Revision(0))
                .require(keys::spec(&change.id), job.spec.as_ref()?.mark);
            if spec.one_zone || spec.spread {
                // What these allow depends on all of the job's other tasks.
                for chunk in 0..spec.tasks.div_ceil(keys::CHUNK) {
                    if chunk != change.chunk {
                        part = part.require(keys::run(&change.id, chunk), job.run_mark(chunk));
                    }
                }
            }
        }
        Some(part)
    }

    /// Commits a group; a conflicting part is left out and the others go on.
    /// False: the round is over. `seat` is our seat's revision as the plan saw it.
    async fn commit_group(
        self: &Arc<Self>,
        seat: Revision,
        mut group: Vec<(Transaction, JobChange)>,
    ) -> bool {
        let seat_key = keys::seat(&self.config.node);
        while !group.is_empty() {
            let fenced = group.iter().any(|(_, change)| change.fenced);
            let mut whole = Transaction::default();
            if fenced {
                whole = whole.require(seat_key.clone(), seat);
            }
            for (part, _) in &group {
                whole.absorb(part.clone());
            }
            match self.store.commit(&whole, Urgency::Place).await {
                Ok(_) => {
                    self.dispatch_starts(group);
                    self.leader_kick.notify_one();
                    return true;
                }
                Err(CommitError::Conflict(keys)) => {
                    tracing::debug!(?keys, "conflict");
                    if keys.contains(&seat_key) {
                        // The leader has changed our budgets: plan again on them.
                        self.store.fresh().await;
                        self.holder_kick.notify_one();
                        return false;
                    }
                    group.retain(|(part, _)| {
                        !part.conditions.iter().any(|(key, _)| keys.contains(key))
                    });
                    self.learn_fates(&keys).await;
                    self.holder_kick.notify_one();
                }
                Err(error) => {
                    tracing::debug!(%error, "commit failed");
                    if error.is_unknown() && fenced {
                        lock(&self.holder).refence = true;
                    }
                    self.pause(Duration::from_millis(100)).await;
                    return false;
                }
            }
        }
        true
    }

    /// A job of ours turned out to be over.
    async fn learn_fates(&self, failed: &[String]) {
        self.store.fresh().await;
        for key in failed {
            if let Some(keys::Key::Fate(job)) = keys::Key::parse(key) {
                let _ = self.store.look_up_fate(&job).await;
                lock(&self.holder).offers.remove(&job);
            }
        }
    }

    fn dispatch_starts(self: &Arc<Self>, group: Vec<(Transaction, JobChange)>) {
        let mut by_machine: BTreeMap<(MachineId, Session), Vec<Command>> = BTreeMap::new();
        {
            let book = self.store.book();
            let mut state = lock(&self.holder);
            for (_, change) in group {
                for (task, machine, exit) in &change.ends {
                    self.learn_from(&mut state, &book, task, machine, *exit);
                }
                for (machine, session, command) in change.starts {
                    if let Command::Start { task, attempt } = &command {
                        tracing::debug!(%task, %attempt, %machine, "placed");
                        if let Some(offer) = state.offers.get_mut(&task.job) {
                            offer.tasks.remove(&task.index);
                        }
                    }
                    by_machine
                        .entry((machine, session))
                        .or_default()
                        .push(command);
                }
            }
            state.offers.retain(|_, offer| !offer.tasks.is_empty());
        }
        for ((machine, session), commands) in by_machine {
            self.send_orders(machine, Some(session), commands);
        }
    }

    /// Sends commands directly; the next answer to a report repeats them. A
    /// start is for the session that its placement names: executed in a later
    /// one, it would run although the placement counts as gone.
    fn send_orders(
        self: &Arc<Self>,
        machine: MachineId,
        session: Option<Session>,
        commands: Vec<Command>,
    ) {
        let starts = session.is_some();
        let (address, session, token) = {
            let book = self.store.book();
            let Some((_, block)) = self.own_block_of(&book, &machine) else {
                return;
            };
            let mut state = lock(&self.holder);
            let Some(view) = state.views.get_mut(&machine) else {
                return;
            };
            let Some(address) = view.address.clone() else {
                return;
            };
            if starts {
                view.start_sent();
            }
            let session = session.unwrap_or(view.session);
            (address, session, Token::from(block.mark))
        };
        let node = self.clone();
        tokio::spawn(async move {
            let answer = {
                // Bounds the sockets that commands take.
                let _place = node.orders_out.acquire().await;
                node.workers
                    .orders(&address, token, session, &commands)
                    .await
            };
            let now = Instant::now();
            let book = node.store.book();
            let mut state = lock(&node.holder);
            let Some(view) = state.views.get_mut(&machine) else {
                return;
            };
            if starts {
                view.start_answered();
            }
            match answer {
                Ok(answer) => {
                    if !answer.executed {
                        tracing::debug!(%machine, %token, "orders not executed");
                    }
                    view.take(&answer.report, Source::Direct, now);
                    node.note_results(&mut state, &book, &machine, now);
                    drop(state);
                    drop(book);
                    node.holder_kick.notify_one();
                }
                Err(error) => {
                    tracing::debug!(%machine, %error, "orders without an answer");
                    if starts {
                        view.started_unanswered(token, now);
                    }
                }
            }
        });
    }

    /// Duty: looks at machines that have fallen silent.
    pub(super) async fn probe_silent(&self) {
        while self.pause(Duration::from_millis(700)).await {
            let silent: Vec<(MachineId, Option<String>)> = {
                let book = self.store.book();
                let now = Instant::now();
                let mut state = lock(&self.holder);
                let after = self.config.worker_report.mul_f64(1.3);
                state
                    .views
                    .iter_mut()
                    .filter(|(_, view)| {
                        view.silent(now) > after
                            && view
                                .probed
                                .is_none_or(|at| now.duration_since(at) > Duration::from_secs(1))
                    })
                    .take(PROBES)
                    .map(|(id, view)| {
                        view.probed = Some(now);
                        let known = book
                            .machines
                            .get(id)
                            .and_then(|record| record.address.clone());
                        (id.clone(), view.address.clone().or(known))
                    })
                    .collect()
            };
            let looks = silent.into_iter().map(|(id, address)| async move {
                // Never seen up: it is booting, and the leader minds that.
                let Some(address) = address else { return };
                let answer = self.workers.inspect(&address).await;
                let mut state = lock(&self.holder);
                let Some(view) = state.views.get_mut(&id) else {
                    return;
                };
                match answer {
                    Ok(report) => {
                        view.take(&report, Source::Direct, Instant::now());
                        view.unreachable = false;
                    }
                    Err(_) => view.unreachable = true,
                }
            });
            futures::future::join_all(looks).await;
        }
    }
}

/// Where a job's placed tasks are.
pub(super) fn zone_counts(book: &Book, job: &book::Job) -> BTreeMap<ZoneName, u32> {
    let mut zones = BTreeMap::new();
    let spec = job.spec();
    if !spec.is_some_and(|spec| spec.one_zone || spec.spread) {
        return zones;
    }
    for record in job.chunks.values() {
        for placement in record.value.placed.values() {
            if let Some(machine) = book.machines.get(&placement.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
    }
    zones
}

/// Whether one more task of the job may be in this zone.
pub(super) fn zone_admits(
    spec: &JobSpec,
    zones: &BTreeMap<ZoneName, u32>,
    zone: &ZoneName,
) -> bool {
    if spec.one_zone && zones.keys().any(|other| other != zone) {
        return false;
    }
    !spec.spread || zones.get(zone).copied().unwrap_or(0) < spec.zone_limit()
}

#[cfg(test)]
mod tests {
    use super::{super::policy::placement::tests::spec, *};

    #[test]
    fn spread_and_one_zone() {
        let (a, b) = (ZoneName::new("a"), ZoneName::new("b"));
        let mut spec = spec(1.0, false);
        spec.tasks = 5;
        spec.spread = true;
        let mut zones = BTreeMap::from([(a.clone(), 2)]);
        assert!(zone_admits(&spec, &zones, &a));
        zones.insert(a.clone(), 3);
        assert!(!zone_admits(&spec, &zones, &a) && zone_admits(&spec, &zones, &b));
        spec.spread = false;
        spec.one_zone = true;
        assert!(zone_admits(&spec, &zones, &a) && !zone_admits(&spec, &zones, &b));
    }

    #[test]
    fn failures_wait_longer_each_time() {
        assert_eq!(failure_pause(1), Duration::from_secs(1));
        assert_eq!(failure_pause(4), Duration::from_secs(8));
        assert_eq!(failure_pause(40), Duration::from_secs(60));
    }
}
