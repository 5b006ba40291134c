//! Tests of `storage::rate_limiter`.

use super::*;

#[tokio::test(start_paused = true)]
async fn less_urgent_calls_leave_a_reserve_for_urgent_ones() {
    let limiter = RateLimiter::new(10.0);
    assert!(
        limiter
            .try_acquire(7.0, RequestPriority::Background)
            .is_ok()
    );
    assert!(
        limiter
            .try_acquire(1.0, RequestPriority::Background)
            .is_err()
    );
    assert!(limiter.try_acquire(2.0, RequestPriority::Placement).is_ok());
    assert!(
        limiter
            .try_acquire(1.0, RequestPriority::Placement)
            .is_err()
    );
    assert!(limiter.try_acquire(1.0, RequestPriority::Fencing).is_ok());
    assert!(limiter.try_acquire(1.0, RequestPriority::Fencing).is_err());
    let before = Instant::now();
    limiter.acquire(1.0, RequestPriority::Fencing).await;
    assert!(before.elapsed() >= Duration::from_millis(95));
}

/// Guards against a busy controller that is limited to its fair share while the others leave
/// theirs idle, and against one that keeps using the others' shares after it is throttled.
#[tokio::test(start_paused = true)]
async fn idle_shares_of_others_are_used_until_throttled() {
    let limiter = RateLimiter::adaptive(10.0, 40.0);
    let count_calls = async |seconds: u64| {
        let until = Instant::now() + Duration::from_secs(seconds);
        let mut calls = 0;
        while Instant::now() < until {
            limiter.acquire(1.0, RequestPriority::Placement).await;
            calls += 1;
        }
        calls
    };
    count_calls(5).await;
    assert!(
        count_calls(5).await > 170,
        "the rate grows to most of the limit"
    );
    for _ in 0..5 {
        limiter.note_throttled();
    }
    let calls = count_calls(1).await;
    assert!(
        (5..=12).contains(&calls),
        "the rate is back at the fair share: {calls}"
    );
}
