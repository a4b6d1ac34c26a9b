//! Malformed, oversized, slow and forbidden input gets an accurate refusal and harms nobody else.

use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_harness::caller;
use waxwing_harness::caller::Answer;
use waxwing_harness::caller::Caller;
use waxwing_harness::deployment::API_KEY;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::raw::RawConnection;

const CHAT: &str = "/v1/chat/completions";

/// Short limits, so that slow senders are told apart within a second.
const LIMITS: &str = "
[limits]
head_max_bytes = 16384
head_timeout_ms = 500
body_max_bytes = 65536
body_timeout_ms = 500
";

fn start() -> Deployment {
    Deployment::start(&Plan {
        vm_extra: LIMITS.to_owned(),
        ..Plan::default()
    })
}

fn assert_refused(answer: Option<Answer>, reason: Reason) {
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, reason.status_code());
    assert!(answer.retry_after.is_some(), "Retry-After is missing");
    let refusal = answer.refusal().expect("the body is a refusal");
    assert_eq!(refusal.code, reason);
    assert_eq!(refusal.run, ExecutionStatus::NotRun);
}

fn assert_serves(deployment: &Deployment) {
    let answer = deployment.caller(0).chat("draft", "still there", 5);
    let text = answer.and_then(|answer| answer.text());
    assert_eq!(text, Some(caller::expected_answer("still there", 5)));
}

/// Guards against a panic or a wrong reason on bodies that are not chat requests.
#[test]
fn malformed_bodies_are_refused() {
    let deployment = start();
    let caller = deployment.caller(0);
    let deep = "[".repeat(10_000);
    let bodies: [&[u8]; 6] = [
        b"",
        b"{",
        b"[]",
        b"{\"messages\": 1}",
        b"\xff\xfe",
        deep.as_bytes(),
    ];
    for body in bodies {
        assert_refused(caller.post(CHAT, "draft", &[], body), Reason::BadRequest);
    }
    assert_serves(&deployment);
}

/// Guards against a body that fills the memory of the VM.
#[test]
fn oversized_body_is_refused() {
    let deployment = start();
    let caller = deployment.caller(0);
    let body = caller::chat_body(&"x".repeat(70_000), 5, false).to_string();
    let answer = caller.post(CHAT, "draft", &[], body.as_bytes());
    assert_refused(answer, Reason::BodyTooLarge);
    assert_serves(&deployment);
}

/// Guards against a head that grows without bound.
#[test]
fn oversized_head_is_refused() {
    let deployment = start();
    let mut raw = RawConnection::connect(deployment.daemons[0].caller_address());
    raw.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Long: ");
    for _ in 0..64 {
        if !raw.send(&[b'x'; 1_024]) {
            break;
        }
    }
    let answer = raw.read_to_end();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert_serves(&deployment);
}

/// Guards against a head that never ends and holds its connection for ever.
#[test]
fn slow_head_is_closed() {
    let deployment = start();
    let mut raw = RawConnection::connect(deployment.daemons[0].caller_address());
    raw.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost:");
    let answer = raw.read_to_end();
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_serves(&deployment);
}

/// Guards against a body that never ends and holds its request for ever.
#[test]
fn slow_body_is_refused() {
    let deployment = start();
    let mut raw = RawConnection::connect(deployment.daemons[0].caller_address());
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {API_KEY}\r\n\
         Waxwing-Class: draft\r\nContent-Length: 1000\r\nConnection: close\r\n\r\n{{"
    );
    raw.send(head.as_bytes());
    let answer = raw.read_to_end();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert_serves(&deployment);
}

/// Guards against bytes that are not HTTP at all.
#[test]
fn garbage_is_closed() {
    let deployment = start();
    let mut raw = RawConnection::connect(deployment.daemons[0].caller_address());
    raw.send(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n");
    let answer = raw.read_to_end();
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_serves(&deployment);
}

/// Guards against a request of nobody or for nothing that reaches an engine.
#[test]
fn wrong_key_and_class_are_refused() {
    let deployment = start();
    let caller = deployment.caller(0);
    assert_refused(caller.chat("no-such-class", "a", 5), Reason::UnknownClass);
    assert_refused(caller.chat("", "a", 5), Reason::UnknownClass);
    let stranger = Caller::new(deployment.daemons[0].caller_address(), "wrong-key");
    assert_refused(stranger.chat("draft", "a", 5), Reason::Unauthorised);
    assert_serves(&deployment);
}

/// Guards against work for a caller that no longer waits.
#[test]
fn passed_deadline_is_refused() {
    let deployment = start();
    let caller = deployment.caller(0);
    let body = caller::chat_body("a", 5, false).to_string();
    for (value, reason) in [
        ("0", Reason::DeadlinePassed),
        ("-5", Reason::DeadlinePassed),
        ("soon", Reason::BadRequest),
    ] {
        let headers = [("Waxwing-Deadline-Ms", value)];
        let answer = caller.post(CHAT, "draft", &headers, body.as_bytes());
        assert_refused(answer, reason);
    }
    assert_serves(&deployment);
}
