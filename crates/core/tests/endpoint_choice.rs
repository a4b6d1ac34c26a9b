//! Guards against needless placement in a remote data centre, on a draining endpoint or away from a cached prefix.

#[path = "fixture/shard.rs"]
mod shard;

use waxwing_core::Name;
use waxwing_core::coordination::scheduler::Config;
use waxwing_core::coordination::scheduler::EndpointSpec;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;

use shard::Shard;
use shard::endpoint;
use shard::grants;
use shard::slot_request;

fn place(shard: &mut Shard, request: SlotRequest) -> String {
    grants(&shard.enqueue(request))[0].1.clone()
}

fn request_with_prefix(sequence: u64, prefix_hash: u64) -> SlotRequest {
    SlotRequest {
        prefix_hash,
        ..slot_request(sequence, 1)
    }
}

#[test]
fn same_data_centre_goes_first() {
    let mut shard = Shard::new(Config::default(), &[]);
    let remote = EndpointSpec {
        data_centre: Name::from("dc-2"),
        ..endpoint("far", 4)
    };
    shard.step(Input::Endpoints(vec![remote, endpoint("near", 2)]));
    let names: Vec<String> = (1..=3)
        .map(|n| place(&mut shard, slot_request(n, 1)))
        .collect();
    assert_eq!(names, ["near", "near", "far"]);
}

#[test]
fn cached_prefix_attracts_until_the_load_bound() {
    let mut shard = Shard::new(Config::default(), &[8, 8, 8]);
    let home = place(&mut shard, request_with_prefix(1, 7));
    shard.done(1);
    assert_ne!(
        place(&mut shard, slot_request(2, 1)),
        home,
        "idle endpoints are used in turn"
    );
    shard.done(2);
    assert_eq!(place(&mut shard, request_with_prefix(3, 7)), home);
    let names: Vec<String> = (4..=9)
        .map(|n| place(&mut shard, request_with_prefix(n, 7)))
        .collect();
    let at_home = names.iter().filter(|name| **name == home).count();
    assert!(at_home <= 3, "{names:?}");
}

#[test]
fn leaving_endpoint_gets_nothing_and_finishes_its_work() {
    let mut shard = Shard::new(Config::default(), &[2, 2]);
    shard.enqueue(slot_request(1, 1));
    let leaving = EndpointSpec {
        leaving: true,
        ..endpoint("e1", 2)
    };
    shard.step(Input::Endpoints(vec![leaving, endpoint("e2", 2)]));
    assert_eq!(place(&mut shard, slot_request(2, 1)), "e2");
    assert_eq!(place(&mut shard, slot_request(3, 1)), "e2");
    assert_eq!(grants(&shard.enqueue(slot_request(4, 1))), vec![]);
    shard.done(1);
    assert_eq!(shard.scheduler.gauges(shard.now_ms).running, 2);
}

#[test]
fn adopted_requests_take_slots_and_end_with_their_process() {
    let mut shard = Shard::new(Config::default(), &[1]);
    let mut adopted = slot_request(1, 1);
    adopted.ticket.incarnation = 9;
    let endpoint = Name::from("e1");
    shard.step(Input::Adopt {
        request: Box::new(adopted),
        endpoint,
    });
    assert_eq!(grants(&shard.enqueue(slot_request(2, 1))), vec![]);
    let effects = shard.step(Input::MemberGone { incarnation: 9 });
    assert_eq!(grants(&effects).len(), 1);
}
