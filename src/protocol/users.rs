//! Requests of users and their responses: job submissions and job statuses. The HTTP server
//! reads and writes them. Errors contain the fields' names on the wire, as users see only
//! these.

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

/// Path that accepts job submissions.
pub const JOBS_PATH: &str = "/api/jobs";
/// Route that returns a job's status.
pub const JOB_PATH: &str = "/api/jobs/{id}";
/// Route that cancels a job.
pub const CANCEL_PATH: &str = "/api/jobs/{id}/abort";

/// Maximum length of a name, in bytes. Names are short words; a longer one is a mistake of the
/// sender.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 32;
/// Maximum amount of a resource; no machine has more of any.
const MAX_AMOUNT: f64 = 1e6;
/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;

/// Body of a submission. Users see the type's name in the errors of serde, so it must not
/// change.
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
    // `same_place`, `spread` and `loaners` have no default: a submission without one of them
    // is malformed.
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
    /// The body is not JSON, or its fields or their types are wrong.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("{field} must be {expected}")]
    Field {
        /// The field's name on the wire.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The job has no tasks, or too many.
    #[error("strides must be 1 to {max}", max = MAX_TASKS)]
    TaskCount,
    /// The job lists too many machine types.
    #[error("breeds names too many types")]
    TooManyMachineTypes,
}

/// A well-formed submission.
#[derive(Debug)]
pub struct SubmittedJob {
    /// The id that the user chose.
    pub id: JobId,
    /// The job's description. Its time of acceptance is not set yet.
    pub spec: JobSpec,
}

/// Parses a job submission.
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
            // Fits: checked above to be at most `MAX_TASKS`.
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

/// State of a job in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStateMessage {
    /// The job is accepted; none of its tasks is placed now.
    Queued,
    /// Some of its tasks are placed.
    Running,
    /// All tasks are done.
    Done,
    /// The user has cancelled the job.
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

/// Response to a submission, a request for a job's status, or a cancellation.
#[derive(Debug, Serialize)]
pub struct JobStatusResponse<'a> {
    /// Id of the job.
    #[serde(rename = "uid")]
    pub id: &'a str,
    /// State of the job as a whole.
    #[serde(rename = "stance")]
    pub state: JobStateMessage,
    /// Number of tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks that are placed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl<'a> JobStatusResponse<'a> {
    /// Creates a response with the job's state and counts of tasks.
    pub fn with_counts(id: &'a JobId, status: JobStatus) -> Self {
        Self {
            id: id.as_str(),
            state: status.state.into(),
            done: Some(status.done),
            running: Some(status.running),
        }
    }

    /// Creates a response with the job's state only.
    pub fn state_only(id: &'a JobId, state: JobState) -> Self {
        Self {
            id: id.as_str(),
            state: state.into(),
            done: None,
            running: None,
        }
    }
}

/// Body of error responses to users and agents.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// Description of the error.
    pub error: &'a str,
}

#[cfg(test)]
mod tests;
