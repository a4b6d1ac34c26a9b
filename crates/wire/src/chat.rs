//! Chat-completions bodies, as far as the router reads and writes them.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// Request body; fields that the router does not read are preserved unchanged.
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
    /// Id of the completion, the same in all events.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Creation time, in seconds since the epoch.
    #[serde(default)]
    pub created: u64,
    /// Model name.
    #[serde(default)]
    pub model: String,
    /// New text of each choice.
    pub choices: Vec<ChunkChoice>,
}

/// New text of one choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Index of the choice.
    pub index: u32,
    /// The new text.
    pub delta: Delta,
    /// Why generation ended; set in the last event of the choice.
    pub finish_reason: Option<String>,
}

/// Increment of a message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Role of the author, in the first event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// New text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Response body without streaming.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// Id of the completion.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Creation time, in seconds since the epoch.
    pub created: u64,
    /// Model name.
    pub model: String,
    /// Choices; the router requests one.
    pub choices: Vec<AnswerChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// One complete choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// Index of the choice.
    pub index: u32,
    /// The message.
    pub message: Message,
    /// Why generation ended.
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

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u32,
}
