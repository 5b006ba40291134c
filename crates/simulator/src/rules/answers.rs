//! Rules on answers to users: no answer is about a job that was never submitted, accepted jobs
//! stay known, and a reported final state is correct and stays.

use std::time::Duration;

use stallcove::storage::JobId;

use super::{JobHistory, ReportedState, Rules, UserAnswer, violations::Rule};

/// An accepted job counts as forgotten if no request about it is answered successfully for this
/// long, counted at the earliest from the end of all faults.
const MAX_UNANSWERED: Duration = Duration::from_secs(75);

/// A violation found in an answer.
type Finding = (Rule, String);

impl Rules {
    /// Checks the status of an answer to an invalid submission. A refusal because of overload (429
    /// or 503) is allowed as well.
    pub(super) fn check_invalid_submission(
        &mut self,
        at: Duration,
        what: &str,
        expected: u16,
        status: u16,
    ) {
        if status != expected && !matches!(status, 429 | 503) {
            let what = format!("{what} got {status}, not {expected}");
            self.report(at, Rule::WrongStatus, what);
        }
    }

    /// Checks an answer to a user against the history of the job.
    pub(super) fn check_answer(&mut self, at: Duration, answer: UserAnswer) {
        let id = answer.job.clone();
        let status = answer.status;
        let job = self.jobs.entry(id.clone()).or_default();
        let was_accepted_before = job
            .accepted_at
            .is_some_and(|accepted| accepted <= answer.requested_at);
        let findings = match status {
            200 | 201 => accept(job, &id, at, answer),
            404 if was_accepted_before => {
                vec![(Rule::Forgotten, format!("{id} got 404"))]
            }
            400 | 422 if answer.is_submission && job.accepted_at.is_some() => {
                vec![(Rule::Forgotten, format!("{id} got {status} on its retry"))]
            }
            _ => Vec::new(),
        };
        for (rule, what) in findings {
            self.report(at, rule, what);
        }
    }

    /// Reports accepted jobs that are no longer answered for although all faults are over.
    pub(super) fn find_forgotten(&mut self, at: Duration) {
        let Some(faults_ended_at) = self.faults_ended_at else {
            return;
        };
        let mut forgotten = Vec::new();
        for (id, job) in &mut self.jobs {
            let Some(accepted) = job.accepted_at else {
                continue;
            };
            let last_known_at = job
                .answered_at
                .unwrap_or_default()
                .max(accepted)
                .max(faults_ended_at);
            if at > last_known_at + MAX_UNANSWERED && !job.is_reported_forgotten {
                job.is_reported_forgotten = true;
                forgotten.push(id.clone());
            }
        }
        for id in forgotten {
            self.report(at, Rule::Forgotten, format!("nobody answers for {id}"));
        }
    }
}

/// Records an answer that confirms that the job is known; returns the violations found in it.
fn accept(job: &mut JobHistory, id: &JobId, at: Duration, answer: UserAnswer) -> Vec<Finding> {
    let mut findings = Vec::new();
    if job.spec.is_none() {
        let what = format!("{id} answered {}", answer.status);
        findings.push((Rule::Invented, what));
    }
    job.accepted_at.get_or_insert(at);
    job.answered_at = job.answered_at.max(Some(answer.requested_at));
    let state = answer.state.unwrap_or_default();
    if state == "done" {
        let tasks = job.spec.as_ref().map_or(0, |spec| spec.tasks);
        if (job.completed.len() as u32) < tasks {
            findings.push((Rule::NotDone, format!("{id} is reported done")));
        }
    }
    if state == "cancelled" && !job.cancel_requested {
        let what = format!("{id} was not cancelled by its user");
        findings.push((Rule::WentBack, what));
    }
    if let Some(before) = &job.final_state
        && before.at <= answer.requested_at
        && before.state != state
    {
        let what = format!("{id} was {}, now {state}", before.state);
        findings.push((Rule::WentBack, what));
    }
    if state == "cancelled" {
        job.reported_cancelled_at.get_or_insert(at);
    }
    if state == "done" || state == "cancelled" {
        job.final_state.get_or_insert(ReportedState { state, at });
    }
    findings
}
