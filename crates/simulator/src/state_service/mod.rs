//! The simulated state service: a key-value store with leases, compare-and-swap transactions
//! and a stream of changes.
//!
//! [`StateService`] owns the keys, the leases and the service's limits and faults. The simulated
//! network passes it the controllers' requests; scenarios set the faults. It also detects
//! transactions that no controller may ever send: it reports them as violations or panics.

mod database;
mod rate_limit;
mod repeatable;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde_json::{Value, json};
use stallcove::{
    protocol::key_value_store::LeaseRequest,
    storage::{Revision, keys},
};
use tokio::{sync::Notify, time::Instant};

use database::{Database, SizeLimits};
use rate_limit::RateLimit;

/// Maximum number of entries on a page of a listing.
const PAGE_ENTRIES: usize = 50;
/// Interval at which a long poll for changes checks its timeout and the service's faults.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);

/// Rate and size limits of the service, current or announced.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum changes per second.
    pub write_rps: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rps: f64::MAX,
            write_rps: f64::MAX,
            txn_ops: 16,
            value_bytes: 8 * 1024,
        }
    }
}

/// Rate limits of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateRates {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum changes per second.
    pub write_rps: f64,
}

/// The keys of the live set at one revision of the service.
pub struct LiveSet {
    /// The revision of the last change.
    pub revision: Revision,
    /// The keys, each with the revision of its last change.
    pub keys: BTreeMap<String, Revision>,
}

/// HTTP status and body of an answer.
pub type Reply = (u16, Value);

/// The simulated state service.
#[derive(Clone, Default)]
pub struct StateService {
    database: Arc<Mutex<Database>>,
    changed: Arc<Notify>,
}

/// Returns a query parameter of a path.
fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

impl StateService {
    fn lock(&self) -> MutexGuard<'_, Database> {
        self.database
            .lock()
            .expect("no thread panics while it holds the database")
    }

    /// Starts or ends an outage of the service. During an outage no lease expires; at its end, all
    /// leases are renewed.
    pub fn set_down(&self, down: bool) {
        let mut database = self.lock();
        database.expire_leases();
        database.is_down = down;
        if !down {
            database.renew_all_leases();
        }
        drop(database);
        self.changed.notify_waiters();
    }

    /// Sets the limits on requests and changes per second.
    pub fn set_limits(&self, rates: StateRates) {
        let mut database = self.lock();
        database.request_limit = RateLimit::new(rates.rps);
        database.write_limit = RateLimit::new(rates.write_rps);
    }

    /// Returns descriptions of the transactions that exceeded the size limits.
    pub fn oversized_transactions(&self) -> Vec<String> {
        self.lock().oversized_transactions.clone()
    }

    /// Sets the limits on the changes in a transaction and the bytes in a value.
    pub fn set_size_limits(&self, changes: usize, value_bytes: usize) {
        self.lock().size_limits = Some(SizeLimits {
            changes,
            value_bytes,
        });
    }

    /// Returns descriptions of the transactions of which a late copy could be carried out, and of the
    /// copies that took effect.
    pub fn repeated_transactions(&self) -> Vec<String> {
        self.lock().repeated_transactions.clone()
    }

    /// Returns the number of requested changes, including those of failed transactions.
    pub fn requested_changes(&self) -> usize {
        self.lock().requested_changes
    }

    /// Returns the number of changes made by transactions, by the kind of record: `+` written, `-`
    /// removed.
    pub fn changes_by_kind(&self) -> BTreeMap<String, usize> {
        self.lock().changes_by_kind.clone()
    }

    /// Sets the removed keys with the prefix to their last values again, as late copies of the
    /// transactions of a version without a guard against them do.
    pub fn restore_removed(&self, prefix: &str) {
        self.lock().restore_removed(prefix);
        self.changed.notify_waiters();
    }

    /// Returns the number of keys with the prefix, for expectations of scenarios.
    pub fn count_keys(&self, prefix: &str) -> usize {
        let database = self.lock();
        database
            .entries
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Returns the keys of the live set.
    pub fn live_set(&self) -> LiveSet {
        let database = self.lock();
        let live = database.entries.iter().filter(|(key, _)| {
            let mut prefixes = keys::LIVE_PREFIXES.iter();
            prefixes.any(|prefix| key.starts_with(prefix))
        });
        LiveSet {
            revision: Revision(database.revision),
            keys: live
                .map(|(key, entry)| (key.clone(), Revision(entry.revision)))
                .collect(),
        }
    }

    /// Starts or ends a fault in which this controller's requests get 503 and its long polls are
    /// held.
    pub fn set_rejected(&self, controller: &str, rejected: bool) {
        let mut database = self.lock();
        if rejected {
            database.rejected_controllers.insert(controller.into());
        } else {
            database.rejected_controllers.remove(controller);
        }
    }

    /// Answers a controller's request. A request for changes is a long poll: it is held until
    /// there are changes or its hold time has passed, and as long as the service rejects it.
    pub async fn handle(&self, from: &str, method: &str, path: &str, body: &[u8]) -> Reply {
        if path.starts_with("/follow") {
            return self.follow(from, path).await;
        }
        let reply = {
            let mut database = self.lock();
            if database.is_down || database.rejected_controllers.contains(from) {
                return (503, json!({}));
            }
            if !database.request_limit.try_use(1.0) {
                return (429, json!({}));
            }
            database.expire_leases();
            execute(&mut database, method, path, body)
        };
        self.changed.notify_waiters();
        reply
    }

    /// Answers a copy of a controller's request that was carried out before. Records it if the copy
    /// of a transaction takes effect: a controller must make every transaction conditional on
    /// something that carrying it out changes for good.
    pub async fn handle_copy(&self, from: &str, method: &str, path: &str, body: &[u8]) -> Reply {
        let effect = match path {
            "/commit" => self.lock().effect_of(body),
            _ => None,
        };
        let reply = self.handle(from, method, path, body).await;
        if reply.0 == 200
            && let Some(effect) = effect
        {
            let mut database = self.lock();
            let repeated = format!("transaction carried out twice: {effect}");
            database.repeated_transactions.push(repeated);
        }
        reply
    }

    async fn follow(&self, controller: &str, path: &str) -> Reply {
        let from: u64 = query_parameter(path, "from")
            .and_then(|number| number.parse().ok())
            .expect("a request for changes has a start revision");
        let hold_ms: u64 = query_parameter(path, "hold_ms")
            .and_then(|number| number.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold_ms);
        if !self.lock().request_limit.try_use(1.0) {
            return (429, json!({}));
        }
        loop {
            let changed = self.changed.notified();
            {
                let mut database = self.lock();
                let is_rejected =
                    database.is_down || database.rejected_controllers.contains(controller);
                if is_rejected && hold_ms == 0 {
                    return (503, json!({}));
                }
                database.expire_leases();
                let first = database
                    .changes
                    .partition_point(|change| change.revision <= from);
                let new_changes = &database.changes[first..];
                if !is_rejected && (!new_changes.is_empty() || Instant::now() >= until) {
                    let events: Vec<&Value> =
                        new_changes.iter().map(|change| &change.event).collect();
                    return (200, json!({"ledger": database.revision, "events": events}));
                }
            }
            tokio::select! {
                biased;
                _ = changed => {}
                _ = tokio::time::sleep(FOLLOW_INTERVAL) => {}
            }
        }
    }
}

/// Executes a request other than a long poll.
fn execute(database: &mut Database, method: &str, path: &str, body: &[u8]) -> Reply {
    match (method, path) {
        ("POST", "/commit") => database.commit(body),
        ("POST", "/grants") => {
            let request: LeaseRequest = serde_json::from_slice(body)
                .expect("a lease request is valid and has a time to live");
            let id = database.grant_lease(Duration::from_millis(request.ttl_ms));
            (200, json!({"tether": id}))
        }
        ("POST", _) if path.ends_with("/touch") => {
            let id: u64 = path
                .trim_start_matches("/grants/")
                .trim_end_matches("/touch")
                .parse()
                .expect("a renewal names a lease by its id");
            match database.renew_lease(id) {
                true => (200, json!({})),
                false => (404, json!({})),
            }
        }
        ("GET", _) if path.starts_with("/kv/") => read(database, &path["/kv/".len()..]),
        ("GET", _) if path.starts_with("/kv?") => list(database, path),
        _ => (400, json!({"error": path})),
    }
}

fn read(database: &Database, key: &str) -> Reply {
    match database.entries.get(key) {
        Some(entry) => (
            200,
            json!({"k": key, "data": entry.value, "mark": entry.revision}),
        ),
        None => (404, json!({"ledger": database.revision})),
    }
}

/// Returns a page of the entries with a prefix, ordered by key.
fn list(database: &Database, path: &str) -> Reply {
    let prefix = query_parameter(path, "starts").unwrap_or("");
    let after = query_parameter(path, "from").unwrap_or("");
    let entries: Vec<Value> = database
        .entries
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        .map(|(key, entry)| json!({"k": key, "data": entry.value, "mark": entry.revision}))
        .collect();
    let page = &entries[..entries.len().min(PAGE_ENTRIES)];
    let is_truncated = entries.len() > PAGE_ENTRIES;
    (
        200,
        json!({"entries": page, "truncated": is_truncated, "ledger": database.revision}),
    )
}
