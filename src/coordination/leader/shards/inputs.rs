//! Inputs of the shard plan other than the state cache.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    coordination::leader::routing::QuotaDemand,
    storage::{ControllerName, MachineId, Quota, ShardId, TeamName},
};

/// Inputs of the shard plan other than the state cache.
#[derive(Debug, Default)]
pub struct ShardPlanInputs {
    /// Shards that are to be leased to another controller, after they were cordoned.
    pub shard_moves: BTreeMap<ShardId, ControllerName>,
    /// Machines that are to be cordoned since they are being released.
    pub releasing: BTreeSet<MachineId>,
    /// The machines that are draining.
    pub draining_machines: BTreeSet<MachineId>,
    /// Machines that their owner cannot reach, each with the controller that can.
    pub owner_unreachable: BTreeMap<MachineId, ControllerName>,
    /// Controllers that recently lost contact with machines of theirs. They get new machines
    /// only if there is no other controller.
    pub avoided_owners: BTreeSet<ControllerName>,
    /// Quota that a controller lacks for tasks that it has capacity for.
    pub deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Quota that a controller is about to need in addition to what it uses, for tasks that
    /// start together at several controllers. If it were reclaimed, the controller would have
    /// a deficit next, and budgets would alternate between controllers.
    pub reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Maximum number of records that one commit may change.
    pub max_changes: usize,
    /// Whether controllers transfer quota to each other. The plan then contains targets instead
    /// of reclaiming unused budget.
    pub controllers_transfer: bool,
    /// Free capacity on each controller's machines.
    pub free_quota: BTreeMap<ControllerName, Quota>,
    /// Quota of tasks that are offered to controllers and not yet placed.
    pub in_flight: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks for which there is capacity but no quota, the most urgent first.
    pub demand: Vec<QuotaDemand>,
}
