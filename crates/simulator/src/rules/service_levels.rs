//! Rules on the scenario as a whole: every class and team is served, and large jobs begin in
//! time.

use std::{collections::BTreeMap, time::Duration};

use stallcove::storage::{JobId, JobSpec};

use super::{
    JobHistory, Rules,
    violations::Rule,
    waiting::{is_within_limit, must_be_served},
};

/// The largest jobs begin within this time; younger ones are not judged.
const MAX_TIME_TO_BEGIN: Duration = Duration::from_secs(240);

/// A job that had time and quota enough to be served.
struct JudgedJob<'a> {
    id: &'a JobId,
    history: &'a JobHistory,
    spec: &'a JobSpec,
}

impl JudgedJob<'_> {
    fn began_late(&self) -> bool {
        self.history
            .begun_at
            .is_none_or(|begun| begun > self.history.submitted_at + MAX_TIME_TO_BEGIN)
    }

    /// The groups of jobs that it belongs to.
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

/// How many jobs of a group were served.
#[derive(Default)]
struct ServedShare {
    jobs: usize,
    served: usize,
}

impl Rules {
    /// Looks at what is wrong with the whole: half of each class, of each team
    /// and of each class's largest jobs is served, and the largest begin in time.
    pub fn finish(&mut self, at: Duration) {
        let judged = self.judged_jobs(at);
        let largest = largest_by_class(&judged);
        let mut groups: BTreeMap<String, ServedShare> = BTreeMap::new();
        let mut late: Vec<JobId> = Vec::new();
        for job in judged {
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

    /// A job for which its team's limit leaves nothing waits by right: replicas
    /// hold their part until they are cancelled.
    fn judged_jobs(&self, at: Duration) -> Vec<JudgedJob<'_>> {
        let used = self.used();
        let submitted = self.jobs.iter().filter_map(|(id, history)| {
            let spec = history.spec.as_deref()?;
            Some(JudgedJob { id, history, spec })
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

/// The number of tasks of the largest judged job of each class.
fn largest_by_class(judged: &[JudgedJob<'_>]) -> BTreeMap<String, u32> {
    let mut largest: BTreeMap<String, u32> = BTreeMap::new();
    for job in judged {
        let tasks = largest.entry(job.spec.class.to_string()).or_default();
        *tasks = job.spec.tasks.max(*tasks);
    }
    largest
}
