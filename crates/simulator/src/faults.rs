//! Faults whose state is kept separately: delayed and duplicated messages, slow or failed boots
//! of machines, and users who poll frequently.
//!
//! Scenarios set the faults; the simulated network, cloud and users query them.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use stallcove::storage::{JobId, JobSpec, jitter};

use crate::{request_copies::RequestCopies, simulation::Simulation, users};

/// A fault that delays a share of the messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    /// Share of the messages that are delayed.
    pub share: f64,
    /// Maximum delay.
    pub max: Duration,
}

impl Delay {
    /// Creates a fault that delays this share of the messages by at most `max`.
    pub fn new(share: f64, max: Duration) -> Self {
        Self { share, max }
    }

    /// Draws a message's delay between `min` and the maximum; `None` if it is not delayed.
    pub fn draw(&self, min: Duration) -> Option<Duration> {
        if self.share <= 0.0 || jitter::uniform(0.0, 1.0) >= self.share {
            return None;
        }
        let rest = self.max.saturating_sub(min);
        Some(min + rest.mul_f64(jitter::uniform(0.0, 1.0)))
    }
}

/// Copy of a heartbeat that is to be delivered again.
pub struct DuplicateHeartbeat {
    /// The tags by which network partitions select the sender.
    pub tags: Vec<String>,
    /// The message.
    pub body: String,
}

/// Maximum number of copies kept for the next leader.
const MAX_DUPLICATES: usize = 400;
/// Minimum delay of delayed commands that are sent directly to an agent.
const MIN_COMMAND_DELAY: Duration = Duration::from_secs(2);
/// Number of polls to each controller in a burst.
const POLLS_IN_BURST: usize = 3;

/// Faults in the boot of newly provisioned machines.
#[derive(Clone, Copy, Debug)]
pub struct BootFaults {
    /// Factor on the typical boot time.
    pub time_factor: f64,
    /// Share of the machines that never finish booting.
    pub never_share: f64,
}

impl Default for BootFaults {
    fn default() -> Self {
        Self {
            time_factor: 1.0,
            never_share: 0.0,
        }
    }
}

/// State of these faults.
#[derive(Default)]
pub struct FaultInjection {
    boot_faults: Mutex<BootFaults>,
    /// Interval between polls of a job; `None` if the default applies.
    poll_interval: Mutex<Option<Duration>>,
    command_delay: Mutex<Delay>,
    /// Whether copies of heartbeats are kept for the next leader.
    keeps_for_next_leader: Mutex<bool>,
    kept_duplicates: Mutex<Vec<DuplicateHeartbeat>>,
    last_leader: Mutex<Option<String>>,
    burst_polls: Mutex<bool>,
    /// Late copies of requests that were carried out.
    pub request_copies: RequestCopies,
}

impl FaultInjection {
    /// Sets the share of the commands sent directly to agents that are executed late and never
    /// answered.
    pub fn set_command_delay(&self, delay: Delay) {
        *self.command_delay.lock().expect("command delay lock") = delay;
    }

    /// Draws the delay of a command sent directly to an agent; `None` if it is not delayed.
    pub fn draw_command_delay(&self) -> Option<Duration> {
        let delay = *self.command_delay.lock().expect("command delay lock");
        delay.draw(MIN_COMMAND_DELAY)
    }

    /// Sets the boot faults of machines provisioned from now on.
    pub fn set_boot_faults(&self, faults: BootFaults) {
        *self.boot_faults.lock().expect("boot faults lock") = faults;
    }

    /// Draws the boot time of a new machine from its type's typical boot time in seconds; `None`
    /// if it never finishes booting.
    pub fn boot_time(&self, typical_s: f64) -> Option<Duration> {
        let faults = *self.boot_faults.lock().expect("boot faults lock");
        if faults.never_share > 0.0 && jitter::uniform(0.0, 1.0) < faults.never_share {
            return None;
        }
        let share = jitter::uniform(0.6, 1.5);
        Some(Duration::from_secs_f64(
            typical_s * faults.time_factor * share,
        ))
    }

    /// Sets the interval between polls of a job; `None` restores the default.
    pub fn set_poll_interval(&self, pause: Option<Duration>) {
        *self.poll_interval.lock().expect("poll interval lock") = pause;
    }

    /// Returns how long a user waits before the next poll of a job.
    pub fn poll_interval(&self) -> Duration {
        let default = Duration::from_secs_f64(jitter::uniform(4.0, 6.0));
        self.poll_interval
            .lock()
            .expect("poll interval lock")
            .unwrap_or(default)
    }

    /// Sets whether copies of heartbeats are kept until a new leader starts.
    pub fn set_keep_for_next_leader(&self, on: bool) {
        *self.keeps_for_next_leader.lock().expect("flag lock") = on;
    }

    /// Keeps a copy for the next leader and returns `None`, or returns the copy if copies are not
    /// being kept. A copy beyond the maximum number is dropped.
    pub fn keep_or_return(&self, copy: DuplicateHeartbeat) -> Option<DuplicateHeartbeat> {
        if !*self.keeps_for_next_leader.lock().expect("flag lock") {
            return Some(copy);
        }
        let mut kept = self.kept_duplicates.lock().expect("kept duplicates lock");
        if kept.len() < MAX_DUPLICATES {
            kept.push(copy);
        }
        None
    }

    /// Returns and clears the kept copies if `leader` is a process other than the last known
    /// leader, and records it as the last known one.
    fn take_due_duplicates(&self, leader: Option<String>) -> Vec<DuplicateHeartbeat> {
        let mut last_leader = self.last_leader.lock().expect("leader lock");
        if leader.is_none() || *last_leader == leader {
            return Vec::new();
        }
        *last_leader = leader;
        std::mem::take(&mut *self.kept_duplicates.lock().expect("kept duplicates lock"))
    }

    /// Sets whether users poll all controllers in a burst when a job's reported state changes
    /// significantly.
    pub fn set_burst_polls(&self, on: bool) {
        *self.burst_polls.lock().expect("flag lock") = on;
    }

    /// Whether users poll in bursts.
    pub fn polls_in_bursts(&self) -> bool {
        *self.burst_polls.lock().expect("flag lock")
    }
}

impl Simulation {
    /// Delivers the kept copies to every controller if a new leader has started.
    pub fn deliver_kept_duplicates(self: &Arc<Self>) {
        for copy in self.faults.take_due_duplicates(self.leader_incarnation()) {
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

    /// Polls a job several times at every controller within milliseconds, and submits the job again
    /// to one of them.
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
                users::submit_once(&simulation, &job, &spec).await;
            }
        });
    }

    /// Submits a stream of jobs numbered from `first`, and cancels a share of them within seconds.
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

/// A stream of jobs with the same spec.
pub struct Stream {
    /// Number of jobs.
    pub count: u64,
    /// Interval between submissions.
    pub interval: Duration,
    /// Share of the jobs that are cancelled within 9 s of their submission.
    pub cancelled_share: f64,
    /// Spec of every job.
    pub spec: JobSpec,
}
