//! Results of a routing pass.

use std::collections::BTreeMap;

use crate::{
    coordination::clients::Offer,
    storage::{ControllerName, JobId, Quota, TaskId, TeamName, ZoneName},
};

/// Tasks of a job that fit on no machine.
#[derive(Clone, Debug)]
pub struct UnplacedTasks {
    /// Their job.
    pub job: JobId,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether the tasks have waited longer than the start target or will miss their deadline.
    pub overdue: bool,
}

/// Number of waiting tasks by what the pass did with them, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoutingCounts {
    /// Offered to owners in this pass.
    pub offered: usize,
    /// Offered in an earlier pass and not yet placed.
    pub under_way: usize,
    /// Not routed, since they exceed their team's limit.
    pub limited: usize,
    /// Not offered although there is capacity, for lack of quota or because another owner
    /// writes their record; left to a later pass.
    pub covered: usize,
    /// Without capacity on any machine.
    pub unplaced: usize,
    /// Not processed in this pass because of its limits.
    pub left: usize,
}

/// Tasks of a team for which owners have capacity but may lack quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaDemand {
    /// The team.
    pub team: TeamName,
    /// The tasks, by the owner that has capacity for them.
    pub tasks: ::quota::TaskDemand<ControllerName>,
}

/// A zone assignment to write for a job that must be in one zone and is placed record by
/// record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneAssignment {
    /// The job.
    pub job: JobId,
    /// The zone that the job is confined to. `None` revokes the assignment of a zone without
    /// capacity; another zone is chosen once no task of the job can be in the old one.
    pub zone: Option<ZoneName>,
}

/// Decisions of a routing pass, which the leader carries out.
#[derive(Debug, Default)]
pub struct RoutingResult {
    /// Number of waiting tasks by what the pass did with them, for the log.
    pub counts: RoutingCounts,
    /// Tasks to offer to each owner.
    pub offers: BTreeMap<ControllerName, Vec<Offer>>,
    /// Tasks that fit on no machine, for which machines are provisioned.
    pub unplaced: Vec<UnplacedTasks>,
    /// Quota that an owner lacks for tasks that it has capacity for.
    pub deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks with capacity that lack quota, the most urgent first (in queue order).
    pub demand: Vec<QuotaDemand>,
    /// Quota that an owner will need in addition to its usage.
    pub reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Zone assignments to write or revoke.
    pub zone_assignments: Vec<ZoneAssignment>,
    /// Tasks that owners are to preempt.
    pub preempt: BTreeMap<ControllerName, Vec<TaskId>>,
    /// Number of tasks of the lowest priority that are to be preempted.
    pub(super) reclaimed: usize,
    /// Number of tasks in the offers.
    pub(super) offered: usize,
    /// Free CPUs that tasks without an offer are waiting for.
    pub(super) claimed_cpus: f64,
}
