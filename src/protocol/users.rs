//! Messages of the users: job submissions and job statuses. The HTTP server reads and
//! writes them. Errors name the wire's fields, as users know no others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::jobs::{JobState, JobStatus},
    protocol::seconds,
    storage::{
        ClassName, ImageName, JobId, JobKind, JobSpec, Priority, Resources, TeamName, TypeName,
        ZoneName,
    },
};

/// Where jobs are submitted.
pub const JOBS_PATH: &str = "/api/jobs";
/// Where a job's status is, as a route.
pub const JOB_PATH: &str = "/api/jobs/{id}";
/// Where a job is cancelled, as a route.
pub const CANCEL_PATH: &str = "/api/jobs/{id}/abort";

/// Longest name, in bytes. Names are short words; longer ones are somebody's mistake.
const MAX_NAME_BYTES: usize = 128;
/// Machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 32;
/// No machine has more of anything.
const MAX_AMOUNT: f64 = 1e6;
/// Tasks that a job may have.
pub const MAX_TASKS: u64 = 100_000;

/// Body of a submission. Errors that users see name the type.
#[derive(Debug, Deserialize)]
struct Job {
    #[serde(rename = "uid")]
    id: String,
    #[serde(rename = "herd")]
    class: String,
    #[serde(rename = "stable")]
    team: String,
    #[serde(rename = "gait")]
    kind: String,
    #[serde(rename = "rank")]
    priority: String,
    #[serde(rename = "strides")]
    tasks: u64,
    cpus: f64,
    gpus: f64,
    ram_gb: f64,
    #[serde(rename = "tack")]
    image: String,
    #[serde(rename = "pull_gb")]
    image_gb: f64,
    #[serde(default, rename = "breeds")]
    machine_types: Option<Vec<String>>,
    #[serde(default, rename = "paddock")]
    zone: Option<String>,
    // Not among the fields that may be null, so that a job without them is malformed.
    #[serde(rename = "same_place")]
    one_zone: bool,
    spread: bool,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "ride_s")]
    estimate_seconds: f64,
    #[serde(rename = "rest_s")]
    checkpoint_seconds: f64,
    #[serde(rename = "saddle_s")]
    save_seconds: f64,
    #[serde(default, rename = "post_s")]
    deadline_seconds: Option<f64>,
}

/// Why a job submission is malformed. The texts are shown to users.
#[derive(Debug, thiserror::Error)]
pub enum JobSubmissionError {
    /// Not JSON, or not of the fields and types expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field's value is not what it must be.
    #[error("{field} must be {expected}")]
    Field {
        /// The field's name on the wire.
        field: &'static str,
        /// What its value must be.
        expected: &'static str,
    },
    /// No tasks, or too many.
    #[error("strides must be 1 to {max}", max = MAX_TASKS)]
    TaskCount,
    /// More machine types than a job may name.
    #[error("breeds names too many types")]
    TooManyMachineTypes,
}

/// A well-formed submission.
#[derive(Debug)]
pub struct SubmittedJob {
    /// The id that the user chose.
    pub id: JobId,
    /// What is to run. Its time of acceptance is not set yet.
    pub spec: JobSpec,
}

/// Reads a job submission.
pub fn parse_submission(body: &[u8]) -> Result<SubmittedJob, JobSubmissionError> {
    serde_json::from_slice::<Job>(body)?.try_into()
}

impl TryFrom<Job> for SubmittedJob {
    type Error = JobSubmissionError;

    fn try_from(job: Job) -> Result<Self, JobSubmissionError> {
        let id = JobId::parse(&job.id).ok_or(JobSubmissionError::Field {
            field: "uid",
            expected: "job-DIGITS",
        })?;
        check_name("herd", &job.class)?;
        check_name("stable", &job.team)?;
        check_name("tack", &job.image)?;
        let kind = job_kind(&job.kind)?;
        let priority = priority(&job.priority)?;
        if !(1..=MAX_TASKS).contains(&job.tasks) {
            return Err(JobSubmissionError::TaskCount);
        }
        let types = job.machine_types.map(machine_types).transpose()?;
        if let Some(zone) = &job.zone {
            check_name("paddock", zone)?;
        }
        let spec = JobSpec {
            class: ClassName::new(job.class),
            team: TeamName::new(job.team),
            kind,
            priority,
            // At most `MAX_TASKS`.
            tasks: job.tasks as u32,
            per_task: Resources {
                cpus: amount("cpus", job.cpus)?,
                gpus: amount("gpus", job.gpus)?,
                memory: amount("ram_gb", job.ram_gb)?,
            },
            image: ImageName::new(job.image),
            image_gb: amount("pull_gb", job.image_gb)?,
            types,
            zone: job.zone.map(ZoneName::new),
            one_zone: job.one_zone,
            spread: job.spread,
            spot: job.spot,
            estimate: duration("ride_s", job.estimate_seconds)?,
            checkpoint: duration("rest_s", job.checkpoint_seconds)?,
            save: duration("saddle_s", job.save_seconds)?,
            deadline: job
                .deadline_seconds
                .map(|value| duration("post_s", value))
                .transpose()?,
            accepted_ms: 0,
            assigned_zone: None,
        };
        Ok(SubmittedJob { id, spec })
    }
}

fn check_name(field: &'static str, value: &str) -> Result<(), JobSubmissionError> {
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        return Err(JobSubmissionError::Field {
            field,
            expected: "a name",
        });
    }
    Ok(())
}

fn amount(field: &'static str, value: f64) -> Result<f64, JobSubmissionError> {
    if !(0.0..=MAX_AMOUNT).contains(&value) {
        return Err(JobSubmissionError::Field {
            field,
            expected: "an amount",
        });
    }
    Ok(value)
}

fn duration(field: &'static str, value: f64) -> Result<Duration, JobSubmissionError> {
    seconds(value).ok_or(JobSubmissionError::Field {
        field,
        expected: "a duration in seconds",
    })
}

fn job_kind(word: &str) -> Result<JobKind, JobSubmissionError> {
    match word {
        "sweep" => Ok(JobKind::Array),
        "group" => Ok(JobKind::Gang),
        "daemon" => Ok(JobKind::Service),
        _ => Err(JobSubmissionError::Field {
            field: "gait",
            expected: "sweep, group or daemon",
        }),
    }
}

fn priority(word: &str) -> Result<Priority, JobSubmissionError> {
    match word {
        "prod" => Ok(Priority::Production),
        "urgent" => Ok(Priority::Urgent),
        "normal" => Ok(Priority::Normal),
        "best_effort" => Ok(Priority::BestEffort),
        _ => Err(JobSubmissionError::Field {
            field: "rank",
            expected: "prod, urgent, normal or best_effort",
        }),
    }
}

fn machine_types(names: Vec<String>) -> Result<Vec<TypeName>, JobSubmissionError> {
    if names.len() > MAX_MACHINE_TYPES {
        return Err(JobSubmissionError::TooManyMachineTypes);
    }
    for name in &names {
        check_name("breeds", name)?;
    }
    Ok(names.into_iter().map(TypeName::new).collect())
}

/// State of a job in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStateMessage {
    /// Accepted; no task runs.
    Queued,
    /// A task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

impl From<JobState> for JobStateMessage {
    fn from(state: JobState) -> Self {
        match state {
            JobState::Queued => Self::Queued,
            JobState::Running => Self::Running,
            JobState::Done => Self::Done,
            JobState::Cancelled => Self::Cancelled,
        }
    }
}

/// Answer to a submission, a question for a job's status, or a cancellation.
#[derive(Debug, Serialize)]
pub struct JobStatusResponse<'a> {
    /// Id of the job.
    #[serde(rename = "uid")]
    pub id: &'a str,
    /// State of the job as a whole.
    #[serde(rename = "stance")]
    pub state: JobStateMessage,
    /// Tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl<'a> JobStatusResponse<'a> {
    /// An answer with the job's counts of tasks.
    pub fn with_counts(id: &'a JobId, status: JobStatus) -> Self {
        Self {
            id: id.as_str(),
            state: status.state.into(),
            done: Some(status.done),
            running: Some(status.running),
        }
    }

    /// An answer with the job's state alone.
    pub fn state_only(id: &'a JobId, state: JobState) -> Self {
        Self {
            id: id.as_str(),
            state: state.into(),
            done: None,
            running: None,
        }
    }
}

/// Body of the answers that refuse a request of a user or an agent.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// What is wrong.
    pub error: &'a str,
}

#[cfg(test)]
mod tests;
