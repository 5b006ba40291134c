//! Finds transactions of which a late copy could be carried out.

use stallcove::{
    protocol::key_value_store::{OperationMessage, TransactionRequest},
    storage::{
        JobId,
        keys::{self, Key},
    },
};

/// Prefixes of the records that are never removed: once they exist, the condition that one is
/// absent never holds again.
const PERMANENT: [&str; 5] = [
    keys::OUTCOME,
    keys::SHARD,
    keys::ALLOCATION,
    keys::CATALOG,
    keys::COMMON_VERSION,
];

/// Returns the keys that a copy of the transaction could set again, if it could be carried out
/// after the transaction itself. A transaction rules that out by one of the following:
///
/// - a condition on the revision of a record that it changes, since revisions only rise;
/// - a condition on the absence of a record that it creates and that is never removed;
/// - a condition on the absence of a job's outcome, if it sets only records of that job, which are
///   removed no sooner than the outcome is written;
/// - leases: the records that it sets are removed only when these have expired.
pub(super) fn find_repeatable(transaction: &TransactionRequest) -> Option<String> {
    let set: Vec<&str> = set_keys(transaction).collect();
    if set.is_empty() || is_conditional_on_its_changes(transaction) || has_leases(transaction) {
        return None;
    }
    let is_fenced = set.iter().all(|key| {
        job_of(key).is_some_and(|job| requires_absence(transaction, &keys::outcome(&job)))
    });
    (!is_fenced).then(|| set.join(" "))
}

fn set_keys(transaction: &TransactionRequest) -> impl Iterator<Item = &str> {
    let operations = transaction.operations.iter();
    operations.filter_map(|operation| match operation {
        OperationMessage::Put { key, .. } => Some(key.as_str()),
        OperationMessage::Delete { .. } => None,
    })
}

/// Whether carrying the transaction out makes one of its conditions fail for good.
fn is_conditional_on_its_changes(transaction: &TransactionRequest) -> bool {
    transaction.conditions.iter().any(|condition| {
        let mut operations = transaction.operations.iter();
        let is_permanent = PERMANENT
            .iter()
            .any(|prefix| condition.key.starts_with(prefix));
        operations.any(|operation| match operation {
            OperationMessage::Put { key, .. } => {
                *key == condition.key && (condition.revision > 0 || is_permanent)
            }
            OperationMessage::Delete { key } => *key == condition.key && condition.revision > 0,
        })
    })
}

/// Whether all records that the transaction sets are attached to a lease.
fn has_leases(transaction: &TransactionRequest) -> bool {
    let mut operations = transaction.operations.iter();
    operations.all(|operation| match operation {
        OperationMessage::Put { lease, .. } => lease.is_some(),
        OperationMessage::Delete { .. } => true,
    })
}

fn requires_absence(transaction: &TransactionRequest, key: &str) -> bool {
    let mut conditions = transaction.conditions.iter();
    conditions.any(|condition| condition.key == key && condition.revision == 0)
}

fn job_of(key: &str) -> Option<JobId> {
    match Key::parse(key)? {
        Key::Spec(job) | Key::Run(job, _) | Key::Cleanup(job) => Some(job),
        _ => None,
    }
}
