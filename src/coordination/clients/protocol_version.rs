//! Versions of the protocol between controllers.

/// Version of the protocol that a controller supports; each version includes the earlier ones. A
/// controller that announces none has the default version, 0, and reads only the frames of the
/// first version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProtocolVersion(pub u64);

impl ProtocolVersion {
    /// Serves [`PeerRequest::CancelledSince`](super::PeerRequest::CancelledSince), and responds to
    /// unknown requests with [`PeerResponse::Unknown`](super::PeerResponse::Unknown).
    pub const CANCELLATIONS: ProtocolVersion = ProtocolVersion(1);
    /// Runs gangs, whose tasks share one attempt, and supports the lower limits of the state
    /// service that are announced for later.
    pub const GANGS: ProtocolVersion = ProtocolVersion(2);
    /// Places zone-bound jobs with any number of run records, and confines jobs to the zone
    /// assigned in their spec.
    pub const LARGE_ZONE_BOUND: ProtocolVersion = ProtocolVersion(3);
    /// The version that this build supports whatever its settings.
    pub const CURRENT: ProtocolVersion = Self::LARGE_ZONE_BOUND;
    /// Transfers quota on request, and moves machines together with the quota for their tasks.
    /// Announced only if the operator has enabled quota transfers.
    pub const QUOTA_TRANSFERS: ProtocolVersion = ProtocolVersion(4);
}
