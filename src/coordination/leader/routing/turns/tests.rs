//! Tests of `coordination::leader::routing::turns`.

use super::*;

/// Runs one pass of up to four tries over a queue in which everyone is tried in vain; returns who
/// was tried.
fn pass(turns: &mut Turns<u32>, queue: impl IntoIterator<Item = u32>) -> Vec<u32> {
    turns.begin_pass(4);
    let mut tried = Vec::new();
    for key in queue {
        if turns.may_try(&key) {
            turns.note_in_vain(key);
            tried.push(key);
        }
    }
    tried
}

/// Guards against passes that try the same head of the queue without end.
#[test]
fn everyone_has_a_turn_beside_the_head_of_the_queue() {
    let mut turns = Turns::default();
    assert_eq!(pass(&mut turns, 0..9), [0, 1, 2, 3]);
    assert_eq!(pass(&mut turns, 0..9), [0, 1, 4, 5]);
    assert_eq!(pass(&mut turns, 0..9), [0, 1, 6, 7]);
    assert_eq!(pass(&mut turns, 0..9), [0, 1, 8]);
    assert_eq!(pass(&mut turns, 0..9), [0, 1, 2, 3]);
}

#[test]
fn a_queue_within_the_bound_is_tried_as_a_whole_each_time() {
    let mut turns = Turns::default();
    for _ in 0..3 {
        assert_eq!(pass(&mut turns, 0..4), [0, 1, 2, 3]);
    }
}

#[test]
fn who_was_not_tried_in_vain_keeps_its_place_in_the_queue() {
    let mut turns = Turns::default();
    for _ in 0..3 {
        turns.begin_pass(2);
        assert!(turns.may_try(&0));
        assert!(turns.may_try(&1));
        assert!(!turns.has_tries_left());
        assert!(!turns.may_try(&2));
    }
}
