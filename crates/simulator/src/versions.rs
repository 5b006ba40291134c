//! Versions of the program that serve side by side while an upgrade rolls.

use stallcove::coordination::{Tuning, clients::ProtocolVersion};

/// What a controller of the simulated cluster plays. An earlier version is played by this
/// one, which tells the protocol version of the earlier one and keeps to what that one knew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    /// Says nothing of what it reads, closes connections on frames that it can't read, and
    /// knows nothing of formats and limits to come.
    BeforeGangs,
    /// Runs gangs, and keeps to limits to come.
    Gangs,
    /// Knows nothing of quota transfers.
    BeforeTransfers,
    /// This version.
    #[default]
    Current,
}

impl Version {
    /// The version that a scenario names.
    pub fn named(name: &str) -> Self {
        match name {
            "before-gangs" => Version::BeforeGangs,
            "gangs" => Version::Gangs,
            "before-transfers" => Version::BeforeTransfers,
            other => panic!("unknown version {other}"),
        }
    }

    /// What a controller of this version can read and write.
    pub fn protocol_version(self, tuning: &Tuning) -> ProtocolVersion {
        match self {
            Version::BeforeGangs => ProtocolVersion::default(),
            Version::Gangs => ProtocolVersion::GANGS,
            Version::BeforeTransfers => ProtocolVersion::CURRENT,
            Version::Current => tuning.protocol_version(),
        }
    }

    /// The settings that this version knows of.
    pub fn tuning(self, tuning: &Tuning) -> Tuning {
        Tuning {
            quota_transfers: tuning.quota_transfers && self == Version::Current,
            ..tuning.clone()
        }
    }
}
