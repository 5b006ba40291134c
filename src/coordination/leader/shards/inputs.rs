//! What the shard plan takes into account beside the replica.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    coordination::leader::routing::QuotaDemand,
    storage::{ControllerName, MachineId, Quota, ShardId, TeamName},
};

/// What the plan takes into account beside the cache.
#[derive(Debug, Default)]
pub struct ShardPlanInputs {
    /// Shards to be leased to another controller, which are cordoned first.
    pub moving: BTreeMap<ShardId, ControllerName>,
    /// Machines that stay cordoned.
    pub releasing: BTreeSet<MachineId>,
    /// The machines that are draining.
    pub draining_machines: BTreeSet<MachineId>,
    /// Machines whose owner has lost them while this controller hears them.
    pub owner_unreachable: BTreeMap<MachineId, ControllerName>,
    /// Controllers that have lately lost machines of theirs: they get no new ones
    /// as long as there are others.
    pub avoided_owners: BTreeSet<ControllerName>,
    /// Quota that a controller lacks for tasks that it has room for.
    pub deficit: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Quota that a controller is about to need beside what it uses, for tasks that
    /// begin together at several of them. Taken away, it would be lacking next, and
    /// budgets would alternate between controllers.
    pub reserved: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Records that one commit may change.
    pub max_changes: usize,
    /// Controllers transfer budgets to each other: the plan names targets in place of
    /// taking unused budget away.
    pub controllers_transfer: bool,
    /// What is free on each controller's machines.
    pub free: BTreeMap<ControllerName, Quota>,
    /// Quota of tasks that are under way to controllers.
    pub in_flight: BTreeMap<(ControllerName, TeamName), Quota>,
    /// Tasks with room that lack quota, the most pressing first.
    pub demand: Vec<QuotaDemand>,
}
