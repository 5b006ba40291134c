//! What is asked for: jobs, resources, machine types, teams.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use quota::{AMOUNT_SLACK, Quota};
use serde::{Deserialize, Serialize};

use crate::storage::{
    ids::{ClassName, ImageName, TeamName, TypeName, ZoneName},
    keys,
};

/// What a task takes, or what a machine or a team has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor cores.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory: f64,
}

impl Resources {
    /// Whether there is room for this much, but for rounding.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + AMOUNT_SLACK
            && self.gpus <= room.gpus + AMOUNT_SLACK
            && self.memory <= room.memory + AMOUNT_SLACK
    }

    /// So many times as much.
    pub fn times(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }

    /// The lesser of both, in each resource.
    pub fn at_most(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// How many of `self` fit into `room` side by side.
    pub fn count_in(&self, room: &Resources) -> u32 {
        let part = |have: f64, want: f64| {
            if want <= AMOUNT_SLACK {
                u32::MAX as f64
            } else {
                ((have + AMOUNT_SLACK) / want).floor().max(0.0)
            }
        };
        part(room.cpus, self.cpus)
            .min(part(room.gpus, self.gpus))
            .min(part(room.memory, self.memory)) as u32
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

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each running to completion.
    Array,
    /// All tasks at once; placed whole.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// The priority of a job, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Uses what others leave.
    BestEffort,
    /// The usual one.
    Normal,
    /// Ahead of the usual ones.
    Urgent,
    /// Ahead of all others.
    Production,
}

/// An accepted job, as it is kept in the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its class, by which objectives and run times are kept.
    pub class: ClassName,
    /// The team whose quota it uses.
    pub team: TeamName,
    /// How its tasks belong together.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task takes of a machine.
    pub per_task: Resources,
    /// The image that each task runs.
    pub image: ImageName,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// The machine types that it may run on; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeName>>,
    /// The zone that its user wants; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneName>,
    /// All its tasks must be in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Its tasks must be spread over zones, see [`JobSpec::zone_limit`].
    #[serde(default)]
    pub spread: bool,
    /// It may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Its user's estimate of a task's run time.
    pub estimate: Duration,
    /// Between two checkpoints of a task; zero: its progress cannot be saved.
    pub checkpoint: Duration,
    /// How long a task takes to save its progress when it is stopped.
    pub save: Duration,
    /// When it is to be done, from when it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// Milliseconds of the time of day at the controller that accepted it.
    pub accepted_ms: u64,
    /// The zone that the leader has confined a job in one zone to, when it has too many
    /// records for a placement to depend on all of them.
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
        let wanted = [&self.zone, &self.assigned_zone];
        wanted.into_iter().flatten().all(|zone| zone == name)
    }

    /// Whether where a task may be depends on where the job's other tasks are.
    pub fn is_zone_bound(&self) -> bool {
        self.one_zone || self.spread
    }

    /// At most half of the tasks, rounded up, may be in one zone when `spread` is set.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Independent tasks of the lowest priority: they use what others leave, nobody waits
    /// for them at once, and any other work goes first.
    pub fn is_idle_work(&self) -> bool {
        self.kind == JobKind::Array && self.priority == Priority::BestEffort
    }

    /// Run records that its tasks take.
    pub fn records(&self) -> u32 {
        self.tasks.div_ceil(keys::CHUNK)
    }

    /// How long ago it was accepted.
    pub fn age(&self, now: SystemTime) -> Duration {
        now.duration_since(UNIX_EPOCH + Duration::from_millis(self.accepted_ms))
            .unwrap_or_default()
    }
}

/// How a job ended. Written once and never changed.
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
    /// Its name in the catalog.
    pub name: TypeName,
    /// What a machine of it has for tasks.
    pub size: Resources,
    /// Size of its cache of images, in GB.
    pub cache_gb: f64,
    /// How fast it fetches images, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price of a machine, per hour.
    pub price: f64,
    /// Current price of a spot machine, per hour.
    pub spot_price: f64,
    /// From its provisioning until its agent is up.
    pub boot: Duration,
    /// The zones in which it is offered.
    pub zones: Vec<ZoneName>,
}

impl MachineType {
    /// Price of a machine per hour, as a spot machine or not.
    pub fn rate(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// What a team is guaranteed and what it may use at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// What it gets whenever it has work for it.
    pub guaranteed: Quota,
    /// What it may use at most.
    pub limit: Quota,
}
