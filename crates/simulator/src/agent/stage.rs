//! The stages of a task on a machine, and the causes of its exit.

use stallcove::storage::TaskId;
use tokio::time::Instant;

/// One attempt to run a task: the key of an agent's table of tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskAttempt {
    /// The task.
    pub(super) task: TaskId,
    /// The controller's count of the task's placements.
    pub(super) attempt: u64,
}

/// Why a task is no longer on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExitCause {
    /// It has completed.
    Done,
    /// It failed by itself.
    Error,
    /// It was stopped by command.
    Stopped,
    /// Its job is not known.
    Unknown,
    /// Another attempt of the task is still in the agent's table.
    Busy,
    /// The machine has too little free capacity.
    Full,
    /// The other tasks of its gang did not come in time.
    Alone,
    /// Another task of its running gang was lost.
    MatesGone,
}

impl ExitCause {
    /// The protocol's word for the cause.
    pub(super) fn wire_name(self) -> &'static str {
        match self {
            ExitCause::Done => "done",
            ExitCause::Error => "error",
            ExitCause::Stopped => "halted",
            ExitCause::Unknown => "unknown",
            ExitCause::Busy => "busy",
            ExitCause::Full => "full",
            ExitCause::Alone => "alone",
            ExitCause::MatesGone => "mates_gone",
        }
    }
}

/// How far an attempt has come. The times say when its stage ends, unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The image is being fetched.
    Fetching(Instant),
    /// The task runs on its own.
    Running(Instant),
    /// The task runs on its own, is stopped and saves a checkpoint.
    Saving(Instant),
    /// The task waits for the others of its gang, since this time.
    WaitingForGang(Instant),
    /// The task runs together with its gang.
    RunningInGang,
    /// The task of a running gang is stopped and saves a checkpoint.
    SavingInGang(Instant),
    /// The attempt is over; it stays in the table until it is cleared.
    Exited(ExitCause),
}

impl Stage {
    /// Whether the task's process is on its machine.
    pub(super) fn is_on_machine(self) -> bool {
        !matches!(self, Stage::Fetching(_) | Stage::Exited(_))
    }

    /// Whether the attempt takes capacity of its machine.
    pub(super) fn takes_capacity(self) -> bool {
        !matches!(self, Stage::Exited(_))
    }

    /// The protocol's word for the stage.
    pub(super) fn wire_name(self) -> &'static str {
        match self {
            Stage::Fetching(_) => "fetching",
            Stage::WaitingForGang(_) => "waiting",
            Stage::Running(_) | Stage::RunningInGang => "running",
            Stage::Saving(_) => "flushing",
            // "running" also for tasks of a gang that is being stopped.
            Stage::SavingInGang(_) => "running",
            Stage::Exited(_) => "exited",
        }
    }

    /// Why the attempt is over; none while it is not.
    pub(super) fn exit_cause(self) -> Option<ExitCause> {
        match self {
            Stage::Exited(cause) => Some(cause),
            _ => None,
        }
    }
}
