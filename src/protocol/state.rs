//! The state service's messages.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::storage::{
    client::{KeyValue, Operation, RangePage, Transaction, WatchEvent},
    *,
};

#[derive(Debug, Deserialize, Serialize)]
pub struct Entry {
    pub k: String,
    pub data: Value,
    pub mark: u64,
}

impl From<Entry> for KeyValue {
    fn from(entry: Entry) -> Self {
        KeyValue {
            key: entry.k,
            value: entry.data,
            revision: Revision(entry.mark),
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Entries {
    pub entries: Vec<Entry>,
    #[serde(default)]
    pub truncated: bool,
    pub ledger: u64,
}

impl From<Entries> for RangePage {
    fn from(entries: Entries) -> Self {
        RangePage {
            items: entries.entries.into_iter().map(KeyValue::from).collect(),
            more: entries.truncated,
            revision: Revision(entries.ledger),
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Condition {
    pub k: String,
    pub mark: u64,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Set {
        set: String,
        data: Value,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tether: Option<u64>,
    },
    Drop {
        drop: String,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Commit {
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    #[serde(default)]
    pub then: Vec<Change>,
}

impl From<&Transaction> for Commit {
    fn from(transaction: &Transaction) -> Self {
        Commit {
            conditions: transaction
                .conditions
                .iter()
                .map(|(k, mark)| Condition {
                    k: k.clone(),
                    mark: mark.0,
                })
                .collect(),
            then: transaction
                .ops
                .iter()
                .map(|op| match op {
                    Operation::Put { key, value, lease } => Change::Set {
                        set: key.clone(),
                        data: value.clone(),
                        tether: lease.map(|lease| lease.0),
                    },
                    Operation::Delete { key } => Change::Drop { drop: key.clone() },
                })
                .collect(),
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Committed {
    pub ledger: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Failed {
    pub failed: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Life {
    pub life_ms: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Tether {
    pub tether: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Events {
    pub ledger: u64,
    #[serde(default)]
    pub events: Vec<Happening>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Happening {
    Set { set: String, data: Value, mark: u64 },
    Drop { drop: String, mark: u64 },
}

impl From<Happening> for WatchEvent {
    fn from(happening: Happening) -> Self {
        match happening {
            Happening::Set { set, data, mark } => WatchEvent::Put(KeyValue {
                key: set,
                value: data,
                revision: Revision(mark),
            }),
            Happening::Drop { drop, mark } => WatchEvent::Delete {
                key: drop,
                revision: Revision(mark),
            },
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Rejection {
    pub error: String,
}
