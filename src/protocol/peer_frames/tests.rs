//! Tests of `protocol::peer_frames`.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ::quota::Refusal;

use super::*;
use crate::{
    coordination::clients::*,
    storage::{
        AgentEpoch, ControllerName, ImageName, Incarnation, JobId, MachineId, Quota, Resources,
        Revision, TeamName, TypeName, ZoneName,
    },
};

/// Guards against a status that exceeds the maximum frame size when one controller owns all
/// machines: it could not be sent, and the leader would treat these machines as lost.
#[test]
fn a_status_of_thousands_of_machines_fits_a_frame() {
    let id_and_address = |n: u64| (format!("vm-{n:09}"), format!("10.200.100.{n}:9000"));
    let images = Arc::new(
        (0..18)
            .map(|n| ImageName::new(format!("img-{n:04}")))
            .collect::<Vec<_>>(),
    );
    let owned = (0..8192).map(|n| OwnedMachine {
        machine: MachineId::new(id_and_address(n).0),
        since_heartbeat: Duration::from_secs(1),
        unreachable: false,
        quarantined: false,
        reclaim_announced: false,
        command_path_lost: false,
        address: Some(id_and_address(n).1),
        epoch: AgentEpoch(1),
        sequence: n,
        images: images.clone(),
        speed: 1.0,
        freed_resources: Resources::default(),
    });
    let indirect_heartbeats = (0..8192).map(|n| IndirectHeartbeat {
        machine: MachineId::new(id_and_address(n).0),
        machine_type: TypeName::new("a-machine-type"),
        zone: ZoneName::new("a-zone-of-some-region"),
        spot: true,
        epoch: AgentEpoch(1),
        sequence: n,
        age: Duration::from_secs(1),
    });
    let status = StatusMessage {
        controller: ControllerName::new("n-0"),
        incarnation: Incarnation(1),
        protocol_version: ProtocolVersion::CURRENT,
        highest_revision: Revision(1),
        state_service_reachable: true,
        has_lists: true,
        owned: owned.collect(),
        indirect_heartbeats: indirect_heartbeats.collect(),
        failing: Vec::new(),
    };
    let frame = encode_request(PeerRequest::Status(status.clone())).expect("encodable");
    assert!(frame.len() < MAX_FRAME_BYTES, "{}", frame.len());
    assert_eq!(
        decode_request(&frame).expect("valid frame"),
        PeerRequest::Status(status)
    );
}

#[test]
fn requests_round_trip_and_invalid_frames_are_rejected() {
    let request = PeerRequest::Offers(vec![Offer {
        job: JobId::new("job-000001"),
        tasks: vec![3, 4],
    }]);
    let frame = encode_request(request.clone()).expect("encodable");
    assert_eq!(decode_request(&frame).expect("valid frame"), request);
    assert!(decode_request(&[]).is_err());
    assert!(decode_request(&[0xff; 64]).is_err());
    assert!(decode_request(&frame[..frame.len() / 2]).is_err());
}

#[test]
fn quota_messages_round_trip() {
    let quotas = BTreeMap::from([(
        TeamName::new("team"),
        Quota {
            cpus: 1.5,
            gpus: 2.0,
        },
    )]);
    let request = PeerRequest::RequestQuota(QuotaRequest {
        recipient: ControllerName::new("n-1"),
        incarnation: 7,
        number: 3,
        wanted: quotas.clone(),
    });
    let targets = PeerRequest::SetQuotaTargets(QuotaTargets {
        leader: Revision(12),
        budgets: quotas.clone(),
    });
    for request in [request, targets] {
        let frame = encode_request(request.clone()).expect("encodable");
        assert_eq!(decode_request(&frame).expect("valid frame"), request);
    }
    let refused = Refusal::ALL.map(QuotaResponse::Refused);
    let others = [QuotaResponse::Granted(quotas), QuotaResponse::Undecided];
    for response in refused.into_iter().chain(others) {
        let response = PeerResponse::Quota(response);
        let frame = encode_response(response.clone()).expect("encodable");
        assert_eq!(decode_response(&frame).expect("valid frame"), response);
    }
}

fn hex(frame: &[u8]) -> String {
    frame.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Frames that earlier versions wrote, before requests and responses had separate modules.
const QUOTA_REQUEST: &str = concat!(
    "6f746865722d7465616d2d6f662d612d6c6f6e672d6e616d650000000000000099000000e0ffffff",
    "0000000000000c4000000000000000007465616dffffffff000000000000f83f0000000000000040",
    "05000000000000006e2d31ffffffffff07000000000000000300000000000000b0ffffff02000000",
    "000000000000000000000000000000000000000000000000",
);
const QUOTA_TARGETS: &str = concat!(
    "6f746865722d7465616d2d6f662d612d6c6f6e672d6e616d650000000000000099000000e0ffffff",
    "0000000000000c4000000000000000007465616dffffffff000000000000f83f0000000000000040",
    "06000000000000000c00000000000000c0ffffff0200000000000000000000000000000000000000",
    "000000000000000000000000000000000000000000000000",
);
const QUOTA_GRANTED: &str = concat!(
    "6f746865722d7465616d2d6f662d612d6c6f6e672d6e616d650000000000000099000000e0ffffff",
    "0000000000000c4000000000000000007465616dffffffff000000000000f83f0000000000000040",
    "05000000ccffffff0200000000000000000000000000000000000000000000000000000000000000",
    "000000000000000000000000000000000000000000000000",
);

/// Controllers of different versions transfer quota to each other during a rolling upgrade, so
/// the encoding must not change.
#[test]
fn quota_messages_keep_their_encoding() {
    let quota = |cpus: f64, gpus: f64| Quota { cpus, gpus };
    let quotas = BTreeMap::from([
        (TeamName::new("team"), quota(1.5, 2.0)),
        (TeamName::new("other-team-of-a-long-name"), quota(3.5, 0.0)),
    ]);
    let request = encode_request(PeerRequest::RequestQuota(QuotaRequest {
        recipient: ControllerName::new("n-1"),
        incarnation: 7,
        number: 3,
        wanted: quotas.clone(),
    }));
    assert_eq!(hex(&request.expect("encodable")), QUOTA_REQUEST);
    let targets = encode_request(PeerRequest::SetQuotaTargets(QuotaTargets {
        leader: Revision(12),
        budgets: quotas.clone(),
    }));
    assert_eq!(hex(&targets.expect("encodable")), QUOTA_TARGETS);
    let granted = encode_response(PeerResponse::Quota(QuotaResponse::Granted(quotas)));
    assert_eq!(hex(&granted.expect("encodable")), QUOTA_GRANTED);
}
