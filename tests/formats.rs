//! What earlier versions wrote, which serve beside this one while an upgrade rolls, is
//! read, and written the same. Each file under `tests/data` was made by its version.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde_json::Value;
use stallcove::{
    coordination::clients::*,
    protocol::peer_frames,
    storage::{records::*, *},
};

/// An earlier version: what it wrote, and the protocol version that it names.
struct Version {
    data: &'static str,
    protocol_version: ProtocolVersion,
    /// The last attempt of the gang's task that is placed.
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
fn frames_are_those_of_earlier_versions() {
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

/// Requests by the names of their recorded frames.
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

/// Responses by the names of their recorded frames.
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

fn same<T: serde::Serialize + serde::de::DeserializeOwned>(key: &str, value: &Value) {
    let record: T = serde_json::from_value(value.clone()).expect(key);
    let again = serde_json::to_value(&record).expect(key);
    assert_eq!(again, *value, "{key}");
}

#[test]
fn records_are_those_of_earlier_versions() {
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
    let names_format = version.protocol_version >= ProtocolVersion::GANGS;
    assert_eq!(records, 11 + u64::from(names_format));
    let job = &cache.jobs[&JobId::new("job-000412")];
    assert_eq!(
        (job.placed_tasks, job.completed_tasks, job.waiting()),
        (1, 2, 13)
    );
    let placement = job.placement(3).expect("a placement");
    assert_eq!(placement.attempt, version.attempt);
    assert!(cache.catalog.is_some() && cache.leader.is_some());
    assert_eq!(cache.common_version.is_some(), names_format);
    assert_eq!((cache.shards.len(), cache.machine_groups.len()), (1, 1));
    assert!(cache.outcome(&JobId::new("job-000411")).is_some());
}

fn check_record(key: &str, value: &Value) {
    match key.split('/').next().expect("a kind") {
        "spec" => same::<JobSpec>(key, value),
        "run" => same::<RunRecord>(key, value),
        "fate" => same::<OutcomeRecord>(key, value),
        "drain" => same::<u32>(key, value),
        "seat" => same::<AllocationRecord>(key, value),
        "block" => same::<ShardRecord>(key, value),
        "machine" => same::<MachineGroupRecord>(key, value),
        "rent" => same::<ProvisionRecord>(key, value),
        "node" => same::<ControllerRecord>(key, value),
        "leader" => same::<LeaderRecord>(key, value),
        "catalog" => same::<CatalogRecord>(key, value),
        "format" => same::<CommonVersionRecord>(key, value),
        other => panic!("{other}"),
    }
}

/// The zone that a job of many records is confined to stands in its spec, and is the
/// one thing that earlier versions pass over. Those of other jobs have no such field.
#[test]
fn only_confined_jobs_have_a_new_field() {
    let line = GANGS.data.lines().find(|line| line.contains("spec/"));
    let text = line.expect("a spec").rsplit_once(" {").expect("JSON").1;
    let mut spec: JobSpec = serde_json::from_str(&format!("{{{text}")).expect("a spec");
    assert_eq!(spec.assigned_zone, None);
    let plain = serde_json::to_value(&spec).expect("JSON");
    spec.assigned_zone = Some(ZoneName::new("a"));
    let mut confined = serde_json::to_value(&spec).expect("JSON");
    let fields = confined.as_object_mut().expect("an object");
    assert_eq!(fields.remove("home"), Some(Value::from("a")));
    assert_eq!(confined, plain);
}
