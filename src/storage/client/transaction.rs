//! Transactions: changes of keys that are made together, on conditions.

use serde::Serialize;
use serde_json::Value;

use crate::storage::ids::Revision;

/// A lease of the key-value store, to which keys can be attached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// One change of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// Its new value.
        value: Value,
        /// The lease that the key is to end with, if any.
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// Compares revisions (0: the key is absent), then changes keys, all or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Keys with the revisions that they must have.
    pub conditions: Vec<(String, Revision)>,
    /// What is changed if they do.
    pub ops: Vec<Operation>,
}

impl Transaction {
    /// Adds the condition that `key` has this revision; 0: that it is absent.
    pub fn require(mut self, key: String, revision: Revision) -> Self {
        self.conditions.push((key, revision));
        self
    }

    /// Sets a key that outlives any lease.
    pub fn set(self, key: String, value: &impl Serialize) -> Self {
        self.set_with(key, value, None)
    }

    /// Sets a key, attached to a lease if one is given.
    pub fn set_with(mut self, key: String, value: &impl Serialize, lease: Option<LeaseId>) -> Self {
        // Our records are plain data with string keys; they always serialise.
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.ops.push(Operation::Put { key, value, lease });
        self
    }

    /// Removes a key.
    pub fn remove(mut self, key: String) -> Self {
        self.ops.push(Operation::Delete { key });
        self
    }

    /// Joins another transaction on other keys to this one.
    pub fn absorb(&mut self, other: Transaction) {
        for condition in other.conditions {
            if !self.conditions.contains(&condition) {
                self.conditions.push(condition);
            }
        }
        self.ops.extend(other.ops);
    }
}
