//! What the rule checkers learn of the simulated cluster.

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

/// What a working machine has left for further tasks.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    /// The machine's type, zone and price class.
    pub kind: MachineKind,
    /// CPUs.
    pub cpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

/// What users, machines and the network observe.
#[derive(Clone, Debug)]
pub enum Event {
    /// A user has sent a job for the first time.
    Submitted(JobId, Box<JobSpec>),
    /// The job was submitted with a mistake: its tasks fail wherever they run.
    FailsWhenRun(JobId),
    /// The user has asked to cancel it.
    CancelRequested(JobId),
    /// A user's request about a job was answered.
    UserAnswered(UserAnswer),
    /// A task is on a machine from now on.
    TaskStarted(TaskId, MachineId, MachineKind),
    /// A task is no longer on a machine.
    TaskStopped(TaskId, MachineId),
    /// A task has run to its end.
    TaskCompleted(TaskId),
    /// A submission that must be refused was answered.
    InvalidSubmissionAnswered {
        /// What is invalid in it.
        what: String,
        /// The HTTP status that it must get.
        expected: u16,
        /// The HTTP status that it got.
        status: u16,
    },
    /// A task of a gang has joined an attempt that had begun, or was over.
    AttemptReused(TaskId, u64),
    /// A controller was sent a message that its version cannot read.
    UnreadableMessage(String),
}

/// An answer to a user's request about a job.
#[derive(Clone, Debug)]
pub struct UserAnswer {
    /// When the request was sent, since the start of the scenario: an answer may be older
    /// than one that was given while it was under way.
    pub requested_at: Duration,
    /// The job that the request was about.
    pub job: JobId,
    /// The HTTP status.
    pub status: u16,
    /// The job's state in the protocol's words, if the answer has one.
    pub state: Option<String>,
    /// Whether the request was a submission.
    pub is_submission: bool,
}
