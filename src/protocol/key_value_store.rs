//! Messages of the key-value store. The transport layer's client of the store reads and
//! writes them; the simulator's store is the other side.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::storage::{
    client::{KeyValue, LeaseId, Operation, RangePage, Transaction, WatchEvent},
    *,
};

/// Where transactions are executed.
pub const TRANSACTION_PATH: &str = "/commit";
/// Where leases are granted.
pub const LEASES_PATH: &str = "/grants";
/// Keys in a page of a range, at most.
const RANGE_PAGE_SIZE: usize = 500;

/// Where a key is read.
pub fn key_path(key: &str) -> String {
    format!("/kv/{key}")
}

/// Where the page of the keys with a prefix is that follows a key; without one, the first.
pub fn range_path(prefix: &str, after: Option<&str>) -> String {
    let mut path = format!("/kv?starts={prefix}&most={RANGE_PAGE_SIZE}");
    if let Some(after) = after {
        path.push_str("&from=");
        path.push_str(after);
    }
    path
}

/// Where a lease is renewed.
pub fn renewal_path(lease: LeaseId) -> String {
    format!("{LEASES_PATH}/{}/touch", lease.0)
}

/// Where all changes after a revision are watched; without any, the answer comes after
/// `max_wait`.
pub fn watch_path(from: Revision, max_wait: Duration) -> String {
    let max_wait_ms = max_wait.as_millis();
    format!("/follow?starts=&from={from}&hold_ms={max_wait_ms}")
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
    /// In the order of their keys.
    pub entries: Vec<KeyValueMessage>,
    /// More keys follow the last one.
    #[serde(default, rename = "truncated")]
    pub has_more: bool,
    /// Revision of the store that the page shows.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

impl From<RangeResponse> for RangePage {
    fn from(response: RangeResponse) -> Self {
        RangePage {
            items: response.entries.into_iter().map(KeyValue::from).collect(),
            more: response.has_more,
            revision: Revision(response.revision),
        }
    }
}

/// A condition of a transaction: the key's revision is still this one.
#[derive(Debug, Serialize, Deserialize)]
pub struct Comparison {
    /// The key compared.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision; zero: the key does not exist.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A change that a transaction makes.
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

/// A compare-and-swap.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionRequest {
    /// All must hold, or nothing is changed.
    #[serde(rename = "if", default)]
    pub conditions: Vec<Comparison>,
    /// Made together.
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
            operations: transaction.ops.iter().map(OperationMessage::from).collect(),
        }
    }
}

/// Answer to a transaction that was executed.
#[derive(Debug, Deserialize)]
pub struct TransactionResponse {
    /// Revision of its changes.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Answer to a transaction whose conditions did not hold.
#[derive(Debug, Deserialize)]
pub struct ConflictResponse {
    /// Keys with another revision than expected.
    #[serde(rename = "failed")]
    pub keys: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live after each renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// The lease that was granted.
#[derive(Debug, Deserialize)]
pub struct LeaseResponse {
    /// Id of the new lease.
    #[serde(rename = "tether")]
    pub lease: u64,
}

/// Changes that a watch has found.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the events are complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// In the order of their revisions.
    #[serde(default)]
    pub events: Vec<WatchEventMessage>,
}

/// A change to a key.
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
    /// A key was removed, by a transaction or with its lease.
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

/// Body of the store's error answers.
#[derive(Debug, Deserialize)]
pub struct StoreErrorBody {
    /// What is wrong.
    pub error: String,
}

impl StoreErrorBody {
    /// The error of a transaction that names a lease which has expired.
    pub const NO_SUCH_LEASE: &str = "no such lease";
}
