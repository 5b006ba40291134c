//! Frame of a controller's status.

use std::{sync::Arc, time::Duration};

use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    coordination::clients::{IndirectHeartbeat, OwnedMachine, ProtocolVersion, StatusMessage},
    storage::{
        AgentEpoch, ControllerName, ImageName, Incarnation, JobId, MachineId, Resources, Revision,
        TypeName, ZoneName,
    },
};

/// Name of the entry among the failing jobs that holds the sender's protocol version. Peers of
/// the first version skip entries whose name is not a job id, so they can read such a status; a
/// new field of [`StatusFrame`] would make it unreadable for them.
const VERSION_ENTRY: &str = "dialect";

/// A controller's status, see [`StatusMessage`].
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct StatusFrame {
    controller: String,
    incarnation: u64,
    highest_revision: u64,
    state_service_reachable: bool,
    has_lists: bool,
    owned: Vec<OwnedMachineFrame>,
    indirect_heartbeats: Vec<IndirectHeartbeatFrame>,
    failing: Vec<FailingEntry>,
}

#[derive(Archive, Serialize, Deserialize, Debug)]
struct OwnedMachineFrame {
    machine: String,
    since_heartbeat_ms: u64,
    unreachable: bool,
    quarantined: bool,
    reclaim_announced: bool,
    command_path_lost: bool,
    address: Option<String>,
    epoch: u64,
    sequence: u64,
    images: Vec<String>,
    speed: f64,
    /// CPUs, GPUs and memory, in this order.
    freed_resources: [f64; 3],
}

#[derive(Archive, Serialize, Deserialize, Debug)]
struct IndirectHeartbeatFrame {
    machine: String,
    machine_type: String,
    zone: String,
    spot: bool,
    epoch: u64,
    sequence: u64,
    age_ms: u64,
}

/// A failing job's id with the remaining time of its backoff in milliseconds, or
/// [`VERSION_ENTRY`] with the protocol version.
#[derive(Archive, Serialize, Deserialize, Debug)]
struct FailingEntry {
    name: String,
    value: u64,
}

/// Converts a duration to milliseconds, at most `u32::MAX` (49 days).
fn to_millis(duration: Duration) -> u64 {
    duration.as_millis().min(u128::from(u32::MAX)) as u64
}

impl From<StatusMessage> for StatusFrame {
    fn from(status: StatusMessage) -> Self {
        let failing = status.failing.into_iter().map(|(job, pause)| FailingEntry {
            name: job.to_string(),
            value: to_millis(pause),
        });
        let version = FailingEntry {
            name: VERSION_ENTRY.to_owned(),
            value: status.protocol_version.0,
        };
        let indirect_heartbeats = status.indirect_heartbeats.into_iter();
        Self {
            controller: status.controller.to_string(),
            incarnation: status.incarnation.0,
            highest_revision: status.highest_revision.0,
            state_service_reachable: status.state_service_reachable,
            has_lists: status.has_lists,
            owned: status.owned.into_iter().map(Into::into).collect(),
            indirect_heartbeats: indirect_heartbeats.map(Into::into).collect(),
            failing: failing.chain([version]).collect(),
        }
    }
}

impl From<StatusFrame> for StatusMessage {
    fn from(frame: StatusFrame) -> Self {
        let version = frame
            .failing
            .iter()
            .find(|entry| entry.name == VERSION_ENTRY);
        let protocol_version = version.map(|entry| ProtocolVersion(entry.value));
        let failing = frame.failing.iter().filter_map(|entry| {
            let pause = Duration::from_millis(entry.value);
            Some((JobId::parse(&entry.name)?, pause))
        });
        let indirect_heartbeats = frame.indirect_heartbeats.into_iter();
        Self {
            controller: ControllerName::new(frame.controller),
            incarnation: Incarnation(frame.incarnation),
            protocol_version: protocol_version.unwrap_or_default(),
            highest_revision: Revision(frame.highest_revision),
            state_service_reachable: frame.state_service_reachable,
            has_lists: frame.has_lists,
            owned: frame.owned.into_iter().map(Into::into).collect(),
            indirect_heartbeats: indirect_heartbeats.map(Into::into).collect(),
            failing: failing.collect(),
        }
    }
}

impl From<OwnedMachine> for OwnedMachineFrame {
    fn from(machine: OwnedMachine) -> Self {
        Self {
            machine: machine.machine.to_string(),
            since_heartbeat_ms: to_millis(machine.since_heartbeat),
            unreachable: machine.unreachable,
            quarantined: machine.quarantined,
            reclaim_announced: machine.reclaim_announced,
            command_path_lost: machine.command_path_lost,
            address: machine.address,
            epoch: machine.epoch.0,
            sequence: machine.sequence,
            images: machine.images.iter().map(ToString::to_string).collect(),
            speed: machine.speed,
            freed_resources: [
                machine.freed_resources.cpus,
                machine.freed_resources.gpus,
                machine.freed_resources.memory,
            ],
        }
    }
}

impl From<OwnedMachineFrame> for OwnedMachine {
    fn from(frame: OwnedMachineFrame) -> Self {
        let [cpus, gpus, memory] = frame.freed_resources;
        Self {
            machine: MachineId::new(frame.machine),
            since_heartbeat: Duration::from_millis(frame.since_heartbeat_ms),
            unreachable: frame.unreachable,
            quarantined: frame.quarantined,
            reclaim_announced: frame.reclaim_announced,
            command_path_lost: frame.command_path_lost,
            address: frame.address,
            epoch: AgentEpoch(frame.epoch),
            sequence: frame.sequence,
            images: Arc::new(frame.images.into_iter().map(ImageName::new).collect()),
            speed: frame.speed,
            freed_resources: Resources { cpus, gpus, memory },
        }
    }
}

impl From<IndirectHeartbeat> for IndirectHeartbeatFrame {
    fn from(heartbeat: IndirectHeartbeat) -> Self {
        Self {
            machine: heartbeat.machine.to_string(),
            machine_type: heartbeat.machine_type.to_string(),
            zone: heartbeat.zone.to_string(),
            spot: heartbeat.spot,
            epoch: heartbeat.epoch.0,
            sequence: heartbeat.sequence,
            age_ms: to_millis(heartbeat.age),
        }
    }
}

impl From<IndirectHeartbeatFrame> for IndirectHeartbeat {
    fn from(frame: IndirectHeartbeatFrame) -> Self {
        Self {
            machine: MachineId::new(frame.machine),
            machine_type: TypeName::new(frame.machine_type),
            zone: ZoneName::new(frame.zone),
            spot: frame.spot,
            epoch: AgentEpoch(frame.epoch),
            sequence: frame.sequence,
            age: Duration::from_millis(frame.age_ms),
        }
    }
}
