//! The replica of the state service's live set that every controller keeps.
//!
//! Changes arrive from the watch, and from the controller's own commits ahead
//! of it. Each key remembers its revision, so that the two sources may come in
//! any order and twice.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{
    ids::*,
    keys::{self, Key},
    model::*,
    records::*,
};

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept<T> {
    pub mark: Revision,
    pub value: T,
}

/// A job that is not over, or still has something to clean up.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub spec: Option<Kept<Arc<JobSpec>>>,
    pub chunks: BTreeMap<u32, Kept<RunRecord>>,
    /// Its user has cancelled it: tasks are to go, none may start.
    pub draining: Option<Revision>,
    pub placed: u32,
    pub done: u32,
}

impl Job {
    pub fn spec(&self) -> Option<&Arc<JobSpec>> {
        self.spec.as_ref().map(|kept| &kept.value)
    }

    pub fn run_mark(&self, chunk: u32) -> Revision {
        self.chunks
            .get(&chunk)
            .map_or(Revision(0), |kept| kept.mark)
    }

    pub fn placement(&self, task: u32) -> Option<&Placement> {
        self.chunks
            .get(&(task / keys::CHUNK))?
            .value
            .placed
            .get(&task)
    }

    pub fn is_task_done(&self, task: u32) -> bool {
        self.chunks
            .get(&(task / keys::CHUNK))
            .is_some_and(|kept| kept.value.is_done(task))
    }

    pub fn waiting(&self) -> u32 {
        match (&self.spec, self.draining) {
            (Some(spec), None) => spec.value.tasks.saturating_sub(self.placed + self.done),
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
            let record = self.chunks.get(&chunk).map_or(&empty, |kept| &kept.value);
            let from = chunk * keys::CHUNK;
            for task in from..(from + keys::CHUNK).min(spec.tasks) {
                if found.len() >= most {
                    return found;
                }
                if !record.placed.contains_key(&task) && !record.is_done(task) {
                    found.push(task);
                }
            }
        }
        found
    }

    pub fn all_done(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| self.done >= spec.value.tasks)
    }

    fn recount(&mut self) {
        self.placed = 0;
        self.done = 0;
        for kept in self.chunks.values() {
            self.placed += kept.value.placed.len() as u32;
            self.done += kept.value.done_count();
        }
    }
}

/// Fates kept in memory; older ones are looked up again when asked for.
const FATES_KEPT: usize = 20_000;
/// Own deletions remembered until the watch has passed them.
const DROPS_KEPT: usize = 4_096;

#[derive(Debug, Default)]
pub struct Book {
    /// The watch has delivered every change up to here.
    pub revision: Revision,
    pub jobs: HashMap<JobId, Job>,
    pub blocks: BTreeMap<NodeName, Kept<BlockRecord>>,
    pub machines: BTreeMap<MachineId, Kept<MachineRecord>>,
    pub rents: BTreeMap<RentName, Kept<RentRecord>>,
    pub nodes: BTreeMap<NodeName, Kept<NodeRecord>>,
    pub leader: Option<Kept<LeaderRecord>>,
    pub catalog: Option<Kept<CatalogRecord>>,
    /// Placements by machine.
    pub on_machine: HashMap<MachineId, BTreeMap<TaskId, Placement>>,
    fates: HashMap<JobId, FateRecord>,
    fate_order: VecDeque<JobId>,
    dropped: HashMap<String, Revision>,
}

fn read<T: DeserializeOwned>(key: &str, value: Value) -> Option<T> {
    match serde_json::from_value(value) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "a record cannot be read and is passed over");
            None
        }
    }
}

fn newer<T>(slot: Option<&Kept<T>>, mark: Revision) -> bool {
    slot.is_none_or(|kept| kept.mark < mark)
}

impl Book {
    pub fn fate(&self, job: &JobId) -> Option<FateRecord> {
        self.fates.get(job).copied()
    }

    pub fn keep_fate(&mut self, job: JobId, fate: FateRecord) {
        if self.fates.insert(job.clone(), fate).is_none() {
            self.fate_order.push_back(job);
            if self.fate_order.len() > FATES_KEPT
                && let Some(oldest) = self.fate_order.pop_front()
            {
                self.fates.remove(&oldest);
            }
        }
    }

    /// The block that holds a machine.
    pub fn block_of(&self, machine: &MachineId) -> Option<(&NodeName, &Kept<BlockRecord>)> {
        self.blocks
            .iter()
            .find(|(_, block)| block.value.machines.contains_key(machine))
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
        let mut sum = Resources::default();
        if let Some(tasks) = self.on_machine.get(machine) {
            for task in tasks.keys() {
                if let Some(spec) = self.jobs.get(&task.job).and_then(Job::spec) {
                    sum += spec.per_task;
                }
            }
        }
        sum
    }

    /// What the placements on these machines use of each team's limit.
    pub fn quota_used<'a>(
        &self,
        machines: impl Iterator<Item = &'a MachineId>,
    ) -> BTreeMap<TeamName, Quota> {
        let mut used: BTreeMap<TeamName, Quota> = BTreeMap::new();
        for machine in machines {
            for task in self.on_machine.get(machine).into_iter().flatten() {
                if let Some(spec) = self.jobs.get(&task.0.job).and_then(Job::spec) {
                    let entry = used.entry(spec.team.clone()).or_default();
                    *entry = entry.plus(&Quota::of(&spec.per_task));
                }
            }
        }
        used
    }

    pub fn set(&mut self, key: &str, value: Value, mark: Revision) {
        if self.dropped.get(key).is_some_and(|at| *at >= mark) {
            return;
        }
        match Key::parse(key) {
            Some(Key::Spec(id)) => {
                let job = self.jobs.entry(id).or_default();
                if newer(job.spec.as_ref(), mark)
                    && let Some(value) = read(key, value)
                {
                    job.spec = Some(Kept { mark, value });
                }
            }
            Some(Key::Fate(id)) => {
                if let Some(fate) = read(key, value) {
                    self.keep_fate(id, fate);
                }
            }
            Some(Key::Drain(id)) => {
                let job = self.jobs.entry(id).or_default();
                job.draining = job.draining.max(Some(mark));
            }
            Some(Key::Run(id, chunk)) => {
                let known = self.jobs.get(&id).and_then(|job| job.chunks.get(&chunk));
                if newer(known, mark)
                    && let Some(record) = read::<RunRecord>(key, value)
                {
                    self.replace_run(
                        id,
                        chunk,
                        Some(Kept {
                            mark,
                            value: record,
                        }),
                    );
                }
            }
            Some(Key::Block(node)) => keep(&mut self.blocks, node, key, value, mark),
            Some(Key::Machine(id)) => keep(&mut self.machines, id, key, value, mark),
            Some(Key::Rent(name)) => keep(&mut self.rents, name, key, value, mark),
            Some(Key::Node(node)) => keep(&mut self.nodes, node, key, value, mark),
            Some(Key::Leader) if newer(self.leader.as_ref(), mark) => {
                self.leader = read(key, value).map(|value| Kept { mark, value });
            }
            Some(Key::Catalog) if newer(self.catalog.as_ref(), mark) => {
                self.catalog = read(key, value).map(|value| Kept { mark, value });
            }
            _ => {}
        }
    }

    pub fn drop_key(&mut self, key: &str, mark: Revision) {
        match Key::parse(key) {
            Some(Key::Spec(id)) => {
                if let Some(job) = self.jobs.get_mut(&id)
                    && !newer(job.spec.as_ref(), mark)
                {
                    return;
                }
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.spec = None;
                }
                self.forget_if_empty(&id);
            }
            Some(Key::Drain(id)) => {
                if let Some(job) = self.jobs.get_mut(&id)
                    && job.draining.is_some_and(|at| at < mark)
                {
                    job.draining = None;
                }
                self.forget_if_empty(&id);
            }
            Some(Key::Run(id, chunk)) => {
                let known = self.jobs.get(&id).and_then(|job| job.chunks.get(&chunk));
                if known.is_some() && newer(known, mark) {
                    self.replace_run(id, chunk, None);
                }
            }
            Some(Key::Block(node)) => drop_older(&mut self.blocks, &node, mark),
            Some(Key::Machine(id)) => drop_older(&mut self.machines, &id, mark),
            Some(Key::Rent(name)) => drop_older(&mut self.rents, &name, mark),
            Some(Key::Node(node)) => drop_older(&mut self.nodes, &node, mark),
            Some(Key::Leader) if newer(self.leader.as_ref(), mark) => self.leader = None,
            Some(Key::Catalog) if newer(self.catalog.as_ref(), mark) => self.catalog = None,
            _ => {}
        }
    }

    /// A deletion of our own, ahead of the watch: the watch may still deliver
    /// older values of the key, which must not bring it back.
    pub fn drop_ahead(&mut self, key: &str, mark: Revision) {
        self.drop_key(key, mark);
        if mark > self.revision && self.dropped.len() < DROPS_KEPT {
            self.dropped.insert(key.to_owned(), mark);
        }
    }

    pub fn advance(&mut self, revision: Revision) {
        if revision > self.revision {
            self.revision = revision;
            self.dropped.retain(|_, at| *at > revision);
        }
    }

    fn forget_if_empty(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id)
            && job.spec.is_none()
            && job.chunks.is_empty()
            && job.draining.is_none()
        {
            self.jobs.remove(id);
        }
    }

    fn replace_run(&mut self, id: JobId, chunk: u32, record: Option<Kept<RunRecord>>) {
        let job = self.jobs.entry(id.clone()).or_default();
        if let Some(old) = job.chunks.remove(&chunk) {
            for (task, placement) in old.value.placed {
                let task = TaskId::new(id.clone(), task);
                if let Some(tasks) = self.on_machine.get_mut(&placement.machine) {
                    tasks.remove(&task);
                    if tasks.is_empty() {
                        self.on_machine.remove(&placement.machine);
                    }
                }
            }
        }
        if let Some(record) = record {
            for (task, placement) in &record.value.placed {
                self.on_machine
                    .entry(placement.machine.clone())
                    .or_default()
                    .insert(TaskId::new(id.clone(), *task), placement.clone());
            }
            job.chunks.insert(chunk, record);
        }
        job.recount();
        self.forget_if_empty(&id);
    }
}

fn keep<K: Ord, T: DeserializeOwned>(
    map: &mut BTreeMap<K, Kept<T>>,
    name: K,
    key: &str,
    value: Value,
    mark: Revision,
) {
    if newer(map.get(&name), mark)
        && let Some(value) = read(key, value)
    {
        map.insert(name, Kept { mark, value });
    }
}

fn drop_older<K: Ord, T>(map: &mut BTreeMap<K, Kept<T>>, name: &K, mark: Revision) {
    if map.get(name).is_some_and(|kept| kept.mark < mark) {
        map.remove(name);
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn run(machine: &str) -> Value {
        json!({"p": {"0": {"a": 1, "m": machine, "s": 1}}})
    }

    #[test]
    fn an_older_value_never_replaces_a_newer_one() {
        let mut book = Book::default();
        book.set("run/job-1/0", run("vm-2"), Revision(9));
        book.set("run/job-1/0", run("vm-1"), Revision(5));
        assert!(book.on_machine.contains_key(&MachineId::new("vm-2")));
        assert!(!book.on_machine.contains_key(&MachineId::new("vm-1")));
    }

    #[test]
    fn own_deletions_are_not_undone_by_a_late_watch() {
        let mut book = Book::default();
        book.set("run/job-1/0", run("vm-1"), Revision(5));
        book.drop_ahead("run/job-1/0", Revision(8));
        book.set("run/job-1/0", run("vm-1"), Revision(7));
        assert!(book.jobs.is_empty() && book.on_machine.is_empty());
        book.advance(Revision(8));
        assert!(book.dropped.is_empty());
    }

    #[test]
    fn waiting_tasks_are_neither_placed_nor_done() {
        let mut book = Book::default();
        book.set(
            "run/job-1/0",
            json!({"p": {"1": {"a": 1, "m": "vm-1", "s": 1}}, "d": [[3, 4]]}),
            Revision(5),
        );
        let job = book.jobs.get_mut(&JobId::new("job-1")).expect("a job");
        job.spec = Some(Kept {
            mark: Revision(1),
            value: Arc::new(JobSpec {
                class: ClassName::new("c"),
                team: TeamName::new("t"),
                kind: JobKind::Array,
                priority: Priority::Normal,
                tasks: 6,
                per_task: Resources::default(),
                image: ImageName::new("i"),
                image_gb: 1.0,
                types: None,
                zone: None,
                one_zone: false,
                spread: false,
                spot: false,
                estimate: Default::default(),
                checkpoint: Default::default(),
                save: Default::default(),
                deadline: None,
                accepted_ms: 0,
            }),
        });
        assert_eq!(job.waiting(), 3);
        assert_eq!(job.waiting_tasks(9), vec![0, 2, 5]);
        assert_eq!(job.waiting_tasks(1), vec![0]);
    }
}
