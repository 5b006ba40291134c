//! Users' requests to submit, query and cancel jobs.
//!
//! Any controller serves these requests, by transactions on the job's spec and outcome: the
//! spec is written only if neither exists, and the outcome is written only once.

use std::{sync::Arc, time::Duration};

use crate::{
    coordination::{
        clients::ProtocolVersion, context::Context, policy::zone_constraint::ZoneScope,
    },
    storage::{
        CommitError, JobId, JobKind, JobOutcome, JobSpec, Quota, Revision, Transaction, keys,
        rate_limiter::RequestPriority, records::OutcomeRecord, state_cache::Job,
    },
};

/// Maximum number of attempts to commit a cancellation that conflicts with other changes.
const MAX_CANCEL_ATTEMPTS: usize = 3;
/// Pause before a cancellation is retried whose commit got no response.
const CANCEL_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// State of a job in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Accepted; none of its tasks is placed now.
    Queued,
    /// Some of its tasks are placed.
    Running,
    /// All its tasks have completed.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

/// Status of a job, as reported to its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// State of the job in its lifecycle.
    pub state: JobState,
    /// Number of tasks that have completed.
    pub done: u32,
    /// Number of tasks that are placed.
    pub running: u32,
}

impl From<OutcomeRecord> for JobStatus {
    fn from(record: OutcomeRecord) -> Self {
        Self {
            state: match record.outcome {
                JobOutcome::Done => JobState::Done,
                JobOutcome::Cancelled => JobState::Cancelled,
            },
            done: record.done,
            running: 0,
        }
    }
}

/// Reason why a job can never run on this cluster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// Its team is not configured.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type in an allowed zone is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    NoFittingType,
    /// The tasks that must run at the same time exceed the limit of the team.
    #[error("more than the team's limit")]
    ExceedsTeamLimit,
}

/// Reason why a request about a job was not served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The state service does not respond, or not all controllers support the job: the user
    /// must retry.
    #[error("cannot tell now")]
    Unavailable,
    /// The job was never accepted.
    #[error("no such job")]
    Unknown,
    /// The job is refused, and a retry will be refused too.
    #[error("can never run: {0}")]
    Infeasible(#[from] Infeasible),
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// This request submitted the job.
    Accepted,
    /// The job was accepted before; with its status.
    AlreadyAccepted(JobStatus),
}

/// Serves users' requests about jobs.
pub struct JobService {
    context: Arc<Context>,
}

impl JobService {
    pub(super) fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Accepts a job. A repeated submission returns the status of the job.
    pub async fn submit(&self, id: JobId, mut spec: JobSpec) -> Result<Submitted, JobError> {
        if let Some(outcome) = self.context.store.cache().outcome(&id) {
            return Ok(Submitted::AlreadyAccepted(outcome.into()));
        }
        let known = self.context.store.cache().jobs.contains_key(&id);
        if known {
            return self.status(&id).await.map(Submitted::AlreadyAccepted);
        }
        match self.check_feasible(&spec) {
            Ok(()) => {}
            // A job that was accepted is never refused later, even if the check now fails.
            Err(reason @ JobError::Infeasible(_)) => {
                return self.existing_status_or(&id, reason).await;
            }
            Err(error) => return Err(error),
        }
        // A job is accepted only if all controllers can serve it. During a rolling upgrade the
        // user is asked to retry.
        if !self
            .context
            .all_controllers_support(self.required_protocol_version(&spec))
        {
            return Err(JobError::Unavailable);
        }
        spec.accepted_ms = self.context.config.now_ms();
        self.commit_submission(id, &spec).await
    }

    async fn commit_submission(&self, id: JobId, spec: &JobSpec) -> Result<Submitted, JobError> {
        let transaction = Transaction::default()
            .require(keys::spec(&id), Revision(0))
            .require(keys::outcome(&id), Revision(0))
            .set(keys::spec(&id), spec);
        match self
            .context
            .store
            .commit(&transaction, RequestPriority::User)
            .await
        {
            Ok(_) => {
                tracing::debug!(job = %id, class = %spec.class, tasks = spec.tasks, "job accepted");
                self.context.leader_wakeup.notify_one();
                Ok(Submitted::Accepted)
            }
            Err(CommitError::Conflict(_)) => {
                self.existing_status_or(&id, JobError::Unavailable).await
            }
            // No response: the submission may have been committed. If the job cannot be read
            // back, the commit may still be applied later, so the user has to retry.
            Err(error) if error.is_unknown() => match self.status(&id).await {
                Ok(status) => Ok(Submitted::AlreadyAccepted(status)),
                Err(_) => Err(JobError::Unavailable),
            },
            Err(_) => Err(JobError::Unavailable),
        }
    }

    /// Returns the status of a job that may have been accepted before, or `unless_accepted` if
    /// it was not.
    async fn existing_status_or(
        &self,
        id: &JobId,
        unless_accepted: JobError,
    ) -> Result<Submitted, JobError> {
        match self.status(id).await {
            Ok(status) => Ok(Submitted::AlreadyAccepted(status)),
            Err(JobError::Unknown) => Err(unless_accepted),
            Err(error) => Err(error),
        }
    }

    /// Returns the protocol version that all controllers must support to serve this job.
    fn required_protocol_version(&self, spec: &JobSpec) -> ProtocolVersion {
        match ZoneScope::of(spec, self.context.config.state_limits.txn_ops) {
            ZoneScope::PerRecord => ProtocolVersion::LARGE_ZONE_BOUND,
            ZoneScope::WholeJob if spec.kind == JobKind::Gang => ProtocolVersion::GANGS,
            ZoneScope::WholeJob => ProtocolVersion::default(),
        }
    }

    /// Checks that the job can ever run. Fails with [`JobError::Unavailable`] while the cache or
    /// the machine catalog is not loaded.
    fn check_feasible(&self, spec: &JobSpec) -> Result<(), JobError> {
        if !self.context.store.is_loaded() {
            return Err(JobError::Unavailable);
        }
        let cache = self.context.store.cache();
        let Some(catalog) = &cache.catalog else {
            return Err(JobError::Unavailable);
        };
        let Some(team) = self.context.config.team(&spec.team) else {
            return Err(Infeasible::UnknownTeam.into());
        };
        let fits = catalog.value.types.iter().any(|machine_type| {
            spec.allows_type(&machine_type.name)
                && machine_type.zones.iter().any(|zone| spec.allows_zone(zone))
                && spec.per_task.fits_in(&machine_type.size)
        });
        if !fits {
            return Err(Infeasible::NoFittingType.into());
        }
        let tasks_at_once = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks,
        };
        let needed = Quota::from(&spec.per_task).times(f64::from(tasks_at_once));
        if !team.limit.covers(&needed) {
            return Err(Infeasible::ExceedsTeamLimit.into());
        }
        Ok(())
    }

    /// Returns the current status of a job. A final status is taken from the cache; any other
    /// status needs a read barrier.
    pub async fn status(&self, id: &JobId) -> Result<JobStatus, JobError> {
        if let Some(outcome) = self.context.store.cache().outcome(id) {
            return Ok(outcome.into());
        }
        if !self.context.store.read_barrier().await {
            return Err(JobError::Unavailable);
        }
        {
            let cache = self.context.store.cache();
            if let Some(outcome) = cache.outcome(id) {
                return Ok(outcome.into());
            }
            if let Some(job) = cache.jobs.get(id)
                && job.spec.is_some()
                && job.cleanup_since.is_none()
            {
                return Ok(current_status(job));
            }
        }
        // The job ended and its other keys are deleted or about to be, or it was never accepted.
        // Its outcome is written before they are deleted, so no outcome means never accepted.
        match self.context.store.look_up_outcome(id).await {
            Ok(Some(outcome)) => Ok(outcome.into()),
            Ok(None) => Err(JobError::Unknown),
            Err(_) => Err(JobError::Unavailable),
        }
    }

    fn spec_revision(&self, id: &JobId) -> Option<Revision> {
        let cache = self.context.store.cache();
        let job = cache.jobs.get(id)?;
        job.spec.as_ref().map(|entry| entry.revision)
    }

    /// Cancels a job and returns its status. A job that is done or cancelled stays unchanged.
    pub async fn cancel(&self, id: &JobId) -> Result<JobStatus, JobError> {
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let status = self.status(id).await?;
            if matches!(status.state, JobState::Done | JobState::Cancelled) {
                return Ok(status);
            }
            let Some(revision) = self.spec_revision(id) else {
                continue;
            };
            let outcome = OutcomeRecord {
                outcome: JobOutcome::Cancelled,
                done: status.done,
            };
            let transaction = Transaction::default()
                .require(keys::spec(id), revision)
                .require(keys::outcome(id), Revision(0))
                .set(keys::outcome(id), &outcome)
                .set(keys::cleanup(id), &1);
            match self
                .context
                .store
                .commit(&transaction, RequestPriority::User)
                .await
            {
                Ok(_) => {
                    tracing::debug!(job = %id, "job cancelled");
                    self.context.owner_wakeup.notify_one();
                    return Ok(outcome.into());
                }
                Err(CommitError::Conflict(_)) => {}
                Err(error) if error.is_unknown() => {
                    tokio::time::sleep(CANCEL_RETRY_PAUSE).await;
                }
                Err(_) => return Err(JobError::Unavailable),
            }
        }
        Err(JobError::Unavailable)
    }
}

/// Returns the status of a job that has not ended.
fn current_status(job: &Job) -> JobStatus {
    JobStatus {
        state: if job.present_tasks() > 0 {
            JobState::Running
        } else {
            JobState::Queued
        },
        done: job.completed_tasks,
        running: job.present_tasks(),
    }
}
