//! Stand-in for a model engine with continuous batching.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use tiny_http::Method;
use tiny_http::Request;
use waxwing_wire::chat::ChatChunk;
use waxwing_wire::chat::ChatRequest;
use waxwing_wire::chat::ChunkChoice;
use waxwing_wire::chat::DONE;
use waxwing_wire::chat::Delta;
use waxwing_wire::platform::Health;
use waxwing_wire::platform::LoadReport;

use crate::http;

/// Speed of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time to the first token of an idle engine, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens of an idle engine, in milliseconds.
    pub gap_ms: u64,
    /// Identity of the process.
    pub started_id: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            first_token_ms: 20,
            gap_ms: 5,
            started_id: 1,
        }
    }
}

struct Engine {
    config: Config,
    running: AtomicU32,
}

/// Starts an engine on `address` and returns the address that it listens on.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(address: &str, config: Config) -> std::io::Result<SocketAddr> {
    let engine = Arc::new(Engine {
        config,
        running: AtomicU32::new(0),
    });
    http::serve(address, move |request| engine.handle(request))
}

impl Engine {
    fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        match (request.method(), url.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                match http::to_body::<ChatRequest>(&mut request) {
                    Some(body) => self.generate(request, &body),
                    None => http::answer(request, 400, &"malformed body"),
                }
            }
            (Method::Get, "/healthz") => http::answer(
                request,
                200,
                &Health {
                    started_id: self.config.started_id,
                },
            ),
            (Method::Get, "/load") => {
                let report = LoadReport {
                    running: self.running.load(Ordering::Relaxed),
                    started_id: self.config.started_id,
                    ..LoadReport::default()
                };
                http::answer(request, 200, &report);
            }
            _ => http::answer(request, 404, &"unknown path"),
        }
    }

    fn generate(&self, request: Request, body: &ChatRequest) {
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut writer = request.into_writer();
        // A write fails when the caller has closed the connection, which cancels the generation.
        let _ = self.stream(&mut *writer, body);
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    fn stream(&self, writer: &mut dyn Write, body: &ChatRequest) -> std::io::Result<()> {
        let (prompt, done_tokens) = to_prompt(body);
        let digest = blake3::hash(prompt.as_bytes());
        let tokens = body
            .other
            .get("max_tokens")
            .and_then(Value::as_u64)
            .unwrap_or(20);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        thread::sleep(Duration::from_millis(self.config.first_token_ms));
        for index in done_tokens..tokens {
            if index > done_tokens {
                thread::sleep(Duration::from_millis(self.config.gap_ms));
            }
            let chunk = ChatChunk {
                id: format!("chatcmpl-{}", &digest.to_hex()[..16]),
                object: "chat.completion.chunk".to_owned(),
                created: 0,
                model: "standin".to_owned(),
                choices: vec![ChunkChoice {
                    index: 0,
                    delta: Delta {
                        role: None,
                        content: Some(to_token(&digest, index)),
                    },
                    finish_reason: (index + 1 == tokens).then(|| "stop".to_owned()),
                }],
            };
            write_event(writer, &serde_json::to_string(&chunk)?)?;
        }
        write_event(writer, DONE)?;
        writer.write_all(b"0\r\n\r\n")?;
        writer.flush()
    }
}

/// Returns the prompt, and the tokens of the answer that the body already holds.
fn to_prompt(body: &ChatRequest) -> (String, u64) {
    let mut messages = body.messages.as_slice();
    let mut done_tokens = 0;
    let continues = body
        .other
        .get("continue_final_message")
        .and_then(Value::as_bool);
    if continues == Some(true)
        && let Some((last, before)) = messages.split_last()
    {
        let partial = last.get("content").and_then(Value::as_str).unwrap_or("");
        done_tokens = partial.split_whitespace().count() as u64;
        messages = before;
    }
    let text = serde_json::to_string(messages).unwrap_or_default();
    (text, done_tokens)
}

/// Returns the token at `index` of the answer to a prompt, so that tests can tell a missing or repeated token.
pub fn to_token(digest: &blake3::Hash, index: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(digest.as_bytes());
    hasher.update(&index.to_le_bytes());
    format!("{}-{index} ", &hasher.finalize().to_hex()[..6])
}

fn write_event(writer: &mut dyn Write, data: &str) -> std::io::Result<()> {
    let event = format!("data: {data}\n\n");
    write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
    writer.flush()
}
