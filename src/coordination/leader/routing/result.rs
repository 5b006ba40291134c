//! What a routing pass has found out and decided.

use std::collections::BTreeMap;

use crate::{
    coordination::clients::Offer,
    storage::{ControllerName, JobId, Quota, TaskId, TeamName, ZoneName},
};

/// Tasks of a job that found no room.
#[derive(Clone, Debug)]
pub struct Unplaced {
    /// Their job.
    pub job: JobId,
    /// How many.
    pub tasks: u32,
    /// They wait longer than the start target, or will miss their deadline.
    pub overdue: bool,
}

/// What became of the waiting tasks in one pass, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoutingCounts {
    /// Offered to owners in this pass.
    pub offered: usize,
    /// Under way to owners since an earlier pass.
    pub under_way: usize,
    /// Beyond their team's limit.
    pub limited: usize,
    /// With room somewhere, which a next pass gives them.
    pub covered: usize,
    /// Without room anywhere.
    pub unplaced: usize,
    /// Left for a next pass.
    pub left: usize,
}

/// Tasks of a team for which owners have room, some of them without the quota for it.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaDemand {
    /// The team.
    pub team: TeamName,
    /// The tasks, by the owner that has room for them.
    pub tasks: ::quota::TaskDemand<ControllerName>,
}

/// The zone that a job of many records is confined to from now on; none: its zone has
/// no room, and another is to be chosen once none of its tasks can be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneAssignment {
    /// The job.
    pub job: JobId,
    /// Its zone; none: the assignment is taken back.
    pub zone: Option<ZoneName>,
}

/// The effects of a routing pass, for the leader to carry out.
#[derive(Debug, Default)]
pub struct RoutingResult {
    /// What became of the waiting tasks, for the log.
    pub counts: RoutingCounts,
    /// Tasks to offer to each owner.
    pub offers: BTreeMap<ControllerName, Vec<Offer>>,
    /// Tasks without room, by which machines are provisioned.
    pub unplaced: Vec<Unplaced>,
    /// Quota that an owner lacks for tasks that it has room for.
    pub deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks with room that lack quota somewhere, the most pressing first.
    pub demand: Vec<QuotaDemand>,
    /// Quota that an owner is about to need, beside what it uses.
    pub reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Jobs whose zone is to be written, or to be taken back.
    pub zone_assignments: Vec<ZoneAssignment>,
    /// Tasks of lower rank that owners are to stop for those of higher rank.
    pub preempt: BTreeMap<ControllerName, Vec<TaskId>>,
    /// Replicas for which room or quota was looked for by preemption.
    pub(super) preempting_replicas: usize,
    /// Tasks of the lowest priority that are told to stop.
    pub(super) reclaimed: usize,
    /// Tasks in the offers.
    pub(super) offered: usize,
    /// CPUs that are free and waited for.
    pub(super) claimed_cpus: f64,
}
