//! The replica of the state service's live set that every controller keeps.
//!
//! Changes arrive from the watch, and from the controller's own commits ahead
//! of it. Each key remembers its revision, so that the two sources may come in
//! any order and twice.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    hash::{BuildHasherDefault, DefaultHasher},
    sync::Arc,
};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::storage::{
    ids::{
        Attempt, ControllerName, Incarnation, JobId, MachineId, ProvisionId, Revision, ShardId,
        TaskId, TeamName, TypeName,
    },
    keys::{self, Key},
    model::*,
    records::{
        AllocationRecord, CatalogRecord, CommonVersionRecord, ControllerRecord, LeaderRecord,
        MachineGroupRecord, MachineRecord, OutcomeRecord, Placement, ProvisionRecord, RunRecord,
        ShardRecord,
    },
};

/// A map whose order is the same in every run: plans depend on it, and verdicts of
/// tests are to repeat.
type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    pub revision: Revision,
    pub value: T,
}

/// A job that is not over, or still has something to clean up.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub spec: Option<Versioned<Arc<JobSpec>>>,
    pub chunks: BTreeMap<u32, Versioned<RunRecord>>,
    /// Its user has cancelled it: tasks are to go, none may start.
    pub cleanup_since: Option<Revision>,
    pub placed: u32,
    pub done: u32,
    /// Placed tasks whose machines are gone: they went out of their machine group only
    /// after their return was answered, or are known to be no more.
    pub lost: BTreeSet<u32>,
}

impl Job {
    pub fn spec(&self) -> Option<&Arc<JobSpec>> {
        self.spec.as_ref().map(|entry| &entry.value)
    }

    pub fn run_revision(&self, chunk: u32) -> Revision {
        self.chunks
            .get(&chunk)
            .map_or(Revision(0), |entry| entry.revision)
    }

    /// Placed tasks that are, or may be, on a machine.
    pub fn present(&self) -> u32 {
        self.placed.saturating_sub(self.lost.len() as u32)
    }

    /// Where a task is, or may be. One that is gone with its machine waits again:
    /// its next placement replaces the old one with one change of its record.
    pub fn placement(&self, task: u32) -> Option<&Placement> {
        if self.lost.contains(&task) {
            return None;
        }
        self.recorded(task)
    }

    /// What the record says of a task, wherever that machine is now.
    pub fn recorded(&self, task: u32) -> Option<&Placement> {
        self.chunks
            .get(&(task / keys::CHUNK))?
            .value
            .placed
            .get(&task)
    }

    pub fn is_task_done(&self, task: u32) -> bool {
        self.chunks
            .get(&(task / keys::CHUNK))
            .is_some_and(|entry| entry.value.is_done(task))
    }

    pub fn waiting(&self) -> u32 {
        match (&self.spec, self.cleanup_since) {
            (Some(spec), None) => spec.value.tasks.saturating_sub(self.present() + self.done),
            _ => 0,
        }
    }

    /// Up to `most` tasks that are neither placed nor done, lowest first.
    pub fn waiting_tasks(&self, most: usize) -> Vec<u32> {
        let Some(spec) = self.spec() else {
            return Vec::new();
        };
        if self.waiting() == 0 {
            return Vec::new();
        }
        let empty = RunRecord::default();
        let mut found = Vec::new();
        for chunk in 0..spec.tasks.div_ceil(keys::CHUNK) {
            let record = self.chunks.get(&chunk).map_or(&empty, |entry| &entry.value);
            let from = chunk * keys::CHUNK;
            for task in from..(from + keys::CHUNK).min(spec.tasks) {
                if found.len() >= most {
                    return found;
                }
                let there = record.placed.contains_key(&task) && !self.lost.contains(&task);
                if !there && !record.is_done(task) {
                    found.push(task);
                }
            }
        }
        found
    }

    /// The tasks of a gang that are, or may be, on a machine.
    pub fn present_placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        let records = self.chunks.values().map(|entry| &entry.value);
        records
            .flat_map(|record| &record.placed)
            .map(|(task, placement)| (*task, placement))
            .filter(|(task, _)| !self.lost.contains(task))
    }

    /// Whether a gang's waiting tasks may be placed: when none of it is anywhere, or
    /// when they only complete an attempt that can't have begun, since one part found
    /// no room while the others wait for it. Not when a task of the attempt has ended
    /// or is lost: its mates leave first, and all get the next one.
    pub fn may_join(&self) -> bool {
        let Some(attempt) = self.present_placements().map(|(_, p)| p.attempt).min() else {
            return true;
        };
        let records = || self.chunks.values().map(|entry| &entry.value);
        let ended = records().flat_map(|record| record.before.values()).max();
        self.done == 0 && self.lost.is_empty() && ended.is_none_or(|last| *last < attempt)
    }

    /// The attempt that a gang's next placements take: the one of those that are
    /// there, else one that no task of it has had. Its tasks find each other by it.
    pub fn gang_attempt(&self) -> Attempt {
        if let Some((_, placement)) = self.present_placements().next() {
            return placement.attempt;
        }
        let records = || self.chunks.values().map(|entry| &entry.value);
        let ended = records().flat_map(|record| record.before.values()).max();
        let lost = records().flat_map(|record| record.placed.values());
        let lost = lost.map(|placement| &placement.attempt).max();
        let last = ended.max(lost).map_or(0, |attempt| attempt.0);
        Attempt(last + 1)
    }

    pub fn all_done(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| self.done >= spec.value.tasks)
    }

    fn recount(&mut self) {
        self.placed = 0;
        self.done = 0;
        for entry in self.chunks.values() {
            self.placed += entry.value.placed.len() as u32;
            self.done += entry.value.done_count();
        }
    }
}

/// Who holds a machine.
#[derive(Clone, Debug)]
struct ShardLease {
    shard: ShardId,
    controller: ControllerName,
    owner: Incarnation,
    /// The change with which it came to this owner.
    since: Revision,
}

/// What is placed on one machine.
#[derive(Clone, Debug, Default)]
pub struct MachineLoad {
    pub tasks: BTreeMap<TaskId, PlacedTask>,
    /// What the tasks take of it.
    pub taken: Resources,
    /// What they use of each team's limit.
    pub teams: Vec<(TeamName, Quota)>,
    /// Whether a replica of a service is among them.
    pub service: bool,
}

#[derive(Clone, Debug)]
pub struct PlacedTask {
    pub placement: Placement,
    /// None: the job's other keys are gone, or have not been read yet.
    pub spec: Option<Arc<JobSpec>>,
}

impl MachineLoad {
    /// Sums anew. A machine has few tasks, and sums that are only added to
    /// would drift.
    fn recount(&mut self) {
        self.taken = Resources::default();
        self.teams.clear();
        self.service = false;
        for placed in self.tasks.values() {
            let Some(spec) = &placed.spec else { continue };
            self.taken += spec.per_task;
            self.service |= spec.kind == JobKind::Service;
            let quota = Quota::from(&spec.per_task);
            match self.teams.iter_mut().find(|(team, _)| *team == spec.team) {
                Some((_, sum)) => *sum = sum.plus(&quota),
                None => self.teams.push((spec.team.clone(), quota)),
            }
        }
    }
}

/// Outcomes kept in memory; older ones are looked up again when asked for.
const MAX_OUTCOMES: usize = 20_000;
/// Own deletions remembered until the watch has passed them.
const MAX_DELETIONS: usize = 4_096;

#[derive(Debug, Default)]
pub struct StateCache {
    /// The watch has delivered every change up to here.
    pub revision: Revision,
    pub jobs: HashMap<JobId, Job>,
    pub allocations: BTreeMap<ControllerName, Versioned<AllocationRecord>>,
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    pub machine_groups: BTreeMap<ProvisionId, Versioned<MachineGroupRecord>>,
    /// The machines of all machine groups.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    pub provision_requests: BTreeMap<ProvisionId, Versioned<ProvisionRecord>>,
    pub controllers: BTreeMap<ControllerName, Versioned<ControllerRecord>>,
    pub leader: Option<Versioned<LeaderRecord>>,
    pub catalog: Option<Versioned<CatalogRecord>>,
    /// What all controllers can read; none: nobody has said yet.
    pub common_version: Option<Versioned<CommonVersionRecord>>,
    /// Placements by machine, with running sums.
    pub on_machine: HashMap<MachineId, MachineLoad>,
    /// Jobs with tasks that are neither placed nor done.
    pub waiting: BTreeSet<JobId>,
    /// Jobs that are cancelled, or done with keys still to be removed.
    pub pending_cleanup: BTreeSet<JobId>,
    leases: HashMap<MachineId, ShardLease>,
    /// Jobs that are cancelled by the word of a peer which has seen this revision;
    /// the watch has not brought it yet.
    peer_cancelled: BTreeMap<JobId, Revision>,
    outcomes: HashMap<JobId, OutcomeRecord>,
    outcome_order: VecDeque<JobId>,
    dropped: HashMap<String, Revision>,
}

fn read<T: DeserializeOwned>(key: &str, value: Value) -> Option<T> {
    match serde_json::from_value(value) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "unreadable record skipped");
            None
        }
    }
}

fn newer<T>(slot: Option<&Versioned<T>>, revision: Revision) -> bool {
    slot.is_none_or(|entry| entry.revision < revision)
}

impl StateCache {
    pub fn outcome(&self, job: &JobId) -> Option<OutcomeRecord> {
        self.outcomes.get(job).copied()
    }

    /// Outcomes never change: those known to the cache that this one replaces hold.
    pub fn take_outcomes(&mut self, older: &mut StateCache) {
        self.outcomes = std::mem::take(&mut older.outcomes);
        self.outcome_order = std::mem::take(&mut older.outcome_order);
    }

    pub fn remember_outcome(&mut self, job: JobId, outcome: OutcomeRecord) {
        if self.outcomes.insert(job.clone(), outcome).is_none() {
            self.outcome_order.push_back(job);
            if self.outcome_order.len() > MAX_OUTCOMES
                && let Some(oldest) = self.outcome_order.pop_front()
            {
                self.outcomes.remove(&oldest);
            }
        }
    }

    /// The shard that a machine is in.
    pub fn shard_of(&self, machine: &MachineId) -> Option<(ShardId, &Versioned<ShardRecord>)> {
        let id = self.leases.get(machine)?.shard;
        Some((id, self.shards.get(&id)?))
    }

    /// The change with which a machine came to its present owner: whatever
    /// earlier owners told it carries a lower token.
    pub fn owned_since(&self, machine: &MachineId) -> Revision {
        self.leases
            .get(machine)
            .map_or(Revision(0), |lease| lease.since)
    }

    /// Whether the process that the shard's record names may still act: its
    /// controller's allocation has not passed to another one, or to nobody.
    pub fn has_current_owner(&self, shard: &ShardRecord) -> bool {
        self.allocations
            .get(&shard.controller)
            .is_some_and(|allocation| allocation.value.owner == Some(shard.owner))
    }

    /// All machines of a controller's shards.
    pub fn machines_of<'a>(
        &'a self,
        controller: &'a ControllerName,
    ) -> impl Iterator<Item = &'a MachineId> {
        self.shards
            .values()
            .filter(move |entry| entry.value.controller == *controller)
            .flat_map(|entry| entry.value.machines.keys())
    }

    pub fn machine_type(&self, name: &TypeName) -> Option<&MachineType> {
        self.catalog
            .as_ref()?
            .value
            .types
            .iter()
            .find(|kind| kind.name == *name)
    }

    /// What the placements on a machine take of it.
    pub fn taken(&self, machine: &MachineId) -> Resources {
        self.on_machine
            .get(machine)
            .map(|load| load.taken)
            .unwrap_or_default()
    }

    /// What the placements on these machines use of each team's limit.
    pub fn quota_used<'a>(
        &self,
        machines: impl Iterator<Item = &'a MachineId>,
    ) -> BTreeMap<TeamName, Quota> {
        let mut used: BTreeMap<TeamName, Quota> = BTreeMap::new();
        for machine in machines {
            for (team, quota) in self.on_machine.get(machine).iter().flat_map(|l| &l.teams) {
                match used.get_mut(team) {
                    Some(sum) => *sum = sum.plus(quota),
                    None => {
                        used.insert(team.clone(), *quota);
                    }
                }
            }
        }
        used
    }

    /// What each controller's machines use of each team's limit.
    pub fn quota_by_controller(&self) -> BTreeMap<ControllerName, BTreeMap<TeamName, Quota>> {
        self.allocations
            .keys()
            .map(|controller| {
                (
                    controller.clone(),
                    self.quota_used(self.machines_of(controller)),
                )
            })
            .collect()
    }

    pub fn set(&mut self, key: &str, value: Value, revision: Revision) {
        if self.dropped.get(key).is_some_and(|at| *at >= revision) {
            return;
        }
        match Key::parse(key) {
            Some(Key::Spec(id)) => {
                let job = self.jobs.entry(id.clone()).or_default();
                if newer(job.spec.as_ref(), revision)
                    && let Some(value) = read(key, value)
                {
                    job.spec = Some(Versioned { revision, value });
                    self.reload_runs(&id);
                }
                self.index(&id);
            }
            Some(Key::JobOutcome(id)) => {
                if let Some(outcome) = read(key, value) {
                    self.remember_outcome(id, outcome);
                }
            }
            Some(Key::Cleanup(id)) => {
                let job = self.jobs.entry(id.clone()).or_default();
                job.cleanup_since = job.cleanup_since.max(Some(revision));
                self.index(&id);
            }
            Some(Key::Run(id, chunk)) => {
                let known = self.jobs.get(&id).and_then(|job| job.chunks.get(&chunk));
                if newer(known, revision)
                    && let Some(record) = read::<RunRecord>(key, value)
                {
                    self.replace_run(
                        id,
                        chunk,
                        Some(Versioned {
                            revision,
                            value: record,
                        }),
                    );
                }
            }
            Some(Key::Allocation(controller)) => {
                keep(&mut self.allocations, controller, key, value, revision)
            }
            Some(Key::Shard(id)) => {
                if newer(self.shards.get(&id), revision)
                    && let Some(record) = read(key, value)
                {
                    let value = record;
                    self.replace_shard(id, Some(Versioned { revision, value }));
                }
            }
            Some(Key::MachineGroup(name)) => {
                if newer(self.machine_groups.get(&name), revision)
                    && let Some(record) = read(key, value)
                {
                    let value = record;
                    self.replace_machine_group(name, Some(Versioned { revision, value }));
                }
            }
            Some(Key::ProvisionRequest(name)) => {
                keep(&mut self.provision_requests, name, key, value, revision)
            }
            Some(Key::Controller(controller)) => {
                keep(&mut self.controllers, controller, key, value, revision)
            }
            Some(Key::Leader) if newer(self.leader.as_ref(), revision) => {
                self.leader = read(key, value).map(|value| Versioned { revision, value });
            }
            Some(Key::Catalog) if newer(self.catalog.as_ref(), revision) => {
                self.catalog = read(key, value).map(|value| Versioned { revision, value });
            }
            Some(Key::CommonVersion) if newer(self.common_version.as_ref(), revision) => {
                self.common_version = read(key, value).map(|value| Versioned { revision, value });
            }
            _ => {}
        }
    }

    pub fn delete(&mut self, key: &str, revision: Revision) {
        match Key::parse(key) {
            Some(Key::Spec(id)) => {
                if let Some(job) = self.jobs.get_mut(&id)
                    && !newer(job.spec.as_ref(), revision)
                {
                    return;
                }
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.spec = None;
                }
                self.forget_if_empty(&id);
            }
            Some(Key::Cleanup(id)) => {
                if let Some(job) = self.jobs.get_mut(&id)
                    && job.cleanup_since.is_some_and(|at| at < revision)
                {
                    job.cleanup_since = None;
                }
                self.forget_if_empty(&id);
            }
            Some(Key::Run(id, chunk)) => {
                let known = self.jobs.get(&id).and_then(|job| job.chunks.get(&chunk));
                if known.is_some() && newer(known, revision) {
                    self.replace_run(id, chunk, None);
                }
            }
            Some(Key::Allocation(controller)) => {
                drop_older(&mut self.allocations, &controller, revision)
            }
            Some(Key::Shard(id)) if newer(self.shards.get(&id), revision) => {
                self.replace_shard(id, None);
            }
            Some(Key::MachineGroup(name)) if newer(self.machine_groups.get(&name), revision) => {
                self.replace_machine_group(name, None);
            }
            Some(Key::ProvisionRequest(name)) => {
                drop_older(&mut self.provision_requests, &name, revision)
            }
            Some(Key::Controller(controller)) => {
                drop_older(&mut self.controllers, &controller, revision)
            }
            Some(Key::Leader) if newer(self.leader.as_ref(), revision) => self.leader = None,
            Some(Key::Catalog) if newer(self.catalog.as_ref(), revision) => self.catalog = None,
            _ => {}
        }
    }

    /// A deletion of our own, ahead of the watch: the watch may still deliver
    /// older values of the key, which must not bring it back.
    pub fn delete_ahead(&mut self, key: &str, revision: Revision) {
        self.delete(key, revision);
        if revision > self.revision && self.dropped.len() < MAX_DELETIONS {
            self.dropped.insert(key.to_owned(), revision);
        }
    }

    /// Whether the job's tasks must go and none may start: its user has cancelled
    /// it, or it is over and its keys are being removed.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.peer_cancelled.contains_key(id)
            || self
                .jobs
                .get(id)
                .is_some_and(|job| job.cleanup_since.is_some())
    }

    /// Jobs to be stopped on the word of a peer.
    pub fn peer_cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.peer_cancelled.keys()
    }

    /// A peer that has seen this revision says that these jobs are cancelled. Those
    /// that we have not heard of have no tasks of ours. Returns how many are new.
    pub fn note_cancelled(&mut self, jobs: Vec<JobId>, seen: Revision) -> usize {
        let mut new = 0;
        for id in jobs {
            if seen > self.revision
                && self
                    .jobs
                    .get(&id)
                    .is_some_and(|job| job.cleanup_since.is_none())
            {
                new += usize::from(self.peer_cancelled.insert(id, seen).is_none());
            }
        }
        new
    }

    /// Jobs cancelled by changes after this revision, as long as anything of them is
    /// left: of the others no task can be anywhere.
    pub fn cancelled_since(&self, revision: Revision) -> Vec<JobId> {
        let cleanup_since = self.pending_cleanup.iter().filter(|id| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| job.cleanup_since.is_some_and(|changed| changed > revision))
        });
        cleanup_since
            .chain(self.peer_cancelled.keys())
            .cloned()
            .collect()
    }

    pub fn advance(&mut self, revision: Revision) {
        if revision > self.revision {
            self.peer_cancelled.retain(|_, seen| *seen > revision);
            self.revision = revision;
            self.dropped.retain(|_, at| *at > revision);
        }
    }

    fn forget_if_empty(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id)
            && job.spec.is_none()
            && job.chunks.is_empty()
            && job.cleanup_since.is_none()
        {
            self.jobs.remove(id);
        }
        self.index(id);
    }

    /// Keeps the sets of jobs that somebody has to look at.
    fn index(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        set_member(&mut self.waiting, id, job.is_some_and(|j| j.waiting() > 0));
        let pending_cleanup = job.is_some_and(|j| j.cleanup_since.is_some() || j.all_done());
        set_member(&mut self.pending_cleanup, id, pending_cleanup);
    }

    fn replace_shard(&mut self, id: ShardId, record: Option<Versioned<ShardRecord>>) {
        let old = self.shards.remove(&id);
        if let Some(record) = record {
            let ShardRecord {
                controller, owner, ..
            } = &record.value;
            for machine in record.value.machines.keys() {
                let same = self
                    .leases
                    .get(machine)
                    .filter(|lease| lease.controller == *controller && lease.owner == *owner);
                let since = same.map_or(record.revision, |lease| lease.since);
                let lease = ShardLease {
                    shard: id,
                    controller: controller.clone(),
                    owner: *owner,
                    since,
                };
                self.leases.insert(machine.clone(), lease);
            }
            self.shards.insert(id, record);
        }
        for machine in old.iter().flat_map(|entry| entry.value.machines.keys()) {
            let stays = self
                .shards
                .get(&id)
                .is_some_and(|entry| entry.value.machines.contains_key(machine));
            if !stays && self.leases.get(machine).is_some_and(|l| l.shard == id) {
                self.leases.remove(machine);
            }
        }
    }

    fn replace_machine_group(
        &mut self,
        name: ProvisionId,
        record: Option<Versioned<MachineGroupRecord>>,
    ) {
        let old = self.machine_groups.remove(&name);
        let before = old.as_ref().map(|entry| &entry.value.machines);
        let after = record.as_ref().map(|entry| &entry.value.machines);
        let in_one = |machine: &MachineId, other: Option<&BTreeMap<MachineId, _>>| {
            other.is_none_or(|machines| !machines.contains_key(machine))
        };
        let gone = before.into_iter().flat_map(BTreeMap::keys);
        let gone: Vec<MachineId> = gone.filter(|id| in_one(id, after)).cloned().collect();
        let new = after.into_iter().flat_map(BTreeMap::keys);
        let new: Vec<MachineId> = new.filter(|id| in_one(id, before)).cloned().collect();
        for machine in &gone {
            self.machines.remove(machine);
        }
        if let Some(entry) = record {
            let machine_group = &entry.value;
            for (machine, address) in &machine_group.machines {
                let record = MachineRecord {
                    kind: machine_group.kind.clone(),
                    zone: machine_group.zone.clone(),
                    spot: machine_group.spot,
                    provisioned_ms: machine_group.provisioned_ms,
                    address: address.clone(),
                    machine_group: name.clone(),
                };
                self.machines.insert(machine.clone(), record);
            }
            self.machine_groups.insert(name, entry);
        }
        for (machines, lost) in [(&gone, true), (&new, false)] {
            for machine in machines {
                self.note_machine_lost(machine, lost);
            }
        }
    }

    /// The tasks of a machine that has gone, or has become known, wait or do not.
    fn note_machine_lost(&mut self, machine: &MachineId, lost: bool) {
        let tasks = self.on_machine.get(machine).into_iter();
        let tasks: Vec<TaskId> = tasks.flat_map(|l| l.tasks.keys().cloned()).collect();
        for task in tasks {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if lost {
                    job.lost.insert(task.index);
                } else {
                    job.lost.remove(&task.index);
                }
            }
            self.index(&task.job);
        }
    }

    /// The job's spec has come after its runs: their use is counted now.
    fn reload_runs(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec().cloned();
        let placed: Vec<(u32, MachineId)> = job
            .chunks
            .values()
            .flat_map(|entry| &entry.value.placed)
            .map(|(task, placement)| (*task, placement.machine.clone()))
            .collect();
        for (task, machine) in placed {
            if let Some(load) = self.on_machine.get_mut(&machine) {
                if let Some(placed) = load.tasks.get_mut(&TaskId::new(id.clone(), task)) {
                    placed.spec = spec.clone();
                }
                load.recount();
            }
        }
    }

    fn replace_run(&mut self, id: JobId, chunk: u32, record: Option<Versioned<RunRecord>>) {
        let job = self.jobs.entry(id.clone()).or_default();
        let old = job.chunks.remove(&chunk);
        let none = BTreeMap::new();
        let before = old.as_ref().map_or(&none, |entry| &entry.value.placed);
        let after = record.as_ref().map_or(&none, |entry| &entry.value.placed);
        let spec = job.spec().cloned();
        // Most entries of a record stay as they are; only the others are moved.
        let mut touched: Vec<&MachineId> = Vec::new();
        for (task, placement) in before {
            if after.get(task) != Some(placement)
                && let Some(load) = self.on_machine.get_mut(&placement.machine)
            {
                load.tasks.remove(&TaskId::new(id.clone(), *task));
                touched.push(&placement.machine);
            }
        }
        for (task, placement) in after {
            if before.get(task) != Some(placement) {
                let placed = PlacedTask {
                    placement: placement.clone(),
                    spec: spec.clone(),
                };
                self.on_machine
                    .entry(placement.machine.clone())
                    .or_default()
                    .tasks
                    .insert(TaskId::new(id.clone(), *task), placed);
                touched.push(&placement.machine);
            }
        }
        touched.sort();
        touched.dedup();
        for machine in touched {
            if let Some(load) = self.on_machine.get_mut(machine) {
                load.recount();
                if load.tasks.is_empty() {
                    self.on_machine.remove(machine);
                }
            }
        }
        let range = chunk * keys::CHUNK..(chunk + 1) * keys::CHUNK;
        job.lost.retain(|task| !range.contains(task));
        for (task, placement) in after {
            if !self.machines.contains_key(&placement.machine) {
                job.lost.insert(*task);
            }
        }
        if let Some(record) = record {
            job.chunks.insert(chunk, record);
        }
        job.recount();
        self.forget_if_empty(&id);
    }
}

fn set_member(set: &mut BTreeSet<JobId>, id: &JobId, member: bool) {
    if member {
        if !set.contains(id) {
            set.insert(id.clone());
        }
    } else {
        set.remove(id);
    }
}

fn keep<K: Ord, T: DeserializeOwned>(
    map: &mut BTreeMap<K, Versioned<T>>,
    name: K,
    key: &str,
    value: Value,
    revision: Revision,
) {
    if newer(map.get(&name), revision)
        && let Some(value) = read(key, value)
    {
        map.insert(name, Versioned { revision, value });
    }
}

fn drop_older<K: Ord, T>(map: &mut BTreeMap<K, Versioned<T>>, name: &K, revision: Revision) {
    if map.get(name).is_some_and(|entry| entry.revision < revision) {
        map.remove(name);
    }
}

#[cfg(test)]
mod tests;
