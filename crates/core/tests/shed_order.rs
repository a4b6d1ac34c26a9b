//! Guards against shedding the wrong requests, limits that do not hold, and late refusals of hopeless requests.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::Effect;
use waxwing_core::coordination::scheduler::Input;

use shard::Shard;
use shard::refusals;
use shard::slot_request;

fn full_shard(queue: &[(u64, u8, bool, u64)]) -> Shard {
    let config = Config {
        queue_max: queue.len() as u32,
        ..Config::default()
    };
    let mut shard = Shard::new(config, &[1]);
    shard.enqueue(slot_request(0, 0));
    for (sequence, tier, idempotent, deadline_at_ms) in queue {
        let mut next = slot_request(*sequence, *tier);
        next.idempotent = *idempotent;
        next.deadline_at_ms = *deadline_at_ms;
        assert_eq!(refusals(&shard.enqueue(next)), vec![]);
    }
    shard
}

#[test]
fn lowest_tier_with_latest_deadline_is_shed() {
    let mut shard = full_shard(&[
        (1, 1, true, 90_000),
        (2, 2, true, 50_000),
        (3, 2, true, 60_000),
    ]);
    assert_eq!(
        refusals(&shard.enqueue(slot_request(4, 0))),
        vec![(3, Reason::Shed)]
    );
    assert_eq!(
        refusals(&shard.enqueue(slot_request(5, 0))),
        vec![(2, Reason::Shed)]
    );
    assert_eq!(
        refusals(&shard.enqueue(slot_request(6, 1))),
        vec![(6, Reason::QueueFull)]
    );
}

#[test]
fn non_idempotent_is_not_shed_for_equal_or_lower_tier() {
    let mut shard = full_shard(&[(1, 1, false, 90_000)]);
    for (sequence, tier, idempotent) in [(2, 1, true), (3, 2, false), (4, 1, false)] {
        let mut next = slot_request(sequence, tier);
        next.idempotent = idempotent;
        next.deadline_at_ms = 20_000;
        let expected = vec![(sequence, Reason::QueueFull)];
        assert_eq!(refusals(&shard.enqueue(next)), expected);
    }
    assert_eq!(
        refusals(&shard.enqueue(slot_request(5, 0))),
        vec![(1, Reason::Shed)]
    );
}

#[test]
fn repeatable_is_shed_before_non_idempotent_of_its_tier() {
    let mut shard = full_shard(&[(1, 2, false, 90_000), (2, 2, true, 20_000)]);
    assert_eq!(
        refusals(&shard.enqueue(slot_request(3, 1))),
        vec![(2, Reason::Shed)]
    );
}

#[test]
fn class_and_organisation_limits_hold() {
    let mut shard = Shard::new(Config::default(), &[1]);
    for sequence in 1..=3 {
        shard.enqueue(slot_request(sequence, 1));
    }
    let mut class = slot_request(4, 1);
    class.class_in_flight_max = 3;
    assert_eq!(
        refusals(&shard.enqueue(class)),
        vec![(4, Reason::ClassLimit)]
    );
    let mut organisation = slot_request(5, 2);
    organisation.organisation_in_flight_max = 3;
    let refused = shard.enqueue(organisation.clone());
    assert_eq!(refusals(&refused), vec![(5, Reason::OrganisationLimit)]);
    organisation.organisation = Name::from("b");
    assert_eq!(refusals(&shard.enqueue(organisation)), vec![]);
}

#[test]
fn retry_after_follows_the_service_rate() {
    let mut times = Vec::new();
    for service_ms in [100, 400] {
        let mut shard = Shard::new(
            Config {
                queue_max: 0,
                ..Config::default()
            },
            &[1],
        );
        shard.complete_requests(50, service_ms);
        shard.enqueue(slot_request(1, 1));
        let effects = shard.enqueue(slot_request(2, 1));
        let [Effect::Refuse { retry_after_ms, .. }] = effects.as_slice() else {
            panic!("expected one refusal: {effects:?}");
        };
        times.push(*retry_after_ms);
    }
    assert!((90..=150).contains(&times[0]), "{times:?}");
    assert!((360..=600).contains(&times[1]), "{times:?}");
}

#[test]
fn unreachable_deadline_is_refused_at_once() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.complete_requests(30, 500);
    let mut hopeless = slot_request(1, 1);
    hopeless.deadline_at_ms = shard.now_ms + 300;
    let refused = shard.enqueue(hopeless.clone());
    assert_eq!(refusals(&refused), vec![(1, Reason::DeadlineUnreachable)]);
    shard.enqueue(slot_request(2, 1));
    hopeless.deadline_at_ms = shard.now_ms + 900;
    assert_eq!(refusals(&shard.enqueue(hopeless)), vec![]);
    shard.now_ms += 600;
    let refused = shard.step(Input::Tick);
    assert_eq!(refusals(&refused), vec![(1, Reason::DeadlineUnreachable)]);
}

#[test]
fn pool_without_endpoint_refuses_soon() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.probe("e1", false, 0);
    shard.enqueue(slot_request(1, 0));
    shard.step(Input::Tick);
    shard.now_ms += 1_100;
    let refused = shard.step(Input::Tick);
    assert_eq!(refusals(&refused), vec![(1, Reason::NoEndpoint)]);
}

#[test]
fn request_that_failed_everywhere_is_refused() {
    let mut shard = Shard::new(Config::default(), &[1, 1]);
    let mut failed = slot_request(1, 0);
    failed.excluded = vec![Name::from("e1"), Name::from("e2")];
    shard.enqueue(failed);
    let refused = shard.step(Input::Tick);
    assert_eq!(refusals(&refused), vec![(1, Reason::NoEndpoint)]);
}

#[test]
fn preempted_work_waits_outside_the_bound() {
    let config = Config {
        queue_max: 1,
        ..Config::default()
    };
    let mut shard = Shard::new(config, &[1]);
    let mut low = slot_request(1, 3);
    low.preemptible = true;
    shard.enqueue(low.clone());
    shard.enqueue(slot_request(2, 0));
    shard.end(1, AttemptEnd::Preempted, 30);
    low.generated_tokens = 30;
    assert_eq!(refusals(&shard.enqueue(low)), vec![]);
    assert_eq!(refusals(&shard.enqueue(slot_request(3, 2))), vec![]);
    let refused = shard.enqueue(slot_request(4, 1));
    assert_eq!(
        refusals(&refused),
        vec![(3, Reason::Shed)],
        "the preempted request is not shed"
    );
}

#[test]
fn hopeless_wait_is_refused_at_once() {
    let mut shard = Shard::new(Config::default(), &[1]);
    shard.complete_requests(30, 500);
    for sequence in 0..20 {
        shard.enqueue(slot_request(sequence, 1));
    }
    let mut next = slot_request(100, 1);
    next.deadline_at_ms = shard.now_ms + 5_000;
    let refused = shard.enqueue(next.clone());
    assert_eq!(refusals(&refused), vec![(100, Reason::DeadlineUnreachable)]);
    next.deadline_at_ms = shard.now_ms + 60_000;
    assert_eq!(refusals(&shard.enqueue(next.clone())), vec![]);
    // Organisation `b` has a shorter queue of its own, and tier 0 is served before tier 1.
    for sequence in 101..=102 {
        next = slot_request(sequence, 1);
        next.organisation = Name::from("b");
        next.deadline_at_ms = shard.now_ms + 5_000;
        assert_eq!(refusals(&shard.enqueue(next)), vec![]);
    }
    next = slot_request(103, 0);
    next.deadline_at_ms = shard.now_ms + 5_000;
    assert_eq!(refusals(&shard.enqueue(next)), vec![]);
}
