//! Guards against starvation of lower tiers, and against ageing that takes more than its share of the grants.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::coordination::scheduler::Config;

use shard::Shard;
use shard::granted;
use shard::slot_request;

fn count_aged(ageing_ms: u64) -> usize {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(slot_request(0, 0));
    for sequence in 1_000..1_050 {
        let mut low = slot_request(sequence, 3);
        low.ageing_ms = ageing_ms;
        shard.enqueue(low);
    }
    let mut running = 0;
    let mut aged = 0;
    for sequence in 1..=200 {
        shard.enqueue(slot_request(sequence, 0));
        shard.now_ms += 10;
        running = granted(&shard.done(running)).expect("the slot is free and requests wait");
        aged += usize::from(running >= 1_000);
    }
    aged
}

#[test]
fn aged_requests_get_one_grant_in_twenty() {
    assert_eq!(count_aged(0), 10);
}

#[test]
fn young_requests_wait_for_urgent_work() {
    assert_eq!(count_aged(1_000_000), 0);
}

#[test]
fn longest_aged_goes_first() {
    let config = Config {
        ageing_share: 1,
        ..Config::default()
    };
    let mut shard = Shard::new(config, &[1]);
    shard.enqueue(slot_request(1, 0));
    let mut young = slot_request(2, 2);
    young.ageing_ms = 100;
    shard.enqueue(young);
    let mut old = slot_request(3, 3);
    old.ageing_ms = 50;
    shard.enqueue(old);
    shard.now_ms += 200;
    assert_eq!(granted(&shard.done(1)), Some(3));
}
