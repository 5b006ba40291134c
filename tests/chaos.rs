//! Scenarios with random faults, generated from a fixed list of seeds. Failing seeds are
//! printed: `CHAOS_SEED=n cargo test --test chaos` runs one seed alone, and
//! `CHAOS_SEEDS=from..to` runs another range of seeds.

use std::thread;

use rand::{Rng, SeedableRng, rngs::StdRng};
use simulator::scenario::Scenario;

const SEEDS: std::ops::Range<u64> = 1..33;
/// Seed `TRANSFERS_FROM + n` generates the scenario of seed `n` with quota transfers on.
const TRANSFERS_FROM: u64 = 1_000_000;
/// Seed `LATE_RESPONSES_FROM + n` generates the scenario of seed `n` with responses of the state
/// service that arrive late, in any order.
const LATE_RESPONSES_FROM: u64 = 2_000_000;
/// Seed `COPIED_REQUESTS_FROM + n` generates the scenario of seed `n` with requests that arrive once
/// more, late, after they were carried out; if `n` is odd, with quota transfers on.
const COPIED_REQUESTS_FROM: u64 = 3_000_000;
/// Copies of requests on all links for the whole time in which other faults happen.
const COPIED_REQUESTS: &str = "at 5 copy requests share=0.3 late=40 for=150";
/// Late responses for the whole time in which jobs are submitted and other faults happen.
const LATE_RESPONSES: &str = "at 5 state delay-responses share=0.1 late=0.6 for=150";

/// Number of jobs in a scenario, not counting those of job streams and upgrades.
const JOBS: u32 = 14;
const TEAMS: [&str; 2] = ["team", "other"];
/// Statements that describe the cluster; the same in every scenario.
const CLUSTER: [&str; 5] = [
    "zones a b c",
    "team team limit=40 guaranteed=16",
    "team other limit=24 guaranteed=8",
    "type small cpus=8 memory=64 boot=6 count=4 spot_count=3 zones=a,b,c",
    "type big cpus=16 memory=128 boot=8 price=1.8 spot_price=0.7 count=2 spot_count=1 zones=a,b",
];
/// Tags that a network partition may separate, see `tests/scenarios/README`.
const PARTITION_SIDES: [&str; 10] = [
    "n0",
    "n1",
    "n2",
    "a",
    "b",
    "c",
    "state",
    "agents",
    "cloud",
    "controllers",
];

/// Generates the text of a scenario of a few minutes with some jobs and overlapping faults. The
/// order of the random draws must not change: it determines which scenario a seed generates.
fn generate_scenario(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed % TRANSFERS_FROM);
    let mut lines = vec![format!("seed {seed}")];
    lines.extend(CLUSTER.map(str::to_owned));
    if seed >= COPIED_REQUESTS_FROM {
        lines.push(COPIED_REQUESTS.into());
        if seed % 2 == 1 {
            lines.push("transfers".into());
        }
    } else if seed >= LATE_RESPONSES_FROM {
        lines.push(LATE_RESPONSES.into());
    } else if seed >= TRANSFERS_FROM {
        lines.push("transfers".into());
    }
    for number in 0..JOBS {
        lines.extend(generate_job(&mut rng, number));
    }
    // Some scenarios start with an earlier version, which a rolling upgrade replaces.
    if rng.random_bool(0.3) {
        lines.extend(generate_upgrade(&mut rng));
    }
    lines.extend(generate_faults(&mut rng));
    lines.push("until 400".into());
    lines.join("\n")
}

/// Generates a job's submission, and possibly its cancellation and a repeated submission.
fn generate_job(rng: &mut StdRng, number: u32) -> Vec<String> {
    let at = rng.random_range(1.0..110.0);
    let team = TEAMS[rng.random_range(0..2)];
    let cpus = rng.random_range(1..4);
    let tasks = generate_tasks(rng);
    let constraint = match rng.random_range(0..8) {
        0 => " spread",
        1 => " one_zone",
        2 => " checkpoint=3 save=1",
        _ => "",
    };
    let mut lines = vec![format!(
        "at {at:.2} submit job-{number} team={team} cpus={cpus}{tasks}{constraint}"
    )];
    if rng.random_bool(0.3) {
        let cancelled_at = at + rng.random_range(0.0..40.0);
        lines.push(format!("at {cancelled_at:.2} cancel job-{number}"));
    }
    if rng.random_bool(0.2) {
        let repeated_at = at + rng.random_range(1.0..60.0);
        lines.push(format!("at {repeated_at:.2} resubmit job-{number}"));
    }
    lines
}

/// Generates a job's kind, its number of tasks, their run time and whether they may run on spot
/// machines.
fn generate_tasks(rng: &mut StdRng) -> String {
    if rng.random_bool(0.3) {
        return format!(" service tasks={}", rng.random_range(1..4));
    }
    let (kind, tasks, run, spot_probability) = if rng.random_bool(0.3) {
        let tasks = rng.random_range(2..7);
        (" gang", tasks, rng.random_range(4..25), 0.4)
    } else {
        let tasks = rng.random_range(1..12);
        ("", tasks, rng.random_range(2..25), 0.6)
    };
    let spot = if rng.random_bool(spot_probability) {
        " spot"
    } else {
        ""
    };
    format!("{kind} tasks={tasks} run={run}{spot}")
}

/// Generates an earlier version at the start, a rolling upgrade, lowered limits of the state
/// service and a job that exceeds them.
fn generate_upgrade(rng: &mut StdRng) -> Vec<String> {
    let version = ["version before-gangs", "version gangs"][rng.random_range(0..2)];
    let mut lines = vec![
        version.to_owned(),
        "announced-limits writes=100 ops=5 value=2048".to_owned(),
    ];
    let mut at = rng.random_range(8.0..60.0);
    let interval = rng.random_range(2.0..25.0);
    for controller in 0..3 {
        let downtime = rng.random_range(0.3..6.0);
        lines.push(format!(
            "at {at:.2} upgrade n{controller} for={downtime:.2}"
        ));
        at += interval;
    }
    lines.push(format!("at {:.2} state lower-limits", at + 12.0));
    // A job with more run records than a transaction may have conditions under the lowered
    // limits.
    let constraint = ["one_zone", "spread"][rng.random_range(0..2)];
    let submitted_at = at + rng.random_range(4.0..30.0);
    lines.push(format!(
        "at {submitted_at:.2} submit job-90 team=team cpus=0.25 tasks=590 run=2 {constraint}"
    ));
    lines
}

/// When a fault begins, its base duration, and the controller that it hits if it is a fault of
/// one controller.
struct FaultParameters {
    at: f64,
    seconds: f64,
    controller: u32,
}

fn generate_faults(rng: &mut StdRng) -> Vec<String> {
    let count = rng.random_range(4..9);
    let mut lines = Vec::new();
    let mut previous_at = 0.0;
    for number in 0..count {
        // Every second fault begins shortly after the one before it, so that they overlap.
        let at = match number % 2 {
            0 => rng.random_range(10.0..120.0),
            _ => previous_at + rng.random_range(0.0..2.5),
        };
        previous_at = at;
        let fault = FaultParameters {
            at,
            seconds: rng.random_range(2.0..30.0),
            controller: rng.random_range(0..3),
        };
        let kind = rng.random_range(0..33);
        lines.extend(generate_fault(rng, kind, number, &fault));
    }
    lines
}

/// Generates the statements of one fault.
fn generate_fault(
    rng: &mut StdRng,
    kind: u32,
    number: u32,
    fault: &FaultParameters,
) -> Vec<String> {
    let at = fault.at;
    if let Some((action, seconds)) = controller_fault(kind, fault).or(service_fault(kind, fault)) {
        return vec![format!("at {at:.2} {action} for={seconds:.2}")];
    }
    match kind {
        8..=10 | 16 => vec![generate_machine_fault(rng, kind, fault)],
        18..=21 | 29 => vec![generate_user_fault(rng, kind, number, fault)],
        // The state service rejects the leader alone, and soon after is down for all controllers.
        22 | 23 => {
            let outage_at = at + rng.random_range(0.5..6.0);
            let outage = rng.random_range(20.0..60.0);
            vec![
                format!("at {at:.2} state reject leader for={:.2}", fault.seconds),
                format!("at {outage_at:.2} state outage for={outage:.2}"),
            ]
        }
        28 => {
            let seconds = fault.seconds;
            vec![
                format!("at {at:.2} duplicate heartbeats share=0.5 for_next for={seconds:.2}"),
                format!(
                    "at {:.2} crash leader for={:.2}",
                    at + seconds,
                    seconds / 40.0
                ),
            ]
        }
        _ => {
            let one_side = PARTITION_SIDES[rng.random_range(0..PARTITION_SIDES.len())];
            let other_side = PARTITION_SIDES[rng.random_range(0..PARTITION_SIDES.len())];
            let hold = if rng.random_bool(0.5) { " hold" } else { "" };
            vec![format!(
                "at {at:.2} partition {one_side} {other_side}{hold} for={:.2}",
                fault.seconds
            )]
        }
    }
}

/// Returns a controller fault and its duration in seconds, if `kind` is one.
fn controller_fault(kind: u32, fault: &FaultParameters) -> Option<(String, f64)> {
    let controller = fault.controller;
    let seconds = fault.seconds;
    Some(match kind {
        0 => ("crash all".into(), seconds / 3.0),
        1 | 2 => ("crash leader".into(), seconds / 4.0),
        3 => (format!("crash n{controller}"), seconds),
        12 | 24 => ("crash leader".into(), seconds / 60.0),
        13 => (format!("pause n{controller}"), seconds),
        14 => ("pause leader".into(), seconds),
        _ => return None,
    })
}

/// Returns a fault of the state service, the cloud, the network or the users that needs no
/// further random draws, and its duration in seconds, if `kind` is one.
fn service_fault(kind: u32, fault: &FaultParameters) -> Option<(String, f64)> {
    let controller = fault.controller;
    let seconds = fault.seconds;
    Some(match kind {
        4 => ("state outage".into(), seconds),
        5 => (format!("state reject n{controller}"), seconds),
        6 => ("state lose-responses share=0.2".into(), seconds),
        7 => ("cloud outage".into(), seconds),
        11 => ("duplicate heartbeats share=0.4 late=45".into(), seconds),
        15 => ("state delay share=0.3 late=20".into(), seconds),
        17 => ("state latency by=1.5".into(), seconds),
        25 => ("state reject leader".into(), seconds),
        26 => ("burst-polls".into(), seconds * 2.0),
        27 => ("delay commands share=0.4 late=16".into(), seconds),
        _ => return None,
    })
}

fn generate_machine_fault(rng: &mut StdRng, kind: u32, fault: &FaultParameters) -> String {
    let at = fault.at;
    let seconds = fault.seconds;
    match kind {
        8 => format!(
            "at {at:.2} hang {} for={seconds:.2}",
            rng.random_range(1..4)
        ),
        9 => {
            let count = rng.random_range(1..4);
            let notice = if rng.random_bool(0.5) {
                " notice=6"
            } else {
                ""
            };
            format!("at {at:.2} reclaim {count}{notice}")
        }
        10 => format!(
            "at {at:.2} lose-inbound {} for={:.2}",
            rng.random_range(1..3),
            seconds * 2.0
        ),
        _ => format!(
            "at {at:.2} lose-outbound {} for={:.2}",
            rng.random_range(1..5),
            seconds * 1.5
        ),
    }
}

fn generate_user_fault(
    rng: &mut StdRng,
    kind: u32,
    number: u32,
    fault: &FaultParameters,
) -> String {
    let at = fault.at;
    match kind {
        18 | 19 => format!(
            "at {at:.2} cancel running count={} hang={:.2}",
            rng.random_range(1..4),
            rng.random_range(0.0..30.0)
        ),
        20 => format!(
            "at {at:.2} cancel ending share=0.6 for={:.2}",
            fault.seconds * 2.0
        ),
        21 => format!("at {at:.2} invalid-requests"),
        _ => format!(
            "at {at:.2} stream job-{}000 count=60 every=0.25 cancelled=0.25 team=team cpus=1 run=2",
            number + 1
        ),
    }
}

/// Returns the seeds that `CHAOS_SEEDS` names.
fn seeds_from_environment() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("CHAOS_SEEDS").ok()?;
    let (from, to) = text.split_once("..")?;
    Some(from.parse().ok()?..to.parse().ok()?)
}

/// Returns the seeds that generate the same scenarios in a variant, which begins at seed `from`.
fn in_variant(from: u64, seeds: std::ops::Range<u64>) -> std::ops::Range<u64> {
    from + seeds.start..from + seeds.end
}

fn default_seeds() -> Vec<u64> {
    SEEDS
        .chain(in_variant(TRANSFERS_FROM, SEEDS))
        .chain(in_variant(LATE_RESPONSES_FROM, SEEDS))
        .chain(in_variant(COPIED_REQUESTS_FROM, SEEDS))
        .collect()
}

#[test]
fn no_rule_is_broken_under_random_faults() {
    let seeds: Vec<u64> = match std::env::var("CHAOS_SEED") {
        Ok(seed) => vec![seed.parse().expect("CHAOS_SEED must be a number")],
        Err(_) => match seeds_from_environment() {
            Some(seeds) => seeds.collect(),
            None => default_seeds(),
        },
    };
    let is_single_seed = seeds.len() == 1;
    simulator::start_logging();
    let running: Vec<_> = seeds
        .into_iter()
        .map(|seed| {
            let text = generate_scenario(seed);
            if is_single_seed {
                println!("{text}");
            }
            (seed, thread::spawn(move || Scenario::parse(&text).play()))
        })
        .collect();
    let mut failed = Vec::new();
    for (seed, run) in running {
        let violations = run.join().unwrap_or_else(|_| vec!["panicked".into()]);
        if !violations.is_empty() {
            println!("seed {seed}: {violations:?}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "rules broken with seeds {failed:?}");
}
