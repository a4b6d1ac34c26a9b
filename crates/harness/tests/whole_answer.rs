//! Whole and streamed answers through the real daemon.

use waxwing_harness::caller;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_standin::engine;

const TOKENS: u64 = 40;

/// Guards against an answer that lacks, repeats or reorders tokens when it is collected on the VM.
#[test]
fn whole_answer_is_complete() {
    let deployment = Deployment::start(&Plan::default());
    let caller = deployment.caller(0);
    let answer = caller.chat("draft", "a short letter", TOKENS);
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 200);
    let expected = caller::expected_answer("a short letter", TOKENS);
    assert_eq!(answer.text().as_deref(), Some(expected.as_str()));
}

/// Guards against a stream that changes its id, loses tokens or does not say that it is complete.
#[test]
fn streamed_answer_is_complete() {
    let deployment = Deployment::start(&Plan::default());
    let caller = deployment.caller(0);
    let streamed = caller.stream("draft", "a short letter", TOKENS);
    let streamed = streamed.expect("the daemon answers");
    assert_eq!(
        streamed.text,
        caller::expected_answer("a short letter", TOKENS)
    );
    assert_eq!(streamed.ids.len(), 1);
    assert!(streamed.is_done);
    assert_eq!(streamed.refusal, None);
}

/// Guards against an incomplete answer that a caller takes for a complete one.
#[test]
fn cut_answer_is_never_passed_as_whole() {
    let deployment = Deployment::start(&Plan::default());
    deployment.engines[0].set_faults(&engine::Faults {
        cut_after_tokens: Some(TOKENS / 2),
        ..engine::Faults::default()
    });
    let caller = deployment.caller(0);
    let streamed = caller.stream("draft", "a short letter", TOKENS);
    let streamed = streamed.expect("the daemon answers");
    let expected = caller::expected_answer("a short letter", TOKENS);
    // The daemon may resume the stream on the engine, which cuts it again.
    assert!(expected.starts_with(&streamed.text));
    let is_whole = streamed.text == expected;
    assert_eq!(streamed.is_done, is_whole);
    assert_eq!(streamed.refusal.is_none(), is_whole);
}
