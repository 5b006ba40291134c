//! Tests of `storage::budget`.

use super::*;

#[tokio::test(start_paused = true)]
async fn less_urgent_calls_leave_the_reserve() {
    let budget = RateLimiter::new(10.0);
    assert!(budget.take(7.0, RequestPriority::Background).is_ok());
    assert!(budget.take(1.0, RequestPriority::Background).is_err());
    assert!(budget.take(2.0, RequestPriority::Placement).is_ok());
    assert!(budget.take(1.0, RequestPriority::Placement).is_err());
    assert!(budget.take(1.0, RequestPriority::Fencing).is_ok());
    assert!(budget.take(1.0, RequestPriority::Fencing).is_err());
    let before = Instant::now();
    budget.acquire(1.0, RequestPriority::Fencing).await;
    assert!(before.elapsed() >= Duration::from_millis(95));
}

/// Guards against a busy controller that is held to its part while the others
/// leave theirs, and against one that takes all from them.
#[tokio::test(start_paused = true)]
async fn what_others_leave_is_used_until_refused() {
    let budget = RateLimiter::between(10.0, 40.0);
    let spend = async |seconds: u64| {
        let until = Instant::now() + Duration::from_secs(seconds);
        let mut spent = 0;
        while Instant::now() < until {
            budget.acquire(1.0, RequestPriority::Placement).await;
            spent += 1;
        }
        spent
    };
    spend(5).await;
    assert!(spend(5).await > 170, "grown to most of the limit");
    for _ in 0..5 {
        budget.refused();
    }
    let spent = spend(1).await;
    assert!((5..=12).contains(&spent), "back at the fair part: {spent}");
}
