//! Newtypes for the names and numbers that must not be mixed up. All are stored, and sent
//! between controllers, as the plain string or number.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name as it is, without a check.
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
    /// A user's job.
    JobId
);
name_type!(
    /// A provisioned machine, as the cloud names it.
    MachineId
);
name_type!(
    /// A controller.
    ControllerName
);
name_type!(
    /// A team with a guarantee and a limit.
    TeamName
);
name_type!(
    /// A class of jobs with a service-level objective.
    ClassName
);
name_type!(
    /// A machine type of the cloud's catalog.
    TypeName
);
name_type!(
    /// A zone.
    ZoneName
);
name_type!(
    /// A task's image.
    ImageName
);
name_type!(
    /// The name of a provision request, and of the record of what it provisioned; never
    /// used twice.
    ProvisionId
);

number_type!(
    /// A change of the state service.
    Revision
);
number_type!(
    /// Who may command a machine: the revision of its shard's record.
    Token
);
number_type!(
    /// How often a task has been placed; only rises.
    Attempt
);
number_type!(
    /// Which life of an agent; rises whenever its lease expires.
    AgentEpoch
);
number_type!(
    /// One process of a controller; a restart is another one.
    Incarnation
);
number_type!(
    /// A set of machines that is leased as a whole.
    ShardId
);

impl From<Revision> for Token {
    fn from(revision: Revision) -> Self {
        Token(revision.0)
    }
}

impl JobId {
    /// Reads a job id. Job ids are `job-` and digits. Anything else is nobody's job, and could
    /// also break out of the key scheme.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("job-")?;
        ((1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit()))
            .then(|| Self::new(text))
    }
}

/// One task of a job.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// The task of a job with this number.
    pub fn new(job: JobId, index: u32) -> Self {
        Self { job, index }
    }

    /// Reads `<job>/<index>`, as `Display` writes it.
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
