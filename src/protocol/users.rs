//! Users' messages.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::jobs::{JobState, JobStatus},
    protocol::seconds,
    storage::{
        ClassName, ImageName, JobId, JobKind, JobSpec, Priority, Resources, TeamName, TypeName,
        ZoneName,
    },
};

#[derive(Debug, Deserialize)]
struct Job {
    uid: String,
    herd: String,
    stable: String,
    gait: String,
    rank: String,
    strides: u64,
    cpus: f64,
    gpus: f64,
    ram_gb: f64,
    tack: String,
    pull_gb: f64,
    #[serde(default)]
    breeds: Option<Vec<String>>,
    #[serde(default)]
    paddock: Option<String>,
    // Not among the fields that may be null, so that a job without them is malformed.
    same_place: bool,
    spread: bool,
    loaners: bool,
    ride_s: f64,
    rest_s: f64,
    saddle_s: f64,
    #[serde(default)]
    post_s: Option<f64>,
}

/// Names are short words; longer ones are somebody's mistake.
const NAME_LIMIT: usize = 128;
/// Machine types that a job may name.
const TYPES_LIMIT: usize = 32;
/// No machine has more of anything.
const AMOUNT_LIMIT: f64 = 1e6;
pub const TASKS_LIMIT: u64 = 100_000;

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

fn name(field: &str, value: &str) -> Result<(), Malformed> {
    if value.is_empty() || value.len() > NAME_LIMIT {
        return Err(Malformed(format!("{field} must be a name")));
    }
    Ok(())
}

fn amount(field: &str, value: f64) -> Result<f64, Malformed> {
    if (0.0..=AMOUNT_LIMIT).contains(&value) {
        Ok(value)
    } else {
        Err(Malformed(format!("{field} must be an amount")))
    }
}

fn span(field: &str, value: f64) -> Result<std::time::Duration, Malformed> {
    seconds(value).ok_or_else(|| Malformed(format!("{field} must be a duration in seconds")))
}

/// Reads a submission.
pub fn read_job(body: &[u8]) -> Result<(JobId, JobSpec), Malformed> {
    let job: Job = serde_json::from_slice(body).map_err(|error| Malformed(error.to_string()))?;
    let id = JobId::parse(&job.uid).ok_or_else(|| Malformed("uid must be job-DIGITS".into()))?;
    name("herd", &job.herd)?;
    name("stable", &job.stable)?;
    name("tack", &job.tack)?;
    let kind = match job.gait.as_str() {
        "sweep" => JobKind::Array,
        "group" => JobKind::Gang,
        "daemon" => JobKind::Service,
        _ => return Err(Malformed("gait must be sweep, group or daemon".into())),
    };
    let priority = match job.rank.as_str() {
        "prod" => Priority::Production,
        "urgent" => Priority::Urgent,
        "normal" => Priority::Normal,
        "best_effort" => Priority::BestEffort,
        _ => {
            return Err(Malformed(
                "rank must be prod, urgent, normal or best_effort".into(),
            ));
        }
    };
    if !(1..=TASKS_LIMIT).contains(&job.strides) {
        return Err(Malformed(format!("strides must be 1 to {TASKS_LIMIT}")));
    }
    let types = match job.breeds {
        None => None,
        Some(types) if types.len() > TYPES_LIMIT => {
            return Err(Malformed("breeds names too many types".into()));
        }
        Some(types) => {
            for kind in &types {
                name("breeds", kind)?;
            }
            Some(types.into_iter().map(TypeName::new).collect())
        }
    };
    if let Some(zone) = &job.paddock {
        name("paddock", zone)?;
    }
    let spec = JobSpec {
        class: ClassName::new(job.herd),
        team: TeamName::new(job.stable),
        kind,
        priority,
        tasks: job.strides as u32,
        per_task: Resources {
            cpus: amount("cpus", job.cpus)?,
            gpus: amount("gpus", job.gpus)?,
            memory: amount("ram_gb", job.ram_gb)?,
        },
        image: ImageName::new(job.tack),
        image_gb: amount("pull_gb", job.pull_gb)?,
        types,
        zone: job.paddock.map(ZoneName::new),
        one_zone: job.same_place,
        spread: job.spread,
        spot: job.loaners,
        estimate: span("ride_s", job.ride_s)?,
        checkpoint: span("rest_s", job.rest_s)?,
        save: span("saddle_s", job.saddle_s)?,
        deadline: job.post_s.map(|s| span("post_s", s)).transpose()?,
        accepted_ms: 0,
        assigned_zone: None,
    };
    Ok((id, spec))
}

#[derive(Debug, Serialize)]
pub struct Stance<'a> {
    pub uid: &'a str,
    pub stance: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

fn word(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    }
}

impl<'a> Stance<'a> {
    pub fn of(uid: &'a JobId, status: JobStatus) -> Self {
        Self {
            uid: uid.as_str(),
            stance: word(status.state),
            done: Some(status.done),
            running: Some(status.running),
        }
    }

    pub fn brief(uid: &'a JobId, state: JobState) -> Self {
        Self {
            uid: uid.as_str(),
            stance: word(state),
            done: None,
            running: None,
        }
    }
}

#[cfg(test)]
mod tests;
