//! Rules on what users are told: no job is invented, forgotten, or reported in a final state
//! that does not hold.

use std::time::Duration;

use stallcove::storage::JobId;

use super::{JobHistory, ReportedState, Rules, UserAnswer, violations::Rule};

/// A job is forgotten if nobody answers for it for this long after all faults.
const MAX_UNANSWERED: Duration = Duration::from_secs(75);

/// What is wrong with an answer.
type Finding = (Rule, String);

impl Rules {
    /// A submission that must be refused with a status may also be refused for overload.
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

    /// Checks an answer to a user against what was seen and answered before.
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

    /// Accepted jobs that nobody answers for although all faults are over.
    pub(super) fn find_forgotten(&mut self, at: Duration) {
        let Some(faults_ended_at) = self.faults_ended_at else {
            return;
        };
        let mut forgotten = Vec::new();
        for (id, job) in &mut self.jobs {
            let Some(accepted) = job.accepted_at else {
                continue;
            };
            let known_at = job
                .answered_at
                .unwrap_or_default()
                .max(accepted)
                .max(faults_ended_at);
            if at > known_at + MAX_UNANSWERED && !job.is_reported_forgotten {
                job.is_reported_forgotten = true;
                forgotten.push(id.clone());
            }
        }
        for id in forgotten {
            self.report(at, Rule::Forgotten, format!("nobody answers for {id}"));
        }
    }
}

/// Takes in an answer that the job is known, with its state.
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
