//! Tests of `protocol::peers`.

use super::*;

/// Guards against a holder of all machines whose status is too long to be sent:
/// its machines would count as lost.
#[test]
fn a_status_of_thousands_of_machines_fits_a_frame() {
    let names = |n: u64| (format!("vm-{n:09}"), format!("10.200.100.{n}:9000"));
    let images = Arc::new(
        (0..18)
            .map(|n| ImageName::new(format!("img-{n:04}")))
            .collect::<Vec<_>>(),
    );
    let held = (0..8192).map(|n| HeldMachine {
        machine: MachineId::new(names(n).0),
        silent: Duration::from_secs(1),
        unreachable: false,
        suspect: false,
        leaving: false,
        deaf: false,
        address: Some(names(n).1),
        session: Session(1),
        sequence: n,
        images: images.clone(),
        speed: 1.0,
        freed: Resources::default(),
    });
    let sightings = (0..8192).map(|n| Sighting {
        machine: MachineId::new(names(n).0),
        kind: TypeName::new("a-machine-type"),
        zone: ZoneName::new("a-zone-of-some-region"),
        spot: true,
        session: Session(1),
        sequence: n,
        age: Duration::from_secs(1),
    });
    let status = Status {
        node: NodeName::new("n-0"),
        incarnation: Incarnation(1),
        dialect: Dialect::OURS,
        seen: Revision(1),
        state_reachable: true,
        full: true,
        held: held.collect(),
        sightings: sightings.collect(),
        failing: Vec::new(),
    };
    let frame = write_call(PeerCall::Status(status.clone())).expect("plain data");
    assert!(frame.len() < FRAME_LIMIT, "{}", frame.len());
    assert_eq!(read_call(&frame).expect("ours"), PeerCall::Status(status));
}

#[test]
fn messages_read_back_and_garbage_does_not() {
    let call = PeerCall::Offers(vec![Offer {
        job: JobId::new("job-000001"),
        tasks: vec![3, 4],
    }]);
    let frame = write_call(call.clone()).expect("plain data");
    assert_eq!(read_call(&frame).expect("ours"), call);
    assert!(read_call(&[]).is_err());
    assert!(read_call(&[0xff; 64]).is_err());
    assert!(read_call(&frame[..frame.len() / 2]).is_err());
}

#[test]
fn messages_about_quota_read_back() {
    let quotas = BTreeMap::from([(
        TeamName::new("team"),
        Quota {
            cpus: 1.5,
            gpus: 2.0,
        },
    )]);
    let request = PeerCall::RequestQuota(QuotaRequest {
        recipient: NodeName::new("n-1"),
        process: 7,
        number: 3,
        wanted: quotas.clone(),
    });
    let targets = PeerCall::SetQuotaTargets(QuotaTargets {
        leader: Revision(12),
        budgets: quotas.clone(),
    });
    for call in [request, targets] {
        let frame = write_call(call.clone()).expect("plain data");
        assert_eq!(read_call(&frame).expect("ours"), call);
    }
    let refused = Refusal::ALL.map(QuotaAnswer::Refused);
    let others = [QuotaAnswer::Granted(quotas), QuotaAnswer::Undecided];
    for answer in refused.into_iter().chain(others) {
        let answer = PeerAnswer::Quota(answer);
        let frame = write_answer(answer.clone()).expect("plain data");
        assert_eq!(read_answer(&frame).expect("ours"), answer);
    }
}
