//! Random faults from a fixed list of seeds. A failing seed is printed; run it
//! alone with `CHAOS_SEED=n cargo test --test chaos`, or other ones with
//! `CHAOS_SEEDS=from..to`.

use std::thread;

use rand::{Rng, SeedableRng, rngs::StdRng};
use simulator::scenario::Scenario;

const SEEDS: std::ops::Range<u64> = 1..33;
/// Seeds from here on are drawn as the same ones below, with quota transfers on.
const TRANSFERS_FROM: u64 = 1_000_000;

/// A scenario of a few minutes: some jobs, and faults that overlap.
fn draw(seed: u64) -> String {
    let mut dice = StdRng::seed_from_u64(seed % TRANSFERS_FROM);
    let mut lines = vec![
        format!("seed {seed}"),
        "zones a b c".into(),
        "team team limit=40 guaranteed=16".into(),
        "team other limit=24 guaranteed=8".into(),
        "type small cpus=8 memory=64 boot=6 count=4 spot_count=3 zones=a,b,c".into(),
        "type big cpus=16 memory=128 boot=8 price=1.8 spot_price=0.7 count=2 spot_count=1 zones=a,b".into(),
    ];
    if seed >= TRANSFERS_FROM {
        lines.push("transfers".into());
    }
    let teams = ["team", "other"];
    for n in 0..14 {
        let at = dice.random_range(1.0..110.0);
        let team = teams[dice.random_range(0..2)];
        let cpus = dice.random_range(1..4);
        let mut line = format!("at {at:.2} submit job-{n} team={team} cpus={cpus}");
        if dice.random_bool(0.3) {
            line += &format!(" service tasks={}", dice.random_range(1..4));
        } else if dice.random_bool(0.3) {
            line += &format!(
                " gang tasks={} run={}",
                dice.random_range(2..7),
                dice.random_range(4..25)
            );
            if dice.random_bool(0.4) {
                line += " spot";
            }
        } else {
            line += &format!(
                " tasks={} run={}",
                dice.random_range(1..12),
                dice.random_range(2..25)
            );
            if dice.random_bool(0.6) {
                line += " spot";
            }
        }
        match dice.random_range(0..8) {
            0 => line += " spread",
            1 => line += " one_zone",
            2 => line += " checkpoint=3 save=1",
            _ => {}
        }
        lines.push(line);
        if dice.random_bool(0.3) {
            let abort = at + dice.random_range(0.0..40.0);
            lines.push(format!("at {abort:.2} cancel job-{n}"));
        }
        if dice.random_bool(0.2) {
            let again = at + dice.random_range(1.0..60.0);
            lines.push(format!("at {again:.2} resubmit job-{n}"));
        }
    }
    let sides = [
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
    // Some days begin with the version before, which is rolled off in the midst of it.
    if dice.random_bool(0.3) {
        let version = ["version before-gangs", "version gangs"][dice.random_range(0..2)];
        lines.push(version.into());
        lines.push("announced-limits writes=100 ops=5 value=2048".into());
        let mut at = dice.random_range(8.0..60.0);
        let every = dice.random_range(2.0..25.0);
        for controller in 0..3 {
            let time = dice.random_range(0.3..6.0);
            lines.push(format!("at {at:.2} upgrade n{controller} for={time:.2}"));
            at += every;
        }
        lines.push(format!("at {:.2} state lower-limits", at + 12.0));
        // A job of more records than a transaction of the lowered limits has conditions.
        let bound = ["one_zone", "spread"][dice.random_range(0..2)];
        let submitted = at + dice.random_range(4.0..30.0);
        lines.push(format!(
            "at {submitted:.2} submit job-90 team=team cpus=0.25 tasks=590 run=2 {bound}"
        ));
    }
    let faults = dice.random_range(4..9);
    let mut together = 0.0;
    for n in 0..faults {
        // Every other one meets the one before it.
        let at = match n % 2 {
            0 => dice.random_range(10.0..120.0),
            _ => together + dice.random_range(0.0..2.5),
        };
        together = at;
        let time = dice.random_range(2.0..30.0);
        let controller = dice.random_range(0..3);
        let mut second = None;
        let line = match dice.random_range(0..33) {
            0 => format!("at {at:.2} crash all for={:.2}", time / 3.0),
            1 | 2 => format!("at {at:.2} crash leader for={:.2}", time / 4.0),
            3 => format!("at {at:.2} crash n{controller} for={time:.2}"),
            4 => format!("at {at:.2} state outage for={time:.2}"),
            5 => format!("at {at:.2} state reject n{controller} for={time:.2}"),
            6 => format!("at {at:.2} state lose-responses share=0.2 for={time:.2}"),
            7 => format!("at {at:.2} cloud outage for={time:.2}"),
            8 => format!("at {at:.2} hang {} for={time:.2}", dice.random_range(1..4)),
            9 => format!(
                "at {at:.2} reclaim {}{}",
                dice.random_range(1..4),
                if dice.random_bool(0.5) {
                    " notice=6"
                } else {
                    ""
                }
            ),
            10 => format!(
                "at {at:.2} lose-inbound {} for={:.2}",
                dice.random_range(1..3),
                time * 2.0
            ),
            11 => format!("at {at:.2} duplicate heartbeats share=0.4 late=45 for={time:.2}"),
            13 => format!("at {at:.2} pause n{controller} for={time:.2}"),
            14 => format!("at {at:.2} pause leader for={time:.2}"),
            15 => format!("at {at:.2} state delay share=0.3 late=20 for={time:.2}"),
            16 => format!(
                "at {at:.2} lose-outbound {} for={:.2}",
                dice.random_range(1..5),
                time * 1.5
            ),
            17 => format!("at {at:.2} state latency by=1.5 for={time:.2}"),
            18 | 19 => format!(
                "at {at:.2} cancel running count={} hang={:.2}",
                dice.random_range(1..4),
                dice.random_range(0.0..30.0)
            ),
            20 => format!("at {at:.2} cancel ending share=0.6 for={:.2}", time * 2.0),
            21 => format!("at {at:.2} invalid-requests"),
            // State refuses the leader alone, and soon everybody.
            22 | 23 => {
                let down = at + dice.random_range(0.5..6.0);
                let long = dice.random_range(20.0..60.0);
                second = Some(format!("at {down:.2} state outage for={long:.2}"));
                format!("at {at:.2} state reject leader for={time:.2}")
            }
            24 => format!("at {at:.2} crash leader for={:.2}", time / 60.0),
            25 => format!("at {at:.2} state reject leader for={time:.2}"),
            12 => format!("at {at:.2} crash leader for={:.2}", time / 60.0),
            26 => format!("at {at:.2} burst-polls for={:.2}", time * 2.0),
            27 => format!("at {at:.2} delay commands share=0.4 late=16 for={time:.2}"),
            28 => {
                let ends = at + time;
                second = Some(format!("at {ends:.2} crash leader for={:.2}", time / 40.0));
                format!("at {at:.2} duplicate heartbeats share=0.5 for_next for={time:.2}")
            }
            29 => format!(
                "at {at:.2} stream job-{}000 count=60 every=0.25 cancelled=0.25 team=team cpus=1 run=2",
                n + 1
            ),
            _ => {
                let a = sides[dice.random_range(0..sides.len())];
                let b = sides[dice.random_range(0..sides.len())];
                let hold = if dice.random_bool(0.5) { " hold" } else { "" };
                format!("at {at:.2} partition {a} {b}{hold} for={time:.2}")
            }
        };
        lines.push(line);
        lines.extend(second);
    }
    lines.push("until 400".into());
    lines.join("\n")
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
    let alone = seeds.len() == 1;
    simulator::start_logging();
    let playing: Vec<_> = seeds
        .into_iter()
        .map(|seed| {
            let text = draw(seed);
            if alone {
                println!("{text}");
            }
            (seed, thread::spawn(move || Scenario::parse(&text).play()))
        })
        .collect();
    let mut failed = Vec::new();
    for (seed, played) in playing {
        let wrong = played.join().unwrap_or_else(|_| vec!["panicked".into()]);
        if !wrong.is_empty() {
            println!("seed {seed}: {wrong:?}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "rules broken with seeds {failed:?}");
}
