//! The simulated world: controllers, network, cloud and users, on tokio's paused clock.

mod cloud;
mod controllers;
mod network;

pub use network::SimNet;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    thread::JoinHandle,
    time::Duration,
};

use axum::{Router, body::Body, http::Request};
use stallcove::{
    coordination::{Controller, Tuning},
    storage::*,
};
use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use crate::{
    agent::Machine,
    faults::{DuplicateHeartbeat, FaultInjection},
    gangs::{Gangs, Next},
    loopback::{Loopback, Process},
    rules::{Event, Place, Room, Rules},
    state_service::{Limits, StateService},
    versions::Version,
};

#[derive(Clone, Debug)]
pub struct TypeSpec {
    pub name: String,
    pub cpus: f64,
    pub memory: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot: f64,
    pub zones: Vec<String>,
    pub count: usize,
    pub spot_count: usize,
}

struct Running {
    controller: Arc<Controller>,
    router: Router,
    stop: CancellationToken,
    duties: JoinSet<&'static str>,
    life: u64,
    /// With real sockets: its thread.
    process: Option<Process>,
}

struct Slot {
    zone: String,
    running: Option<Running>,
    /// With real sockets: the thread of the process that ended last.
    ended: Option<JoinHandle<()>>,
}

/// Between two tags nothing passes; `hold`: it passes later.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    pub a: String,
    pub b: String,
    pub holds_packets: bool,
}

#[derive(Default)]
struct Cloud {
    provision_requests: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, ProvisionedMachine>,
    next: usize,
    down: bool,
    no_capacity: bool,
}

struct ProvisionedMachine {
    machine: Arc<Machine>,
    created: Instant,
    up_at: Option<Instant>,
    terminated_at: Option<Instant>,
}

pub struct Simulation {
    pub start: Instant,
    pub lease: Duration,
    pub heartbeat: Duration,
    pub cancel: Duration,
    pub state: StateService,
    state_limits: (f64, f64),
    teams: Vec<Team>,
    types: Vec<TypeSpec>,
    rules: Mutex<Rules>,
    specs: Mutex<BTreeMap<JobId, JobSpec>>,
    failing: Mutex<BTreeSet<JobId>>,
    completed: Mutex<BTreeSet<TaskId>>,
    controllers: Mutex<BTreeMap<String, Slot>>,
    partitions: Mutex<Vec<Partition>>,
    /// Share of the state service's answers that are lost after execution.
    lossy: Mutex<f64>,
    /// Share of the transactions that are applied late, unanswered, and how late.
    late: Mutex<(f64, Duration)>,
    /// Controllers that stand still, until when. Their clocks run on.
    paused: Mutex<BTreeMap<String, Instant>>,
    cloud: Mutex<Cloud>,
    faulty: Mutex<BTreeSet<usize>>,
    pub told: Mutex<BTreeMap<JobId, String>>,
    pub codes: Mutex<BTreeMap<JobId, u16>>,
    dropped: Mutex<BTreeMap<String, u32>>,
    duplicates: Mutex<(f64, Duration)>,
    cancel_at_end: Mutex<f64>,
    gangs: Mutex<Gangs>,
    versions: Mutex<BTreeMap<String, Version>>,
    pub faults: FaultInjection,
    next: Limits,
    /// The state service takes up to this much longer for an answer.
    latency: Mutex<Duration>,
    tuning: Tuning,
    /// Real sockets, in place of the simulated network.
    pub loopback: Option<Loopback>,
}

const LIST_LAG: Duration = Duration::from_secs(6);

impl Simulation {
    pub fn new(
        zones: Vec<String>,
        controllers: usize,
        teams: Vec<Team>,
        types: Vec<TypeSpec>,
        limits: (f64, f64),
        next: Limits,
        tuning: Tuning,
    ) -> Arc<Self> {
        let state = StateService::default();
        state.set_limits(limits.0, limits.1);
        let state_limits = limits;
        let cancel = Duration::from_secs(40);
        let limits = teams
            .iter()
            .map(|team| (team.name.clone(), team.limit.cpus))
            .collect();
        let slots = (0..controllers)
            .map(|n| {
                let slot = Slot {
                    zone: zones[n % zones.len()].clone(),
                    running: None,
                    ended: None,
                };
                (format!("n{n}"), slot)
            })
            .collect();
        Arc::new(Self {
            start: Instant::now(),
            lease: Duration::from_secs(15),
            heartbeat: Duration::from_secs(3),
            cancel,
            state,
            state_limits,
            teams,
            types,
            rules: Mutex::new(Rules::new(limits, cancel)),
            specs: Mutex::default(),
            failing: Mutex::default(),
            completed: Mutex::default(),
            controllers: Mutex::new(slots),
            partitions: Mutex::default(),
            lossy: Mutex::new(0.0),
            late: Mutex::new((0.0, Duration::ZERO)),
            paused: Mutex::default(),
            cloud: Mutex::default(),
            faulty: Mutex::default(),
            told: Mutex::default(),
            codes: Mutex::default(),
            dropped: Mutex::default(),
            duplicates: Mutex::new((0.0, Duration::ZERO)),
            cancel_at_end: Mutex::new(0.0),
            gangs: Mutex::default(),
            versions: Mutex::default(),
            faults: FaultInjection::default(),
            next,
            latency: Mutex::default(),
            tuning,
            loopback: None,
        })
    }

    pub fn at(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn see(&self, event: Event) {
        self.rules.lock().expect("rules").see(self.at(), event);
    }

    pub fn calm(&self) {
        self.rules.lock().expect("rules").calm(self.at());
    }

    pub fn finish(&self) {
        self.rules.lock().expect("rules").finish(self.at());
    }

    /// From now on a share of all heartbeats is delivered again, up to this much
    /// later, to any controller.
    pub fn set_duplicates(&self, share: f64, late: Duration) {
        *self.duplicates.lock().expect("copies") = (share, late);
    }

    pub fn duplicate_heartbeat(self: &Arc<Self>, tags: &[String], body: &str) {
        let (share, late) = *self.duplicates.lock().expect("copies");
        if share <= 0.0 || jitter::uniform(0.0, 1.0) >= share {
            return;
        }
        let copy = DuplicateHeartbeat {
            tags: tags.to_vec(),
            body: body.to_owned(),
        };
        let Some(DuplicateHeartbeat { tags, body }) = self.faults.keep(copy) else {
            return;
        };
        let names = self.controller_names();
        let name = names[jitter::uniform(0.0, names.len() as f64) as usize].clone();
        let simulation = self.clone();
        let pause = Duration::from_secs(1) + late.mul_f64(jitter::uniform(0.0, 1.0));
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            simulation
                .to_controller(&tags, &name, "POST", "/hello", body)
                .await;
        });
    }

    pub fn tick(self: &Arc<Self>) {
        self.deliver_kept_duplicates();
        self.rules.lock().expect("rules").tick(self.at());
        let machines = self.machines();
        let rooms: Vec<Room> = machines.iter().filter_map(|m| m.room(self)).collect();
        let there: Vec<(TaskId, Place)> = machines
            .iter()
            .flat_map(|m| m.tasks().into_iter().map(|task| (task, m.place.clone())))
            .collect();
        let mut rules = self.rules.lock().expect("rules");
        rules.watch_waiting(self.at(), &rooms, &there);
    }

    /// Users call off this many of the jobs that run, at the same moment; the
    /// machines of these may hang then.
    pub fn cancel_running(self: &Arc<Self>, count: usize, hang: Duration) {
        let running = self.rules.lock().expect("rules").running_jobs();
        let mut hung = BTreeSet::new();
        for (job, machines) in running.into_iter().take(count) {
            hung.extend(machines);
            tokio::spawn(crate::users::cancel(self.clone(), job));
        }
        if !hang.is_zero() {
            for machine in hung.into_iter().take(8) {
                if let Some(machine) = self.machine(machine.as_str()) {
                    machine.hang(hang);
                }
            }
        }
    }

    /// From now on that share of jobs is called off as their last task completes.
    pub fn set_cancel_at_end(&self, share: f64) {
        *self.cancel_at_end.lock().expect("share") = share;
    }

    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.rules.lock().expect("rules").broken.clone();
        broken.extend(self.state.too_large());
        broken
    }

    pub fn running(&self, job: &JobId) -> usize {
        self.rules.lock().expect("rules").running(job)
    }

    /// See [`Rules::waits`].
    pub fn waits(&self) -> Vec<(Duration, Option<Duration>)> {
        self.rules.lock().expect("rules").waits()
    }

    /// See [`Rules::used`].
    pub fn used(&self) -> BTreeMap<TeamName, f64> {
        self.rules.lock().expect("rules").used()
    }

    pub fn starts(&self) -> usize {
        self.rules.lock().expect("rules").starts
    }

    pub fn spec(&self, job: &JobId) -> Option<JobSpec> {
        self.specs.lock().expect("specs").get(job).cloned()
    }

    pub fn upload(&self, job: &JobId, spec: JobSpec, fails: bool) {
        self.specs
            .lock()
            .expect("specs")
            .insert(job.clone(), spec.clone());
        self.see(Event::Submitted(job.clone(), Box::new(spec)));
        if fails {
            self.failing.lock().expect("failing").insert(job.clone());
            self.see(Event::Fails(job.clone()));
        }
    }

    pub fn fails(&self, job: &JobId) -> bool {
        self.failing.lock().expect("failing").contains(job)
    }

    pub fn join_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs");
        if !gangs.join(&task.job, attempt, task.index) {
            self.see(Event::Reused(task.clone(), attempt));
        }
    }

    pub fn leave_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs");
        gangs.leave(&task.job, attempt, task.index);
    }

    pub fn stop_gang(&self, task: &TaskId, attempt: u64) {
        let mut gangs = self.gangs.lock().expect("gangs");
        gangs.stop(&task.job, attempt, task.index);
    }

    pub fn wait_in_gang(&self, task: &TaskId, attempt: u64, spec: &JobSpec) -> Next {
        let mut gangs = self.gangs.lock().expect("gangs");
        gangs.wait(&task.job, attempt, task.index, spec)
    }

    pub fn run_in_gang(&self, task: &TaskId, attempt: u64, spec: &JobSpec, saved: bool) -> Next {
        let mut gangs = self.gangs.lock().expect("gangs");
        gangs.run(&task.job, attempt, task.index, spec, saved)
    }

    pub fn is_completed(&self, task: &TaskId) -> bool {
        self.completed.lock().expect("completed").contains(task)
    }

    pub fn complete(self: &Arc<Self>, task: &TaskId) {
        let new = self
            .completed
            .lock()
            .expect("completed")
            .insert(task.clone());
        self.see(Event::Completed(task.clone()));
        let share = *self.cancel_at_end.lock().expect("share");
        let over = self.rules.lock().expect("rules").is_complete(&task.job);
        if new && over && share > 0.0 && jitter::uniform(0.0, 1.0) < share {
            // About the time at which its result is written.
            let pause = jitter::millis(0, 800);
            let (simulation, job) = (self.clone(), task.job.clone());
            tokio::spawn(async move {
                tokio::time::sleep(pause).await;
                crate::users::cancel(simulation, job).await;
            });
        }
    }

    /// A 200 that the agent had to drop.
    pub fn note_dropped(&self, machine: &str) {
        *self
            .dropped
            .lock()
            .expect("dropped")
            .entry(machine.into())
            .or_default() += 1;
    }

    pub fn add_partition(&self, partition_between: Partition) {
        self.partitions
            .lock()
            .expect("cuts")
            .push(partition_between);
    }

    pub fn heal_partition(&self, partition_between: &Partition) {
        self.partitions
            .lock()
            .expect("cuts")
            .retain(|other| other != partition_between);
    }

    fn partition_between(&self, from: &[String], to: &[String]) -> Option<Partition> {
        let partitions = self.partitions.lock().expect("cuts");
        partitions
            .iter()
            .find(|partition_between| {
                let has = |tags: &[String], tag: &String| tags.contains(tag);
                (has(from, &partition_between.a) && has(to, &partition_between.b))
                    || (has(from, &partition_between.b) && has(to, &partition_between.a))
            })
            .cloned()
    }

    pub fn set_lossy(&self, share: f64) {
        *self.lossy.lock().expect("lossy") = share;
    }

    pub fn set_latency(&self, most: Duration) {
        *self.latency.lock().expect("slow") = most;
    }

    pub fn set_late(&self, share: f64, late: Duration) {
        *self.late.lock().expect("late") = (share, late);
    }

    pub fn pause_controller(&self, controller: &str, time: Duration) {
        if self.loopback.is_some() {
            let controllers = self.controllers.lock().expect("controllers");
            let running = controllers
                .get(controller)
                .and_then(|slot| slot.running.as_ref());
            if let Some(process) = running.and_then(|running| running.process.as_ref()) {
                process.pause(time);
            }
            return;
        }
        let until = Instant::now() + time;
        self.paused
            .lock()
            .expect("frozen")
            .insert(controller.into(), until);
    }

    /// What a cordoned controller was about to say or to hear waits until it goes on.
    async fn until_resumed(&self, controller: &str) {
        let until = self.paused.lock().expect("frozen").get(controller).copied();
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
    }

    fn is_paused(&self, controller: &str) -> bool {
        let until = self.paused.lock().expect("frozen").get(controller).copied();
        until.is_some_and(|until| until > Instant::now())
    }

    /// A request to a controller's server; none: no connection.
    pub async fn to_controller(
        self: &Arc<Self>,
        from: &[String],
        name: &str,
        method: &str,
        path: &str,
        body: String,
    ) -> Option<(u16, String)> {
        tokio::time::sleep(jitter::millis(1, 4)).await;
        let tags = self.controller_tags(name);
        while self.partition_between(from, &tags).is_some() {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        self.until_resumed(name).await;
        let (router, life) = self.router(name)?;
        if let Some(loopback) = &self.loopback {
            return loopback.request(name, method, path, body).await;
        }
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(Body::from(body))
            .expect("a request");
        let response = router.oneshot(request).await.expect("infallible");
        let status = response.status().as_u16();
        if status == 503 && path.starts_with("/api") {
            assert!(
                response.headers().contains_key("retry-after"),
                "503 without Retry-After"
            );
        }
        let bytes = axum::body::to_bytes(response.into_body(), 1 << 20)
            .await
            .ok()?;
        tokio::time::sleep(jitter::millis(1, 4)).await;
        // Decided before the freeze, said after it.
        self.until_resumed(name).await;
        while self.partition_between(from, &tags).is_some() {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        if !self.is_alive(name, life) {
            return None;
        }
        Some((status, String::from_utf8_lossy(&bytes).into_owned()))
    }
}
