//! What a controller is told at its start, checked and in domain terms. `protocol` reads it
//! from the settings files; it does not change while the process lives.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use crate::{
    coordination::{clients::ProtocolVersion, policy::scale_in::PaidPeriods},
    storage::{ClassName, ControllerName, Incarnation, StateLimits, Team, TeamName, ZoneName},
};

/// A class's service-level objective, as far as decisions use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class; none: the objective names none.
    pub class: Option<ClassName>,
    /// How long its jobs may take; none: the objective is not about that.
    pub within: Option<Duration>,
}

/// The policy's open values. `docs/OPERATING.md` describes each.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Miss rate below which the fleet is scaled in.
    pub alpha: f64,
    /// Miss rate above which the fleet is scaled out.
    pub beta: f64,
    /// Time between two evaluations of the band.
    pub round: Duration,
    /// A task that waited longer than this for room is a miss.
    pub start_target: Duration,
    /// The window over which the miss rate is taken.
    pub window: Duration,
    /// Weight of the share of misses against that of the queue.
    pub miss_weight: f64,
    /// Demand below which no machines are provisioned for a pool.
    pub demand_threshold: f64,
    /// Utilisation that gates scale-out, and scale-in.
    pub utilisation_threshold: f64,
    /// Suitability: speed (1) against cost (0).
    pub suitability_k: f64,
    /// The remedial rule's threshold; higher: fewer machines between rounds.
    pub remedial_theta: f64,
    /// From this evenness on the fleet counts as mixed.
    pub evenness_threshold: f64,
    /// The time that is paid for a machine in any case, and the steps after it.
    pub paid: PaidPeriods,
    /// How long a controller's lease lasts without renewal.
    pub controller_lease: Duration,
    /// How long an offer stands.
    pub offer: Duration,
    /// None: derived from the agents' heartbeat interval.
    pub unresponsive_after: Option<Duration>,
    /// Controllers transfer quota to each other directly.
    pub quota_transfers: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            alpha: 0.05,
            beta: 0.1,
            round: Duration::from_secs(10),
            start_target: Duration::from_secs(30),
            window: Duration::from_secs(60),
            miss_weight: 0.3,
            demand_threshold: 0.05,
            utilisation_threshold: 0.5,
            suitability_k: 0.3,
            remedial_theta: 10.0,
            evenness_threshold: 0.4,
            paid: PaidPeriods {
                first: Duration::from_secs(60),
                renewal: Duration::from_secs(10),
            },
            controller_lease: Duration::from_secs(4),
            offer: Duration::from_secs(2),
            unresponsive_after: None,
            quota_transfers: false,
        }
    }
}

/// The configuration of one controller process.
#[derive(Clone)]
pub struct Config {
    /// This controller.
    pub name: ControllerName,
    /// Where it runs.
    pub zone: ZoneName,
    /// This process of it.
    pub incarnation: Incarnation,
    /// The other controllers with their zones.
    pub peers: Vec<(ControllerName, ZoneName)>,
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The classes' objectives.
    pub objectives: Vec<Objective>,
    /// Agents send a heartbeat this often, give or take a quarter.
    pub heartbeat_interval: Duration,
    /// How long an agent's lease lasts without renewal; its tasks end with it.
    pub agent_lease: Duration,
    /// The time within which a cancelled job's tasks must have ended.
    pub cancel: Duration,
    /// What the state service allows.
    pub state: StateLimits,
    /// Requests a second that the cloud allows.
    pub cloud_rps: f64,
    /// How far the cloud's inventory may be behind.
    pub list_lag: Duration,
    /// Connections that this process may have open.
    pub max_connections: usize,
    /// Machines that are kept track of, beyond those in the records; derived from the
    /// memory allowed, see [`machines_for`].
    pub machines_tracked: usize,
    /// The policy's open values.
    pub tuning: Tuning,
    /// What this process reads, as it tells its peers.
    pub protocol_version: ProtocolVersion,
    /// The time of day; tests put their own.
    pub wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

/// Machines that a process keeps track of for each MiB of memory: at most a quarter of
/// it is used at some 2 KiB a machine.
const MACHINES_PER_MIB: f64 = 128.0;
/// ... and in any case. Half as many again as the largest fleet served, and some more.
const MIN_MACHINES: usize = 8_192;
/// Without a memory limit.
const MACHINES_WITHOUT_LIMIT: usize = 65_536;

/// How many machines a process with this much memory keeps track of.
pub fn machines_for(memory_mib: Option<f64>) -> usize {
    let Some(memory) = memory_mib else {
        return MACHINES_WITHOUT_LIMIT;
    };
    ((memory * MACHINES_PER_MIB) as usize).clamp(MIN_MACHINES, MACHINES_WITHOUT_LIMIT)
}

/// Held back from `cancel` for clock drift, timers and the way of an answer.
const CANCEL_MARGIN: Duration = Duration::from_secs(3);

impl Tuning {
    /// What a process with these settings reads, as it tells its peers.
    pub fn protocol_version(&self) -> ProtocolVersion {
        if self.quota_transfers {
            ProtocolVersion::QUOTA_TRANSFERS
        } else {
            ProtocolVersion::CURRENT
        }
    }
}

impl Config {
    /// A team, if it is set up.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// The time of day, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        (self.wall)()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }

    /// How long a controller that hears of no cancellations may go on answering
    /// heartbeats. An agent's lease runs from a heartbeat that was sent before our
    /// answer, so it ends at most `agent_lease` after the last answer:
    /// `lease_renewal_window + agent_lease` stays within `cancel` by the margin, which
    /// covers 0.05% drift of both clocks (under 0.1 s here) many times.
    pub fn lease_renewal_window(&self) -> Duration {
        self.cancel
            .saturating_sub(self.agent_lease)
            .saturating_sub(CANCEL_MARGIN)
    }

    /// A machine unresponsive for longer than this is probed. Heartbeats come every
    /// `heartbeat_interval`, give or take a quarter; the rest is for one heartbeat that
    /// goes to another controller first and for a busy one's late answer.
    pub fn unresponsive_after(&self) -> Duration {
        self.tuning
            .unresponsive_after
            .unwrap_or(self.heartbeat_interval.mul_f64(1.25) + Duration::from_millis(750))
    }

    /// A heartbeat this old still tells to whom an agent sends its heartbeats.
    pub fn indirect_heartbeat_max_age(&self) -> Duration {
        self.heartbeat_interval * 2
    }

    /// The longest pause between two heartbeats of an agent that is up.
    pub fn max_heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval.mul_f64(1.25) + Duration::from_millis(500)
    }

    /// An agent that was told a token shows it with its next heartbeat; one more is
    /// for an answer that was lost.
    pub fn command_path_timeout(&self) -> Duration {
        self.heartbeat_interval.mul_f64(2.5) + Duration::from_secs(1)
    }

    /// Unresponsive machines that all controllers probe at a time. Each probe takes a socket
    /// of every controller for up to a second.
    pub fn max_concurrent_probes(&self) -> usize {
        (self.max_connections / 16).max(32)
    }

    /// How many controllers there are, with this one.
    pub fn controller_count(&self) -> usize {
        self.peers.len() + 1
    }
}
