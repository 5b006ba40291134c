//! Simulated users: they submit, poll and cancel jobs, and retry requests without an answer.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use stallcove::storage::{JobId, JobKind, JobSpec, Priority};

use crate::{
    rules::{Event, UserAnswer},
    simulation::Simulation,
    user_choices::{UserAction, UserChoices},
};

/// How long a user waits for the answer to a submission or a cancellation.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a user waits for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts to submit a job that is neither accepted nor refused permanently.
const MAX_SUBMISSIONS: usize = 30;
/// Maximum number of attempts to cancel a job.
const MAX_CANCEL_REQUESTS: usize = 60;

/// Returns the JSON that users submit for a job.
pub fn write_job(id: &JobId, spec: &JobSpec) -> Value {
    json!({
        "uid": id.as_str(), "herd": spec.class.as_str(), "stable": spec.team.as_str(),
        "gait": match spec.kind { JobKind::Array => "sweep", JobKind::Gang => "group",
            JobKind::Service => "daemon" },
        "rank": match spec.priority { Priority::Production => "prod", Priority::Urgent => "urgent",
            Priority::Normal => "normal", Priority::BestEffort => "best_effort" },
        "strides": spec.tasks, "cpus": spec.per_task.cpus, "gpus": spec.per_task.gpus,
        "ram_gb": spec.per_task.memory, "tack": spec.image.as_str(), "pull_gb": spec.image_gb,
        "breeds": spec.types.as_ref().map(|types| types.iter().map(|t| t.as_str().to_owned())
            .collect::<Vec<_>>()),
        "paddock": spec.zone.as_ref().map(stallcove::storage::ZoneName::as_str),
        "same_place": spec.one_zone, "spread": spec.spread, "loaners": spec.spot,
        "ride_s": spec.estimate.as_secs_f64(), "rest_s": spec.checkpoint.as_secs_f64(),
        "saddle_s": spec.save.as_secs_f64(),
        "post_s": spec.deadline.map(|deadline| deadline.as_secs_f64()),
    })
}

/// Sends a request through the load balancer. Returns `None` if all controllers are down, or if
/// one does not answer within `timeout`.
async fn send_request(
    simulation: &Arc<Simulation>,
    choices: &mut UserChoices,
    method: &str,
    path: &str,
    body: String,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let names = simulation.controller_names();
    let tags = ["users".to_owned()];
    let first = choices.first_controller(names.len());
    // The load balancer tries the next controller if one refuses the connection.
    for n in 0..names.len() {
        let name = &names[(first + n) % names.len()];
        let call = simulation.to_controller(&tags, name, method, path, body.clone());
        match tokio::time::timeout(timeout, call).await {
            Ok(Some((status, text))) => {
                return Some((status, serde_json::from_str(&text).unwrap_or(Value::Null)));
            }
            Ok(None) => continue,
            Err(_) => return None,
        }
    }
    None
}

/// Records an answer to a user, and starts a burst of polls if that fault is active and the
/// answer reports a significant change.
fn record_answer(simulation: &Arc<Simulation>, request: SentRequest<'_>, answer: (u16, &Value)) {
    let (status, body) = answer;
    let job = request.job;
    let state = body["stance"].as_str().map(str::to_owned);
    if let Some(state) = &state {
        let mut reported = simulation
            .reported_states
            .lock()
            .expect("reported states lock");
        let before = reported.insert(job.clone(), state.clone());
        if simulation.faults.polls_in_bursts() && is_significant_change(before.as_deref(), state) {
            simulation.poll_in_burst(job);
        }
    }
    simulation.record(Event::UserAnswered(UserAnswer {
        requested_at: request.requested_at,
        job: job.clone(),
        status,
        state,
        is_submission: request.is_submission,
    }));
}

/// A sent request about a job.
#[derive(Clone, Copy)]
struct SentRequest<'a> {
    job: &'a JobId,
    /// When it was sent, since the start of the scenario.
    requested_at: Duration,
    is_submission: bool,
}

/// Whether the reported state shows for the first time that the job was accepted, is done or was
/// cancelled.
fn is_significant_change(before: Option<&str>, now: &str) -> bool {
    before.is_none() || (before != Some(now) && matches!(now, "done" | "cancelled"))
}

/// Polls the job's state at one controller.
pub async fn poll(simulation: &Arc<Simulation>, name: &str, job: &JobId) {
    let tags = ["users".to_owned()];
    let path = format!("/api/jobs/{job}");
    let requested_at = simulation.elapsed();
    let call = simulation.to_controller(&tags, name, "GET", &path, String::new());
    if let Ok(Some((status, text))) = tokio::time::timeout(POLL_TIMEOUT, call).await {
        let answer: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        record_answer(
            simulation,
            SentRequest {
                job,
                requested_at,
                is_submission: false,
            },
            (status, &answer),
        );
    }
}

/// Sends the submission again, without retries.
pub async fn submit_once(simulation: &Arc<Simulation>, job: &JobId, spec: &JobSpec) {
    let body = write_job(job, spec).to_string();
    let requested_at = simulation.elapsed();
    let at_ms = requested_at.as_millis();
    let mut choices = UserChoices::new(UserAction::SubmitAgain { at_ms }, job);
    let answer = send_request(
        simulation,
        &mut choices,
        "POST",
        "/api/jobs",
        body,
        SUBMISSION_TIMEOUT,
    )
    .await;
    if let Some((status, answer)) = answer {
        record_answer(
            simulation,
            SentRequest {
                job,
                requested_at,
                is_submission: true,
            },
            (status, &answer),
        );
    }
}

/// Submits a job until it is accepted or refused permanently, then polls it until the end of the
/// scenario. A job without either answer is polled as well, since it may have been accepted, for
/// example by a later retry.
pub async fn submit(simulation: Arc<Simulation>, job: JobId, spec: JobSpec, fails: bool) {
    simulation.register_job(&job, spec.clone(), fails);
    let mut choices = UserChoices::new(UserAction::Submit, &job);
    if submit_until_answered(&simulation, &mut choices, &job, &spec).await == Some(false) {
        return;
    }
    loop {
        tokio::time::sleep(simulation.faults.poll_interval()).await;
        let path = format!("/api/jobs/{job}");
        let requested_at = simulation.elapsed();
        if let Some((status, answer)) = send_request(
            &simulation,
            &mut choices,
            "GET",
            &path,
            String::new(),
            POLL_TIMEOUT,
        )
        .await
        {
            record_answer(
                &simulation,
                SentRequest {
                    job: &job,
                    requested_at,
                    is_submission: false,
                },
                (status, &answer),
            );
        }
    }
}

/// Submits a known job again, until it is accepted or refused permanently.
pub async fn resubmit(simulation: Arc<Simulation>, job: JobId, spec: JobSpec) {
    let at_ms = simulation.elapsed().as_millis();
    let mut choices = UserChoices::new(UserAction::SubmitAgain { at_ms }, &job);
    submit_until_answered(&simulation, &mut choices, &job, &spec).await;
}

/// Retries a submission. Returns true if it was accepted, false if it was refused permanently and
/// `None` if all attempts ended without either answer.
async fn submit_until_answered(
    simulation: &Arc<Simulation>,
    choices: &mut UserChoices,
    job: &JobId,
    spec: &JobSpec,
) -> Option<bool> {
    let body = write_job(job, spec).to_string();
    for _ in 0..MAX_SUBMISSIONS {
        let requested_at = simulation.elapsed();
        if let Some((status, answer)) = send_request(
            simulation,
            choices,
            "POST",
            "/api/jobs",
            body.clone(),
            SUBMISSION_TIMEOUT,
        )
        .await
        {
            simulation
                .submission_statuses
                .lock()
                .expect("submission statuses lock")
                .insert(job.clone(), status);
            record_answer(
                simulation,
                SentRequest {
                    job,
                    requested_at,
                    is_submission: true,
                },
                (status, &answer),
            );
            match status {
                200 | 201 => return Some(true),
                400 | 422 => return Some(false),
                _ => {}
            }
        }
        tokio::time::sleep(choices.retry_pause()).await;
    }
    None
}

/// Requests the cancellation of the job until a controller confirms it, or the attempts are used
/// up.
pub async fn cancel(simulation: Arc<Simulation>, job: JobId) {
    simulation.record(Event::CancelRequested(job.clone()));
    let mut choices = UserChoices::new(UserAction::Cancel, &job);
    for _ in 0..MAX_CANCEL_REQUESTS {
        let path = format!("/api/jobs/{job}/abort");
        let requested_at = simulation.elapsed();
        if let Some((status, answer)) = send_request(
            &simulation,
            &mut choices,
            "POST",
            &path,
            String::new(),
            SUBMISSION_TIMEOUT,
        )
        .await
        {
            record_answer(
                &simulation,
                SentRequest {
                    job: &job,
                    requested_at,
                    is_submission: false,
                },
                (status, &answer),
            );
            if status == 200 {
                return;
            }
        }
        tokio::time::sleep(choices.retry_pause()).await;
    }
}

/// Mandatory fields of a submission.
const REQUIRED_FIELDS: [&str; 17] = [
    "uid",
    "herd",
    "stable",
    "gait",
    "rank",
    "strides",
    "cpus",
    "gpus",
    "ram_gb",
    "tack",
    "pull_gb",
    "same_place",
    "spread",
    "loaners",
    "ride_s",
    "rest_s",
    "saddle_s",
];

/// Returns fields with invalid values, and the HTTP status with which each must be refused.
fn invalid_fields() -> [(&'static str, Value, u16); 9] {
    [
        ("stable", json!("nobody"), 422),
        ("cpus", json!(90_000.0), 422),
        ("ram_gb", json!(90_000.0), 422),
        ("breeds", json!([]), 422),
        ("breeds", json!(["nothing"]), 422),
        ("paddock", json!("nowhere"), 422),
        ("loaners", Value::Null, 400),
        ("strides", json!(0), 400),
        ("cpus", json!(-1.0), 400),
    ]
}

/// An invalid submission, which must be refused.
struct InvalidSubmission {
    /// What is invalid in it.
    what: String,
    /// The HTTP status of the expected answer.
    expected: u16,
    body: Value,
}

impl InvalidSubmission {
    fn new(what: impl Into<String>, expected: u16, body: Value) -> Self {
        Self {
            what: what.into(),
            expected,
            body,
        }
    }
}

/// Derives invalid submissions from a valid one.
fn invalid_submissions(valid: &Value) -> Vec<InvalidSubmission> {
    let mut invalid = Vec::new();
    for field in REQUIRED_FIELDS {
        let mut body = valid.clone();
        let fields = body.as_object_mut().expect("a submission is an object");
        if fields.remove(field).is_some() {
            let what = format!("a job without {field}");
            invalid.push(InvalidSubmission::new(what, 400, body));
        }
    }
    for (field, value, status) in invalid_fields() {
        let mut body = valid.clone();
        let what = format!("a job with {field} {value}");
        body[field] = value;
        invalid.push(InvalidSubmission::new(what, status, body));
    }
    // A single task would fit, but a gang or service needs capacity for all tasks at once.
    for kind in ["group", "daemon"] {
        let mut body = valid.clone();
        body["gait"] = json!(kind);
        body["strides"] = json!(50_000);
        let what = format!("a {kind} beyond the team's limit");
        invalid.push(InvalidSubmission::new(what, 422, body));
    }
    let mut empty = valid.clone();
    empty["gait"] = json!("group");
    empty["strides"] = json!(0);
    invalid.push(InvalidSubmission::new("a gang without tasks", 400, empty));
    invalid
}

/// Sends submissions that lack a field, have an invalid one or can never run.
pub async fn send_invalid(simulation: Arc<Simulation>, spec: JobSpec) {
    let first = JobId::new("job-990000");
    let mut choices = UserChoices::new(UserAction::SendInvalid, &first);
    let valid = write_job(&first, &spec);
    for (n, mut invalid) in invalid_submissions(&valid).into_iter().enumerate() {
        if invalid.body.get("uid").is_some() {
            invalid.body["uid"] = json!(format!("job-99{n:04}"));
        }
        let text = invalid.body.to_string();
        let answer = send_request(
            &simulation,
            &mut choices,
            "POST",
            "/api/jobs",
            text,
            SUBMISSION_TIMEOUT,
        )
        .await;
        if let Some((status, _)) = answer {
            simulation.record(Event::InvalidSubmissionAnswered {
                what: invalid.what,
                expected: invalid.expected,
                status,
            });
        }
    }
}
