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
        machine_type: TypeName::new("type"),
        zone: ZoneName::new("zone"),
        spot,
        free: size,
        size,
        fetch_gb_per_s: 0.5,
        speed: 1.0,
        images: Arc::default(),
        time_until_return: None,
    }
}

#[test]
fn a_cached_image_beats_a_tight_fit() {
    let mut with_image = candidate("with-image", 32.0, false);
    with_image.images = Arc::new(vec![ImageName::new("img")]);
    let candidates = [candidate("without-image", 4.0, false), with_image];
    // 2 GB at 0.5 GB/s take 4 s.
    assert_eq!(
        estimate(&spec(4.0, false), &candidates[0], 1.0).fetch,
        Duration::from_secs(4)
    );
    assert_eq!(
        best_candidate(&spec(4.0, false), &candidates, 1.0, |_| true),
        Some(1)
    );
}

#[test]
fn ties_go_to_spot_machines_then_to_the_tightest_fit() {
    let candidates = [
        candidate("big", 32.0, false),
        candidate("small", 8.0, false),
        candidate("spot", 16.0, true),
    ];
    assert_eq!(
        best_candidate(&spec(4.0, true), &candidates, 1.0, |_| true),
        Some(2)
    );
    assert_eq!(
        best_candidate(&spec(4.0, false), &candidates, 1.0, |_| true),
        Some(1)
    );
    assert_eq!(
        best_candidate(&spec(40.0, false), &candidates, 1.0, |_| true),
        None
    );
}

#[test]
fn a_draining_machine_takes_only_tasks_that_complete_before_its_return() {
    let mut draining = candidate("draining", 8.0, false);
    draining.time_until_return = Some(Duration::from_secs(13));
    // The fetch takes 4 s and the run 10 s.
    assert_eq!(
        best_candidate(&spec(4.0, false), &[draining.clone()], 1.0, |_| true),
        None
    );
    draining.time_until_return = Some(Duration::from_secs(14));
    assert_eq!(
        best_candidate(&spec(4.0, false), &[draining], 1.0, |_| true),
        Some(0)
    );
}

/// Returns machines with random owners, zones, free CPUs, speeds, cached images and times until
/// release.
fn fleet(rng: &mut rand::rngs::StdRng, count: usize) -> Vec<CandidateMachine> {
    use rand::Rng;
    (0..count)
        .map(|n| {
            let cpus = [4.0, 16.0, 64.0][rng.random_range(0..3)];
            let mut candidate = candidate(&format!("vm-{n}"), cpus, rng.random_bool(0.4));
            candidate.owner = rng.random_range(0..3);
            candidate.zone = ZoneName::new(["a", "b"][candidate.owner % 2]);
            candidate.free.cpus = f64::from(rng.random_range(0..=cpus as u32));
            candidate.speed = rng.random_range(0.8..1.2);
            if rng.random_bool(0.3) {
                candidate.images = Arc::new(vec![ImageName::new("img")]);
            }
            if rng.random_bool(0.1) {
                candidate.time_until_return = Some(Duration::from_secs(rng.random_range(5..30)));
            }
            candidate
        })
        .collect()
}

/// `place_tasks` must choose the same machines as repeated calls of `best_candidate`.
#[test]
fn place_tasks_matches_repeated_best_candidate() {
    use rand::{Rng, SeedableRng};
    let mut rng = rand::rngs::StdRng::seed_from_u64(11);
    for round in 0..200 {
        let mut candidates = fleet(&mut rng, 60);
        let mut expected_candidates = candidates.clone();
        let spec = spec(f64::from(rng.random_range(1..6)), rng.random_bool(0.5));
        let count = rng.random_range(1..80);
        let max_tasks_in_a = rng.random_range(0..60);
        let mut tasks_in_a = 0;
        let placed = place_tasks(&spec, &mut candidates, 1.1, count, |candidate| {
            if candidate.zone.as_str() == "a" {
                tasks_in_a += 1;
                return tasks_in_a <= max_tasks_in_a;
            }
            true
        });
        let mut tasks_in_a = 0;
        let mut expected = Vec::new();
        while expected.len() < count {
            let index = best_candidate(&spec, &expected_candidates, 1.1, |candidate| {
                candidate.zone.as_str() != "a" || tasks_in_a < max_tasks_in_a
            });
            let Some(index) = index else { break };
            tasks_in_a += usize::from(expected_candidates[index].zone.as_str() == "a");
            expected_candidates[index].place_task(&spec);
            expected.push(index);
        }
        assert_eq!(placed, expected, "round {round}");
    }
}

#[test]
fn an_owner_that_takes_all_tasks_beats_one_that_is_faster() {
    let mut with_image = candidate("with-image", 8.0, false);
    with_image.images = Arc::new(vec![ImageName::new("img")]);
    let mut without_image = candidate("without-image", 16.0, false);
    without_image.owner = 1;
    let candidates = [with_image, without_image];
    let best = |count| {
        let fits = compare_owners(&spec(4.0, false), &candidates, 1.0, count);
        best_owner(&fits, &[])
    };
    assert_eq!(
        best(2),
        Some(0),
        "both owners can take two tasks, owner 0 has the image"
    );
    assert_eq!(best(4), Some(1), "only owner 1 can take four tasks");
    let fits = compare_owners(&spec(4.0, false), &candidates, 1.0, 4);
    assert_eq!(
        best_owner(&fits, &[0]),
        Some(0),
        "owner 0 already writes the record"
    );
    assert_eq!(best_owner(&BTreeMap::new(), &[]), None);
}

/// Guards against placing all replicas on one machine that lacks their image: later jobs would
/// find the image on fewer machines.
#[test]
fn replicas_without_a_cached_image_are_spread_over_machines() {
    let mut service = spec(2.0, false);
    service.kind = JobKind::Service;
    let machines = || {
        vec![
            candidate("a", 8.0, false),
            candidate("b", 8.0, false),
            candidate("c", 8.0, false),
        ]
    };
    let mut without_image = machines();
    let mut chosen = place_tasks(&service, &mut without_image, 1.0, 3, |_| true);
    chosen.sort_unstable();
    assert_eq!(chosen, [0, 1, 2]);
    let mut fewer_machines_than_tasks = machines();
    let mut chosen = place_tasks(&service, &mut fewer_machines_than_tasks, 1.0, 12, |_| true);
    chosen.sort_unstable();
    assert_eq!(chosen, [0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2]);
    let mut one_with_image = machines();
    one_with_image[1].images = Arc::new(vec![service.image.clone()]);
    let chosen = place_tasks(&service, &mut one_with_image, 1.0, 4, |_| true);
    assert_eq!(chosen, [1, 1, 1, 1]);
}
