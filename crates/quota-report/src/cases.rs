//! What is measured: bursts that move from one controller's machines to the next, a spell
//! without a leader, and a flood that uses limits up.

use std::{thread, time::Duration};

use hdrhistogram::Histogram;
use simulator::scenario::{Measurements, Scenario};

/// Controllers and teams of a case, and whether controllers transfer quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    pub controllers: usize,
    pub teams: usize,
    pub transfers: bool,
}

/// CPUs of a team's limit: three tasks' worth and no more, so that a burst of two needs
/// what lies with several controllers.
const LIMIT: f64 = 6.0;
/// Seconds at which machines are up and images cached.
const BURSTS_FROM: f64 = 40.0;
/// ... the leader is gone for good until it is replaced.
const LEADER_DIES: f64 = 119.0;
/// Jobs submitted within this time after its death are told apart.
const WITHOUT_LEADER: f64 = 5.0;
const FLOOD_FROM: f64 = 150.0;
const FLOOD_UNTIL: f64 = 200.0;
/// Longer waits count as this.
const LONGEST_MS: u64 = 600_000;
/// Bursts of all teams a second are kept below what the state service takes.
const JOBS_A_SECOND: f64 = 5.0;

impl Case {
    /// All cases of the report.
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

    /// Its name in the report.
    pub fn name(&self) -> String {
        let how = if self.transfers {
            "transfers"
        } else {
            "leader"
        };
        format!(
            "{} controllers, {} teams, {how}",
            self.controllers, self.teams
        )
    }

    /// Seconds between two bursts of all teams.
    fn pause(&self) -> f64 {
        (self.teams as f64 / JOBS_A_SECOND).max(2.0)
    }

    fn bursts(&self) -> usize {
        let span = FLOOD_FROM - 10.0 - BURSTS_FROM;
        (span / self.pause()) as usize + 1
    }

    /// The scenario that is played.
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
            lines.push(format!("team team-{team} limit={LIMIT} guaranteed=2"));
        }
        // A replica in each zone keeps its machine.
        for (n, zone) in zones.iter().enumerate() {
            lines.push(format!(
                "at 1 submit job-{n} team=base service tasks=1 cpus=1 zone={zone}"
            ));
        }
        let mut job = 100;
        for burst in 0..self.bursts() {
            for team in 0..self.teams {
                let zone = &zones[(burst + team) % zones.len()];
                let at = BURSTS_FROM + burst as f64 * self.pause();
                lines.push(format!(
                    "at {at:.2} submit job-{job} team=team-{team} tasks=2 cpus=2 run=1 zone={zone}"
                ));
                job += 1;
            }
        }
        lines.push(format!("at {LEADER_DIES} crash leader for=20"));
        for team in 0..self.teams.min(20) {
            lines.push(format!(
                "at {FLOOD_FROM} submit job-{job} team=team-{team} tasks=60 cpus=2 run=3"
            ));
            job += 1;
        }
        lines.push(format!("until {FLOOD_UNTIL}"));
        lines.join("\n")
    }

    /// Teams that flood.
    fn flooding(&self) -> usize {
        self.teams.min(20)
    }
}

/// What was measured of a case, over all seeds.
pub struct CaseResult {
    pub case: Case,
    /// Milliseconds from submission to start, while a leader leads.
    pub waits: Histogram<u64>,
    /// ... of jobs submitted just after the leader's death.
    pub without_leader: Histogram<u64>,
    /// Part of the limits in use while teams flood.
    pub use_of_limits: f64,
    /// Changes of the state service for each start.
    pub changes: f64,
    /// Jobs of bursts that had not begun at the end.
    pub not_begun: usize,
    pub broken: Vec<String>,
}

impl CaseResult {
    /// A line of figures.
    pub fn line(&self) -> String {
        let quantile = |of: &Histogram<u64>, part| of.value_at_quantile(part);
        format!(
            "{}: waits {} {} {} ms (p50 p99 max), without a leader {} {} ms (p50 max), \
             limits used {:.2}, {:.2} changes a start, {} not begun, {} broken",
            self.case.name(),
            quantile(&self.waits, 0.5),
            quantile(&self.waits, 0.99),
            self.waits.max(),
            quantile(&self.without_leader, 0.5),
            self.without_leader.max(),
            self.use_of_limits,
            self.changes,
            self.not_begun,
            self.broken.len()
        )
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MS, 3).expect("the bounds are in order")
}

/// Plays a case with several seeds side by side.
pub fn measure(case: &Case, seeds: u64) -> CaseResult {
    let playing: Vec<_> = (1..=seeds)
        .map(|seed| {
            let text = case.scenario(seed);
            thread::spawn(move || Scenario::parse(&text).measure())
        })
        .collect();
    let mut result = CaseResult {
        case: *case,
        waits: histogram(),
        without_leader: histogram(),
        use_of_limits: 0.0,
        changes: 0.0,
        not_begun: 0,
        broken: Vec::new(),
    };
    for played in playing {
        let measured = played.join().expect("the scenario ends");
        result.add(&measured, seeds as f64);
    }
    result
}

impl CaseResult {
    fn add(&mut self, measured: &Measurements, seeds: f64) {
        let second = Duration::from_secs_f64;
        let is_burst = |at: Duration| at >= second(BURSTS_FROM) && at < second(FLOOD_FROM);
        for (at, wait) in measured.start_delays.iter().filter(|(at, _)| is_burst(*at)) {
            let Some(wait) = wait else {
                self.not_begun += 1;
                continue;
            };
            let dies = second(LEADER_DIES);
            let is_alone = *at >= dies && *at < dies + second(WITHOUT_LEADER);
            let waits = if is_alone {
                &mut self.without_leader
            } else {
                &mut self.waits
            };
            waits.saturating_record(wait.as_millis() as u64);
        }
        self.use_of_limits += self.flooded(measured) / seeds;
        self.changes +=
            measured.requested_changes as f64 / measured.task_starts.max(1) as f64 / seeds;
        self.broken.extend(measured.failures.iter().cloned());
    }

    /// The mean part of the flooding teams' limits in use, once the first tasks run.
    fn flooded(&self, measured: &Measurements) -> f64 {
        let from = Duration::from_secs_f64(FLOOD_FROM + 5.0);
        let until = Duration::from_secs_f64(FLOOD_FROM + 30.0);
        let samples = measured
            .usage_samples
            .iter()
            .filter(|s| s.at >= from && s.at < until);
        let parts: Vec<f64> = samples
            .map(|sample| {
                let teams = sample
                    .cpus_by_team
                    .iter()
                    .filter(|(team, _)| team.as_str() != "base");
                let used: f64 = teams.map(|(_, cpus)| cpus).sum();
                used / (LIMIT * self.case.flooding() as f64)
            })
            .collect();
        parts.iter().sum::<f64>() / parts.len().max(1) as f64
    }
}
