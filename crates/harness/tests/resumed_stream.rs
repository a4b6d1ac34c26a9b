//! A stream whose engine fails is resumed, or ends with an error that nobody takes for an end.

use std::thread;
use std::thread::JoinHandle;

use waxwing_harness::caller;
use waxwing_harness::caller::Caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::engine;

const TOKENS: u64 = 100;

fn start(engines: usize) -> Deployment {
    Deployment::start(&Plan {
        engines,
        engine_options: vec!["--gap-ms", "20", "--report-lag-ms", "0"],
        vm_extra: "[limits]\nendpoint_silence_ms = 1000\n".to_owned(),
        ..Plan::default()
    })
}

/// Starts one streamed and one whole request, each of which checks its answer.
fn request(caller: &Caller) -> Vec<JoinHandle<()>> {
    let streaming = caller.clone();
    let whole = caller.clone();
    let first = thread::spawn(move || {
        let streamed = streaming.stream("draft", "a letter", TOKENS);
        let streamed = streamed.expect("an answer");
        let expected = caller::expected_answer("a letter", TOKENS);
        assert_eq!(streamed.text, expected, "{:?}", streamed.refusal);
        assert!(streamed.is_done);
        assert_eq!(streamed.ids.len(), 1);
    });
    let second = thread::spawn(move || {
        let answer = whole.chat("draft", "a notice", TOKENS).expect("an answer");
        let expected = caller::expected_answer("a notice", TOKENS);
        assert_eq!(answer.text(), Some(expected), "{answer:?}");
    });
    vec![first, second]
}

fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        assert!(thread.join().is_ok(), "a caller failed");
    }
}

/// Returns the index of an engine that runs a request.
fn wait_for_busy(deployment: &Deployment) -> usize {
    condition::wait_for("an engine runs a request", || {
        let mut engines = deployment.engines.iter();
        engines.position(|engine| engine.running() > 0)
    })
}

/// Waits until the VM has received the first token of `requests` requests.
fn wait_for_tokens(deployment: &Deployment, requests: u32) {
    condition::wait_until("first tokens have arrived", || {
        let count = deployment.daemons[0].counter_sum("waxwing_first_token_seconds_count");
        count >= f64::from(requests)
    });
}

/// Guards against tokens that are lost or repeated when an engine is killed in the middle of a stream.
#[test]
fn killed_engine() {
    let mut deployment = start(2);
    let threads = request(&deployment.caller(0));
    wait_for_tokens(&deployment, 2);
    let busy = wait_for_busy(&deployment);
    deployment.engines[busy].process().kill();
    join(threads);
}

/// Guards against tokens that are lost or repeated when an engine cuts its streams.
#[test]
fn cut_stream() {
    let deployment = start(2);
    deployment.engines[0].set_faults(&engine::Faults {
        cut_after_tokens: Some(7),
        ..engine::Faults::default()
    });
    for _ in 0..3 {
        join(request(&deployment.caller(0)));
    }
}

/// Guards against callers that wait for an engine that went silent, and tokens that are lost or repeated afterwards.
#[test]
fn silent_stream() {
    let deployment = start(2);
    deployment.engines[0].set_faults(&engine::Faults {
        silent_after_tokens: Some(7),
        ..engine::Faults::default()
    });
    join(request(&deployment.caller(0)));
}

/// Guards against a cut stream that ends like a whole one when no engine can resume it.
#[test]
fn last_engine_is_killed() {
    let mut deployment = start(1);
    let caller = deployment.caller(0);
    let stream = thread::spawn(move || caller.stream("draft", "a letter", TOKENS));
    wait_for_tokens(&deployment, 1);
    deployment.engines[0].process().kill();
    let streamed = stream.join().expect("the caller does not panic");
    let streamed = streamed.expect("an answer");
    assert!(!streamed.is_done && !streamed.text.is_empty());
    assert!(streamed.refusal.is_some());
    let expected = caller::expected_answer("a letter", TOKENS);
    assert!(expected.starts_with(&streamed.text) && streamed.text.len() < expected.len());
}
