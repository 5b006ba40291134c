//! Checkers of the protocol's rules, applied to the events of the simulated cluster.
//!
//! [`Rules`] owns the history of each job and the tasks that are on machines now. The
//! simulation passes it every [`Event`] as it happens, calls [`Rules::check_deadlines`] and
//! [`Rules::check_waiting`] periodically, and [`Rules::finish`] once at the end. All times are
//! since the start of the scenario. Violations are collected; a scenario with any of them fails.

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

/// Sums of CPUs or memory may exceed a limit by this much, to allow for rounding.
const TOLERANCE: f64 = 1e-6;

/// State of a job that waits although there is capacity and quota for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WaitingSince {
    /// Start of the wait.
    since: Duration,
    /// Number of its tasks that were placed or completed at that time. The wait restarts when
    /// the number changes.
    counted_tasks: usize,
}

/// A final state that was reported to a user.
struct ReportedState {
    state: String,
    at: Duration,
}

/// History of one job.
#[derive(Default)]
struct JobHistory {
    /// The submission; `None` if only answers or tasks have been seen.
    spec: Option<Box<JobSpec>>,
    submitted_at: Duration,
    accepted_at: Option<Duration>,
    cancel_requested: bool,
    final_state: Option<ReportedState>,
    reported_cancelled_at: Option<Duration>,
    /// Tasks that have completed.
    completed: BTreeSet<u32>,
    /// When the latest successfully answered request was sent.
    answered_at: Option<Duration>,
    begun_at: Option<Duration>,
    /// Tasks that have been on a machine.
    served: BTreeSet<u32>,
    /// Whether its tasks fail on any machine.
    fails: bool,
    /// Whether the job was already reported as forgotten.
    is_reported_forgotten: bool,
    /// Set while tasks of the job are not placed although there is capacity and quota for them.
    waiting: Option<WaitingSince>,
    /// Whether the job was already reported as waiting.
    is_reported_waiting: bool,
}

impl JobHistory {
    /// Whether each of its tasks has been on a machine.
    fn is_served(&self, spec: &JobSpec) -> bool {
        self.served.len() as u32 == spec.tasks
    }
}

/// The machine on which a task runs.
struct RunningOn {
    machine: MachineId,
    kind: MachineKind,
}

/// Returns the number of tasks that must start together: all tasks of a gang, otherwise 1.
fn tasks_started_at_once(spec: &JobSpec) -> u32 {
    match spec.kind {
        JobKind::Gang => spec.tasks,
        _ => 1,
    }
}

/// The rule checkers and their state.
pub struct Rules {
    jobs: BTreeMap<JobId, JobHistory>,
    running: BTreeMap<TaskId, RunningOn>,
    /// CPU limit of each team.
    limits: BTreeMap<TeamName, f64>,
    /// Maximum time that tasks may stay on machines after their user was informed that the
    /// job is cancelled.
    max_cancel_time: Duration,
    /// When all injected faults were over; `None` until then.
    faults_ended_at: Option<Duration>,
    /// Keys that were already reported as differing from the state service, with the controllers.
    reported_keys: BTreeSet<String>,
    /// The rule violations found so far, one line each.
    pub violations: Vec<String>,
    /// Number of task starts.
    pub task_starts: usize,
}

impl Rules {
    /// Creates checkers without history. `limits` are the teams' CPU limits; `max_cancel_time` is
    /// how long tasks may stay on machines after their user was informed that the job is cancelled.
    pub fn new(limits: BTreeMap<TeamName, f64>, max_cancel_time: Duration) -> Self {
        Self {
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            limits,
            max_cancel_time,
            faults_ended_at: None,
            reported_keys: BTreeSet::new(),
            violations: Vec::new(),
            task_starts: 0,
        }
    }

    fn report(&mut self, at: Duration, rule: Rule, what: impl std::fmt::Display) {
        self.violations.push(violations::describe(at, rule, what));
    }

    /// Records an event and checks the rules that apply to it.
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
            Event::CacheDiffers { controller, key } => {
                let what = format!("{controller} has another {key}");
                if self.reported_keys.insert(what.clone()) {
                    self.report(at, Rule::CacheDiffers, what);
                }
            }
            Event::InvalidSubmissionAnswered {
                what,
                expected,
                status,
            } => self.check_invalid_submission(at, &what, expected, status),
            Event::UserAnswered(answer) => self.check_answer(at, answer),
        }
    }

    /// Records that all injected faults are over.
    pub fn note_faults_ended(&mut self, at: Duration) {
        self.faults_ended_at = Some(at);
    }

    /// Checks the rules that can be violated by the passing of time. Must be called periodically.
    pub fn check_deadlines(&mut self, at: Duration) {
        self.find_forgotten(at);
        self.find_cancelled_tasks(at);
    }

    /// Returns the CPU limit of the team.
    fn limit(&self, team: &TeamName) -> f64 {
        self.limits.get(team).copied().unwrap_or(f64::MAX)
    }

    /// Returns the job's submission, if one has been seen.
    fn spec(&self, job: &JobId) -> Option<&JobSpec> {
        self.jobs.get(job)?.spec.as_deref()
    }

    /// Returns the jobs that have tasks on machines and are not cancelled by their users, with
    /// these machines.
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

    /// Returns for each submitted job its submission time, and the delay until its first task
    /// started; `None` if none has started.
    pub fn start_delays(&self) -> Vec<(Duration, Option<Duration>)> {
        let jobs = self.jobs.values().filter(|job| job.spec.is_some());
        jobs.map(|job| {
            let wait = job.begun_at.map(|at| at.saturating_sub(job.submitted_at));
            (job.submitted_at, wait)
        })
        .collect()
    }

    /// Returns the CPUs that each team's tasks use on machines now.
    pub fn used_cpus(&self) -> BTreeMap<TeamName, f64> {
        self.cpus_by_team(self.running.keys())
    }

    /// Returns the CPUs that these tasks use, by team.
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

    /// Returns the number of the job's tasks that are on machines.
    pub fn running_tasks(&self, job: &JobId) -> usize {
        self.running.keys().filter(|task| task.job == *job).count()
    }
}
