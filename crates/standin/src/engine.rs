//! Stand-in for a model engine with continuous batching.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use waxwing_wire::chat::ChatChunk;
use waxwing_wire::chat::ChatRequest;
use waxwing_wire::chat::ChunkChoice;
use waxwing_wire::chat::DONE;
use waxwing_wire::chat::Delta;
use waxwing_wire::platform::Health;
use waxwing_wire::platform::LoadReport;
use waxwing_wire::platform::Order;
use waxwing_wire::platform::OrderKind;
use waxwing_wire::platform::STALE_FENCE_STATUS;

use crate::fault::CommonFaults;
use crate::fault::FaultCell;
use crate::fence::FencingTokens;
use crate::fence::OrderAnswer;
use crate::http;
use crate::http::Call;
use crate::http::ClientGone;
use crate::http::ListenAddresses;
use crate::load::Slots;
use crate::prefix_cache::PrefixCache;

/// Interval at which a generation checks whether its client has disconnected, in milliseconds.
const POLL_MS: u64 = 20;

/// Configuration of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Time to the first token of a request whose prompt is cached, below the knee, in milliseconds.
    pub first_token_ms: u64,
    /// Time for each prompt token that is not cached, in microseconds.
    pub prefill_us_per_token: u64,
    /// Time between tokens below the knee, in milliseconds.
    pub gap_ms: u64,
    /// Number of running requests above which both times grow in proportion.
    pub knee: u32,
    /// Maximum number of running requests; further requests queue by `priority`.
    pub running_max: u32,
    /// Length of an answer whose request sets no `max_tokens`, in tokens.
    pub answer_tokens: u64,
    /// Stragglers among a thousand requests without `max_tokens`, chosen by a hash of the prompt.
    pub stragglers_per_mille: u16,
    /// Factor by which the answer of a straggler is longer.
    pub straggler_factor: u64,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Maximum staleness of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether orders with a stale fencing token are rejected.
    pub checks_fencing: bool,
    /// Time that an order takes to load a model or adapter, in milliseconds.
    pub load_ms: u64,
    /// Identifier of the process, which health and load reports include.
    pub started_id: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            first_token_ms: 20,
            prefill_us_per_token: 20,
            gap_ms: 5,
            knee: 8,
            running_max: 64,
            answer_tokens: 20,
            stragglers_per_mille: 0,
            straggler_factor: 20,
            cache_tokens: 100_000,
            report_lag_ms: 500,
            checks_fencing: true,
            load_ms: 100,
            started_id: rand::random(),
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that all HTTP stand-ins support.
    pub common: CommonFaults,
    /// Factor by which generation is slower; 0 and 1 have no effect.
    pub slow_down: f64,
    /// Number of tokens after which the connection of an answer breaks.
    pub cut_after_tokens: Option<u64>,
    /// Number of tokens after which an answer sends nothing more while its connection stays open.
    pub silent_after_tokens: Option<u64>,
}

impl AsRef<CommonFaults> for Faults {
    fn as_ref(&self) -> &CommonFaults {
        &self.common
    }
}

struct Engine {
    config: Config,
    faults: Arc<FaultCell<Faults>>,
    slots: Slots,
    fences: Mutex<FencingTokens>,
    cache: Mutex<PrefixCache>,
}

/// Starts an engine on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(address: &str, config: Config) -> std::io::Result<ListenAddresses> {
    let faults = Arc::new(FaultCell::new());
    let engine = Engine {
        slots: Slots::new(config.running_max, config.report_lag_ms),
        fences: Mutex::new(FencingTokens::new(config.checks_fencing)),
        cache: Mutex::new(PrefixCache::new(config.cache_tokens)),
        faults: Arc::clone(&faults),
        config,
    };
    http::serve(address, faults, move |call| engine.handle(call))
}

impl Engine {
    fn handle(&self, call: Call) {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => match call.decode_body::<ChatRequest>() {
                Ok(body) => self.generate(call, &body),
                Err(error) => call.answer(400, &error),
            },
            (&Method::POST, "/orders") => match call.decode_body::<Order>() {
                Ok(order) => self.handle_order(call, &order),
                Err(error) => call.answer(400, &error),
            },
            (&Method::GET, "/healthz") => {
                let started_id = self.config.started_id;
                call.answer(200, &Health { started_id });
            }
            (&Method::GET, "/load") => call.answer(200, &self.load_report()),
            _ => call.answer(404, &"unknown path"),
        }
    }

    fn load_report(&self) -> LoadReport {
        let (load, age) = self.slots.reported_load();
        LoadReport {
            running: load.running,
            waiting: load.waiting,
            started_id: self.config.started_id,
            report_age_ms: age.as_millis() as u64,
            fence: lock(&self.fences).highest(),
        }
    }

    fn handle_order(&self, call: Call, order: &Order) {
        let raised = lock(&self.fences).raise(&order.scope, order.fence);
        let fence = match raised {
            Ok(fence) => fence,
            Err(fence) => return call.answer(STALE_FENCE_STATUS, &OrderAnswer { fence }),
        };
        match order.kind {
            OrderKind::LoadModel { .. } | OrderKind::LoadAdapter { .. } => {
                thread::sleep(Duration::from_millis(self.config.load_ms));
            }
            OrderKind::SetRole { .. } | OrderKind::RaiseFence => {}
        }
        call.answer(200, &OrderAnswer { fence });
    }

    fn generate(&self, call: Call, body: &ChatRequest) {
        let priority = body.other.get("priority").and_then(Value::as_i64);
        let Some(_slot) = self
            .slots
            .acquire(priority.unwrap_or(0), || call.is_client_gone())
        else {
            return;
        };
        // If the client has disconnected, the generation stops and frees its slot.
        if let Ok(true) = self.stream(&call, body) {
            call.end_stream();
        }
    }

    /// Sends the tokens of an answer and returns false if a fault cut it off.
    fn stream(&self, call: &Call, body: &ChatRequest) -> Result<bool, ClientGone> {
        let (messages, generated_tokens) = split_prompt(body);
        let digest = prompt_digest(messages);
        let tokens = self.answer_length(body, &digest);
        let missing_tokens = lock(&self.cache).insert(messages);
        call.begin_stream();
        let prefill_us = missing_tokens * self.config.prefill_us_per_token;
        self.pause(call, self.config.first_token_ms * 1_000 + prefill_us)?;
        for index in generated_tokens..tokens {
            if index > generated_tokens {
                self.pause(call, self.config.gap_ms * 1_000)?;
            }
            let faults = self.faults.get();
            if faults.cut_after_tokens == Some(index - generated_tokens) {
                return Ok(false);
            }
            if faults.silent_after_tokens == Some(index - generated_tokens) {
                self.stay_silent(call)?;
            }
            let chunk = new_chunk(&digest, index, tokens);
            call.event(&serde_json::to_string(&chunk).unwrap_or_default())?;
        }
        call.event(DONE)?;
        Ok(true)
    }

    /// Returns the length of the answer in tokens.
    fn answer_length(&self, body: &ChatRequest, digest: &blake3::Hash) -> u64 {
        if let Some(tokens) = body.other.get("max_tokens").and_then(Value::as_u64) {
            return tokens;
        }
        let draw = u16::from_le_bytes([digest.as_bytes()[0], digest.as_bytes()[1]]);
        if draw % 1_000 < self.config.stragglers_per_mille {
            return self.config.answer_tokens * self.config.straggler_factor;
        }
        self.config.answer_tokens
    }

    /// Sleeps for one step of a generation, scaled by the load and the `slow_down` fault.
    fn pause(&self, call: &Call, unloaded_us: u64) -> Result<(), ClientGone> {
        let load_factor = f64::from(self.slots.running()) / f64::from(self.config.knee.max(1));
        let slow_down = self.faults.get().slow_down.max(1.0);
        let us = unloaded_us as f64 * load_factor.max(1.0) * slow_down;
        let until = Instant::now() + Duration::from_micros(us as u64);
        loop {
            if call.is_client_gone() {
                return Err(ClientGone);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(Duration::from_millis(POLL_MS)));
        }
    }

    fn stay_silent(&self, call: &Call) -> Result<(), ClientGone> {
        while self.faults.get().silent_after_tokens.is_some() {
            if call.is_client_gone() {
                return Err(ClientGone);
            }
            thread::sleep(Duration::from_millis(POLL_MS));
        }
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn new_chunk(digest: &blake3::Hash, index: u64, tokens: u64) -> ChatChunk {
    ChatChunk {
        id: format!("chatcmpl-{}", &digest.to_hex()[..16]),
        object: "chat.completion.chunk".to_owned(),
        created: 0,
        model: "standin".to_owned(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta {
                role: None,
                content: Some(answer_token(digest, index)),
            },
            finish_reason: (index + 1 == tokens).then(|| "stop".to_owned()),
        }],
    }
}

/// Splits a request into the messages of its prompt and the number of answer tokens that it asks to continue from.
fn split_prompt(body: &ChatRequest) -> (&[Value], u64) {
    let continues = body
        .other
        .get("continue_final_message")
        .and_then(Value::as_bool);
    if continues == Some(true)
        && let Some((last, before)) = body.messages.split_last()
    {
        let partial = last.get("content").and_then(Value::as_str).unwrap_or("");
        return (before, partial.split_whitespace().count() as u64);
    }
    (&body.messages, 0)
}

fn prompt_digest(messages: &[Value]) -> blake3::Hash {
    let prompt = serde_json::to_string(messages).unwrap_or_default();
    blake3::hash(prompt.as_bytes())
}

/// Returns the token at `index` of the answer to a prompt.
///
/// Tokens depend on prompt and index, so that tests detect missing and repeated ones.
pub fn answer_token(digest: &blake3::Hash, index: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(digest.as_bytes());
    hasher.update(&index.to_le_bytes());
    format!("{}-{index} ", &hasher.finalize().to_hex()[..6])
}

/// Returns the complete answer of an engine to the messages of a prompt.
pub fn full_answer(messages: &[Value], tokens: u64) -> String {
    let digest = prompt_digest(messages);
    (0..tokens)
        .map(|index| answer_token(&digest, index))
        .collect()
}
