//! A holder's work on its block: records results, places the tasks it was
//! offered, and commands its workers. One loop does all commits, so that the
//! block's budgets are counted once.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
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

#[derive(Default)]
pub struct HolderState {
    pub(super) views: HashMap<MachineId, View>,
    offers: HashMap<JobId, OfferHeld>,
    pub(super) preempting: HashMap<TaskId, Attempt>,
    failing: HashMap<JobId, Failing>,
    /// The outcome of a commit is unknown: nothing is placed before the block
    /// has a new revision, which voids whatever may still be on its way.
    refence: bool,
}

impl HolderState {
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

/// What one round wants to write about one job.
struct JobChange {
    id: JobId,
    chunks: BTreeMap<u32, RunRecord>,
    places: bool,
    starts: Vec<(MachineId, Session, Command)>,
}

impl JobChange {
    fn chunk<'a>(&'a mut self, job: Option<&book::Job>, task: u32) -> &'a mut RunRecord {
        let chunk = task / keys::CHUNK;
        self.chunks.entry(chunk).or_insert_with(|| {
            job.and_then(|job| job.chunks.get(&chunk))
                .map(|kept| kept.value.clone())
                .unwrap_or_default()
        })
    }
}

#[derive(Default)]
struct Changes(BTreeMap<JobId, JobChange>);

impl Changes {
    fn of(&mut self, id: &JobId) -> &mut JobChange {
        self.0.entry(id.clone()).or_insert_with(|| JobChange {
            id: id.clone(),
            chunks: BTreeMap::new(),
            places: false,
            starts: Vec::new(),
        })
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
        let Some(block) = self.own_block(&book) else {
            return Vec::new();
        };
        let state = lock(&self.holder);
        block
            .value
            .machines
            .keys()
            .filter_map(|id| Some((id, state.views.get(id)?)))
            .map(|(id, view)| HeldMachine {
                machine: id.clone(),
                silent: view.silent(now),
                unreachable: view.unreachable,
                suspect: view.is_suspect(now),
                leaving: view.leaves_at.is_some(),
                images: view.images(),
                speed: view.speed,
            })
            .collect()
    }

    /// Duty: the holder's loop.
    pub(super) async fn hold(self: &Arc<Self>) {
        let mut changes = self.store.changes();
        while !self.stop.is_cancelled() {
            tokio::select! {
                _ = self.stop.cancelled() => return,
                _ = changes.changed() => {}
                _ = self.holder_kick.notified() => {}
                _ = tokio::time::sleep(Duration::from_millis(500)) => {}
            }
            changes.mark_unchanged();
            if self.store.is_loaded() {
                self.hold_once().await;
            }
            // Many reports come close together; one round serves them all.
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn hold_once(self: &Arc<Self>) {
        let (block, refence) = {
            let book = self.store.book();
            let block = self.own_block(&book).cloned();
            let mut state = lock(&self.holder);
            match &block {
                Some(block) => self.align(&mut state, block, &book),
                None => {
                    state.views.clear();
                    state.offers.clear();
                    state.preempting.clear();
                }
            }
            (block, state.refence || self.wants_settling(&state))
        };
        let Some(block) = block else { return };
        if refence && !self.refence(&block).await {
            return;
        }
        let (changes, machine_writes, stops) = {
            let book = self.store.book();
            let Some(block) = self.own_block(&book) else {
                return;
            };
            let mut state = lock(&self.holder);
            let now = Instant::now();
            let mut changes = Changes::default();
            self.collect_results(&mut state, &book, block, now, &mut changes);
            if self.store.is_reachable() {
                self.place_offers(&mut state, &book, block, now, &mut changes);
            }
            let stops = self.collect_stops(&mut state, &book, block, now);
            let addresses = new_addresses(&state, &book, block);
            (changes, addresses, stops)
        };
        for (machine, commands) in stops {
            self.send_orders(machine, None, commands);
        }
        self.commit_changes(changes, machine_writes).await;
    }

    /// Views exist for the block's machines and for no others.
    fn align(&self, state: &mut HolderState, block: &Kept<BlockRecord>, book: &Book) {
        let now = Instant::now();
        let HolderState {
            views, preempting, ..
        } = state;
        views.retain(|id, _| block.value.machines.contains_key(id));
        for id in block.value.machines.keys() {
            views
                .entry(id.clone())
                .or_insert_with(|| View::new(block.mark.into(), now));
        }
        preempting.retain(|task, attempt| {
            book.jobs
                .get(&task.job)
                .and_then(|job| job.placement(task.index))
                .is_some_and(|placement| placement.attempt == *attempt)
        });
    }

    fn wants_settling(&self, state: &HolderState) -> bool {
        state.views.values().any(|view| {
            view.unsettled.is_some_and(|(token, at)| {
                at.elapsed() > SETTLE_AFTER && view.heard > at && token >= view.token
            })
        })
    }

    /// Writes the block anew: its new revision is a new token, under which no
    /// earlier command of ours is executed and no earlier commit applies.
    async fn refence(&self, block: &Kept<BlockRecord>) -> bool {
        let key = keys::block(&self.config.node);
        let transaction = Transaction::default()
            .require(key.clone(), block.mark)
            .set(key, &block.value);
        match self.store.commit(&transaction, Urgency::Fence).await {
            Ok(mark) => {
                tracing::debug!(token = %mark, "raised our token");
                // What was committed before it is in the book only after this.
                let fresh = self.store.fresh().await;
                let mut state = lock(&self.holder);
                state.refence = !fresh;
                for view in state.views.values_mut() {
                    if let Some((_, at)) = &mut view.unsettled {
                        *at = Instant::now();
                    }
                }
                fresh
            }
            Err(error) => {
                tracing::debug!(%error, "cannot raise our token");
                lock(&self.holder).refence |= error.is_unknown();
                if !self.store.fresh().await {
                    self.pause(Duration::from_millis(200)).await;
                }
                false
            }
        }
    }

    fn collect_results(
        &self,
        state: &mut HolderState,
        book: &Book,
        block: &Kept<BlockRecord>,
        now: Instant,
        changes: &mut Changes,
    ) {
        let mut failed = Vec::new();
        for machine in block.value.machines.keys() {
            let Some(placed) = book.on_machine.get(machine) else {
                continue;
            };
            let Some(view) = state.views.get_mut(machine) else {
                continue;
            };
            if !view.reported {
                continue;
            }
            let kind = book
                .machines
                .get(machine)
                .and_then(|record| book.machine_type(&record.value.kind));
            for (task, placement) in placed {
                let job = book.jobs.get(&task.job);
                let spec = job.and_then(|job| job.spec());
                if view.outlived(placement.session) {
                    tracing::debug!(%task, %machine, "gone with its worker's session");
                    changes
                        .of(&task.job)
                        .chunk(job, task.index)
                        .unplace(task.index);
                    continue;
                }
                let seen = view
                    .tasks
                    .get(task)
                    .filter(|seen| seen.attempt == placement.attempt)
                    .cloned();
                let Some(seen) = seen else {
                    let unwanted = job.is_none_or(|job| job.draining.is_some())
                        || state.preempting.get(task) == Some(&placement.attempt);
                    if unwanted && placement.session == view.session && view.absence_is_proof(task)
                    {
                        changes
                            .of(&task.job)
                            .chunk(job, task.index)
                            .unplace(task.index);
                    }
                    continue;
                };
                if seen.state == TaskState::Running
                    && let (Some(spec), Some(kind)) = (spec, kind)
                {
                    view.note_image(&spec.image, spec.image_gb, kind.cache_gb);
                }
                let TaskState::Exited(exit) = seen.state else {
                    continue;
                };
                let record = changes.of(&task.job).chunk(job, task.index);
                if exit == Exit::Done {
                    record.complete(task.index);
                    if let (Some(spec), Some(since)) = (spec, seen.running_since)
                        && let Some(ratio) = lock(&self.learning).learn(
                            &spec.class,
                            spec.estimate,
                            now.duration_since(since),
                        )
                    {
                        view.speed += 0.1 * (1.0 / ratio.clamp(0.2, 5.0) - view.speed);
                    }
                    continue;
                }
                tracing::debug!(%task, %machine, ?exit, "ended");
                record.unplace(task.index);
                match exit {
                    Exit::Failed => {
                        view.note_failure(&task.job, now);
                        view.refuse(&task.job, now + Duration::from_secs(60), now);
                        failed.push((task.clone(), machine.clone()));
                    }
                    // Something is on the machine that we do not know of yet.
                    Exit::NoRoom | Exit::Busy => {
                        view.refuse(&task.job, now + Duration::from_secs(3), now)
                    }
                    // Its user has not uploaded the description yet, or never will.
                    Exit::Unknown => failed.push((task.clone(), machine.clone())),
                    Exit::Stopped | Exit::Other | Exit::Done => {}
                }
            }
        }
        for (task, machine) in failed {
            state.note_failure(&task, &machine, now);
        }
    }

    /// Free room on the block's machines, as far as it may be used now.
    fn slots(
        &self,
        state: &HolderState,
        book: &Book,
        block: &Kept<BlockRecord>,
        now: Instant,
    ) -> Vec<placement::Slot> {
        let mut slots = Vec::new();
        for (id, usage) in &block.value.machines {
            let (Some(view), Some(record)) = (state.views.get(id), book.machines.get(id)) else {
                continue;
            };
            let Some(kind) = book.machine_type(&record.value.kind) else {
                continue;
            };
            if *usage == MachineUse::Frozen
                || !view.reported
                || view.silent(now) > self.config.worker_report.mul_f64(1.5)
                || view.unreachable
                || view.leaves_at.is_some()
                || view.is_suspect(now)
            {
                continue;
            }
            let mut room = kind.size;
            room -= book.taken(id);
            let age =
                Duration::from_millis(self.config.now_ms().saturating_sub(record.value.rented_ms));
            slots.push(placement::Slot {
                machine: id.clone(),
                kind: record.value.kind.clone(),
                zone: record.value.zone.clone(),
                spot: record.value.spot,
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
        block: &Kept<BlockRecord>,
        now: Instant,
        changes: &mut Changes,
    ) {
        state.offers.retain(|_, offer| offer.until > now);
        if state.offers.is_empty() {
            return;
        }
        let mut slots = self.slots(state, book, block, now);
        let mut used = book.quota_used(block.value.machines.keys());
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
            let factor = lock(&self.learning).factor(&spec.class);
            let mut zones = zone_counts(book, job);
            let Some(offer) = state.offers.get(id) else {
                continue;
            };
            let before = (spec.kind == JobKind::Gang).then(|| (slots.clone(), used.clone()));
            for &task in &offer.tasks {
                if task >= spec.tasks || job.placement(task).is_some() || job.is_task_done(task) {
                    continue;
                }
                // Not while this very round writes about it.
                if changes.0.get(id).is_some_and(|change| {
                    change
                        .chunks
                        .get(&(task / keys::CHUNK))
                        .is_some_and(|record| {
                            record.is_done(task) || record.placed.contains_key(&task)
                        })
                }) {
                    continue;
                }
                let team = used.entry(spec.team.clone()).or_default();
                let after = team.plus(&Quota::of(&spec.per_task));
                let budget = block.value.budgets.get(&spec.team).copied();
                if !budget.unwrap_or_default().covers(&after) {
                    break;
                }
                let views = &state.views;
                let chosen = placement::choose(spec, &slots, factor, |slot| {
                    zone_admits(spec, &zones, &slot.zone)
                        && views.get(&slot.machine).is_some_and(|view| {
                            !view.refuses(id, now)
                                && !view.tasks.contains_key(&TaskId::new(id.clone(), task))
                        })
                });
                let Some(slot) = chosen.and_then(|at| slots.get_mut(at)) else {
                    break;
                };
                let Some(view) = views.get(&slot.machine) else {
                    break;
                };
                *team = after;
                slot.room -= spec.per_task;
                if !slot.images.contains(&spec.image) {
                    slot.images.push(spec.image.clone());
                }
                *zones.entry(slot.zone.clone()).or_default() += 1;
                let change = changes.of(id);
                let attempt =
                    change
                        .chunk(Some(job), task)
                        .place(task, slot.machine.clone(), view.session);
                change.places = true;
                change.starts.push((
                    slot.machine.clone(),
                    view.session,
                    Command::Start {
                        task: TaskId::new(id.clone(), task),
                        attempt,
                    },
                ));
            }
            // A gang's part is placed whole or not at all.
            let started = changes.0.get(id).map_or(0, |change| change.starts.len());
            if let Some((old_slots, old_used)) = before
                && (1..offer.tasks.len()).contains(&started)
            {
                slots = old_slots;
                used = old_used;
                changes.0.remove(id);
            }
        }
    }

    /// Tasks to be stopped now, directly rather than with the next answer.
    fn collect_stops(
        &self,
        state: &mut HolderState,
        book: &Book,
        block: &Kept<BlockRecord>,
        now: Instant,
    ) -> Vec<(MachineId, Vec<Command>)> {
        let mut stops = Vec::new();
        let HolderState {
            views, preempting, ..
        } = state;
        for machine in block.value.machines.keys() {
            let (Some(placed), Some(view)) = (book.on_machine.get(machine), views.get_mut(machine))
            else {
                continue;
            };
            let mut commands = Vec::new();
            for (task, placement) in placed {
                let job = book.jobs.get(&task.job);
                let cancelled = job.is_some_and(|job| job.draining.is_some());
                // The cloud takes the machine: replicas go to another one before
                // it does, and tasks that can save do so.
                let leaves = view.leaves_at.is_some_and(|at| {
                    job.and_then(|job| job.spec()).is_some_and(|spec| {
                        spec.kind == JobKind::Service
                            || (!spec.checkpoint.is_zero() && now + spec.save < at)
                    })
                });
                let wanted =
                    cancelled || leaves || preempting.get(task) == Some(&placement.attempt);
                let over = view.tasks.get(task).is_some_and(|seen| {
                    seen.attempt == placement.attempt && matches!(seen.state, TaskState::Exited(_))
                });
                let lately = view
                    .stops_sent
                    .get(task)
                    .is_some_and(|at| now.duration_since(*at) < STOP_AGAIN);
                if wanted && !over && !lately {
                    view.stops_sent.insert(task.clone(), now);
                    commands.push(Command::Stop {
                        task: task.clone(),
                        attempt: placement.attempt,
                        grace: grace(job.and_then(|job| job.spec()).map(|s| &**s), cancelled),
                    });
                }
            }
            if !commands.is_empty() {
                stops.push((machine.clone(), commands));
            }
        }
        stops
    }

    async fn commit_changes(
        self: &Arc<Self>,
        changes: Changes,
        machines: Vec<(MachineId, Revision, MachineRecord)>,
    ) {
        let mut parts: Vec<(Transaction, Option<JobChange>)> = Vec::new();
        {
            let book = self.store.book();
            for (_, change) in changes.0 {
                if let Some(transaction) = self.write_job(&book, &change) {
                    parts.push((transaction, Some(change)));
                }
            }
            for (id, mark, record) in machines {
                let key = keys::machine(&id);
                let part = Transaction::default()
                    .require(key.clone(), mark)
                    .set(key, &record);
                parts.push((part, None));
            }
        }
        let mut rest = parts.into_iter().peekable();
        while rest.peek().is_some() {
            let mut group: Vec<(Transaction, Option<JobChange>)> = Vec::new();
            let (mut ops, mut conditions) = (0, 1);
            while let Some((part, _)) = rest.peek() {
                ops += part.ops.len();
                conditions += part.conditions.len();
                if !group.is_empty()
                    && (ops > self.config.txn_ops.min(RECORDS_PER_COMMIT)
                        || conditions > 4 * self.config.txn_ops)
                {
                    break;
                }
                group.extend(rest.next());
            }
            if !self.commit_group(group).await {
                return;
            }
        }
    }

    /// The transaction part for one job, without the block's condition.
    fn write_job(&self, book: &Book, change: &JobChange) -> Option<Transaction> {
        let job = book.jobs.get(&change.id)?;
        let spec = job.spec();
        let mut part = Transaction::default();
        let mut finished = false;
        for (chunk, record) in &change.chunks {
            part = part.require(keys::run(&change.id, *chunk), job.run_mark(*chunk));
            finished = spec
                .is_some_and(|spec| spec.tasks <= keys::CHUNK && record.done_count() >= spec.tasks);
        }
        if finished && job.draining.is_none() {
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
        for (chunk, record) in &change.chunks {
            part = part.set(keys::run(&change.id, *chunk), record);
        }
        if change.places {
            let spec = spec?;
            part = part
                .require(keys::fate(&change.id), Revision(0))
                .require(keys::spec(&change.id), job.spec.as_ref()?.mark);
            if spec.one_zone || spec.spread {
                // What these allow depends on all of the job's other tasks.
                for chunk in 0..spec.tasks.div_ceil(keys::CHUNK) {
                    if !change.chunks.contains_key(&chunk) {
                        part = part.require(keys::run(&change.id, chunk), job.run_mark(chunk));
                    }
                }
            }
        }
        Some(part)
    }

    /// Commits a group; a conflicting part is left out and the others go on.
    /// False: the round is over.
    async fn commit_group(
        self: &Arc<Self>,
        mut group: Vec<(Transaction, Option<JobChange>)>,
    ) -> bool {
        while !group.is_empty() {
            let mark = {
                let book = self.store.book();
                match self.own_block(&book) {
                    Some(block) => block.mark,
                    None => return false,
                }
            };
            let block_key = keys::block(&self.config.node);
            let mut whole = Transaction::default().require(block_key.clone(), mark);
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
                    if keys.contains(&block_key) {
                        // The leader has changed our block: plan again on it.
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
                    if error.is_unknown() {
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

    fn dispatch_starts(self: &Arc<Self>, group: Vec<(Transaction, Option<JobChange>)>) {
        let mut by_machine: BTreeMap<(MachineId, Session), Vec<Command>> = BTreeMap::new();
        {
            let mut state = lock(&self.holder);
            for change in group.into_iter().filter_map(|(_, change)| change) {
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
            let Some(block) = self.own_block(&book) else {
                return;
            };
            if !block.value.machines.contains_key(&machine) {
                return;
            }
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
            let answer = node
                .workers
                .orders(&address, token, session, &commands)
                .await;
            let now = Instant::now();
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
                    drop(state);
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
                    .take(8)
                    .map(|(id, view)| {
                        view.probed = Some(now);
                        let known = book
                            .machines
                            .get(id)
                            .and_then(|record| record.value.address.clone());
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

/// Addresses that the machine records do not have yet: a new holder needs them.
fn new_addresses(
    state: &HolderState,
    book: &Book,
    block: &Kept<BlockRecord>,
) -> Vec<(MachineId, Revision, MachineRecord)> {
    block
        .value
        .machines
        .keys()
        .filter_map(|id| {
            let view = state.views.get(id)?;
            let kept = book.machines.get(id)?;
            if !view.reported || view.address == kept.value.address {
                return None;
            }
            let mut record = kept.value.clone();
            record.address = view.address.clone();
            Some((id.clone(), kept.mark, record))
        })
        .collect()
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
                *zones.entry(machine.value.zone.clone()).or_default() += 1;
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
