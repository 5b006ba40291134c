//! Sending of an agent's heartbeats: schedule, target controller and handling of the reply.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use stallcove::{protocol::agents::HeartbeatReply, storage::jitter};
use tokio::time::Instant;

use super::{Machine, MachineState};
use crate::simulation::Simulation;

/// Minimum interval between a heartbeat and one that is sent early to report a change.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long an agent waits for the reply to a heartbeat.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the retry after a heartbeat without a usable reply.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Delay before the retry after a redirect to another controller.
const REDIRECT_PAUSE: Duration = Duration::from_millis(50);

/// A heartbeat that is in flight.
struct SentHeartbeat {
    /// The message as JSON.
    body: Value,
    /// The agent's epoch in the message.
    epoch: u64,
    sent_at: Instant,
}

impl Machine {
    /// Builds the next heartbeat message.
    pub(super) fn heartbeat(&self, state: &mut MachineState) -> Value {
        state.sequence += 1;
        let statuses: Vec<Value> = state
            .tasks
            .iter()
            .map(|(key, stage)| {
                json!({"stride": key.task.to_string(), "heat": key.attempt,
                    "stance": stage.wire_name(),
                    "cause": stage.exit_cause().map(super::stage::ExitCause::wire_name)})
            })
            .collect();
        let reclaimed_in_s = state
            .reclaimed_at
            .map(|at| (at - Instant::now()).as_secs_f64());
        json!({"mount": self.id, "addr": self.address(), "breed": self.kind.machine_type,
            "paddock": self.kind.zone, "loaners": self.kind.spot,
            "tenure": state.epoch, "tally": state.sequence, "bridle": state.token,
            "recall_s": reclaimed_in_s, "strides": statuses})
    }

    /// Spawns the sending of a heartbeat, unless none is due or one is in flight.
    pub(super) fn send_heartbeat_if_due(self: &Arc<Self>, simulation: &Arc<Simulation>) {
        let Some(heartbeat) = self.take_due_heartbeat(simulation) else {
            return;
        };
        let (machine, simulation) = (self.clone(), simulation.clone());
        tokio::spawn(async move { machine.send_heartbeat(&simulation, heartbeat).await });
    }

    fn take_due_heartbeat(&self, simulation: &Simulation) -> Option<SentHeartbeat> {
        let now = Instant::now();
        let mut state = self.lock();
        let is_early_due =
            state.has_unreported_change && now >= state.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL;
        let is_due = is_early_due || now >= state.next_heartbeat_at;
        if state.is_terminated || state.is_heartbeat_in_flight || !is_due {
            return None;
        }
        state.is_heartbeat_in_flight = true;
        state.has_unreported_change = false;
        state.last_heartbeat_at = now;
        state.next_heartbeat_at = now
            + simulation
                .heartbeat_interval
                .mul_f64(jitter::uniform(0.75, 1.25));
        Some(SentHeartbeat {
            body: self.heartbeat(&mut state),
            epoch: state.epoch,
            sent_at: now,
        })
    }

    async fn send_heartbeat(&self, simulation: &Arc<Simulation>, heartbeat: SentHeartbeat) {
        let sent_at = heartbeat.sent_at;
        if self.is_outbound_lost() {
            tokio::time::sleep_until(sent_at + RETRY_PAUSE).await;
            self.retry_at_next_controller();
            return;
        }
        let target = self.lock().target_controller;
        let names = simulation.controller_names();
        let name = names[target % names.len()].clone();
        let body = heartbeat.body.to_string();
        simulation.duplicate_heartbeat(&self.tags(), &body);
        let reply = tokio::time::timeout(
            REPLY_TIMEOUT,
            simulation.to_controller(&self.tags(), &name, "POST", "/hello", body),
        )
        .await;
        if self.is_hung() || self.is_terminated() {
            self.lock().is_heartbeat_in_flight = false;
            return;
        }
        if self.is_inbound_lost() {
            // The reply is lost: the next controller is tried after the timeout.
            tokio::time::sleep_until(sent_at + REPLY_TIMEOUT + RETRY_PAUSE).await;
            self.retry_at_next_controller();
            return;
        }
        let pause = match reply {
            Ok(Some((200, text))) => {
                self.apply_reply(simulation, &heartbeat, &text);
                return;
            }
            Ok(Some((421, text))) => self.follow_redirect(&text, &names, &name),
            _ => {
                self.lock().target_controller += 1;
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
        let mut state = self.lock();
        state.is_heartbeat_in_flight = false;
        state.next_heartbeat_at = Instant::now();
    }

    fn retry_at_next_controller(&self) {
        let mut state = self.lock();
        state.target_controller += 1;
        state.is_heartbeat_in_flight = false;
        state.next_heartbeat_at = Instant::now();
    }

    /// Renews the lease and executes the commands of a reply, if the heartbeat was sent in the
    /// current epoch and the reply's fencing token is not lower than the highest one seen.
    fn apply_reply(&self, simulation: &Simulation, heartbeat: &SentHeartbeat, text: &str) {
        let reply: HeartbeatReply =
            serde_json::from_str(text).expect("a controller sends valid heartbeat replies");
        let mut state = self.lock();
        // A lower token is no error: a command of a newer owner may have arrived first.
        if state.epoch == heartbeat.epoch && reply.token >= state.token {
            state.lease_renewed_at = state.lease_renewed_at.max(heartbeat.sent_at);
            self.execute(simulation, &mut state, reply.token, &reply.commands);
        }
        state.is_heartbeat_in_flight = false;
    }

    /// Makes the controller named in a redirect the next target, or the following controller if
    /// the redirect names no other one. Returns the delay before the retry.
    fn follow_redirect(&self, text: &str, names: &[String], redirected_by: &str) -> Duration {
        let redirect: Value =
            serde_json::from_str(text).expect("a controller sends valid redirects");
        let found = redirect["groom"]
            .as_str()
            .filter(|named| *named != redirected_by)
            .and_then(|named| names.iter().position(|name| name == named));
        let Some(index) = found else {
            self.lock().target_controller += 1;
            return RETRY_PAUSE;
        };
        self.lock().target_controller = index;
        REDIRECT_PAUSE
    }
}
