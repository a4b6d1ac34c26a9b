//! Tests that a caller's answer has no gap, no repeat and no event of another answer.

use serde_json::Value;
use serde_json::json;
use waxwing_wire::chat::ChatRequest;
use waxwingrouter::request::relay::Relay;
use waxwingrouter::request::relay::RelayError;
use waxwingrouter::request::response::BodyPart;
use waxwingrouter::request::response::Responder;

fn new_request(is_stream: bool) -> ChatRequest {
    let body = json!({"stream": is_stream, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 3});
    serde_json::from_value(body).unwrap()
}

fn chunk_event(id: &str, text: &str, finish_reason: Option<&str>) -> String {
    let choice = json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason});
    json!({"id": id, "object": "chat.completion.chunk", "choices": [choice]}).to_string()
}

fn is_invalid<T>(result: Result<T, RelayError>) -> bool {
    matches!(result, Err(RelayError::Invalid(_)))
}

/// Guards against tokens of another answer, for example after a connection to an endpoint was wrongly reused.
#[test]
fn crossed_event() {
    let (responder, _head, _body) = Responder::new();
    let request = new_request(false);
    let mut relay = Relay::new(&request);
    relay.begin_attempt(&request, 0);
    relay
        .relay_event(&chunk_event("a", "one ", None), Some(&responder))
        .unwrap();
    assert!(is_invalid(
        relay.relay_event(&chunk_event("b", "two ", None), Some(&responder))
    ));
    assert_eq!(relay.answer().choices[0].message.content, "one ");
}

/// Guards against tokens that an endpoint sends after the end of an answer.
#[test]
fn late_event() {
    let (responder, _head, _body) = Responder::new();
    let request = new_request(false);
    let mut relay = Relay::new(&request);
    relay.begin_attempt(&request, 0);
    relay
        .relay_event(&chunk_event("a", "one ", Some("stop")), Some(&responder))
        .unwrap();
    assert!(is_invalid(
        relay.relay_event(&chunk_event("a", "two ", None), Some(&responder))
    ));
    assert!(relay.is_whole());
}

/// Guards against a repeated or missing token, and against a changed id, when an answer moves to another endpoint.
#[test]
fn resumed_answer() {
    let (responder, _head, body) = Responder::new();
    let request = new_request(true);
    let mut relay = Relay::new(&request);
    relay.begin_attempt(&request, 0);
    relay
        .relay_event(&chunk_event("a", "one ", None), Some(&responder))
        .unwrap();

    let resumed: Value = serde_json::from_slice(&relay.begin_attempt(&request, 0)).unwrap();
    assert_eq!(
        resumed["messages"][1],
        json!({"role": "assistant", "content": "one "})
    );
    assert_eq!(resumed["continue_final_message"], json!(true));

    relay
        .relay_event(&chunk_event("b", "two ", Some("stop")), Some(&responder))
        .unwrap();
    relay.finish(&responder).unwrap();
    assert_eq!(relay.answer().choices[0].message.content, "one two ");
    let mut sent = String::new();
    for piece in body.drain() {
        if let BodyPart::Chunk(bytes) = piece {
            sent.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }
    assert!(
        !sent.contains("\"b\""),
        "the caller saw a second id: {sent}"
    );
    assert!(sent.ends_with("data: [DONE]\n\n"));
}

/// Guards against taking an answer without its last token as complete.
#[test]
fn cut_answer() {
    let (responder, _head, _body) = Responder::new();
    let request = new_request(false);
    let mut relay = Relay::new(&request);
    relay.begin_attempt(&request, 0);
    relay
        .relay_event(&chunk_event("a", "one ", None), Some(&responder))
        .unwrap();
    assert!(!relay.is_whole());
}
