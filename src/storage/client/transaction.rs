//! Transactions: conditional changes of keys that are made atomically.

use serde::Serialize;
use serde_json::Value;

use crate::storage::ids::Revision;

/// A lease of the state service. Keys attached to it are deleted when it expires.
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
        /// The lease that the key is attached to, if any.
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// A list of changes that are all made if every condition holds, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Keys with their required revisions; 0: the key must be absent.
    pub conditions: Vec<(String, Revision)>,
    /// The changes.
    pub operations: Vec<Operation>,
}

impl Transaction {
    /// Adds the condition that `key` has this revision; 0: that the key is absent.
    pub fn require(mut self, key: String, revision: Revision) -> Self {
        self.conditions.push((key, revision));
        self
    }

    /// Sets a key that is attached to no lease.
    pub fn set(self, key: String, value: &impl Serialize) -> Self {
        self.set_with_lease(key, value, None)
    }

    /// Sets a key, attached to a lease if one is given.
    pub fn set_with_lease(
        mut self,
        key: String,
        value: &impl Serialize,
        lease: Option<LeaseId>,
    ) -> Self {
        // The records are plain data with string keys, so serialization does not fail.
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.operations.push(Operation::Put { key, value, lease });
        self
    }

    /// Removes a key.
    pub fn remove(mut self, key: String) -> Self {
        self.operations.push(Operation::Delete { key });
        self
    }

    /// Adds the conditions and changes of another transaction, which must change other keys.
    pub fn merge(&mut self, other: Transaction) {
        for condition in other.conditions {
            if !self.conditions.contains(&condition) {
                self.conditions.push(condition);
            }
        }
        self.operations.extend(other.operations);
    }
}
