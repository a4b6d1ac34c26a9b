//! Assembly of the answer to a chat request from the events of one or more attempts.

use serde_json::Value;
use serde_json::json;
use waxwing_wire::chat::AnswerChoice;
use waxwing_wire::chat::ChatAnswer;
use waxwing_wire::chat::ChatChunk;
use waxwing_wire::chat::ChatRequest;
use waxwing_wire::chat::ChunkChoice;
use waxwing_wire::chat::DONE;
use waxwing_wire::chat::Delta;
use waxwing_wire::chat::Message;
use waxwing_wire::chat::Usage;

use crate::request::response::CallerGone;
use crate::request::response::Responder;

/// Content of a relayed event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventContent {
    /// New text.
    Token,
    /// No text.
    NoText,
}

/// Why an event cannot be relayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// The event does not decode or does not belong to this answer.
    Invalid(String),
    /// The caller has closed the connection.
    CallerGone,
}

impl From<CallerGone> for RelayError {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// The answer so far.
#[derive(Debug)]
pub struct Relay {
    is_streaming: bool,
    has_begun: bool,
    text: String,
    tokens: u32,
    answer_id: Option<String>,
    created: u64,
    model: String,
    attempt_id: Option<String>,
    finish_reason: Option<String>,
}

impl Relay {
    /// Creates an empty answer to `request`.
    pub fn new(request: &ChatRequest) -> Self {
        Self {
            is_streaming: request.stream,
            has_begun: false,
            text: String::new(),
            tokens: 0,
            answer_id: None,
            created: 0,
            model: String::new(),
            attempt_id: None,
            finish_reason: None,
        }
    }

    /// Returns the tokens received in all attempts.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether a part of the answer was sent to the caller.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns whether the last token has arrived.
    pub fn is_whole(&self) -> bool {
        self.finish_reason.is_some()
    }

    /// Begins an attempt and returns the body to send, which continues the text received so far.
    pub fn begin_attempt(&mut self, request: &ChatRequest, tier: u8) -> Vec<u8> {
        self.attempt_id = None;
        let mut request = request.clone();
        request.stream = true;
        request
            .other
            .insert("priority".to_owned(), Value::from(tier));
        if !self.text.is_empty() {
            request
                .messages
                .push(json!({"role": "assistant", "content": self.text}));
            request
                .other
                .insert("continue_final_message".to_owned(), Value::Bool(true));
            request
                .other
                .insert("add_generation_prompt".to_owned(), Value::Bool(false));
        }
        serde_json::to_vec(&request).unwrap_or_default()
    }

    /// Adds the data of one event to the answer and forwards it if the caller receives a stream.
    ///
    /// # Errors
    ///
    /// Fails if the event does not decode, belongs to another answer or follows the last token, or if the caller is
    /// gone.
    pub fn relay_event(
        &mut self,
        data: &str,
        responder: Option<&Responder>,
    ) -> Result<EventContent, RelayError> {
        let mut chunk: ChatChunk = serde_json::from_str(data)
            .map_err(|error| RelayError::Invalid(format!("an event does not decode: {error}")))?;
        self.check(&chunk)?;
        let Some(choice) = chunk.choices.first() else {
            return Ok(EventContent::NoText);
        };
        let text = choice.delta.content.clone().unwrap_or_default();
        let finish_reason = choice.finish_reason.clone();
        let has_text = !text.is_empty();
        self.text.push_str(&text);
        self.tokens += u32::from(has_text);
        if finish_reason.is_some() {
            self.finish_reason = finish_reason;
        }
        if let Some(responder) = responder
            && self.is_streaming
            && (has_text || self.finish_reason.is_some())
        {
            // Later attempts have other ids; the caller sees the id of the first one throughout.
            chunk.id = self.answer_id.clone().unwrap_or_default();
            self.forward(&chunk, responder)?;
        }
        Ok(if has_text {
            EventContent::Token
        } else {
            EventContent::NoText
        })
    }

    /// Sends the rest of a complete answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn finish(&mut self, responder: &Responder) -> Result<(), CallerGone> {
        if self.is_streaming {
            responder.send_chunk(format!("data: {DONE}\n\n"))?;
            return responder.finish();
        }
        responder.send_response(200, "application/json", self.stored_answer().1)
    }

    /// Returns content type and body of the complete answer, as a repeat of the request receives it.
    pub fn stored_answer(&self) -> (&'static str, Vec<u8>) {
        if !self.is_streaming {
            let body = serde_json::to_vec(&self.answer()).unwrap_or_default();
            return ("application/json", body);
        }
        let chunk = ChatChunk {
            id: self.answer_id.clone().unwrap_or_default(),
            object: "chat.completion.chunk".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta {
                    role: None,
                    content: Some(self.text.clone()),
                },
                finish_reason: self.finish_reason.clone(),
            }],
        };
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        let body = format!("data: {data}\n\ndata: {DONE}\n\n");
        ("text/event-stream", body.into_bytes())
    }

    /// Returns the answer as one body.
    pub fn answer(&self) -> ChatAnswer {
        ChatAnswer {
            id: self.answer_id.clone().unwrap_or_default(),
            object: "chat.completion".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![AnswerChoice {
                index: 0,
                message: Message {
                    role: "assistant".to_owned(),
                    content: self.text.clone(),
                },
                finish_reason: self.finish_reason.clone().unwrap_or_default(),
            }],
            usage: Usage {
                completion_tokens: self.tokens,
            },
        }
    }

    fn check(&mut self, chunk: &ChatChunk) -> Result<(), RelayError> {
        if self.finish_reason.is_some() {
            return Err(RelayError::Invalid(
                "an event follows the last token".to_owned(),
            ));
        }
        match &self.attempt_id {
            Some(id) if *id != chunk.id => {
                let message = format!("an event of answer {} arrived in answer {id}", chunk.id);
                return Err(RelayError::Invalid(message));
            }
            Some(_) => {}
            None => self.attempt_id = Some(chunk.id.clone()),
        }
        if self.answer_id.is_none() {
            self.answer_id = Some(chunk.id.clone());
            self.created = chunk.created;
            self.model = chunk.model.clone();
        }
        Ok(())
    }

    fn forward(&mut self, chunk: &ChatChunk, responder: &Responder) -> Result<(), CallerGone> {
        if !self.has_begun {
            self.has_begun = true;
            responder.send_head(200, "text/event-stream", &[])?;
        }
        let data = serde_json::to_string(chunk).unwrap_or_default();
        responder.send_chunk(format!("data: {data}\n\n"))
    }
}
