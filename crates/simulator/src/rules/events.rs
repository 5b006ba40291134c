//! Events and data of the simulated cluster that the rule checkers receive.

use std::time::Duration;

use stallcove::storage::{JobId, JobSpec, MachineId, TaskId};

/// Type, zone and price class of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineKind {
    /// The cloud's name for the machine type.
    pub machine_type: String,
    /// The zone it is in.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Free capacity of a working machine.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    /// The machine's type, zone and price class.
    pub kind: MachineKind,
    /// Free CPUs.
    pub cpus: f64,
    /// Free memory in GB.
    pub memory: f64,
}

/// An event observed by users, machines or the network.
#[derive(Clone, Debug)]
pub enum Event {
    /// A user is about to submit a job for the first time.
    Submitted(JobId, Box<JobSpec>),
    /// The submitted job is defective: its tasks fail on any machine.
    FailsWhenRun(JobId),
    /// The user has started to request the cancellation of the job.
    CancelRequested(JobId),
    /// A user's request about a job was answered.
    UserAnswered(UserAnswer),
    /// A task's process has started on a machine.
    TaskStarted(TaskId, MachineId, MachineKind),
    /// A task's process has ended on a machine.
    TaskStopped(TaskId, MachineId),
    /// A task has completed.
    TaskCompleted(TaskId),
    /// A submission that must be refused was answered.
    InvalidSubmissionAnswered {
        /// What is invalid in it.
        what: String,
        /// The HTTP status of the expected answer.
        expected: u16,
        /// The HTTP status of the answer.
        status: u16,
    },
    /// A task of a gang has joined an attempt that had already started or ended.
    AttemptReused(TaskId, u64),
    /// A controller was sent a message that its version cannot read.
    UnreadableMessage(String),
    /// A controller's state cache is at the state service's revision, but one of its keys has
    /// another revision there, or is missing on one side.
    CacheDiffers {
        /// The controller.
        controller: String,
        /// The key.
        key: String,
    },
}

/// An answer to a user's request about a job.
#[derive(Clone, Debug)]
pub struct UserAnswer {
    /// When the request was sent, since the start of the scenario. Answers may arrive out of
    /// order: one may be older than another that arrived while it was in flight.
    pub requested_at: Duration,
    /// The job that the request was about.
    pub job: JobId,
    /// The HTTP status.
    pub status: u16,
    /// The job's state as named in the protocol, if the answer has one.
    pub state: Option<String>,
    /// Whether the request was a submission.
    pub is_submission: bool,
}
