//! The records behind the keys, as JSON values of the state service.
//!
//! Stored names stay what they are, by `serde(rename)`; `tests/formats.rs` guards the bytes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::storage::{
    ids::{
        AgentEpoch, Attempt, ControllerName, Incarnation, MachineId, ProvisionId, TeamName,
        TypeName, ZoneName,
    },
    model::*,
};

/// Where a task is, or may be: it counts until it is proven gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// How often the task had been placed, with this placement.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// The machine that it was placed on.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// The agent epoch in which the task may be started there.
    #[serde(rename = "s")]
    pub epoch: AgentEpoch,
}

/// One range of a job's tasks, see [`keys::CHUNK`](crate::storage::keys::CHUNK).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Placed tasks.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placed: BTreeMap<u32, Placement>,
    /// Unplaced tasks that were placed before, with their last attempt.
    #[serde(rename = "w", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub before: BTreeMap<u32, Attempt>,
    /// Completed tasks, as inclusive ranges in order.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
}

impl RunRecord {
    /// Whether this task has completed.
    pub fn is_done(&self, task: u32) -> bool {
        self.done
            .iter()
            .any(|(from, to)| (*from..=*to).contains(&task))
    }

    /// How many of the tasks have completed.
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|(from, to)| to - from + 1).sum()
    }

    /// The attempt that the next placement of this task takes.
    pub fn next_attempt(&self, task: u32) -> Attempt {
        let last = self
            .placed
            .get(&task)
            .map(|placement| placement.attempt)
            .or_else(|| self.before.get(&task).copied());
        Attempt(last.map_or(1, |attempt| attempt.0 + 1))
    }

    /// The task is placed on this machine, in place of any earlier placement.
    pub fn place(&mut self, task: u32, machine: MachineId, epoch: AgentEpoch, attempt: Attempt) {
        self.before.remove(&task);
        self.placed.insert(
            task,
            Placement {
                attempt,
                machine,
                epoch,
            },
        );
    }

    /// The task is proven gone from its machine and waits again.
    pub fn unplace(&mut self, task: u32) {
        if let Some(placement) = self.placed.remove(&task) {
            self.before.insert(task, placement.attempt);
        }
    }

    /// The task has completed.
    pub fn complete(&mut self, task: u32) {
        self.placed.remove(&task);
        self.before.remove(&task);
        if self.is_done(task) {
            return;
        }
        let position = self.done.partition_point(|(from, _)| *from < task);
        self.done.insert(position, (task, task));
        let mut merged: Vec<(u32, u32)> = Vec::with_capacity(self.done.len());
        for (from, to) in self.done.drain(..) {
            match merged.last_mut() {
                Some(last) if last.1 + 1 == from => last.1 = to,
                _ => merged.push((from, to)),
            }
        }
        self.done = merged;
    }
}

/// How a shard's owner may use a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineUse {
    /// Takes any task.
    #[serde(rename = "o")]
    Available,
    /// Marked draining: takes only tasks ending within its paid period.
    #[serde(rename = "m")]
    Draining,
    /// Takes nothing more: to be moved or returned.
    #[serde(rename = "f")]
    Cordoned,
}

/// What one controller's process may use of the teams' limits, over all its
/// shards. Every placement of that process is conditional on this record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllocationRecord {
    /// The process that may use it, or nobody.
    #[serde(rename = "holder")]
    pub owner: Option<Incarnation>,
    /// What it may use of each team's limit.
    pub budgets: BTreeMap<TeamName, Quota>,
}

/// Machines that are leased together. The record's revision is the token of all
/// of them. Shards are of bounded size, so that a record keeps within the state
/// service's limit, and so that a change disturbs few machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller that leases it.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The process of that controller which owns it.
    #[serde(rename = "holder")]
    pub owner: Incarnation,
    /// To be leased to another controller: its machines take nothing more.
    #[serde(rename = "frozen", default, skip_serializing_if = "std::ops::Not::not")]
    pub cordoned: bool,
    /// Its machines, each with how it may be used.
    pub machines: BTreeMap<MachineId, MachineUse>,
}

/// A machine that is ours to pay for.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineRecord {
    /// Its machine type.
    pub kind: TypeName,
    /// Where it is.
    pub zone: ZoneName,
    /// Whether it may be taken back at any time.
    pub spot: bool,
    /// Time of day of the machine group, in milliseconds.
    pub provisioned_ms: u64,
    /// Where its agent listens; known once it has sent a heartbeat.
    pub address: Option<String>,
    /// The machine group whose record lists it.
    pub machine_group: ProvisionId,
}

/// Machines that came with one request: one record for all of them, since
/// changes of the state service are scarce.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// The machine type of all.
    #[serde(rename = "t")]
    pub kind: TypeName,
    /// The zone of all.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Whether they may be taken back at any time.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Time of day of the machine group, in milliseconds.
    #[serde(rename = "at")]
    pub provisioned_ms: u64,
    /// Those not yet returned, each with its agent's address once it is known.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, Option<String>>,
}

/// A provision request, written before it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRecord {
    /// The machine type asked for.
    #[serde(rename = "t")]
    pub kind: TypeName,
    /// The zone asked for.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Whether spot machines are asked for.
    #[serde(rename = "s")]
    pub spot: bool,
    /// How many machines are asked for.
    #[serde(rename = "n")]
    pub count: u32,
    /// Time of day of the request, in milliseconds.
    #[serde(rename = "at")]
    pub at_ms: u64,
}

/// A living controller; the key goes with its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The process that lives.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub zone: ZoneName,
    /// What it can read; the version before says nothing of it.
    #[serde(rename = "dialect", default, skip_serializing_if = "is_zero")]
    pub protocol_version: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The leader; the key goes with its lease. Its revision fences all it writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller that leads.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The process of it that leads.
    pub incarnation: Incarnation,
}

/// What all controllers can read, written by the leader once it has heard each of
/// them say so; it is never taken back. Until it stands nothing is written or accepted
/// that the version before could not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommonVersionRecord {
    /// The highest protocol version that every controller supports.
    #[serde(rename = "dialect")]
    pub protocol_version: u64,
}

/// The end of a job, with what a user may still ask about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// How it ended.
    #[serde(rename = "fate")]
    pub outcome: JobOutcome,
    /// Tasks done, for display.
    pub done: u32,
}

/// The cloud's catalog as it was read last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogRecord {
    /// The machine types on offer.
    pub types: Vec<MachineType>,
}

#[cfg(test)]
mod tests;
