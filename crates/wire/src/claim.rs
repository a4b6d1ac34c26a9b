//! Messages between a VM that took a non-idempotent request and the owner of its key range.

use serde::Deserialize;
use serde::Serialize;
use waxwing_core::Refusal;

/// Wish to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Organisation, whose keys are apart from those of others.
    pub organisation: String,
    /// Idempotency key, a UUID of version 7.
    pub key: uuid::Uuid,
    /// BLAKE3 hash of target and body.
    pub body_hash: [u8; 32],
    /// Class, with the team as prefix.
    pub class: String,
    /// Random identity of the request that will send the call; a repeated message for the same request carries it again.
    pub claimant: u64,
    /// Whether the claim may be granted from memory while the log is down.
    pub may_use_memory: bool,
    /// Time for which the requester waits, in milliseconds; 0 gives the claim up, since the call will not be sent.
    pub wait_ms: u64,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The requester, and nobody else, may send the call, once.
    Granted(Grant),
    /// The request ran before; this is its answer.
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

/// Answer that is kept for repeats of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too long to be kept.
    pub body: Option<Vec<u8>>,
}

/// End of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Organisation.
    pub organisation: String,
    /// Idempotency key.
    pub key: uuid::Uuid,
    /// The grant that it ends.
    pub grant: Grant,
    /// What happened.
    pub result: SettledResult,
}

/// What happened to a granted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettledResult {
    /// It ran and this is its answer.
    Done(StoredAnswer),
    /// It was never sent; the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}
