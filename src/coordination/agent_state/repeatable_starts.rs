//! Direct starts that the agent would execute once more if a copy of their request arrived.
//!
//! A copy of a request may arrive long after the request was carried out, also after the process
//! that sent it has ended. It has no effect while the agent lists the attempt, but an agent does
//! not remember an attempt that was cleared, and would run it again. It rejects the copy once it
//! has seen a higher fencing token, or in a later epoch.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::storage::{AgentEpoch, Attempt, FencingToken, TaskId};

/// How long the clear of a task that has to run once more may be held back before the fencing token
/// is raised: until then the task cannot be placed on this machine.
const RETRY_CLEAR_TIMEOUT: Duration = Duration::from_millis(500);
/// How long other clears may be held back. One higher token serves all clears on the machines of a
/// shard, but costs a change of the state service and a heartbeat of each agent.
const CLEAR_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of clears held back on one machine at which the fencing token is raised at once: the
/// agent lists all of these tasks in every heartbeat.
const MAX_HELD_CLEARS: usize = 128;

/// What decides whether the agent still executes a direct start.
#[derive(Clone, Copy, Debug)]
struct SentStart {
    token: FencingToken,
    epoch: AgentEpoch,
}

/// The direct starts that the agent does not reject yet, by task and attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct RepeatableStarts(BTreeMap<(TaskId, Attempt), SentStart>);

impl RepeatableStarts {
    /// Notes a direct start.
    pub(super) fn note(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        token: FencingToken,
        epoch: AgentEpoch,
    ) {
        self.0.insert((task, attempt), SentStart { token, epoch });
    }

    /// Removes the starts that the agent rejects, since it has seen this token in this epoch.
    pub(super) fn remove_rejected(&mut self, token: FencingToken, epoch: AgentEpoch) {
        self.0
            .retain(|_, start| start.token >= token && start.epoch >= epoch);
    }

    /// Returns the fencing token of the start of this attempt, if the agent would execute a copy
    /// of it.
    pub(super) fn token_of(&self, task: &TaskId, attempt: Attempt) -> Option<FencingToken> {
        let start = self.0.get(&(task.clone(), attempt))?;
        Some(start.token)
    }
}

/// The clears that are held back on one machine until its agent has seen a higher fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldClears {
    /// The highest fencing token of the starts that the clears wait for.
    pub token: FencingToken,
    /// Number of clears.
    pub count: usize,
    /// Whether one of the tasks has to run once more.
    pub has_retries: bool,
    /// Since when clears have been held back for this token.
    pub since: Instant,
}

impl HeldClears {
    /// Adds a clear that waits for a token above this one; `is_retried`: its task has to run once
    /// more.
    pub(super) fn add(
        held: Option<Self>,
        token: FencingToken,
        is_retried: bool,
        now: Instant,
    ) -> Self {
        let held = held.unwrap_or(Self {
            token,
            count: 0,
            has_retries: false,
            since: now,
        });
        Self {
            token: held.token.max(token),
            count: held.count + 1,
            has_retries: held.has_retries || is_retried,
            since: held.since,
        }
    }

    /// Whether the fencing token is to be raised for these clears.
    pub fn is_due(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        self.count >= MAX_HELD_CLEARS
            || age > CLEAR_TIMEOUT
            || (self.has_retries && age > RETRY_CLEAR_TIMEOUT)
    }
}
