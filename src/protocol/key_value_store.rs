//! Requests and responses of the key-value store. The transport layer's client of the store
//! reads and writes them; the simulator implements the store's side.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::storage::{
    client::{KeyValue, LeaseId, Operation, RangePage, Transaction, WatchEvent},
    *,
};

/// Path that executes transactions.
pub const TRANSACTION_PATH: &str = "/commit";
/// Path that grants leases.
pub const LEASES_PATH: &str = "/grants";
/// Maximum number of keys in a page of a range.
const RANGE_PAGE_SIZE: usize = 500;

/// Path that reads a key.
pub fn key_path(key: &str) -> String {
    format!("/kv/{key}")
}

/// Path that reads a page of the keys with a prefix: the page that starts after the key
/// `after`, or the first page.
pub fn range_path(prefix: &str, after: Option<&str>) -> String {
    let mut path = format!("/kv?starts={prefix}&most={RANGE_PAGE_SIZE}");
    if let Some(after) = after {
        path.push_str("&from=");
        path.push_str(after);
    }
    path
}

/// Path that renews a lease.
pub fn renewal_path(lease: LeaseId) -> String {
    format!("{LEASES_PATH}/{}/touch", lease.0)
}

/// Path that watches all changes after a revision. The store responds when there is a change,
/// and after `max_wait` without one.
pub fn watch_path(after: Revision, max_wait: Duration) -> String {
    let max_wait_ms = max_wait.as_millis();
    format!("/follow?starts=&from={after}&hold_ms={max_wait_ms}")
}

/// A key with its value.
#[derive(Debug, Deserialize)]
pub struct KeyValueMessage {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The stored value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of the last change to the key.
    #[serde(rename = "mark")]
    pub revision: u64,
}

impl From<KeyValueMessage> for KeyValue {
    fn from(message: KeyValueMessage) -> Self {
        KeyValue {
            key: message.key,
            value: message.value,
            revision: Revision(message.revision),
        }
    }
}

/// A page of keys with a common prefix.
#[derive(Debug, Deserialize)]
pub struct RangeResponse {
    /// The keys with their values, ordered by key.
    pub entries: Vec<KeyValueMessage>,
    /// Whether there are more keys after the last entry.
    #[serde(default, rename = "truncated")]
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

impl From<RangeResponse> for RangePage {
    fn from(response: RangeResponse) -> Self {
        RangePage {
            items: response.entries.into_iter().map(KeyValue::from).collect(),
            has_more: response.has_more,
            revision: Revision(response.revision),
        }
    }
}

/// A condition of a transaction: the key still has this revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct Comparison {
    /// The key whose revision is compared.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision; zero means that the key must not exist.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperationMessage {
    /// Writes a value.
    Put {
        /// The key written.
        #[serde(rename = "set")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// Lease that the key is attached to.
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key removed.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl From<&Operation> for OperationMessage {
    fn from(operation: &Operation) -> Self {
        match operation {
            Operation::Put { key, value, lease } => OperationMessage::Put {
                key: key.clone(),
                value: value.clone(),
                lease: lease.map(|lease| lease.0),
            },
            Operation::Delete { key } => OperationMessage::Delete { key: key.clone() },
        }
    }
}

/// A compare-and-swap request over several keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionRequest {
    /// Conditions that must all hold; otherwise no operation is applied.
    #[serde(rename = "if", default)]
    pub conditions: Vec<Comparison>,
    /// Operations that are applied atomically.
    #[serde(rename = "then", default)]
    pub operations: Vec<OperationMessage>,
}

impl From<&Transaction> for TransactionRequest {
    fn from(transaction: &Transaction) -> Self {
        let conditions = transaction.conditions.iter();
        TransactionRequest {
            conditions: conditions
                .map(|(key, revision)| Comparison {
                    key: key.clone(),
                    revision: revision.0,
                })
                .collect(),
            operations: transaction
                .operations
                .iter()
                .map(OperationMessage::from)
                .collect(),
        }
    }
}

/// Response to a transaction that was committed.
#[derive(Debug, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the transaction's changes.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Response to a transaction that was not applied because a condition did not hold.
#[derive(Debug, Deserialize)]
pub struct ConflictResponse {
    /// Keys whose revision differs from the expected one.
    #[serde(rename = "failed")]
    pub keys: Vec<String>,
}

/// Request to grant a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live after each renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response to a request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseResponse {
    /// Id of the new lease.
    #[serde(rename = "tether")]
    pub lease: u64,
}

/// Response to a watch: the changes after the requested revision.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the events include all changes.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes, ordered by revision.
    #[serde(default)]
    pub events: Vec<WatchEventMessage>,
}

/// A change to a key that a watch reports.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum WatchEventMessage {
    /// A value was written.
    Put {
        /// The key written.
        #[serde(rename = "set")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// Revision of the change.
        #[serde(rename = "mark")]
        revision: u64,
    },
    /// A key was removed by a transaction or because its lease ended.
    Delete {
        /// The key removed.
        #[serde(rename = "drop")]
        key: String,
        /// Revision of the change.
        #[serde(rename = "mark")]
        revision: u64,
    },
}

impl From<WatchEventMessage> for WatchEvent {
    fn from(message: WatchEventMessage) -> Self {
        match message {
            WatchEventMessage::Put {
                key,
                value,
                revision,
            } => WatchEvent::Put(KeyValue {
                key,
                value,
                revision: Revision(revision),
            }),
            WatchEventMessage::Delete { key, revision } => WatchEvent::Delete {
                key,
                revision: Revision(revision),
            },
        }
    }
}

/// Body of the store's error responses.
#[derive(Debug, Deserialize)]
pub struct StoreErrorBody {
    /// Description of the error.
    pub error: String,
}

impl StoreErrorBody {
    /// Error of a transaction that attaches a key to a lease that has expired.
    pub const NO_SUCH_LEASE: &str = "no such lease";
}
