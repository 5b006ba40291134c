//! The rule that no job waits while there is capacity and quota for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stallcove::storage::{JobId, JobKind, JobSpec, TaskId, TeamName};

use super::{
    FreeCapacity, JobHistory, MachineKind, Rules, TOLERANCE, WaitingSince,
    placement::{OtherTasks, allows},
    tasks_started_at_once,
    violations::Rule,
};

/// With capacity and quota for one of its tasks no job waits longer than this.
const MAX_WAIT: Duration = Duration::from_secs(90);

/// The machines that each task of a job is on, by the task's index.
type MachinesOfJob<'a> = BTreeMap<u32, &'a MachineKind>;

impl Rules {
    /// Looks for jobs that wait while a machine that fits has capacity and their team
    /// is under its limit. `placed`: tasks on machines, fetching ones too.
    pub fn check_waiting(
        &mut self,
        at: Duration,
        free: &[FreeCapacity],
        placed: &[(TaskId, MachineKind)],
    ) {
        if self.faults_ended_at.is_none() {
            return;
        }
        let used = self.cpus_by_team(placed.iter().map(|(task, _)| task));
        let mut machines: BTreeMap<&JobId, MachinesOfJob<'_>> = BTreeMap::new();
        for (task, kind) in placed {
            let of_job = machines.entry(&task.job).or_default();
            of_job.insert(task.index, kind);
        }
        let mut found = Vec::new();
        let nowhere = MachinesOfJob::new();
        for (id, job) in &mut self.jobs {
            let Some(spec) = job.spec.as_deref() else {
                continue;
            };
            let machines = machines.get(id).unwrap_or(&nowhere);
            let counted_tasks = count_placed_or_completed(spec, machines, &job.completed);
            let missing = spec.tasks as usize - counted_tasks;
            let waits = missing > 0
                && must_be_served(job)
                && (spec.kind != JobKind::Gang || machines.is_empty())
                && is_within_limit(spec, &used, &self.limits)
                && fitting_tasks(spec, machines, free) >= tasks_started_at_once(spec) as usize;
            job.waiting = match job.waiting {
                _ if !waits => None,
                Some(before) if before.counted_tasks == counted_tasks => Some(before),
                _ => Some(WaitingSince {
                    since: at,
                    counted_tasks,
                }),
            };
            let waits_too_long = job
                .waiting
                .is_some_and(|waiting| at > waiting.since + MAX_WAIT);
            if waits_too_long && !job.is_reported_waiting {
                job.is_reported_waiting = true;
                found.push(format!("{id}: {missing} tasks"));
            }
        }
        for what in found {
            self.report(at, Rule::Waited, what);
        }
    }
}

/// How many tasks of the job are on machines or have completed.
fn count_placed_or_completed(
    spec: &JobSpec,
    machines: &MachinesOfJob<'_>,
    completed: &BTreeSet<u32>,
) -> usize {
    (0..spec.tasks)
        .filter(|task| machines.contains_key(task) || completed.contains(task))
        .count()
}

/// Whether the job is one that the controllers owe a start.
pub(super) fn must_be_served(job: &JobHistory) -> bool {
    job.accepted_at.is_some() && !job.cancel_requested && !job.fails
}

/// Whether the team's limit leaves enough for the tasks that must start at once.
pub(super) fn is_within_limit(
    spec: &JobSpec,
    used: &BTreeMap<TeamName, f64>,
    limits: &BTreeMap<TeamName, f64>,
) -> bool {
    let limit = limits.get(&spec.team).copied().unwrap_or(f64::MAX);
    let used = used.get(&spec.team).copied().unwrap_or(0.0);
    let demand = spec.per_task.cpus * f64::from(tasks_started_at_once(spec));
    used + demand <= limit + TOLERANCE
}

/// How many more tasks of the job fit, given the zones of those that are on machines.
fn fitting_tasks(spec: &JobSpec, machines: &MachinesOfJob<'_>, free: &[FreeCapacity]) -> usize {
    let fitting = |free: &FreeCapacity| fitting_on_machine(spec, machines, free);
    if !spec.one_zone {
        return free.iter().map(fitting).sum();
    }
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for machine in free {
        *zones.entry(machine.kind.zone.as_str()).or_default() += fitting(machine);
    }
    zones.into_values().max().unwrap_or(0)
}

fn fitting_on_machine(spec: &JobSpec, machines: &MachinesOfJob<'_>, free: &FreeCapacity) -> usize {
    let in_zone = machines
        .values()
        .filter(|kind| kind.zone == free.kind.zone)
        .count();
    let others = OtherTasks {
        total: machines.len(),
        in_zone,
    };
    if !allows(spec, &free.kind, others) {
        return 0;
    }
    let by_cpus = times_contained(free.cpus, spec.per_task.cpus);
    let by_memory = times_contained(free.memory, spec.per_task.memory);
    by_cpus.min(by_memory) as usize
}

/// How many times a demand fits; a demand of nothing fits any number of times.
fn times_contained(free: f64, demand: f64) -> f64 {
    if demand > 0.0 {
        (free + TOLERANCE) / demand
    } else {
        f64::MAX
    }
}
