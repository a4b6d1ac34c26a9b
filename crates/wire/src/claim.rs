//! Messages between a VM that received a non-idempotent request and the owner of the request's key range.

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::Refusal;

/// Request for the exclusive right to execute a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Organisation; idempotency keys are scoped to it.
    pub organisation: String,
    /// Idempotency key, a UUID of version 7.
    pub key: uuid::Uuid,
    /// BLAKE3 hash of target and body.
    pub body_hash: [u8; 32],
    /// Class, with the team as prefix.
    pub class: String,
    /// Random identity of the request that will send the call; retries of this message carry the same value.
    pub claimant: u64,
    /// Whether the claim may be granted from memory while the log service is unavailable.
    pub may_use_memory: bool,
    /// Time for which the requester waits, in milliseconds; 0 abandons the claim, since the call will not be sent.
    pub wait_ms: u64,
}

/// Response to a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// Only the requester may send the call, and only once.
    Granted(Grant),
    /// The request was executed before; this is its stored response.
    Done(StoredAnswer),
    /// The request must not be sent.
    Refused(Refusal),
}

/// Permission to send a call once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Key range.
    pub range: u8,
    /// Fencing token of the owner of the range.
    pub fence: u64,
    /// Identity of the claim within its key: number of the attempt, from 1.
    pub attempt: u32,
}

/// Response that is stored for repeats of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too long to be stored.
    pub body: Option<Vec<u8>>,
}

/// Result of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Organisation.
    pub organisation: String,
    /// Idempotency key.
    pub key: uuid::Uuid,
    /// The grant that is settled.
    pub grant: Grant,
    /// Result of the call.
    pub result: SettledResult,
}

/// Result of a granted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettledResult {
    /// The call was executed and returned this response.
    Done(StoredAnswer),
    /// The call was never sent; the key may be claimed again.
    NotRun,
    /// The call may have been executed.
    Unknown,
}
