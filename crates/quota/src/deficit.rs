//! The recipient's side of transfers: which quota the controller lacks, and which donor to
//! request it from.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{Quota, Refusal, TransferRequest};

/// A request without a response for this long is considered lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A deficit that has not been reported again for this long is dropped.
const DEFICIT_TTL: Duration = Duration::from_secs(3);
/// Minimum time before the next request to a donor that had nothing to spare, was busy, or
/// found the request outdated.
const REFUSED_BACKOFF: Duration = Duration::from_millis(400);
/// Minimum time before the next request to a donor that did not respond, was not ready, or
/// found the request invalid.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_secs(2);

/// The recipient's estimate of what another controller could give.
#[derive(Clone, Debug, PartialEq)]
pub struct DonorView<C, T> {
    /// The controller that would give quota.
    pub donor: C,
    /// Estimated unused quota of that controller, by team.
    pub spare: BTreeMap<T, Quota>,
}

/// A request and the controller to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest<C, T> {
    /// The controller that receives the request.
    pub donor: C,
    /// The request.
    pub request: TransferRequest<C, T>,
}

/// Result of a request, as the recipient knows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// The transferred amounts, by team.
    Granted(BTreeMap<T, Quota>),
    /// The donor refused the request, and nothing has changed.
    Refused(Refusal),
    /// There was no usable response: the transfer may have been committed, or may still be.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Deficit {
    amount: Quota,
    since: Instant,
    last_reported: Instant,
}

/// A request that has been sent and not yet answered.
#[derive(Clone, Debug, PartialEq)]
struct Pending<C> {
    donor: C,
    number: u64,
    sent: Instant,
}

/// The quota that one controller lacks, and its pending request for it. At most one request
/// is pending at a time: each transfer changes the recipient's allocation record, which
/// invalidates the placements that the recipient has planned with the previous revision.
#[derive(Clone, Debug)]
pub struct Deficits<C, T> {
    recipient: C,
    incarnation: u64,
    last_number: u64,
    deficits: BTreeMap<T, Deficit>,
    pending: Option<Pending<C>>,
    /// Donors that are not asked again before a time.
    backoffs: BTreeMap<C, Instant>,
}

impl<C: Clone + Ord, T: Clone + Ord> Deficits<C, T> {
    /// Returns an empty set of deficits for one incarnation (process) of a controller.
    pub fn new(recipient: C, incarnation: u64) -> Self {
        Self {
            recipient,
            incarnation,
            last_number: 0,
            deficits: BTreeMap::new(),
            pending: None,
            backoffs: BTreeMap::new(),
        }
    }

    /// Reports the current deficit of a team. An amount that cannot be requested, such as
    /// zero, removes the team's deficit.
    pub fn report(&mut self, team: &T, amount: Quota, now: Instant) {
        if !amount.is_requestable() {
            self.deficits.remove(team);
            return;
        }
        let since = self.deficits.get(team).map_or(now, |known| known.since);
        let deficit = Deficit {
            amount,
            since,
            last_reported: now,
        };
        self.deficits.insert(team.clone(), deficit);
    }

    /// Removes a team's deficit, and returns how long it lasted.
    pub fn clear(&mut self, team: &T, now: Instant) -> Option<Duration> {
        let deficit = self.deficits.remove(team)?;
        Some(now.saturating_duration_since(deficit.since))
    }

    /// Whether there are no deficits.
    pub fn is_empty(&self) -> bool {
        self.deficits.is_empty()
    }

    /// Returns how long the oldest deficit has lasted.
    pub fn oldest_age(&self, now: Instant) -> Option<Duration> {
        let since = self.deficits.values().map(|deficit| deficit.since).min()?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns the next request to send. There is none while a request is pending, without a
    /// deficit, or if no donor that may be asked now is estimated to have unused quota of a
    /// team with a deficit. Of several donors, the one with the largest request is chosen.
    pub fn next_request(
        &mut self,
        donors: &[DonorView<C, T>],
        now: Instant,
    ) -> Option<OutgoingRequest<C, T>> {
        self.expire(now);
        if self.pending.is_some() || self.deficits.is_empty() {
            return None;
        }
        let (view, wanted) = donors
            .iter()
            .filter(|view| !self.backoffs.contains_key(&view.donor))
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
            donor: view.donor.clone(),
            number: self.last_number,
            sent: now,
        });
        Some(OutgoingRequest {
            donor: view.donor.clone(),
            request: TransferRequest {
                recipient: self.recipient.clone(),
                incarnation: self.incarnation,
                number: self.last_number,
                wanted,
            },
        })
    }

    /// Records the outcome of the pending request. Outcomes of earlier requests are ignored.
    pub fn record_outcome(&mut self, number: u64, outcome: &Outcome<T>, now: Instant) {
        let is_pending = |pending: &Pending<C>| pending.number == number;
        let Some(pending) = self.pending.take_if(|pending| is_pending(pending)) else {
            return;
        };
        let backoff = match outcome {
            Outcome::Granted(amounts) => {
                for (team, amount) in amounts {
                    self.reduce(team, amount);
                }
                return;
            }
            // Either allocation record has changed: the request may be repeated as soon as the
            // recipient has read the current ones.
            Outcome::Refused(Refusal::Conflict) => return,
            Outcome::Refused(Refusal::NothingToSpare | Refusal::Busy | Refusal::Outdated) => {
                REFUSED_BACKOFF
            }
            Outcome::Refused(_) | Outcome::Lost => UNAVAILABLE_BACKOFF,
        };
        self.backoffs.insert(pending.donor, now + backoff);
    }

    fn reduce(&mut self, team: &T, amount: &Quota) {
        if let Some(deficit) = self.deficits.get_mut(team) {
            deficit.amount = deficit.amount.minus(amount).at_least_zero();
            if !deficit.amount.is_requestable() {
                self.deficits.remove(team);
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        self.backoffs.retain(|_, until| *until > now);
        self.deficits
            .retain(|_, deficit| now.duration_since(deficit.last_reported) < DEFICIT_TTL);
        let is_lost = |pending: &mut Pending<C>| {
            now.saturating_duration_since(pending.sent) > RESPONSE_TIMEOUT
        };
        if let Some(lost) = self.pending.take_if(is_lost) {
            self.backoffs.insert(lost.donor, now + UNAVAILABLE_BACKOFF);
        }
    }

    /// Returns the full deficits of all teams for which the donor is estimated to have unused
    /// quota. They are not capped by the estimate: the donor knows best what it can give.
    fn wanted_from(&self, view: &DonorView<C, T>) -> BTreeMap<T, Quota> {
        self.deficits
            .iter()
            .filter(|(team, deficit)| {
                let spare = view.spare.get(*team).copied().unwrap_or_default();
                deficit.amount.min(&spare).exceeds(0.0)
            })
            .map(|(team, deficit)| (team.clone(), deficit.amount))
            .collect()
    }
}
