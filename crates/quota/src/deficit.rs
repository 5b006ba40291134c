//! The recipient's side of transfers: what is lacking, and whom to ask for it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{Quota, Refusal, TransferRequest};

/// A request without an answer by now is taken for lost.
const ANSWER_PATIENCE: Duration = Duration::from_millis(1500);
/// A shortage that nobody has named for this long is over.
const DEFICIT_TTL: Duration = Duration::from_secs(3);
/// A controller that had nothing to spare is not asked again for this long.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);
/// ... that gave no answer, or was not ready.
const LOST_PAUSE: Duration = Duration::from_secs(2);

/// What the recipient believes another controller could give.
#[derive(Clone, Debug, PartialEq)]
pub struct DonorView<C, T> {
    /// The controller.
    pub donor: C,
    /// What it seems to have to spare, by team.
    pub spare: BTreeMap<T, Quota>,
}

/// A request with the controller that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Addressed<C, T> {
    /// The controller that is asked.
    pub donor: C,
    /// What it is asked for.
    pub request: TransferRequest<C, T>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// Transferred, by team.
    Granted(BTreeMap<T, Quota>),
    /// Nothing has changed.
    Refused(Refusal),
    /// No answer: it may have been carried out, or may yet be.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Deficit {
    amount: Quota,
    since: Instant,
    named: Instant,
}

/// A request under way.
#[derive(Clone, Debug, PartialEq)]
struct Pending<C> {
    donor: C,
    number: u64,
    sent: Instant,
}

/// What one controller lacks, and whom it has asked. One request is under way at a time:
/// each transfer changes the recipient's own record, which voids its placements under way.
#[derive(Clone, Debug)]
pub struct Deficits<C, T> {
    recipient: C,
    process: u64,
    last_number: u64,
    lacking: BTreeMap<T, Deficit>,
    pending: Option<Pending<C>>,
    avoided: BTreeMap<C, Instant>,
}

impl<C: Clone + Ord, T: Clone + Ord> Deficits<C, T> {
    /// Of this process of a controller.
    pub fn new(recipient: C, process: u64) -> Self {
        Self {
            recipient,
            process,
            last_number: 0,
            lacking: BTreeMap::new(),
            pending: None,
            avoided: BTreeMap::new(),
        }
    }

    /// Notes that this much is lacking now. Amounts that cannot be asked for are over.
    pub fn note(&mut self, team: &T, amount: Quota, now: Instant) {
        if !amount.is_askable() {
            self.lacking.remove(team);
            return;
        }
        let since = self.lacking.get(team).map_or(now, |known| known.since);
        let deficit = Deficit {
            amount,
            since,
            named: now,
        };
        self.lacking.insert(team.clone(), deficit);
    }

    /// Nothing of this team's limit is lacking any more. Returns for how long it was.
    pub fn met(&mut self, team: &T, now: Instant) -> Option<Duration> {
        let deficit = self.lacking.remove(team)?;
        Some(now.saturating_duration_since(deficit.since))
    }

    /// Whether anything is lacking.
    pub fn is_empty(&self) -> bool {
        self.lacking.is_empty()
    }

    /// For how long the oldest shortage has lasted.
    pub fn oldest(&self, now: Instant) -> Option<Duration> {
        let since = self.lacking.values().map(|deficit| deficit.since).min()?;
        Some(now.saturating_duration_since(since))
    }

    /// The next request to send, if something is lacking, somebody seems to have it, and
    /// no request is under way.
    pub fn next_request(
        &mut self,
        donors: &[DonorView<C, T>],
        now: Instant,
    ) -> Option<Addressed<C, T>> {
        self.forget_outdated(now);
        if self.pending.is_some() || self.lacking.is_empty() {
            return None;
        }
        let (donor, wanted) = donors
            .iter()
            .filter(|view| !self.avoided.contains_key(&view.donor))
            .map(|view| (view, self.wanted_from(view)))
            .filter(|(_, wanted)| !wanted.is_empty())
            .max_by(|(_, a), (_, b)| {
                let sum = |wanted: &BTreeMap<T, Quota>| -> f64 {
                    wanted.values().map(|quota| quota.cpus + quota.gpus).sum()
                };
                sum(a).total_cmp(&sum(b))
            })?;
        self.last_number += 1;
        self.pending = Some(Pending {
            donor: donor.donor.clone(),
            number: self.last_number,
            sent: now,
        });
        Some(Addressed {
            donor: donor.donor.clone(),
            request: TransferRequest {
                recipient: self.recipient.clone(),
                process: self.process,
                number: self.last_number,
                wanted,
            },
        })
    }

    /// Notes what became of a request. Answers to earlier requests say nothing any more.
    pub fn answered(&mut self, number: u64, outcome: &Outcome<T>, now: Instant) {
        let is_pending = |pending: &Pending<C>| pending.number == number;
        let Some(pending) = self.pending.take_if(|pending| is_pending(pending)) else {
            return;
        };
        let pause = match outcome {
            Outcome::Granted(amounts) => {
                for (team, amount) in amounts {
                    self.reduce(team, amount);
                }
                return;
            }
            // Its records or ours have changed: the next look shows them.
            Outcome::Refused(Refusal::Conflict) => return,
            Outcome::Refused(Refusal::NothingToSpare | Refusal::Busy | Refusal::Outdated) => {
                REFUSED_PAUSE
            }
            Outcome::Refused(_) | Outcome::Lost => LOST_PAUSE,
        };
        self.avoided.insert(pending.donor, now + pause);
    }

    fn reduce(&mut self, team: &T, amount: &Quota) {
        if let Some(deficit) = self.lacking.get_mut(team) {
            deficit.amount = deficit.amount.minus(amount).at_least_zero();
            if !deficit.amount.is_askable() {
                self.lacking.remove(team);
            }
        }
    }

    fn forget_outdated(&mut self, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        self.lacking
            .retain(|_, deficit| now.duration_since(deficit.named) < DEFICIT_TTL);
        let is_lost = |pending: &mut Pending<C>| {
            now.saturating_duration_since(pending.sent) > ANSWER_PATIENCE
        };
        if let Some(lost) = self.pending.take_if(is_lost) {
            self.avoided.insert(lost.donor, now + LOST_PAUSE);
        }
    }

    /// All that is lacking and of which the donor seems to have some: it knows best what
    /// it can give.
    fn wanted_from(&self, view: &DonorView<C, T>) -> BTreeMap<T, Quota> {
        self.lacking
            .iter()
            .filter(|(team, deficit)| {
                let spare = view.spare.get(*team).copied().unwrap_or_default();
                deficit.amount.min(&spare).exceeds(0.0)
            })
            .map(|(team, deficit)| (team.clone(), deficit.amount))
            .collect()
    }
}
