//! Submitting, asking about and cancelling jobs, for users.
//!
//! Any controller serves these requests, by transactions on the job's spec and outcome:
//! the spec is written if neither exists, the outcome only once.

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

/// How often a cancellation is tried that conflicts with other changes.
const MAX_CANCEL_ATTEMPTS: usize = 3;
/// Pause before a cancellation without an answer is tried again.
const CANCEL_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Accepted; none of its tasks is placed.
    Queued,
    /// Some of its tasks are placed.
    Running,
    /// All its tasks have completed.
    Done,
    /// Its user has cancelled it.
    Cancelled,
}

/// What a user is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// Where it is in its life.
    pub state: JobState,
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks that are placed.
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

/// Why a job can never run here.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// Nobody has set up its team.
    #[error("unknown team")]
    Team,
    /// No machine type in an allowed zone has room for one of its tasks.
    #[error("a task fits no allowed machine type")]
    Type,
    /// What must run at once exceeds what its team may use.
    #[error("more than the team's limit")]
    Limit,
}

/// Why a request about a job was not served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The state service does not answer, or not all controllers could serve the job: the
    /// user is to ask again.
    #[error("cannot tell now")]
    Unavailable,
    /// The job was never accepted.
    #[error("no such job")]
    Unknown,
    /// The job is refused for good.
    #[error("can never run: {0}")]
    Infeasible(#[from] Infeasible),
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job is accepted now.
    Accepted,
    /// The job was accepted before; this is its status.
    Known(JobStatus),
}

/// Users' requests about jobs, answered by any controller.
pub struct JobService {
    context: Arc<Context>,
}

impl JobService {
    pub(super) fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Accepts a job, once: a repeated submission gets the status of the job.
    pub async fn submit(&self, id: JobId, mut spec: JobSpec) -> Result<Submitted, JobError> {
        if let Some(outcome) = self.context.store.cache().outcome(&id) {
            return Ok(Submitted::Known(outcome.into()));
        }
        let known = self.context.store.cache().jobs.contains_key(&id);
        if known {
            return self.status(&id).await.map(Submitted::Known);
        }
        match self.check_feasible(&spec) {
            Ok(()) => {}
            // A job that was accepted is never refused, whatever is judged now.
            Err(reason @ JobError::Infeasible(_)) => return self.known_or(&id, reason).await,
            Err(error) => return Err(error),
        }
        // Only one that all controllers can serve is promised; in a rolled upgrade the
        // user is told to come again.
        if !self
            .context
            .all_support(self.required_protocol_version(&spec))
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
            Err(CommitError::Conflict(_)) => self.known_or(&id, JobError::Unavailable).await,
            // No answer: it may be committed. If it cannot be read back it may
            // yet be, so that only the user's retry tells.
            Err(error) if error.is_unknown() => match self.status(&id).await {
                Ok(status) => Ok(Submitted::Known(status)),
                Err(_) => Err(JobError::Unavailable),
            },
            Err(_) => Err(JobError::Unavailable),
        }
    }

    /// The status of a job that may have been accepted before; `unless_known`: what to say
    /// if it was not.
    async fn known_or(&self, id: &JobId, unless_known: JobError) -> Result<Submitted, JobError> {
        match self.status(id).await {
            Ok(status) => Ok(Submitted::Known(status)),
            Err(JobError::Unknown) => Err(unless_known),
            Err(error) => Err(error),
        }
    }

    /// What all controllers must be able to read to serve this job.
    fn required_protocol_version(&self, spec: &JobSpec) -> ProtocolVersion {
        match ZoneScope::of(spec, self.context.config.state.txn_ops) {
            ZoneScope::PerRecord => ProtocolVersion::LARGE_ZONE_BOUND,
            ZoneScope::WholeJob if spec.kind == JobKind::Gang => ProtocolVersion::GANGS,
            ZoneScope::WholeJob => ProtocolVersion::default(),
        }
    }

    /// Checks that the job can ever run; `Unavailable` when that cannot be told yet.
    fn check_feasible(&self, spec: &JobSpec) -> Result<(), JobError> {
        if !self.context.store.is_loaded() {
            return Err(JobError::Unavailable);
        }
        let cache = self.context.store.cache();
        let Some(catalog) = &cache.catalog else {
            return Err(JobError::Unavailable);
        };
        let Some(team) = self.context.config.team(&spec.team) else {
            return Err(Infeasible::Team.into());
        };
        let fits = catalog.value.types.iter().any(|machine_type| {
            spec.allows_type(&machine_type.name)
                && machine_type.zones.iter().any(|zone| spec.allows_zone(zone))
                && spec.per_task.fits_in(&machine_type.size)
        });
        if !fits {
            return Err(Infeasible::Type.into());
        }
        let tasks_at_once = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks,
        };
        let needed = Quota::from(&spec.per_task).times(f64::from(tasks_at_once));
        if !team.limit.covers(&needed) {
            return Err(Infeasible::Limit.into());
        }
        Ok(())
    }

    /// A job's status as of now: final ones from memory, others by a fresh read.
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
        // Over long ago, or never accepted: its outcome was written before its
        // other keys went.
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

    /// Cancels a job, and returns its status then; one that is over stays as it is.
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

/// The status of a job that is not over.
fn current_status(job: &Job) -> JobStatus {
    JobStatus {
        state: if job.present() > 0 {
            JobState::Running
        } else {
            JobState::Queued
        },
        done: job.done,
        running: job.present(),
    }
}
