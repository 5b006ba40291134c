//! What a controller has asked for and been asked for, and what its leader has planned.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant as StdInstant},
};

use quota::{Deficits, Donor, Refusal};
use tokio::{sync::oneshot, time::Instant};

use super::QuotaCounts;
use crate::{
    coordination::{
        clients::{QuotaRequest, QuotaResponse, QuotaTargets},
        config::Config,
    },
    storage::{AMOUNT_SLACK, ControllerName, Quota, Revision, TeamName},
};

/// Targets that the leader has not repeated for this long hold no more.
const TARGET_TTL: Duration = Duration::from_secs(3);
/// Less than this is not asked for: tasks fit without it.
const MIN_DEFICIT: f64 = AMOUNT_SLACK;

/// A budget that the leader has planned.
#[derive(Clone, Copy, Debug)]
struct Target {
    budget: Quota,
    expires_at: Instant,
}

/// What a controller has asked for and been asked for.
pub(super) struct State {
    /// Requests of others that wait for a decision.
    pub(super) donor: Donor<ControllerName, TeamName>,
    /// What we lack, and our own requests for it.
    pub(super) deficits: Deficits<ControllerName, TeamName>,
    /// Askers that wait for a decision, by the number of their request.
    askers: BTreeMap<(ControllerName, u64), oneshot::Sender<QuotaResponse>>,
    targets: BTreeMap<TeamName, Target>,
    /// The leader's claim that the targets come from; those of an earlier one are late.
    targets_leader: Revision,
    /// What became of requests since the last look.
    pub(super) counts: QuotaCounts,
}

impl State {
    /// Nothing asked, nothing known.
    pub(super) fn new(config: &Config) -> Self {
        let controllers = config.peers.iter().map(|(name, _)| name.clone());
        let teams = config.teams.iter().map(|team| team.name.clone());
        Self {
            donor: Donor::new(controllers, teams),
            deficits: Deficits::new(config.name.clone(), config.incarnation.0),
            askers: BTreeMap::new(),
            targets: BTreeMap::new(),
            targets_leader: Revision(0),
            counts: QuotaCounts::default(),
        }
    }

    /// Takes a request in; the answer comes from the owner's loop.
    pub(super) fn receive(
        &mut self,
        request: QuotaRequest,
    ) -> Result<oneshot::Receiver<QuotaResponse>, Refusal> {
        let key = (request.recipient.clone(), request.number);
        self.donor.receive(request)?;
        self.askers.retain(|_, asker| !asker.is_closed());
        let (asker, answer) = oneshot::channel();
        self.askers.insert(key, asker);
        Ok(answer)
    }

    /// A request of another controller is decided: its asker is told.
    pub(super) fn decided(&mut self, request: &QuotaRequest, answer: QuotaResponse) {
        match &answer {
            QuotaResponse::Granted(_) => self.counts.given += 1,
            QuotaResponse::Refused(_) => self.counts.refused += 1,
            QuotaResponse::Undecided => {}
        }
        let key = (request.recipient.clone(), request.number);
        if let Some(asker) = self.askers.remove(&key) {
            // One that has given up reads the records.
            let _ = asker.send(answer);
        }
    }

    /// Keeps the leader's targets; false if they are those of an earlier leader.
    pub(super) fn accept_targets(&mut self, targets: QuotaTargets, now: Instant) -> bool {
        if targets.leader < self.targets_leader {
            return false;
        }
        if targets.leader > self.targets_leader {
            self.targets.clear();
            self.targets_leader = targets.leader;
        }
        let expires_at = now + TARGET_TTL;
        for (team, budget) in targets.budgets {
            self.targets.insert(team, Target { budget, expires_at });
        }
        true
    }

    /// The budget that the leader has planned for us, if it still holds.
    pub(super) fn target(&self, team: &TeamName, now: Instant) -> Option<Quota> {
        let target = self.targets.get(team)?;
        (target.expires_at > now).then_some(target.budget)
    }

    /// The counts since the last call, and for how long the oldest deficit has lasted.
    pub(super) fn take_counts(&mut self, now: Instant) -> (QuotaCounts, Option<Duration>) {
        let oldest = self.deficits.oldest_age(now.into_std());
        (std::mem::take(&mut self.counts), oldest)
    }

    /// Notes how much quota of a team we lack now.
    pub(super) fn note_deficit(&mut self, team: &TeamName, deficit: Quota, now: StdInstant) {
        if deficit.exceeds(MIN_DEFICIT) {
            self.deficits.report(team, deficit, now);
        } else if let Some(lasted) = self.deficits.clear(team, now) {
            tracing::debug!(%team, ms = lasted.as_millis() as u64, "quota deficit met");
        }
    }
}
