//! What controllers say to each other: `rkyv` archives in length-framed
//! messages, validated before they are read.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use quota::Refusal;
use rkyv::{Archive, Deserialize, Serialize, rancor::Error};

use crate::{
    coordination::ports::{
        Cancellations, Dialect, HeldMachine, Offer, PeerAnswer, PeerCall, QuotaAnswer,
        QuotaRequest, QuotaTargets, Sighting, Status,
    },
    storage::{
        ImageName, Incarnation, JobId, MachineId, NodeName, Quota, Resources, Revision, Session,
        TaskId, TeamName, TypeName, ZoneName,
    },
};

/// Frames beyond this are not read. The largest tells of all machines: of 8,192 held and
/// 8,192 sighted ones, see the test.
pub const FRAME_LIMIT: usize = 8 * 1024 * 1024;

#[derive(Archive, Serialize, Deserialize, Debug)]
struct Held {
    machine: String,
    silent_ms: u64,
    unreachable: bool,
    suspect: bool,
    leaving: bool,
    deaf: bool,
    address: Option<String>,
    session: u64,
    sequence: u64,
    images: Vec<String>,
    speed: f64,
    freed: [f64; 3],
}

#[derive(Archive, Serialize, Deserialize, Debug)]
struct Seen {
    machine: String,
    kind: String,
    zone: String,
    spot: bool,
    session: u64,
    sequence: u64,
    age_ms: u64,
}

#[derive(Archive, Serialize, Deserialize, Debug)]
struct WireStatus {
    node: String,
    incarnation: u64,
    seen: u64,
    state_reachable: bool,
    full: bool,
    held: Vec<Held>,
    sightings: Vec<Seen>,
    failing: Vec<(String, u64)>,
}

#[derive(Archive, Serialize, Deserialize, Debug)]
enum Request {
    Status(WireStatus),
    Offers(Vec<(String, Vec<u32>)>),
    Preempt(Vec<(String, u32)>),
    Probe(String),
    // From here on only to peers whose dialect has it. A variant must not be larger
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
enum Response {
    Status(WireStatus),
    Taken,
    Probed(bool),
    // As above.
    CancelledSince(u64, bool, Vec<String>),
    Unknown,
    QuotaGranted(Vec<TeamQuota>),
    QuotaRefused(u8),
    QuotaUndecided,
}

/// The dialect rides among the failing jobs: a peer of the first version passes over
/// names that are no job's. `WireStatus` itself can't grow while such peers live.
const DIALECT: &str = "dialect";

fn millis(span: Duration) -> u64 {
    span.as_millis().min(u128::from(u32::MAX)) as u64
}

impl From<Status> for WireStatus {
    fn from(status: Status) -> Self {
        WireStatus {
            node: status.node.to_string(),
            incarnation: status.incarnation.0,
            seen: status.seen.0,
            state_reachable: status.state_reachable,
            full: status.full,
            held: status
                .held
                .into_iter()
                .map(|held| Held {
                    machine: held.machine.to_string(),
                    silent_ms: millis(held.silent),
                    unreachable: held.unreachable,
                    suspect: held.suspect,
                    leaving: held.leaving,
                    deaf: held.deaf,
                    address: held.address,
                    session: held.session.0,
                    sequence: held.sequence,
                    images: held.images.iter().map(ToString::to_string).collect(),
                    speed: held.speed,
                    freed: [held.freed.cpus, held.freed.gpus, held.freed.memory],
                })
                .collect(),
            sightings: status
                .sightings
                .into_iter()
                .map(|seen| Seen {
                    machine: seen.machine.to_string(),
                    kind: seen.kind.to_string(),
                    zone: seen.zone.to_string(),
                    spot: seen.spot,
                    session: seen.session.0,
                    sequence: seen.sequence,
                    age_ms: millis(seen.age),
                })
                .collect(),
            failing: status
                .failing
                .into_iter()
                .map(|(job, pause)| (job.to_string(), millis(pause)))
                .chain([(DIALECT.to_owned(), status.dialect.0)])
                .collect(),
        }
    }
}

impl From<WireStatus> for Status {
    fn from(wire: WireStatus) -> Self {
        let dialect = wire.failing.iter().find(|(name, _)| name == DIALECT);
        Status {
            node: NodeName::new(wire.node),
            incarnation: Incarnation(wire.incarnation),
            dialect: dialect.map_or_else(Dialect::default, |(_, step)| Dialect(*step)),
            seen: Revision(wire.seen),
            state_reachable: wire.state_reachable,
            full: wire.full,
            held: wire
                .held
                .into_iter()
                .map(|held| HeldMachine {
                    machine: MachineId::new(held.machine),
                    silent: Duration::from_millis(held.silent_ms),
                    unreachable: held.unreachable,
                    suspect: held.suspect,
                    leaving: held.leaving,
                    deaf: held.deaf,
                    address: held.address,
                    session: Session(held.session),
                    sequence: held.sequence,
                    images: Arc::new(held.images.into_iter().map(ImageName::new).collect()),
                    speed: held.speed,
                    freed: Resources {
                        cpus: held.freed[0],
                        gpus: held.freed[1],
                        memory: held.freed[2],
                    },
                })
                .collect(),
            sightings: wire
                .sightings
                .into_iter()
                .map(|seen| Sighting {
                    machine: MachineId::new(seen.machine),
                    kind: TypeName::new(seen.kind),
                    zone: ZoneName::new(seen.zone),
                    spot: seen.spot,
                    session: Session(seen.session),
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
pub struct BadFrame(#[from] Error);

pub fn write_call(call: PeerCall) -> Result<Vec<u8>, BadFrame> {
    let ask = match call {
        PeerCall::Status(status) => Request::Status(status.into()),
        PeerCall::Offers(offers) => Request::Offers(
            offers
                .into_iter()
                .map(|offer| (offer.job.to_string(), offer.tasks))
                .collect(),
        ),
        PeerCall::Preempt(tasks) => Request::Preempt(
            tasks
                .into_iter()
                .map(|task| (task.job.to_string(), task.index))
                .collect(),
        ),
        PeerCall::Probe(address) => Request::Probe(address),
        PeerCall::CancelledSince(revision) => Request::CancelledSince(revision.0),
        PeerCall::RequestQuota(request) => Request::Quota(WireQuotaRequest {
            recipient: request.recipient.to_string(),
            process: request.process,
            number: request.number,
            wanted: write_quotas(request.wanted),
        }),
        PeerCall::SetQuotaTargets(targets) => {
            Request::QuotaTargets(targets.leader.0, write_quotas(targets.budgets))
        }
    };
    Ok(rkyv::to_bytes::<Error>(&ask)?.to_vec())
}

pub fn read_call(frame: &[u8]) -> Result<PeerCall, BadFrame> {
    let frame = aligned(frame);
    Ok(match rkyv::from_bytes::<Request, Error>(&frame)? {
        Request::Status(status) => PeerCall::Status(status.into()),
        Request::Offers(offers) => PeerCall::Offers(
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
        Request::Preempt(tasks) => PeerCall::Preempt(
            tasks
                .into_iter()
                .filter_map(|(job, index)| Some(TaskId::new(JobId::parse(&job)?, index)))
                .collect(),
        ),
        Request::Probe(address) => PeerCall::Probe(address),
        Request::CancelledSince(revision) => PeerCall::CancelledSince(Revision(revision)),
        Request::Quota(request) => PeerCall::RequestQuota(QuotaRequest {
            recipient: NodeName::new(request.recipient),
            process: request.process,
            number: request.number,
            wanted: read_quotas(request.wanted),
        }),
        Request::QuotaTargets(leader, budgets) => PeerCall::SetQuotaTargets(QuotaTargets {
            leader: Revision(leader),
            budgets: read_quotas(budgets),
        }),
    })
}

pub fn write_answer(answer: PeerAnswer) -> Result<Vec<u8>, BadFrame> {
    let tell = match answer {
        PeerAnswer::Status(status) => Response::Status(status.into()),
        PeerAnswer::Taken => Response::Taken,
        PeerAnswer::Probed(up) => Response::Probed(up),
        PeerAnswer::CancelledSince(Cancellations { seen, jobs }) => {
            let complete = jobs.is_some();
            let names = jobs.unwrap_or_default();
            let names = names.iter().map(ToString::to_string).collect();
            Response::CancelledSince(seen.0, complete, names)
        }
        PeerAnswer::Unknown => Response::Unknown,
        PeerAnswer::Quota(QuotaAnswer::Granted(amounts)) => {
            Response::QuotaGranted(write_quotas(amounts))
        }
        PeerAnswer::Quota(QuotaAnswer::Refused(refusal)) => Response::QuotaRefused(refusal.code()),
        PeerAnswer::Quota(QuotaAnswer::Undecided) => Response::QuotaUndecided,
    };
    Ok(rkyv::to_bytes::<Error>(&tell)?.to_vec())
}

pub fn read_answer(frame: &[u8]) -> Result<PeerAnswer, BadFrame> {
    let frame = aligned(frame);
    Ok(match rkyv::from_bytes::<Response, Error>(&frame)? {
        Response::Status(status) => PeerAnswer::Status(status.into()),
        Response::Taken => PeerAnswer::Taken,
        Response::Probed(up) => PeerAnswer::Probed(up),
        Response::CancelledSince(seen, complete, names) => {
            let jobs: Option<Vec<JobId>> = names.iter().map(|name| JobId::parse(name)).collect();
            PeerAnswer::CancelledSince(Cancellations {
                seen: Revision(seen),
                jobs: jobs.filter(|_| complete),
            })
        }
        Response::Unknown => PeerAnswer::Unknown,
        Response::QuotaGranted(amounts) => {
            PeerAnswer::Quota(QuotaAnswer::Granted(read_quotas(amounts)))
        }
        // A later version's refusal is a refusal.
        Response::QuotaRefused(code) => PeerAnswer::Quota(QuotaAnswer::Refused(
            Refusal::of_code(code).unwrap_or(Refusal::NotReady),
        )),
        Response::QuotaUndecided => PeerAnswer::Quota(QuotaAnswer::Undecided),
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
