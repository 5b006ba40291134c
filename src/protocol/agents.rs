//! Messages of the agents: heartbeats with the statuses of their tasks, and the commands
//! they get in answer to these or straight from a shard's owner. The HTTP server and the
//! transport layer's agent client read and write them.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::clients::{Command, Exit, Heartbeat, TaskState, TaskStatus},
    protocol::seconds,
    storage::{AgentEpoch, Attempt, ControllerName, MachineId, TaskId, Token, TypeName, ZoneName},
};

/// Where agents send heartbeats.
pub const HEARTBEAT_PATH: &str = "/hello";
/// Where an agent takes commands.
pub const COMMAND_PATH: &str = "/orders";
/// Where an agent shows its status.
pub const INSPECT_PATH: &str = "/inspect";

/// Longest machine id and address, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 100;

/// A heartbeat; also an agent's answer to commands and inspections.
#[derive(Debug, Deserialize)]
pub struct HeartbeatRequest {
    /// Id of the machine.
    #[serde(rename = "mount")]
    pub machine: String,
    /// Where the agent takes commands, as IP:PORT.
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
    /// Which life of the agent.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// Rises with every heartbeat and every answer of the agent within the epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the agent has obeyed.
    #[serde(rename = "bridle")]
    pub token: u64,
    /// Seconds until the cloud takes the spot machine back; absent: it was not announced.
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
    /// Which attempt at the task.
    #[serde(rename = "heat")]
    pub attempt: u64,
    /// The task's state.
    #[serde(rename = "stance")]
    pub state: String,
    /// Why the task has exited.
    #[serde(default)]
    pub cause: Option<String>,
}

/// Why a message is no heartbeat. Taking the part of it that is understood would lose
/// tasks.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// Not JSON, or not of the fields expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Not the id of a task.
    #[error("stride {0:?} is no task")]
    TaskId(String),
    /// A state that this version does not know.
    #[error("stance {0:?} is unknown")]
    TaskState(String),
    /// A machine id or an address that is empty or too long.
    #[error("mount or addr is too long or empty")]
    Identifier,
}

/// Reads a heartbeat.
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
            kind: TypeName::new(request.machine_type),
            zone: ZoneName::new(request.zone),
            spot: request.spot,
            epoch: AgentEpoch(request.epoch),
            sequence: request.sequence,
            token: Token(request.token),
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

/// None: a state that this version does not know.
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

/// What a command asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandAction {
    /// Run the task.
    Start,
    /// Save the task's progress and stop it.
    #[serde(rename = "kill")]
    Stop,
    /// Forget the task, which has exited.
    Clear,
}

/// A command about one task.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandMessage {
    /// What to do.
    #[serde(rename = "call")]
    pub action: CommandAction,
    /// Id of the task, as JOB/INDEX.
    #[serde(rename = "stride")]
    pub task: String,
    /// Which attempt at the task.
    #[serde(rename = "heat")]
    pub attempt: u64,
    /// Seconds that a task which is stopped has to save its progress.
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

/// Answer to a heartbeat by the owner of the machine's shard.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The owner's fencing token.
    #[serde(rename = "bridle")]
    pub token: u64,
    /// To be executed in this order.
    #[serde(rename = "calls")]
    pub commands: Vec<CommandMessage>,
}

impl HeartbeatReply {
    /// An answer with the owner's token.
    pub fn new(token: Token, commands: &[Command]) -> Self {
        Self {
            token: token.0,
            commands: commands.iter().map(CommandMessage::from).collect(),
        }
    }
}

/// Commands sent straight to an agent.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommandRequest {
    /// The owner's fencing token: commands of a lower one than the agent knows are refused.
    #[serde(rename = "bridle")]
    pub token: u64,
    /// The life of the agent that the commands are for: another one refuses them.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// To be executed in this order.
    #[serde(rename = "calls")]
    pub commands: Vec<CommandMessage>,
}

impl CommandRequest {
    /// Commands of the owner with this token to this life of the agent.
    pub fn new(token: Token, epoch: AgentEpoch, commands: &[Command]) -> Self {
        Self {
            token: token.0,
            epoch: epoch.0,
            commands: commands.iter().map(CommandMessage::from).collect(),
        }
    }
}

/// Answer to a heartbeat by a controller that does not own the machine's shard.
#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    /// The owner, if it is known.
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
