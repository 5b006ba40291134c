//! What controllers say to each other: `rkyv` archives in length-framed
//! messages, validated before they are read.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use quota::Refusal;
use rkyv::{Archive, Deserialize, Serialize, rancor::Error};

use crate::{
    coordination::clients::{
        Cancellations, IndirectHeartbeat, Offer, OwnedMachine, PeerRequest, PeerResponse,
        ProtocolVersion, QuotaRequest, QuotaResponse, QuotaTargets, StatusMessage,
    },
    storage::{
        AgentEpoch, ControllerName, ImageName, Incarnation, JobId, MachineId, Quota, Resources,
        Revision, TaskId, TeamName, TypeName, ZoneName,
    },
};

/// Frames beyond this are not read. The largest tells of all machines: of 8,192 held and
/// 8,192 indirectly heard ones, see the test.
pub const FRAME_LIMIT: usize = 8 * 1024 * 1024;

#[derive(Archive, Serialize, Deserialize, Debug)]
struct OwnedMachineFrame {
    machine: String,
    since_heartbeat_ms: u64,
    unreachable: bool,
    quarantined: bool,
    leaving: bool,
    command_path_lost: bool,
    address: Option<String>,
    epoch: u64,
    sequence: u64,
    images: Vec<String>,
    speed: f64,
    freed: [f64; 3],
}

#[derive(Archive, Serialize, Deserialize, Debug)]
struct IndirectHeartbeatFrame {
    machine: String,
    kind: String,
    zone: String,
    spot: bool,
    epoch: u64,
    sequence: u64,
    age_ms: u64,
}

#[derive(Archive, Serialize, Deserialize, Debug)]
struct StatusFrame {
    controller: String,
    incarnation: u64,
    highest_revision: u64,
    state_reachable: bool,
    full: bool,
    owned: Vec<OwnedMachineFrame>,
    indirect_heartbeats: Vec<IndirectHeartbeatFrame>,
    failing: Vec<(String, u64)>,
}

#[derive(Archive, Serialize, Deserialize, Debug)]
enum RequestFrame {
    Status(StatusFrame),
    Offers(Vec<(String, Vec<u32>)>),
    Preempt(Vec<(String, u32)>),
    Probe(String),
    // From here on only to peers whose protocol version has it. A variant must not be larger
    // than `Status`: the root of an archive is found from its end.
    CancelledSince(u64),
    Quota(WireQuotaRequest),
    QuotaTargets(u64, Vec<TeamQuota>),
}

/// An amount of a team's limit.
#[derive(Archive, Serialize, Deserialize, Debug)]
struct TeamQuota {
    team: String,
    cpus: f64,
    gpus: f64,
}

#[derive(Archive, Serialize, Deserialize, Debug)]
struct WireQuotaRequest {
    recipient: String,
    process: u64,
    number: u64,
    wanted: Vec<TeamQuota>,
}

#[derive(Archive, Serialize, Deserialize, Debug)]
enum ResponseFrame {
    Status(StatusFrame),
    Accepted,
    ProbeResult(bool),
    // As above.
    CancelledSince(u64, bool, Vec<String>),
    Unknown,
    QuotaGranted(Vec<TeamQuota>),
    QuotaRefused(u8),
    QuotaUndecided,
}

/// The protocol version rides among the failing jobs: a peer of the first version passes over
/// names that are no job's. `StatusFrame` itself can't grow while such peers live.
const VERSION_ENTRY: &str = "dialect";

fn millis(span: Duration) -> u64 {
    span.as_millis().min(u128::from(u32::MAX)) as u64
}

impl From<StatusMessage> for StatusFrame {
    fn from(status: StatusMessage) -> Self {
        StatusFrame {
            controller: status.controller.to_string(),
            incarnation: status.incarnation.0,
            highest_revision: status.highest_revision.0,
            state_reachable: status.state_reachable,
            full: status.full,
            owned: status
                .owned
                .into_iter()
                .map(|machine| OwnedMachineFrame {
                    machine: machine.machine.to_string(),
                    since_heartbeat_ms: millis(machine.since_heartbeat),
                    unreachable: machine.unreachable,
                    quarantined: machine.quarantined,
                    leaving: machine.leaving,
                    command_path_lost: machine.command_path_lost,
                    address: machine.address,
                    epoch: machine.epoch.0,
                    sequence: machine.sequence,
                    images: machine.images.iter().map(ToString::to_string).collect(),
                    speed: machine.speed,
                    freed: [machine.freed.cpus, machine.freed.gpus, machine.freed.memory],
                })
                .collect(),
            indirect_heartbeats: status
                .indirect_heartbeats
                .into_iter()
                .map(|seen| IndirectHeartbeatFrame {
                    machine: seen.machine.to_string(),
                    kind: seen.kind.to_string(),
                    zone: seen.zone.to_string(),
                    spot: seen.spot,
                    epoch: seen.epoch.0,
                    sequence: seen.sequence,
                    age_ms: millis(seen.age),
                })
                .collect(),
            failing: status
                .failing
                .into_iter()
                .map(|(job, pause)| (job.to_string(), millis(pause)))
                .chain([(VERSION_ENTRY.to_owned(), status.protocol_version.0)])
                .collect(),
        }
    }
}

impl From<StatusFrame> for StatusMessage {
    fn from(wire: StatusFrame) -> Self {
        let protocol_version = wire.failing.iter().find(|(name, _)| name == VERSION_ENTRY);
        StatusMessage {
            controller: ControllerName::new(wire.controller),
            incarnation: Incarnation(wire.incarnation),
            protocol_version: protocol_version
                .map_or_else(ProtocolVersion::default, |(_, level)| {
                    ProtocolVersion(*level)
                }),
            highest_revision: Revision(wire.highest_revision),
            state_reachable: wire.state_reachable,
            full: wire.full,
            owned: wire
                .owned
                .into_iter()
                .map(|machine| OwnedMachine {
                    machine: MachineId::new(machine.machine),
                    since_heartbeat: Duration::from_millis(machine.since_heartbeat_ms),
                    unreachable: machine.unreachable,
                    quarantined: machine.quarantined,
                    leaving: machine.leaving,
                    command_path_lost: machine.command_path_lost,
                    address: machine.address,
                    epoch: AgentEpoch(machine.epoch),
                    sequence: machine.sequence,
                    images: Arc::new(machine.images.into_iter().map(ImageName::new).collect()),
                    speed: machine.speed,
                    freed: Resources {
                        cpus: machine.freed[0],
                        gpus: machine.freed[1],
                        memory: machine.freed[2],
                    },
                })
                .collect(),
            indirect_heartbeats: wire
                .indirect_heartbeats
                .into_iter()
                .map(|seen| IndirectHeartbeat {
                    machine: MachineId::new(seen.machine),
                    kind: TypeName::new(seen.kind),
                    zone: ZoneName::new(seen.zone),
                    spot: seen.spot,
                    epoch: AgentEpoch(seen.epoch),
                    sequence: seen.sequence,
                    age: Duration::from_millis(seen.age_ms),
                })
                .collect(),
            failing: wire
                .failing
                .into_iter()
                .filter_map(|(job, pause)| {
                    Some((JobId::parse(&job)?, Duration::from_millis(pause)))
                })
                .collect(),
        }
    }
}

fn write_quotas(quotas: BTreeMap<TeamName, Quota>) -> Vec<TeamQuota> {
    let entries = quotas.into_iter().map(|(team, quota)| TeamQuota {
        team: team.to_string(),
        cpus: quota.cpus,
        gpus: quota.gpus,
    });
    entries.collect()
}

fn read_quotas(entries: Vec<TeamQuota>) -> BTreeMap<TeamName, Quota> {
    let quotas = entries.into_iter().map(|entry| {
        let quota = Quota {
            cpus: entry.cpus,
            gpus: entry.gpus,
        };
        (TeamName::new(entry.team), quota)
    });
    quotas.collect()
}

#[derive(Debug, thiserror::Error)]
#[error("not a message of a controller: {0}")]
pub struct FrameError(#[from] Error);

pub fn encode_request(call: PeerRequest) -> Result<Vec<u8>, FrameError> {
    let ask = match call {
        PeerRequest::Status(status) => RequestFrame::Status(status.into()),
        PeerRequest::Offers(offers) => RequestFrame::Offers(
            offers
                .into_iter()
                .map(|offer| (offer.job.to_string(), offer.tasks))
                .collect(),
        ),
        PeerRequest::Preempt(tasks) => RequestFrame::Preempt(
            tasks
                .into_iter()
                .map(|task| (task.job.to_string(), task.index))
                .collect(),
        ),
        PeerRequest::Probe(address) => RequestFrame::Probe(address),
        PeerRequest::CancelledSince(revision) => RequestFrame::CancelledSince(revision.0),
        PeerRequest::RequestQuota(request) => RequestFrame::Quota(WireQuotaRequest {
            recipient: request.recipient.to_string(),
            process: request.process,
            number: request.number,
            wanted: write_quotas(request.wanted),
        }),
        PeerRequest::SetQuotaTargets(targets) => {
            RequestFrame::QuotaTargets(targets.leader.0, write_quotas(targets.budgets))
        }
    };
    Ok(rkyv::to_bytes::<Error>(&ask)?.to_vec())
}

pub fn decode_request(frame: &[u8]) -> Result<PeerRequest, FrameError> {
    let frame = aligned(frame);
    Ok(match rkyv::from_bytes::<RequestFrame, Error>(&frame)? {
        RequestFrame::Status(status) => PeerRequest::Status(status.into()),
        RequestFrame::Offers(offers) => PeerRequest::Offers(
            offers
                .into_iter()
                .filter_map(|(job, tasks)| {
                    Some(Offer {
                        job: JobId::parse(&job)?,
                        tasks,
                    })
                })
                .collect(),
        ),
        RequestFrame::Preempt(tasks) => PeerRequest::Preempt(
            tasks
                .into_iter()
                .filter_map(|(job, index)| Some(TaskId::new(JobId::parse(&job)?, index)))
                .collect(),
        ),
        RequestFrame::Probe(address) => PeerRequest::Probe(address),
        RequestFrame::CancelledSince(revision) => PeerRequest::CancelledSince(Revision(revision)),
        RequestFrame::Quota(request) => PeerRequest::RequestQuota(QuotaRequest {
            recipient: ControllerName::new(request.recipient),
            process: request.process,
            number: request.number,
            wanted: read_quotas(request.wanted),
        }),
        RequestFrame::QuotaTargets(leader, budgets) => PeerRequest::SetQuotaTargets(QuotaTargets {
            leader: Revision(leader),
            budgets: read_quotas(budgets),
        }),
    })
}

pub fn encode_response(answer: PeerResponse) -> Result<Vec<u8>, FrameError> {
    let tell = match answer {
        PeerResponse::Status(status) => ResponseFrame::Status(status.into()),
        PeerResponse::Accepted => ResponseFrame::Accepted,
        PeerResponse::ProbeResult(up) => ResponseFrame::ProbeResult(up),
        PeerResponse::CancelledSince(Cancellations { seen, jobs }) => {
            let complete = jobs.is_some();
            let names = jobs.unwrap_or_default();
            let names = names.iter().map(ToString::to_string).collect();
            ResponseFrame::CancelledSince(seen.0, complete, names)
        }
        PeerResponse::Unknown => ResponseFrame::Unknown,
        PeerResponse::Quota(QuotaResponse::Granted(amounts)) => {
            ResponseFrame::QuotaGranted(write_quotas(amounts))
        }
        PeerResponse::Quota(QuotaResponse::Refused(refusal)) => {
            ResponseFrame::QuotaRefused(refusal.code())
        }
        PeerResponse::Quota(QuotaResponse::Undecided) => ResponseFrame::QuotaUndecided,
    };
    Ok(rkyv::to_bytes::<Error>(&tell)?.to_vec())
}

pub fn decode_response(frame: &[u8]) -> Result<PeerResponse, FrameError> {
    let frame = aligned(frame);
    Ok(match rkyv::from_bytes::<ResponseFrame, Error>(&frame)? {
        ResponseFrame::Status(status) => PeerResponse::Status(status.into()),
        ResponseFrame::Accepted => PeerResponse::Accepted,
        ResponseFrame::ProbeResult(up) => PeerResponse::ProbeResult(up),
        ResponseFrame::CancelledSince(seen, complete, names) => {
            let jobs: Option<Vec<JobId>> = names.iter().map(|name| JobId::parse(name)).collect();
            PeerResponse::CancelledSince(Cancellations {
                seen: Revision(seen),
                jobs: jobs.filter(|_| complete),
            })
        }
        ResponseFrame::Unknown => PeerResponse::Unknown,
        ResponseFrame::QuotaGranted(amounts) => {
            PeerResponse::Quota(QuotaResponse::Granted(read_quotas(amounts)))
        }
        // A later version's refusal is a refusal.
        ResponseFrame::QuotaRefused(code) => PeerResponse::Quota(QuotaResponse::Refused(
            Refusal::of_code(code).unwrap_or(Refusal::NotReady),
        )),
        ResponseFrame::QuotaUndecided => PeerResponse::Quota(QuotaResponse::Undecided),
    })
}

/// Archives are read in place and must lie at a multiple of their alignment.
fn aligned(frame: &[u8]) -> rkyv::util::AlignedVec {
    let mut copy = rkyv::util::AlignedVec::with_capacity(frame.len());
    copy.extend_from_slice(frame);
    copy
}

#[cfg(test)]
mod tests;
