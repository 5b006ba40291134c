//! Transfers of quota between two controllers, each a single change of both their records.

use std::collections::BTreeMap;

use crate::{AMOUNT_SLACK, Holding, Quota, Refusal, TransferRequest};

/// The allocation record of one controller: how much of each team's limit it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocations<T> {
    /// Incarnation of the controller that owns the allocations; none if the leader has
    /// withdrawn them.
    pub owner: Option<u64>,
    /// Revision of the record.
    pub revision: u64,
    /// Budget of each team.
    pub budgets: BTreeMap<T, Quota>,
}

/// A record that must not have changed for a transfer to take effect, with the revision that
/// it had when the donor decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The donor's allocations. The donor plans its placements on the same revision, and moving
    /// machines with tasks to the donor changes it. Without this condition a transfer could
    /// give away quota that those tasks use.
    Donor(u64),
    /// The recipient's allocations, which the transfer overwrites.
    Recipient(u64),
    /// The leader record, which every election rewrites. A leader of an older version
    /// moves machines without the allocation for their tasks; its election makes all
    /// uncommitted transfers fail.
    Leader(u64),
    /// The donor's registration: a transfer of a partitioned or paused donor cannot take
    /// effect after the donor's lease has expired.
    Registration(u64),
}

/// A transfer that the donor has decided, with the new contents of both records.
#[derive(Clone, Debug, PartialEq)]
pub struct Transfer<C, T> {
    /// The controller that receives the quota.
    pub recipient: C,
    /// The transferred amounts, by team.
    pub amounts: BTreeMap<T, Quota>,
    /// The donor's budgets after the transfer.
    pub donor_budgets: BTreeMap<T, Quota>,
    /// The recipient's budgets after the transfer.
    pub recipient_budgets: BTreeMap<T, Quota>,
    /// The conditions of the commit.
    pub conditions: Vec<Condition>,
}

/// Only larger amounts are transferred: smaller ones come from the rounding of sums. It is
/// above [`AMOUNT_SLACK`]: a controller that lacks more than that cannot place its task,
/// however small the deficit is.
const MIN_TRANSFER: f64 = 4.0 * AMOUNT_SLACK;

impl<C: Clone, T: Clone + Ord> Transfer<C, T> {
    /// Decides a request. `holding` returns the donor's holding of a team's limit; its `used`
    /// must include every placement that the donor has committed or may have committed.
    /// `leader` and `registration` are the revisions of the leader record and of the donor's
    /// registration.
    pub fn decide(
        request: &TransferRequest<C, T>,
        donor: &Allocations<T>,
        recipient: &Allocations<T>,
        holding: impl Fn(&T) -> Holding,
        leader: u64,
        registration: u64,
    ) -> Result<Self, Refusal> {
        if recipient.owner != Some(request.incarnation) {
            return Err(Refusal::Outdated);
        }
        let amounts: BTreeMap<T, Quota> = request
            .wanted
            .iter()
            .map(|(team, wanted)| (team.clone(), holding(team).grant(wanted)))
            .filter(|(_, amount)| amount.exceeds(MIN_TRANSFER))
            .collect();
        if amounts.is_empty() {
            return Err(Refusal::NothingToSpare);
        }
        let mut donor_budgets = donor.budgets.clone();
        let mut recipient_budgets = recipient.budgets.clone();
        for (team, amount) in &amounts {
            let donor_budget = donor_budgets.entry(team.clone()).or_default();
            *donor_budget = donor_budget.minus(amount).at_least_zero();
            let recipient_budget = recipient_budgets.entry(team.clone()).or_default();
            *recipient_budget = recipient_budget.plus(amount);
        }
        Ok(Self {
            recipient: request.recipient.clone(),
            amounts,
            donor_budgets,
            recipient_budgets,
            conditions: vec![
                Condition::Donor(donor.revision),
                Condition::Recipient(recipient.revision),
                Condition::Leader(leader),
                Condition::Registration(registration),
            ],
        })
    }
}
