//! Stages of a task on a machine, and exit causes.

use stallcove::storage::TaskId;
use tokio::time::Instant;

/// One attempt to run a task; the key of an agent's task table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskAttempt {
    /// The task.
    pub(super) task: TaskId,
    /// Attempt number, as assigned by the controllers.
    pub(super) attempt: u64,
}

/// Why an attempt has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExitCause {
    /// The task has completed.
    Done,
    /// The task failed.
    Error,
    /// A command stopped the task.
    Stopped,
    /// The task's job is not known.
    Unknown,
    /// Another attempt of the task is still in the agent's table.
    Busy,
    /// The machine has too little free capacity.
    Full,
    /// The other tasks of its gang were not ready within the start timeout.
    GangIncomplete,
    /// Another task of its running gang was lost.
    MemberLost,
}

impl ExitCause {
    /// Returns the cause's name in the protocol.
    pub(super) fn wire_name(self) -> &'static str {
        match self {
            ExitCause::Done => "done",
            ExitCause::Error => "error",
            ExitCause::Stopped => "halted",
            ExitCause::Unknown => "unknown",
            ExitCause::Busy => "busy",
            ExitCause::Full => "full",
            ExitCause::GangIncomplete => "alone",
            ExitCause::MemberLost => "mates_gone",
        }
    }
}

/// Stage of an attempt. The times are when the stage ends, unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The image is being downloaded.
    Fetching(Instant),
    /// The task is running; not part of a running gang.
    Running(Instant),
    /// The task, not part of a running gang, received a stop command and is saving a checkpoint.
    Saving(Instant),
    /// The task waits for the other tasks of its gang; the time is when it started to wait.
    WaitingForGang(Instant),
    /// The task is running as part of its gang.
    RunningInGang,
    /// The task, part of a running gang, received a stop command and is saving a checkpoint.
    SavingInGang(Instant),
    /// The attempt has exited; it remains in the table until a command clears it.
    Exited(ExitCause),
}

impl Stage {
    /// Whether the task's process exists on the machine.
    pub(super) fn is_on_machine(self) -> bool {
        !matches!(self, Stage::Fetching(_) | Stage::Exited(_))
    }

    /// Whether the attempt occupies capacity of its machine.
    pub(super) fn takes_capacity(self) -> bool {
        !matches!(self, Stage::Exited(_))
    }

    /// Returns the stage's name in the protocol.
    pub(super) fn wire_name(self) -> &'static str {
        match self {
            Stage::Fetching(_) => "fetching",
            Stage::WaitingForGang(_) => "waiting",
            Stage::Running(_) | Stage::RunningInGang => "running",
            Stage::Saving(_) => "flushing",
            // Tasks of a gang that is being stopped are reported as running until all have saved.
            Stage::SavingInGang(_) => "running",
            Stage::Exited(_) => "exited",
        }
    }

    /// Returns why the attempt has exited, or `None` if it has not.
    pub(super) fn exit_cause(self) -> Option<ExitCause> {
        match self {
            Stage::Exited(cause) => Some(cause),
            _ => None,
        }
    }
}
