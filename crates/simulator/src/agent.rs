//! Agents' simulator: machines with leases, tokens, epochs and tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use serde_json::{Value, json};
use stallcove::{
    protocol::agents::{CommandAction, CommandMessage, CommandRequest, HeartbeatReply},
    storage::{JobKind, JobSpec, MachineId, TaskId, jitter},
};
use tokio::time::Instant;

use crate::{
    gangs::{Next, WAIT},
    rules::{Event, Place, Room},
    simulation::Simulation,
};

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Fetching(Instant),
    Running(Instant),
    Saving(Instant),
    /// Of a gang: since when it waits for the others.
    Waiting(Instant),
    Together,
    SavingTogether(Instant),
    Exited(&'static str),
}

impl Stage {
    /// Whether the task is on its machine.
    fn is_on(&self) -> bool {
        !matches!(self, Stage::Fetching(_) | Stage::Exited(_))
    }
}

struct Inner {
    epoch: u64,
    sequence: u64,
    token: u64,
    answered: Instant,
    last_heartbeat: Instant,
    next_heartbeat: Instant,
    changed: bool,
    in_flight: bool,
    target: usize,
    tasks: BTreeMap<(TaskId, u64), Stage>,
    images: BTreeSet<String>,
    hung_until: Option<Instant>,
    /// Until then its heartbeats get out, but nothing gets in.
    inbound_lost_until: Option<Instant>,
    /// Until then it can open no connection, while commands reach it.
    outbound_lost_until: Option<Instant>,
    taken_at: Option<Instant>,
    gone: bool,
}

pub struct Machine {
    pub id: String,
    /// Where its agent listens, if it has an address of its own.
    pub address: OnceLock<String>,
    pub place: Place,
    cpus: f64,
    memory: f64,
    speed: f64,
    faulty: bool,
    inner: Mutex<Inner>,
}

const FETCH_GB_PER_S: f64 = 0.5;

impl Machine {
    pub fn new(id: String, place: Place, cpus: f64, memory: f64, faulty: bool) -> Self {
        let now = Instant::now();
        Self {
            id,
            address: OnceLock::new(),
            place,
            cpus,
            memory,
            speed: jitter::uniform(0.9, 1.1),
            faulty,
            inner: Mutex::new(Inner {
                epoch: 1,
                sequence: 0,
                token: 0,
                answered: now,
                last_heartbeat: now,
                next_heartbeat: now,
                changed: false,
                in_flight: false,
                target: jitter::uniform(0.0, 100.0) as usize,
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                hung_until: None,
                inbound_lost_until: None,
                outbound_lost_until: None,
                taken_at: None,
                gone: false,
            }),
        }
    }

    pub fn address(&self) -> &str {
        self.address.get().unwrap_or(&self.id)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic holds it")
    }

    pub fn hang(&self, time: Duration) {
        self.lock().hung_until = Some(Instant::now() + time);
    }

    pub fn lose_inbound(&self, time: Duration) {
        self.lock().inbound_lost_until = Some(Instant::now() + time);
    }

    pub fn lose_outbound(&self, time: Duration) {
        self.lock().outbound_lost_until = Some(Instant::now() + time);
    }

    fn is_outbound_lost(&self) -> bool {
        self.lock()
            .outbound_lost_until
            .is_some_and(|until| until > Instant::now())
    }

    /// What is left of it for others, if it works as it should.
    pub fn room(&self, simulation: &Simulation) -> Option<Room> {
        if self.faulty
            || self.is_hung()
            || self.is_inbound_lost()
            || self.is_outbound_lost()
            || self.is_terminated()
        {
            return None;
        }
        let inner = self.lock();
        if inner.taken_at.is_some() {
            return None;
        }
        let mut room = Room {
            place: self.place.clone(),
            cpus: self.cpus,
            memory: self.memory,
        };
        for ((task, _), stage) in &inner.tasks {
            if !matches!(stage, Stage::Exited(_))
                && let Some(spec) = simulation.spec(&task.job)
            {
                room.cpus -= spec.per_task.cpus;
                room.memory -= spec.per_task.memory;
            }
        }
        Some(room)
    }

    /// Tasks that take room here.
    pub fn tasks(&self) -> Vec<TaskId> {
        let inner = self.lock();
        let there = inner.tasks.iter();
        there
            .filter(|(_, stage)| !matches!(stage, Stage::Exited(_)))
            .map(|((task, _), _)| task.clone())
            .collect()
    }

    fn is_inbound_lost(&self) -> bool {
        self.lock()
            .inbound_lost_until
            .is_some_and(|until| until > Instant::now())
    }

    pub fn notice(&self, time: Duration) {
        let mut inner = self.lock();
        inner.taken_at = Some(Instant::now() + time);
        inner.changed = true;
    }

    pub fn is_terminated(&self) -> bool {
        self.lock().gone
    }

    pub fn terminate(&self, simulation: &Simulation) {
        let mut inner = self.lock();
        if inner.gone {
            return;
        }
        inner.gone = true;
        let tasks = std::mem::take(&mut inner.tasks);
        drop(inner);
        for ((task, attempt), stage) in tasks {
            if stage.is_on() {
                simulation.leave_gang(&task, attempt);
                simulation.see(Event::Off(task, MachineId::new(self.id.as_str())));
            }
        }
    }

    fn is_hung(&self) -> bool {
        self.lock()
            .hung_until
            .is_some_and(|until| until > Instant::now())
    }

    /// Does not answer, as long as it hangs or is gone.
    async fn awake(&self) {
        while self.is_terminated() || self.is_hung() || self.is_inbound_lost() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn off(&self, simulation: &Simulation, task: &TaskId) {
        simulation.see(Event::Off(task.clone(), MachineId::new(self.id.as_str())));
    }

    fn heartbeat(&self, inner: &mut Inner) -> Value {
        inner.sequence += 1;
        let strides: Vec<Value> = inner
            .tasks
            .iter()
            .map(|((task, attempt), stage)| {
                let (stance, cause) = match stage {
                    Stage::Fetching(_) => ("fetching", None),
                    Stage::Waiting(_) => ("waiting", None),
                    Stage::Running(_) | Stage::Together => ("running", None),
                    Stage::Saving(_) => ("flushing", None),
                    // "running" also for tasks of a gang that is being stopped.
                    Stage::SavingTogether(_) => ("running", None),
                    Stage::Exited(cause) => ("exited", Some(*cause)),
                };
                json!({"stride": task.to_string(), "heat": attempt, "stance": stance,
                    "cause": cause})
            })
            .collect();
        let recall = inner.taken_at.map(|at| (at - Instant::now()).as_secs_f64());
        json!({"mount": self.id, "addr": self.address(), "breed": self.place.kind,
            "paddock": self.place.zone, "loaners": self.place.spot,
            "tenure": inner.epoch, "tally": inner.sequence, "bridle": inner.token,
            "recall_s": recall, "strides": strides})
    }

    fn execute(
        &self,
        simulation: &Simulation,
        inner: &mut Inner,
        token: u64,
        calls: &[CommandMessage],
    ) {
        let now = Instant::now();
        if token > inner.token {
            inner.token = token;
            inner.changed = true;
        }
        for call in calls {
            let task = TaskId::parse(&call.task).expect("a task of ours");
            let key = (task.clone(), call.attempt);
            match call.action {
                CommandAction::Start if !inner.tasks.contains_key(&key) => {
                    let stage = self.start(simulation, inner, &task, now);
                    inner.tasks.insert(key, stage);
                    inner.changed = true;
                }
                CommandAction::Start => {}
                CommandAction::Stop => {
                    let saves = simulation.spec(&task.job).is_some_and(|spec| {
                        !spec.checkpoint.is_zero()
                            && call.grace_seconds.unwrap_or(0.0) >= spec.save.as_secs_f64()
                    });
                    let save = simulation
                        .spec(&task.job)
                        .map_or(Duration::ZERO, |spec| spec.save);
                    if let Some(stage) = inner.tasks.get_mut(&key) {
                        let was = stage.clone();
                        match was {
                            Stage::Running(_) if saves => *stage = Stage::Saving(now + save),
                            Stage::Running(_) | Stage::Saving(_) => {
                                *stage = Stage::Exited("halted");
                                self.off(simulation, &task);
                            }
                            Stage::Together if saves => {
                                simulation.stop_gang(&task, call.attempt);
                                *stage = Stage::SavingTogether(now + save);
                            }
                            Stage::SavingTogether(_) if saves => continue,
                            Stage::Waiting(_) | Stage::Together | Stage::SavingTogether(_) => {
                                *stage = Stage::Exited("halted");
                                simulation.leave_gang(&task, call.attempt);
                                self.off(simulation, &task);
                            }
                            Stage::Fetching(_) => *stage = Stage::Exited("halted"),
                            Stage::Exited(_) => continue,
                        }
                        inner.changed = true;
                    }
                }
                CommandAction::Clear => {
                    if matches!(inner.tasks.get(&key), Some(Stage::Exited(_))) {
                        inner.tasks.remove(&key);
                        inner.changed = true;
                    }
                }
            }
        }
    }

    fn start(&self, simulation: &Simulation, inner: &Inner, task: &TaskId, now: Instant) -> Stage {
        let Some(spec) = simulation.spec(&task.job) else {
            return Stage::Exited("unknown");
        };
        let alive = |stage: &Stage| !matches!(stage, Stage::Exited(_));
        if inner.tasks.keys().any(|(other, _)| other == task) {
            return Stage::Exited("busy");
        }
        let mut cpus = spec.per_task.cpus;
        let mut memory = spec.per_task.memory;
        for ((other, _), stage) in &inner.tasks {
            if alive(stage)
                && let Some(other) = simulation.spec(&other.job)
            {
                cpus += other.per_task.cpus;
                memory += other.per_task.memory;
            }
        }
        if cpus > self.cpus + 1e-6 || memory > self.memory + 1e-6 {
            return Stage::Exited("full");
        }
        let fetch = if inner.images.contains(spec.image.as_str()) {
            0.0
        } else {
            spec.image_gb / FETCH_GB_PER_S
        };
        Stage::Fetching(now + Duration::from_secs_f64(fetch))
    }

    fn run_time(&self, spec: &JobSpec) -> Duration {
        match spec.kind {
            JobKind::Service => Duration::from_secs(1_000_000),
            _ => spec.estimate.mul_f64(self.speed),
        }
    }

    fn progress(&self, simulation: &Arc<Simulation>) {
        let now = Instant::now();
        let mut inner = self.lock();
        if inner.taken_at.is_some_and(|at| at <= now) {
            drop(inner);
            self.terminate(simulation);
            return;
        }
        if now > inner.answered + simulation.lease {
            // The lease has run out: everything is killed and forgotten.
            for ((task, attempt), stage) in std::mem::take(&mut inner.tasks) {
                if stage.is_on() {
                    simulation.leave_gang(&task, attempt);
                    self.off(simulation, &task);
                }
            }
            inner.epoch += 1;
            inner.answered = now;
            inner.changed = true;
        }
        let keys: Vec<(TaskId, u64)> = inner.tasks.keys().cloned().collect();
        for key in keys {
            let Some(spec) = simulation.spec(&key.0.job) else {
                continue;
            };
            let stage = inner.tasks[&key].clone();
            let next = match stage {
                Stage::Fetching(until) if until <= now => {
                    inner.images.insert(spec.image.to_string());
                    simulation.see(Event::On(
                        key.0.clone(),
                        MachineId::new(self.id.as_str()),
                        self.place.clone(),
                    ));
                    let gang = spec.kind == JobKind::Gang;
                    if gang && !simulation.is_completed(&key.0) && !simulation.fails(&key.0.job) {
                        simulation.join_gang(&key.0, key.1);
                        inner.tasks.insert(key, Stage::Waiting(now));
                        inner.changed = true;
                        continue;
                    }
                    let time = if simulation.is_completed(&key.0) {
                        Duration::ZERO
                    } else if self.faulty || simulation.fails(&key.0.job) {
                        Duration::from_secs(1)
                    } else {
                        self.run_time(&spec)
                    };
                    Stage::Running(now + time)
                }
                Stage::Running(until) if until <= now => {
                    self.off(simulation, &key.0);
                    let fails = self.faulty || simulation.fails(&key.0.job);
                    if fails && !simulation.is_completed(&key.0) {
                        Stage::Exited("error")
                    } else {
                        simulation.complete(&key.0);
                        Stage::Exited("done")
                    }
                }
                Stage::Waiting(since) => {
                    if simulation.wait_in_gang(&key.0, key.1, &spec) == Next::Run {
                        Stage::Together
                    } else if now.duration_since(since) > WAIT {
                        simulation.leave_gang(&key.0, key.1);
                        self.off(simulation, &key.0);
                        Stage::Exited("alone")
                    } else {
                        continue;
                    }
                }
                Stage::Together | Stage::SavingTogether(_) => {
                    let saved = matches!(stage, Stage::SavingTogether(until) if until <= now);
                    let cause = match simulation.run_in_gang(&key.0, key.1, &spec, saved) {
                        Next::Done => "done",
                        Next::Saved => "halted",
                        Next::MatesGone => "mates_gone",
                        Next::Stay | Next::Run => continue,
                    };
                    self.off(simulation, &key.0);
                    if cause == "done" {
                        simulation.complete(&key.0);
                    }
                    Stage::Exited(cause)
                }
                Stage::Saving(until) if until <= now => {
                    self.off(simulation, &key.0);
                    Stage::Exited("halted")
                }
                _ => continue,
            };
            inner.tasks.insert(key, next);
            inner.changed = true;
        }
    }

    /// The machine's life from its boot on.
    pub async fn live(self: Arc<Self>, simulation: Arc<Simulation>) {
        while !self.is_terminated() {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if self.is_hung() {
                continue;
            }
            self.progress(&simulation);
            let now = Instant::now();
            let body = {
                let mut inner = self.lock();
                let early =
                    inner.changed && now >= inner.last_heartbeat + Duration::from_millis(500);
                if inner.gone || inner.in_flight || !(early || now >= inner.next_heartbeat) {
                    continue;
                }
                inner.in_flight = true;
                inner.changed = false;
                inner.last_heartbeat = now;
                inner.next_heartbeat =
                    now + simulation.heartbeat.mul_f64(jitter::uniform(0.75, 1.25));
                self.heartbeat(&mut inner)
            };
            let (machine, simulation) = (self.clone(), simulation.clone());
            tokio::spawn(async move { machine.send_heartbeat(&simulation, body, now).await });
        }
    }

    async fn send_heartbeat(&self, simulation: &Arc<Simulation>, body: Value, sent: Instant) {
        if self.is_outbound_lost() {
            tokio::time::sleep_until(sent + Duration::from_secs(1)).await;
            let mut inner = self.lock();
            inner.target += 1;
            inner.in_flight = false;
            inner.next_heartbeat = Instant::now();
            return;
        }
        let epoch = body["tenure"].as_u64();
        let target = self.lock().target;
        let names = simulation.controller_names();
        let name = names[target % names.len()].clone();
        simulation.duplicate_heartbeat(&self.tags(), &body.to_string());
        let answer = tokio::time::timeout(
            Duration::from_secs(4),
            simulation.to_controller(&self.tags(), &name, "POST", "/hello", body.to_string()),
        )
        .await;
        if self.is_hung() || self.is_terminated() {
            self.lock().in_flight = false;
            return;
        }
        if self.is_inbound_lost() {
            // The answer does not arrive: the next controller is tried after 4 s.
            tokio::time::sleep_until(sent + Duration::from_secs(5)).await;
            let mut inner = self.lock();
            inner.target += 1;
            inner.in_flight = false;
            inner.next_heartbeat = Instant::now();
            return;
        }
        let mut pause = Duration::from_secs(1);
        match answer {
            Ok(Some((200, text))) => {
                let answer: HeartbeatReply =
                    serde_json::from_str(&text).expect("an answer to a report");
                let mut inner = self.lock();
                if Some(inner.epoch) == epoch && answer.token >= inner.token {
                    inner.answered = inner.answered.max(sent);
                    self.execute(simulation, &mut inner, answer.token, &answer.commands);
                } else if Some(inner.epoch) == epoch {
                    // Allowed when a newer owner was quicker, but not for long.
                    simulation.note_dropped(&self.id);
                }
                inner.in_flight = false;
                return;
            }
            Ok(Some((421, text))) => {
                let elsewhere: Value = serde_json::from_str(&text).expect("json");
                let named = elsewhere["groom"].as_str().map(str::to_owned);
                let found = named
                    .filter(|groom| *groom != name)
                    .and_then(|groom| names.iter().position(|n| *n == groom));
                match found {
                    Some(at) => {
                        self.lock().target = at;
                        pause = Duration::from_millis(50);
                    }
                    None => self.lock().target += 1,
                }
            }
            _ => self.lock().target += 1,
        }
        tokio::time::sleep(pause).await;
        let mut inner = self.lock();
        inner.in_flight = false;
        inner.next_heartbeat = Instant::now();
    }

    pub fn tags(&self) -> Vec<String> {
        vec![self.id.clone(), "agents".into(), self.place.zone.clone()]
    }

    pub async fn handle(
        &self,
        simulation: &Arc<Simulation>,
        path: &str,
        body: &[u8],
    ) -> (u16, Value) {
        self.awake().await;
        let mut inner = self.lock();
        match path {
            "/inspect" => (200, self.heartbeat(&mut inner)),
            "/orders" => {
                let orders: CommandRequest = serde_json::from_slice(body).expect("orders");
                if orders.token < inner.token || orders.epoch != inner.epoch {
                    return (409, self.heartbeat(&mut inner));
                }
                self.execute(simulation, &mut inner, orders.token, &orders.commands);
                (200, self.heartbeat(&mut inner))
            }
            _ => (404, json!({})),
        }
    }
}
