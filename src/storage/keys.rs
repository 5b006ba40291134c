//! The key scheme. `docs/PROTOCOL-NOTES.md` tells what each key means.

use crate::storage::ids::{ControllerName, JobId, ProvisionId, ShardId};

pub const SPEC: &str = "spec/";
pub const OUTCOME: &str = "fate/";
pub const RUN: &str = "run/";
pub const CLEANUP: &str = "drain/";
pub const ALLOCATION: &str = "seat/";
pub const SHARD: &str = "block/";
pub const MACHINE_GROUP: &str = "machine/";
pub const PROVISION_REQUEST: &str = "rent/";
pub const CONTROLLER: &str = "node/";
pub const LEADER: &str = "leader";
pub const CATALOG: &str = "catalog";
pub const COMMON_VERSION: &str = "format";

/// The live set, read at start and after a gap in the watch. Outcomes are not in
/// it: they are kept for good and looked up one by one.
pub const LIVE: &[&str] = &[
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

/// Tasks in one run record. An entry takes up to about 50 bytes, so that a full
/// record stays under 2 KiB. A record's tasks are placed by one owner, so that
/// smaller records spread a large job over more of them; larger ones need fewer
/// changes of the state service.
pub const CHUNK: u32 = 36;

pub fn spec(job: &JobId) -> String {
    format!("{SPEC}{job}")
}

pub fn outcome(job: &JobId) -> String {
    format!("{OUTCOME}{job}")
}

pub fn cleanup(job: &JobId) -> String {
    format!("{CLEANUP}{job}")
}

pub fn run(job: &JobId, chunk: u32) -> String {
    format!("{RUN}{job}/{chunk}")
}

pub fn allocation(controller: &ControllerName) -> String {
    format!("{ALLOCATION}{controller}")
}

pub fn shard(shard: ShardId) -> String {
    format!("{SHARD}{shard}")
}

/// The machines that one request provisioned.
pub fn machine_group(provision_id: &ProvisionId) -> String {
    format!("{MACHINE_GROUP}{provision_id}")
}

pub fn provision_request(provision_id: &ProvisionId) -> String {
    format!("{PROVISION_REQUEST}{provision_id}")
}

pub fn controller(controller: &ControllerName) -> String {
    format!("{CONTROLLER}{controller}")
}

/// A key taken apart.
#[derive(Debug, PartialEq)]
pub enum Key {
    Spec(JobId),
    JobOutcome(JobId),
    Cleanup(JobId),
    Run(JobId, u32),
    Allocation(ControllerName),
    Shard(ShardId),
    MachineGroup(ProvisionId),
    ProvisionRequest(ProvisionId),
    Controller(ControllerName),
    Leader,
    Catalog,
    CommonVersion,
}

impl Key {
    pub fn parse(key: &str) -> Option<Key> {
        if let Some(rest) = key.strip_prefix(RUN) {
            let (job, chunk) = rest.split_once('/')?;
            return Some(Key::Run(JobId::parse(job)?, chunk.parse().ok()?));
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
