//! Faults that have a state of their own: late and duplicated messages, machines that boot
//! badly, and users who poll closely.
//!
//! Scenarios set them; the simulated network, cloud and users ask what becomes of a message.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use stallcove::storage::{JobId, JobSpec, jitter};

use crate::{simulation::Simulation, users};

/// A share of messages that is held up, by at most this long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    /// Share of the messages.
    pub share: f64,
    /// The longest delay.
    pub max: Duration,
}

impl Delay {
    /// Holds up this share of messages.
    pub fn new(share: f64, max: Duration) -> Self {
        Self { share, max }
    }

    /// How long this message is held up; none: not at all.
    pub fn draw(&self, min: Duration) -> Option<Duration> {
        if self.share <= 0.0 || jitter::uniform(0.0, 1.0) >= self.share {
            return None;
        }
        let rest = self.max.saturating_sub(min);
        Some(min + rest.mul_f64(jitter::uniform(0.0, 1.0)))
    }
}

/// A heartbeat that is delivered again.
pub struct DuplicateHeartbeat {
    /// The sender's sides of a partition.
    pub tags: Vec<String>,
    /// The message.
    pub body: String,
}

/// Copies kept until a leader begins.
const MAX_DUPLICATES: usize = 400;
/// Direct commands are held up for at least this long.
const MIN_COMMAND_DELAY: Duration = Duration::from_secs(2);
/// Polls of each controller in a burst.
const POLLS_IN_BURST: usize = 3;

/// How machines that are provisioned now come up.
#[derive(Clone, Copy, Debug)]
pub struct Boots {
    /// Times the usual boot time.
    pub factor: f64,
    /// Share of the machines that never come up.
    pub never: f64,
}

impl Default for Boots {
    fn default() -> Self {
        Self {
            factor: 1.0,
            never: 0.0,
        }
    }
}

/// The state of these faults.
#[derive(Default)]
pub struct FaultInjection {
    boots: Mutex<Boots>,
    /// Pause between two questions about each job; none: the usual one.
    poll_interval: Mutex<Option<Duration>>,
    command_delay: Mutex<Delay>,
    /// Copies of heartbeats are kept for the next leader.
    keeps_for_next_leader: Mutex<bool>,
    kept_duplicates: Mutex<Vec<DuplicateHeartbeat>>,
    leader: Mutex<Option<String>>,
    burst_polls: Mutex<bool>,
}

impl FaultInjection {
    /// A share of the direct commands is unanswered and carried out late.
    pub fn set_command_delay(&self, delay: Delay) {
        *self.command_delay.lock().expect("delay") = delay;
    }

    /// How late this direct command is carried out; none: at once.
    pub fn draw_command_delay(&self) -> Option<Duration> {
        let delay = *self.command_delay.lock().expect("delay");
        delay.draw(MIN_COMMAND_DELAY)
    }

    /// How machines that are provisioned from now on come up.
    pub fn set_boots(&self, boots: Boots) {
        *self.boots.lock().expect("boots") = boots;
    }

    /// The boot time of a machine that is provisioned now; none: it never comes up.
    pub fn boot_time(&self, usual: f64) -> Option<Duration> {
        let boots = *self.boots.lock().expect("boots");
        if boots.never > 0.0 && jitter::uniform(0.0, 1.0) < boots.never {
            return None;
        }
        let share = jitter::uniform(0.6, 1.5);
        Some(Duration::from_secs_f64(usual * boots.factor * share))
    }

    /// Sets the pause between two polls about a job; none: the usual one.
    pub fn set_poll_interval(&self, pause: Option<Duration>) {
        *self.poll_interval.lock().expect("pause") = pause;
    }

    /// How long a user waits before the next question about a job.
    pub fn poll_interval(&self) -> Duration {
        let usual = Duration::from_secs_f64(jitter::uniform(4.0, 6.0));
        self.poll_interval.lock().expect("pause").unwrap_or(usual)
    }

    /// Copies of heartbeats are kept until another leader begins.
    pub fn keep_for_next_leader(&self, on: bool) {
        *self.keeps_for_next_leader.lock().expect("flag") = on;
    }

    /// Keeps a copy for the next leader, if copies are kept now.
    pub fn keep(&self, copy: DuplicateHeartbeat) -> Option<DuplicateHeartbeat> {
        if !*self.keeps_for_next_leader.lock().expect("flag") {
            return Some(copy);
        }
        let mut kept = self.kept_duplicates.lock().expect("duplicates");
        if kept.len() < MAX_DUPLICATES {
            kept.push(copy);
        }
        None
    }

    /// The copies that are due as this leader begins.
    fn due(&self, leader: Option<String>) -> Vec<DuplicateHeartbeat> {
        let mut known = self.leader.lock().expect("leader");
        if leader.is_none() || *known == leader {
            return Vec::new();
        }
        *known = leader;
        std::mem::take(&mut *self.kept_duplicates.lock().expect("duplicates"))
    }

    /// Users ask at all controllers as soon as they are told something new.
    pub fn set_burst_polls(&self, on: bool) {
        *self.burst_polls.lock().expect("flag") = on;
    }

    /// Whether users poll in bursts.
    pub fn polls_in_bursts(&self) -> bool {
        *self.burst_polls.lock().expect("flag")
    }
}

impl Simulation {
    /// As a leader begins, every controller gets the copies that were kept.
    pub fn deliver_kept_duplicates(self: &Arc<Self>) {
        for copy in self.faults.due(self.leader_incarnation()) {
            for name in self.controller_names() {
                let (simulation, tags, body) = (self.clone(), copy.tags.clone(), copy.body.clone());
                tokio::spawn(async move {
                    simulation
                        .to_controller(&tags, &name, "POST", "/hello", body)
                        .await;
                });
            }
        }
    }

    /// A user who was just told something asks at all controllers, several times within
    /// milliseconds, and repeats the submission at one of them.
    pub fn poll_in_burst(self: &Arc<Self>, job: &JobId) {
        for name in self.controller_names() {
            for _ in 0..POLLS_IN_BURST {
                let (simulation, job, name) = (self.clone(), job.clone(), name.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(jitter::millis(0, 12)).await;
                    users::poll(&simulation, &name, &job).await;
                });
            }
        }
        let (simulation, job) = (self.clone(), job.clone());
        tokio::spawn(async move {
            tokio::time::sleep(jitter::millis(0, 12)).await;
            if let Some(spec) = simulation.spec(&job) {
                users::submit_at_once(&simulation, &job, &spec).await;
            }
        });
    }

    /// Jobs one after the other, a share of them cancelled soon after.
    pub async fn stream(self: Arc<Self>, first: u64, stream: Stream) {
        for n in 0..stream.count {
            let job = JobId::new(format!("job-{}", first + n));
            tokio::spawn(users::submit(
                self.clone(),
                job.clone(),
                stream.spec.clone(),
                false,
            ));
            if jitter::uniform(0.0, 1.0) < stream.cancelled_share {
                let (simulation, pause) = (self.clone(), jitter::millis(0, 9_000));
                tokio::spawn(async move {
                    tokio::time::sleep(pause).await;
                    users::cancel(simulation, job).await;
                });
            }
            tokio::time::sleep(stream.interval).await;
        }
    }
}

/// Many jobs that are alike.
pub struct Stream {
    /// How many jobs.
    pub count: u64,
    /// Pause between two submissions.
    pub interval: Duration,
    /// Share of the jobs that is cancelled soon after.
    pub cancelled_share: f64,
    /// What is submitted.
    pub spec: JobSpec,
}
