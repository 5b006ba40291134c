//! Troubles in which messages come late, and users who look closely.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use stallcove::storage::{JobId, JobSpec, jitter};

use crate::{simulation::Simulation, users};

/// A share of messages that is held up, by at most this long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    pub share: f64,
    pub most: Duration,
}

impl Delay {
    pub fn new(share: f64, most: Duration) -> Self {
        Self { share, most }
    }

    /// How long this message is held up; none: not at all.
    pub fn draw(&self, least: Duration) -> Option<Duration> {
        if self.share <= 0.0 || jitter::uniform(0.0, 1.0) >= self.share {
            return None;
        }
        let rest = self.most.saturating_sub(least);
        Some(least + rest.mul_f64(jitter::uniform(0.0, 1.0)))
    }
}

/// A heartbeat that is delivered again.
pub struct HeartbeatCopy {
    pub tags: Vec<String>,
    pub body: String,
}

/// Copies kept until a leader begins.
const COPIES_KEPT: usize = 400;
/// Direct commands are held up for at least this long.
const ORDERS_LATE: Duration = Duration::from_secs(2);
/// Questions that a close look asks of each controller.
const LOOKS: usize = 3;

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

/// The state of these troubles.
#[derive(Default)]
pub struct FaultInjection {
    boots: Mutex<Boots>,
    /// Pause between two questions about each job; none: the usual one.
    question_pause: Mutex<Option<Duration>>,
    late_orders: Mutex<Delay>,
    /// Copies of heartbeats are kept for the next leader.
    for_next: Mutex<bool>,
    entry: Mutex<Vec<HeartbeatCopy>>,
    leader: Mutex<Option<String>>,
    close_looks: Mutex<bool>,
}

impl FaultInjection {
    /// A share of the direct commands is unanswered and carried out late.
    pub fn set_late_orders(&self, delay: Delay) {
        *self.late_orders.lock().expect("delay") = delay;
    }

    /// How late this direct command is carried out; none: at once.
    pub fn order_delay(&self) -> Option<Duration> {
        let delay = *self.late_orders.lock().expect("delay");
        delay.draw(ORDERS_LATE)
    }

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

    pub fn set_question_pause(&self, pause: Option<Duration>) {
        *self.question_pause.lock().expect("pause") = pause;
    }

    /// How long a user waits before the next question about a job.
    pub fn question_pause(&self) -> Duration {
        let usual = Duration::from_secs_f64(jitter::uniform(4.0, 6.0));
        self.question_pause.lock().expect("pause").unwrap_or(usual)
    }

    /// Copies of heartbeats are kept until another leader begins.
    pub fn set_for_next(&self, on: bool) {
        *self.for_next.lock().expect("flag") = on;
    }

    /// Keeps a copy for the next leader, if copies are kept now.
    pub fn keep(&self, copy: HeartbeatCopy) -> Option<HeartbeatCopy> {
        if !*self.for_next.lock().expect("flag") {
            return Some(copy);
        }
        let mut entry = self.entry.lock().expect("copies");
        if entry.len() < COPIES_KEPT {
            entry.push(copy);
        }
        None
    }

    /// The copies that are due as this leader begins.
    fn due(&self, leader: Option<String>) -> Vec<HeartbeatCopy> {
        let mut known = self.leader.lock().expect("leader");
        if leader.is_none() || *known == leader {
            return Vec::new();
        }
        *known = leader;
        std::mem::take(&mut *self.entry.lock().expect("copies"))
    }

    /// Users ask at all controllers as soon as they are told something new.
    pub fn set_close_looks(&self, on: bool) {
        *self.close_looks.lock().expect("flag") = on;
    }

    pub fn looks_closely(&self) -> bool {
        *self.close_looks.lock().expect("flag")
    }
}

impl Simulation {
    /// As a leader begins, every controller gets the copies that were kept.
    pub fn deliver_kept_copies(self: &Arc<Self>) {
        for copy in self.faults.due(self.leader_life()) {
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
    pub fn look_closely(self: &Arc<Self>, job: &JobId) {
        for name in self.controller_names() {
            for _ in 0..LOOKS {
                let (simulation, job, name) = (self.clone(), job.clone(), name.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(jitter::millis(0, 12)).await;
                    users::look(&simulation, &name, &job).await;
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

    /// Jobs one after the other, a share of them called off soon after.
    pub async fn stream(self: Arc<Self>, first: u64, stream: Stream) {
        for n in 0..stream.count {
            let job = JobId::new(format!("job-{}", first + n));
            tokio::spawn(users::submit(
                self.clone(),
                job.clone(),
                stream.spec.clone(),
                false,
            ));
            if jitter::uniform(0.0, 1.0) < stream.cancelled {
                let (simulation, pause) = (self.clone(), jitter::millis(0, 9_000));
                tokio::spawn(async move {
                    tokio::time::sleep(pause).await;
                    users::abort(simulation, job).await;
                });
            }
            tokio::time::sleep(stream.every).await;
        }
    }
}

/// Many jobs that are alike.
pub struct Stream {
    pub count: u64,
    pub every: Duration,
    pub cancelled: f64,
    pub spec: JobSpec,
}
