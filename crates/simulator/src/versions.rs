//! Versions of the program that run side by side during a rolling upgrade.

use stallcove::coordination::{Tuning, clients::ProtocolVersion};

/// Version of a simulated controller. All versions run the current code; an earlier version is
/// emulated by announcing its protocol version and limiting the settings to those it supports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    /// Announces no protocol version, closes connections on frames that it can't read, and
    /// knows neither newer formats nor announced size limits.
    BeforeGangs,
    /// Supports gangs and respects announced size limits.
    Gangs,
    /// Does not support quota transfers.
    BeforeTransfers,
    /// The current version.
    #[default]
    Current,
}

impl Version {
    /// Returns the version with this name in the scenario language.
    pub fn named(name: &str) -> Self {
        match name {
            "before-gangs" => Version::BeforeGangs,
            "gangs" => Version::Gangs,
            "before-transfers" => Version::BeforeTransfers,
            other => panic!("unknown version {other}"),
        }
    }

    /// Returns the protocol version that a controller of this version announces.
    pub fn protocol_version(self, tuning: &Tuning) -> ProtocolVersion {
        match self {
            Version::BeforeGangs => ProtocolVersion::default(),
            Version::Gangs => ProtocolVersion::GANGS,
            Version::BeforeTransfers => ProtocolVersion::CURRENT,
            Version::Current => tuning.protocol_version(),
        }
    }

    /// Returns the settings, limited to those that this version supports.
    pub fn tuning(self, tuning: &Tuning) -> Tuning {
        Tuning {
            quota_transfers: tuning.quota_transfers && self == Version::Current,
            ..tuning.clone()
        }
    }
}
