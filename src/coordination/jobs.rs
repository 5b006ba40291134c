//! Submitting, asking about and cancelling jobs.

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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    Queued,
    Running,
    Done,
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus {
    pub state: JobState,
    pub done: u32,
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
    #[error("unknown team")]
    Team,
    #[error("a task fits no allowed machine type")]
    Type,
    #[error("more than the team's limit")]
    Limit,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    #[error("cannot tell now")]
    Unavailable,
    #[error("no such job")]
    Unknown,
    #[error("can never run: {0}")]
    Infeasible(#[from] Infeasible),
}

pub enum Submitted {
    Accepted,
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

    pub async fn submit(&self, id: JobId, mut spec: JobSpec) -> Result<Submitted, JobError> {
        if let Some(outcome) = self.context.store.cache().outcome(&id) {
            return Ok(Submitted::Known(outcome.into()));
        }
        let known = self.context.store.cache().jobs.contains_key(&id);
        if known {
            return self.status(&id).await.map(Submitted::Known);
        }
        if let Err(reason) = self.check_feasible(&spec)? {
            // A job that was accepted is never refused, whatever is judged now.
            return match self.status(&id).await {
                Ok(status) => Ok(Submitted::Known(status)),
                Err(JobError::Unknown) => Err(reason.into()),
                Err(error) => Err(error),
            };
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
        let transaction = Transaction::default()
            .require(keys::spec(&id), Revision(0))
            .require(keys::outcome(&id), Revision(0))
            .set(keys::spec(&id), &spec);
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
            Err(CommitError::Conflict(_)) => match self.status(&id).await {
                Ok(status) => Ok(Submitted::Known(status)),
                Err(JobError::Unknown) => Err(JobError::Unavailable),
                Err(error) => Err(error),
            },
            // No answer: it may be committed. If it cannot be read back it may
            // yet be, so that only the user's retry tells.
            Err(error) if error.is_unknown() => match self.status(&id).await {
                Ok(status) => Ok(Submitted::Known(status)),
                Err(_) => Err(JobError::Unavailable),
            },
            Err(_) => Err(JobError::Unavailable),
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

    /// Whether the job can ever run; an error when that cannot be told yet.
    fn check_feasible(&self, spec: &JobSpec) -> Result<Result<(), Infeasible>, JobError> {
        if !self.context.store.is_loaded() {
            return Err(JobError::Unavailable);
        }
        let cache = self.context.store.cache();
        let Some(catalog) = &cache.catalog else {
            return Err(JobError::Unavailable);
        };
        let Some(team) = self.context.config.team(&spec.team) else {
            return Ok(Err(Infeasible::Team));
        };
        let fits = catalog.value.types.iter().any(|kind| {
            spec.allows_type(&kind.name)
                && kind.zones.iter().any(|zone| spec.allows_zone(zone))
                && spec.per_task.fits_in(&kind.size)
        });
        if !fits {
            return Ok(Err(Infeasible::Type));
        }
        let at_once = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks,
        };
        let needed = Quota::from(&spec.per_task).times(f64::from(at_once));
        if !team.limit.covers(&needed) {
            return Ok(Err(Infeasible::Limit));
        }
        Ok(Ok(()))
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
                return Ok(current(job));
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

    pub async fn cancel(&self, id: &JobId) -> Result<JobStatus, JobError> {
        for _ in 0..3 {
            let status = self.status(id).await?;
            if matches!(status.state, JobState::Done | JobState::Cancelled) {
                return Ok(status);
            }
            let Some(revision) = ({
                let cache = self.context.store.cache();
                cache
                    .jobs
                    .get(id)
                    .and_then(|job| job.spec.as_ref())
                    .map(|entry| entry.revision)
            }) else {
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
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                Err(_) => return Err(JobError::Unavailable),
            }
        }
        Err(JobError::Unavailable)
    }
}

fn current(job: &Job) -> JobStatus {
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
