//! Guards against lower tiers getting slots before higher ones, and against use of the slots reserved for tier 0.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::coordination::scheduler::Config;

use shard::Shard;
use shard::granted;
use shard::slot_request;

#[test]
fn higher_tier_goes_first() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(slot_request(1, 2));
    shard.enqueue(slot_request(2, 3));
    shard.enqueue(slot_request(3, 1));
    shard.enqueue(slot_request(4, 0));
    assert_eq!(granted(&shard.done(1)), Some(4));
    assert_eq!(granted(&shard.done(4)), Some(3));
    assert_eq!(granted(&shard.done(3)), Some(2));
}

#[test]
fn reserve_is_kept_for_tier_0() {
    let config = Config {
        reserved_slots: 1,
        ..Config::default()
    };
    let mut shard = Shard::new(config, &[1, 1]);
    assert_eq!(granted(&shard.enqueue(slot_request(1, 1))), Some(1));
    assert_eq!(granted(&shard.enqueue(slot_request(2, 1))), None);
    assert_eq!(granted(&shard.enqueue(slot_request(3, 0))), Some(3));
}

#[test]
fn reserve_as_large_as_the_pool_leaves_one_slot() {
    let config = Config {
        reserved_slots: 5,
        ..Config::default()
    };
    let mut shard = Shard::new(config, &[2]);
    assert_eq!(granted(&shard.enqueue(slot_request(1, 3))), Some(1));
    assert_eq!(granted(&shard.enqueue(slot_request(2, 3))), None);
}
