//! Records of the log stream of a key range.

use uuid::Uuid;

use crate::Name;

/// Number of key ranges, each with its own log stream.
pub const CLAIM_RANGES: u8 = 8;

/// Idempotency key together with the organisation that chose it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Organisation, whose keys are apart from those of others.
    pub organisation: Name,
    /// Idempotency key, a UUID of version 7.
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

    /// Returns the creation time that the key carries, in milliseconds since the epoch.
    pub fn created_ms(&self) -> u64 {
        // A UUID of version 7 starts with 48 bits of time.
        (self.key.as_u128() >> 80) as u64
    }
}

/// Identity of a claim within its key.
///
/// The attempt alone is not unique: a former owner that grants from memory may use the number that its successor uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// Fencing token under which the claim was granted.
    pub fence: u64,
    /// Number of the attempt within the key, from 1.
    pub attempt: u32,
}

/// Exclusive right of one request to send the call of a key once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// Key.
    pub key: ClaimKey,
    /// Number of the attempt within the key, from 1.
    pub attempt: u32,
    /// Random identity of the request that holds the claim.
    pub claimant: u64,
    /// BLAKE3 hash of target and body.
    pub body_hash: [u8; 32],
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The call ran and this is its answer.
    Done(Answer),
    /// The call was never sent; the key may be claimed again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Answer that is kept for repeats of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too long to be kept.
    pub body: Option<Vec<u8>>,
}

/// Process that may own a range.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// VM.
    pub vm: Name,
    /// Random identity of the process.
    pub incarnation: u64,
}

/// A record of the stream of one range.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Record {
    /// Compare-and-swap of the ownership.
    Own {
        /// New owner.
        owner: Owner,
        /// Fencing token that must be current.
        previous_fence: u64,
    },
    /// The owner begins or continues to serve.
    Active {
        /// Owner; a reader that starts behind the dropped `Own` record takes it from here.
        owner: Owner,
        /// Fencing token of the owner.
        fence: u64,
        /// Unclaimed keys created before this time may have run, in milliseconds since the epoch.
        cutoff_ms: u64,
        /// Whether the owner may from now on grant claims that are not in the log.
        may_use_memory: bool,
    },
    /// Planned handover; all claims are in the log.
    Release {
        /// Fencing token of the owner.
        fence: u64,
    },
    /// Claims of one group commit.
    Claims {
        /// Fencing token of the owner.
        fence: u64,
        /// Claims.
        claims: Vec<Claim>,
    },
    /// End of a claim; valid whoever wrote it.
    Outcome {
        /// Key.
        key: ClaimKey,
        /// Claim that it ends.
        claim: ClaimId,
        /// What became of it.
        result: Outcome,
    },
}
