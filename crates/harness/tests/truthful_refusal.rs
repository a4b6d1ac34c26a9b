//! A refusal says `not_run` only if the call certainly did not run.

use std::thread;

use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_harness::Standin;
use waxwing_harness::caller::Answer;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;
use waxwing_standin::engine;
use waxwing_standin::proxy;
use waxwing_standin::service;

const PATH: &str = "/v1/services/dispatch/book";

/// Bookings that are answered before a test begins, so that all eight key ranges are very likely in use.
const WARM_UP_BOOKINGS: usize = 32;

/// Starts a deployment whose service takes 20 ms for a call, times `slow_down` once the ranges are in use.
fn start(slow_down: f64, silence_ms: u64) -> Deployment {
    let deployment = Deployment::start(&Plan {
        services: 1,
        vm_extra: format!("[limits]\nendpoint_silence_ms = {silence_ms}\n"),
        ..Plan::default()
    });
    let caller = deployment.caller(0);
    condition::wait_until("the VM runs bookings", || {
        (0..WARM_UP_BOOKINGS).all(|_| {
            let answer = book(&caller, Uuid::now_v7(), "5000");
            answer.is_some_and(|answer| answer.status == 200)
        })
    });
    deployment.services[0].set_faults(&service::Faults {
        slow_down,
        ..service::Faults::default()
    });
    deployment
}

fn book(caller: &Caller, key: Uuid, deadline_ms: &str) -> Option<Answer> {
    let key = key.to_string();
    let headers = [
        ("Idempotency-Key", key.as_str()),
        ("Waxwing-Deadline-Ms", deadline_ms),
    ];
    caller.post(PATH, "booking", &headers, b"van")
}

/// Returns what the refusal of a booking says, and how often its key ran.
fn book_refused(
    deployment: &Deployment,
    key: Uuid,
    deadline_ms: &str,
) -> (Reason, ExecutionStatus, usize) {
    let answer = book(&deployment.caller(0), key, deadline_ms);
    let refusal = answer.expect("an answer").refusal();
    let refusal = refusal.expect("a refusal");
    (refusal.code, refusal.run, count_runs(deployment, key))
}

fn count_runs(deployment: &Deployment, key: Uuid) -> usize {
    let key = Some(key.to_string());
    let entries = deployment.ledger();
    entries.iter().filter(|entry| entry.key == key).count()
}

/// Guards against a refused connection that is reported as a call that may have run.
#[test]
fn refused_connection_is_not_run() {
    let mut deployment = start(1.0, 15_000);
    deployment.services[0].process().kill();
    let key = Uuid::now_v7();
    let (reason, run, runs) = book_refused(&deployment, key, "5000");
    assert_eq!((run, runs), (ExecutionStatus::NotRun, 0), "{reason:?}");
    deployment.services[0].restart();
    condition::wait_until("the key can be used again", || {
        let answer = book(&deployment.caller(0), key, "5000");
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(count_runs(&deployment, key), 1);
}

/// Guards against a connection that breaks after the call left and is taken for one that was never made.
#[test]
fn reset_connection_is_unknown() {
    let deployment = start(100.0, 15_000);
    let target = deployment.services[0].address();
    let proxy = Standin::start_proxy(&deployment.run, "proxy", &target);
    let settings = deployment
        .settings_text("")
        .replace(&target, &proxy.address());
    let version = deployment.daemons[0].wait_for_settings();
    assert!(publish::publish_settings(
        &deployment.log.address(),
        &settings
    ));
    condition::wait_until("the settings are in force", || {
        deployment.daemons[0].wait_for_settings() > version
    });
    let key = Uuid::now_v7();
    let caller = deployment.caller(0);
    let call = thread::spawn(move || book(&caller, key, "10000"));
    condition::wait_until("the call runs", || count_runs(&deployment, key) == 1);
    proxy.set_faults(&proxy::Faults {
        reset: true,
        ..proxy::Faults::default()
    });
    let answer = call.join().expect("the caller does not panic");
    let refusal = answer.expect("an answer").refusal();
    assert_eq!(refusal.expect("a refusal").run, ExecutionStatus::Unknown);
    assert_eq!(count_runs(&deployment, key), 1);
}

/// Guards against a lost answer that is reported as `not_run` or makes the call run again.
#[test]
fn lost_answer_is_unknown() {
    let deployment = start(1.0, 15_000);
    deployment.services[0].set_faults(&service::Faults {
        lose_acknowledgements: true,
        ..service::Faults::default()
    });
    let key = Uuid::now_v7();
    for _ in 0..3 {
        let (reason, run, runs) = book_refused(&deployment, key, "5000");
        assert_eq!((run, runs), (ExecutionStatus::Unknown, 1), "{reason:?}");
    }
}

/// Guards against a frozen endpoint that is reported as `not_run` although it runs the call when it wakes.
#[test]
fn frozen_endpoint_is_unknown() {
    let mut deployment = start(1.0, 1_000);
    deployment.services[0].process().suspend();
    let key = Uuid::now_v7();
    let answer = book(&deployment.caller(0), key, "5000");
    deployment.services[0].process().resume();
    let refusal = answer.expect("an answer").refusal();
    assert_eq!(refusal.expect("a refusal").run, ExecutionStatus::Unknown);
    let (_, run, runs) = book_refused(&deployment, key, "5000");
    assert_eq!(run, ExecutionStatus::Unknown);
    assert!(runs <= 1, "the key ran {runs} times");
}

/// Guards against a deadline that passes while the call runs and is reported as `not_run`, and a lost outcome.
#[test]
fn passed_deadline_is_unknown() {
    let deployment = start(75.0, 15_000);
    let key = Uuid::now_v7();
    let refused = book_refused(&deployment, key, "500");
    assert_eq!(
        refused,
        (Reason::DeadlinePassed, ExecutionStatus::Unknown, 1)
    );
    condition::wait_until("a repeat receives the outcome", || {
        let answer = book(&deployment.caller(0), key, "5000");
        answer.is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(count_runs(&deployment, key), 1);
}

/// Guards against a repeat that runs beside the first call, or is told that its key was not run.
#[test]
fn repeat_of_a_running_call_is_unknown() {
    let deployment = start(75.0, 15_000);
    let key = Uuid::now_v7();
    let caller = deployment.caller(0);
    let first = thread::spawn(move || book(&caller, key, "10000"));
    condition::wait_until("the call runs", || count_runs(&deployment, key) == 1);
    let refused = book_refused(&deployment, key, "10000");
    assert_eq!(refused, (Reason::InProgress, ExecutionStatus::Unknown, 1));
    let answer = first.join().expect("the caller does not panic");
    assert_eq!(answer.expect("an answer").status, 200);
    assert_eq!(count_runs(&deployment, key), 1);
}

/// Guards against a stream that generated tokens, cannot be resumed and is then called `not_run`.
#[test]
fn resumed_and_refused_stream_is_unknown() {
    let deployment = Deployment::start(&Plan::default());
    deployment.engines[0].set_faults(&engine::Faults {
        cut_after_tokens: Some(3),
        ..engine::Faults::default()
    });
    let caller = deployment.caller(0);
    let streamed = caller.stream("draft", "a letter", 40).expect("an answer");
    let refusal = streamed.refusal.expect("a refusal");
    assert_eq!(refusal.run, ExecutionStatus::Unknown);
    let answer = caller.chat("draft", "another letter", 40);
    let refusal = answer.expect("an answer").refusal();
    assert_eq!(refusal.expect("a refusal").run, ExecutionStatus::Unknown);
}
