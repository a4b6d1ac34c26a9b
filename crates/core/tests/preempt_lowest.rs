//! Guards against preemption of requests that must not be preempted, and against wasted work that is not counted.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;

use shard::Shard;
use shard::granted;
use shard::preempted;
use shard::slot_request;
use shard::ticket;

fn preemptible(sequence: u64, tier: u8) -> SlotRequest {
    SlotRequest {
        preemptible: true,
        ..slot_request(sequence, tier)
    }
}

fn progress(shard: &mut Shard, sequence: u64, tokens: u32) {
    shard.step(Input::Progress {
        ticket: ticket(sequence),
        tokens,
        gap_us: 1_000,
    });
}

#[test]
fn lowest_tier_with_least_work_is_preempted() {
    let mut shard = Shard::new(Config::default(), &[3]);
    shard.enqueue(preemptible(1, 2));
    shard.enqueue(preemptible(2, 3));
    shard.enqueue(preemptible(3, 3));
    progress(&mut shard, 2, 50);
    progress(&mut shard, 3, 5);
    assert_eq!(preempted(&shard.enqueue(slot_request(4, 0))), vec![3]);
    assert_eq!(
        preempted(&shard.step(Input::Tick)),
        vec![],
        "one victim is enough"
    );
    assert_eq!(granted(&shard.end(3, AttemptEnd::Preempted, 5)), Some(4));
}

#[test]
fn only_tier_0_preempts() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(preemptible(1, 3));
    assert_eq!(preempted(&shard.enqueue(slot_request(2, 1))), vec![]);
}

#[test]
fn non_idempotent_and_tier_0_work_is_not_preempted() {
    let mut shard = Shard::new(Config::default(), &[2]);
    let mut once = preemptible(1, 3);
    once.idempotent = false;
    shard.enqueue(once);
    shard.enqueue(preemptible(2, 0));
    assert_eq!(preempted(&shard.enqueue(slot_request(3, 0))), vec![]);
}

#[test]
fn preemptions_of_a_request_are_limited() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(preemptible(1, 3));
    for round in 0..3 {
        assert_eq!(
            preempted(&shard.enqueue(slot_request(10 + round, 0))),
            vec![1]
        );
        shard.end(1, AttemptEnd::Preempted, 0);
        shard.enqueue(preemptible(1, 3));
        assert_eq!(granted(&shard.done(10 + round)), Some(1));
    }
    assert_eq!(preempted(&shard.enqueue(slot_request(20, 0))), vec![]);
}

#[test]
fn aged_request_keeps_its_slot() {
    let config = Config {
        ageing_share: 1,
        ..Config::default()
    };
    let mut shard = Shard::new(config, &[1]);
    shard.enqueue(slot_request(1, 0));
    let mut aged = preemptible(2, 3);
    aged.ageing_ms = 0;
    shard.enqueue(aged);
    assert_eq!(granted(&shard.done(1)), Some(2));
    assert_eq!(preempted(&shard.enqueue(slot_request(3, 0))), vec![]);
}

#[test]
fn tokens_that_are_not_resumed_count_as_wasted() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.enqueue(preemptible(1, 3));
    shard.first_token(1, 40);
    shard.enqueue(slot_request(2, 0));
    shard.end(1, AttemptEnd::Preempted, 30);
    let mut resumed = preemptible(1, 3);
    resumed.generated_tokens = 20;
    shard.enqueue(resumed);
    assert_eq!(shard.scheduler.counters().wasted_tokens, 10);
    assert_eq!(shard.scheduler.counters().wasted_prefill_ms, 40);
    shard.step(Input::Cancel(ticket(1)));
    assert_eq!(shard.scheduler.counters().wasted_tokens, 30);
}
