//! Tests that the current version reads the frames and records that earlier versions wrote and
//! writes them unchanged: during a rolling upgrade both versions run side by side. Each file
//! under `tests/data` was written by the version that it is named after.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde_json::Value;
use stallcove::{
    coordination::clients::*,
    protocol::peer_frames,
    storage::{records::*, *},
};

/// An earlier version of the software.
struct Version {
    /// Frames and records that it wrote.
    data: &'static str,
    /// The protocol version that its controllers report.
    protocol_version: ProtocolVersion,
    /// The attempt of the placed task in its recorded job.
    attempt: Attempt,
}

const BEFORE_GANGS: Version = Version {
    data: include_str!("data/before-gangs.txt"),
    protocol_version: ProtocolVersion::CANCELLATIONS,
    attempt: Attempt(1),
};

const GANGS: Version = Version {
    data: include_str!("data/gangs.txt"),
    protocol_version: ProtocolVersion::GANGS,
    attempt: Attempt(4),
};

/// Returns the recorded frames by their names.
fn frames(data: &str) -> BTreeMap<String, Vec<u8>> {
    let lines = data.lines().filter_map(|line| line.strip_prefix("FRAME "));
    lines
        .map(|line| {
            let (name, hex) = line.rsplit_once(' ').expect("name and bytes");
            let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
            (
                name.to_owned(),
                (0..hex.len()).step_by(2).map(byte).collect(),
            )
        })
        .collect()
}

fn status(protocol_version: ProtocolVersion) -> StatusMessage {
    StatusMessage {
        controller: ControllerName::new("n-1"),
        incarnation: Incarnation(7),
        protocol_version,
        highest_revision: Revision(412),
        state_service_reachable: true,
        has_lists: true,
        owned: vec![OwnedMachine {
            machine: MachineId::new("vm-000231"),
            since_heartbeat: Duration::from_millis(1500),
            unreachable: false,
            quarantined: true,
            reclaim_announced: false,
            command_path_lost: true,
            address: Some("10.1.0.232:9000".into()),
            epoch: AgentEpoch(2),
            sequence: 88,
            images: Arc::new(vec![ImageName::new("img-07")]),
            speed: 0.9,
            freed_resources: Resources {
                cpus: 4.0,
                gpus: 1.0,
                memory: 8.0,
            },
        }],
        indirect_heartbeats: vec![IndirectHeartbeat {
            machine: MachineId::new("vm-000232"),
            machine_type: TypeName::new("g8"),
            zone: ZoneName::new("a"),
            spot: true,
            epoch: AgentEpoch(1),
            sequence: 3,
            age: Duration::from_millis(250),
        }],
        failing: vec![(JobId::new("job-000009"), Duration::from_millis(4000))],
    }
}

#[test]
fn frames_match_those_of_earlier_versions() {
    for version in [BEFORE_GANGS, GANGS] {
        check_frames(&version);
    }
}

fn check_frames(version: &Version) {
    let frames = frames(version.data);
    let requests = requests(version.protocol_version);
    let responses = responses(version.protocol_version);
    assert_eq!(frames.len(), requests.len() + responses.len());
    for (name, request) in requests {
        let frame = &frames[name];
        assert_eq!(peer_frames::decode_request(frame).expect(name), request);
        let written = peer_frames::encode_request(request).expect(name);
        assert_eq!(written, *frame, "{name}");
    }
    for (name, response) in responses {
        let frame = &frames[name];
        assert_eq!(peer_frames::decode_response(frame).expect(name), response);
        let written = peer_frames::encode_response(response).expect(name);
        assert_eq!(written, *frame, "{name}");
    }
}

fn job() -> JobId {
    JobId::new("job-000412")
}

/// Returns the expected requests, each with the name of its recorded frame.
fn requests(protocol_version: ProtocolVersion) -> Vec<(&'static str, PeerRequest)> {
    let offer = Offer {
        job: job(),
        tasks: vec![0, 3],
    };
    vec![
        ("call status", PeerRequest::Status(status(protocol_version))),
        ("call offers", PeerRequest::Offers(vec![offer])),
        (
            "call preempt",
            PeerRequest::Preempt(vec![TaskId::new(job(), 3)]),
        ),
        ("call probe", PeerRequest::Probe("10.1.0.232:9000".into())),
        (
            "call cancelled-since",
            PeerRequest::CancelledSince(Revision(412)),
        ),
    ]
}

/// Returns the expected responses, each with the name of its recorded frame.
fn responses(protocol_version: ProtocolVersion) -> Vec<(&'static str, PeerResponse)> {
    let cancellations = Cancellations {
        highest_revision: Revision(500),
        jobs: Some(vec![job()]),
    };
    vec![
        (
            "answer status",
            PeerResponse::Status(status(protocol_version)),
        ),
        ("answer taken", PeerResponse::Accepted),
        ("answer probed", PeerResponse::ProbeResult(true)),
        (
            "answer cancelled-since",
            PeerResponse::CancelledSince(cancellations),
        ),
        ("answer unknown", PeerResponse::Unknown),
    ]
}

/// Checks that the record is written as it was read.
fn check_round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(key: &str, value: &Value) {
    let record: T = serde_json::from_value(value.clone()).expect(key);
    let written = serde_json::to_value(&record).expect(key);
    assert_eq!(written, *value, "{key}");
}

#[test]
fn records_match_those_of_earlier_versions() {
    for version in [BEFORE_GANGS, GANGS] {
        check_records(&version);
    }
}

fn check_records(version: &Version) {
    let mut cache = StateCache::default();
    let mut records = 0;
    let lines = version.data.lines();
    for line in lines.filter_map(|line| line.strip_prefix("RECORD ")) {
        let (key, text) = line.split_once(' ').expect("key and value");
        let value: Value = serde_json::from_str(text).expect("JSON");
        records += 1;
        check_record(key, &value);
        cache.set(key, value, Revision(records));
    }
    let has_common_version = version.protocol_version >= ProtocolVersion::GANGS;
    assert_eq!(records, 11 + u64::from(has_common_version));
    let job = &cache.jobs[&JobId::new("job-000412")];
    assert_eq!(
        (job.placed_tasks, job.completed_tasks, job.waiting()),
        (1, 2, 13)
    );
    let placement = job.placement(3).expect("a placement");
    assert_eq!(placement.attempt, version.attempt);
    assert!(cache.catalog.is_some() && cache.leader.is_some());
    assert_eq!(cache.common_version.is_some(), has_common_version);
    assert_eq!((cache.shards.len(), cache.machine_groups.len()), (1, 1));
    assert!(cache.outcome(&JobId::new("job-000411")).is_some());
}

fn check_record(key: &str, value: &Value) {
    match key.split('/').next().expect("a kind") {
        "spec" => check_round_trip::<JobSpec>(key, value),
        "run" => check_round_trip::<RunRecord>(key, value),
        "fate" => check_round_trip::<OutcomeRecord>(key, value),
        "drain" => check_round_trip::<u32>(key, value),
        "seat" => check_round_trip::<AllocationRecord>(key, value),
        "block" => check_round_trip::<ShardRecord>(key, value),
        "machine" => check_round_trip::<MachineGroupRecord>(key, value),
        "rent" => check_round_trip::<ProvisionRecord>(key, value),
        "node" => check_round_trip::<ControllerRecord>(key, value),
        "leader" => check_round_trip::<LeaderRecord>(key, value),
        "catalog" => check_round_trip::<CatalogRecord>(key, value),
        "format" => check_round_trip::<CommonVersionRecord>(key, value),
        other => panic!("unknown kind of record: {other}"),
    }
}

/// The spec of a job with many run records holds the zone that the job is confined to. This is the
/// only field that earlier versions ignore; the specs of other jobs do not have it.
#[test]
fn only_confined_jobs_have_the_assigned_zone_field() {
    let line = GANGS.data.lines().find(|line| line.contains("spec/"));
    let text = line.expect("a spec").rsplit_once(" {").expect("JSON").1;
    let mut spec: JobSpec = serde_json::from_str(&format!("{{{text}")).expect("a spec");
    assert_eq!(spec.assigned_zone, None);
    let unconfined = serde_json::to_value(&spec).expect("JSON");
    spec.assigned_zone = Some(ZoneName::new("a"));
    let mut confined = serde_json::to_value(&spec).expect("JSON");
    let fields = confined.as_object_mut().expect("an object");
    assert_eq!(fields.remove("home"), Some(Value::from("a")));
    assert_eq!(confined, unconfined);
}
