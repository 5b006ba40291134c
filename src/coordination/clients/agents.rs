//! What agents report and are told, and the client that reaches them directly.

use std::time::Duration;

use futures::future::BoxFuture;

use super::NoAnswer;
use crate::storage::{
    AgentEpoch, Attempt, ControllerName, MachineId, TaskId, Token, TypeName, ZoneName,
};

/// How a task's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Ended with an error.
    Failed,
    /// Start refused: not enough room.
    NoRoom,
    /// Start refused: the task is there with another attempt.
    Busy,
    /// Start refused: the agent found no description of the job.
    Unknown,
    /// Another reason of the agent's.
    Other,
}

/// Where a task that an agent lists is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// Its process runs.
    Running,
    /// It was told to stop and saves its progress.
    Saving,
    /// Its process is no more; listed until it is cleared.
    Exited(Exit),
}

/// What an agent tells of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt that it was started with.
    pub attempt: Attempt,
    /// Where it is in its life.
    pub state: TaskState,
}

/// What an agent tells of its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine, as the cloud names it.
    pub machine: MachineId,
    /// Where the agent listens for commands.
    pub address: String,
    /// The machine's type.
    pub kind: TypeName,
    /// Where the machine is.
    pub zone: ZoneName,
    /// Whether it may be taken back at any time.
    pub spot: bool,
    /// The agent's epoch.
    pub epoch: AgentEpoch,
    /// Number of the message within the epoch; only rises.
    pub sequence: u64,
    /// The highest token that the agent has seen.
    pub token: Token,
    /// In what time the cloud takes the machine, if it has given notice.
    pub notice: Option<Duration>,
    /// All tasks that the agent has.
    pub tasks: Vec<TaskStatus>,
}

/// What an agent is told to do with a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run it.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt of its placement.
        attempt: Attempt,
    },
    /// Stop it.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt that is meant; another one goes on.
        attempt: Attempt,
        /// How long it may take to save its progress.
        grace: Duration,
    },
    /// Forget it: its result is recorded.
    Clear {
        /// The task.
        task: TaskId,
        /// The attempt that is meant.
        attempt: Attempt,
    },
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// The sender owns the machine; the agent's lease is renewed.
    Accepted {
        /// The token under which the machine is owned.
        token: Token,
        /// What the agent is to do.
        commands: Vec<Command>,
    },
    /// Another controller owns the machine, if it is known which.
    NotHere(Option<ControllerName>),
    /// Cannot tell now.
    Unavailable,
}

/// The answer to commands that were sent directly.
pub struct CommandResponse {
    /// False: nothing was executed, as token or epoch did not match.
    pub executed: bool,
    /// What the agent tells of its machine after that.
    pub heartbeat: Heartbeat,
}

/// Reaches agents directly. Each call is bounded in time.
pub trait AgentClient: Send + Sync {
    /// Sends commands, which the agent executes if neither token nor epoch is outdated.
    fn send_commands<'a>(
        &'a self,
        address: &'a str,
        token: Token,
        epoch: AgentEpoch,
        commands: &'a [Command],
    ) -> BoxFuture<'a, Result<CommandResponse, NoAnswer>>;

    /// Asks an agent how its machine is.
    fn inspect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Heartbeat, NoAnswer>>;
}
