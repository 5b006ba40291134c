//! What the version before gangs wrote, which serves beside this one while an upgrade
//! rolls, is read, and written the same: `tests/data/before-gangs.txt` was made by it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde_json::Value;
use stallcove::{
    coordination::ports::*,
    protocol::peers,
    storage::{records::*, *},
};

const DATA: &str = include_str!("data/before-gangs.txt");

fn frames() -> BTreeMap<String, Vec<u8>> {
    let lines = DATA.lines().filter_map(|line| line.strip_prefix("FRAME "));
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

fn status() -> Status {
    Status {
        node: NodeName::new("n-1"),
        incarnation: Incarnation(7),
        dialect: Dialect::CANCELLATIONS,
        seen: Revision(412),
        state_reachable: true,
        full: true,
        held: vec![HeldMachine {
            machine: MachineId::new("vm-000231"),
            silent: Duration::from_millis(1500),
            unreachable: false,
            suspect: true,
            leaving: false,
            deaf: true,
            address: Some("10.1.0.232:9000".into()),
            session: Session(2),
            sequence: 88,
            images: Arc::new(vec![ImageName::new("img-07")]),
            speed: 0.9,
            freed: Resources {
                cpus: 4.0,
                gpus: 1.0,
                memory: 8.0,
            },
        }],
        sightings: vec![Sighting {
            machine: MachineId::new("vm-000232"),
            kind: TypeName::new("g8"),
            zone: ZoneName::new("a"),
            spot: true,
            session: Session(1),
            sequence: 3,
            age: Duration::from_millis(250),
        }],
        failing: vec![(JobId::new("job-000009"), Duration::from_millis(4000))],
    }
}

#[test]
fn frames_are_those_of_the_version_before() {
    let job = || JobId::new("job-000412");
    let offer = Offer {
        job: job(),
        tasks: vec![0, 3],
    };
    let cancellations = Cancellations {
        seen: Revision(500),
        jobs: Some(vec![job()]),
    };
    let calls = [
        ("call status", PeerCall::Status(status())),
        ("call offers", PeerCall::Offers(vec![offer])),
        (
            "call preempt",
            PeerCall::Preempt(vec![TaskId::new(job(), 3)]),
        ),
        ("call probe", PeerCall::Probe("10.1.0.232:9000".into())),
        (
            "call cancelled-since",
            PeerCall::CancelledSince(Revision(412)),
        ),
    ];
    let answers = [
        ("answer status", PeerAnswer::Status(status())),
        ("answer taken", PeerAnswer::Taken),
        ("answer probed", PeerAnswer::Probed(true)),
        (
            "answer cancelled-since",
            PeerAnswer::CancelledSince(cancellations),
        ),
        ("answer unknown", PeerAnswer::Unknown),
    ];
    let frames = frames();
    assert_eq!(frames.len(), calls.len() + answers.len());
    for (name, call) in calls {
        assert_eq!(peers::read_call(&frames[name]).expect(name), call);
        assert_eq!(peers::write_call(call).expect(name), frames[name], "{name}");
    }
    for (name, answer) in answers {
        assert_eq!(peers::read_answer(&frames[name]).expect(name), answer);
        let written = peers::write_answer(answer).expect(name);
        assert_eq!(written, frames[name], "{name}");
    }
}

fn same<T: serde::Serialize + serde::de::DeserializeOwned>(key: &str, value: &Value) {
    let record: T = serde_json::from_value(value.clone()).expect(key);
    let again = serde_json::to_value(&record).expect(key);
    assert_eq!(again, *value, "{key}");
}

#[test]
fn records_are_those_of_the_version_before() {
    let mut book = Book::default();
    let mut records = 0;
    for line in DATA.lines().filter_map(|line| line.strip_prefix("RECORD ")) {
        let (key, text) = line.split_once(' ').expect("key and value");
        let value: Value = serde_json::from_str(text).expect("JSON");
        records += 1;
        match key.split('/').next().expect("a kind") {
            "spec" => same::<JobSpec>(key, &value),
            "run" => same::<RunRecord>(key, &value),
            "fate" => same::<FateRecord>(key, &value),
            "drain" => same::<u32>(key, &value),
            "seat" => same::<SeatRecord>(key, &value),
            "block" => same::<BlockRecord>(key, &value),
            "machine" => same::<RentalRecord>(key, &value),
            "rent" => same::<RentRecord>(key, &value),
            "node" => same::<NodeRecord>(key, &value),
            "leader" => same::<LeaderRecord>(key, &value),
            "catalog" => same::<CatalogRecord>(key, &value),
            other => panic!("{other}"),
        }
        book.set(key, value, Revision(records));
    }
    assert_eq!(records, 11);
    let job = &book.jobs[&JobId::new("job-000412")];
    assert_eq!((job.placed, job.done, job.waiting()), (1, 2, 13));
    assert!(book.catalog.is_some() && book.leader.is_some() && book.format.is_none());
    assert_eq!((book.blocks.len(), book.rentals.len()), (1, 1));
    assert!(book.fate(&JobId::new("job-000411")).is_some());
}
