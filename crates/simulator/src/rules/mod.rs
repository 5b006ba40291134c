//! The rules of the protocol, checked on what happens in the simulated cluster.
//!
//! [`Rules`] owns the history of each job and the tasks that are on machines now. The
//! simulation passes it every [`Event`] as it happens, and calls [`Rules::check_deadlines`]
//! and [`Rules::check_waiting`] often and [`Rules::finish`] once. All times are since the
//! start of the scenario. A violation is kept until the end of the scenario, which fails then.

mod answers;
mod events;
mod placement;
mod service_levels;
mod violations;
mod waiting;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stallcove::storage::{JobId, JobKind, JobSpec, MachineId, TaskId, TeamName};

pub use events::{Event, FreeCapacity, MachineKind, UserAnswer};
use violations::Rule;

/// Sums of CPUs within this much of a limit keep it.
const TOLERANCE: f64 = 1e-6;

/// A job that waits although it need not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WaitingSince {
    /// Since when it waits.
    since: Duration,
    /// How many of its tasks were on machines or completed then.
    counted_tasks: usize,
}

/// A final state that a user was told.
struct ReportedState {
    state: String,
    at: Duration,
}

/// What has happened to one job.
#[derive(Default)]
struct JobHistory {
    /// What was submitted; none: only answers or tasks have been seen.
    spec: Option<Box<JobSpec>>,
    submitted_at: Duration,
    accepted_at: Option<Duration>,
    cancel_requested: bool,
    final_state: Option<ReportedState>,
    reported_cancelled_at: Option<Duration>,
    /// Tasks that have completed.
    completed: BTreeSet<u32>,
    /// When its last answered request was sent.
    answered_at: Option<Duration>,
    begun_at: Option<Duration>,
    /// Tasks that have been on a machine.
    served: BTreeSet<u32>,
    /// Its tasks fail wherever they run.
    fails: bool,
    /// That nobody answers for it is reported already.
    is_reported_forgotten: bool,
    /// It has tasks that are nowhere although there is capacity for one.
    waiting: Option<WaitingSince>,
    /// That it waits is reported already.
    is_reported_waiting: bool,
}

impl JobHistory {
    /// Whether all of its tasks have been on a machine.
    fn is_served(&self, spec: &JobSpec) -> bool {
        self.served.len() as u32 == spec.tasks
    }
}

/// A machine that a task is on.
struct RunningOn {
    machine: MachineId,
    kind: MachineKind,
}

/// How many tasks of a job must start at once: of a gang all of them.
fn tasks_started_at_once(spec: &JobSpec) -> u32 {
    match spec.kind {
        JobKind::Gang => spec.tasks,
        _ => 1,
    }
}

/// The rule checkers, with all that they know.
pub struct Rules {
    jobs: BTreeMap<JobId, JobHistory>,
    running: BTreeMap<TaskId, RunningOn>,
    /// CPUs that each team may use.
    limits: BTreeMap<TeamName, f64>,
    /// How long tasks may stay once their user was told that the job is cancelled.
    cancel: Duration,
    /// Since when all injected faults are over.
    faults_ended_at: Option<Duration>,
    /// The rules that were broken, one line each.
    pub violations: Vec<String>,
    /// How often a task was started.
    pub starts: usize,
}

impl Rules {
    /// Checkers that have seen nothing yet. `limits` are the teams' CPUs; `cancel` is how long
    /// tasks may stay once their user was told that the job is cancelled.
    pub fn new(limits: BTreeMap<TeamName, f64>, cancel: Duration) -> Self {
        Self {
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            limits,
            cancel,
            faults_ended_at: None,
            violations: Vec::new(),
            starts: 0,
        }
    }

    fn report(&mut self, at: Duration, rule: Rule, what: impl std::fmt::Display) {
        self.violations.push(violations::describe(at, rule, what));
    }

    /// Takes in what has just happened.
    pub fn record(&mut self, at: Duration, event: Event) {
        match event {
            Event::Submitted(id, spec) => {
                let job = self.jobs.entry(id).or_default();
                if job.spec.is_none() {
                    job.submitted_at = at;
                }
                job.spec.get_or_insert(spec);
            }
            Event::FailsWhenRun(id) => self.jobs.entry(id).or_default().fails = true,
            Event::CancelRequested(id) => self.jobs.entry(id).or_default().cancel_requested = true,
            Event::TaskCompleted(task) => {
                let job = self.jobs.entry(task.job).or_default();
                job.completed.insert(task.index);
            }
            Event::TaskStopped(task, machine) => {
                if self
                    .running
                    .get(&task)
                    .is_some_and(|running| running.machine == machine)
                {
                    self.running.remove(&task);
                }
            }
            Event::TaskStarted(task, machine, kind) => {
                self.check_start(at, task, RunningOn { machine, kind });
            }
            Event::AttemptReused(task, attempt) => {
                let what = format!("{task} joins attempt {attempt}");
                self.report(at, Rule::Reused, what);
            }
            Event::UnreadableMessage(controller) => {
                let what = format!("{controller} cannot read a message");
                self.report(at, Rule::Unreadable, what);
            }
            Event::InvalidSubmissionAnswered {
                what,
                expected,
                status,
            } => self.check_invalid_submission(at, &what, expected, status),
            Event::UserAnswered(answer) => self.check_answer(at, answer),
        }
    }

    /// All injected faults are over.
    pub fn note_faults_ended(&mut self, at: Duration) {
        self.faults_ended_at = Some(at);
    }

    /// Looks for what becomes wrong with time; called often.
    pub fn check_deadlines(&mut self, at: Duration) {
        self.find_forgotten(at);
        self.find_cancelled_tasks(at);
    }

    /// CPUs that the team may use.
    fn limit(&self, team: &TeamName) -> f64 {
        self.limits.get(team).copied().unwrap_or(f64::MAX)
    }

    /// The job's submission, if one has been seen.
    fn spec(&self, job: &JobId) -> Option<&JobSpec> {
        self.jobs.get(job)?.spec.as_deref()
    }

    /// Jobs with tasks on machines that their users have not cancelled, and where
    /// these tasks are.
    pub fn running_jobs(&self) -> Vec<(JobId, BTreeSet<MachineId>)> {
        let mut jobs: BTreeMap<JobId, BTreeSet<MachineId>> = BTreeMap::new();
        for (task, running) in &self.running {
            if !self.jobs[&task.job].cancel_requested {
                let machines = jobs.entry(task.job.clone()).or_default();
                machines.insert(running.machine.clone());
            }
        }
        jobs.into_iter().collect()
    }

    /// Whether all tasks of the job have completed.
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
        self.cpus_by_team(self.running.keys())
    }

    /// CPUs that these tasks take, by team.
    fn cpus_by_team<'a>(
        &self,
        tasks: impl IntoIterator<Item = &'a TaskId>,
    ) -> BTreeMap<TeamName, f64> {
        let mut used: BTreeMap<TeamName, f64> = BTreeMap::new();
        for task in tasks {
            if let Some(spec) = self.spec(&task.job) {
                *used.entry(spec.team.clone()).or_default() += spec.per_task.cpus;
            }
        }
        used
    }

    /// How many tasks of the job are on machines.
    pub fn running(&self, job: &JobId) -> usize {
        self.running.keys().filter(|task| task.job == *job).count()
    }
}
