//! Rules on the scenario as a whole: enough jobs of every class and team are served, and the
//! largest jobs start in time.

use std::{collections::BTreeMap, time::Duration};

use stallcove::storage::{JobId, JobSpec};

use super::{
    JobHistory, Rules,
    violations::Rule,
    waiting::{is_within_limit, must_be_served},
};

/// Maximum time from the submission of one of the largest jobs to its first task start. Jobs
/// submitted more recently than this are not checked.
const MAX_TIME_TO_BEGIN: Duration = Duration::from_secs(240);

/// A job that had enough time and quota to be served.
struct EligibleJob<'a> {
    id: &'a JobId,
    history: &'a JobHistory,
    spec: &'a JobSpec,
}

impl EligibleJob<'_> {
    fn began_late(&self) -> bool {
        self.history
            .begun_at
            .is_none_or(|begun| begun > self.history.submitted_at + MAX_TIME_TO_BEGIN)
    }

    /// Returns the names of the groups of jobs to which the job belongs.
    fn groups(&self, is_largest: bool) -> Vec<String> {
        let mut groups = vec![
            format!("class {}", self.spec.class),
            format!("team {}", self.spec.team),
        ];
        if is_largest {
            groups.push(format!("largest of class {}", self.spec.class));
        }
        groups
    }
}

/// Number of jobs of a group, and of those that were served.
#[derive(Default)]
struct ServedShare {
    jobs: usize,
    served: usize,
}

impl Rules {
    /// Checks the rules on the scenario as a whole, at its end: at least half of the jobs of each
    /// class, of each team and of each class's largest jobs must be served, and the largest must
    /// start in time.
    pub fn finish(&mut self, at: Duration) {
        let eligible = self.eligible_jobs(at);
        let largest = largest_by_class(&eligible);
        let mut groups: BTreeMap<String, ServedShare> = BTreeMap::new();
        let mut late: Vec<JobId> = Vec::new();
        for job in eligible {
            let is_largest = job.spec.tasks == largest[job.spec.class.as_str()];
            if is_largest && job.began_late() {
                late.push(job.id.clone());
            }
            let is_served = job.history.is_served(job.spec);
            for group in job.groups(is_largest) {
                let share = groups.entry(group).or_default();
                share.jobs += 1;
                share.served += usize::from(is_served);
            }
        }
        for id in late {
            self.report(at, Rule::BeganLate, id);
        }
        for (group, ServedShare { jobs, served }) in groups {
            if served * 2 < jobs {
                self.report(at, Rule::Unserved, format!("{group}: {served} of {jobs}"));
            }
        }
    }

    /// Returns the jobs that had to be served by now. An unserved job is excluded if its team's
    /// limit leaves no quota for it: services keep their share of the limit until cancelled.
    fn eligible_jobs(&self, at: Duration) -> Vec<EligibleJob<'_>> {
        let used = self.used_cpus();
        let submitted = self.jobs.iter().filter_map(|(id, history)| {
            let spec = history.spec.as_deref()?;
            Some(EligibleJob { id, history, spec })
        });
        submitted
            .filter(|job| {
                must_be_served(job.history)
                    && (job.history.is_served(job.spec)
                        || is_within_limit(job.spec, &used, &self.limits))
                    && at >= job.history.submitted_at + MAX_TIME_TO_BEGIN
            })
            .collect()
    }
}

/// Returns the number of tasks of the largest of these jobs in each class.
fn largest_by_class(eligible: &[EligibleJob<'_>]) -> BTreeMap<String, u32> {
    let mut largest: BTreeMap<String, u32> = BTreeMap::new();
    for job in eligible {
        let tasks = largest.entry(job.spec.class.to_string()).or_default();
        *tasks = job.spec.tasks.max(*tasks);
    }
    largest
}
