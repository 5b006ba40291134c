//! Newtypes for names and numbers, so that they cannot be confused with each other. All are
//! stored, and sent between controllers, as the plain string or number.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without validating it.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// The plain name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// The id of a user's job.
    JobId
);
name_type!(
    /// The name that the cloud gives to a provisioned machine.
    MachineId
);
name_type!(
    /// The name of a controller.
    ControllerName
);
name_type!(
    /// The name of a team, which has a guaranteed quota and a limit.
    TeamName
);
name_type!(
    /// The name of a class of jobs, which may have a service-level objective.
    ClassName
);
name_type!(
    /// The name of a machine type in the cloud's catalog.
    TypeName
);
name_type!(
    /// The name of a zone of the cloud.
    ZoneName
);
name_type!(
    /// The name of a task's image.
    ImageName
);
name_type!(
    /// The name of a provision request or of a machine group. A group that a request provisioned
    /// has the name of the request. Names are never reused.
    ProvisionId
);

number_type!(
    /// The number of a change in the state service; increases with every change.
    Revision
);
number_type!(
    /// A fencing token of a machine: the revision of the record that gave its shard's owner the
    /// right to command it.
    FencingToken
);
number_type!(
    /// The number of a task's placement, from 1; increases with every new placement.
    Attempt
);
number_type!(
    /// The epoch of an agent; increases whenever its lease expires.
    AgentEpoch
);
number_type!(
    /// Identifies one process of a controller; a restarted controller has a new incarnation.
    Incarnation
);
number_type!(
    /// The number of a shard: a set of machines that is leased to a controller as a whole.
    ShardId
);

impl From<Revision> for FencingToken {
    fn from(revision: Revision) -> Self {
        FencingToken(revision.0)
    }
}

impl JobId {
    /// Parses a job id: `job-` and 1 to 20 digits. Any other text is not the id of a job, and
    /// could also yield keys outside of the key scheme.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("job-")?;
        ((1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit()))
            .then(|| Self::new(text))
    }
}

/// The id of one task of a job.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// The id of the task with this number in the job.
    pub fn new(job: JobId, index: u32) -> Self {
        Self { job, index }
    }

    /// Parses `<job>/<index>`, as `Display` writes it.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        Some(Self::new(JobId::parse(job)?, index.parse().ok()?))
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

#[cfg(test)]
mod tests;
