//! Heartbeats of agents, commands to them, and the client trait for direct calls.

use std::time::Duration;

use futures::future::BoxFuture;

use super::NoResponse;
use crate::storage::{
    AgentEpoch, Attempt, ControllerName, FencingToken, MachineId, TaskId, TypeName, ZoneName,
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
    /// Start refused: not enough free resources.
    NoRoom,
    /// Start refused: another attempt of the task is still on the machine.
    Busy,
    /// Start refused: the agent found no description of the job.
    Unknown,
    /// Any other reason that the agent gives.
    Other,
}

/// State of a task in an agent's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// Its process runs.
    Running,
    /// It is being stopped and saves its progress.
    Saving,
    /// Its process has ended; it stays in the heartbeats until it is cleared.
    Exited(Exit),
}

/// Status of one task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt that it was started with.
    pub attempt: Attempt,
    /// State of the task.
    pub state: TaskState,
}

/// Status of a machine and its tasks, as sent by its agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The cloud's identifier of the machine.
    pub machine: MachineId,
    /// Address on which the agent listens for commands.
    pub address: String,
    /// The machine's type.
    pub machine_type: TypeName,
    /// The zone that the machine is in.
    pub zone: ZoneName,
    /// Whether it is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// The agent's epoch.
    pub epoch: AgentEpoch,
    /// Sequence number of the message within the epoch; strictly increasing.
    pub sequence: u64,
    /// The highest token that the agent has seen.
    pub token: FencingToken,
    /// Time until the cloud reclaims the machine, if it has announced that.
    pub notice: Option<Duration>,
    /// Status of all tasks on the machine.
    pub tasks: Vec<TaskStatus>,
}

/// A command to an agent about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start the task.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt of its placement.
        attempt: Attempt,
    },
    /// Stop the task.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt to stop. Other attempts of the task are not affected.
        attempt: Attempt,
        /// Maximum time for the task to save its progress.
        grace: Duration,
    },
    /// Remove the task from the heartbeats: its result is recorded.
    Clear {
        /// The task.
        task: TaskId,
        /// The attempt to clear.
        attempt: Attempt,
    },
}

/// The response to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// The responding controller owns the machine; the response renews the agent's lease.
    Accepted {
        /// The token under which the machine is owned.
        token: FencingToken,
        /// Commands for the agent to execute.
        commands: Vec<Command>,
    },
    /// The responding controller does not own the machine. Names the owner if it is known and
    /// alive.
    NotOwner(Option<ControllerName>),
    /// The controller cannot determine the owner, or may not renew the lease, at the moment.
    Unavailable,
}

/// The response to direct commands.
pub struct CommandResponse {
    /// Whether the commands were executed. If false, none was, since the token or the epoch did
    /// not match.
    pub executed: bool,
    /// The agent's status after that.
    pub heartbeat: Heartbeat,
}

/// Client of the agents, for direct calls. Each call has a timeout.
pub trait AgentClient: Send + Sync {
    /// Sends commands, which the agent executes if neither token nor epoch is outdated.
    fn send_commands<'a>(
        &'a self,
        address: &'a str,
        token: FencingToken,
        epoch: AgentEpoch,
        commands: &'a [Command],
    ) -> BoxFuture<'a, Result<CommandResponse, NoResponse>>;

    /// Returns the current status of the agent at this address.
    fn inspect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Heartbeat, NoResponse>>;
}
