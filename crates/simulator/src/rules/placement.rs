//! Rules on the machines and times at which tasks may run.

use std::time::Duration;

use stallcove::storage::{JobId, JobSpec, TaskId, TypeName, ZoneName};

use super::{MachineKind, Rules, RunningOn, TOLERANCE, violations::Rule};

/// Number of the other tasks of a job, in total and in one zone.
#[derive(Clone, Copy)]
pub(super) struct OtherTasks {
    /// Number of other tasks in all zones.
    pub(super) total: usize,
    /// Number of other tasks in the zone.
    pub(super) in_zone: usize,
}

/// Whether a job's constraints allow another of its tasks on a machine of this kind.
pub(super) fn allows(spec: &JobSpec, kind: &MachineKind, others: OtherTasks) -> bool {
    spec.allows_type(&TypeName::new(kind.machine_type.as_str()))
        && spec.allows_zone(&ZoneName::new(kind.zone.as_str()))
        && (!kind.spot || spec.spot)
        && (!spec.one_zone || others.in_zone == others.total)
        && (!spec.spread || others.in_zone < spec.zone_limit() as usize)
}

impl Rules {
    /// Records the start of a task on a machine, and checks the rules on it.
    pub(super) fn check_start(&mut self, at: Duration, task: TaskId, running_on: RunningOn) {
        self.task_starts += 1;
        self.check_runs_once(at, &task, &running_on);
        let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.spec.clone()) else {
            self.report(at, Rule::Invented, format!("{task} was started"));
            return;
        };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.begun_at.get_or_insert(at);
            job.served.insert(task.index);
        }
        if self.is_past_cancellation(at, &task.job) {
            self.report(at, Rule::RanCancelled, format!("{task} started"));
        }
        self.check_machine(at, &spec, &task, &running_on);
        self.running.insert(task, running_on);
        self.check_limit(at, &spec);
    }

    fn check_runs_once(&mut self, at: Duration, task: &TaskId, running_on: &RunningOn) {
        let machine = &running_on.machine;
        let Some(other) = self.running.get(task) else {
            return;
        };
        if other.machine != *machine {
            let what = format!("{task} on {} and {machine}", other.machine);
            self.report(at, Rule::RanTwice, what);
        }
    }

    fn check_machine(&mut self, at: Duration, spec: &JobSpec, task: &TaskId, on: &RunningOn) {
        let others: Vec<&str> = self
            .running
            .iter()
            .filter(|(other, _)| other.job == task.job && other.index != task.index)
            .map(|(_, other)| other.kind.zone.as_str())
            .collect();
        let in_zone = others.iter().filter(|zone| **zone == on.kind.zone).count();
        let others = OtherTasks {
            total: others.len(),
            in_zone,
        };
        if !allows(spec, &on.kind, others) {
            let what = format!("{task} on {} in {}", on.machine, on.kind.zone);
            self.report(at, Rule::WrongPlace, what);
        }
    }

    fn check_limit(&mut self, at: Duration, spec: &JobSpec) {
        let used: f64 = self
            .running
            .keys()
            .filter_map(|task| self.spec(&task.job))
            .filter(|other| other.team == spec.team)
            .map(|other| other.per_task.cpus)
            .sum();
        if used > self.limit(&spec.team) + TOLERANCE {
            self.report(at, Rule::Quota, format!("{} uses {used}", spec.team));
        }
    }

    /// Whether no task of the job may remain on a machine, because its user was informed of its
    /// cancellation more than the maximum time ago.
    fn is_past_cancellation(&self, at: Duration, job: &JobId) -> bool {
        self.jobs[job]
            .reported_cancelled_at
            .is_some_and(|reported| at > reported + self.max_cancel_time)
    }

    /// Reports tasks of cancelled jobs that are still on machines after the maximum time.
    pub(super) fn find_cancelled_tasks(&mut self, at: Duration) {
        let late: Vec<TaskId> = self
            .running
            .keys()
            .filter(|task| self.is_past_cancellation(at, &task.job))
            .cloned()
            .collect();
        for task in late {
            self.report(at, Rule::RanCancelled, format!("{task} is still there"));
            self.running.remove(&task);
        }
    }
}
