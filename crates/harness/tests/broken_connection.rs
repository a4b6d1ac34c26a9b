//! Connections between a VM and an engine that break, fall silent or lose one direction.

use std::thread;

use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_harness::caller;
use waxwing_harness::caller::StreamedAnswer;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::proxy;
use waxwing_standin::proxy::DirectionFaults;

const TOKENS: u64 = 100;

fn start() -> Deployment {
    Deployment::start(&Plan {
        engine_options: vec!["--gap-ms", "20", "--report-lag-ms", "0"],
        proxies_engines: true,
        vm_extra: "[limits]\nendpoint_silence_ms = 500\n".to_owned(),
        ..Plan::default()
    })
}

/// Streams an answer, and sets the faults when its generation has begun.
fn stream_with(deployment: &Deployment, faults: &proxy::Faults) -> StreamedAnswer {
    let caller = deployment.caller(0);
    let streaming = thread::spawn(move || caller.stream("draft", "a letter", TOKENS));
    let engine = caller::Caller::new(&deployment.engines[0].address(), "");
    condition::wait_until("the engine generates", || {
        let load = engine.get("/load").and_then(|answer| answer.to_json());
        load.is_some_and(|load| load["running"] == 1)
    });
    deployment.engine_proxies[0].set_faults(faults);
    let streamed = streaming.join().expect("the caller ends");
    streamed.expect("the daemon answers")
}

fn assert_complete_or_refused(streamed: &StreamedAnswer) {
    let expected = caller::expected_answer("a letter", TOKENS);
    assert!(expected.starts_with(&streamed.text), "{streamed:?}");
    if streamed.is_done {
        assert_eq!(streamed.text, expected);
        return;
    }
    let refusal = streamed.refusal.as_ref().expect("a refusal is sent");
    // The engine had begun, so that the request did not run can never be certain.
    assert_eq!(refusal.run, ExecutionStatus::Unknown);
    // Holding the request until its deadline is not accepted.
    assert_ne!(refusal.code, Reason::DeadlinePassed);
}

fn assert_serves(deployment: &Deployment) {
    let expected = caller::expected_answer("the next letter", 5);
    condition::wait_until("the next request is answered", || {
        let answer = deployment.caller(0).chat("draft", "the next letter", 5);
        answer.and_then(|answer| answer.text()).as_ref() == Some(&expected)
    });
}

/// Guards against a request that hangs on a connection which stopped carrying data for good, while new ones work.
#[test]
fn silent_connection_is_given_up() {
    let deployment = start();
    let faults = proxy::Faults {
        silence_existing: true,
        ..proxy::Faults::default()
    };
    assert_complete_or_refused(&stream_with(&deployment, &faults));
    assert_serves(&deployment);
}

/// Guards against a reset connection whose partial answer is passed as complete.
#[test]
fn reset_connection_is_reported() {
    let deployment = start();
    let faults = proxy::Faults {
        reset: true,
        ..proxy::Faults::default()
    };
    assert_complete_or_refused(&stream_with(&deployment, &faults));
    deployment.engine_proxies[0].set_faults(&proxy::Faults::default());
    assert_serves(&deployment);
}

/// Guards against a request that hangs because the way back to the VM is cut.
#[test]
fn one_way_cut_is_given_up() {
    let deployment = start();
    let faults = proxy::Faults {
        to_client: DirectionFaults {
            is_cut: true,
            delay_ms: 0,
        },
        ..proxy::Faults::default()
    };
    assert_complete_or_refused(&stream_with(&deployment, &faults));
    deployment.engine_proxies[0].set_faults(&proxy::Faults::default());
    assert_serves(&deployment);
}
