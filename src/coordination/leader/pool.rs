//! Pools: groups of machines that the scaling policy treats as one machine type.

use std::fmt;

use crate::storage::{TypeName, ZoneName, records::MachineRecord};

/// Machines that are equivalent for waiting tasks: of one type, either spot or on-demand, and in
/// one zone if the tasks are bound to zones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool {
    /// The cloud's machine type.
    pub machine_type: TypeName,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// The zone that the tasks need, or none if any zone will do.
    pub zone: Option<ZoneName>,
}

impl Pool {
    /// Whether a machine belongs to the pool.
    pub fn contains(&self, machine: &MachineRecord) -> bool {
        machine.machine_type == self.machine_type
            && machine.spot == self.spot
            && self.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
    }
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{}/{kind}", self.machine_type)?;
        match &self.zone {
            Some(zone) => write!(f, "/{zone}"),
            None => Ok(()),
        }
    }
}

/// Additional machines of a pool that the policy wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedMachines {
    /// The pool.
    pub pool: Pool,
    /// Number of machines.
    pub count: u32,
}

/// A planned provision request for machines of a pool in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProvisionPlan {
    /// The pool.
    pub pool: Pool,
    /// The zone in which to provision the machines.
    pub zone: ZoneName,
    /// Number of machines.
    pub count: u32,
}

/// Waiting tasks for which one pool is suitable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuitedTasks {
    /// The pool.
    pub pool: Pool,
    /// Number of tasks.
    pub tasks: u32,
}
