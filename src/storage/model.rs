//! The model of jobs, resources, machine types and teams.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use quota::{AMOUNT_SLACK, Quota};
use serde::{Deserialize, Serialize};

use crate::storage::{
    ids::{ClassName, ImageName, TeamName, TypeName, ZoneName},
    keys,
};

/// Amounts of resources, such as those that a task needs or that a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory: f64,
}

impl Resources {
    /// Whether this amount does not exceed `available`, within [`AMOUNT_SLACK`].
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + AMOUNT_SLACK
            && self.gpus <= available.gpus + AMOUNT_SLACK
            && self.memory <= available.memory + AMOUNT_SLACK
    }

    /// Multiplies each amount by `n`.
    pub fn times(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn at_most(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns how many times this amount fits into `available`.
    pub fn count_in(&self, available: &Resources) -> u32 {
        let count = |available: f64, needed: f64| {
            if needed <= AMOUNT_SLACK {
                u32::MAX as f64
            } else {
                ((available + AMOUNT_SLACK) / needed).floor().max(0.0)
            }
        };
        count(available.cpus, self.cpus)
            .min(count(available.gpus, self.gpus))
            .min(count(available.memory, self.memory)) as u32
    }
}

impl std::ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }
}

impl std::ops::SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }
}

impl From<&Resources> for Quota {
    fn from(resources: &Resources) -> Self {
        Self {
            cpus: resources.cpus,
            gpus: resources.gpus,
        }
    }
}

/// The kind of a job: how its tasks depend on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each running to completion.
    Array,
    /// Tasks that must run at the same time and are placed together.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// The priority of a job, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Uses capacity that other jobs leave idle.
    BestEffort,
    /// The default.
    Normal,
    /// Ahead of normal jobs.
    Urgent,
    /// Ahead of all other jobs.
    Production,
}

/// The spec of an accepted job, as stored in the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its class, by which objectives are set and run times are estimated.
    pub class: ClassName,
    /// The team whose quota it uses.
    pub team: TeamName,
    /// How its tasks depend on each other.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// Number of its tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub per_task: Resources,
    /// The image that each task runs.
    pub image: ImageName,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// The machine types that it may run on; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeName>>,
    /// The zone that its user requires; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneName>,
    /// Whether all its tasks must be in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Whether its tasks must be spread over zones, see [`JobSpec::zone_limit`].
    #[serde(default)]
    pub spread: bool,
    /// Whether it may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Its user's estimate of a task's run time.
    pub estimate: Duration,
    /// Interval between two checkpoints of a task; zero: its progress cannot be saved.
    pub checkpoint: Duration,
    /// How long a task takes to save its progress when it is stopped.
    pub save: Duration,
    /// Time after the job's acceptance within which the job should be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// When the job was accepted, in Unix milliseconds by the clock of the accepting controller.
    pub accepted_ms: u64,
    /// The zone that the leader has assigned to the job. Set if all its tasks must be in one
    /// zone and it has too many run records for a placement to be conditional on all of them.
    #[serde(rename = "home", default, skip_serializing_if = "Option::is_none")]
    pub assigned_zone: Option<ZoneName>,
}

impl JobSpec {
    /// Whether its tasks may run on machines of this type.
    pub fn allows_type(&self, name: &TypeName) -> bool {
        self.types.as_ref().is_none_or(|types| types.contains(name))
    }

    /// Whether its tasks may run in this zone.
    pub fn allows_zone(&self, name: &ZoneName) -> bool {
        let required = [&self.zone, &self.assigned_zone];
        required.into_iter().flatten().all(|zone| zone == name)
    }

    /// Whether the zones allowed for a task depend on the zones of the job's other tasks.
    pub fn is_zone_bound(&self) -> bool {
        self.one_zone || self.spread
    }

    /// Maximum number of its tasks in one zone: half of them, rounded up, if `spread` is set,
    /// else all.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether this is a best-effort array job: independent tasks of the lowest priority, which use
    /// capacity that other jobs leave idle, need not start promptly, and yield to any other job.
    pub fn is_best_effort_array(&self) -> bool {
        self.kind == JobKind::Array && self.priority == Priority::BestEffort
    }

    /// Number of run records for its tasks.
    pub fn run_record_count(&self) -> u32 {
        self.tasks.div_ceil(keys::TASKS_PER_RUN_RECORD)
    }

    /// Time since it was accepted.
    pub fn age(&self, now: SystemTime) -> Duration {
        now.duration_since(UNIX_EPOCH + Duration::from_millis(self.accepted_ms))
            .unwrap_or_default()
    }
}

/// How a job ended. It is written once and never changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All its tasks have completed.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// A machine type of the catalog.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: TypeName,
    /// The resources of one machine that tasks can use.
    pub size: Resources,
    /// Size of its image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which it fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of a machine, per hour.
    pub price: f64,
    /// Current price of a spot machine, per hour.
    pub spot_price: f64,
    /// Time from its provisioning until its agent is up.
    pub boot: Duration,
    /// The zones in which it is offered.
    pub zones: Vec<ZoneName>,
}

impl MachineType {
    /// Price of a machine per hour, of a spot machine if `spot` is set.
    pub fn hourly_price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// A team with its quotas.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// The quota that it gets whenever it has enough work to use it.
    pub guaranteed: Quota,
    /// The maximum that it may use.
    pub limit: Quota,
}
