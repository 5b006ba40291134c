//! Frames of the teams' quota.

use std::collections::BTreeMap;

use rkyv::{Archive, Deserialize, Serialize};

use crate::storage::{Quota, TeamName};

/// Quota of one team.
#[derive(Archive, Serialize, Deserialize, Debug)]
pub(super) struct TeamQuotaFrame {
    team: String,
    cpus: f64,
    gpus: f64,
}

/// Converts quota to frames, ordered by team.
pub(super) fn quotas_to_frames(quotas: BTreeMap<TeamName, Quota>) -> Vec<TeamQuotaFrame> {
    let frames = quotas.into_iter().map(|(team, quota)| TeamQuotaFrame {
        team: team.to_string(),
        cpus: quota.cpus,
        gpus: quota.gpus,
    });
    frames.collect()
}

/// Converts frames to quota by team.
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
