//! HTTP client that acts as a caller of the system.

use std::io::BufRead;
use std::io::BufReader;

use serde_json::Value;
use serde_json::json;
use waxwing_standin::engine;
use waxwing_wire::caller::CLASS_HEADER;
use waxwing_wire::caller::ErrorBody;
use waxwing_wire::caller::ErrorDetail;
use waxwing_wire::chat::ChatAnswer;
use waxwing_wire::chat::ChatChunk;
use waxwing_wire::chat::DONE;

use crate::control;

/// A caller with its entry address and API key.
#[derive(Clone, Debug)]
pub struct Caller {
    address: String,
    api_key: String,
}

/// An answer whose body was read into memory.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Retry-After`.
    pub retry_after: Option<String>,
    /// Body, or the part that arrived before the connection broke.
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

/// An answer that was read as server-sent events.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Concatenated text of all tokens.
    pub text: String,
    /// Distinct ids of the events, in order of arrival.
    pub ids: Vec<String>,
    /// Whether the last event was `[DONE]`.
    pub is_done: bool,
    /// Refusal, either instead of the stream or within it.
    pub refusal: Option<ErrorDetail>,
}

impl Caller {
    /// Creates a caller.
    pub fn new(address: &str, api_key: &str) -> Self {
        Self {
            address: address.to_owned(),
            api_key: api_key.to_owned(),
        }
    }

    /// Sends a POST with additional headers; `None` if there is no answer.
    pub fn post(
        &self,
        path: &str,
        class: &str,
        headers: &[(&'static str, &str)],
        body: &[u8],
    ) -> Option<Answer> {
        self.send(path, class, headers, body).map(read_answer)
    }

    /// Sends a GET with the API key; `None` if there is no answer.
    pub fn get(&self, path: &str) -> Option<Answer> {
        let url = format!("http://{}{path}", self.address);
        let request = control::new_session().get(url).bearer_auth(&self.api_key);
        request.send().ok().map(read_answer)
    }

    /// Sends a chat request and reads its answer into memory; `None` if there is none.
    pub fn chat(&self, class: &str, prompt: &str, tokens: u64) -> Option<Answer> {
        let body = chat_body(prompt, tokens, false).to_string();
        self.post("/v1/chat/completions", class, &[], body.as_bytes())
    }

    /// Sends a chat request and reads its answer as a stream; `None` if there is none.
    pub fn stream(&self, class: &str, prompt: &str, tokens: u64) -> Option<StreamedAnswer> {
        let body = chat_body(prompt, tokens, true).to_string();
        let path = "/v1/chat/completions";
        let response = self.send(path, class, &[], body.as_bytes())?;
        let mut streamed = StreamedAnswer {
            status: response.status().as_u16(),
            ..StreamedAnswer::default()
        };
        if !response.is_success() {
            streamed.refusal = read_answer(response).refusal();
            return Some(streamed);
        }
        let (_, _, reader) = response.split();
        for line in BufReader::new(reader).lines() {
            let Ok(line) = line else {
                break;
            };
            streamed.add(&line);
        }
        Some(streamed)
    }

    /// Submits a job and returns the answer.
    pub fn submit(&self, class: &str, prompt: &str, tokens: u64) -> Option<Answer> {
        let body = chat_body(prompt, tokens, false).to_string();
        self.post("/v1/jobs", class, &[], body.as_bytes())
    }

    fn send(
        &self,
        path: &str,
        class: &str,
        headers: &[(&'static str, &str)],
        body: &[u8],
    ) -> Option<attohttpc::Response> {
        let url = format!("http://{}{path}", self.address);
        let mut request = control::new_session()
            .post(url)
            .bearer_auth(&self.api_key)
            .header("Content-Type", "application/json");
        if !class.is_empty() {
            request = request.header(CLASS_HEADER, class);
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.bytes(body).send().ok()
    }
}

impl Answer {
    /// Returns the refusal, if the body is one.
    pub fn refusal(&self) -> Option<ErrorDetail> {
        let body: ErrorBody = serde_json::from_slice(&self.body).ok()?;
        Some(body.error)
    }

    /// Returns the text of a chat answer, if the body is one.
    pub fn text(&self) -> Option<String> {
        let answer: ChatAnswer = serde_json::from_slice(&self.body).ok()?;
        Some(answer.choices.first()?.message.content.clone())
    }

    /// Returns the body as JSON.
    pub fn to_json(&self) -> Option<Value> {
        serde_json::from_slice(&self.body).ok()
    }
}

impl StreamedAnswer {
    fn add(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        self.is_done = data == DONE;
        if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
            self.refusal = Some(body.error);
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            return;
        };
        if !self.ids.contains(&chunk.id) {
            self.ids.push(chunk.id);
        }
        for choice in chunk.choices {
            self.text += choice.delta.content.as_deref().unwrap_or("");
        }
    }
}

/// Returns a chat body with one user message.
pub fn chat_body(prompt: &str, tokens: u64, stream: bool) -> Value {
    json!({"model": "standin", "stream": stream, "max_tokens": tokens, "messages": user_messages(prompt)})
}

/// Returns the answer that an engine gives to [`chat_body`].
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    engine::full_answer(&user_messages(prompt), tokens)
}

fn user_messages(prompt: &str) -> Vec<Value> {
    vec![json!({"role": "user", "content": prompt})]
}

fn read_answer(response: attohttpc::Response) -> Answer {
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok().map(str::to_owned));
    let body = response.bytes();
    Answer {
        status,
        retry_after,
        is_complete: body.is_ok(),
        body: body.unwrap_or_default(),
    }
}
