//! Tests of the signal that wakes the loops of a controller when its state cache changes.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use stallcove::storage::change_signal::ChangeSignal;

const LISTENERS: usize = 2;
/// Enough changes for a random wake-up order to differ at least once.
const CHANGES: usize = 64;

/// The leader's loop and the shard owner's loop of a controller listen to the same signal. A
/// random wake-up order would make scenario runs irreproducible, see `tests/determinism.rs`.
#[tokio::test(start_paused = true)]
async fn listeners_are_woken_in_the_order_in_which_they_wait() {
    let signal = Arc::new(ChangeSignal::default());
    let woken: Arc<Mutex<Vec<usize>>> = Arc::default();
    for number in 0..LISTENERS {
        let (signal, woken) = (signal.clone(), woken.clone());
        tokio::spawn(async move {
            let mut listener = signal.listen();
            loop {
                listener.changed().await;
                woken.lock().expect("woken").push(number);
            }
        });
    }
    for _ in 0..CHANGES {
        tokio::time::sleep(Duration::from_millis(1)).await;
        signal.notify();
    }
    tokio::time::sleep(Duration::from_millis(1)).await;
    let in_order: Vec<usize> = (0..CHANGES).flat_map(|_| 0..LISTENERS).collect();
    assert_eq!(*woken.lock().expect("woken"), in_order);
}

#[tokio::test(start_paused = true)]
async fn a_change_before_the_wait_is_not_lost() {
    let signal = ChangeSignal::default();
    let mut listener = signal.listen();
    signal.notify();
    signal.notify();
    listener.changed().await;
    let second = tokio::time::timeout(Duration::from_secs(1), listener.changed()).await;
    assert!(second.is_err(), "both changes were seen at once");
}

#[tokio::test(start_paused = true)]
async fn a_change_marked_seen_wakes_no_listener() {
    let signal = ChangeSignal::default();
    let mut listener = signal.listen();
    signal.notify();
    listener.mark_seen();
    let wait = tokio::time::timeout(Duration::from_secs(1), listener.changed()).await;
    assert!(wait.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_wait_loses_no_change() {
    let signal = ChangeSignal::default();
    let mut listener = signal.listen();
    let wait = tokio::time::timeout(Duration::from_millis(1), listener.changed()).await;
    assert!(wait.is_err());
    signal.notify();
    listener.changed().await;
}
