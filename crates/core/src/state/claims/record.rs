//! Records in the log stream of a key range.

use uuid::Uuid;

use crate::Name;

/// Number of key ranges, each with a separate log stream.
pub const CLAIM_RANGES: u8 = 8;

/// Idempotency key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Organisation; keys of different organisations are independent.
    pub organisation: Name,
    /// Idempotency key, a version 7 UUID.
    pub key: Uuid,
}

impl ClaimKey {
    /// Returns the key range, below [`CLAIM_RANGES`].
    pub fn range(&self) -> u8 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.organisation.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.key.as_bytes());
        hasher.finalize().as_bytes()[0] % CLAIM_RANGES
    }

    /// Returns the creation time contained in the key, in milliseconds since the Unix epoch.
    pub fn created_ms(&self) -> u64 {
        // A version 7 UUID starts with a 48-bit timestamp.
        (self.key.as_u128() >> 80) as u64
    }
}

/// Identity of a claim within its key.
///
/// The attempt number alone is not unique: a former owner that grants claims from memory may use the same number as the
/// new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// Fencing token under which the claim was granted.
    pub fence: u64,
    /// Number of the attempt within the key, from 1.
    pub attempt: u32,
}

/// Exclusive right of one request to send the call for a key once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// Claimed key.
    pub key: ClaimKey,
    /// Number of the attempt within the key, from 1.
    pub attempt: u32,
    /// Random identity of the request that holds the claim.
    pub claimant: u64,
    /// BLAKE3 hash of the target and the body.
    pub body_hash: [u8; 32],
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The call ran and this is its answer.
    Done(Answer),
    /// The call was never sent; the key may be claimed again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Answer that is stored for repeats of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too long to store or has been dropped to save memory.
    pub body: Option<Vec<u8>>,
}

/// Identity of a process that owns or may own a range.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// VM on which the process runs.
    pub vm: Name,
    /// Random identity of the process.
    pub incarnation: u64,
}

/// A record in the log stream of a range.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Record {
    /// Compare-and-swap of the owner.
    Own {
        /// New owner.
        owner: Owner,
        /// Fencing token that has to be current for the record to take effect.
        previous_fence: u64,
    },
    /// The owner starts or continues to serve the range.
    Active {
        /// Owner; repeated here for readers of a stream whose `Own` record retention has removed.
        owner: Owner,
        /// Fencing token of the owner.
        fence: u64,
        /// Keys created before this time may have run without a claim in the log; in milliseconds since the Unix epoch.
        cutoff_ms: u64,
        /// Whether the owner may from now on grant claims from memory.
        may_use_memory: bool,
    },
    /// The owner hands the range over; all of its claims are in the log.
    Release {
        /// Fencing token of the owner.
        fence: u64,
    },
    /// Claims of one group commit.
    Claims {
        /// Fencing token of the owner.
        fence: u64,
        /// Granted claims.
        claims: Vec<Claim>,
    },
    /// The outcome of a claim; valid regardless of which process wrote it.
    Outcome {
        /// Key of the claim.
        key: ClaimKey,
        /// Claim that has ended.
        claim: ClaimId,
        /// Outcome of the claim.
        result: Outcome,
    },
}
