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
    Done,
    /// Stopped by command.
    Stopped,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    Running,
    Saving,
    Exited(Exit),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: Attempt,
    pub state: TaskState,
}

/// What an agent tells of its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub machine: MachineId,
    pub address: String,
    pub kind: TypeName,
    pub zone: ZoneName,
    pub spot: bool,
    pub epoch: AgentEpoch,
    pub sequence: u64,
    pub token: Token,
    pub notice: Option<Duration>,
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Start {
        task: TaskId,
        attempt: Attempt,
    },
    Stop {
        task: TaskId,
        attempt: Attempt,
        grace: Duration,
    },
    Clear {
        task: TaskId,
        attempt: Attempt,
    },
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    Accepted {
        token: Token,
        commands: Vec<Command>,
    },
    /// Another controller holds the machine, if it is known which.
    NotHere(Option<ControllerName>),
    /// Cannot tell now.
    Unavailable,
}

pub struct CommandResponse {
    /// False: nothing was executed, as token or epoch did not match.
    pub executed: bool,
    pub heartbeat: Heartbeat,
}

pub trait AgentClient: Send + Sync {
    fn send_commands<'a>(
        &'a self,
        address: &'a str,
        token: Token,
        epoch: AgentEpoch,
        commands: &'a [Command],
    ) -> BoxFuture<'a, Result<CommandResponse, NoAnswer>>;

    fn inspect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Heartbeat, NoAnswer>>;
}
