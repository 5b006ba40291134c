//! Tests of `coordination::policy::band`.

use super::*;

const AT: Thresholds = Thresholds {
    beta: 0.1,
    miss_weight: 0.3,
    demand: 0.05,
    utilisation: 0.5,
};

fn load(miss: f64, queue: f64, least: Option<f64>, need: u32) -> TypeLoad {
    TypeLoad {
        miss_share: miss,
        queue_share: queue,
        least_utilisation: least,
        need,
    }
}

#[test]
fn demand_weighs_the_queue_above_the_past() {
    // 0.3·0.5 + 0.7·0.2 = 0.29
    assert!((demand(&load(0.5, 0.2, None, 9), 0.3) - 0.29).abs() < 1e-9);
}

#[test]
fn arrivals_times_demand_over_beta_rounded_down() {
    // 1.3·0.29/0.1 = 3.77
    let loads = [load(0.5, 0.2, Some(0.9), 9)];
    assert_eq!(scale_out(0.1, 1.3, &loads, &AT), vec![3]);
    assert_eq!(scale_out(0.0999, 1.3, &loads, &AT), vec![0]);
}

#[test]
fn capped_at_the_need_and_gated_by_utilisation() {
    let loads = [
        load(0.5, 0.2, Some(0.9), 2),
        load(0.5, 0.2, Some(0.4), 9),
        load(0.5, 0.2, None, 9),
        load(0.1, 0.02, None, 9),
    ];
    assert_eq!(scale_out(0.5, 1.3, &loads, &AT), vec![2, 0, 3, 0]);
}
