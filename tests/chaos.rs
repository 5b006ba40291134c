//! Random faults from a fixed list of seeds. A failing seed is printed; run it
//! alone with `CHAOS_SEED=n cargo test --test chaos`, or other ones with
//! `CHAOS_SEEDS=from..to`.

use std::thread;

use rand::{Rng, SeedableRng, rngs::StdRng};
use simulator::scenario::Scenario;

const SEEDS: std::ops::Range<u64> = 1..33;
/// Seeds from here on are drawn as the same ones below, with quota transfers on.
const TRANSFERS_FROM: u64 = 1_000_000;

/// Jobs in a scenario, besides those of streams and upgrades.
const JOBS: u32 = 14;
const TEAMS: [&str; 2] = ["team", "other"];
/// The cluster of every scenario.
const CLUSTER: [&str; 5] = [
    "zones a b c",
    "team team limit=40 guaranteed=16",
    "team other limit=24 guaranteed=8",
    "type small cpus=8 memory=64 boot=6 count=4 spot_count=3 zones=a,b,c",
    "type big cpus=16 memory=128 boot=8 price=1.8 spot_price=0.7 count=2 spot_count=1 zones=a,b",
];
/// What a network partition may separate.
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

/// A scenario of a few minutes: some jobs, and faults that overlap. The order of the random
/// draws decides what a seed means: it stays as it is.
fn draw(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed % TRANSFERS_FROM);
    let mut lines = vec![format!("seed {seed}")];
    lines.extend(CLUSTER.map(str::to_owned));
    if seed >= TRANSFERS_FROM {
        lines.push("transfers".into());
    }
    for number in 0..JOBS {
        lines.extend(draw_job(&mut rng, number));
    }
    // Some scenarios begin with an earlier version, which is replaced in the midst of it.
    if rng.random_bool(0.3) {
        lines.extend(draw_upgrade(&mut rng));
    }
    lines.extend(draw_faults(&mut rng));
    lines.push("until 400".into());
    lines.join("\n")
}

/// A job's submission; it may be cancelled or submitted again.
fn draw_job(rng: &mut StdRng, number: u32) -> Vec<String> {
    let at = rng.random_range(1.0..110.0);
    let team = TEAMS[rng.random_range(0..2)];
    let cpus = rng.random_range(1..4);
    let tasks = draw_tasks(rng);
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

/// A job's kind, its tasks and whether they may run on spot machines.
fn draw_tasks(rng: &mut StdRng) -> String {
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

/// An earlier version at the start, a rolling upgrade, and then lower limits.
fn draw_upgrade(rng: &mut StdRng) -> Vec<String> {
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
    // A job of more records than a transaction of the lowered limits has conditions.
    let constraint = ["one_zone", "spread"][rng.random_range(0..2)];
    let submitted_at = at + rng.random_range(4.0..30.0);
    lines.push(format!(
        "at {submitted_at:.2} submit job-90 team=team cpus=0.25 tasks=590 run=2 {constraint}"
    ));
    lines
}

/// When a fault begins, how long it lasts, and a controller that it may hit.
struct FaultTime {
    at: f64,
    seconds: f64,
    controller: u32,
}

fn draw_faults(rng: &mut StdRng) -> Vec<String> {
    let count = rng.random_range(4..9);
    let mut lines = Vec::new();
    let mut previous_at = 0.0;
    for number in 0..count {
        // Every other one meets the one before it.
        let at = match number % 2 {
            0 => rng.random_range(10.0..120.0),
            _ => previous_at + rng.random_range(0.0..2.5),
        };
        previous_at = at;
        let time = FaultTime {
            at,
            seconds: rng.random_range(2.0..30.0),
            controller: rng.random_range(0..3),
        };
        let kind = rng.random_range(0..33);
        lines.extend(draw_fault(rng, kind, number, &time));
    }
    lines
}

/// The statements of one fault.
fn draw_fault(rng: &mut StdRng, kind: u32, number: u32, time: &FaultTime) -> Vec<String> {
    let at = time.at;
    if let Some((action, seconds)) = controller_fault(kind, time).or(service_fault(kind, time)) {
        return vec![format!("at {at:.2} {action} for={seconds:.2}")];
    }
    match kind {
        8..=10 | 16 => vec![draw_machine_fault(rng, kind, time)],
        18..=21 | 29 => vec![draw_user_fault(rng, kind, number, time)],
        // State refuses the leader alone, and soon everybody.
        22 | 23 => {
            let outage_at = at + rng.random_range(0.5..6.0);
            let outage = rng.random_range(20.0..60.0);
            vec![
                format!("at {at:.2} state reject leader for={:.2}", time.seconds),
                format!("at {outage_at:.2} state outage for={outage:.2}"),
            ]
        }
        28 => {
            let seconds = time.seconds;
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
                time.seconds
            )]
        }
    }
}

/// A fault of controllers, and how many seconds it lasts.
fn controller_fault(kind: u32, time: &FaultTime) -> Option<(String, f64)> {
    let controller = time.controller;
    let seconds = time.seconds;
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

/// A fault of the state service, the cloud or the network that draws nothing more, and how
/// many seconds it lasts.
fn service_fault(kind: u32, time: &FaultTime) -> Option<(String, f64)> {
    let controller = time.controller;
    let seconds = time.seconds;
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

fn draw_machine_fault(rng: &mut StdRng, kind: u32, time: &FaultTime) -> String {
    let at = time.at;
    let seconds = time.seconds;
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

fn draw_user_fault(rng: &mut StdRng, kind: u32, number: u32, time: &FaultTime) -> String {
    let at = time.at;
    match kind {
        18 | 19 => format!(
            "at {at:.2} cancel running count={} hang={:.2}",
            rng.random_range(1..4),
            rng.random_range(0.0..30.0)
        ),
        20 => format!(
            "at {at:.2} cancel ending share=0.6 for={:.2}",
            time.seconds * 2.0
        ),
        21 => format!("at {at:.2} invalid-requests"),
        _ => format!(
            "at {at:.2} stream job-{}000 count=60 every=0.25 cancelled=0.25 team=team cpus=1 run=2",
            number + 1
        ),
    }
}

fn other_seeds() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("CHAOS_SEEDS").ok()?;
    let (from, to) = text.split_once("..")?;
    Some(from.parse().ok()?..to.parse().ok()?)
}

fn with_transfers(seeds: std::ops::Range<u64>) -> std::ops::Range<u64> {
    TRANSFERS_FROM + seeds.start..TRANSFERS_FROM + seeds.end
}

#[test]
fn no_rule_is_broken_whatever_fails() {
    let seeds: Vec<u64> = match std::env::var("CHAOS_SEED") {
        Ok(seed) => vec![seed.parse().expect("a seed")],
        Err(_) => match other_seeds() {
            Some(seeds) => seeds.collect(),
            None => SEEDS.chain(with_transfers(SEEDS)).collect(),
        },
    };
    let is_alone = seeds.len() == 1;
    simulator::start_logging();
    let running: Vec<_> = seeds
        .into_iter()
        .map(|seed| {
            let text = draw(seed);
            if is_alone {
                println!("{text}");
            }
            (seed, thread::spawn(move || Scenario::parse(&text).play()))
        })
        .collect();
    let mut failed = Vec::new();
    for (seed, played) in running {
        let violations = played.join().unwrap_or_else(|_| vec!["panicked".into()]);
        if !violations.is_empty() {
            println!("seed {seed}: {violations:?}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "rules broken with seeds {failed:?}");
}
