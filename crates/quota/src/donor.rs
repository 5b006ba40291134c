//! The donor's side of transfers: which requests are accepted, and how much may be given.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Quota, Refusal, TransferRequest};

/// Maximum number of requests that wait for the donor's next commit. Each controller has at
/// most one pending request, so that this suffices for more controllers than a deployment has.
pub const MAX_PENDING_REQUESTS: usize = 32;

/// Fraction of its unused quota that a donor gives even if less is requested, so that the
/// recipient's next deficit needs no further change of both records.
const MIN_GRANT_FRACTION: f64 = 0.5;

/// One controller's allocation of a team's limit, and how much of it is needed: the input of
/// its decisions as a donor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holding {
    /// The allocation according to the controller's record.
    pub allocated: Quota,
    /// Quota in use by its tasks, counted until they are proven to have ended.
    pub used: Quota,
    /// Quota that it is about to use, or that the leader's targets assign to it.
    pub reserved: Quota,
}

impl Holding {
    /// Returns the quota that may be given away, so that what remains is never less than what
    /// tasks use, nor less than what is reserved.
    pub fn spare(&self) -> Quota {
        let needed = self.used.max(&self.reserved);
        self.allocated.minus(&needed).at_least_zero()
    }

    /// Returns the amount to give to a controller that lacks `wanted`. If less than `wanted`
    /// would remain to spare, that is given as well: quota in pieces too small for a task
    /// would need a transfer from each controller that has one.
    pub fn grant(&self, wanted: &Quota) -> Quota {
        let spare = self.spare();
        let amount = |wanted: f64, spare: f64| {
            if wanted <= 0.0 {
                return 0.0;
            }
            let given = wanted.max(spare * MIN_GRANT_FRACTION).min(spare);
            if spare - given < wanted { spare } else { given }
        };
        Quota {
            cpus: amount(wanted.cpus, spare.cpus),
            gpus: amount(wanted.gpus, spare.gpus),
        }
    }
}

/// Identifies the latest accepted request of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LatestRequest {
    incarnation: u64,
    number: u64,
}

/// Queue of the transfer requests that a controller has accepted and not yet decided.
#[derive(Clone, Debug)]
pub struct Donor<C, T> {
    controllers: BTreeSet<C>,
    teams: BTreeSet<T>,
    latest: BTreeMap<C, LatestRequest>,
    waiting: VecDeque<TransferRequest<C, T>>,
}

impl<C: Clone + Ord, T: Clone + Ord> Donor<C, T> {
    /// Returns a donor that accepts requests from these other controllers for these teams.
    pub fn new(
        controllers: impl IntoIterator<Item = C>,
        teams: impl IntoIterator<Item = T>,
    ) -> Self {
        Self {
            controllers: controllers.into_iter().collect(),
            teams: teams.into_iter().collect(),
            latest: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Checks a request and queues it, to be decided at the donor's next commit.
    pub fn receive(&mut self, request: TransferRequest<C, T>) -> Result<(), Refusal> {
        self.check(&request)?;
        let latest = self.latest.get(&request.recipient);
        let is_outdated = latest.is_some_and(|latest| {
            latest.incarnation == request.incarnation && latest.number >= request.number
        });
        if is_outdated {
            return Err(Refusal::Outdated);
        }
        if self.waiting.len() >= MAX_PENDING_REQUESTS {
            return Err(Refusal::Busy);
        }
        let latest = LatestRequest {
            incarnation: request.incarnation,
            number: request.number,
        };
        self.latest.insert(request.recipient.clone(), latest);
        self.waiting.push_back(request);
        Ok(())
    }

    /// Removes and returns the request that has waited longest.
    pub fn next_request(&mut self) -> Option<TransferRequest<C, T>> {
        self.waiting.pop_front()
    }

    /// Whether any request is queued.
    pub fn has_requests(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn check(&self, request: &TransferRequest<C, T>) -> Result<(), Refusal> {
        if !self.controllers.contains(&request.recipient) {
            return Err(Refusal::UnknownController);
        }
        if request.wanted.is_empty() {
            return Err(Refusal::InvalidAmount);
        }
        for (team, amount) in &request.wanted {
            if !self.teams.contains(team) {
                return Err(Refusal::UnknownTeam);
            }
            if !amount.is_requestable() {
                return Err(Refusal::InvalidAmount);
            }
        }
        Ok(())
    }
}
