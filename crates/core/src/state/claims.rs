//! The claims of one key range, replayed from its log stream.

mod record;

use std::collections::BTreeMap;
use std::collections::VecDeque;

pub use record::Answer;
pub use record::CLAIM_RANGES;
pub use record::Claim;
pub use record::ClaimId;
pub use record::ClaimKey;
pub use record::Outcome;
pub use record::Owner;
pub use record::Record;

/// Maximum total size of stored answer bodies per range, in bytes; the eight ranges of one VM take at most 32 MiB.
const BODIES_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// Latest claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimEntry {
    /// Identity of the claim.
    pub id: ClaimId,
    /// Random identity of the request that holds the claim.
    pub claimant: u64,
    /// BLAKE3 hash of the target and the body.
    pub body_hash: [u8; 32],
    /// Outcome of the claim, if known.
    pub outcome: Option<Outcome>,
}

impl ClaimEntry {
    /// Returns whether the key can be claimed again.
    pub fn is_free(&self) -> bool {
        self.outcome == Some(Outcome::NotRun)
    }

    fn stored_body_len(&self) -> usize {
        match &self.outcome {
            Some(Outcome::Done(answer)) => answer.body.as_ref().map_or(0, Vec::len),
            _ => 0,
        }
    }
}

/// State of one key range; all readers of the log replay the same state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimTable {
    next_offset: u64,
    fence: u64,
    owner: Option<Owner>,
    is_truncated: bool,
    is_active: bool,
    is_released: bool,
    may_use_memory: bool,
    cutoff_ms: u64,
    claims: BTreeMap<ClaimKey, ClaimEntry>,
    /// Keys whose answers have a stored body, oldest first.
    bodies: VecDeque<ClaimKey>,
    bodies_bytes: usize,
}

impl ClaimTable {
    /// Creates the state of a stream whose oldest retained record has the offset `first_offset`.
    ///
    /// If the stream has lost its beginning, the owner is unknown until the next `Active` record.
    pub fn new(first_offset: u64) -> Self {
        Self {
            next_offset: first_offset,
            fence: 0,
            owner: None,
            is_truncated: first_offset > 0,
            is_active: false,
            is_released: false,
            may_use_memory: false,
            cutoff_ms: 0,
            claims: BTreeMap::new(),
            bodies: VecDeque::new(),
            bodies_bytes: 0,
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the current fencing token; 0 if the range has never had an owner.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the owner, also after it has released the range.
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Returns whether the owner is unknown because the stream has lost its beginning.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Returns whether the owner serves the range.
    pub fn is_active(&self) -> bool {
        self.is_active && !self.is_released
    }

    /// Returns whether the owner has handed the range over.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Returns whether claims granted from memory may exist that are not in the log.
    pub fn may_use_memory(&self) -> bool {
        self.may_use_memory
    }

    /// Returns the cutoff: keys created before it may have run without a claim in the log; in milliseconds since the
    /// Unix epoch.
    pub fn cutoff_ms(&self) -> u64 {
        self.cutoff_ms
    }

    /// Returns the latest claim of a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        self.claims.get(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Removes keys created before `created_ms`, which no owner accepts any more.
    pub fn prune(&mut self, created_ms: u64) {
        self.claims.retain(|key, _| key.created_ms() >= created_ms);
        let claims = &self.claims;
        self.bodies.retain(|key| claims.contains_key(key));
        let kept = self.bodies.iter().filter_map(|key| claims.get(key));
        self.bodies_bytes = kept.map(ClaimEntry::stored_body_len).sum();
    }

    /// Skips the record at `offset`, which cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Applies the record at `offset`; records before [`next_offset`](Self::next_offset) are ignored.
    pub fn apply(&mut self, offset: u64, record: &Record) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            Record::Own {
                owner,
                previous_fence,
            } => self.take_ownership(offset, owner, *previous_fence),
            Record::Active {
                owner,
                fence,
                cutoff_ms,
                may_use_memory,
            } => self.activate(owner, *fence, *cutoff_ms, *may_use_memory),
            Record::Release { fence } => self.release(*fence),
            Record::Claims { fence, claims } => {
                for claim in claims {
                    self.claim(*fence, claim);
                }
            }
            Record::Outcome { key, claim, result } => self.settle(key, *claim, result),
        }
    }

    fn take_ownership(&mut self, offset: u64, owner: &Owner, previous_fence: u64) {
        if self.is_truncated || previous_fence != self.fence {
            return;
        }
        self.fence = offset + 1;
        self.owner = Some(owner.clone());
        self.is_active = false;
        self.is_released = false;
    }

    fn activate(&mut self, owner: &Owner, fence: u64, cutoff_ms: u64, may_use_memory: bool) {
        if self.is_truncated && fence >= self.fence {
            self.is_truncated = false;
            self.fence = fence;
            self.owner = Some(owner.clone());
        }
        if fence != self.fence || self.is_released {
            return;
        }
        // The permission lasts for the whole tenure of an owner: an older record that is applied again must not hide
        // claims that were granted from memory.
        self.may_use_memory = may_use_memory || (self.is_active && self.may_use_memory);
        self.is_active = true;
        // A later owner that needs no cutoff must not remove that of an earlier one.
        self.cutoff_ms = self.cutoff_ms.max(cutoff_ms);
    }

    fn release(&mut self, fence: u64) {
        if fence != self.fence || self.is_truncated {
            return;
        }
        self.is_released = true;
        self.may_use_memory = false;
    }

    fn claim(&mut self, fence: u64, claim: &Claim) {
        // While the owner is unknown, every claim is kept, since dropping one could let its key run twice.
        let is_current = fence == self.fence && !self.is_released;
        if !is_current && !self.is_truncated {
            return;
        }
        let next = match self.claims.get(&claim.key) {
            None => None,
            Some(entry) if entry.is_free() => Some(entry.id.attempt + 1),
            Some(_) => return,
        };
        // A key without an entry accepts any attempt number: retention may have removed the records of earlier
        // attempts.
        if next.is_some_and(|next| claim.attempt != next) {
            return;
        }
        let entry = ClaimEntry {
            id: ClaimId {
                fence,
                attempt: claim.attempt,
            },
            claimant: claim.claimant,
            body_hash: claim.body_hash,
            outcome: None,
        };
        self.claims.insert(claim.key.clone(), entry);
    }

    fn settle(&mut self, key: &ClaimKey, id: ClaimId, result: &Outcome) {
        let Some(entry) = self.claims.get_mut(key) else {
            return;
        };
        if entry.id != id || entry.outcome.is_some() {
            return;
        }
        entry.outcome = Some(result.clone());
        let body_bytes = entry.stored_body_len();
        if body_bytes > 0 {
            self.bodies.push_back(key.clone());
            self.bodies_bytes += body_bytes;
        }
        self.drop_bodies();
    }

    /// Drops the oldest bodies beyond [`BODIES_MAX_BYTES`]; their keys remain settled.
    fn drop_bodies(&mut self) {
        while self.bodies_bytes > BODIES_MAX_BYTES {
            let Some(key) = self.bodies.pop_front() else {
                return;
            };
            let Some(entry) = self.claims.get_mut(&key) else {
                continue;
            };
            self.bodies_bytes -= entry.stored_body_len();
            if let Some(Outcome::Done(answer)) = &mut entry.outcome {
                answer.body = None;
            }
        }
    }
}
