//! Tests of `coordination::policy::band`.

use super::*;

const THRESHOLDS: Thresholds = Thresholds {
    beta: 0.1,
    miss_weight: 0.3,
    demand: 0.05,
    utilisation: 0.5,
};

fn load(
    miss_share: f64,
    queue_share: f64,
    least_utilisation: Option<f64>,
    machines_needed: u32,
) -> PoolLoad {
    PoolLoad {
        miss_share,
        queue_share,
        least_utilisation,
        machines_needed,
    }
}

#[test]
fn demand_combines_miss_share_and_queue_share() {
    // 0.3·0.5 + 0.7·0.2 = 0.29
    assert!((demand(&load(0.5, 0.2, None, 9), 0.3) - 0.29).abs() < 1e-9);
}

#[test]
fn scale_out_is_arrivals_times_demand_over_beta_rounded_down() {
    // 1.3·0.29/0.1 = 3.77
    let loads = [load(0.5, 0.2, Some(0.9), 9)];
    assert_eq!(scale_out(0.1, 1.3, &loads, &THRESHOLDS), vec![3]);
    assert_eq!(scale_out(0.0999, 1.3, &loads, &THRESHOLDS), vec![0]);
}

#[test]
fn scale_out_is_capped_by_machines_needed_and_requires_utilisation_and_demand() {
    let loads = [
        load(0.5, 0.2, Some(0.9), 2),
        load(0.5, 0.2, Some(0.4), 9),
        load(0.5, 0.2, None, 9),
        load(0.1, 0.02, None, 9),
    ];
    assert_eq!(scale_out(0.5, 1.3, &loads, &THRESHOLDS), vec![2, 0, 3, 0]);
}
