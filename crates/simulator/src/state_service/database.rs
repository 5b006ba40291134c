//! Data of the simulated state service, and its transactions.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde_json::{Value, json};
use stallcove::protocol::key_value_store::{OperationMessage, TransactionRequest};
use tokio::time::Instant;

use super::{Limits, Reply, rate_limit::RateLimit, repeatable::find_repeatable};

/// Maximum number of conditions in a transaction, per change that the size limits allow.
const CONDITIONS_PER_CHANGE: usize = 4;
/// Maximum size of a transaction's message. The service panics on a larger one, since a controller
/// must never send it.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Prefix of the keys of job outcomes, which are written once and never removed.
const OUTCOME_PREFIX: &str = "fate/";

/// A stored value.
pub(super) struct Entry {
    /// The value as JSON.
    pub(super) value: Value,
    /// The revision that wrote it.
    pub(super) revision: u64,
    /// The lease with whose expiry the entry is removed.
    lease: Option<u64>,
}

/// A change as sent to the controllers that follow the changes.
pub(super) struct Change {
    /// The revision that made it.
    pub(super) revision: u64,
    /// The change as the protocol's JSON.
    pub(super) event: Value,
}

struct Lease {
    time_to_live: Duration,
    expires_at: Instant,
}

/// Keys, leases, changes, limits, faults and counters of the service.
#[derive(Default)]
pub(super) struct Database {
    /// Revision of the last change.
    pub(super) revision: u64,
    /// The stored entries, by key.
    pub(super) entries: BTreeMap<String, Entry>,
    /// All changes since the start, ordered by revision.
    pub(super) changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Whether the service is down: requests get 503, long polls are held until the outage ends,
    /// and leases do not expire.
    pub(super) is_down: bool,
    /// Controllers that the service rejects: their requests get 503, their long polls are held.
    pub(super) rejected_controllers: BTreeSet<String>,
    /// Limit on requests per second.
    pub(super) request_limit: RateLimit,
    /// Limit on changes per second.
    pub(super) write_limit: RateLimit,
    /// Size limits of transactions; `None` while the defaults apply.
    pub(super) size_limits: Option<SizeLimits>,
    /// Descriptions of the transactions that exceeded the size limits.
    pub(super) oversized_transactions: Vec<String>,
    /// Descriptions of the transactions that could be carried out twice, or were.
    pub(super) repeated_transactions: Vec<String>,
    /// Number of requested changes, including those of failed transactions.
    pub(super) requested_changes: usize,
    /// Number of changes made by transactions, by the kind of record: `+` written, `-` removed.
    pub(super) changes_by_kind: BTreeMap<String, usize>,
}

/// Size limits of a transaction.
#[derive(Clone, Copy, Debug)]
pub(super) struct SizeLimits {
    /// Maximum number of changes in a transaction.
    pub(super) changes: usize,
    /// Maximum size of a value in bytes.
    pub(super) value_bytes: usize,
}

impl Default for SizeLimits {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            changes: limits.txn_ops,
            value_bytes: limits.value_bytes,
        }
    }
}

impl Database {
    /// Removes the leases that have expired, with their keys.
    pub(super) fn expire_leases(&mut self) {
        if self.is_down {
            return;
        }
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            self.remove_keys_of_lease(id);
        }
    }

    fn remove_keys_of_lease(&mut self, id: u64) {
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(key);
        }
    }

    /// Grants a lease; returns its id.
    pub(super) fn grant_lease(&mut self, time_to_live: Duration) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            time_to_live,
            expires_at: Instant::now() + time_to_live,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease; returns false if it does not exist.
    #[must_use]
    pub(super) fn renew_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at = Instant::now() + lease.time_to_live;
        true
    }

    /// Renews all leases, as the service does at the end of an outage.
    pub(super) fn renew_all_leases(&mut self) {
        let now = Instant::now();
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.time_to_live;
        }
    }

    /// Applies a transaction if its conditions hold.
    pub(super) fn commit(&mut self, body: &[u8]) -> Reply {
        let Ok(transaction) = serde_json::from_slice::<TransactionRequest>(body) else {
            return (400, json!({"error": "malformed"}));
        };
        if let Some(what) = self.find_exceeded_limit(&transaction) {
            // The violation is reported: a controller must never send such a transaction.
            self.oversized_transactions
                .push(format!("too large: {what}"));
            return (400, json!({"error": "too large"}));
        }
        if !self
            .write_limit
            .try_use(transaction.operations.len() as f64)
        {
            return (429, json!({}));
        }
        self.requested_changes += transaction.operations.len();
        assert!(
            body.len() <= MAX_TRANSACTION_BYTES,
            "too large a transaction"
        );
        let failed = self.failed_conditions(&transaction);
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.revision}));
        }
        if !self.check_operations(&transaction.operations) {
            return (400, json!({"error": "no such lease"}));
        }
        if let Some(keys) = find_repeatable(&transaction) {
            self.repeated_transactions
                .push(format!("transaction could be carried out twice: {keys}"));
        }
        if !transaction.operations.is_empty() {
            self.revision += 1;
        }
        for operation in transaction.operations {
            self.apply(operation);
        }
        (200, json!({"ledger": self.revision}))
    }

    /// Returns the keys whose values a transaction would change, in words; `None` if all of them
    /// have the values already.
    pub(super) fn effect_of(&self, body: &[u8]) -> Option<String> {
        let transaction: TransactionRequest = serde_json::from_slice(body).ok()?;
        let changed = transaction.operations.iter().filter_map(|operation| {
            let (key, value) = match operation {
                OperationMessage::Put { key, value, .. } => (key, Some(value)),
                OperationMessage::Delete { key } => (key, None),
            };
            let current = self.entries.get(key).map(|entry| &entry.value);
            (current != value).then_some(key.as_str())
        });
        let changed: Vec<&str> = changed.collect();
        (!changed.is_empty()).then(|| changed.join(" "))
    }

    /// Returns which size limit a transaction exceeds, if any.
    fn find_exceeded_limit(&self, transaction: &TransactionRequest) -> Option<String> {
        let limits = self.size_limits.unwrap_or_default();
        let changes = transaction.operations.len();
        let conditions = transaction.conditions.len();
        if changes > limits.changes || conditions > CONDITIONS_PER_CHANGE * limits.changes {
            return Some(format!("{changes} changes, {conditions} conditions"));
        }
        transaction.operations.iter().find_map(|operation| {
            let OperationMessage::Put { key, value, .. } = operation else {
                return None;
            };
            let size = value.to_string().len();
            (size > limits.value_bytes).then(|| format!("{key} has {size} bytes"))
        })
    }

    /// Returns the keys whose revision differs from the one in the transaction's condition.
    fn failed_conditions<'a>(&self, transaction: &'a TransactionRequest) -> Vec<&'a String> {
        transaction
            .conditions
            .iter()
            .filter(|condition| {
                let entry = self.entries.get(&condition.key);
                entry.map_or(0, |entry| entry.revision) != condition.revision
            })
            .map(|condition| &condition.key)
            .collect()
    }

    /// Returns whether all leases named in the operations exist. Panics if a key is changed twice,
    /// or if an outcome is written twice or removed: a controller must never request that.
    fn check_operations(&self, operations: &[OperationMessage]) -> bool {
        let mut changed_keys = BTreeSet::new();
        for operation in operations {
            let key = match operation {
                OperationMessage::Put { key, lease, .. } => {
                    if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                        return false;
                    }
                    key
                }
                OperationMessage::Delete { key } => key,
            };
            assert!(
                changed_keys.insert(key),
                "{key} changes twice in a transaction"
            );
            if !key.starts_with(OUTCOME_PREFIX) {
                continue;
            }
            match operation {
                OperationMessage::Put { .. } => assert!(
                    !self.entries.contains_key(key),
                    "an outcome is written twice"
                ),
                OperationMessage::Delete { .. } => panic!("an outcome is removed"),
            }
        }
        true
    }

    /// Applies a change at the current revision.
    fn apply(&mut self, operation: OperationMessage) {
        match operation {
            OperationMessage::Put { key, value, lease } => {
                self.count_change('+', &key);
                self.put(key, value, lease);
            }
            OperationMessage::Delete { key } => {
                self.count_change('-', &key);
                self.remove(key);
            }
        }
    }

    /// Sets the removed keys with the prefix to their last values, each by a change of its own.
    pub(super) fn restore_removed(&mut self, prefix: &str) {
        let mut removed: BTreeMap<String, Value> = BTreeMap::new();
        for change in &self.changes {
            if let Some(key) = change.event["set"].as_str()
                && key.starts_with(prefix)
                && !self.entries.contains_key(key)
            {
                removed.insert(key.to_owned(), change.event["data"].clone());
            }
        }
        for (key, value) in removed {
            self.revision += 1;
            self.put(key, value, None);
        }
    }

    fn count_change(&mut self, sign: char, key: &str) {
        let kind = key.split('/').next().unwrap_or(key);
        let made = self.changes_by_kind.entry(format!("{sign}{kind}"));
        *made.or_default() += 1;
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        let revision = self.revision;
        let event = json!({"set": key, "data": value, "mark": revision});
        let entry = Entry {
            value,
            revision,
            lease,
        };
        self.entries.insert(key, entry);
        self.changes.push(Change { revision, event });
    }

    fn remove(&mut self, key: String) {
        self.entries.remove(&key);
        let revision = self.revision;
        let event = json!({"drop": key, "mark": revision});
        self.changes.push(Change { revision, event });
    }
}
