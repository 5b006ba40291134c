//! Checks of the teams' limits and guarantees. The mistakes found are only warnings: a process
//! can run with them.

use std::collections::BTreeSet;

use super::{ClusterSettings, SettingsWarning, TeamSettings};

/// Size of a controller's record of quota allocations without its teams, in bytes.
const RECORD_BASE_BYTES: usize = 64;
/// Size of a team in that record without its name, in bytes: two numbers of up to 20 digits
/// and their labels.
const TEAM_BASE_BYTES: usize = 56;

/// Returns a warning for each team whose guarantee exceeds its limit, for each repeated team
/// name, and if there are more teams than a record of quota allocations can hold.
pub(super) fn warnings(settings: &ClusterSettings, value_bytes: usize) -> Vec<SettingsWarning> {
    let teams = &settings.teams;
    let mut warnings: Vec<SettingsWarning> =
        teams.iter().flat_map(guarantees_above_limits).collect();
    warnings.extend(duplicate_teams(teams));
    let record_bytes: usize = RECORD_BASE_BYTES + teams.iter().map(allocation_bytes).sum::<usize>();
    if record_bytes > value_bytes {
        warnings.push(SettingsWarning::TooManyTeams {
            record_bytes,
            value_bytes,
        });
    }
    warnings
}

fn allocation_bytes(team: &TeamSettings) -> usize {
    team.name.len() + TEAM_BASE_BYTES
}

fn duplicate_teams(teams: &[TeamSettings]) -> impl Iterator<Item = SettingsWarning> {
    let mut names = BTreeSet::new();
    teams
        .iter()
        .filter(move |team| !names.insert(&team.name))
        .map(|team| SettingsWarning::DuplicateTeam(team.name.clone()))
}

/// Returns a warning for each resource whose guarantee exceeds its limit. A limit of zero means
/// that there is no limit.
fn guarantees_above_limits(team: &TeamSettings) -> Vec<SettingsWarning> {
    let resources = [
        ("cpus", team.cpus, team.cpus_max),
        ("gpus", team.gpus, team.gpus_max),
    ];
    let is_above = |limit: f64, guaranteed: f64| limit > 0.0 && guaranteed > limit;
    resources
        .into_iter()
        .filter(|(_, guaranteed, limit)| is_above(*limit, *guaranteed))
        .map(
            |(resource, guaranteed, limit)| SettingsWarning::GuaranteeAboveLimit {
                team: team.name.clone(),
                resource,
                guaranteed,
                limit,
            },
        )
        .collect()
}
