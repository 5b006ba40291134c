//! The records that the keys hold, as JSON values of the state service.
//!
//! The stored names never change; `serde(rename)` keeps them where a field has another name,
//! and `tests/formats.rs` checks the stored bytes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::storage::{
    ids::{
        AgentEpoch, Attempt, ControllerName, Incarnation, MachineId, ProvisionId, TeamName,
        TypeName, ZoneName,
    },
    model::*,
};

/// The machine on which a task is, or may be. A placement counts until the task is proven to
/// be gone from the machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The number of this placement among the placements of the task.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// The machine that it was placed on.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// The epoch of the machine's agent in which the task may be started.
    #[serde(rename = "s")]
    pub epoch: AgentEpoch,
}

/// The run record of one range of a job's tasks, see
/// [`keys::TASKS_PER_RUN_RECORD`](crate::storage::keys::TASKS_PER_RUN_RECORD).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Placed tasks.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placed: BTreeMap<u32, Placement>,
    /// The last attempts of tasks that were placed before and are not placed now.
    #[serde(rename = "w", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub last_attempts: BTreeMap<u32, Attempt>,
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

    /// Number of the completed tasks.
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|(from, to)| to - from + 1).sum()
    }

    /// Returns the attempt of the task's next placement.
    pub fn next_attempt(&self, task: u32) -> Attempt {
        let last = self
            .placed
            .get(&task)
            .map(|placement| placement.attempt)
            .or_else(|| self.last_attempts.get(&task).copied());
        Attempt(last.map_or(1, |attempt| attempt.0 + 1))
    }

    /// Records that the task is placed on this machine, replacing any earlier placement.
    pub fn place(&mut self, task: u32, machine: MachineId, epoch: AgentEpoch, attempt: Attempt) {
        self.last_attempts.remove(&task);
        self.placed.insert(
            task,
            Placement {
                attempt,
                machine,
                epoch,
            },
        );
    }

    /// Removes the placement of a task that is proven to be gone from its machine. The task
    /// waits again.
    pub fn unplace(&mut self, task: u32) {
        if let Some(placement) = self.placed.remove(&task) {
            self.last_attempts.insert(task, placement.attempt);
        }
    }

    /// Records that the task has completed.
    pub fn complete(&mut self, task: u32) {
        self.placed.remove(&task);
        self.last_attempts.remove(&task);
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
    /// Accepts any task.
    #[serde(rename = "o")]
    Available,
    /// Accepts only tasks that end within its current paid period.
    #[serde(rename = "m")]
    Draining,
    /// Accepts no new tasks: about to be moved to another shard or released to the cloud.
    #[serde(rename = "f")]
    Cordoned,
}

/// The part of each team's limit that one process of a controller may use, over all its
/// shards. Every placement by that process is conditional on this record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllocationRecord {
    /// The process that may use the allocation, if any.
    #[serde(rename = "holder")]
    pub owner: Option<Incarnation>,
    /// The part of each team's limit that the process may use.
    pub budgets: BTreeMap<TeamName, Quota>,
}

/// A shard: machines that are leased to a controller together. The record's revision is the
/// fencing token of all of them. The size of shards is bounded so that a record stays within
/// the state service's limit and a change of it affects few machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller that the shard is leased to.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The process of that controller that owns the shard.
    #[serde(rename = "holder")]
    pub owner: Incarnation,
    /// Whether the shard's machines accept no new tasks, because it is about to be leased to
    /// another controller.
    #[serde(rename = "frozen", default, skip_serializing_if = "std::ops::Not::not")]
    pub cordoned: bool,
    /// Its machines, each with how it may be used.
    pub machines: BTreeMap<MachineId, MachineUse>,
}

/// A provisioned machine that is not yet released, as part of its machine group.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineRecord {
    /// Its machine type.
    pub machine_type: TypeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// When the machine group was requested, or discovered if no request is known, in Unix
    /// milliseconds.
    pub provisioned_ms: u64,
    /// The address of its agent; known once the agent has sent a heartbeat.
    pub address: Option<String>,
    /// The machine group whose record lists it.
    pub machine_group: ProvisionId,
}

/// Machines that were provisioned by one request, or adopted together after they were found
/// without a record. They share a record because the state service limits the rate of changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineGroupRecord {
    /// The machine type of all machines in the group.
    #[serde(rename = "t")]
    pub machine_type: TypeName,
    /// The zone of all machines in the group.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Whether they are spot machines, which the cloud may reclaim at any time.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When the machine group was requested, or discovered if no request is known, in Unix
    /// milliseconds.
    #[serde(rename = "at")]
    pub provisioned_ms: u64,
    /// The machines not yet released, each with its agent's address once that is known.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, Option<String>>,
}

/// A provision request, written before it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRecord {
    /// The requested machine type.
    #[serde(rename = "t")]
    pub machine_type: TypeName,
    /// The requested zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Whether spot machines are requested.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The requested number of machines.
    #[serde(rename = "n")]
    pub count: u32,
    /// When the request was written, in Unix milliseconds.
    #[serde(rename = "at")]
    pub at_ms: u64,
}

/// The registration of a live controller. The key is deleted when the controller's lease
/// expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The controller's running process.
    pub incarnation: Incarnation,
    /// The zone in which it runs.
    pub zone: ZoneName,
    /// The highest protocol version that it supports; 0 and not stored for releases that
    /// predate the field.
    #[serde(rename = "dialect", default, skip_serializing_if = "is_zero")]
    pub protocol_version: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The leader. The key is deleted when the leader's lease expires. All commits of the leader
/// are fenced by the revision of this record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller that is the leader.
    #[serde(rename = "node")]
    pub controller: ControllerName,
    /// The process of that controller that is the leader.
    pub incarnation: Incarnation,
}

/// The protocol version that all controllers support. The leader writes it once every
/// controller has reported its support, and it is never lowered. Until it is written, nothing
/// is written or accepted that the previous version could not handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommonVersionRecord {
    /// The highest protocol version that every controller supports.
    #[serde(rename = "dialect")]
    pub protocol_version: u64,
}

/// The outcome of a job, with the details that users can still query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// How it ended.
    #[serde(rename = "fate")]
    pub outcome: JobOutcome,
    /// Number of completed tasks, for display.
    pub done: u32,
}

/// The cloud's catalog as of the last read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogRecord {
    /// The machine types on offer.
    pub types: Vec<MachineType>,
}

#[cfg(test)]
mod tests;
