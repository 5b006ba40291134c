//! Amounts of quota in frames.

use std::collections::BTreeMap;

use rkyv::{Archive, Deserialize, Serialize};

use crate::storage::{Quota, TeamName};

/// An amount of a team's limit.
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct TeamQuotaFrame {
    team: String,
    cpus: f64,
    gpus: f64,
}

/// Amounts as they are sent, in the order of the teams.
pub(super) fn quotas_to_frames(quotas: BTreeMap<TeamName, Quota>) -> Vec<TeamQuotaFrame> {
    let frames = quotas.into_iter().map(|(team, quota)| TeamQuotaFrame {
        team: team.to_string(),
        cpus: quota.cpus,
        gpus: quota.gpus,
    });
    frames.collect()
}

/// Amounts as they were sent.
pub(super) fn quotas_from_frames(frames: Vec<TeamQuotaFrame>) -> BTreeMap<TeamName, Quota> {
    let quotas = frames.into_iter().map(|frame| {
        let quota = Quota {
            cpus: frame.cpus,
            gpus: frame.gpus,
        };
        (TeamName::new(frame.team), quota)
    });
    quotas.collect()
}
