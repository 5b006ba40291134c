//! What decides whether a task has room somewhere.

use crate::storage::{JobKind, JobSpec, TypeName, ZoneName};

/// What tasks need of a machine. Where one has found no room, none just like it does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementRequirements {
    /// The bits of CPUs, GPUs and memory, which can be compared for equality.
    size_bits: [u64; 3],
    spot: bool,
    service: bool,
    /// Bound to zones, or to other tasks of its gang.
    bound: bool,
    zone: Option<ZoneName>,
    types: Option<Vec<TypeName>>,
}

impl PlacementRequirements {
    /// The requirements of a job's tasks.
    pub(super) fn of(spec: &JobSpec) -> Self {
        let size = &spec.per_task;
        Self {
            size_bits: [size.cpus, size.gpus, size.memory].map(f64::to_bits),
            spot: spec.spot,
            // A draining machine takes an array's short tasks only.
            service: spec.kind == JobKind::Service,
            bound: spec.is_zone_bound() || spec.kind == JobKind::Gang,
            zone: spec.zone.clone(),
            types: spec.types.clone(),
        }
    }
}
