//! Submitting, asking about and cancelling jobs.

use std::time::Duration;

use crate::{
    coordination::{node::Node, policy::zones::ZoneScope, ports::Dialect},
    storage::{
        CommitError, JobId, JobKind, JobOutcome, JobSpec, Quota, Revision, Transaction,
        budget::Urgency, keys, records::OutcomeRecord, state_cache::Job,
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
            state: match record.fate {
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
pub enum Impossible {
    #[error("unknown team")]
    Team,
    #[error("a task fits no allowed machine type")]
    Type,
    #[error("more than the team's limit")]
    Limit,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UserError {
    #[error("cannot tell now")]
    Unavailable,
    #[error("no such job")]
    Unknown,
    #[error("can never run: {0}")]
    Impossible(#[from] Impossible),
}

pub enum Submitted {
    Accepted,
    Known(JobStatus),
}

impl Node {
    pub async fn submit(&self, id: JobId, mut spec: JobSpec) -> Result<Submitted, UserError> {
        if let Some(fate) = self.store.cache().fate(&id) {
            return Ok(Submitted::Known(fate.into()));
        }
        let known = self.store.cache().jobs.contains_key(&id);
        if known {
            return self.ask(&id).await.map(Submitted::Known);
        }
        if let Err(reason) = self.judge(&spec)? {
            // A job that was accepted is never refused, whatever is judged now.
            return match self.ask(&id).await {
                Ok(status) => Ok(Submitted::Known(status)),
                Err(UserError::Unknown) => Err(reason.into()),
                Err(error) => Err(error),
            };
        }
        // Only one that all controllers can serve is promised; in a rolled upgrade the
        // user is told to come again.
        if !self.all_read(self.needed_dialect(&spec)) {
            return Err(UserError::Unavailable);
        }
        spec.accepted_ms = self.config.now_ms();
        let transaction = Transaction::default()
            .require(keys::spec(&id), Revision(0))
            .require(keys::fate(&id), Revision(0))
            .set(keys::spec(&id), &spec);
        match self.store.commit(&transaction, Urgency::User).await {
            Ok(_) => {
                tracing::debug!(job = %id, class = %spec.class, tasks = spec.tasks, "accepted");
                self.leader_kick.notify_one();
                Ok(Submitted::Accepted)
            }
            Err(CommitError::Conflict(_)) => match self.ask(&id).await {
                Ok(status) => Ok(Submitted::Known(status)),
                Err(UserError::Unknown) => Err(UserError::Unavailable),
                Err(error) => Err(error),
            },
            // No answer: it may be committed. If it cannot be read back it may
            // yet be, so that only the user's retry tells.
            Err(error) if error.is_unknown() => match self.ask(&id).await {
                Ok(status) => Ok(Submitted::Known(status)),
                Err(_) => Err(UserError::Unavailable),
            },
            Err(_) => Err(UserError::Unavailable),
        }
    }

    /// What all controllers must be able to read to serve this job.
    fn needed_dialect(&self, spec: &JobSpec) -> Dialect {
        match ZoneScope::of(spec, self.config.state.txn_ops) {
            ZoneScope::PerRecord => Dialect::LARGE_ZONE_BOUND,
            ZoneScope::WholeJob if spec.kind == JobKind::Gang => Dialect::GANGS,
            ZoneScope::WholeJob => Dialect::default(),
        }
    }

    /// Whether the job can ever run; an error when that cannot be told yet.
    fn judge(&self, spec: &JobSpec) -> Result<Result<(), Impossible>, UserError> {
        if !self.store.is_loaded() {
            return Err(UserError::Unavailable);
        }
        let cache = self.store.cache();
        let Some(catalog) = &cache.catalog else {
            return Err(UserError::Unavailable);
        };
        let Some(team) = self.config.team(&spec.team) else {
            return Ok(Err(Impossible::Team));
        };
        let fits = catalog.value.types.iter().any(|kind| {
            spec.allows_type(&kind.name)
                && kind.zones.iter().any(|zone| spec.allows_zone(zone))
                && spec.per_task.fits_in(&kind.size)
        });
        if !fits {
            return Ok(Err(Impossible::Type));
        }
        let at_once = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks,
        };
        let needed = Quota::from(&spec.per_task).times(f64::from(at_once));
        if !team.limit.covers(&needed) {
            return Ok(Err(Impossible::Limit));
        }
        Ok(Ok(()))
    }

    /// A job's status as of now: final ones from memory, others by a fresh read.
    pub async fn ask(&self, id: &JobId) -> Result<JobStatus, UserError> {
        if let Some(fate) = self.store.cache().fate(id) {
            return Ok(fate.into());
        }
        if !self.store.fresh().await {
            return Err(UserError::Unavailable);
        }
        {
            let cache = self.store.cache();
            if let Some(fate) = cache.fate(id) {
                return Ok(fate.into());
            }
            if let Some(job) = cache.jobs.get(id)
                && job.spec.is_some()
                && job.draining.is_none()
            {
                return Ok(current(job));
            }
        }
        // Over long ago, or never accepted: its fate was written before its
        // other keys went.
        match self.store.look_up_fate(id).await {
            Ok(Some(fate)) => Ok(fate.into()),
            Ok(None) => Err(UserError::Unknown),
            Err(_) => Err(UserError::Unavailable),
        }
    }

    pub async fn abort(&self, id: &JobId) -> Result<JobStatus, UserError> {
        for _ in 0..3 {
            let status = self.ask(id).await?;
            if matches!(status.state, JobState::Done | JobState::Cancelled) {
                return Ok(status);
            }
            let Some(mark) = ({
                let cache = self.store.cache();
                cache
                    .jobs
                    .get(id)
                    .and_then(|job| job.spec.as_ref())
                    .map(|kept| kept.revision)
            }) else {
                continue;
            };
            let fate = OutcomeRecord {
                fate: JobOutcome::Cancelled,
                done: status.done,
            };
            let transaction = Transaction::default()
                .require(keys::spec(id), mark)
                .require(keys::fate(id), Revision(0))
                .set(keys::fate(id), &fate)
                .set(keys::drain(id), &1);
            match self.store.commit(&transaction, Urgency::User).await {
                Ok(_) => {
                    tracing::debug!(job = %id, "cancelled");
                    self.holder_kick.notify_one();
                    return Ok(fate.into());
                }
                Err(CommitError::Conflict(_)) => {}
                Err(error) if error.is_unknown() => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                Err(_) => return Err(UserError::Unavailable),
            }
        }
        Err(UserError::Unavailable)
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
