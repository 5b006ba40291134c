//! A key-value store in memory. Requests are executed at once; a test can hold back the response
//! to a request, so that it arrives after the responses to later requests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::storage::{
    client::{
        CommitError, KeyValue, KeyValueStore, LeaseId, Operation, RangePage, StateError,
        Transaction, WatchEvent,
    },
    ids::Revision,
    lock,
};

/// Maximum number of keys on a page: small, so that a full read takes several pages.
const PAGE_KEYS: usize = 2;

/// A response that has not been delivered yet. Dropping it delivers the response.
pub(super) struct HeldResponse {
    _deliver: oneshot::Sender<()>,
}

#[derive(Default)]
struct Data {
    revision: Revision,
    entries: BTreeMap<String, KeyValue>,
    changes: Vec<WatchEvent>,
    /// Delays the response to the next request until its sender is dropped.
    next_response: Option<oneshot::Receiver<()>>,
}

impl Data {
    fn begin_change(&mut self) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        self.revision
    }

    fn apply(&mut self, operation: &Operation, revision: Revision) {
        match operation {
            Operation::Put { key, value, .. } => {
                let item = KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    revision,
                };
                self.entries.insert(key.clone(), item.clone());
                self.changes.push(WatchEvent::Put(item));
            }
            Operation::Delete { key } => {
                if self.entries.remove(key).is_some() {
                    let key = key.clone();
                    self.changes.push(WatchEvent::Delete { key, revision });
                }
            }
        }
    }

    fn page(&self, prefix: &str, after: Option<&str>) -> RangePage {
        let mut items: Vec<KeyValue> = self
            .entries
            .values()
            .filter(|item| item.key.starts_with(prefix))
            .filter(|item| after.is_none_or(|after| item.key.as_str() > after))
            .cloned()
            .collect();
        let has_more = items.len() > PAGE_KEYS;
        items.truncate(PAGE_KEYS);
        RangePage {
            items,
            has_more,
            revision: self.revision,
        }
    }
}

/// The store; its clones share their data.
#[derive(Clone, Default)]
pub(super) struct DelayedStore(Arc<Mutex<Data>>);

impl DelayedStore {
    fn data(&self) -> MutexGuard<'_, Data> {
        lock(&self.0)
    }

    /// Makes a change as another controller.
    pub(super) fn change(&self, operation: &Operation) {
        let mut data = self.data();
        let revision = data.begin_change();
        data.apply(operation, revision);
    }

    /// Holds back the response to the next request.
    pub(super) fn hold_next_response(&self) -> HeldResponse {
        let (sender, receiver) = oneshot::channel();
        self.data().next_response = Some(receiver);
        HeldResponse { _deliver: sender }
    }

    /// The stored keys, each with the revision of its last change.
    pub(super) fn revisions(&self) -> BTreeMap<String, Revision> {
        let data = self.data();
        let entries = data.entries.iter();
        entries
            .map(|(key, item)| (key.clone(), item.revision))
            .collect()
    }

    /// Executes a request, and returns its response once that may be delivered.
    async fn respond<T>(&self, execute: impl FnOnce(&mut Data) -> T) -> T {
        let (response, delivered) = {
            let mut data = self.data();
            let response = execute(&mut data);
            (response, data.next_response.take())
        };
        if let Some(delivered) = delivered {
            // An error means that the sender was dropped, which delivers the response.
            let _ = delivered.await;
        }
        response
    }
}

impl KeyValueStore for DelayedStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<KeyValue>, StateError>> {
        self.respond(|data| Ok(data.entries.get(key).cloned()))
            .boxed()
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<RangePage, StateError>> {
        self.respond(move |data| Ok(data.page(prefix, after)))
            .boxed()
    }

    /// Commits the operations; the tests use no conditions.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<Revision, CommitError>> {
        self.respond(|data| {
            let revision = data.begin_change();
            for operation in &transaction.operations {
                data.apply(operation, revision);
            }
            Ok(revision)
        })
        .boxed()
    }

    fn grant_lease(&self, _ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StateError>> {
        self.respond(|_| Ok(LeaseId(1))).boxed()
    }

    fn renew_lease(&self, _lease: LeaseId) -> BoxFuture<'_, Result<(), StateError>> {
        self.respond(|_| Ok(())).boxed()
    }

    /// Returns the changes at once, even if there are none.
    fn watch(
        &self,
        after: Revision,
        _max_wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Vec<WatchEvent>), StateError>> {
        self.respond(move |data| {
            let changes = data.changes.iter();
            let new = changes.filter(|change| change.revision() > after);
            Ok((data.revision, new.cloned().collect()))
        })
        .boxed()
    }
}

/// An operation that sets a key.
pub(super) fn put(key: &str, value: Value) -> Operation {
    Operation::Put {
        key: key.to_owned(),
        value,
        lease: None,
    }
}

/// An operation that removes a key.
pub(super) fn delete(key: &str) -> Operation {
    Operation::Delete {
        key: key.to_owned(),
    }
}
