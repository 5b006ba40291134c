//! Tests of `transport::admission`.

use super::*;

async fn serve_requests(admission: &Admission, rounds: usize, response_time: Duration) -> usize {
    let mut refused = 0;
    for _ in 0..rounds {
        let mut permits = Vec::new();
        for _ in 0..100 {
            match admission.try_admit() {
                Some(permit) => permits.push(permit),
                None => refused += 1,
            }
        }
        tokio::time::sleep(response_time).await;
    }
    refused
}

#[tokio::test(start_paused = true)]
async fn the_limit_adapts_to_response_times() {
    let admission = Admission::default();
    serve_requests(&admission, 3, Duration::from_millis(60)).await;
    let start = admission.limit();
    let refused = serve_requests(&admission, 5, Duration::from_millis(1500)).await;
    assert!(refused > 0);
    let small = admission.limit();
    assert!(small < start, "{small}");
    serve_requests(&admission, 40, Duration::from_millis(60)).await;
    assert!(admission.limit() > small);
}
