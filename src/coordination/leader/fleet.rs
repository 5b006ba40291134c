//! Renting, repairing and giving back machines: the policy's rounds, and the
//! calls to the cloud that follow from them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    super::{
        node::{Node, lock},
        policy::{band, giveback, placement, remedial, suitability},
        ports::*,
    },
    LeaderState,
    routing::Unplaced,
    stats::Pool,
};
use crate::storage::{
    budget::{Budget, Urgency},
    chance, keys,
    records::*,
    *,
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

/// A machine that seems to be gone.
struct Suspect {
    machine: MachineId,
    address: String,
    neighbours: Vec<String>,
}

/// Where and what kind of machine.
type Place = (TypeName, ZoneName, bool);

#[derive(Default)]
pub struct FleetState {
    pub marked: Option<MachineId>,
    refused: HashMap<Place, Refusal>,
    /// Machines that a round asked for and no place had: asked for elsewhere.
    carried: u32,
    in_flight: HashSet<RentName>,
    next_try: HashMap<RentName, Instant>,
    rents: u64,
    last_round: Option<Instant>,
    last_remedy: Option<Instant>,
    last_catalog: Option<Instant>,
    last_list: Option<Instant>,
    /// Machines that no task is routed to now.
    refusing: BTreeSet<MachineId>,
    /// Silent machines being looked at by all controllers, or lately found up.
    verifying: HashMap<MachineId, Instant>,
    unknown: HashMap<MachineId, Instant>,
    returned: HashMap<MachineId, Instant>,
}

/// Capacity that was refused is not asked for again for a while, which doubles
/// with each refusal in a row.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    until: Instant,
    streak: u32,
}

impl Refusal {
    fn after(known: Option<&Refusal>, now: Instant) -> Self {
        let streak = known.map_or(0, |known| known.streak + 1).min(3);
        let pause = REFUSED * (1 << streak);
        Refusal {
            until: now + pause.min(REFUSED_LONGEST),
            streak,
        }
    }
}

const REFUSED: Duration = Duration::from_secs(10);
const REFUSED_LONGEST: Duration = Duration::from_secs(40);
/// A machine of which the waiting tasks fill less than this is not rented,
/// unless they are overdue or cannot wait.
const LEAST_FILL: f64 = 0.6;
/// A silent machine heard elsewhere this lately is not gone.
const SIGHTED: Duration = Duration::from_secs(6);
/// A silent machine that another controller reaches is left alone this long.
const FOUND_UP: Duration = Duration::from_secs(3);
/// A suspect machine's tasks are left this long to end by themselves.
const EMPTY_AFTER: Duration = Duration::from_secs(15);
/// Replicas of younger jobs are not moved.
const SETTLED: Duration = Duration::from_secs(45);
/// Machines looked at beside a silent one, to tell a hang from a cut.
const NEIGHBOURS: usize = 6;
/// Machines rented with one request.
const PER_REQUEST: u32 = 50;
/// Machines on their way to another block at a time.
const MOVES: usize = 2;

/// What renting looks at.
pub struct Market<'a> {
    pub book: &'a Book,
    pub refused: &'a HashMap<Place, Refusal>,
    pub now: Instant,
    pub k: f64,
}

impl Market<'_> {
    fn available(&self, place: &Place) -> bool {
        self.refused
            .get(place)
            .is_none_or(|refusal| refusal.until <= self.now)
    }

    /// The pool that suits `tasks` of the job best (paper, section 5.2).
    /// Cost is what a task would have to pay for: a machine that is half empty
    /// is paid for in full.
    pub fn suited(&self, spec: &JobSpec, tasks: u32, only_available: bool) -> Option<Pool> {
        let mut pools = Vec::new();
        let mut candidates = Vec::new();
        let types = &self.book.catalog.as_ref()?.value.types;
        for kind in types {
            let per = spec.per_task.count_in(&kind.size);
            if per == 0 || !spec.allows_type(&kind.name) {
                continue;
            }
            for spot in [true, false] {
                if spot && !spec.spot {
                    continue;
                }
                let somewhere = kind.zones.iter().any(|zone| {
                    spec.allows_zone(zone)
                        && (!only_available
                            || self.available(&(kind.name.clone(), zone.clone(), spot)))
                });
                if !somewhere {
                    continue;
                }
                let fetch = spec.image_gb / kind.fetch_gb_per_s.max(0.01);
                let time = kind.boot + Duration::from_secs_f64(fetch) + spec.estimate;
                let tasks = tasks.max(1);
                let machines = f64::from(tasks.div_ceil(per)) / f64::from(tasks);
                pools.push((kind.name.clone(), spot));
                candidates.push(suitability::Candidate {
                    time,
                    cost: machines * kind.rate(spot) * time.as_secs_f64(),
                });
            }
        }
        suitability::best(&candidates, self.k).map(|at| pools.swap_remove(at))
    }

    /// Machines of each pool that the tasks would fill beyond those booting.
    pub fn need(
        &self,
        unplaced: &[Unplaced],
        booting: &mut [(placement::Slot, u32)],
    ) -> BTreeMap<Pool, f64> {
        let mut need: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut pressing: BTreeSet<Pool> = BTreeSet::new();
        for waiting in unplaced {
            let Some(spec) = self.book.jobs.get(&waiting.job).and_then(|job| job.spec()) else {
                continue;
            };
            let mut left = waiting.tasks;
            for (slot, _) in booting.iter_mut() {
                if left == 0 {
                    break;
                }
                if placement::allowed(spec, slot) {
                    let fit = spec.per_task.count_in(&slot.room).min(left);
                    slot.room -= spec.per_task.times(f64::from(fit));
                    left -= fit;
                }
            }
            if left == 0 {
                continue;
            }
            if let Some(pool) = self.suited(spec, left, true)
                && let Some(kind) = self.book.machine_type(&pool.0)
            {
                let per = spec.per_task.count_in(&kind.size).max(1);
                if waiting.overdue || spec.priority == Priority::Production {
                    pressing.insert(pool.clone());
                }
                *need.entry(pool).or_default() += f64::from(left) / f64::from(per);
            }
        }
        need.retain(|pool, machines| *machines >= LEAST_FILL || pressing.contains(pool));
        need
    }

    /// Spreads a rental over the zones that have not refused, those with the
    /// fewest machines first.
    pub fn zone_for(&self, pool: &Pool) -> Option<ZoneName> {
        let kind = self.book.machine_type(&pool.0)?;
        kind.zones
            .iter()
            .filter(|zone| self.available(&(pool.0.clone(), (*zone).clone(), pool.1)))
            .min_by_key(|zone| {
                self.book
                    .machines
                    .values()
                    .filter(|kept| kept.value.zone == **zone)
                    .count()
            })
            .cloned()
    }
}

impl Node {
    /// Duty: the leader's slower loop.
    pub(in super::super) async fn keep_fleet(self: &Arc<Self>) {
        let budget = Arc::new(Budget::new((self.config.cloud_rps * 0.8).max(0.5)));
        while self.pause(Duration::from_millis(400)).await {
            if !self.store.is_loaded()
                || !self.store.is_reachable()
                || self.is_leader().is_none()
                || lock(&self.leader).refence
            {
                continue;
            }
            self.poll_catalog(&budget).await;
            self.judge_fleet().await;
            self.send_rents(&budget);
            self.empty_suspects().await;
            self.move_replicas().await;
            self.send_returns(&budget);
            self.poll_list(&budget);
        }
    }

    async fn poll_catalog(&self, budget: &Budget) {
        {
            let state = lock(&self.leader);
            let known = self.store.book().catalog.is_some();
            let every = Duration::from_secs(if known { 30 } else { 1 });
            if state
                .fleet
                .last_catalog
                .is_some_and(|at| at.elapsed() < every)
            {
                return;
            }
        }
        lock(&self.leader).fleet.last_catalog = Some(Instant::now());
        budget.acquire(1.0, Urgency::Fence).await;
        let types = match self.cloud.catalog().await {
            Ok(types) => types,
            Err(error) => {
                tracing::info!(%error, "the cloud's catalog cannot be read");
                return;
            }
        };
        let record = CatalogRecord { types };
        let mark = {
            let book = self.store.book();
            match &book.catalog {
                Some(kept) if kept.value == record => return,
                Some(kept) => kept.mark,
                None => Revision(0),
            }
        };
        let transaction = Transaction::default()
            .require(keys::CATALOG.into(), mark)
            .set(keys::CATALOG.into(), &record);
        let _ = self.commit_as_leader(transaction, Urgency::Fence).await;
    }

    /// Decides what to rent, mark, return and move, and writes the rents down.
    async fn judge_fleet(self: &Arc<Self>) {
        let (rents, silent) = {
            let book = self.store.book();
            if book.catalog.is_none() {
                return;
            }
            let mut state = lock(&self.leader);
            let now = Instant::now();
            let silent = self.find_faulty(&book, &mut state, now);
            self.rebalance(&book, &mut state, now);
            (self.judge_band(&book, &mut state, now), silent)
        };
        for suspect in silent {
            let node = self.clone();
            tokio::spawn(async move { node.verify_silent(suspect).await });
        }
        for (pool, zone, count) in rents {
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
                kind: pool.0,
                zone,
                spot: pool.1,
                count,
                at_ms: self.config.now_ms(),
            };
            let key = keys::rent(&name);
            let transaction = Transaction::default()
                .require(key.clone(), Revision(0))
                .set(key, &record);
            if self
                .commit_as_leader(transaction, Urgency::Place)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// The band's round, and the remedial rule between rounds.
    fn judge_band(
        &self,
        book: &Book,
        state: &mut LeaderState,
        now: Instant,
    ) -> Vec<(Pool, ZoneName, u32)> {
        let tuning = &self.config.tuning;
        let wall = (self.config.wall)();
        let LeaderState {
            fleet,
            stats,
            unplaced,
            since,
            ..
        } = state;
        let refused = fleet.refused.clone();
        let market = Market {
            book,
            refused: &refused,
            now,
            k: tuning.suitability_k,
        };
        stats.starve(unplaced.iter().map(|item| &item.job), now);
        stats.observe(
            book,
            now,
            wall,
            tuning.start_target,
            tuning.window,
            |spec| market.suited(spec, spec.tasks, false),
        );
        let mut booting = booting_slots(book);
        // Rents on their way count as well.
        for kept in book.rents.values() {
            if let Some(kind) = book.machine_type(&kept.value.kind) {
                for _ in 0..kept.value.count {
                    booting.push((empty_slot(kind, &kept.value.zone, kept.value.spot), 0));
                }
            }
        }
        let booting_count = booting.len() as u32;
        let mut need = market.need(unplaced, &mut booting);
        let round_due = fleet
            .last_round
            .or(*since)
            .is_none_or(|at| now.duration_since(at) >= tuning.round);
        let remedy_due = fleet
            .last_remedy
            .is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
        let mut wanted: Vec<(Pool, u32)> = Vec::new();
        if round_due {
            fleet.last_round = Some(now);
            wanted = self.periodic(book, fleet, stats, unplaced, &market, &need);
        } else if remedy_due {
            fleet.last_remedy = Some(now);
            let mut left = remedial::rent(
                unplaced.len(),
                tuning.remedial_theta,
                tuning.beta,
                booting_count,
            );
            left = left.max(std::mem::take(&mut fleet.carried));
            // Exception to section 5.4, see docs/DESIGN.md: never more than the
            // waiting tasks would fill.
            while left > 0
                && let Some((pool, most)) = need
                    .iter()
                    .max_by(|a, b| a.1.total_cmp(b.1))
                    .map(|(pool, most)| (pool.clone(), *most))
                && most > 0.0
            {
                let count = (most.ceil() as u32).min(left);
                left -= count;
                need.remove(&pool);
                tracing::info!(kind = %pool.0, spot = pool.1, count, jobs = unplaced.len(),
                    booting = booting_count, "remedial rule rents");
                wanted.push((pool, count));
            }
        }
        if !wanted.is_empty() {
            fleet.marked = None;
        }
        wanted
            .into_iter()
            .filter_map(|(pool, count)| {
                let zone = market.zone_for(&pool)?;
                Some((pool, zone, count.min(PER_REQUEST)))
            })
            .collect()
    }

    fn periodic(
        &self,
        book: &Book,
        fleet: &mut FleetState,
        stats: &super::stats::Stats,
        unplaced: &[Unplaced],
        market: &Market<'_>,
        need: &BTreeMap<Pool, f64>,
    ) -> Vec<(Pool, u32)> {
        let tuning = &self.config.tuning;
        let mut queue: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut overdue = Vec::new();
        let mut waiting = 0;
        for item in unplaced {
            let Some(spec) = book.jobs.get(&item.job).and_then(|job| job.spec()) else {
                continue;
            };
            let pool = market.suited(spec, item.tasks, true);
            waiting += item.tasks;
            if let Some(pool) = &pool {
                *queue.entry(pool.clone()).or_default() += f64::from(item.tasks);
            }
            if item.overdue {
                overdue.push((pool, item.tasks));
            }
        }
        let misses = stats.misses(&overdue);
        let machines = used_machines(book, tuning.paid, self.config.now_ms());
        let mut pools: BTreeSet<Pool> = queue.keys().cloned().collect();
        pools.extend(misses.shares.keys().cloned());
        let pools: Vec<Pool> = pools.into_iter().collect();
        let loads: Vec<band::TypeLoad> = pools
            .iter()
            .map(|pool| band::TypeLoad {
                miss_share: misses.shares.get(pool).copied().unwrap_or(0.0),
                queue_share: queue.get(pool).copied().unwrap_or(0.0) / f64::from(waiting.max(1)),
                least_utilisation: machines
                    .iter()
                    .filter(|(used, _)| {
                        book.machines.get(&used.id).is_some_and(|kept| {
                            kept.value.kind == pool.0 && kept.value.spot == pool.1
                        })
                    })
                    .map(|(used, _)| used.utilisation)
                    .min_by(f64::total_cmp),
                need: need.get(pool).map_or(0, |need| need.ceil() as u32),
            })
            .collect();
        let arrivals = stats.arrival_rate(tuning.window);
        let rents = band::rent(
            misses.rate,
            arrivals,
            &loads,
            &band::Thresholds {
                beta: tuning.beta,
                miss_weight: tuning.miss_weight,
                demand: tuning.demand_threshold,
                utilisation: tuning.utilisation_threshold,
            },
        );
        let total: u32 = rents.iter().sum();
        tracing::info!(
            miss_rate = misses.rate,
            arrivals,
            waiting,
            machines = machines.len(),
            renting = total,
            "band"
        );
        let kinds = book
            .catalog
            .as_ref()
            .map_or(1, |kept| kept.value.types.len());
        if total == 0 && fleet.marked.is_none() {
            // A replica runs until its job is cancelled, so that a machine with
            // one never goes empty by itself: it is a candidate only if its
            // replicas have room elsewhere, to where they are moved.
            let candidates: Vec<giveback::Used<MachineId>> = machines
                .into_iter()
                .filter(|(used, service)| {
                    !service || self.can_rehouse(book, &used.id, &fleet.refusing)
                })
                .map(|(used, _)| used)
                .collect();
            let marked = giveback::mark(
                misses.rate,
                waiting as usize,
                &candidates,
                kinds,
                &giveback::Thresholds {
                    alpha: tuning.alpha,
                    evenness: tuning.evenness_threshold,
                    utilisation: tuning.utilisation_threshold,
                },
            );
            if let Some(used) = marked {
                tracing::info!(machine = %used.id, utilisation = used.utilisation,
                    "marked to be given back");
                fleet.marked = Some(used.id.clone());
            }
        }
        pools
            .into_iter()
            .zip(rents)
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// Every controller looks at a machine that is silent to its holder: only
    /// one that nobody reaches is returned. If most of its neighbours do not
    /// answer either, that is a cut which the others have not shown yet, since
    /// reports come at different times.
    async fn verify_silent(&self, suspect: Suspect) {
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
    fn find_faulty(&self, book: &Book, state: &mut LeaderState, now: Instant) -> Vec<Suspect> {
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
    fn rebalance(&self, book: &Book, state: &mut LeaderState, now: Instant) {
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

    /// Sends the rents that are written down, each under its own name until it
    /// is answered; also those that an earlier leader left.
    fn send_rents(self: &Arc<Self>, budget: &Arc<Budget>) {
        let due: Vec<(RentName, RentRecord)> = {
            let book = self.store.book();
            let mut state = lock(&self.leader);
            let now = Instant::now();
            let fleet = &mut state.fleet;
            fleet
                .next_try
                .retain(|name, _| book.rents.contains_key(name));
            let due: Vec<_> = book
                .rents
                .iter()
                .filter(|(name, _)| {
                    !fleet.in_flight.contains(*name)
                        && fleet.next_try.get(*name).is_none_or(|at| *at <= now)
                })
                .take(4)
                .map(|(name, kept)| (name.clone(), kept.value.clone()))
                .collect();
            fleet
                .in_flight
                .extend(due.iter().map(|(name, _)| name.clone()));
            due
        };
        for (name, record) in due {
            let node = self.clone();
            let budget = budget.clone();
            tokio::spawn(async move {
                budget.acquire(1.0, Urgency::Fence).await;
                let wanted = Wanted {
                    kind: record.kind.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                    count: record.count,
                };
                let answer = node.cloud.rent(&name, &wanted).await;
                node.rent_answered(&name, &record, answer).await;
                lock(&node.leader).fleet.in_flight.remove(&name);
            });
        }
    }

    async fn rent_answered(
        &self,
        name: &RentName,
        record: &RentRecord,
        answer: Result<Vec<MachineId>, CloudError>,
    ) {
        let place = (record.kind.clone(), record.zone.clone(), record.spot);
        let refuse = |node: &Node, missing: u32| {
            let mut state = lock(&node.leader);
            let fleet = &mut state.fleet;
            let refusal = Refusal::after(fleet.refused.get(&place), Instant::now());
            fleet.refused.insert(place.clone(), refusal);
            fleet.carried = fleet.carried.max(missing);
            // The next best place is asked at once.
            fleet.last_remedy = None;
        };
        let mark = {
            let book = self.store.book();
            match book.rents.get(name) {
                Some(kept) => kept.mark,
                None => return,
            }
        };
        match answer {
            Ok(machines) => {
                tracing::info!(%name, kind = %record.kind, zone = %record.zone,
                    spot = record.spot, asked = record.count, got = machines.len(), "rented");
                if machines.len() < record.count as usize {
                    refuse(self, record.count - machines.len() as u32);
                } else {
                    lock(&self.leader).fleet.refused.remove(&place);
                }
                // The record of the request goes with the last machines' only.
                let step = self.config.txn_ops.saturating_sub(1).max(1);
                let parts = machines.len().div_ceil(step).max(1);
                for part in 0..parts {
                    let mut transaction = Transaction::default().require(keys::rent(name), mark);
                    for id in machines.iter().skip(part * step).take(step) {
                        let machine = MachineRecord {
                            kind: record.kind.clone(),
                            zone: record.zone.clone(),
                            spot: record.spot,
                            rented_ms: record.at_ms,
                            address: None,
                        };
                        // Known already if an earlier answer was half written.
                        if !self.store.book().machines.contains_key(id) {
                            transaction = transaction.set(keys::machine(id), &machine);
                        }
                    }
                    if part + 1 == parts {
                        transaction = transaction.remove(keys::rent(name));
                    }
                    if self
                        .commit_as_leader(transaction, Urgency::Place)
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            }
            Err(CloudError::NoCapacity) => {
                tracing::info!(%name, kind = %record.kind, zone = %record.zone,
                    spot = record.spot, "no capacity");
                refuse(self, record.count);
                let transaction = Transaction::default()
                    .require(keys::rent(name), mark)
                    .remove(keys::rent(name));
                let _ = self.commit_as_leader(transaction, Urgency::Place).await;
            }
            Err(error) => {
                tracing::info!(%name, %error, "rent to be repeated");
                let pause = chance::millis(1500, 3000);
                lock(&self.leader)
                    .fleet
                    .next_try
                    .insert(name.clone(), Instant::now() + pause);
            }
        }
    }

    /// Whether the replicas on a machine would fit on the others.
    fn can_rehouse(&self, book: &Book, machine: &MachineId, except: &BTreeSet<MachineId>) -> bool {
        let usable = |_: &NodeName, id: &MachineId| {
            (id != machine && !except.contains(id)).then(|| (Vec::new(), 1.0))
        };
        let mut slots: Vec<placement::Slot> = super::routing::open_machines(
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
    async fn move_replicas(&self) {
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

    /// Suspect machines that do not empty by themselves are cleared.
    async fn empty_suspects(&self) {
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

    fn send_returns(self: &Arc<Self>, budget: &Arc<Budget>) {
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
    async fn machines_gone(&self, machines: &[MachineId]) {
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

    fn poll_list(self: &Arc<Self>, budget: &Arc<Budget>) {
        {
            let mut state = lock(&self.leader);
            let every = Duration::from_secs(5);
            if state.fleet.last_list.is_some_and(|at| at.elapsed() < every) {
                return;
            }
            state.fleet.last_list = Some(Instant::now());
        }
        let node = self.clone();
        let budget = budget.clone();
        tokio::spawn(async move {
            budget.acquire(1.0, Urgency::Rest).await;
            match node.cloud.list().await {
                Ok(list) => node.compare_list(list).await,
                Err(error) => tracing::debug!(%error, "the machine list cannot be read"),
            }
        });
    }

    /// Machines that the cloud lists, or whose workers report, but that are not
    /// in the book: rented by a request that was executed late, perhaps.
    async fn compare_list(&self, list: Vec<ListedMachine>) {
        let adopt: Vec<(MachineId, MachineRecord)> = {
            let book = self.store.book();
            let mut state = lock(&self.leader);
            let now = Instant::now();
            let lag = self.config.list_lag;
            state
                .fleet
                .returned
                .retain(|_, at| now.duration_since(*at) < lag * 4);
            let mut adopt = Vec::new();
            let mut still = HashMap::new();
            for machine in list {
                if book.machines.contains_key(&machine.id) {
                    if machine.stage == MachineStage::Failed
                        && !state.returning.contains_key(&machine.id)
                    {
                        tracing::info!(machine = %machine.id, "listed as failed");
                        state.returning.insert(
                            machine.id.clone(),
                            Return {
                                reason: Reason::Failed,
                                since: now,
                                in_flight: false,
                            },
                        );
                    }
                    continue;
                }
                if state.fleet.returned.contains_key(&machine.id) {
                    continue;
                }
                let since = state.fleet.unknown.get(&machine.id).copied().unwrap_or(now);
                // The list may lag twice its time: it may still show machines
                // that an earlier leader returned.
                if now.duration_since(since) > lag.mul_f64(2.5) {
                    adopt.push((machine.id, machine.kind, machine.zone, machine.spot));
                } else {
                    still.insert(machine.id, since);
                }
            }
            state.fleet.unknown = still;
            let sighted: Vec<Sighting> = state
                .statuses
                .values()
                .filter(|(at, _)| at.elapsed() < super::STATUS_LIFE)
                .flat_map(|(_, status)| status.sightings.iter().cloned())
                .collect();
            for seen in sighted {
                let known = book.machines.contains_key(&seen.machine)
                    || state.fleet.returned.contains_key(&seen.machine);
                if !known && book.rents.is_empty() {
                    adopt.push((seen.machine, seen.kind, seen.zone, seen.spot));
                }
            }
            let at = self.config.now_ms();
            adopt
                .into_iter()
                .map(|(id, kind, zone, spot)| {
                    let record = MachineRecord {
                        kind,
                        zone,
                        spot,
                        rented_ms: at,
                        address: None,
                    };
                    (id, record)
                })
                .collect()
        };
        for (id, record) in adopt {
            tracing::info!(machine = %id, "an unknown machine is taken on");
            let key = keys::machine(&id);
            let transaction = Transaction::default()
                .require(key.clone(), Revision(0))
                .set(key, &record);
            let _ = self.commit_as_leader(transaction, Urgency::Rest).await;
        }
    }
}

fn empty_slot(kind: &MachineType, zone: &ZoneName, spot: bool) -> placement::Slot {
    placement::Slot {
        machine: MachineId::new(""),
        kind: kind.name.clone(),
        zone: zone.clone(),
        spot,
        room: kind.size,
        size: kind.size,
        fetch_gb_per_s: kind.fetch_gb_per_s,
        speed: 1.0,
        images: Vec::new(),
        leaves_in: None,
    }
}

/// Rented machines whose workers have not been heard of yet.
fn booting_slots(book: &Book) -> Vec<(placement::Slot, u32)> {
    book.machines
        .values()
        .filter(|kept| kept.value.address.is_none())
        .filter_map(|kept| {
            let kind = book.machine_type(&kept.value.kind)?;
            Some((empty_slot(kind, &kept.value.zone, kept.value.spot), 0))
        })
        .collect()
}

/// Machines that are up, with their utilisation, and whether a service is on them.
fn used_machines(
    book: &Book,
    period: giveback::PaidPeriods,
    now_ms: u64,
) -> Vec<(giveback::Used<MachineId>, bool)> {
    let kinds: Vec<&MachineType> = book
        .catalog
        .iter()
        .flat_map(|kept| kept.value.types.iter())
        .collect();
    book.machines
        .iter()
        .filter(|(_, kept)| kept.value.address.is_some())
        .filter_map(|(id, kept)| {
            let at = kinds.iter().position(|kind| kind.name == kept.value.kind)?;
            let size = kinds[at].size;
            let taken = book.taken(id);
            let age = Duration::from_millis(now_ms.saturating_sub(kept.value.rented_ms));
            let service = book.on_machine.get(id).is_some_and(|tasks| {
                tasks.keys().any(|task| {
                    book.jobs
                        .get(&task.job)
                        .and_then(|job| job.spec())
                        .is_some_and(|spec| spec.kind == JobKind::Service)
                })
            });
            let used = giveback::Used {
                id: id.clone(),
                kind: at,
                utilisation: taken.cpus / size.cpus.max(0.001),
                power: size.cpus,
                paid_left: period.left(age),
            };
            Some((used, service))
        })
        .collect()
}
