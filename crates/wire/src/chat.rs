//! The parts of chat-completions bodies that the router reads and writes.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Last data of a complete stream.
pub const DONE: &str = "[DONE]";

/// A request body; fields that the router does not read are kept as they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Conversation so far.
    pub messages: Vec<Value>,
    /// Whether the caller wants server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// All other fields.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Identity of the answer, the same in all its events.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Time of creation in seconds since the epoch.
    #[serde(default)]
    pub created: u64,
    /// Model name.
    #[serde(default)]
    pub model: String,
    /// New text, one element for one answer.
    pub choices: Vec<ChunkChoice>,
}

/// New text of one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Index of the answer.
    pub index: u32,
    /// The new text.
    pub delta: Delta,
    /// Why the answer ended, in its last event.
    pub finish_reason: Option<String>,
}

/// A piece of an answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Role, in the first event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// Identity of the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Time of creation in seconds since the epoch.
    pub created: u64,
    /// Model name.
    pub model: String,
    /// The answers; the router asks for one.
    pub choices: Vec<AnswerChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// One whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// Index of the answer.
    pub index: u32,
    /// The message.
    pub message: Message,
    /// Why the answer ended.
    pub finish_reason: String,
}

/// A message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u32,
}
