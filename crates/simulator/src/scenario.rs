//! Scenarios: small text files, one line a statement. `tests/scenarios/README`
//! describes them.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex},
    time::Duration,
};

use stallcove::{coordination::Tuning, storage::*};
use tokio::time::Instant;

use crate::{
    faults::{Boots, Delay, Stream},
    simulation::{Cut, Simulation, TypeSpec},
    state_service::Limits,
    users,
    versions::Version,
};

type Words<'a> = BTreeMap<&'a str, &'a str>;

/// `key=value` words, and bare words as flags.
fn words<'a>(parts: &[&'a str]) -> Words<'a> {
    parts
        .iter()
        .map(|part| part.split_once('=').unwrap_or((part, "")))
        .collect()
}

fn number(words: &Words<'_>, name: &str, default: f64) -> f64 {
    words.get(name).map_or(default, |text| {
        text.parse().unwrap_or_else(|_| panic!("{name}={text}"))
    })
}

fn seconds(words: &Words<'_>, name: &str, default: f64) -> Duration {
    Duration::from_secs_f64(number(words, name, default))
}

fn job_spec(words: &Words<'_>) -> JobSpec {
    JobSpec {
        class: ClassName::new(words.get("class").copied().unwrap_or("class")),
        team: TeamName::new(words.get("team").copied().unwrap_or("team")),
        kind: if words.contains_key("service") {
            JobKind::Service
        } else if words.contains_key("gang") {
            JobKind::Gang
        } else {
            JobKind::Array
        },
        priority: match words.get("priority").copied() {
            Some("prod") => Priority::Production,
            Some("urgent") => Priority::Urgent,
            Some("low") => Priority::BestEffort,
            _ => Priority::Normal,
        },
        tasks: number(words, "tasks", 1.0) as u32,
        per_task: Resources {
            cpus: number(words, "cpus", 2.0),
            gpus: number(words, "gpus", 0.0),
            memory: number(words, "memory", 1.0),
        },
        image: ImageName::new(words.get("image").copied().unwrap_or("img")),
        image_gb: number(words, "image_gb", 0.5),
        types: words
            .get("types")
            .map(|list| list.split(',').map(TypeName::new).collect()),
        zone: words.get("zone").map(|zone| ZoneName::new(*zone)),
        one_zone: words.contains_key("one_zone"),
        spread: words.contains_key("spread"),
        spot: words.contains_key("spot"),
        estimate: seconds(words, "run", 10.0),
        checkpoint: seconds(words, "checkpoint", 0.0),
        save: seconds(words, "save", 0.0),
        deadline: words
            .contains_key("deadline")
            .then(|| seconds(words, "deadline", 0.0)),
        accepted_ms: 0,
        assigned_zone: None,
    }
}

#[derive(Clone, Debug)]
struct TimedAction {
    at: Duration,
    words: Vec<String>,
    line: String,
}

/// CPUs that teams used at one time.
#[derive(Clone, Debug)]
pub struct UseOfLimits {
    pub at: Duration,
    pub used: BTreeMap<TeamName, f64>,
}

/// What was seen in a scenario.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Broken rules and expectations that failed.
    pub wrong: Vec<String>,
    /// By time of submission, how long each job took to start.
    pub waits: Vec<(Duration, Option<Duration>)>,
    pub used: Vec<UseOfLimits>,
    pub starts: usize,
    /// Changes asked of the state service.
    pub changes: usize,
    /// Changes made there, by the kind of record: `+` written, `-` removed.
    pub changes_by_kind: BTreeMap<String, usize>,
    /// Machines ever provisioned.
    pub rented: usize,
    /// What each job's user was told last.
    pub outcomes: BTreeMap<JobId, String>,
}

impl fmt::Display for Measured {
    /// One line of figures: two versions of the code that act alike give the same.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "failed={} starts={} rented={} changes={}",
            self.wrong.len(),
            self.starts,
            self.rented,
            self.changes
        )?;
        for (kind, count) in &self.changes_by_kind {
            write!(f, " {kind}={count}")?;
        }
        for (job, outcome) in &self.outcomes {
            write!(f, " {job}={outcome}")?;
        }
        Ok(())
    }
}

pub struct Scenario {
    seed: u64,
    zones: Vec<String>,
    controllers: usize,
    teams: Vec<Team>,
    types: Vec<TypeSpec>,
    timed: Vec<TimedAction>,
    until: Duration,
    /// The state service's requests and changes a second.
    limits: (f64, f64),
    /// What it lowers its limits to, as the settings announce it.
    next: Limits,
    /// The version of all controllers at the start.
    version: Version,
    /// The operator's settings, as far as the current version knows them.
    tuning: Tuning,
}

impl Scenario {
    pub fn parse(text: &str) -> Self {
        let mut scenario = Scenario {
            seed: 1,
            zones: vec!["a".into()],
            controllers: 3,
            teams: Vec::new(),
            types: Vec::new(),
            timed: Vec::new(),
            until: Duration::from_secs(60),
            limits: (400.0, 200.0),
            next: Limits::default(),
            version: Version::Current,
            tuning: Tuning::default(),
        };
        for line in text.lines() {
            let line = line.split('#').next().unwrap_or("").trim();
            let parts: Vec<&str> = line.split_whitespace().collect();
            let Some((verb, rest)) = parts.split_first() else {
                continue;
            };
            match *verb {
                "seed" => scenario.seed = rest[0].parse().expect("a seed"),
                "zones" => scenario.zones = rest.iter().map(|s| (*s).to_owned()).collect(),
                "nodes" => scenario.controllers = rest[0].parse().expect("a number of nodes"),
                "until" => {
                    scenario.until = Duration::from_secs_f64(rest[0].parse().expect("seconds"));
                }
                "limits" => {
                    let words = words(rest);
                    scenario.limits = (
                        number(&words, "rps", 400.0),
                        number(&words, "writes", 200.0),
                    );
                }
                "next" => {
                    let words = words(rest);
                    scenario.next = Limits {
                        rps: number(&words, "rps", 400.0),
                        writes: number(&words, "writes", 200.0),
                        ops: number(&words, "ops", 16.0) as usize,
                        value: number(&words, "value", 8192.0) as usize,
                    };
                }
                "transfers" => scenario.tuning.quota_transfers = true,
                "old" => scenario.version = Version::named(rest.first().copied()),
                "team" => {
                    let words = words(&rest[1..]);
                    scenario.teams.push(Team {
                        name: TeamName::new(rest[0]),
                        guaranteed: Quota {
                            cpus: number(&words, "guaranteed", 0.0),
                            gpus: 0.0,
                        },
                        limit: Quota::of_limit(number(&words, "limit", 0.0), 0.0),
                    });
                }
                "type" => {
                    let words = words(&rest[1..]);
                    scenario.types.push(TypeSpec {
                        name: rest[0].into(),
                        cpus: number(&words, "cpus", 8.0),
                        memory: number(&words, "memory", 64.0),
                        price: number(&words, "price", 1.0),
                        spot_price: number(&words, "spot_price", 0.4),
                        boot: number(&words, "boot", 5.0),
                        zones: words.get("zones").map_or(vec!["a".to_owned()], |list| {
                            list.split(',').map(str::to_owned).collect()
                        }),
                        count: number(&words, "count", 8.0) as usize,
                        spot_count: number(&words, "spot_count", 0.0) as usize,
                    });
                }
                "at" => scenario.timed.push(TimedAction {
                    at: Duration::from_secs_f64(rest[0].parse().expect("a time")),
                    words: rest[1..].iter().map(|s| (*s).to_owned()).collect(),
                    line: line.to_owned(),
                }),
                other => panic!("unknown statement {other}"),
            }
        }
        scenario.timed.sort_by_key(|timed| timed.at);
        scenario
    }

    /// When the last trouble is over: what users were refused until then is
    /// forgiven. Those who submit late are troubles of their own.
    fn calm_at(&self) -> Duration {
        let quiet = ["submit", "stream", "resubmit", "abort", "expect", "cloud"];
        let ends = self.timed.iter().filter_map(|timed| {
            let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
            let words = words(&parts[1..]);
            let late = seconds(&words, "late", 0.0);
            (!quiet.contains(&parts[0])).then(|| timed.at + seconds(&words, "for", 5.0) + late)
        });
        ends.max().unwrap_or_default()
    }

    /// Plays the scenario on a clock of its own; returns what went wrong.
    pub fn play(self) -> Vec<String> {
        self.measure().wrong
    }

    /// Plays the scenario as [`Self::play`] does; what was seen in it.
    pub fn measure(self) -> Measured {
        jitter::seed(self.seed);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(self.run_measured(false))
    }

    /// Plays the scenario in real time, on real sockets of the loopback range.
    pub fn play_on_loopback(self) -> Vec<String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(self.run(true))
    }

    async fn run(self, loopback: bool) -> Vec<String> {
        self.run_measured(loopback).await.wrong
    }

    async fn run_measured(self, loopback: bool) -> Measured {
        let calm_at = self.calm_at();
        let Self {
            zones,
            controllers,
            teams,
            types,
            limits,
            next,
            version,
            tuning,
            timed,
            until,
            ..
        } = self;
        let mut simulation =
            Simulation::new(zones, controllers, teams, types, limits, next, tuning);
        if loopback {
            let simulation = Arc::get_mut(&mut simulation).expect("nobody else has it yet");
            simulation.use_loopback();
        }
        simulation.serve_services().await;
        for name in simulation.controller_names() {
            simulation.set_version(&name, version);
            simulation.boot_controller(&name);
        }
        let start = Instant::now();
        let mut wrong = Vec::new();
        let use_of_limits: Arc<Mutex<Vec<UseOfLimits>>> = Arc::default();
        let ticker = {
            let (simulation, samples) = (simulation.clone(), use_of_limits.clone());
            tokio::spawn(async move {
                loop {
                    tokio::time::sleep(Duration::from_millis(250)).await;
                    simulation.tick();
                    let sample = UseOfLimits {
                        at: simulation.at(),
                        used: simulation.used(),
                    };
                    samples.lock().expect("samples").push(sample);
                }
            })
        };
        {
            let simulation = simulation.clone();
            later(calm_at, move || simulation.calm());
        }
        for timed in &timed {
            tokio::time::sleep_until(start + timed.at).await;
            let parts: Vec<&str> = timed.words.iter().map(String::as_str).collect();
            if let Err(what) = act(&simulation, &parts) {
                wrong.push(format!("{}: {what}", timed.line));
            }
        }
        tokio::time::sleep_until(start + until).await;
        ticker.abort();
        simulation.finish();
        wrong.extend(simulation.broken());
        let used = std::mem::take(&mut *use_of_limits.lock().expect("samples"));
        Measured {
            wrong,
            waits: simulation.waits(),
            used,
            starts: simulation.starts(),
            changes: simulation.state.changes(),
            changes_by_kind: simulation.state.changes_by_kind(),
            rented: simulation.rented(),
            outcomes: simulation.told.lock().expect("told").clone(),
        }
    }
}

fn later(after: Duration, action: impl FnOnce() + Send + 'static) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        action();
    });
}

/// Does one timed statement; an expectation that fails is an error.
fn act(simulation: &Arc<Simulation>, parts: &[&str]) -> Result<(), String> {
    let words = words(&parts[1..]);
    let time = seconds(&words, "for", 0.0);
    match parts[0] {
        "submit" => {
            let job = JobId::parse(parts[1]).expect("a job id");
            let spec = job_spec(&words);
            let fails = words.contains_key("fails");
            tokio::spawn(users::submit(simulation.clone(), job, spec, fails));
        }
        "stream" => {
            let first = parts[1].strip_prefix("job-").and_then(|n| n.parse().ok());
            let stream = Stream {
                count: number(&words, "count", 100.0) as u64,
                every: seconds(&words, "every", 0.25),
                cancelled: number(&words, "cancelled", 0.25),
                spec: job_spec(&words),
            };
            tokio::spawn(simulation.clone().stream(first.expect("a job id"), stream));
        }
        "looks" => {
            simulation.faults.set_close_looks(true);
            let simulation = simulation.clone();
            later(time, move || simulation.faults.set_close_looks(false));
        }
        "orders" => {
            let late = seconds(&words, "late", 16.0);
            let delay = Delay::new(number(&words, "share", 0.3), late);
            simulation.faults.set_late_orders(delay);
            let simulation = simulation.clone();
            later(time, move || {
                simulation.faults.set_late_orders(Delay::default())
            });
        }
        "resubmit" => {
            let job = JobId::parse(parts[1]).expect("a job id");
            let spec = simulation.spec(&job).expect("a job submitted before");
            let simulation = simulation.clone();
            tokio::spawn(async move { users::submit_once(&simulation, &job, &spec).await });
        }
        "abort" if parts[1] == "running" => {
            let count = number(&words, "count", 3.0) as usize;
            simulation.abort_running(count, seconds(&words, "hang", 0.0));
        }
        "abort" if parts[1] == "ending" => {
            simulation.set_abort_at_end(number(&words, "share", 0.5));
            let simulation = simulation.clone();
            later(time, move || simulation.set_abort_at_end(0.0));
        }
        "odd" => {
            tokio::spawn(users::odd(simulation.clone(), job_spec(&words)));
        }
        "abort" => {
            let job = JobId::parse(parts[1]).expect("a job id");
            tokio::spawn(users::abort(simulation.clone(), job));
        }
        "crash" => {
            let names = match parts[1] {
                "all" => simulation.controller_names(),
                "leader" => simulation.leader().into_iter().collect(),
                name => vec![name.to_owned()],
            };
            for name in names {
                simulation.kill_controller(&name);
                let simulation = simulation.clone();
                later(seconds(&words, "for", 5.0), move || {
                    simulation.boot_controller(&name)
                });
            }
        }
        // It comes back with the version that knows nothing of quota transfers.
        "downgrade" => {
            let name = parts[1].to_owned();
            simulation.kill_controller(&name);
            simulation.set_version(&name, Version::BeforeTransfers);
            let simulation = simulation.clone();
            later(seconds(&words, "for", 5.0), move || {
                simulation.boot_controller(&name)
            });
        }
        // It comes back with the new version.
        "upgrade" => {
            let name = parts[1].to_owned();
            simulation.kill_controller(&name);
            simulation.set_version(&name, Version::Current);
            let simulation = simulation.clone();
            later(seconds(&words, "for", 5.0), move || {
                simulation.boot_controller(&name)
            });
        }
        "state" => match parts[1] {
            "lowers" => simulation.lower_limits(),
            "down" => {
                simulation.state.set_down(true);
                let simulation = simulation.clone();
                later(time, move || simulation.state.set_down(false));
            }
            "refuses" => {
                let controller = match parts[2] {
                    "leader" => match simulation.leader() {
                        Some(leader) => leader,
                        None => return Ok(()),
                    },
                    name => name.to_owned(),
                };
                simulation.state.set_refused(&controller, true);
                let simulation = simulation.clone();
                later(time, move || {
                    simulation.state.set_refused(&controller, false)
                });
            }
            "lossy" => {
                simulation.set_lossy(number(&words, "share", 0.2));
                let simulation = simulation.clone();
                later(time, move || simulation.set_lossy(0.0));
            }
            "slow" => {
                simulation.set_slow(seconds(&words, "by", 0.5));
                let simulation = simulation.clone();
                later(time, move || simulation.set_slow(Duration::ZERO));
            }
            "late" => {
                simulation.set_late(number(&words, "share", 0.3), seconds(&words, "late", 5.0));
                let simulation = simulation.clone();
                later(time, move || simulation.set_late(0.0, Duration::ZERO));
            }
            other => panic!("state {other}"),
        },
        "freeze" => {
            let names = match parts[1] {
                "leader" => simulation.leader().into_iter().collect(),
                name => vec![name.to_owned()],
            };
            for name in names {
                simulation.freeze(&name, time);
            }
        }
        "cut" => {
            let cut = Cut {
                a: parts[1].into(),
                b: parts[2].into(),
                hold: words.contains_key("hold"),
            };
            simulation.add_cut(cut.clone());
            let simulation = simulation.clone();
            later(time, move || simulation.remove_cut(&cut));
        }
        "cloud" => match parts[1] {
            "down" => {
                simulation.set_cloud(true);
                let simulation = simulation.clone();
                later(time, move || simulation.set_cloud(false));
            }
            "full" => {
                simulation.set_no_capacity(true);
                let simulation = simulation.clone();
                later(time, move || simulation.set_no_capacity(false));
            }
            "boots" => {
                simulation.faults.set_boots(Boots {
                    factor: number(&words, "factor", 1.0),
                    never: number(&words, "never", 0.0),
                });
                let simulation = simulation.clone();
                later(time, move || simulation.faults.set_boots(Boots::default()));
            }
            "faulty" => simulation.set_faulty(parts[2].parse().expect("a machine's number")),
            other => panic!("cloud {other}"),
        },
        "questions" => {
            let pause = seconds(&words, "every", 0.5);
            simulation.faults.set_question_pause(Some(pause));
            let simulation = simulation.clone();
            later(time, move || simulation.faults.set_question_pause(None));
        }
        "hang" => {
            let count = parts[1].parse().expect("a number of machines");
            for machine in simulation.machines().into_iter().take(count) {
                machine.hang(time);
            }
        }
        "mute" => {
            let count = parts[1].parse().expect("a number of machines");
            for machine in simulation.machines().into_iter().take(count) {
                machine.mute(time);
            }
        }
        "deaf" => {
            let count = parts[1].parse().expect("a number of machines");
            for machine in simulation.machines().into_iter().take(count) {
                machine.deafen(time);
            }
        }
        "copies" => {
            simulation.set_copies(number(&words, "share", 0.3), seconds(&words, "late", 30.0));
            simulation
                .faults
                .set_for_next(words.contains_key("for_next"));
            let simulation = simulation.clone();
            later(time, move || {
                simulation.set_copies(0.0, Duration::ZERO);
                simulation.faults.set_for_next(false);
            });
        }
        "take" => {
            let count = parts[1].parse().expect("a number of machines");
            let spot = simulation.machines().into_iter().filter(|m| m.place.spot);
            for machine in spot.take(count) {
                match words.get("notice") {
                    Some(_) => machine.notice(seconds(&words, "notice", 5.0)),
                    None => simulation.remove(&machine.id),
                }
            }
        }
        "expect" => return expect(simulation, &parts[1..]),
        other => panic!("unknown action {other}"),
    }
    Ok(())
}

fn expect(simulation: &Arc<Simulation>, parts: &[&str]) -> Result<(), String> {
    let check = |holds: bool, found: String| if holds { Ok(()) } else { Err(found) };
    match parts {
        ["machines", "<=", most] => {
            let paid = simulation.paid();
            let most: usize = most.parse().expect("a number");
            check(paid <= most, format!("{paid} machines"))
        }
        ["machines", ">=", least] => {
            let paid = simulation.paid();
            let least: usize = least.parse().expect("a number");
            check(paid >= least, format!("{paid} machines"))
        }
        ["rented", "<=", most] => {
            let rented = simulation.rented();
            let most: usize = most.parse().expect("a number");
            check(rented <= most, format!("{rented} machines rented"))
        }
        ["starts", "<=", most] => {
            let starts = simulation.starts();
            let most: usize = most.parse().expect("a number");
            check(starts <= most, format!("{starts} starts"))
        }
        ["changes", "<=", most] => {
            let changes = simulation.state.changes();
            let most: usize = most.parse().expect("a number");
            check(changes <= most, format!("{changes} changes"))
        }
        ["keys", prefix, count] => {
            let keys = simulation.state.keys(prefix);
            let count: usize = count.parse().expect("a number");
            check(keys == count, format!("{keys} keys"))
        }
        [job, "code", code] => {
            let job = JobId::parse(job).expect("a job id");
            let found = simulation.codes.lock().expect("codes").get(&job).copied();
            check(
                found.map(|c| c.to_string()).as_deref() == Some(*code),
                format!("code {found:?}"),
            )
        }
        [job, "running", count] => {
            let job = JobId::parse(job).expect("a job id");
            let running = simulation.running(&job);
            check(
                running.to_string() == **count,
                format!("{running} tasks run"),
            )
        }
        [job, state] => {
            let job = JobId::parse(job).expect("a job id");
            let told = simulation.told.lock().expect("told").get(&job).cloned();
            check(
                told.as_deref() == Some(*state),
                format!("its user was told {told:?}"),
            )
        }
        other => panic!("unknown expectation {other:?}"),
    }
}
