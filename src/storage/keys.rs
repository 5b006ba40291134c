//! The key scheme of the state service: which key holds which record.
//! `docs/PROTOCOL-NOTES.md` describes each.
//!
//! The prefixes are part of the stored data and never change.

use crate::storage::ids::{ControllerName, JobId, ProvisionId, ShardId};

/// Prefix of the specs of accepted jobs, followed by the job.
pub const SPEC: &str = "spec/";
/// Prefix of the outcomes of jobs, followed by the job.
pub const OUTCOME: &str = "fate/";
/// Prefix of run records, followed by the job and the index of the record (see
/// [`TASKS_PER_RUN_RECORD`]).
pub const RUN: &str = "run/";
/// Prefix of the cleanup marks of jobs that are cancelled, or over, and still have keys,
/// followed by the job.
pub const CLEANUP: &str = "drain/";
/// Prefix of quota allocations, followed by the controller.
pub const ALLOCATION: &str = "seat/";
/// Prefix of shards, followed by the shard's number.
pub const SHARD: &str = "block/";
/// Prefix of machine groups, followed by the group's name.
pub const MACHINE_GROUP: &str = "machine/";
/// Prefix of provision requests, followed by the request.
pub const PROVISION_REQUEST: &str = "rent/";
/// Prefix of the registrations of live controllers, followed by the controller.
pub const CONTROLLER: &str = "node/";
/// Key of the leader's record.
pub const LEADER: &str = "leader";
/// Key of the catalog of the cloud's machine types.
pub const CATALOG: &str = "catalog";
/// Key of the protocol version that all controllers support.
pub const COMMON_VERSION: &str = "format";

/// The prefixes and keys of the live set: the records that are read at the start and after a
/// gap in the watch. Outcomes are not among them: they are never deleted and are read one by
/// one.
pub const LIVE_PREFIXES: &[&str] = &[
    SPEC,
    RUN,
    CLEANUP,
    ALLOCATION,
    SHARD,
    MACHINE_GROUP,
    PROVISION_REQUEST,
    CONTROLLER,
    LEADER,
    CATALOG,
    COMMON_VERSION,
];

/// Number of tasks in one run record. An entry takes up to about 50 bytes, so that a full
/// record stays under 2 KiB. The tasks of a record are placed by one shard owner: smaller
/// records spread a large job over more owners, larger ones need fewer changes of the state
/// service.
pub const TASKS_PER_RUN_RECORD: u32 = 36;

/// The key of a job's spec.
pub fn spec(job: &JobId) -> String {
    format!("{SPEC}{job}")
}

/// The key of a job's outcome.
pub fn outcome(job: &JobId) -> String {
    format!("{OUTCOME}{job}")
}

/// The key of a job's cleanup mark.
pub fn cleanup(job: &JobId) -> String {
    format!("{CLEANUP}{job}")
}

/// The key of one of a job's run records.
pub fn run(job: &JobId, record_index: u32) -> String {
    format!("{RUN}{job}/{record_index}")
}

/// The key of a controller's quota allocation.
pub fn allocation(controller: &ControllerName) -> String {
    format!("{ALLOCATION}{controller}")
}

/// The key of a shard.
pub fn shard(shard: ShardId) -> String {
    format!("{SHARD}{shard}")
}

/// The key of a machine group.
pub fn machine_group(provision_id: &ProvisionId) -> String {
    format!("{MACHINE_GROUP}{provision_id}")
}

/// The key of a provision request.
pub fn provision_request(provision_id: &ProvisionId) -> String {
    format!("{PROVISION_REQUEST}{provision_id}")
}

/// The key of a controller's registration.
pub fn controller(controller: &ControllerName) -> String {
    format!("{CONTROLLER}{controller}")
}

/// A parsed key.
#[derive(Debug, PartialEq)]
pub enum Key {
    /// See [`SPEC`].
    Spec(JobId),
    /// See [`OUTCOME`].
    JobOutcome(JobId),
    /// See [`CLEANUP`].
    Cleanup(JobId),
    /// See [`RUN`]; with the index of the record.
    Run(JobId, u32),
    /// See [`ALLOCATION`].
    Allocation(ControllerName),
    /// See [`SHARD`].
    Shard(ShardId),
    /// See [`MACHINE_GROUP`].
    MachineGroup(ProvisionId),
    /// See [`PROVISION_REQUEST`].
    ProvisionRequest(ProvisionId),
    /// See [`CONTROLLER`].
    Controller(ControllerName),
    /// See [`LEADER`].
    Leader,
    /// See [`CATALOG`].
    Catalog,
    /// See [`COMMON_VERSION`].
    CommonVersion,
}

impl Key {
    /// Parses a key; `None` if it is not part of the key scheme.
    pub fn parse(key: &str) -> Option<Key> {
        if let Some(rest) = key.strip_prefix(RUN) {
            let (job, record_index) = rest.split_once('/')?;
            return Some(Key::Run(JobId::parse(job)?, record_index.parse().ok()?));
        }
        if let Some(rest) = key.strip_prefix(SPEC) {
            return JobId::parse(rest).map(Key::Spec);
        }
        if let Some(rest) = key.strip_prefix(OUTCOME) {
            return JobId::parse(rest).map(Key::JobOutcome);
        }
        if let Some(rest) = key.strip_prefix(CLEANUP) {
            return JobId::parse(rest).map(Key::Cleanup);
        }
        if let Some(rest) = key.strip_prefix(ALLOCATION) {
            return Some(Key::Allocation(ControllerName::new(rest)));
        }
        if let Some(rest) = key.strip_prefix(SHARD) {
            return Some(Key::Shard(ShardId(rest.parse().ok()?)));
        }
        if let Some(rest) = key.strip_prefix(MACHINE_GROUP) {
            return Some(Key::MachineGroup(ProvisionId::new(rest)));
        }
        if let Some(rest) = key.strip_prefix(PROVISION_REQUEST) {
            return Some(Key::ProvisionRequest(ProvisionId::new(rest)));
        }
        if let Some(rest) = key.strip_prefix(CONTROLLER) {
            return Some(Key::Controller(ControllerName::new(rest)));
        }
        match key {
            LEADER => Some(Key::Leader),
            CATALOG => Some(Key::Catalog),
            COMMON_VERSION => Some(Key::CommonVersion),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
