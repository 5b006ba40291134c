//! What can't be right about the teams' limits and guarantees, although a process can
//! serve with them.

use std::collections::BTreeSet;

use super::{ClusterSettings, TeamSettings};

/// Bytes of a controller's record of budgets, beside its teams.
const RECORD_BYTES: usize = 64;
/// ... for each team, beside its name: two numbers of up to 20 digits and their labels.
const TEAM_BYTES: usize = 56;

/// Names each team whose guarantee can't be met by its limit, or that stands twice, and
/// says if there are more teams than a record of budgets can hold.
pub(super) fn problems(settings: &ClusterSettings, value_bytes: usize) -> Vec<String> {
    let mut problems: Vec<String> = settings.teams.iter().flat_map(problems_of).collect();
    let mut names = BTreeSet::new();
    for team in &settings.teams {
        if !names.insert(&team.name) {
            problems.push(format!("settings.teams {}: stands twice", team.name));
        }
    }
    let bytes = |team: &TeamSettings| team.name.len() + TEAM_BYTES;
    let record: usize = RECORD_BYTES + settings.teams.iter().map(bytes).sum::<usize>();
    if record > value_bytes {
        problems.push(format!(
            "settings.teams: a record of all teams' budgets takes up to {record} bytes, above \
             the {value_bytes} of the state service's value_kb"
        ));
    }
    problems
}

/// A limit of zero means that there is none.
fn problems_of(team: &TeamSettings) -> Vec<String> {
    let kinds = [
        ("cpus", team.cpus, team.cpus_max),
        ("gpus", team.gpus, team.gpus_max),
    ];
    let is_impossible = |limit: f64, guaranteed: f64| limit > 0.0 && guaranteed > limit;
    kinds
        .into_iter()
        .filter(|(_, guaranteed, limit)| is_impossible(*limit, *guaranteed))
        .map(|(kind, guaranteed, limit)| {
            let name = &team.name;
            format!(
                "settings.teams {name}: {kind} guarantees {guaranteed}, above the limit {limit}"
            )
        })
        .collect()
}
