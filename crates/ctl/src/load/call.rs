//! One request as a caller makes it, with its repeats.

use std::io::BufRead;
use std::io::BufReader;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use waxwing_core::ExecutionStatus;
use waxwing_wire::caller::CLASS_HEADER;
use waxwing_wire::caller::DEADLINE_HEADER;
use waxwing_wire::caller::ErrorBody;
use waxwing_wire::caller::IDEMPOTENCY_KEY_HEADER;
use waxwing_wire::chat::ChatAnswer;
use waxwing_wire::chat::ChatChunk;
use waxwing_wire::chat::DONE;

use crate::load::arrivals::Arrival;
use crate::load::entry::Entries;
use crate::load::entry::new_session;
use crate::load::plan::Kind;
use crate::load::plan::Plan;
use crate::load::plan::Stream;

/// Time that a caller waits beyond its deadline for the final answer, in milliseconds.
const GRACE_MS: u64 = 2_000;

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Index of the stream in the plan.
    pub stream: usize,
    /// Planned time in microseconds from the start of the run.
    pub at_us: u64,
    /// How it ended.
    pub end: End,
    /// Time from the planned start to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Time from the planned start to the final answer, in microseconds.
    pub total_us: u64,
    /// Tokens of a whole answer.
    pub tokens: u32,
    /// Reasons of the refusals that the caller followed by a repeat.
    pub retried: Vec<String>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered,
    /// A refusal.
    Refused {
        /// Reason.
        reason: String,
        /// Whether it may have run.
        run: ExecutionStatus,
    },
    /// No final answer: a broken connection or an answer that is not whole.
    Broken(String),
}

pub(crate) struct Caller {
    pub plan: Arc<Plan>,
    pub entries: Arc<Entries>,
    pub arrival: Arrival,
    pub due: Instant,
}

struct Reply {
    end: End,
    first_token: Option<Instant>,
    tokens: u32,
    retry_after: Duration,
}

impl Caller {
    /// Makes the request and returns what came of it.
    pub(crate) fn call(&self) -> Outcome {
        let stream = self.arrival.stream_of(&self.plan);
        let deadline = self.due + Duration::from_millis(stream.deadline_ms);
        let key = stream.has_key.then(uuid::Uuid::now_v7);
        let mut retried = Vec::new();
        let mut address = self.entries.choose(None);
        let reply = loop {
            let reply = self.call_once(stream, &address, key, deadline);
            let Some(reason) = retry_reason(stream, &reply) else {
                break reply;
            };
            let resume_at = Instant::now() + reply.retry_after;
            if retried.len() >= stream.retries_max as usize || resume_at >= deadline {
                break reply;
            }
            thread::sleep(reply.retry_after);
            retried.push(reason);
            address = self.entries.choose(Some(&address));
        };
        Outcome {
            stream: self.arrival.stream,
            at_us: self.arrival.at_us,
            end: reply.end,
            first_token_us: reply
                .first_token
                .map(|at| (at - self.due).as_micros() as u64),
            total_us: self.due.elapsed().as_micros() as u64,
            tokens: reply.tokens,
            retried,
        }
    }

    fn call_once(
        &self,
        stream: &Stream,
        address: &str,
        key: Option<uuid::Uuid>,
        deadline: Instant,
    ) -> Reply {
        let left_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let session = new_session(left_ms + GRACE_MS);
        let mut request = session
            .post(format!("http://{address}{}", request_path(stream)))
            .header("Content-Type", "application/json")
            .header("Authorization", format!("Bearer {}", stream.api_key))
            .header(CLASS_HEADER, &stream.class)
            .header(DEADLINE_HEADER, left_ms.max(1).to_string());
        if let Some(key) = key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key.to_string());
        }
        let response = match request.bytes(self.request_body(stream)).send() {
            Ok(response) => response,
            Err(error) => return broken_reply(error.to_string()),
        };
        let is_success = response.is_success();
        let is_stream = matches!(stream.call, Kind::Chat { stream: true, .. });
        if is_success && is_stream {
            let (_, _, reader) = response.split();
            return read_stream(BufReader::new(reader));
        }
        match response.bytes() {
            Ok(bytes) if is_success => parse_answer(stream, &bytes),
            Ok(bytes) => parse_refusal(&bytes),
            Err(error) => broken_reply(error.to_string()),
        }
    }

    fn request_body(&self, stream: &Stream) -> Vec<u8> {
        let Arrival {
            stream: index,
            number,
            tokens,
            prefix,
            ..
        } = self.arrival;
        let seed = self.plan.seed;
        let body = match &stream.call {
            Kind::Chat {
                stream: is_stream,
                prompt_bytes,
                ..
            } => json!({
                "model": "standin",
                "stream": is_stream,
                "max_tokens": tokens,
                "messages": [
                    {"role": "system", "content": format!("{}-{prefix} {}", stream.class, "x".repeat(*prompt_bytes))},
                    {"role": "user", "content": format!("request {seed}-{index}-{number}")},
                ],
            }),
            Kind::Service { .. } => json!({"request": format!("{seed}-{index}-{number}")}),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

fn request_path(stream: &Stream) -> String {
    match &stream.call {
        Kind::Chat { .. } => "/v1/chat/completions".to_owned(),
        Kind::Service { pool, path } => format!("/v1/services/{pool}/{path}"),
    }
}

/// Returns the reason to repeat a request, or `None` if it must not be repeated.
fn retry_reason(stream: &Stream, reply: &Reply) -> Option<String> {
    let End::Refused { reason, run } = &reply.end else {
        return None;
    };
    // A repeat with an idempotency key is always safe: the router answers with the first outcome.
    let is_safe = stream.has_key
        || *run == ExecutionStatus::NotRun
        || matches!(stream.call, Kind::Chat { .. });
    (is_safe && !reply.retry_after.is_zero()).then(|| reason.clone())
}

fn broken_reply(message: String) -> Reply {
    Reply {
        end: End::Broken(message),
        first_token: None,
        tokens: 0,
        retry_after: Duration::ZERO,
    }
}

fn parse_refusal(bytes: &[u8]) -> Reply {
    match serde_json::from_slice::<ErrorBody>(bytes) {
        Ok(body) => Reply {
            end: End::Refused {
                reason: body.error.code.as_str().to_owned(),
                run: body.error.run,
            },
            first_token: None,
            tokens: 0,
            retry_after: Duration::from_secs(body.error.retry_after_s),
        },
        Err(error) => broken_reply(format!("a refusal does not decode: {error}")),
    }
}

fn parse_answer(stream: &Stream, bytes: &[u8]) -> Reply {
    let tokens = match &stream.call {
        Kind::Service { .. } => 0,
        Kind::Chat { .. } => match serde_json::from_slice::<ChatAnswer>(bytes) {
            Ok(answer) => answer.usage.completion_tokens,
            Err(error) => return broken_reply(format!("an answer does not decode: {error}")),
        },
    };
    Reply {
        end: End::Answered,
        first_token: None,
        tokens,
        retry_after: Duration::ZERO,
    }
}

fn read_stream(mut lines: impl BufRead) -> Reply {
    let mut reply = broken_reply("the stream ended without [DONE]".to_owned());
    let mut is_error = false;
    let mut line = String::new();
    loop {
        line.clear();
        match lines.read_line(&mut line) {
            Ok(0) => return reply,
            Ok(_) => {}
            Err(error) => {
                reply.end = End::Broken(error.to_string());
                return reply;
            }
        }
        if line.trim_end() == "event: error" {
            is_error = true;
            continue;
        }
        let Some(data) = line.trim_end().strip_prefix("data: ") else {
            continue;
        };
        if is_error {
            let first_token = reply.first_token;
            reply = parse_refusal(data.as_bytes());
            reply.first_token = first_token;
            return reply;
        }
        if data == DONE {
            reply.end = End::Answered;
            return reply;
        }
        reply.first_token.get_or_insert_with(Instant::now);
        if serde_json::from_str::<ChatChunk>(data).is_err() {
            reply.end = End::Broken("an event does not decode".to_owned());
            return reply;
        }
        reply.tokens += 1;
    }
}
