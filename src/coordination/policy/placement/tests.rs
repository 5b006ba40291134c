//! Tests of `coordination::policy::placement`.

use super::*;
use std::collections::BTreeMap;

use crate::coordination::policy::owner_choice::{best_owner, compare_owners};
use crate::storage::{
    ClassName, ImageName, JobKind, MachineId, Priority, TeamName, TypeName, ZoneName,
};

pub fn spec(cpus: f64, spot: bool) -> JobSpec {
    JobSpec {
        class: ClassName::new("class"),
        team: TeamName::new("team"),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 4,
        per_task: Resources {
            cpus,
            gpus: 0.0,
            memory: 1.0,
        },
        image: ImageName::new("img"),
        image_gb: 2.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot,
        estimate: Duration::from_secs(10),
        checkpoint: Duration::ZERO,
        save: Duration::ZERO,
        deadline: None,
        accepted_ms: 0,
        assigned_zone: None,
    }
}

pub fn candidate(name: &str, cpus: f64, spot: bool) -> CandidateMachine {
    let size = Resources {
        cpus,
        gpus: 0.0,
        memory: 64.0,
    };
    CandidateMachine {
        owner: 0,
        machine: MachineId::new(name),
        kind: TypeName::new("type"),
        zone: ZoneName::new("zone"),
        spot,
        room: size,
        size,
        fetch_gb_per_s: 0.5,
        speed: 1.0,
        images: Arc::default(),
        leaves_in: None,
    }
}

#[test]
fn a_cached_image_beats_a_tight_fit() {
    let mut warm = candidate("warm", 32.0, false);
    warm.images = Arc::new(vec![ImageName::new("img")]);
    let candidates = [candidate("cold", 4.0, false), warm];
    // 2 GB at 0.5 GB/s are four seconds.
    assert_eq!(
        estimate(&spec(4.0, false), &candidates[0], 1.0).fetch,
        Duration::from_secs(4)
    );
    assert_eq!(
        choose(&spec(4.0, false), &candidates, 1.0, |_| true),
        Some(1)
    );
}

#[test]
fn of_equals_spot_then_the_tightest() {
    let candidates = [
        candidate("big", 32.0, false),
        candidate("small", 8.0, false),
        candidate("spot", 16.0, true),
    ];
    assert_eq!(
        choose(&spec(4.0, true), &candidates, 1.0, |_| true),
        Some(2)
    );
    assert_eq!(
        choose(&spec(4.0, false), &candidates, 1.0, |_| true),
        Some(1)
    );
    assert_eq!(choose(&spec(40.0, false), &candidates, 1.0, |_| true), None);
}

#[test]
fn a_draining_machine_takes_only_what_ends_in_time() {
    let mut marked = candidate("marked", 8.0, false);
    marked.leaves_in = Some(Duration::from_secs(13));
    // Fetch 4 s and run 10 s.
    assert_eq!(
        choose(&spec(4.0, false), &[marked.clone()], 1.0, |_| true),
        None
    );
    marked.leaves_in = Some(Duration::from_secs(14));
    assert_eq!(choose(&spec(4.0, false), &[marked], 1.0, |_| true), Some(0));
}

/// Random machines with random room, images and zones.
fn fleet(dice: &mut rand::rngs::StdRng, count: usize) -> Vec<CandidateMachine> {
    use rand::Rng;
    (0..count)
        .map(|n| {
            let cpus = [4.0, 16.0, 64.0][dice.random_range(0..3)];
            let mut candidate = candidate(&format!("vm-{n}"), cpus, dice.random_bool(0.4));
            candidate.owner = dice.random_range(0..3);
            candidate.zone = ZoneName::new(["a", "b"][candidate.owner % 2]);
            candidate.room.cpus = f64::from(dice.random_range(0..=cpus as u32));
            candidate.speed = dice.random_range(0.8..1.2);
            if dice.random_bool(0.3) {
                candidate.images = Arc::new(vec![ImageName::new("img")]);
            }
            if dice.random_bool(0.1) {
                candidate.leaves_in = Some(Duration::from_secs(dice.random_range(5..30)));
            }
            candidate
        })
        .collect()
}

/// Many tasks at once are placed as one after the other by the plain scan.
#[test]
fn filling_places_as_choosing_one_by_one() {
    use rand::{Rng, SeedableRng};
    let mut dice = rand::rngs::StdRng::seed_from_u64(11);
    for round in 0..200 {
        let mut candidates = fleet(&mut dice, 60);
        let mut plain = candidates.clone();
        let spec = spec(f64::from(dice.random_range(1..6)), dice.random_bool(0.5));
        let count = dice.random_range(1..80);
        let most_in_a = dice.random_range(0..60);
        let mut in_a = 0;
        let filled = fill(&spec, &mut candidates, 1.1, count, |candidate| {
            if candidate.zone.as_str() == "a" {
                in_a += 1;
                return in_a <= most_in_a;
            }
            true
        });
        let mut in_a = 0;
        let mut one_by_one = Vec::new();
        while one_by_one.len() < count {
            let at = choose(&spec, &plain, 1.1, |candidate| {
                candidate.zone.as_str() != "a" || in_a < most_in_a
            });
            let Some(at) = at else { break };
            in_a += usize::from(plain[at].zone.as_str() == "a");
            plain[at].put(&spec);
            one_by_one.push(at);
        }
        assert_eq!(filled, one_by_one, "round {round}");
    }
}

#[test]
fn a_group_that_takes_all_beats_one_where_it_is_quicker() {
    let mut warm = candidate("warm", 8.0, false);
    warm.images = Arc::new(vec![ImageName::new("img")]);
    let mut cold = candidate("cold", 16.0, false);
    cold.owner = 1;
    let candidates = [warm, cold];
    let best = |count| {
        let fits = compare_owners(&spec(4.0, false), &candidates, 1.0, count);
        best_owner(&fits, &[])
    };
    assert_eq!(best(2), Some(0), "both take two, one has the image");
    assert_eq!(best(4), Some(1), "only one takes four");
    let fits = compare_owners(&spec(4.0, false), &candidates, 1.0, 4);
    assert_eq!(
        best_owner(&fits, &[0]),
        Some(0),
        "it writes the record already"
    );
    assert_eq!(best_owner(&BTreeMap::new(), &[]), None);
}

/// Guards the spreading of cold images: later jobs find more machines that have them.
#[test]
fn replicas_without_their_image_go_to_several_machines() {
    let mut service = spec(2.0, false);
    service.kind = JobKind::Service;
    let machines = || {
        vec![
            candidate("a", 8.0, false),
            candidate("b", 8.0, false),
            candidate("c", 8.0, false),
        ]
    };
    let mut cold = machines();
    let mut chosen = fill(&service, &mut cold, 1.0, 3, |_| true);
    chosen.sort_unstable();
    assert_eq!(chosen, [0, 1, 2]);
    let mut few = machines();
    let mut chosen = fill(&service, &mut few, 1.0, 12, |_| true);
    chosen.sort_unstable();
    assert_eq!(chosen, [0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2]);
    let mut warm = machines();
    warm[1].images = Arc::new(vec![service.image.clone()]);
    let chosen = fill(&service, &mut warm, 1.0, 4, |_| true);
    assert_eq!(chosen, [1, 1, 1, 1]);
}
