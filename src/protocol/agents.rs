//! Messages of the agents: heartbeats with the statuses of their tasks, and commands, which
//! agents receive in responses to heartbeats or directly from the owner of their shard. The
//! HTTP server and the transport layer's agent client read and write them.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::clients::{Command, Exit, Heartbeat, TaskState, TaskStatus},
    protocol::seconds,
    storage::{
        AgentEpoch, Attempt, ControllerName, FencingToken, MachineId, TaskId, TypeName, ZoneName,
    },
};

/// Path on a controller that accepts heartbeats of agents.
pub const HEARTBEAT_PATH: &str = "/hello";
/// Path on an agent that accepts commands.
pub const COMMAND_PATH: &str = "/orders";
/// Path on an agent that returns its status.
pub const INSPECT_PATH: &str = "/inspect";

/// Maximum length of a machine id and of an address, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 100;

/// A heartbeat; also an agent's response to commands and inspections.
#[derive(Debug, Deserialize)]
pub struct HeartbeatRequest {
    /// Id of the machine.
    #[serde(rename = "mount")]
    pub machine: String,
    /// Address at which the agent accepts commands, as IP:PORT.
    #[serde(rename = "addr")]
    pub address: String,
    /// Type of the machine.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "paddock")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(default, rename = "loaners")]
    pub spot: bool,
    /// The agent's epoch, which rises whenever its lease expires.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// Sequence number within the epoch; rises with every heartbeat and every response of the
    /// agent.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the agent has accepted.
    #[serde(rename = "bridle")]
    pub token: u64,
    /// Seconds until the cloud reclaims the spot machine; absent if no reclaim was announced.
    #[serde(default, rename = "recall_s")]
    pub notice_seconds: Option<f64>,
    /// All tasks that the agent knows of.
    #[serde(default, rename = "strides")]
    pub tasks: Vec<TaskEntry>,
}

/// A task in a heartbeat.
#[derive(Debug, Deserialize)]
pub struct TaskEntry {
    /// Id of the task, as JOB/INDEX.
    #[serde(rename = "stride")]
    pub task: String,
    /// Attempt of the task.
    #[serde(rename = "heat")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "stance")]
    pub state: String,
    /// Reason of the exit, if the task has exited.
    #[serde(default)]
    pub cause: Option<String>,
}

/// Why a heartbeat is rejected. It is rejected as a whole: if only the valid part of it were
/// applied, its other tasks would count as lost.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// The message is not JSON, or its fields or their types are wrong.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A task id is malformed.
    #[error("stride {0:?} is no task")]
    TaskId(String),
    /// A task's state is unknown to this version.
    #[error("stance {0:?} is unknown")]
    TaskState(String),
    /// The machine id is empty or too long, or the address is too long.
    #[error("mount or addr is too long or empty")]
    Identifier,
}

/// Parses a heartbeat.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    serde_json::from_slice::<HeartbeatRequest>(body)?.try_into()
}

impl TryFrom<HeartbeatRequest> for Heartbeat {
    type Error = HeartbeatError;

    fn try_from(request: HeartbeatRequest) -> Result<Self, HeartbeatError> {
        let tasks = request.tasks.into_iter().map(TaskStatus::try_from);
        let tasks = tasks.collect::<Result<Vec<TaskStatus>, HeartbeatError>>()?;
        if request.machine.is_empty()
            || request.machine.len() > MAX_IDENTIFIER_BYTES
            || request.address.len() > MAX_IDENTIFIER_BYTES
        {
            return Err(HeartbeatError::Identifier);
        }
        Ok(Heartbeat {
            machine: MachineId::new(request.machine),
            address: request.address,
            machine_type: TypeName::new(request.machine_type),
            zone: ZoneName::new(request.zone),
            spot: request.spot,
            epoch: AgentEpoch(request.epoch),
            sequence: request.sequence,
            token: FencingToken(request.token),
            notice: request.notice_seconds.and_then(seconds),
            tasks,
        })
    }
}

impl TryFrom<TaskEntry> for TaskStatus {
    type Error = HeartbeatError;

    fn try_from(entry: TaskEntry) -> Result<Self, HeartbeatError> {
        let Some(task) = TaskId::parse(&entry.task) else {
            return Err(HeartbeatError::TaskId(entry.task));
        };
        let Some(state) = task_state(&entry.state, entry.cause.as_deref()) else {
            return Err(HeartbeatError::TaskState(entry.state));
        };
        Ok(TaskStatus {
            task,
            attempt: Attempt(entry.attempt),
            state,
        })
    }
}

/// Converts a task's state on the wire. Returns `None` for an unknown state.
fn task_state(state: &str, cause: Option<&str>) -> Option<TaskState> {
    match state {
        "fetching" | "waiting" => Some(TaskState::Fetching),
        "running" => Some(TaskState::Running),
        "flushing" => Some(TaskState::Saving),
        "exited" => Some(TaskState::Exited(exit(cause))),
        _ => None,
    }
}

fn exit(cause: Option<&str>) -> Exit {
    match cause {
        Some("done") => Exit::Done,
        Some("halted") => Exit::Stopped,
        Some("error") => Exit::Failed,
        Some("full") => Exit::NoRoom,
        Some("busy") => Exit::Busy,
        Some("unknown") => Exit::Unknown,
        _ => Exit::Other,
    }
}

/// What an agent does with a task on a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandAction {
    /// Run the task.
    Start,
    /// Save the task's progress and stop it.
    #[serde(rename = "kill")]
    Stop,
    /// Remove the exited task from the list of tasks in the agent's heartbeats.
    Clear,
}

/// A command about one task.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandMessage {
    /// What to do with the task.
    #[serde(rename = "call")]
    pub action: CommandAction,
    /// Id of the task, as JOB/INDEX.
    #[serde(rename = "stride")]
    pub task: String,
    /// Attempt of the task.
    #[serde(rename = "heat")]
    pub attempt: u64,
    /// Seconds that the task has to save its progress before it is stopped; absent unless the
    /// command stops the task.
    #[serde(
        rename = "cooldown_s",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub grace_seconds: Option<f64>,
}

impl From<&Command> for CommandMessage {
    fn from(command: &Command) -> Self {
        let (action, task, attempt, grace) = match command {
            Command::Start { task, attempt } => (CommandAction::Start, task, attempt, None),
            Command::Stop {
                task,
                attempt,
                grace,
            } => (CommandAction::Stop, task, attempt, Some(grace)),
            Command::Clear { task, attempt } => (CommandAction::Clear, task, attempt, None),
        };
        CommandMessage {
            action,
            task: task.to_string(),
            attempt: attempt.0,
            grace_seconds: grace.map(std::time::Duration::as_secs_f64),
        }
    }
}

/// Response to a heartbeat by the owner of the machine's shard.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The owner's fencing token.
    #[serde(rename = "bridle")]
    pub token: u64,
    /// Commands, to be executed in this order.
    #[serde(rename = "calls")]
    pub commands: Vec<CommandMessage>,
}

impl HeartbeatReply {
    /// Creates a response with the owner's fencing token.
    pub fn new(token: FencingToken, commands: &[Command]) -> Self {
        Self {
            token: token.0,
            commands: commands.iter().map(CommandMessage::from).collect(),
        }
    }
}

/// Commands that a shard's owner sends directly to an agent.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandRequest {
    /// The owner's fencing token. An agent refuses commands with a lower token than the highest
    /// that it has accepted.
    #[serde(rename = "bridle")]
    pub token: u64,
    /// The agent's epoch for which the commands are meant. In any other epoch the agent refuses
    /// them.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// Commands, to be executed in this order.
    #[serde(rename = "calls")]
    pub commands: Vec<CommandMessage>,
}

impl CommandRequest {
    /// Creates a request of the owner with this token for an agent in this epoch.
    pub fn new(token: FencingToken, epoch: AgentEpoch, commands: &[Command]) -> Self {
        Self {
            token: token.0,
            epoch: epoch.0,
            commands: commands.iter().map(CommandMessage::from).collect(),
        }
    }
}

/// Response to a heartbeat by a controller that does not own the machine's shard.
#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    /// Name of the shard's owner, if it is known.
    #[serde(rename = "groom", skip_serializing_if = "Option::is_none")]
    pub owner: Option<&'a str>,
}

impl<'a> From<Option<&'a ControllerName>> for Redirect<'a> {
    fn from(owner: Option<&'a ControllerName>) -> Self {
        Self {
            owner: owner.map(ControllerName::as_str),
        }
    }
}

#[cfg(test)]
mod tests;
