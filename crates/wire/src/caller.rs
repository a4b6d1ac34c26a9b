//! Bodies that callers receive, other than answers of endpoints.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_core::Refusal;

/// Header that names the request class.
pub const CLASS_HEADER: &str = "waxwing-class";
/// Header that carries the time left for the whole answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "waxwing-deadline-ms";
/// Header that carries the request id, in requests and responses.
pub const REQUEST_ID_HEADER: &str = "waxwing-request-id";
/// Header that carries the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that tells an endpoint the key range of a non-idempotent call.
pub const RANGE_HEADER: &str = "waxwing-range";
/// Header that tells an endpoint the fencing token of the key range.
pub const FENCE_HEADER: &str = "waxwing-fence";

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: ErrorDetail,
}

/// Content of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Why.
    pub code: Reason,
    /// One sentence for a person.
    pub message: String,
    /// Whether the request may have run.
    pub run: ExecutionStatus,
    /// When to come back, in whole seconds, rounded up.
    pub retry_after_s: u64,
}

impl From<&Refusal> for ErrorBody {
    fn from(refusal: &Refusal) -> Self {
        let error = ErrorDetail {
            code: refusal.reason,
            message: refusal.message.clone(),
            run: refusal.run,
            retry_after_s: refusal.retry_after_ms.div_ceil(1_000),
        };
        Self { error }
    }
}

/// Answer to a discovery call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entry addresses, the best first.
    pub entries: Vec<Entry>,
    /// Time for which the answer may be kept, in seconds.
    pub lifetime_s: u64,
}

/// One entry address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// IP address and port for callers.
    pub address: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Share of new connections, relative to the other entries.
    pub weight: u32,
}

/// Answer to a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Id under which any VM tells the state and the answer.
    pub id: Uuid,
}

/// State of a job and, once it is finished, its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Id.
    pub id: Uuid,
    /// How far it is.
    pub state: JobPhase,
    /// HTTP status code that a direct request would have received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Body that a direct request would have received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Value>,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// It waits or runs.
    Pending,
    /// It has its final answer.
    Finished,
}
