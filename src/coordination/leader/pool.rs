//! What the policy counts as one machine type.

use std::fmt;

use crate::storage::{TypeName, ZoneName, records::MachineRecord};

/// Machines that are alike to the tasks that wait for them: of one type, spot or
/// ordinary, and for tasks that are bound to zones in one zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool {
    /// The cloud's machine type.
    pub kind: TypeName,
    /// Whether its machines are spot machines.
    pub spot: bool,
    /// The zone that its tasks need. None: they may be in any.
    pub zone: Option<ZoneName>,
}

impl Pool {
    /// Whether a machine belongs to it.
    pub fn contains(&self, machine: &MachineRecord) -> bool {
        machine.kind == self.kind
            && machine.spot == self.spot
            && self.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
    }
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{}/{kind}", self.kind)?;
        match &self.zone {
            Some(zone) => write!(f, "/{zone}"),
            None => Ok(()),
        }
    }
}

/// Machines of a pool that the policy wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedMachines {
    /// What to provision.
    pub pool: Pool,
    /// How many machines.
    pub count: u32,
}

/// A provision request of machines of a pool that the policy wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProvisionPlan {
    /// What to provision.
    pub pool: Pool,
    /// Where to provision it.
    pub zone: ZoneName,
    /// How many machines.
    pub count: u32,
}

/// Waiting tasks that suit one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suited {
    /// The pool.
    pub pool: Pool,
    /// How many tasks.
    pub tasks: u32,
}
