//! Agents' messages.

use serde::{Deserialize, Serialize};

use crate::{
    coordination::clients::{Command, Exit, Heartbeat, TaskState, TaskStatus},
    protocol::seconds,
    storage::{AgentEpoch, Attempt, MachineId, TaskId, Token, TypeName, ZoneName},
};

#[derive(Debug, Deserialize, Serialize)]
pub struct Hello {
    pub mount: String,
    pub addr: String,
    pub breed: String,
    pub paddock: String,
    #[serde(default)]
    pub loaners: bool,
    pub tenure: u64,
    pub tally: u64,
    pub bridle: u64,
    #[serde(default)]
    pub recall_s: Option<f64>,
    #[serde(default)]
    pub strides: Vec<Stride>,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Stride {
    pub stride: String,
    pub heat: u64,
    pub stance: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}

fn state(stride: &Stride) -> Option<TaskState> {
    Some(match stride.stance.as_str() {
        "fetching" | "waiting" => TaskState::Fetching,
        "running" => TaskState::Running,
        "flushing" => TaskState::Saving,
        "exited" => TaskState::Exited(match stride.cause.as_deref() {
            Some("done") => Exit::Done,
            Some("halted") => Exit::Stopped,
            Some("error") => Exit::Failed,
            Some("full") => Exit::NoRoom,
            Some("busy") => Exit::Busy,
            Some("unknown") => Exit::Unknown,
            _ => Exit::Other,
        }),
        _ => return None,
    })
}

impl Hello {
    /// None: not a heartbeat that we understand; taking part of it would lose tasks.
    pub fn into_heartbeat(self) -> Option<Heartbeat> {
        let mut tasks = Vec::with_capacity(self.strides.len());
        for stride in &self.strides {
            tasks.push(TaskStatus {
                task: TaskId::parse(&stride.stride)?,
                attempt: Attempt(stride.heat),
                state: state(stride)?,
            });
        }
        if self.mount.is_empty() || self.mount.len() > 100 || self.addr.len() > 100 {
            return None;
        }
        Some(Heartbeat {
            machine: MachineId::new(self.mount),
            address: self.addr,
            kind: TypeName::new(self.breed),
            zone: ZoneName::new(self.paddock),
            spot: self.loaners,
            epoch: AgentEpoch(self.tenure),
            sequence: self.tally,
            token: Token(self.bridle),
            notice: self.recall_s.and_then(seconds),
            tasks,
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    pub call: String,
    pub stride: String,
    pub heat: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cooldown_s: Option<f64>,
}

impl From<&Command> for Call {
    fn from(command: &Command) -> Self {
        let (call, task, attempt, cooldown_s) = match command {
            Command::Start { task, attempt } => ("start", task, attempt, None),
            Command::Stop {
                task,
                attempt,
                grace,
            } => ("kill", task, attempt, Some(grace.as_secs_f64())),
            Command::Clear { task, attempt } => ("clear", task, attempt, None),
        };
        Call {
            call: call.into(),
            stride: task.to_string(),
            heat: attempt.0,
            cooldown_s,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    pub bridle: u64,
    pub calls: Vec<Call>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Orders {
    pub bridle: u64,
    pub tenure: u64,
    pub calls: Vec<Call>,
}

#[derive(Debug, Serialize)]
pub struct Elsewhere<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub groom: Option<&'a str>,
}

#[cfg(test)]
mod tests;
