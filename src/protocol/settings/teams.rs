//! What can't be right about the teams' limits and guarantees, although a process can
//! serve with them.

use std::collections::BTreeSet;

use super::{ClusterSettings, SettingsWarning, TeamSettings};

/// Bytes of a controller's record of quota allocations, beside its teams.
const RECORD_BYTES: usize = 64;
/// ... for each team, beside its name: two numbers of up to 20 digits and their labels.
const TEAM_BYTES: usize = 56;

/// Names each team whose guarantee can't be met by its limit, or that stands twice, and
/// says if there are more teams than a record of quota allocations can hold.
pub(super) fn warnings(settings: &ClusterSettings, value_bytes: usize) -> Vec<SettingsWarning> {
    let teams = &settings.teams;
    let mut warnings: Vec<SettingsWarning> = teams.iter().flat_map(impossible_limits).collect();
    warnings.extend(duplicate_teams(teams));
    let record_bytes: usize = RECORD_BYTES + teams.iter().map(allocation_bytes).sum::<usize>();
    if record_bytes > value_bytes {
        warnings.push(SettingsWarning::TooManyTeams {
            record_bytes,
            value_bytes,
        });
    }
    warnings
}

fn allocation_bytes(team: &TeamSettings) -> usize {
    team.name.len() + TEAM_BYTES
}

fn duplicate_teams(teams: &[TeamSettings]) -> impl Iterator<Item = SettingsWarning> {
    let mut names = BTreeSet::new();
    teams
        .iter()
        .filter(move |team| !names.insert(&team.name))
        .map(|team| SettingsWarning::DuplicateTeam(team.name.clone()))
}

/// A limit of zero means that there is none.
fn impossible_limits(team: &TeamSettings) -> Vec<SettingsWarning> {
    let resources = [
        ("cpus", team.cpus, team.cpus_max),
        ("gpus", team.gpus, team.gpus_max),
    ];
    let is_impossible = |limit: f64, guaranteed: f64| limit > 0.0 && guaranteed > limit;
    resources
        .into_iter()
        .filter(|(_, guaranteed, limit)| is_impossible(*limit, *guaranteed))
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
