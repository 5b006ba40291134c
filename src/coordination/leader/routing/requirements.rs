//! Requirements that decide whether a task fits on any machine.

use crate::storage::{JobKind, JobSpec, TypeName, ZoneName};

/// Requirements of tasks on a machine. If a task finds no machine in a pass, no other task with
/// equal requirements does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementRequirements {
    /// Bit patterns of CPUs, GPUs and memory, which can be compared for equality.
    size_bits: [u64; 3],
    spot: bool,
    service: bool,
    /// Whether the placement depends on other tasks of the job (zone constraint or gang).
    constrained: bool,
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
            // Draining machines take no services, only tasks that end in time.
            service: spec.kind == JobKind::Service,
            constrained: spec.is_zone_bound() || spec.kind == JobKind::Gang,
            zone: spec.zone.clone(),
            types: spec.types.clone(),
        }
    }
}
