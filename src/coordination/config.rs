//! Validated configuration of a controller, in domain types. `protocol` reads it from the
//! settings files at startup; it does not change while the process runs.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use crate::{
    coordination::{clients::ProtocolVersion, policy::scale_in::PaidPeriods},
    storage::{ClassName, ControllerName, Incarnation, StateLimits, Team, TeamName, ZoneName},
};

/// The service-level objective of a job class.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class of jobs that the objective applies to. None: all classes.
    pub class: Option<ClassName>,
    /// Maximum time until the tasks of a job start. None: the objective sets no such time.
    pub start_within: Option<Duration>,
}

/// Tunable parameters of the scheduling policy. `docs/OPERATING.md` describes each.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Miss rate at or below which the fleet is scaled in (α).
    pub alpha: f64,
    /// Miss rate at or above which the fleet is scaled out (β).
    pub beta: f64,
    /// Interval between two evaluations of the miss rate against `alpha` and `beta`.
    pub evaluation_interval: Duration,
    /// Target for the start of a task: one that waits longer for capacity counts as a miss.
    pub start_target: Duration,
    /// Time window over which the miss rate is computed.
    pub miss_rate_window: Duration,
    /// Weight of a machine type's share of the misses in its demand, 0 to 1. The weight of its
    /// share of the queue is one minus this.
    pub miss_weight: f64,
    /// Demand for a machine type below which no machines of it are provisioned.
    pub demand_threshold: f64,
    /// Scale-out provisions a machine type only if its least-used machine is at or above this
    /// utilisation. Scale-in of a mixed fleet drains only machines below it.
    pub utilisation_threshold: f64,
    /// Weight of speed in the suitability of a machine type, 0 to 1. The weight of cost is one
    /// minus this.
    pub suitability_k: f64,
    /// Threshold θ of the remedial rule, which provisions machines between two evaluations.
    /// Higher values provision fewer machines.
    pub remedial_theta: f64,
    /// Evenness of the machine types at or above which the fleet counts as mixed.
    pub evenness_threshold: f64,
    /// The minimum period that a machine is paid for, and the periods after it.
    pub paid_periods: PaidPeriods,
    /// Time after which a controller's lease expires without renewal.
    pub controller_lease: Duration,
    /// Time after which a shard owner drops tasks that the leader has offered to it.
    pub offer_ttl: Duration,
    /// Time without a heartbeat after which a machine counts as unresponsive. None: derived
    /// from the heartbeat interval by [`Config::unresponsive_after`].
    pub unresponsive_after: Option<Duration>,
    /// Whether controllers transfer quota to each other directly.
    pub quota_transfers: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            alpha: 0.05,
            beta: 0.1,
            evaluation_interval: Duration::from_secs(10),
            start_target: Duration::from_secs(30),
            miss_rate_window: Duration::from_secs(60),
            miss_weight: 0.3,
            demand_threshold: 0.05,
            utilisation_threshold: 0.5,
            suitability_k: 0.3,
            remedial_theta: 10.0,
            evenness_threshold: 0.4,
            paid_periods: PaidPeriods {
                first: Duration::from_secs(60),
                renewal: Duration::from_secs(10),
            },
            controller_lease: Duration::from_secs(4),
            offer_ttl: Duration::from_secs(2),
            unresponsive_after: None,
            quota_transfers: false,
        }
    }
}

/// The configuration of one controller process.
#[derive(Clone)]
pub struct Config {
    /// Name of this controller.
    pub name: ControllerName,
    /// Zone that this controller runs in.
    pub zone: ZoneName,
    /// Identifies this process among the successive processes of the controller.
    pub incarnation: Incarnation,
    /// The other controllers with their zones.
    pub peers: Vec<(ControllerName, ZoneName)>,
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Service-level objectives of the job classes.
    pub objectives: Vec<Objective>,
    /// Mean interval between two heartbeats of an agent; each interval deviates by up to a
    /// quarter.
    pub heartbeat_interval: Duration,
    /// Time after which an agent's lease expires without renewal. The agent then stops its tasks.
    pub agent_lease: Duration,
    /// Maximum time from the cancellation of a job to the end of its last task.
    pub cancellation_deadline: Duration,
    /// Limits of the state service on requests, transactions and values.
    pub state_limits: StateLimits,
    /// Maximum number of requests per second to the cloud.
    pub cloud_rps: f64,
    /// Maximum age of the data in the cloud's inventory.
    pub max_inventory_lag: Duration,
    /// Maximum number of open connections of this process.
    pub max_connections: usize,
    /// Maximum number of machines in each in-memory table that the stored records do not bound;
    /// derived from the memory limit by [`max_tracked_machines`].
    pub max_tracked_machines: usize,
    /// Tunable parameters of the policy.
    pub tuning: Tuning,
    /// Protocol version that this process announces to its peers.
    pub protocol_version: ProtocolVersion,
    /// Source of the wall-clock time; simulations replace it.
    pub wall_clock: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

/// Number of tracked machines per MiB of memory. At about 2 KiB per machine they take at most
/// a quarter of the memory.
const TRACKED_MACHINES_PER_MIB: f64 = 128.0;
/// Minimum number of tracked machines, regardless of the memory limit: somewhat more than one
/// and a half times the largest supported fleet.
const MIN_TRACKED_MACHINES: usize = 8_192;
/// Maximum number of tracked machines, and the number without a memory limit.
const MAX_TRACKED_MACHINES: usize = 65_536;

/// Returns the number of machines that a process with this memory limit tracks.
pub fn max_tracked_machines(memory_mib: Option<f64>) -> usize {
    let Some(memory) = memory_mib else {
        return MAX_TRACKED_MACHINES;
    };
    ((memory * TRACKED_MACHINES_PER_MIB) as usize).clamp(MIN_TRACKED_MACHINES, MAX_TRACKED_MACHINES)
}

/// Part of [`Config::cancellation_deadline`] reserved for clock drift, timer delays and the latency
/// of a response.
const CANCEL_MARGIN: Duration = Duration::from_secs(3);

impl Tuning {
    /// Returns the protocol version that a process with these settings announces to its peers.
    pub fn protocol_version(&self) -> ProtocolVersion {
        if self.quota_transfers {
            ProtocolVersion::QUOTA_TRANSFERS
        } else {
            ProtocolVersion::CURRENT
        }
    }
}

impl Config {
    /// Returns the team of this name, if it is configured.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// Returns the wall-clock time in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        (self.wall_clock)()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }

    /// Returns how long a controller may renew agents' leases after it last confirmed that it
    /// knows of all cancellations. An agent's lease runs from the time it sent the heartbeat,
    /// which is before the response, so it expires at most `agent_lease` after the last
    /// response. `lease_renewal_window + agent_lease` is therefore below `cancellation_deadline` by
    /// `CANCEL_MARGIN`, which is many times the 0.05% drift of both clocks (under 0.1 s here).
    pub fn lease_renewal_window(&self) -> Duration {
        self.cancellation_deadline
            .saturating_sub(self.agent_lease)
            .saturating_sub(CANCEL_MARGIN)
    }

    /// Returns the time without a heartbeat after which a machine counts as unresponsive and is
    /// probed. Heartbeat intervals are up to a quarter longer than `heartbeat_interval`; the
    /// other 750 ms cover a heartbeat that is first sent to another controller, and the late
    /// response of a busy controller.
    pub fn unresponsive_after(&self) -> Duration {
        self.tuning
            .unresponsive_after
            .unwrap_or(self.heartbeat_interval.mul_f64(1.25) + Duration::from_millis(750))
    }

    /// Returns the maximum age at which an indirect heartbeat still shows which controller the
    /// agent sends its heartbeats to.
    pub fn indirect_heartbeat_max_age(&self) -> Duration {
        self.heartbeat_interval * 2
    }

    /// Returns the maximum interval between two heartbeats of a running agent.
    pub fn max_heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval.mul_f64(1.25) + Duration::from_millis(500)
    }

    /// Returns the time after which an agent whose heartbeats arrive, but do not show the token
    /// of the responses, counts as unable to receive. An agent shows a new token with its next
    /// heartbeat; the timeout allows for one lost response. It also bounds how long a machine
    /// that sends indirect heartbeats may fail probes from all controllers.
    pub fn command_path_timeout(&self) -> Duration {
        self.heartbeat_interval.mul_f64(2.5) + Duration::from_secs(1)
    }

    /// Returns the maximum number of unresponsive machines that are probed at a time. Every
    /// controller probes each of them, which takes one of its sockets for up to a second.
    pub fn max_concurrent_probes(&self) -> usize {
        (self.max_connections / 16).max(32)
    }

    /// Returns the number of configured controllers, including this one.
    pub fn controller_count(&self) -> usize {
        self.peers.len() + 1
    }
}
