//! Applies changes of keys to the cache, each only if the cache has not passed it and it is newer
//! than the cached value.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{StateCache, Versioned};
use crate::storage::{
    ids::{JobId, ProvisionId, Revision, ShardId},
    keys::Key,
};

/// Maximum number of this controller's own deletions that are remembered until the watch has
/// passed them.
const MAX_DELETIONS: usize = 4_096;

impl StateCache {
    /// Sets a key to the value that it has had since `revision`. Has no effect if the change is
    /// older than the cached value, the cache has passed it, the key is unknown or the value is
    /// unreadable.
    pub fn set(&mut self, key: &str, value: Value, revision: Revision) {
        let Some(parsed) = Key::parse(key) else {
            return;
        };
        // Outcomes are never removed. They are not part of a full read either, so that one that
        // the cache has passed may still be new to it.
        let is_outcome = matches!(parsed, Key::JobOutcome(_));
        if !is_outcome && self.has_passed(key, revision) {
            return;
        }
        let change = ValueChange {
            key,
            value,
            revision,
        };
        match parsed {
            Key::Spec(id) => self.set_spec(id, change),
            Key::JobOutcome(id) => {
                if let Some(outcome) = change.read() {
                    self.remember_outcome(id, outcome);
                }
            }
            Key::Cleanup(id) => {
                let job = self.jobs.entry(id.clone()).or_default();
                job.cleanup_since = job.cleanup_since.max(Some(revision));
                self.index(&id);
            }
            Key::Run(id, record_index) => self.set_run(id, record_index, change),
            Key::Allocation(controller) => change.set_in(&mut self.allocations, controller),
            Key::Shard(id) => self.set_shard(id, change),
            Key::MachineGroup(id) => self.set_machine_group(id, change),
            Key::ProvisionRequest(id) => change.set_in(&mut self.provision_requests, id),
            Key::Controller(controller) => change.set_in(&mut self.controllers, controller),
            Key::Leader => change.set_single(&mut self.leader),
            Key::Catalog => change.set_single(&mut self.catalog),
            Key::CommonVersion => change.set_single(&mut self.common_version),
        }
    }

    /// Whether the cache already reflects what the key was set to at `revision`: the watch has
    /// passed that revision, or this controller has removed the key since. The response that
    /// carries such a change arrived after a newer one. If the key was removed in between, it has
    /// no cached value to compare revisions with, and no further response would remove it again.
    fn has_passed(&self, key: &str, revision: Revision) -> bool {
        let deleted_at = self.own_deletions.get(key);
        revision <= self.revision || deleted_at.is_some_and(|deleted_at| *deleted_at >= revision)
    }

    fn set_spec(&mut self, id: JobId, change: ValueChange<'_>) {
        let job = self.jobs.entry(id.clone()).or_default();
        if let Some(spec) = change.read_if_newer(job.spec.as_ref()) {
            job.spec = Some(spec);
            self.reload_runs(&id);
        }
        self.index(&id);
    }

    fn set_run(&mut self, id: JobId, record_index: u32, change: ValueChange<'_>) {
        let known = self
            .jobs
            .get(&id)
            .and_then(|job| job.run_records.get(&record_index));
        if let Some(record) = change.read_if_newer(known) {
            self.replace_run(id, record_index, Some(record));
        }
    }

    fn set_shard(&mut self, id: ShardId, change: ValueChange<'_>) {
        if let Some(record) = change.read_if_newer(self.shards.get(&id)) {
            self.replace_shard(id, Some(record));
        }
    }

    fn set_machine_group(&mut self, id: ProvisionId, change: ValueChange<'_>) {
        if let Some(record) = change.read_if_newer(self.machine_groups.get(&id)) {
            self.replace_machine_group(id, Some(record));
        }
    }

    /// Removes a key that was deleted at `revision`, unless it has been set since.
    pub fn delete(&mut self, key: &str, revision: Revision) {
        match Key::parse(key) {
            Some(Key::Spec(id)) => self.delete_spec(&id, revision),
            Some(Key::Cleanup(id)) => self.delete_cleanup(&id, revision),
            Some(Key::Run(id, record_index)) => {
                let known = self
                    .jobs
                    .get(&id)
                    .and_then(|job| job.run_records.get(&record_index));
                if known.is_some() && is_newer(known, revision) {
                    self.replace_run(id, record_index, None);
                }
            }
            Some(Key::Allocation(controller)) => {
                remove_older(&mut self.allocations, &controller, revision);
            }
            Some(Key::Shard(id)) if is_newer(self.shards.get(&id), revision) => {
                self.replace_shard(id, None);
            }
            Some(Key::MachineGroup(id)) if is_newer(self.machine_groups.get(&id), revision) => {
                self.replace_machine_group(id, None);
            }
            Some(Key::ProvisionRequest(id)) => {
                remove_older(&mut self.provision_requests, &id, revision);
            }
            Some(Key::Controller(controller)) => {
                remove_older(&mut self.controllers, &controller, revision);
            }
            Some(Key::Leader) if is_newer(self.leader.as_ref(), revision) => self.leader = None,
            Some(Key::Catalog) if is_newer(self.catalog.as_ref(), revision) => self.catalog = None,
            _ => {}
        }
    }

    fn delete_spec(&mut self, id: &JobId, revision: Revision) {
        if let Some(job) = self.jobs.get_mut(id) {
            if !is_newer(job.spec.as_ref(), revision) {
                return;
            }
            job.spec = None;
        }
        self.forget_if_empty(id);
    }

    fn delete_cleanup(&mut self, id: &JobId, revision: Revision) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.cleanup_since.is_some_and(|since| since < revision)
        {
            job.cleanup_since = None;
        }
        self.forget_if_empty(id);
    }

    /// Applies a deletion by this controller before the watch delivers it. The deletion is
    /// remembered, since the watch may still deliver older values of the key, which must not
    /// restore it.
    pub fn delete_ahead(&mut self, key: &str, revision: Revision) {
        self.delete(key, revision);
        if revision > self.revision && self.own_deletions.len() < MAX_DELETIONS {
            self.own_deletions.insert(key.to_owned(), revision);
        }
    }

    /// Records that the watch has delivered every change up to `revision`.
    pub fn advance(&mut self, revision: Revision) {
        if revision > self.revision {
            self.peer_cancelled.retain(|_, seen| *seen > revision);
            self.revision = revision;
            self.own_deletions
                .retain(|_, deleted_at| *deleted_at > revision);
        }
    }
}

/// A key that was set, with its new value.
struct ValueChange<'a> {
    key: &'a str,
    value: Value,
    revision: Revision,
}

impl ValueChange<'_> {
    /// Deserializes the value; `None` if it is unreadable.
    fn read<T: DeserializeOwned>(self) -> Option<T> {
        match serde_json::from_value(self.value) {
            Ok(record) => Some(record),
            Err(error) => {
                tracing::error!(key = self.key, %error, "unreadable record skipped");
                None
            }
        }
    }

    /// Deserializes the value, with its revision.
    fn read_versioned<T: DeserializeOwned>(self) -> Option<Versioned<T>> {
        let revision = self.revision;
        self.read().map(|value| Versioned { revision, value })
    }

    /// Deserializes the value if the change is newer than the cached entry.
    fn read_if_newer<T: DeserializeOwned>(
        self,
        known: Option<&Versioned<T>>,
    ) -> Option<Versioned<T>> {
        if !is_newer(known, self.revision) {
            return None;
        }
        self.read_versioned()
    }

    /// Sets an entry of a map, if the change is newer and readable.
    fn set_in<K: Ord, T: DeserializeOwned>(self, map: &mut BTreeMap<K, Versioned<T>>, name: K) {
        if let Some(entry) = self.read_if_newer(map.get(&name)) {
            map.insert(name, entry);
        }
    }

    /// Sets a record that has a single key, such as the leader record, if the change is newer. An
    /// unreadable value clears it.
    fn set_single<T: DeserializeOwned>(self, known: &mut Option<Versioned<T>>) {
        if is_newer(known.as_ref(), self.revision) {
            *known = self.read_versioned();
        }
    }
}

/// Whether a change at `revision` is newer than the cached entry of its key.
fn is_newer<T>(known: Option<&Versioned<T>>, revision: Revision) -> bool {
    known.is_none_or(|entry| entry.revision < revision)
}

/// Removes an entry that was set before `revision`.
fn remove_older<K: Ord, T>(map: &mut BTreeMap<K, Versioned<T>>, name: &K, revision: Revision) {
    if map.get(name).is_some_and(|entry| entry.revision < revision) {
        map.remove(name);
    }
}
