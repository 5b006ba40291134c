//! Tests of `coordination::leader::miss_rate`.

use super::*;
use crate::storage::TypeName;

#[tokio::test(start_paused = true)]
async fn overdue_tasks_count_as_missed() {
    let pool = Pool {
        machine_type: TypeName::new("t"),
        spot: false,
        zone: None,
    };
    let miss_rate = MissRateWindow {
        evaluated: VecDeque::from([TargetSample {
            at: Instant::now(),
            pool: Some(pool.clone()),
            tasks: 9,
            missed: false,
        }]),
        ..MissRateWindow::default()
    };
    assert_eq!(miss_rate.current_rate(&[]).rate, 0.0);
    let misses = miss_rate.current_rate(&[OverdueTasks {
        pool: Some(pool.clone()),
        tasks: 1,
    }]);
    assert!((misses.rate - 0.1).abs() < 1e-9);
    assert_eq!(misses.shares[&pool], 1.0);
}
