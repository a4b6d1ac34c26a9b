//! The log loses records that were read from it.

use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_harness::caller::Answer;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;

const PATH: &str = "/v1/services/dispatch/book";

/// Records that make each stream longer than it was before the loss.
const RECORDS: usize = 60;

fn book(caller: &Caller, key: Uuid) -> Option<Answer> {
    let key = key.to_string();
    let headers = [
        ("Idempotency-Key", key.as_str()),
        ("Waxwing-Deadline-Ms", "2000"),
    ];
    caller.post(PATH, "booking", &headers, b"van")
}

fn has_said(deployment: &mut Deployment, text: &str, times: usize) -> bool {
    deployment.daemons[0]
        .process()
        .output()
        .matches(text)
        .count()
        >= times
}

/// Guards against claims that are granted before a log that lost earlier ones, also once it has grown back.
#[test]
fn claims_after_loss() {
    let mut deployment = Deployment::start(&Plan {
        services: 1,
        ..Plan::default()
    });
    let caller = deployment.caller(0);
    let key = Uuid::now_v7();
    condition::wait_until("the VM runs bookings in all ranges", || {
        let is_answered = |key| book(&caller, key).is_some_and(|answer| answer.status == 200);
        is_answered(key) && (0..32).all(|_| is_answered(Uuid::now_v7()))
    });
    let runs = deployment.ledger().len();
    deployment.log.restart();
    condition::wait_until("the VM says that it grants no claims", || {
        has_said(&mut deployment, "grants no claims in range", 8)
    });
    for range in 0..8 {
        let stream = format!("claims-{range}");
        for _ in 0..RECORDS {
            condition::wait_until("the record is appended", || {
                publish::append(&deployment.log.address(), &stream, b"of another VM")
            });
        }
    }
    for _ in 0..16 {
        let answer = book(&caller, Uuid::now_v7()).expect("an answer");
        let refusal = answer.refusal().expect("a refusal");
        assert_eq!(refusal.code, Reason::LogUnavailable);
        assert_eq!(refusal.run, ExecutionStatus::Unknown);
    }
    // What the VM knows of keys that ran stays true.
    assert_eq!(book(&caller, key).map(|answer| answer.status), Some(200));
    assert_eq!(deployment.ledger().len(), runs);
}
