//! The measured cases. Each one has bursts of jobs that move from one controller's machines to
//! the next, a period without a leader, and an overload that exhausts the teams' limits.

use std::{thread, time::Duration};

use hdrhistogram::Histogram;
use simulator::scenario::{Measurements, Scenario};

/// Number of controllers and teams of a case, and whether controllers transfer quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    pub controllers: usize,
    pub teams: usize,
    pub transfers: bool,
}

/// Limit of each team. It suffices for three tasks only, so that a burst of two tasks needs
/// quota from several controllers.
const TEAM_LIMIT_CPUS: f64 = 6.0;
/// Start of the bursts. By then machines have booted and images are cached.
const BURSTS_START_S: f64 = 40.0;
/// Time at which the leader crashes. It stays down long enough for another controller to
/// replace it.
const LEADER_CRASH_S: f64 = 119.0;
/// Jobs submitted within this time after the crash are counted separately.
const WITHOUT_LEADER_S: f64 = 5.0;
const OVERLOAD_START_S: f64 = 150.0;
const OVERLOAD_END_S: f64 = 200.0;
/// Maximum recorded wait; longer ones are recorded as this.
const MAX_WAIT_MS: u64 = 600_000;
/// Rate of jobs in bursts, over all teams. It stays below the capacity of the state service.
const JOBS_PER_SECOND: f64 = 5.0;

impl Case {
    /// Returns all cases of the report.
    pub fn all() -> Vec<Case> {
        let sizes = [3, 5, 9].into_iter().flat_map(|c| [(c, 10), (c, 100)]);
        sizes
            .flat_map(|(controllers, teams)| {
                [false, true].map(|transfers| Case {
                    controllers,
                    teams,
                    transfers,
                })
            })
            .collect()
    }

    /// Returns the name of the case in the report.
    pub fn name(&self) -> String {
        let division = if self.transfers {
            "transfers"
        } else {
            "leader"
        };
        format!(
            "{} controllers, {} teams, {division}",
            self.controllers, self.teams
        )
    }

    /// Returns the seconds between two bursts of all teams.
    fn burst_interval_s(&self) -> f64 {
        (self.teams as f64 / JOBS_PER_SECOND).max(2.0)
    }

    fn burst_count(&self) -> usize {
        let span = OVERLOAD_START_S - 10.0 - BURSTS_START_S;
        (span / self.burst_interval_s()) as usize + 1
    }

    /// Returns the scenario for the simulator, as text.
    fn scenario(&self, seed: u64) -> String {
        let zones: Vec<String> = (0..self.controllers).map(|n| format!("z{n}")).collect();
        let mut lines = vec![
            format!("seed {seed}"),
            format!("zones {}", zones.join(" ")),
            format!("nodes {}", self.controllers),
            "team base limit=1000 guaranteed=100".into(),
            format!(
                "type large cpus=512 memory=4096 boot=3 count=2 zones={}",
                zones.join(",")
            ),
            "limits rps=400 writes=200".into(),
        ];
        if self.transfers {
            lines.push("transfers".into());
        }
        for team in 0..self.teams {
            lines.push(format!(
                "team team-{team} limit={TEAM_LIMIT_CPUS} guaranteed=2"
            ));
        }
        // A service with one task in each zone keeps a machine provisioned there.
        for (n, zone) in zones.iter().enumerate() {
            lines.push(format!(
                "at 1 submit job-{n} team=base service tasks=1 cpus=1 zone={zone}"
            ));
        }
        let mut job = 100;
        for burst in 0..self.burst_count() {
            for team in 0..self.teams {
                let zone = &zones[(burst + team) % zones.len()];
                let at = BURSTS_START_S + burst as f64 * self.burst_interval_s();
                lines.push(format!(
                    "at {at:.2} submit job-{job} team=team-{team} tasks=2 cpus=2 run=1 zone={zone}"
                ));
                job += 1;
            }
        }
        lines.push(format!("at {LEADER_CRASH_S} crash leader for=20"));
        for team in 0..self.teams.min(20) {
            lines.push(format!(
                "at {OVERLOAD_START_S} submit job-{job} team=team-{team} tasks=60 cpus=2 run=3"
            ));
            job += 1;
        }
        lines.push(format!("until {OVERLOAD_END_S}"));
        lines.join("\n")
    }

    /// Returns the number of teams that take part in the overload.
    fn overloading_teams(&self) -> usize {
        self.teams.min(20)
    }
}

/// Measured results of a case, over all seeds.
pub struct CaseResult {
    pub case: Case,
    /// Times from submission to start in milliseconds, of jobs submitted while there was a
    /// leader.
    pub waits_ms: Histogram<u64>,
    /// The same, of jobs submitted just after the leader's crash.
    pub waits_without_leader_ms: Histogram<u64>,
    /// Mean fraction of the teams' limits in use during the overload.
    pub limit_utilisation: f64,
    /// Changes requested from the state service, per start of a task.
    pub changes_per_start: f64,
    /// Number of jobs of bursts that had not started by the end.
    pub not_started: usize,
    /// Violated rules, and failed expectations.
    pub violations: Vec<String>,
}

impl CaseResult {
    /// Returns the figures of the case in one line.
    pub fn summary(&self) -> String {
        let quantile = |waits: &Histogram<u64>, quantile| waits.value_at_quantile(quantile);
        format!(
            "{}: waits {} {} {} ms (p50 p99 max), without a leader {} {} ms (p50 max), \
             limit utilisation {:.2}, {:.2} changes per start, {} not started, {} violations",
            self.case.name(),
            quantile(&self.waits_ms, 0.5),
            quantile(&self.waits_ms, 0.99),
            self.waits_ms.max(),
            quantile(&self.waits_without_leader_ms, 0.5),
            self.waits_without_leader_ms.max(),
            self.limit_utilisation,
            self.changes_per_start,
            self.not_started,
            self.violations.len()
        )
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_WAIT_MS, 3).expect("the histogram bounds are valid")
}

/// Runs a case with seeds from 1 to `seeds`, each in a thread of its own.
pub fn measure(case: &Case, seeds: u64) -> CaseResult {
    let runs: Vec<_> = (1..=seeds)
        .map(|seed| {
            let text = case.scenario(seed);
            thread::spawn(move || Scenario::parse(&text).measure())
        })
        .collect();
    let mut result = CaseResult {
        case: *case,
        waits_ms: histogram(),
        waits_without_leader_ms: histogram(),
        limit_utilisation: 0.0,
        changes_per_start: 0.0,
        not_started: 0,
        violations: Vec::new(),
    };
    for run in runs {
        let measured = run.join().expect("the scenario thread should not panic");
        result.add(&measured, seeds as f64);
    }
    result
}

impl CaseResult {
    fn add(&mut self, measured: &Measurements, seeds: f64) {
        let seconds = Duration::from_secs_f64;
        let is_burst =
            |at: Duration| at >= seconds(BURSTS_START_S) && at < seconds(OVERLOAD_START_S);
        for (at, wait) in measured.start_delays.iter().filter(|(at, _)| is_burst(*at)) {
            let Some(wait) = wait else {
                self.not_started += 1;
                continue;
            };
            let crash = seconds(LEADER_CRASH_S);
            let is_without_leader = *at >= crash && *at < crash + seconds(WITHOUT_LEADER_S);
            let waits = if is_without_leader {
                &mut self.waits_without_leader_ms
            } else {
                &mut self.waits_ms
            };
            waits.saturating_record(wait.as_millis() as u64);
        }
        self.limit_utilisation += self.overload_utilisation(measured) / seeds;
        self.changes_per_start +=
            measured.requested_changes as f64 / measured.task_starts.max(1) as f64 / seeds;
        self.violations.extend(measured.failures.iter().cloned());
    }

    /// Returns the mean fraction of the overloading teams' limits in use, from 5 to 30 seconds
    /// after the overload begins, when the first tasks run.
    fn overload_utilisation(&self, measured: &Measurements) -> f64 {
        let from = Duration::from_secs_f64(OVERLOAD_START_S + 5.0);
        let until = Duration::from_secs_f64(OVERLOAD_START_S + 30.0);
        let samples = measured
            .usage_samples
            .iter()
            .filter(|sample| sample.at >= from && sample.at < until);
        let fractions: Vec<f64> = samples
            .map(|sample| {
                let teams = sample
                    .cpus_by_team
                    .iter()
                    .filter(|(team, _)| team.as_str() != "base");
                let used: f64 = teams.map(|(_, cpus)| cpus).sum();
                used / (TEAM_LIMIT_CPUS * self.case.overloading_teams() as f64)
            })
            .collect();
        fractions.iter().sum::<f64>() / fractions.len().max(1) as f64
    }
}
