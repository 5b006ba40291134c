//! PROTOCOL's rules, checked on what happens in the simulated world.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stallcove::storage::{
    JobId, JobKind, JobSpec, MachineId, TaskId, TeamName, TypeName, ZoneName,
};

#[derive(Clone, Debug)]
pub struct Place {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// What users and machines see. Times are since the start of the scenario.
#[derive(Clone, Debug)]
pub enum Event {
    /// A user has sent a job for the first time.
    Submitted(JobId, Box<JobSpec>),
    /// The job was submitted with a mistake.
    Fails(JobId),
    /// The user has asked to cancel it.
    CancelRequested(JobId),
    /// `asked` is when the request was sent: an answer may be older than one
    /// that was given while it was under way.
    Answer {
        asked: Duration,
        job: JobId,
        code: u16,
        state: Option<String>,
        submission: bool,
    },
    /// A task is on a machine from now on.
    On(TaskId, MachineId, Place),
    Off(TaskId, MachineId),
    Completed(TaskId),
    /// A submission that must be refused with this status was answered.
    InvalidAnswered(String, u16, u16),
    /// A task of a gang has joined an attempt that had begun, or was over.
    Reused(TaskId, u64),
    /// A controller was sent a message that its version cannot read.
    Unreadable(String),
}

/// What a machine that works has left.
#[derive(Clone, Debug)]
pub struct Room {
    pub place: Place,
    pub cpus: f64,
    pub memory: f64,
}

#[derive(Default)]
struct Job {
    spec: Option<Box<JobSpec>>,
    accepted_at: Option<Duration>,
    cancel_requested: bool,
    told: Option<(String, Duration)>,
    told_cancelled_at: Option<Duration>,
    completed: BTreeSet<u32>,
    submitted_at: Duration,
    /// Its last question that was answered.
    answered_at: Option<Duration>,
    begun_at: Option<Duration>,
    /// Tasks that have been on a machine.
    served: BTreeSet<u32>,
    /// Its tasks fail wherever they run.
    fails: bool,
    missed: bool,
    /// Since when it has tasks that are nowhere although there is room for one,
    /// and how many tasks were there or done then.
    waits: Option<(Duration, usize)>,
    overlooked: bool,
}

/// Without any answer for this long after all troubles a job is forgotten.
const UNANSWERED: Duration = Duration::from_secs(75);
/// With room and quota for one of its tasks no job waits longer than this.
const WAITS_AT_MOST: Duration = Duration::from_secs(90);
/// The largest jobs begin within this time; younger ones are not judged.
const BEGIN_WITHIN: Duration = Duration::from_secs(240);

pub struct Rules {
    jobs: BTreeMap<JobId, Job>,
    on: BTreeMap<TaskId, (MachineId, Place)>,
    limits: BTreeMap<TeamName, f64>,
    cancel: Duration,
    /// Since when all troubles are over.
    calm_since: Option<Duration>,
    pub broken: Vec<String>,
    pub starts: usize,
}

impl Rules {
    pub fn new(limits: BTreeMap<TeamName, f64>, cancel: Duration) -> Self {
        Self {
            jobs: BTreeMap::new(),
            on: BTreeMap::new(),
            limits,
            cancel,
            calm_since: None,
            broken: Vec::new(),
            starts: 0,
        }
    }

    fn breach(&mut self, at: Duration, rule: &str, what: impl std::fmt::Display) {
        self.broken
            .push(format!("{:.3} {rule}: {what}", at.as_secs_f64()));
    }

    pub fn see(&mut self, at: Duration, event: Event) {
        match event {
            Event::Submitted(id, spec) => {
                let job = self.jobs.entry(id).or_default();
                if job.spec.is_none() {
                    job.submitted_at = at;
                }
                job.spec.get_or_insert(spec);
            }
            Event::Fails(id) => self.jobs.entry(id).or_default().fails = true,
            Event::CancelRequested(id) => self.jobs.entry(id).or_default().cancel_requested = true,
            Event::Completed(task) => {
                let job = self.jobs.entry(task.job).or_default();
                job.completed.insert(task.index);
            }
            Event::Off(task, machine) => {
                if self.on.get(&task).is_some_and(|(on, _)| *on == machine) {
                    self.on.remove(&task);
                }
            }
            Event::On(task, machine, place) => self.started(at, task, machine, place),
            Event::Reused(task, attempt) => {
                self.breach(at, "reused", format!("{task} joins attempt {attempt}"));
            }
            Event::Unreadable(controller) => {
                self.breach(
                    at,
                    "unreadable",
                    format!("{controller} cannot read a message"),
                );
            }
            Event::InvalidAnswered(what, expected, code) => {
                if code != expected && !matches!(code, 429 | 503) {
                    self.breach(at, "odd", format!("{what} got {code}, not {expected}"));
                }
            }
            Event::Answer {
                asked,
                job,
                code,
                state,
                submission,
            } => self.answered((asked, at), job, code, state, submission),
        }
    }

    fn started(&mut self, at: Duration, task: TaskId, machine: MachineId, place: Place) {
        self.starts += 1;
        if let Some((other, _)) = self.on.get(&task)
            && *other != machine
        {
            let other = other.clone();
            self.breach(at, "ran_twice", format!("{task} on {other} and {machine}"));
        }
        let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.spec.clone()) else {
            self.breach(at, "invented", format!("{task} was started"));
            return;
        };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.begun_at.get_or_insert(at);
            job.served.insert(task.index);
        }
        let late = self.jobs[&task.job]
            .told_cancelled_at
            .is_some_and(|told| at > told + self.cancel);
        if late {
            self.breach(at, "ran_cancelled", format!("{task} started"));
        }
        let here = stallcove::storage::ZoneName::new(place.zone.as_str());
        let others: Vec<&Place> = self
            .on
            .iter()
            .filter(|(other, _)| other.job == task.job && other.index != task.index)
            .map(|(_, (_, place))| place)
            .collect();
        let same = others.iter().filter(|p| p.zone == place.zone).count() as u32;
        let kind = stallcove::storage::TypeName::new(place.kind.as_str());
        let wrong = !spec.allows_type(&kind)
            || !spec.allows_zone(&here)
            || (place.spot && !spec.spot)
            || (spec.one_zone && same < others.len() as u32)
            || (spec.spread && same + 1 > spec.zone_limit());
        if wrong {
            self.breach(at, "wrong_place", format!("{task} on {machine} in {here}"));
        }
        self.on.insert(task, (machine, place));
        let used: f64 = self
            .on
            .keys()
            .filter_map(|task| self.jobs.get(&task.job)?.spec.as_ref())
            .filter(|other| other.team == spec.team)
            .map(|other| other.per_task.cpus)
            .sum();
        if self
            .limits
            .get(&spec.team)
            .is_some_and(|limit| used > limit + 1e-6)
        {
            self.breach(at, "quota", format!("{} uses {used}", spec.team));
        }
    }

    fn answered(
        &mut self,
        (asked, at): (Duration, Duration),
        id: JobId,
        code: u16,
        state: Option<String>,
        submission: bool,
    ) {
        let job = self.jobs.entry(id.clone()).or_default();
        let mut found: Vec<(&str, String)> = Vec::new();
        match code {
            200 | 201 => {
                if job.spec.is_none() {
                    found.push(("invented", format!("{id} answered {code}")));
                }
                job.accepted_at.get_or_insert(at);
                job.answered_at = job.answered_at.max(Some(asked));
                let state = state.unwrap_or_default();
                if state == "done" {
                    let tasks = job.spec.as_ref().map_or(0, |spec| spec.tasks);
                    if (job.completed.len() as u32) < tasks {
                        found.push(("not_done", format!("{id} is reported done")));
                    }
                }
                if state == "cancelled" && !job.cancel_requested {
                    found.push(("went_back", format!("{id} was not cancelled by its user")));
                }
                if let Some((before, told_at)) = &job.told
                    && *told_at <= asked
                    && *before != state
                {
                    found.push(("went_back", format!("{id} was {before}, now {state}")));
                }
                if state == "cancelled" {
                    job.told_cancelled_at.get_or_insert(at);
                }
                if state == "done" || state == "cancelled" {
                    job.told.get_or_insert((state, at));
                }
            }
            404 if job.accepted_at.is_some_and(|accepted| accepted <= asked) => {
                found.push(("forgotten", format!("{id} got 404")))
            }
            400 | 422 if submission && job.accepted_at.is_some() => {
                found.push(("forgotten", format!("{id} got {code} on its retry")));
            }
            _ => {}
        }
        for (rule, what) in found {
            self.breach(at, rule, what);
        }
    }

    /// Looks at what is only wrong with time; called often.
    pub fn tick(&mut self, at: Duration) {
        self.find_forgotten(at);
        let late: Vec<TaskId> = self
            .on
            .keys()
            .filter(|task| {
                self.jobs[&task.job]
                    .told_cancelled_at
                    .is_some_and(|told| at > told + self.cancel)
            })
            .cloned()
            .collect();
        for task in late {
            self.breach(at, "ran_cancelled", format!("{task} is still there"));
            self.on.remove(&task);
        }
    }

    /// All troubles are over.
    pub fn calm(&mut self, at: Duration) {
        self.calm_since = Some(at);
    }

    fn find_forgotten(&mut self, at: Duration) {
        let Some(calm) = self.calm_since else { return };
        let mut forgotten = Vec::new();
        for (id, job) in &mut self.jobs {
            let Some(accepted) = job.accepted_at else {
                continue;
            };
            let known = job.answered_at.unwrap_or_default().max(accepted).max(calm);
            if at > known + UNANSWERED && !job.missed {
                job.missed = true;
                forgotten.push(id.clone());
            }
        }
        for id in forgotten {
            self.breach(at, "forgotten", format!("nobody answers for {id}"));
        }
    }

    /// Looks for jobs that wait while a machine that fits has room and their team
    /// is under its limit. `there`: tasks on machines, fetching ones too.
    pub fn watch_waiting(&mut self, at: Duration, rooms: &[Room], there: &[(TaskId, Place)]) {
        if self.calm_since.is_none() {
            return;
        }
        let mut used: BTreeMap<TeamName, f64> = BTreeMap::new();
        let mut places: BTreeMap<&JobId, BTreeMap<u32, &Place>> = BTreeMap::new();
        for (task, place) in there {
            if let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.spec.as_ref()) {
                *used.entry(spec.team.clone()).or_default() += spec.per_task.cpus;
            }
            let of_job = places.entry(&task.job).or_default();
            of_job.insert(task.index, place);
        }
        let mut found = Vec::new();
        let none = BTreeMap::new();
        for (id, job) in &mut self.jobs {
            let Some(spec) = job.spec.as_deref() else {
                continue;
            };
            let places = places.get(id).unwrap_or(&none);
            let counted = (0..spec.tasks)
                .filter(|task| places.contains_key(task) || job.completed.contains(task))
                .count();
            let wants = spec.tasks as usize - counted;
            // Of a gang all tasks need room at once.
            let needs = match spec.kind {
                JobKind::Gang => spec.tasks as usize,
                _ => 1,
            };
            let limit = self.limits.get(&spec.team).copied().unwrap_or(f64::MAX);
            let in_use = used.get(&spec.team).copied().unwrap_or(0.0);
            let waits = job.accepted_at.is_some()
                && !job.cancel_requested
                && !job.fails
                && wants > 0
                && (spec.kind != JobKind::Gang || places.is_empty())
                && in_use + spec.per_task.cpus * needs as f64 <= limit + 1e-6
                && fits(spec, places, rooms) >= needs;
            job.waits = match job.waits {
                _ if !waits => None,
                Some((since, before)) if before == counted => Some((since, before)),
                _ => Some((at, counted)),
            };
            if job
                .waits
                .is_some_and(|(since, _)| at > since + WAITS_AT_MOST)
                && !job.overlooked
            {
                job.overlooked = true;
                found.push(format!("{id}: {wants} tasks"));
            }
        }
        for what in found {
            self.breach(at, "waited", what);
        }
    }

    /// Looks at what is wrong with the whole: half of each class, of each team
    /// and of each class's largest jobs is served, and the largest begin in time.
    pub fn finish(&mut self, at: Duration) {
        let mut groups: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut largest: BTreeMap<String, u32> = BTreeMap::new();
        // A job for which its team's limit leaves nothing waits by right: replicas
        // hold their part until they are cancelled.
        let mut used: BTreeMap<&TeamName, f64> = BTreeMap::new();
        for task in self.on.keys() {
            if let Some(spec) = self.jobs[&task.job].spec.as_deref() {
                *used.entry(&spec.team).or_default() += spec.per_task.cpus;
            }
        }
        let fits = |spec: &JobSpec| {
            let limit = self.limits.get(&spec.team).copied().unwrap_or(f64::MAX);
            let used = used.get(&spec.team).copied().unwrap_or(0.0);
            // Of a gang all tasks at once.
            let needs = match spec.kind {
                JobKind::Gang => f64::from(spec.tasks),
                _ => 1.0,
            };
            used + spec.per_task.cpus * needs <= limit + 1e-6
        };
        let judged: Vec<(&JobId, &Job, &JobSpec)> = self
            .jobs
            .iter()
            .filter_map(|(id, job)| Some((id, job, job.spec.as_deref()?)))
            .filter(|(_, job, spec)| {
                job.accepted_at.is_some()
                    && !job.cancel_requested
                    && !job.fails
                    && (job.served.len() as u32 == spec.tasks || fits(spec))
                    && at >= job.submitted_at + BEGIN_WITHIN
            })
            .collect();
        for (_, _, spec) in &judged {
            let most = largest.entry(spec.class.to_string()).or_default();
            *most = spec.tasks.max(*most);
        }
        let mut late = Vec::new();
        for (id, job, spec) in judged {
            let served = job.served.len() as u32 == spec.tasks;
            let is_largest = spec.tasks == largest[spec.class.as_str()];
            let mut names = vec![
                format!("class {}", spec.class),
                format!("team {}", spec.team),
            ];
            if is_largest {
                names.push(format!("largest of class {}", spec.class));
                if job
                    .begun_at
                    .is_none_or(|begun| begun > job.submitted_at + BEGIN_WITHIN)
                {
                    late.push(id.clone());
                }
            }
            for name in names {
                let group = groups.entry(name).or_default();
                group.0 += 1;
                group.1 += usize::from(served);
            }
        }
        for id in late {
            self.breach(at, "began_late", id);
        }
        for (name, (all, served)) in groups {
            if served * 2 < all {
                self.breach(at, "unserved", format!("{name}: {served} of {all}"));
            }
        }
    }

    /// Jobs with tasks on machines that their users have not called off, and where
    /// these tasks are.
    pub fn running_jobs(&self) -> Vec<(JobId, BTreeSet<MachineId>)> {
        let mut jobs: BTreeMap<JobId, BTreeSet<MachineId>> = BTreeMap::new();
        for (task, (machine, _)) in &self.on {
            if !self.jobs[&task.job].cancel_requested {
                let machines = jobs.entry(task.job.clone()).or_default();
                machines.insert(machine.clone());
            }
        }
        jobs.into_iter().collect()
    }

    /// All tasks of the job have completed.
    pub fn is_complete(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|job| {
            let tasks = job.spec.as_ref().map_or(u32::MAX, |spec| spec.tasks);
            job.completed.len() as u32 >= tasks
        })
    }

    /// How long jobs took from their submission to their first task's start, by time of
    /// submission; none: it has not begun.
    pub fn waits(&self) -> Vec<(Duration, Option<Duration>)> {
        let jobs = self.jobs.values().filter(|job| job.spec.is_some());
        jobs.map(|job| {
            let wait = job.begun_at.map(|at| at.saturating_sub(job.submitted_at));
            (job.submitted_at, wait)
        })
        .collect()
    }

    /// CPUs that each team's tasks take on machines now.
    pub fn used(&self) -> BTreeMap<TeamName, f64> {
        let mut used: BTreeMap<TeamName, f64> = BTreeMap::new();
        for task in self.on.keys() {
            if let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.spec.as_ref()) {
                *used.entry(spec.team.clone()).or_default() += spec.per_task.cpus;
            }
        }
        used
    }

    pub fn running(&self, job: &JobId) -> usize {
        self.on.keys().filter(|task| task.job == *job).count()
    }
}

/// How many more tasks of the job have room, with the zones of the others.
fn fits(spec: &JobSpec, places: &BTreeMap<u32, &Place>, rooms: &[Room]) -> usize {
    let in_zone = |zone: &str| places.values().filter(|place| place.zone == zone).count();
    let count = |room: &Room| {
        let place = &room.place;
        let allowed = spec.allows_type(&TypeName::new(place.kind.as_str()))
            && spec.allows_zone(&ZoneName::new(place.zone.as_str()))
            && (!place.spot || spec.spot)
            && (!spec.one_zone || in_zone(&place.zone) == places.len())
            && (!spec.spread || in_zone(&place.zone) < spec.zone_limit() as usize);
        let part = |have: f64, want: f64| {
            if want > 0.0 {
                (have + 1e-6) / want
            } else {
                f64::MAX
            }
        };
        let fitting =
            part(room.cpus, spec.per_task.cpus).min(part(room.memory, spec.per_task.memory));
        if allowed { fitting as usize } else { 0 }
    };
    if !spec.one_zone {
        return rooms.iter().map(count).sum();
    }
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for room in rooms {
        *zones.entry(room.place.zone.as_str()).or_default() += count(room);
    }
    zones.into_values().max().unwrap_or(0)
}
