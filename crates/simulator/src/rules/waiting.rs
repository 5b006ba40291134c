//! The rule that no job waits too long while there is capacity and quota for it.

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

/// Maximum time that a job may wait while there is capacity and quota for the tasks that must
/// start together.
const MAX_WAIT: Duration = Duration::from_secs(90);

/// Kind of the machine of each placed task of a job, by the task's index.
type MachinesOfJob<'a> = BTreeMap<u32, &'a MachineKind>;

impl Rules {
    /// Reports jobs that wait too long while there is suitable free capacity and their team's limit
    /// allows more tasks. `placed` are the tasks that occupy capacity, including those that are
    /// still downloading their image. Checks nothing before the faults are over.
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
        let no_machines = MachinesOfJob::new();
        for (id, job) in &mut self.jobs {
            let Some(spec) = job.spec.as_deref() else {
                continue;
            };
            let machines = machines.get(id).unwrap_or(&no_machines);
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

/// Returns the number of the job's tasks that are placed or have completed.
fn count_placed_or_completed(
    spec: &JobSpec,
    machines: &MachinesOfJob<'_>,
    completed: &BTreeSet<u32>,
) -> usize {
    (0..spec.tasks)
        .filter(|task| machines.contains_key(task) || completed.contains(task))
        .count()
}

/// Whether the controllers must start the job: it is accepted, not cancelled and not defective.
pub(super) fn must_be_served(job: &JobHistory) -> bool {
    job.accepted_at.is_some() && !job.cancel_requested && !job.fails
}

/// Whether the team's limit leaves enough CPUs for the tasks that must start together.
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

/// Returns how many more tasks of the job fit into the free capacity, given the zones of its
/// placed tasks.
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
    let by_cpus = fit_count(free.cpus, spec.per_task.cpus);
    let by_memory = fit_count(free.memory, spec.per_task.memory);
    by_cpus.min(by_memory) as usize
}

/// Returns how often a demand fits into the free capacity; a zero demand always fits.
fn fit_count(free: f64, demand: f64) -> f64 {
    if demand > 0.0 {
        (free + TOLERANCE) / demand
    } else {
        f64::MAX
    }
}
