//! Guards against one organisation crowding out others, and against a late deadline served before an early one.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::Name;
use waxwing_core::coordination::scheduler::Config;

use shard::Shard;
use shard::granted;
use shard::slot_request;

/// Returns how many of 100 grants go to organisation `b` while organisation `a` has 500 waiting requests.
fn count_grants_to_b(weight: u32, tokens: u32, requests: u64) -> usize {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(slot_request(0, 1));
    for sequence in 1..=500 {
        shard.enqueue(slot_request(sequence, 1));
    }
    for sequence in 1_000..1_000 + requests {
        let mut other = slot_request(sequence, 1);
        other.organisation = Name::from("b");
        other.class = Name::from("other");
        other.weight = weight;
        other.expected_tokens = tokens;
        shard.enqueue(other);
    }
    let mut running = 0;
    let mut grants_to_b = 0;
    for _ in 0..100 {
        running = granted(&shard.end(
            running,
            waxwing_core::coordination::scheduler::AttemptEnd::Failed,
            0,
        ))
        .expect("requests wait");
        grants_to_b += usize::from(running >= 1_000);
    }
    grants_to_b
}

#[test]
fn equal_weights_share_equally() {
    assert!((49..=51).contains(&count_grants_to_b(1, 10, 500)));
}

#[test]
fn weights_scale_the_share() {
    assert!((74..=76).contains(&count_grants_to_b(3, 10, 500)));
}

#[test]
fn long_requests_count_by_slot_time() {
    // The default estimates give 301 ms for 10 tokens and 2,101 ms for 100 tokens.
    assert!((12..=14).contains(&count_grants_to_b(1, 100, 500)));
}

#[test]
fn idle_time_earns_no_credit() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(slot_request(0, 1));
    for sequence in 1..=200 {
        shard.enqueue(slot_request(sequence, 1));
    }
    for _ in 0..100 {
        let running = shard.scheduler.counters().grants - 1;
        shard.done(running);
    }
    for sequence in 1_000..1_050 {
        let mut late = slot_request(sequence, 1);
        late.organisation = Name::from("b");
        shard.enqueue(late);
    }
    let mut running = 100;
    let mut late = 0;
    for _ in 0..20 {
        running = granted(&shard.done(running)).expect("requests wait");
        late += usize::from(running >= 1_000);
    }
    assert!((9..=11).contains(&late), "{late} of 20 grants");
}

#[test]
fn earliest_deadline_goes_first() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(slot_request(0, 1));
    for (sequence, deadline_at_ms) in [(1, 90_000), (2, 50_000), (3, 70_000)] {
        let mut next = slot_request(sequence, 1);
        next.deadline_at_ms = deadline_at_ms;
        shard.enqueue(next);
    }
    assert_eq!(granted(&shard.done(0)), Some(2));
    assert_eq!(granted(&shard.done(2)), Some(3));
}
