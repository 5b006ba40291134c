//! What controllers say to each other: `rkyv` archives in length-framed
//! messages, validated before they are read.

use std::{sync::Arc, time::Duration};

use rkyv::{Archive, Deserialize, Serialize, rancor::Error};

use crate::{
    coordination::ports::{
        Cancellations, Dialect, HeldMachine, Offer, PeerAnswer, PeerCall, Sighting, Status,
    },
    storage::{
        ImageName, Incarnation, JobId, MachineId, NodeName, Resources, Revision, Session, TaskId,
        TypeName, ZoneName,
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
}

#[derive(Archive, Serialize, Deserialize, Debug)]
enum Response {
    Status(WireStatus),
    Taken,
    Probed(bool),
    // As above.
    CancelledSince(u64, bool, Vec<String>),
    Unknown,
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
