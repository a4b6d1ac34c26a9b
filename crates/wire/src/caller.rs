//! Response bodies that the router itself sends to callers, and the names of its HTTP headers.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use uuid::Uuid;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_core::Refusal;

/// Header that names the request class.
pub const CLASS_HEADER: &str = "waxwing-class";
/// Header that carries the time remaining for the complete response, in milliseconds.
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

/// Details of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Reason of the refusal.
    pub code: Reason,
    /// Human-readable explanation.
    pub message: String,
    /// Whether the request may have run.
    pub run: ExecutionStatus,
    /// Delay before a retry, in seconds, rounded up.
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

/// Response to a discovery request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entry addresses in order of preference.
    pub entries: Vec<Entry>,
    /// Time for which the response may be cached, in seconds.
    pub lifetime_s: u64,
}

/// One entry address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// IP address and port for callers.
    pub address: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Relative share of new connections.
    pub weight: u32,
}

/// Response to an accepted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Id by which any VM returns the state and the response of the job.
    pub id: Uuid,
}

/// State of a job and, once it is finished, its response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: Uuid,
    /// Current phase.
    pub state: JobPhase,
    /// HTTP status code that a direct request would have received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Body that a direct request would have received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Value>,
}

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// The job is waiting or running.
    Pending,
    /// The job has its final response.
    Finished,
}
