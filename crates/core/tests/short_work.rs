//! Guards against short urgent requests that wait for long ones to end, and against headroom that blocks long ones.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::coordination::scheduler::Config;

use shard::Shard;
use shard::grants;
use shard::slot_request;

/// Runs four short requests at a time on ten slots for 50 s; returns the shard and the next sequence number.
fn run_short_requests() -> (Shard, u64) {
    let mut shard = Shard::new(Config::default(), &[10]);
    let mut sequence = 0;
    for _ in 0..500 {
        for index in 0..4 {
            shard.enqueue(slot_request(sequence + index, 1));
        }
        shard.now_ms += 100;
        for index in 0..4 {
            shard.done(sequence + index);
        }
        sequence += 4;
    }
    (shard, sequence)
}

#[test]
fn long_requests_leave_slots_to_short_ones() {
    let (mut shard, first) = run_short_requests();
    let mut long = 0;
    for sequence in first..first + 20 {
        let mut request = slot_request(sequence, 2);
        request.expected_tokens = 1_000;
        long += grants(&shard.enqueue(request)).len();
    }
    assert!((7..=8).contains(&long), "{long} of 10 slots");
    assert_eq!(grants(&shard.enqueue(slot_request(first + 20, 1))).len(), 1);
}

#[test]
fn requests_of_similar_length_leave_none() {
    let (mut shard, first) = run_short_requests();
    let mut similar = 0;
    for sequence in first..first + 20 {
        similar += grants(&shard.enqueue(slot_request(sequence, 2))).len();
    }
    assert_eq!(similar, 10);
}

#[test]
fn one_slot_is_not_left_free() {
    let mut shard = Shard::new(Config::default(), &[1]);
    for sequence in 0..50 {
        shard.enqueue(slot_request(sequence, 1));
        shard.now_ms += 1_000;
        shard.done(sequence);
    }
    let mut long = slot_request(100, 3);
    long.expected_tokens = 10_000;
    assert_eq!(grants(&shard.enqueue(long)).len(), 1);
}
