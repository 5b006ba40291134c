//! Tests of `coordination::leader::stats`.

use super::*;
use crate::storage::TypeName;

#[tokio::test(start_paused = true)]
async fn overdue_tasks_count_as_missed() {
    let pool = Pool {
        kind: TypeName::new("t"),
        spot: false,
        zone: None,
    };
    let stats = Stats {
        judged: VecDeque::from([Judged {
            at: Instant::now(),
            pool: Some(pool.clone()),
            count: 9,
            missed: false,
        }]),
        ..Stats::default()
    };
    assert_eq!(stats.misses(&[]).rate, 0.0);
    let misses = stats.misses(&[(Some(pool.clone()), 1)]);
    assert!((misses.rate - 0.1).abs() < 1e-9);
    assert_eq!(misses.shares[&pool], 1.0);
}
