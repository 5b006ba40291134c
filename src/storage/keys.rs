//! The key scheme. `docs/PROTOCOL-NOTES.md` tells what each key means.

use crate::storage::ids::{BlockId, JobId, NodeName, RentName};

pub const SPEC: &str = "spec/";
pub const FATE: &str = "fate/";
pub const RUN: &str = "run/";
pub const DRAIN: &str = "drain/";
pub const SEAT: &str = "seat/";
pub const BLOCK: &str = "block/";
pub const MACHINE: &str = "machine/";
pub const RENT: &str = "rent/";
pub const NODE: &str = "node/";
pub const LEADER: &str = "leader";
pub const CATALOG: &str = "catalog";
pub const FORMAT: &str = "format";

/// The live set, read at start and after a gap in the watch. Fates are not in
/// it: they are kept for good and looked up one by one.
pub const LIVE: &[&str] = &[
    SPEC, RUN, DRAIN, SEAT, BLOCK, MACHINE, RENT, NODE, LEADER, CATALOG, FORMAT,
];

/// Tasks in one run record. An entry takes up to about 50 bytes, so that a full
/// record stays under 2 KiB. A record's tasks are placed by one holder, so that
/// smaller records spread a large job over more of them; larger ones need fewer
/// changes of the state service.
pub const CHUNK: u32 = 36;

pub fn spec(job: &JobId) -> String {
    format!("{SPEC}{job}")
}

pub fn fate(job: &JobId) -> String {
    format!("{FATE}{job}")
}

pub fn drain(job: &JobId) -> String {
    format!("{DRAIN}{job}")
}

pub fn run(job: &JobId, chunk: u32) -> String {
    format!("{RUN}{job}/{chunk}")
}

pub fn seat(node: &NodeName) -> String {
    format!("{SEAT}{node}")
}

pub fn block(block: BlockId) -> String {
    format!("{BLOCK}{block}")
}

/// The machines that one request rented.
pub fn machines(rental: &RentName) -> String {
    format!("{MACHINE}{rental}")
}

pub fn rent(rent: &RentName) -> String {
    format!("{RENT}{rent}")
}

pub fn node(node: &NodeName) -> String {
    format!("{NODE}{node}")
}

/// A key taken apart.
#[derive(Debug, PartialEq)]
pub enum Key {
    Spec(JobId),
    JobOutcome(JobId),
    Drain(JobId),
    Run(JobId, u32),
    Seat(NodeName),
    Block(BlockId),
    Machines(RentName),
    Rent(RentName),
    Node(NodeName),
    Leader,
    Catalog,
    Format,
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
        if let Some(rest) = key.strip_prefix(FATE) {
            return JobId::parse(rest).map(Key::JobOutcome);
        }
        if let Some(rest) = key.strip_prefix(DRAIN) {
            return JobId::parse(rest).map(Key::Drain);
        }
        if let Some(rest) = key.strip_prefix(SEAT) {
            return Some(Key::Seat(NodeName::new(rest)));
        }
        if let Some(rest) = key.strip_prefix(BLOCK) {
            return Some(Key::Block(BlockId(rest.parse().ok()?)));
        }
        if let Some(rest) = key.strip_prefix(MACHINE) {
            return Some(Key::Machines(RentName::new(rest)));
        }
        if let Some(rest) = key.strip_prefix(RENT) {
            return Some(Key::Rent(RentName::new(rest)));
        }
        if let Some(rest) = key.strip_prefix(NODE) {
            return Some(Key::Node(NodeName::new(rest)));
        }
        match key {
            LEADER => Some(Key::Leader),
            CATALOG => Some(Key::Catalog),
            FORMAT => Some(Key::Format),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
