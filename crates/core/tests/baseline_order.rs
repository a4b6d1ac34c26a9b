//! Guards against a baseline policy that is not first in, first out, or whose choices a seed does not reproduce.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::coordination::scheduler::Config;
use waxwing_core::state::settings::Policy;

use shard::Shard;
use shard::granted;
use shard::grants;
use shard::refusals;
use shard::slot_request;

fn baseline(queue_max: u32) -> Config {
    Config {
        policy: Policy::Baseline,
        queue_max,
        ..Config::default()
    }
}

#[test]
fn first_in_first_out_whatever_the_tier() {
    let mut shard = Shard::new(baseline(2), &[1]);
    shard.enqueue(slot_request(1, 3));
    shard.enqueue(slot_request(2, 2));
    shard.enqueue(slot_request(3, 1));
    assert_eq!(
        refusals(&shard.enqueue(slot_request(4, 0))).len(),
        1,
        "a full queue refuses the newest request"
    );
    assert_eq!(granted(&shard.done(1)), Some(2));
    assert_eq!(granted(&shard.done(2)), Some(3));
}

#[test]
fn random_choice_repeats_with_its_seed() {
    let place = || {
        let mut shard = Shard::new(baseline(1), &[1; 20]);
        let effects = (1..=20).flat_map(|n| shard.enqueue(slot_request(n, 0)));
        grants(&effects.collect::<Vec<_>>())
    };
    assert_eq!(place(), place());
    let names: Vec<String> = place().into_iter().map(|(_, name)| name).collect();
    let in_order: Vec<String> = (1..=20).map(|number| format!("e{number}")).collect();
    assert_ne!(names, in_order);
    let mut sorted = names;
    sorted.sort();
    sorted.dedup();
    assert_eq!(sorted.len(), 20);
}
