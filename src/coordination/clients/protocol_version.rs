//! What a controller's version can read and write.

/// What a controller can read of its peers, in steps: one that says nothing of it
/// reads the frames of the first version only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProtocolVersion(pub u64);

impl ProtocolVersion {
    /// Reads [`PeerRequest::CancelledSince`](super::PeerRequest::CancelledSince), and answers what it cannot read.
    pub const CANCELLATIONS: ProtocolVersion = ProtocolVersion(1);
    /// Runs gangs by their common attempt, and keeps within the limits to come.
    pub const GANGS: ProtocolVersion = ProtocolVersion(2);
    /// Places zone-bound jobs of any number of records, some by the zone in their spec.
    pub const LARGE_ZONE_BOUND: ProtocolVersion = ProtocolVersion(3);
    /// What this version reads in any case.
    pub const CURRENT: ProtocolVersion = Self::LARGE_ZONE_BOUND;
    /// Transfers quota on request, and moves machines together with the quota for their
    /// tasks; said only if the operator has turned transfers on.
    pub const QUOTA_TRANSFERS: ProtocolVersion = ProtocolVersion(4);
}
